/** Shares the limited number of accepted connections among workers, users and health checks. */

import type { Server, Socket } from 'node:net';
import { HEARTBEAT_PATH, READINESS_PATH } from './http-paths.js';

type ClientKind = 'worker' | 'user' | 'probe';

interface InboundConnection {
  /** Kind of the client, determined by the connection's latest request; null before the first request. */
  kind: ClientKind | null;
  /** Whether a request is being served on this connection. */
  isServing: boolean;
  /** When the connection was accepted or last finished a request; monotonic ms. */
  lastUsedAt: number;
}

/** Share of the connections that users may hold when the limit is nearly reached. */
const USER_SHARE = 0.3;
/** Share of the connections that is kept free for new clients. */
const FREE_SHARE = 0.04;
/** Minimum idle time before the server may close a connection: a new request may already be in transit. */
const MIN_IDLE_MS = 1000;

function classifyClient(path: string): ClientKind {
  if (path.startsWith(HEARTBEAT_PATH)) return 'worker';
  return path.startsWith(READINESS_PATH) ? 'probe' : 'user';
}

/**
 * Tracks the accepted connections of one server. Near the connection limit, users are disconnected after each
 * response (`Connection: close`) if they exceed their share, and workers otherwise. In addition, each new
 * connection closes the least recently used idle connection of that kind or without any request, if it has
 * been idle for `MIN_IDLE_MS`. Neither users nor workers can lock the others out.
 */
export class InboundConnections {
  /** The open connections in order of last use, the least recently used first. */
  private readonly openConnections = new Map<Socket, InboundConnection>();
  private readonly countByKind: Record<ClientKind, number> = { worker: 0, user: 0, probe: 0 };

  /**
   * @param maxConnections - limit of open connections; the server refuses connections above it
   * @param now - returns monotonic time in ms
   */
  constructor(
    private readonly maxConnections: number,
    private readonly now: () => number,
  ) {}

  /** Number of open connections. */
  get size(): number {
    return this.openConnections.size;
  }

  /** Limits and tracks the connections of `server`. */
  attach(server: Server): void {
    server.maxConnections = this.maxConnections;
    server.on('connection', (socket: Socket) => {
      this.openConnections.set(socket, { kind: null, isServing: false, lastUsedAt: this.now() });
      socket.once('close', () => this.remove(socket));
      if (this.isNearlyFull()) this.closeLeastRecentlyUsed();
    });
  }

  /** Must be called before a request for `path` is served. */
  requestStarted(socket: Socket, path: string): void {
    const connection = this.openConnections.get(socket);
    if (!connection) return;
    const kind = classifyClient(path);
    if (connection.kind !== kind) {
      if (connection.kind) this.countByKind[connection.kind]--;
      this.countByKind[kind]++;
      connection.kind = kind;
    }
    connection.isServing = true;
  }

  /** Must be called when the request of a connection has been handled. */
  requestFinished(socket: Socket): void {
    const connection = this.openConnections.get(socket);
    if (!connection) return;
    connection.isServing = false;
    connection.lastUsedAt = this.now();
    // Re-inserting moves the connection to the end of the order of last use.
    this.openConnections.delete(socket);
    this.openConnections.set(socket, connection);
  }

  /** Whether a connection that requested `path` is to be closed after the response. */
  shouldClose(path: string): boolean {
    return this.isNearlyFull() && classifyClient(path) === this.kindToDisconnect();
  }

  private remove(socket: Socket): void {
    const connection = this.openConnections.get(socket);
    if (connection?.kind) this.countByKind[connection.kind]--;
    this.openConnections.delete(socket);
  }

  private isNearlyFull(): boolean {
    return this.openConnections.size >= this.maxConnections * (1 - FREE_SHARE);
  }

  /** The kind of client that is disconnected near the connection limit; never health checks. */
  private kindToDisconnect(): 'worker' | 'user' {
    return this.countByKind.user > this.maxConnections * USER_SHARE ? 'user' : 'worker';
  }

  private closeLeastRecentlyUsed(): void {
    const now = this.now();
    const kindToDisconnect = this.kindToDisconnect();
    for (const [socket, { kind, isServing, lastUsedAt }] of this.openConnections) {
      if (now - lastUsedAt < MIN_IDLE_MS) return;
      if (isServing || (kind !== null && kind !== kindToDisconnect)) continue;
      socket.destroy();
      return;
    }
  }
}
