/** HTTP/1.1 helpers for the stand-ins: a JSON server on a loopback port, and a client with one deadline. */

import http from 'node:http';
import net from 'node:net';

/** Returns a loopback port that is free now. */
export async function freePort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/**
 * Starts a JSON server on a loopback port (0: a free one). `handle` gets the method, the URL, the parsed body (undefined
 * if there is none or it is malformed) and a function that answers with a status and a JSON value.
 */
export async function serveJson(handle, port = 0) {
  const server = http.createServer({ keepAliveTimeout: 0, requestTimeout: 0 }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      let body;
      try {
        body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
      } catch {
        body = undefined;
      }
      const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
      handle({ method: request.method, url: new URL(request.url, 'http://local'), body, bytes }, (status, value) => {
        if (response.destroyed) return;
        const text = JSON.stringify(value ?? {});
        response.writeHead(status, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        });
        response.end(text);
      });
    });
    request.on('error', () => {});
    response.on('error', () => {});
  });
  server.timeout = 0;
  server.headersTimeout = 0;
  await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Sends one request; resolves with its status and JSON body. The status is 0 if no response arrived within
 * the deadline or the connection failed.
 */
export function call(address, method, path, body, deadlineMs, agent) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    const headers =
      text === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    let settled = false;
    let retryAfter = 0;
    const settle = (status, value) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({ status, body: value, retryAfter });
    };
    const request = http.request({ host, port, method, path, headers, agent: agent ?? false }, (response) => {
      const chunks = [];
      retryAfter = Number(response.headers['retry-after'] ?? 0);
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => settle(0));
      response.on('end', () => {
        try {
          settle(response.statusCode, JSON.parse(Buffer.concat(chunks).toString('utf8')));
        } catch {
          settle(response.statusCode, undefined);
        }
      });
    });
    const timer = setTimeout(() => {
      settle(0);
      request.destroy();
    }, deadlineMs);
    request.on('error', () => settle(0));
    request.end(text);
  });
}
