import net, { type AddressInfo } from 'node:net';
import { expect, test, vi } from 'vitest';
import type { PeerMessage } from '../src/model/peer-message.js';
import { PeerConnections } from '../src/transport/peer-connections.js';
import { closeAfterTest } from './test-servers.js';

const log = { debug: () => {}, info: () => {}, error: () => {} };

const message = (sequence: number): PeerMessage => ({
  nodeName: 'stand-1',
  instanceId: 'stand-1.0a',
  sequence,
  body: { type: 'cancelled', jobId: 'wk-1', cancellationNumber: sequence },
});

/** Returns a port on 127.0.0.1 on which nothing listens. */
async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

test('a connection is established as soon as its peer listens, and re-established when it is lost', async () => {
  const port = await freePort();
  const changes: string[] = [];
  const received: number[] = [];
  const connections = new PeerConnections({
    bind: '127.0.0.1:0',
    peerAddresses: [{ nodeName: 'stand-2', address: `127.0.0.1:${port}` }],
    log,
    onMessage: () => {},
    onConnectionChange: (nodeName, isUp) => changes.push(`${nodeName} ${isUp ? 'up' : 'down'}`),
  });
  connections.send('stand-2', message(1));
  connections.send('nobody', message(2));
  await new Promise((resolve) => setTimeout(resolve, 300));
  expect(changes).toEqual([]);

  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('data', (data) => received.push(data.length));
  });
  closeAfterTest(() => server.close());
  server.listen(port, '127.0.0.1');
  await vi.waitFor(() => expect(changes).toEqual(['stand-2 up']), 3000);
  connections.send('stand-2', message(3));
  // Messages sent before the connection was established were dropped: this is the first to arrive.
  await vi.waitFor(() => expect(received.length).toBe(1), 3000);

  sockets[0]?.destroy();
  await vi.waitFor(() => expect(changes).toEqual(['stand-2 up', 'stand-2 down', 'stand-2 up']), 3000);
  connections.send('stand-2', message(4));
  await vi.waitFor(() => expect(received.length).toBe(2), 3000);
});

test('a connection whose peer stops reading is closed once 4 MiB are waiting on it', async () => {
  const server = net.createServer((socket) => void socket.pause());
  closeAfterTest(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const changes: boolean[] = [];
  const connections = new PeerConnections({
    bind: '127.0.0.1:0',
    peerAddresses: [{ nodeName: 'stand-2', address: `127.0.0.1:${port}` }],
    log,
    onMessage: () => {},
    onConnectionChange: (_nodeName, isUp) => changes.push(isUp),
  });
  await vi.waitFor(() => expect(changes).toEqual([true]), 3000);

  const large: PeerMessage = {
    ...message(1),
    body: { type: 'images', added: [], removedMachines: Array.from({ length: 20_000 }, (_, i) => `vm-${i}`) },
  };
  await vi.waitFor(
    () => {
      for (let i = 0; i < 20; i++) connections.send('stand-2', large);
      expect(changes.slice(0, 2)).toEqual([true, false]);
    },
    { timeout: 5000, interval: 20 },
  );
});
