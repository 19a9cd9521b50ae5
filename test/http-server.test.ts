import net from 'node:net';
import { expect, test } from 'vitest';
import { startHttpServer } from './listening.js';

/** Writes the parts 5 ms apart on a new connection; all that came back until 60 ms after the last one. */
function converse(port: number, parts: string[]): Promise<string> {
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

test('requests are read in pieces, with chunked bodies, one after the other, and nonsense is refused', async () => {
  const { port } = await startHttpServer(40, (request, respond) => {
    if (request.path === '/throws') throw new Error('a defect');
    const body = JSON.stringify([request.method, request.path, request.body]);
    setTimeout(() => respond({ status: 200, body }), 5);
  });
  const talk = (parts: string[]) => converse(port, parts);

  const chunked = 'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n';
  expect(await talk(['POST /a HT', `TP/1.1\r\nHost: x\r\n${chunked}`])).toContain('["POST","/a","hello"]');

  const two = await talk(['GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n']);
  expect(two.indexOf('/a')).toBeLessThan(two.indexOf('/b'));

  expect(await talk(['\x00\x01\x02 nonsense\r\n\r\n'])).toContain('HTTP/1.1 400 ');
  expect(await talk([`GET /x HTTP/1.1\r\nA: ${'y'.repeat(20000)}`, 'z'.repeat(20000)])).toContain(' 400 ');
  expect(await talk(['GET /throws HTTP/1.1\r\nHost: x\r\n\r\n'])).toContain('HTTP/1.1 500 ');

  const large = `POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n${'x'.repeat(70000)}`;
  expect(await talk([large])).toContain('HTTP/1.1 400 ');

  expect(await talk(['GET /a HTTP/1.0\r\n\r\n'])).toContain('Connection: close');
});
