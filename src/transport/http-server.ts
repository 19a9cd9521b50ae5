/**
 * HTTP/1.1 server built on `node:net`. A controller handles hundreds of heartbeats per second, and the
 * overhead of `node:http` is several times the cost of parsing and handling a heartbeat.
 */

import net from 'node:net';
import { parseAddress } from './address.js';
import { findHeader, type HttpMessage, HttpMessageReader } from './http-parser.js';
import type { InboundConnections } from './inbound-connections.js';

/** Response to a request. */
export interface HttpResponse {
  status: number;
  /** Response body: serialized JSON. */
  body: string;
  /** Headers besides those of the body. `Connection: close` closes the connection after the response. */
  headers?: Record<string, string>;
}

/** Handles one request. Calls `respond` once, synchronously or later; further calls are ignored. */
export type RequestHandler = (request: HttpMessage, respond: (response: HttpResponse) => void) => void;

/** Dependencies of an {@link HttpServer}. */
export interface HttpServerOptions {
  handleRequest: RequestHandler;
  inboundConnections: InboundConnections;
  /** Returns monotonic time in ms. */
  now: () => number;
}

/** Backlog of the listening socket: all workers of the fleet connect to a new leader at the same time. */
const LISTEN_BACKLOG = 8192;
/** Maximum size of a request body. */
const MAX_REQUEST_BODY_BYTES = 64 * 1024;
/** Maximum number of pipelined requests waiting on a connection; above it the connection is closed. */
const MAX_PIPELINED_REQUESTS = 16;
/** Maximum time to receive a complete request. */
const REQUEST_TIMEOUT_MS = 20_000;
/** Maximum idle time of a connection. */
const IDLE_TIMEOUT_MS = 120_000;
/** Interval at which the timeouts are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 5000;

const REASON_PHRASES: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  421: 'Misdirected Request',
  422: 'Unprocessable Entity',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

interface ServerConnection {
  socket: net.Socket;
  reader: HttpMessageReader;
  /** Requests received but not served yet; requests are served one at a time. */
  pendingRequests: HttpMessage[];
  /** Whether a request is being served. */
  isServing: boolean;
  /** Whether a request has been received in part. */
  isReceiving: boolean;
  /** When the current request started to arrive or the connection became idle; monotonic ms. */
  timeoutStartedAt: number;
}

/**
 * Serves the requests of each connection in order, and closes connections that have timed out. A connection
 * does not time out while a request is being served.
 */
export class HttpServer {
  /** The listening socket. */
  readonly server: net.Server;
  private readonly openConnections = new Set<ServerConnection>();
  private readonly handleRequest: RequestHandler;
  private readonly inboundConnections: InboundConnections;
  private readonly now: () => number;

  constructor(options: HttpServerOptions) {
    this.handleRequest = options.handleRequest;
    this.inboundConnections = options.inboundConnections;
    this.now = options.now;
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.inboundConnections.attach(this.server);
    const timeoutCheckTimer = setInterval(() => this.closeTimedOut(), TIMEOUT_CHECK_INTERVAL_MS).unref();
    this.server.on('close', () => clearInterval(timeoutCheckTimer));
  }

  /** Listens on `bind` (`HOST:PORT`). `onError` is called for any error of the listening socket. */
  listen(bind: string, onError: (error: Error) => void): void {
    this.server.on('error', onError);
    this.server.listen({ ...parseAddress(bind), backlog: LISTEN_BACKLOG });
  }

  private accept(socket: net.Socket): void {
    const connection: ServerConnection = {
      socket,
      reader: new HttpMessageReader({
        messageType: 'REQUEST',
        maxBodyBytes: MAX_REQUEST_BODY_BYTES,
        onMessage: (request) => this.enqueue(connection, request),
        onHeaders: (rawHeaders) => {
          if (findHeader(rawHeaders, 'expect')?.toLowerCase() === '100-continue')
            socket.write('HTTP/1.1 100 Continue\r\n\r\n');
        },
      }),
      pendingRequests: [],
      isServing: false,
      isReceiving: false,
      timeoutStartedAt: this.now(),
    };
    this.openConnections.add(connection);
    socket.on('data', (data: Buffer) => {
      if (!connection.isReceiving) connection.timeoutStartedAt = this.now();
      connection.isReceiving = true;
      if (!connection.reader.push(data))
        writeResponse(socket, { status: 400, body: '{"error":"not HTTP"}' }, false);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.openConnections.delete(connection));
  }

  private enqueue(connection: ServerConnection, request: HttpMessage): void {
    connection.isReceiving = false;
    connection.timeoutStartedAt = this.now();
    connection.pendingRequests.push(request);
    if (connection.pendingRequests.length > MAX_PIPELINED_REQUESTS) connection.socket.destroy();
    else this.serveNext(connection);
  }

  private serveNext(connection: ServerConnection): void {
    const { socket } = connection;
    const request = connection.isServing ? undefined : connection.pendingRequests.shift();
    if (!request || socket.destroyed) return;
    connection.isServing = true;
    this.inboundConnections.requestStarted(socket, request.path);
    let responded = false;
    const respond = (response: HttpResponse) => {
      if (responded) return;
      responded = true;
      connection.isServing = false;
      connection.timeoutStartedAt = this.now();
      this.inboundConnections.requestFinished(socket);
      if (socket.destroyed) return;
      const keepAlive =
        request.keepAlive &&
        response.headers?.Connection !== 'close' &&
        !this.inboundConnections.shouldClose(request.path);
      writeResponse(socket, response, keepAlive);
      this.serveNext(connection);
    };
    if (request.body === null) {
      respond({ status: 400, body: '{"error":"body over 64 KiB"}' });
      return;
    }
    try {
      this.handleRequest(request, respond);
    } catch {
      respond({ status: 500, body: '{"error":"internal error"}' });
    }
  }

  private closeTimedOut(): void {
    const now = this.now();
    for (const connection of this.openConnections) {
      if (connection.isServing) continue;
      const timeoutMs = connection.isReceiving ? REQUEST_TIMEOUT_MS : IDLE_TIMEOUT_MS;
      if (now - connection.timeoutStartedAt > timeoutMs) connection.socket.destroy();
    }
  }
}

function writeResponse(socket: net.Socket, response: HttpResponse, keepAlive: boolean): void {
  const { status, body, headers = {} } = response;
  let head = `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? 'Status'}\r\n`;
  head += `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
  for (const [name, value] of Object.entries(headers))
    if (name !== 'Connection') head += `${name}: ${value}\r\n`;
  if (keepAlive) socket.write(`${head}\r\n${body}`);
  else socket.end(`${head}Connection: close\r\n\r\n${body}`);
}
