/** HTTP client for direct commands to workers, with a limited number of connections. */

import type { Result, ResultCallback } from '../model/result.js';
import type { CommandBatch, WorkerCommandPort } from '../model/worker-command-port.js';
import type { Heartbeat } from '../model/worker-messages.js';
import { parseJson } from '../wire/json.js';
import { decodeHeartbeat, encodeDirectCommands } from '../wire/worker-messages.js';
import { HttpClient, type HttpReply } from './http-client.js';

/** Timeout of a call, including the wait for a connection. */
const CALL_TIMEOUT_MS = 2000;
/**
 * Time since the start of the last call on a connection to a worker after which the idle connection is
 * closed, because sockets are needed for heartbeats and users.
 */
const IDLE_TIMEOUT_MS = 30_000;
/** Interval at which waiting calls and idle connections are checked. */
const MAINTENANCE_INTERVAL_MS = 500;

const COMMANDS_PATH = '/commands';

interface WorkerConnection {
  /** HTTP client of one worker; uses a single socket. */
  client: HttpClient;
  callsInProgress: number;
  /** When a call last started on the connection; wall-clock ms. */
  lastUsedAt: number;
}

interface WaitingCall {
  address: string;
  /** When the call times out; wall-clock ms. */
  expiresAt: number;
  /** Sends the call on the given connection. */
  send: (connection: WorkerConnection) => void;
  onExpired: () => void;
}

/**
 * Keeps at most one connection per worker, and at most `maxConnections` in total: with a connection to every
 * worker of a large fleet, no sockets would be left for heartbeats. At the limit the least recently used idle
 * connection is closed. If all connections are in use, calls with commands are sent before calls that only
 * query a heartbeat.
 */
export class WorkerClient implements WorkerCommandPort {
  /** Connections by worker address, in order of last use. */
  private readonly connections = new Map<string, WorkerConnection>();
  private readonly waitingCommands: WaitingCall[] = [];
  private readonly waitingQueries: WaitingCall[] = [];
  private maintenanceTimer: NodeJS.Timeout | null = null;

  constructor(private readonly maxConnections: number) {}

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /**
   * Sends commands to the worker at `address`, or only queries its heartbeat if there are none. Fails as
   * - `refused` if nothing was executed: no connection was available in time, the connection could not be
   *   established, or the worker refused without a readable heartbeat;
   * - `conflict`, with the worker's heartbeat, if the worker did not accept the fencing token or the epoch;
   * - `invalid` if the worker could not decode the request;
   * - `indeterminate` if the commands may have been executed or may still be executed.
   */
  sendCommands(address: string, batch: CommandBatch, onResult: ResultCallback<Heartbeat>): void {
    const expiresAt = Date.now() + CALL_TIMEOUT_MS;
    const send = (connection: WorkerConnection) => {
      const call = {
        method: 'POST',
        path: COMMANDS_PATH,
        body: encodeDirectCommands(batch),
        timeoutMs: Math.max(1, expiresAt - Date.now()),
      };
      connection.callsInProgress++;
      connection.client.call(call, (reply) => {
        connection.callsInProgress--;
        this.sendWaiting();
        onResult(toResult(reply));
      });
    };
    const connection = this.acquireConnection(address);
    if (connection) {
      send(connection);
      return;
    }
    const queue = batch.commands.length > 0 ? this.waitingCommands : this.waitingQueries;
    queue.push({ address, expiresAt, send, onExpired: () => onResult({ ok: false, kind: 'refused' }) });
    this.scheduleMaintenance();
  }

  /** Returns a connection to a worker, or null if all connections are in use by calls to other workers. */
  private acquireConnection(address: string): WorkerConnection | null {
    const now = Date.now();
    let connection = this.connections.get(address);
    if (!connection) {
      if (this.connections.size >= this.maxConnections && !this.closeLeastRecentlyUsed(now, 0)) return null;
      connection = { client: new HttpClient(address, 1), callsInProgress: 0, lastUsedAt: now };
    }
    connection.lastUsedAt = now;
    // Re-inserting moves the connection to the end of the order of last use.
    this.connections.delete(address);
    this.connections.set(address, connection);
    this.scheduleMaintenance();
    return connection;
  }

  /**
   * Closes the least recently used connection without a call if its last call started at least `minIdleMs`
   * ago. Returns whether it has closed one.
   */
  private closeLeastRecentlyUsed(now: number, minIdleMs: number): boolean {
    for (const [address, connection] of this.connections) {
      if (connection.callsInProgress > 0) continue;
      if (now - connection.lastUsedAt < minIdleMs) return false;
      connection.client.closeIdleConnections();
      this.connections.delete(address);
      return true;
    }
    return false;
  }

  /** Sends or expires waiting calls, commands first, until the first call that must keep waiting. */
  private sendWaiting(): void {
    const now = Date.now();
    for (const queue of [this.waitingCommands, this.waitingQueries])
      for (let call = queue[0]; call; call = queue[0]) {
        const expired = call.expiresAt <= now;
        const connection = expired ? null : this.acquireConnection(call.address);
        if (!connection && !expired) return;
        queue.shift();
        if (connection) call.send(connection);
        else call.onExpired();
      }
  }

  /**
   * Starts the maintenance timer, which runs while there are connections or waiting calls. It does not keep
   * the process alive.
   */
  private scheduleMaintenance(): void {
    if (this.maintenanceTimer) return;
    this.maintenanceTimer = setTimeout(() => {
      this.maintenanceTimer = null;
      this.runMaintenance();
    }, MAINTENANCE_INTERVAL_MS);
    this.maintenanceTimer.unref();
  }

  private runMaintenance(): void {
    const now = Date.now();
    this.sendWaiting();
    while (this.closeLeastRecentlyUsed(now, IDLE_TIMEOUT_MS));
    const waiting = this.waitingCommands.length + this.waitingQueries.length;
    if (this.connections.size > 0 || waiting > 0) this.scheduleMaintenance();
  }
}

function toResult(reply: HttpReply): Result<Heartbeat> {
  if (reply.status === 0) return { ok: false, kind: reply.sent ? 'indeterminate' : 'refused' };
  const heartbeat = decodeHeartbeat(parseJson(reply.body));
  switch (reply.status) {
    case 200:
      return heartbeat ? { ok: true, value: heartbeat } : { ok: false, kind: 'indeterminate' };
    case 409:
      return heartbeat ? { ok: false, kind: 'conflict', heartbeat } : { ok: false, kind: 'refused' };
    case 400:
      return { ok: false, kind: 'invalid' };
    default:
      return { ok: false, kind: 'indeterminate' };
  }
}
