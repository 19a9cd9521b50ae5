/** HTTP/1.1 client for a single server that reuses persistent connections. */

import net from 'node:net';
import { type HostAndPort, parseAddress } from './address.js';
import { HttpMessageReader } from './http-parser.js';

/** Maximum size of a response body; a larger body is discarded. */
const MAX_RESPONSE_BODY_BYTES = 64 << 20;

/** A request and its timeout. */
export interface HttpCall {
  method: string;
  /** Path with query string. */
  path: string;
  /** Request body, sent as JSON; undefined: no body. */
  body?: unknown;
  /** Timeout of the whole call in ms, including the wait for a connection. */
  timeoutMs: number;
}

/** Outcome of a call: a response, or `status` 0 without one. */
export interface HttpReply {
  /** HTTP status; 0 if no response was received. */
  status: number;
  /** Response body; empty if there is none. */
  body: string;
  /** Whether the request was written to a connection: the server may have executed it or may still do so. */
  sent: boolean;
}

interface PendingCall {
  /** Request head and body as written to the socket. */
  serializedRequest: string;
  onReply: (reply: HttpReply) => void;
  timeoutTimer: NodeJS.Timeout;
  completed: boolean;
}

interface ClientConnection {
  socket: net.Socket;
  reader: HttpMessageReader;
  /** The call in progress on this connection; null while idle. */
  call: PendingCall | null;
  connected: boolean;
}

/**
 * Sends requests to one server over at most `maxConnections` connections, one request at a time on each.
 * Every call gets exactly one reply, no later than its timeout. A connection failure gives status 0.
 */
export class HttpClient {
  private readonly server: HostAndPort;
  private readonly connections = new Set<ClientConnection>();
  private readonly idleConnections: ClientConnection[] = [];
  /** Calls waiting for a connection, in FIFO order. */
  private readonly queue: PendingCall[] = [];

  /** @param address - `HOST:PORT` of the server */
  constructor(
    private readonly address: string,
    private readonly maxConnections: number,
  ) {
    this.server = parseAddress(address);
  }

  /** Sends a request as soon as a connection is available. */
  call(request: HttpCall, onReply: (reply: HttpReply) => void): void {
    const call: PendingCall = {
      serializedRequest: this.serialize(request),
      onReply,
      completed: false,
      timeoutTimer: setTimeout(() => this.handleTimeout(call), request.timeoutMs),
    };
    this.queue.push(call);
    this.sendQueued();
  }

  /** Closes all connections without a call in progress. */
  closeIdleConnections(): void {
    for (const connection of [...this.connections]) if (!connection.call) this.removeConnection(connection);
  }

  private serialize({ method, path, body }: HttpCall): string {
    const head = `${method} ${path} HTTP/1.1\r\nHost: ${this.address}\r\n`;
    if (body === undefined) return `${head}\r\n`;
    const text = JSON.stringify(body);
    const length = Buffer.byteLength(text);
    return `${head}Content-Type: application/json\r\nContent-Length: ${length}\r\n\r\n${text}`;
  }

  private complete(call: PendingCall, reply: HttpReply): void {
    if (call.completed) return;
    call.completed = true;
    clearTimeout(call.timeoutTimer);
    call.onReply(reply);
  }

  /**
   * Ends a call that has timed out. A request that was already written may still be executed; its connection
   * is closed, because a late response would be taken for the response to the next call.
   */
  private handleTimeout(call: PendingCall): void {
    for (const connection of this.connections)
      if (connection.call === call) {
        const sent = connection.connected;
        connection.call = null;
        this.removeConnection(connection);
        this.complete(call, { status: 0, body: '', sent });
        this.sendQueued();
        return;
      }
    const index = this.queue.indexOf(call);
    if (index >= 0) this.queue.splice(index, 1);
    this.complete(call, { status: 0, body: '', sent: false });
  }

  private sendQueued(): void {
    while (this.queue.length > 0) {
      // Reuses the most recently used connection, so that surplus connections stay idle and the server can
      // close them.
      const connection =
        this.idleConnections.pop() ??
        (this.connections.size < this.maxConnections ? this.openConnection() : null);
      if (!connection) return;
      const call = this.queue.shift() as PendingCall;
      connection.call = call;
      if (connection.connected) connection.socket.write(call.serializedRequest);
    }
  }

  private openConnection(): ClientConnection {
    const socket = net.connect({ ...this.server, noDelay: true });
    const connection: ClientConnection = {
      socket,
      call: null,
      connected: false,
      reader: new HttpMessageReader({
        messageType: 'RESPONSE',
        maxBodyBytes: MAX_RESPONSE_BODY_BYTES,
        onMessage: ({ status, body, keepAlive }) => {
          const call = connection.call;
          // 1xx responses are interim: the final response follows.
          if (status < 200 || !call) return;
          connection.call = null;
          if (keepAlive && !socket.destroyed) this.idleConnections.push(connection);
          else this.removeConnection(connection);
          this.complete(call, { status, body: body ?? '', sent: true });
          this.sendQueued();
        },
      }),
    };
    this.connections.add(connection);
    socket.on('connect', () => {
      connection.connected = true;
      if (connection.call) socket.write(connection.call.serializedRequest);
    });
    socket.on('data', (data: Buffer) => {
      if (!connection.reader.push(data)) socket.destroy();
    });
    socket.on('end', () => connection.reader.end());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClose(connection));
    return connection;
  }

  private handleClose(connection: ClientConnection): void {
    const call = connection.call;
    connection.call = null;
    this.removeConnection(connection);
    if (call) this.complete(call, { status: 0, body: '', sent: connection.connected });
    this.sendQueued();
  }

  private removeConnection(connection: ClientConnection): void {
    this.connections.delete(connection);
    const index = this.idleConnections.indexOf(connection);
    if (index >= 0) this.idleConnections.splice(index, 1);
    if (!connection.socket.destroyed) connection.socket.destroy();
  }
}
