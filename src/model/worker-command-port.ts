/** Direct commands to workers. */

import type { ResultCallback } from './result.js';
import type { Heartbeat, WorkerCommand } from './worker-messages.js';

/** Commands in one message, which the worker carries out in order. */
export interface CommandBatch {
  /** The worker carries nothing out if it has seen a higher one. */
  fencingToken: number;
  /** The worker carries nothing out in another epoch. */
  agentEpoch: number;
  /** None: the worker is only asked for its heartbeat. */
  commands: WorkerCommand[];
}

/** Sends commands to workers without waiting for their heartbeats. */
export interface WorkerCommandPort {
  /**
   * Sends commands to the worker at `address` (`HOST:PORT`); the result is its heartbeat after them. Fails as
   * - `refused` if nothing was carried out;
   * - `conflict`, with the worker's heartbeat, if it did not accept the token or the epoch;
   * - `invalid` if the worker could not read the message;
   * - `indeterminate` if the commands may have been carried out, or may yet be.
   */
  sendCommands(address: string, batch: CommandBatch, callback: ResultCallback<Heartbeat>): void;
}
