/** Direct commands to workers, over a bounded number of connections. */

import type { Result, ResultCallback } from '../model/result.js';
import type { CommandBatch, WorkerCommandPort } from '../model/worker-command-port.js';
import type { Heartbeat } from '../model/worker-messages.js';
import { parseJson } from '../wire/json.js';
import { decodeHeartbeat, encodeDirectCommands } from '../wire/worker-messages.js';
import { HttpClient, type HttpReply } from './http-client.js';

/** Time for a call, the wait for a connection included. */
const CALL_DEADLINE_MS = 2000;
/** A connection unused for so long is closed: sockets are needed for heartbeats and users. */
const IDLE_TIMEOUT_MS = 30_000;
/** Time between two looks at waiting calls and idle connections. */
const CHECK_INTERVAL_MS = 500;

const COMMANDS_PATH = '/commands';

interface Connection {
  /** Of one socket. */
  client: HttpClient;
  callsInProgress: number;
  /** When it was last used; wall-clock ms. */
  usedAt: number;
}

interface WaitingCall {
  address: string;
  /** Wall-clock ms. */
  expiresAt: number;
  /** Sends the call on the connection it has been given. */
  send: (connection: Connection) => void;
  onExpired: () => void;
}

/**
 * One connection to a worker at most: a controller that kept one to every worker of a large fleet would have no sockets
 * left for their heartbeats. Beyond the bound the connection longest unused is closed; when all are in use, calls that
 * carry commands go before those that only ask for a heartbeat.
 */
export class WorkerClient implements WorkerCommandPort {
  /** By the worker's address, in order of last use. */
  private readonly connections = new Map<string, Connection>();
  private readonly waitingCommands: WaitingCall[] = [];
  private readonly waitingQueries: WaitingCall[] = [];
  private timer: NodeJS.Timeout | null = null;

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
    const expiresAt = Date.now() + CALL_DEADLINE_MS;
    const send = (connection: Connection) => {
      const call = {
        method: 'POST',
        path: COMMANDS_PATH,
        body: encodeDirectCommands(batch),
        deadlineMs: Math.max(1, expiresAt - Date.now()),
      };
      connection.callsInProgress++;
      connection.client.call(call, (reply) => {
        connection.callsInProgress--;
        this.sendWaiting();
        onResult(resultOf(reply));
      });
    };
    const connection = this.connectionTo(address);
    if (connection) {
      send(connection);
      return;
    }
    const queue = batch.commands.length > 0 ? this.waitingCommands : this.waitingQueries;
    queue.push({ address, expiresAt, send, onExpired: () => onResult({ ok: false, kind: 'refused' }) });
    this.scheduleCheck();
  }

  /** The connection to a worker, or null if there is none and no room for one more. */
  private connectionTo(address: string): Connection | null {
    const now = Date.now();
    let connection = this.connections.get(address);
    if (!connection) {
      if (this.connections.size >= this.maxConnections && !this.closeLongestUnused(now, 0)) return null;
      connection = { client: new HttpClient(address, 1), callsInProgress: 0, usedAt: now };
    }
    connection.usedAt = now;
    // To the end of the order of last use.
    this.connections.delete(address);
    this.connections.set(address, connection);
    this.scheduleCheck();
    return connection;
  }

  /** Closes the longest unused connection that carries no call, if it has been unused for at least so long. */
  private closeLongestUnused(now: number, minIdleMs: number): boolean {
    for (const [address, connection] of this.connections) {
      if (connection.callsInProgress > 0) continue;
      if (now - connection.usedAt < minIdleMs) return false;
      connection.client.closeIdle();
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
        const connection = expired ? null : this.connectionTo(call.address);
        if (!connection && !expired) return;
        queue.shift();
        if (connection) call.send(connection);
        else call.onExpired();
      }
  }

  /** The timer runs while there are connections or waiting calls, and does not keep the process alive. */
  private scheduleCheck(): void {
    if (this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = null;
      this.check();
    }, CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  private check(): void {
    const now = Date.now();
    this.sendWaiting();
    while (this.closeLongestUnused(now, IDLE_TIMEOUT_MS));
    const waiting = this.waitingCommands.length + this.waitingQueries.length;
    if (this.connections.size > 0 || waiting > 0) this.scheduleCheck();
  }
}

function resultOf(reply: HttpReply): Result<Heartbeat> {
  if (reply.status === 0) return { ok: false, kind: reply.sent ? 'indeterminate' : 'refused' };
  const heartbeat = decodeHeartbeat(parseJson(reply.text));
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
