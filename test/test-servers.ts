/** HTTP servers on free ports, and the closing of resources at the end of a test. */

import http from 'node:http';
import type { AddressInfo, Server } from 'node:net';
import { afterEach } from 'vitest';
import { HttpServer, type RequestHandler } from '../src/transport/http-server.js';
import { InboundConnections } from '../src/transport/inbound-connections.js';

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Registers `close` to be called when the current test ends. */
export function closeAfterTest(close: () => void): void {
  closers.push(close);
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

/** Starts an HTTP server of Node.js; returns it with its address, `HOST:PORT`. */
export async function startNodeServer(
  handle: http.RequestListener,
): Promise<{ server: http.Server; address: string }> {
  const server = http.createServer(handle);
  closeAfterTest(() => {
    server.closeAllConnections();
    server.close();
  });
  return { server, address: `127.0.0.1:${await listen(server)}` };
}

/**
 * Starts a controller's HTTP server on 127.0.0.1; returns its connections, at most `maxConnections`, and
 * port.
 */
export async function startHttpServer(
  maxConnections: number,
  handle: RequestHandler,
): Promise<{ connections: InboundConnections; port: number }> {
  const now = () => performance.now();
  const connections = new InboundConnections(maxConnections, now);
  const { server } = new HttpServer({ handleRequest: handle, inboundConnections: connections, now });
  closeAfterTest(() => server.close());
  return { connections, port: await listen(server) };
}
