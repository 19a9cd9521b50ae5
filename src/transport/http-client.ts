/** An HTTP/1.1 client for one server, on persistent connections. */

import net from 'node:net';
import { type HostAndPort, parseAddress } from './address.js';
import { HttpMessageReader } from './http-parser.js';

/** Largest response body that is taken, in bytes. */
const MAX_BODY_BYTES = 64 << 20;

/** A request to send. */
export interface HttpCall {
  method: string;
  /** Path with its query. */
  path: string;
  /** Sent as JSON; undefined: no body. */
  body?: unknown;
  /** Time for the whole call, in ms, the wait for a connection included. */
  deadlineMs: number;
}

/** What became of a call. */
export interface HttpReply {
  /** 0: no response came. */
  status: number;
  /** Body of the response; empty without one. */
  text: string;
  /** Whether the request may have been executed, or may yet be. */
  sent: boolean;
}

interface PendingCall {
  /** The request as it goes onto the connection. */
  data: string;
  onReply: (reply: HttpReply) => void;
  deadlineTimer: NodeJS.Timeout;
  finished: boolean;
}

interface Connection {
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
  private readonly connections = new Set<Connection>();
  private readonly idle: Connection[] = [];
  /** Calls that wait for a connection, first come first served. */
  private readonly waiting: PendingCall[] = [];

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
      data: this.serialize(request),
      onReply,
      finished: false,
      deadlineTimer: setTimeout(() => this.expire(call), request.deadlineMs),
    };
    this.waiting.push(call);
    this.dispatch();
  }

  /** Closes the connections that carry no call. */
  closeIdle(): void {
    for (const connection of [...this.connections]) if (!connection.call) this.discard(connection);
  }

  private serialize({ method, path, body }: HttpCall): string {
    const head = `${method} ${path} HTTP/1.1\r\nHost: ${this.address}\r\n`;
    if (body === undefined) return `${head}\r\n`;
    const text = JSON.stringify(body);
    const length = Buffer.byteLength(text);
    return `${head}Content-Type: application/json\r\nContent-Length: ${length}\r\n\r\n${text}`;
  }

  private finish(call: PendingCall, reply: HttpReply): void {
    if (call.finished) return;
    call.finished = true;
    clearTimeout(call.deadlineTimer);
    call.onReply(reply);
  }

  /** A request already on its connection may yet be executed; the connection is of no more use. */
  private expire(call: PendingCall): void {
    for (const connection of this.connections)
      if (connection.call === call) {
        const sent = connection.connected;
        connection.call = null;
        this.discard(connection);
        this.finish(call, { status: 0, text: '', sent });
        this.dispatch();
        return;
      }
    const index = this.waiting.indexOf(call);
    if (index >= 0) this.waiting.splice(index, 1);
    this.finish(call, { status: 0, text: '', sent: false });
  }

  private dispatch(): void {
    while (this.waiting.length > 0) {
      // The connection used last goes first, so that those not needed stay idle and the server may close them.
      const connection = this.idle.pop() ?? (this.connections.size < this.maxSockets ? this.connect() : null);
      if (!connection) return;
      const call = this.waiting.shift() as PendingCall;
      connection.call = call;
      if (connection.connected) connection.socket.write(call.data);
    }
  }

  private connect(): Connection {
    const socket = net.connect({ ...this.server, noDelay: true });
    const connection: Connection = {
      socket,
      call: null,
      connected: false,
      reader: new HttpMessageReader({
        kind: 'RESPONSE',
        maxBodyBytes: MAX_BODY_BYTES,
        onMessage: ({ status, body, keepAlive }) => {
          const call = connection.call;
          // A status under 200 is provisional: the response is still to come.
          if (status < 200 || !call) return;
          connection.call = null;
          if (keepAlive && !socket.destroyed) this.idle.push(connection);
          else this.discard(connection);
          this.finish(call, { status, text: body ?? '', sent: true });
          this.dispatch();
        },
      }),
    };
    this.connections.add(connection);
    socket.on('connect', () => {
      connection.connected = true;
      if (connection.call) socket.write(connection.call.data);
    });
    socket.on('data', (data: Buffer) => {
      if (!connection.reader.push(data)) socket.destroy();
    });
    socket.on('end', () => connection.reader.end());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.onClose(connection));
    return connection;
  }

  private onClose(connection: Connection): void {
    const call = connection.call;
    connection.call = null;
    this.discard(connection);
    if (call) this.finish(call, { status: 0, text: '', sent: connection.connected });
    this.dispatch();
  }

  private discard(connection: Connection): void {
    this.connections.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    if (!connection.socket.destroyed) connection.socket.destroy();
  }
}
