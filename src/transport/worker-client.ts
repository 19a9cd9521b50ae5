/** Direct commands to workers, over a bounded number of connections. */

import type { Result, ResultCallback } from '../model/result.js';
import type { CommandBatch, WorkerCommandPort } from '../model/worker-command-port.js';
import type { Heartbeat } from '../model/worker-messages.js';
import { parseJson } from '../wire/json.js';
import { decodeHeartbeat, encodeDirectCommands } from '../wire/worker-messages.js';
import { HttpClient, type HttpReply } from './http-client.js';

/** Time for a call, the wait for a connection included. */
const CALL_TIMEOUT_MS = 2000;
/** A connection unused for so long is closed: sockets are needed for heartbeats and users. */
const IDLE_TIMEOUT_MS = 30_000;
/** Time between two looks at waiting calls and idle connections. */
const MAINTENANCE_INTERVAL_MS = 500;

const COMMANDS_PATH = '/commands';

interface WorkerConnection {
  /** Of one socket. */
  client: HttpClient;
  callsInProgress: number;
  /** When it was last used; wall-clock ms. */
  lastUsedAt: number;
}

interface WaitingCall {
  address: string;
  /** Wall-clock ms. */
  expiresAt: number;
  /** Sends the call on the connection it has been given. */
  send: (connection: WorkerConnection) => void;
  onExpired: () => void;
}

/**
 * One connection to a worker at most: a controller that kept one to every worker of a large fleet would have no sockets
 * left for their heartbeats. Beyond the bound the connection longest unused is closed; when all are in use, calls that
 * carry commands go before those that only ask for a heartbeat.
 */
export class WorkerClient implements WorkerCommandPort {
  /** By the worker's address, in order of last use. */
  private readonly connections = new Map<string, WorkerConnection>();
  private readonly waitingCommands: WaitingCall[] = [];
  private readonly waitingQueries: WaitingCall[] = [];
  private maintenanceTimer: NodeJS.Timeout | null = null;

  constructor(private readonly maxConnections: number) {}

  /** Connections kept now. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /**
   * Sends commands to the worker at an address; without commands it only asks for the worker's heartbeat. Fails as
   * - `refused` if nothing was executed: no connection was found in time or could be made, or the worker said so;
   * - `conflict`, with the worker's heartbeat, if the worker did not accept the token or the epoch;
   * - `invalid` if the worker could not read the request;
   * - `indeterminate` if the commands may have been executed, or may yet be.
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

  /** The connection to a worker, or null if there is none and no room for one more. */
  private acquireConnection(address: string): WorkerConnection | null {
    const now = Date.now();
    let connection = this.connections.get(address);
    if (!connection) {
      if (this.connections.size >= this.maxConnections && !this.closeLeastRecentlyUsed(now, 0)) return null;
      connection = { client: new HttpClient(address, 1), callsInProgress: 0, lastUsedAt: now };
    }
    connection.lastUsedAt = now;
    // To the end of the order of last use.
    this.connections.delete(address);
    this.connections.set(address, connection);
    this.scheduleMaintenance();
    return connection;
  }

  /** Closes the longest unused connection that carries no call, if it has been unused for at least so long. */
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

  /** The timer runs while there are connections or waiting calls, and does not keep the process alive. */
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
