import { expect, test } from 'vitest';
import type { WorkerCommand } from '../src/model/worker-messages.js';
import { WorkerClient } from '../src/transport/worker-client.js';
import { startNodeServer } from './test-servers.js';

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

/** Starts workers that answer after 15 ms; records their calls, as `KIND NUMBER`, and open connections. */
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
        received.push(`${JSON.parse(body).calls.length > 0 ? 'command' : 'query'} ${i}`);
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

test('direct calls reach more workers than there are connections, and calls with commands go first', async () => {
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
  // A closed connection may still be counted for a moment after the next one has opened.
  expect([connections.max <= 7, client.connectionCount]).toEqual([true, 3]);
  expect(received.slice(3, 7).every((entry) => entry.startsWith('command'))).toBe(true);
});

test('a call that gets no connection in time is refused without having been sent', async () => {
  let received = 0;
  const silentWorker = await startNodeServer(() => {});
  const otherWorker = await startNodeServer((_request, response) => {
    received++;
    response.end(heartbeat('vm-2'));
  });
  const client = new WorkerClient(1);
  const sendEmptyCall = (address: string) =>
    new Promise((resolve) =>
      client.sendCommands(address, { fencingToken: 1, workerEpoch: 1, commands: [] }, (result) =>
        resolve(result.ok ? 'ok' : result.kind),
      ),
    );

  const first = sendEmptyCall(silentWorker.address);
  const waiting = sendEmptyCall(otherWorker.address);
  // The first call holds the only connection until well after the waiting call has timed out.
  await new Promise((resolve) => setTimeout(resolve, 1000));
  const second = sendEmptyCall(silentWorker.address);

  expect(await waiting).toBe('refused');
  expect(received).toBe(0);
  expect([await first, await second]).toEqual(['indeterminate', 'indeterminate']);
}, 10000);
