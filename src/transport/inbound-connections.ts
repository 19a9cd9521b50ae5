/** Shares a bounded number of accepted connections among workers, users and health checks. */

import type { Server, Socket } from 'node:net';
import { HEARTBEAT_PATH, READINESS_PATH } from './http-paths.js';

type ClientKind = 'worker' | 'user' | 'probe';

interface InboundConnection {
  /** By its last request; null: it has sent none yet. */
  kind: ClientKind | null;
  /** Whether a request is being served on it. */
  isServing: boolean;
  /** When it was opened or last answered on; monotonic ms. */
  lastUsedAt: number;
}

/** Part of the connections that users may take while others need them. */
const USER_SHARE = 0.3;
/** Part of the connections that is kept free for newcomers. */
const FREE_SHARE = 0.04;
/** An idle connection may be closed by us only when unused for this long: its next request may be on its way. */
const MIN_IDLE_MS = 1000;

function classifyClient(path: string): ClientKind {
  if (path.startsWith(HEARTBEAT_PATH)) return 'worker';
  return path.startsWith(READINESS_PATH) ? 'probe' : 'user';
}

/**
 * The accepted connections of one server. Near the limit, clients of the kind that is over its share are disconnected
 * after a response (`Connection: close`), and of the idle connections the longest unused are closed, so that neither
 * users nor workers lock the others out.
 */
export class InboundConnections {
  /** In order of last use, the longest unused first. */
  private readonly openConnections = new Map<Socket, InboundConnection>();
  private readonly countByKind: Record<ClientKind, number> = { worker: 0, user: 0, probe: 0 };

  /**
   * @param maxConnections limit of open connections; the server refuses those beyond it
   * @param now monotonic time in ms
   */
  constructor(
    private readonly maxConnections: number,
    private readonly now: () => number,
  ) {}

  /** Connections open now. */
  get size(): number {
    return this.openConnections.size;
  }

  /** Bounds and follows the connections of a server. */
  attach(server: Server): void {
    server.maxConnections = this.maxConnections;
    server.on('connection', (socket: Socket) => {
      this.openConnections.set(socket, { kind: null, isServing: false, lastUsedAt: this.now() });
      socket.once('close', () => this.remove(socket));
      if (this.isNearlyFull()) this.closeLeastRecentlyUsed();
    });
  }

  /** A request for this path is about to be served. */
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

  /** The request of this connection has its response. */
  requestFinished(socket: Socket): void {
    const connection = this.openConnections.get(socket);
    if (!connection) return;
    connection.isServing = false;
    connection.lastUsedAt = this.now();
    // To the end of the order of last use.
    this.openConnections.delete(socket);
    this.openConnections.set(socket, connection);
  }

  /** Whether a client that asked for this path is to be disconnected after its response. */
  shouldClose(path: string): boolean {
    return this.isNearlyFull() && classifyClient(path) === this.kindOverShare();
  }

  private remove(socket: Socket): void {
    const connection = this.openConnections.get(socket);
    if (connection?.kind) this.countByKind[connection.kind]--;
    this.openConnections.delete(socket);
  }

  private isNearlyFull(): boolean {
    return this.openConnections.size >= this.maxConnections * (1 - FREE_SHARE);
  }

  private kindOverShare(): 'worker' | 'user' {
    return this.countByKind.user > this.maxConnections * USER_SHARE ? 'user' : 'worker';
  }

  private closeLeastRecentlyUsed(): void {
    const now = this.now();
    const kindOverShare = this.kindOverShare();
    for (const [socket, { kind, isServing, lastUsedAt }] of this.openConnections) {
      if (now - lastUsedAt < MIN_IDLE_MS) return;
      if (isServing || (kind !== null && kind !== kindOverShare)) continue;
      socket.destroy();
      return;
    }
  }
}
