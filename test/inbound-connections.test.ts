import net from 'node:net';
import { expect, test } from 'vitest';
import { closeAfterTest, startHttpServer } from './test-servers.js';

/** Sends a request on a new connection that stays open; returns whether any response data arrived. */
function sendRequest(port: number, path: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1');
    closeAfterTest(() => socket.destroy());
    socket.on('connect', () => socket.write(`GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`));
    socket.once('data', () => resolve(true));
    socket.once('error', () => resolve(false));
    socket.once('close', () => resolve(false));
  });
}

test('users that hold all connections lock out neither workers nor health checks', async () => {
  const { connections, port } = await startHttpServer(40, (_request, respond) =>
    respond({ status: 200, body: '{}' }),
  );
  for (let i = 0; i < 38; i++) await sendRequest(port, '/v2/runs/wk-1');
  await new Promise((resolve) => setTimeout(resolve, 1100));

  const answered: boolean[] = [];
  for (let i = 0; i < 25; i++) answered.push(await sendRequest(port, '/hello'));
  answered.push(await sendRequest(port, '/ready'));

  expect(answered.every((wasAnswered) => wasAnswered)).toBe(true);
  expect(connections.size).toBeLessThanOrEqual(40);
});
