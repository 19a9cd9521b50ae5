/** Messages between workers and the leader. */

import type { ExitReason, TaskAttempt, TaskPhase } from './job.js';

/** The status of an attempt as listed by its worker. */
export interface TaskStatus extends TaskAttempt {
  phase: TaskPhase;
  /** Why the attempt exited; null until then. */
  exitReason: ExitReason | null;
  /** Whether the task saved its progress when it was stopped. */
  checkpointSaved: boolean;
}

/**
 * The message that a worker sends at regular intervals. It describes the machine and lists all attempts on
 * it; exited ones stay listed until they are forgotten.
 */
export interface Heartbeat {
  machine: string;
  /** Address (`HOST:PORT`) at which the worker accepts commands. */
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** Starts at 1 and increases each time the worker's lease expires, which ends all its tasks. */
  workerEpoch: number;
  /**
   * Increases with each message of the worker; of two messages of the same epoch, the one with the higher
   * number is newer.
   */
  sequence: number;
  /**
   * The highest fencing token that the worker has seen; 0: none. The worker drops commands with a lower
   * token.
   */
  fencingToken: number;
  /** Seconds until the cloud reclaims the machine; null: no eviction notice. */
  evictionNoticeSeconds: number | null;
  tasks: TaskStatus[];
}

/**
 * A command to a worker. `start` has no effect while the worker lists the attempt, even as exited. `stop`
 * lets a task save its progress if the grace period suffices; a grace period of 0 ends the task at once.
 * `forget` removes an exited attempt from the worker's list; a repeated `start` would then run it again.
 */
export type WorkerCommand =
  | { type: 'start'; jobId: string; taskIndex: number; attempt: number }
  | { type: 'stop'; jobId: string; taskIndex: number; attempt: number; gracePeriodSeconds: number }
  | { type: 'forget'; jobId: string; taskIndex: number; attempt: number };
