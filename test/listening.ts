/** Servers on ports of their own, and whatever else a test must close when it ends. */

import http from 'node:http';
import type { AddressInfo, Server } from 'node:net';
import { afterEach } from 'vitest';
import { HttpServer, type RequestHandler } from '../src/transport/http-server.js';
import { InboundConnections } from '../src/transport/inbound-connections.js';

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Has `close` called when the present test ends. */
export function afterTest(close: () => void): void {
  closers.push(close);
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

/** Starts a server of Node's own; returns it with its address, `HOST:PORT`. */
export async function startNodeServer(
  handle: http.RequestListener,
): Promise<{ server: http.Server; address: string }> {
  const server = http.createServer(handle);
  afterTest(() => {
    server.closeAllConnections();
    server.close();
  });
  return { server, address: `127.0.0.1:${await listen(server)}` };
}

/** Starts the program's server with room for so many connections; returns these and its port on 127.0.0.1. */
export async function startHttpServer(
  maxConnections: number,
  handle: RequestHandler,
): Promise<{ connections: InboundConnections; port: number }> {
  const now = () => performance.now();
  const connections = new InboundConnections(maxConnections, now);
  const { server } = new HttpServer({ handleRequest: handle, inboundConnections: connections, now });
  afterTest(() => server.close());
  return { connections, port: await listen(server) };
}
