/** Shares a bounded number of accepted connections among workers, users and health checks. */

import type { Server, Socket } from 'node:net';
import { HEARTBEAT_PATH, READINESS_PATH } from './http-paths.js';

type ClientKind = 'worker' | 'user' | 'probe';

interface Connection {
  /** By its last request; null: it has sent none yet. */
  kind: ClientKind | null;
  /** Whether a request is being served on it. */
  busy: boolean;
  /** When it was opened or last answered on; monotonic ms. */
  usedAt: number;
}

/** Part of the connections that users may take while others need them. */
const USER_SHARE = 0.3;
/** Part of the connections that is kept free for newcomers. */
const FREE_SHARE = 0.04;
/** An idle connection may be closed by us only when unused for this long: its next request may be on its way. */
const MIN_IDLE_MS = 1000;

function clientKind(path: string): ClientKind {
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
  private readonly open = new Map<Socket, Connection>();
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
    return this.open.size;
  }

  /** Bounds and follows the connections of a server. */
  attach(server: Server): void {
    server.maxConnections = this.maxConnections;
    server.on('connection', (socket: Socket) => {
      this.open.set(socket, { kind: null, busy: false, usedAt: this.now() });
      socket.once('close', () => this.forget(socket));
      if (this.isNearlyFull()) this.closeLongestUnused();
    });
  }

  /** A request for this path is about to be served. */
  requestStarted(socket: Socket, path: string): void {
    const connection = this.open.get(socket);
    if (!connection) return;
    const kind = clientKind(path);
    if (connection.kind !== kind) {
      if (connection.kind) this.countByKind[connection.kind]--;
      this.countByKind[kind]++;
      connection.kind = kind;
    }
    connection.busy = true;
  }

  /** The request of this connection has its response. */
  requestFinished(socket: Socket): void {
    const connection = this.open.get(socket);
    if (!connection) return;
    connection.busy = false;
    connection.usedAt = this.now();
    // To the end of the order of last use.
    this.open.delete(socket);
    this.open.set(socket, connection);
  }

  /** Whether a client that asked for this path is to be disconnected after its response. */
  mustClose(path: string): boolean {
    return this.isNearlyFull() && clientKind(path) === this.kindOverShare();
  }

  private forget(socket: Socket): void {
    const connection = this.open.get(socket);
    if (connection?.kind) this.countByKind[connection.kind]--;
    this.open.delete(socket);
  }

  private isNearlyFull(): boolean {
    return this.open.size >= this.maxConnections * (1 - FREE_SHARE);
  }

  private kindOverShare(): 'worker' | 'user' {
    return this.countByKind.user > this.maxConnections * USER_SHARE ? 'user' : 'worker';
  }

  private closeLongestUnused(): void {
    const now = this.now();
    const kindOverShare = this.kindOverShare();
    for (const [socket, { kind, busy, usedAt }] of this.open) {
      if (now - usedAt < MIN_IDLE_MS) return;
      if (busy || (kind !== null && kind !== kindOverShare)) continue;
      socket.destroy();
      return;
    }
  }
}
