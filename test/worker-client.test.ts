import { expect, test } from 'vitest';
import type { WorkerCommand } from '../src/model/worker-messages.js';
import { WorkerClient } from '../src/transport/worker-client.js';
import { startNodeServer } from './listening.js';

const heartbeat = (name: string) =>
  JSON.stringify({
    trunk: name,
    address: name,
    bark: 'small',
    slope: 'a',
    windfall: false,
    season: 1,
    tally: 1,
    crook: 1,
    felling_s: null,
    saplings: [],
  });

const START: WorkerCommand = { type: 'start', jobId: 'wk-1', taskIndex: 1, attempt: 1 };

/** Workers that answer after 15 ms; what they were sent, as `KIND NUMBER`, and how many connections were open at once. */
async function startWorkers(count: number) {
  const received: string[] = [];
  const connections = { open: 0, max: 0 };
  const addresses: string[] = [];
  for (let i = 0; i < count; i++) {
    const { server, address } = await startNodeServer((request, response) => {
      let body = '';
      request.on('data', (data) => {
        body += String(data);
      });
      request.on('end', () => {
        received.push(`${JSON.parse(body).calls.length > 0 ? 'command' : 'question'} ${i}`);
        setTimeout(() => response.end(heartbeat(`vm-${i}`)), 15);
      });
    });
    server.on('connection', (socket) => {
      connections.max = Math.max(connections.max, ++connections.open);
      socket.on('close', () => connections.open--);
    });
    addresses.push(address);
  }
  return { addresses, received, connections };
}

test('direct commands reach more workers than there are connections for, those with commands first', async () => {
  const { addresses, received, connections } = await startWorkers(12);
  const client = new WorkerClient(3);

  const results = await Promise.all(
    addresses.map(
      (address, index) =>
        new Promise<boolean>((resolve) => {
          const commands = index < 8 ? [] : [{ ...START, taskIndex: index }];
          client.sendCommands(address, { fencingToken: 1, workerEpoch: 1, commands }, (result) =>
            resolve(result.ok),
          );
        }),
    ),
  );

  expect(results).toEqual(addresses.map(() => true));
  // A closed connection may be counted a moment after the next one was opened.
  expect([connections.max <= 7, client.connectionCount]).toEqual([true, 3]);
  expect(received.slice(3, 7).every((entry) => entry.startsWith('command'))).toBe(true);
});

test('a call that found no connection in time was surely not sent', async () => {
  let received = 0;
  const silent = await startNodeServer(() => {});
  const other = await startNodeServer((_request, response) => {
    received++;
    response.end(heartbeat('vm-2'));
  });
  const client = new WorkerClient(1);
  const call = (address: string) =>
    new Promise((resolve) =>
      client.sendCommands(address, { fencingToken: 1, workerEpoch: 1, commands: [] }, (result) =>
        resolve(result.ok ? 'ok' : result.kind),
      ),
    );

  const first = call(silent.address);
  const waiting = call(other.address);
  // Holds the only connection until well after the waiting call has run out of time.
  await new Promise((resolve) => setTimeout(resolve, 1000));
  const second = call(silent.address);

  expect(await waiting).toBe('refused');
  expect(received).toBe(0);
  expect([await first, await second]).toEqual(['indeterminate', 'indeterminate']);
}, 10000);
