/** An HTTP/1.1 client for one server, on persistent connections. */

import net from 'node:net';
import { type HostAndPort, parseAddress } from './address.js';
import { HttpMessageReader } from './http-parser.js';

/** Largest response body that is taken, in bytes. */
const MAX_RESPONSE_BODY_BYTES = 64 << 20;

/** A request to send. */
export interface HttpCall {
  method: string;
  /** Path with its query. */
  path: string;
  /** Sent as JSON; undefined: no body. */
  body?: unknown;
  /** Time for the whole call, in ms, the wait for a connection included. */
  timeoutMs: number;
}

/** What became of a call. */
export interface HttpReply {
  /** 0: no response came. */
  status: number;
  /** Body of the response; empty without one. */
  body: string;
  /** Whether the request may have been executed, or may yet be. */
  sent: boolean;
}

interface PendingCall {
  /** The request as it goes onto the connection. */
  serializedRequest: string;
  onReply: (reply: HttpReply) => void;
  timeoutTimer: NodeJS.Timeout;
  completed: boolean;
}

interface ClientConnection {
  socket: net.Socket;
  reader: HttpMessageReader;
  /** The call this connection carries; null: it is idle. */
  call: PendingCall | null;
  connected: boolean;
}

/**
 * Sends requests to one server over at most `maxSockets` connections, one request at a time on each. Every call is
 * replied to exactly once, at its deadline at the latest; failures of the connection are replies without a status.
 */
export class HttpClient {
  private readonly server: HostAndPort;
  private readonly connections = new Set<ClientConnection>();
  private readonly idleConnections: ClientConnection[] = [];
  /** Calls that wait for a connection, first come first served. */
  private readonly queue: PendingCall[] = [];

  /** @param address `HOST:PORT` of the server */
  constructor(
    private readonly address: string,
    private readonly maxSockets: number,
  ) {
    this.server = parseAddress(address);
  }

  /** Sends a request, at once or as soon as a connection is free. */
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

  /** Closes the connections that carry no call. */
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

  /** A request already on its connection may yet be executed; the connection is of no more use. */
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
      // The connection used last goes first, so that those not needed stay idle and the server may close them.
      const connection =
        this.idleConnections.pop() ??
        (this.connections.size < this.maxSockets ? this.openConnection() : null);
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
          // A status under 200 is provisional: the response is still to come.
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
