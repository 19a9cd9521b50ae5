/** Commands sent directly to workers. */

import type { ResultCallback } from './result.js';
import type { Heartbeat, WorkerCommand } from './worker-messages.js';

/** The commands of one message, which the worker executes in order. */
export interface CommandBatch {
  /**
   * Fencing token under which the commands are sent; the worker executes nothing if it has seen a higher one.
   */
  fencingToken: number;
  /**
   * Worker epoch that the commands are meant for; the worker executes nothing if it is in a different one.
   */
  workerEpoch: number;
  /** The commands; if empty, the worker is only asked for its heartbeat. */
  commands: WorkerCommand[];
}

/** Sends commands to workers without waiting for their next heartbeat. */
export interface WorkerCommandPort {
  /**
   * Sends commands to the worker at `address` (`HOST:PORT`); the result is its heartbeat after executing
   * them. Fails as
   * - `refused` if nothing was executed;
   * - `conflict`, with the worker's heartbeat, if the worker did not accept the token or the epoch;
   * - `invalid` if the worker could not read the message;
   * - `indeterminate` if the commands may have been executed, or may still be.
   */
  sendCommands(address: string, batch: CommandBatch, callback: ResultCallback<Heartbeat>): void;
}
