import net from 'node:net';
import { expect, test } from 'vitest';
import { startHttpServer } from './test-servers.js';

/** Writes the parts 5 ms apart on a new connection; returns all data received within 60 ms of the last. */
function exchange(port: number, parts: string[]): Promise<string> {
  return new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', (data) => {
      received += String(data);
    });
    socket.on('close', () => resolve(received));
    socket.on('error', () => resolve(received));
    socket.on('connect', async () => {
      for (const part of parts) {
        socket.write(part);
        await new Promise((written) => setTimeout(written, 5));
      }
      setTimeout(() => socket.destroy(), 60);
    });
  });
}

test('requests are read from fragments, with chunked bodies and pipelined, and malformed or oversized ones are rejected', async () => {
  const { port } = await startHttpServer(40, (request, respond) => {
    if (request.path === '/throws') throw new Error('a defect');
    const body = JSON.stringify([request.method, request.path, request.body]);
    setTimeout(() => respond({ status: 200, body }), 5);
  });
  const send = (parts: string[]) => exchange(port, parts);

  const chunked = 'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n';
  expect(await send(['POST /a HT', `TP/1.1\r\nHost: x\r\n${chunked}`])).toContain('["POST","/a","hello"]');

  const pipelined = await send(['GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n']);
  expect(pipelined.indexOf('/a')).toBeLessThan(pipelined.indexOf('/b'));

  expect(await send(['\x00\x01\x02 nonsense\r\n\r\n'])).toContain('HTTP/1.1 400 ');
  expect(await send([`GET /x HTTP/1.1\r\nA: ${'y'.repeat(20000)}`, 'z'.repeat(20000)])).toContain(' 400 ');
  expect(await send(['GET /throws HTTP/1.1\r\nHost: x\r\n\r\n'])).toContain('HTTP/1.1 500 ');

  const large = `POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n${'x'.repeat(70000)}`;
  expect(await send([large])).toContain('HTTP/1.1 400 ');

  expect(await send(['GET /a HTTP/1.0\r\n\r\n'])).toContain('Connection: close');
});
