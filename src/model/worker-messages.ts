/** What workers and the leader tell one another. */

import type { ExitReason, TaskAttempt, TaskPhase } from './job.js';

/** An attempt as its worker lists it. */
export interface TaskStatus extends TaskAttempt {
  phase: TaskPhase;
  /** Null until it has exited. */
  exitReason: ExitReason | null;
  /** Its progress was saved when it was stopped. */
  checkpointSaved: boolean;
}

/** A worker's regular message: its machine, and all tasks there, exited ones included until they are forgotten. */
export interface Heartbeat {
  machine: string;
  /** `HOST:PORT` to which commands may be sent. */
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** Starts at 1 and increases each time the worker's lease expires; all its tasks are gone then. */
  agentEpoch: number;
  /** Increases with each message of the worker: of two of the same epoch the one with the larger number is the newer. */
  sequence: number;
  /** The highest token the worker has seen; 0: none. It drops commands with a lower one. */
  fencingToken: number;
  /** Seconds until the cloud takes the machine away; null: no such notice. */
  evictionNoticeSeconds: number | null;
  tasks: TaskStatus[];
}

/**
 * What a worker is told to do. `start` has no effect while the worker lists the attempt, exited or not. `stop` lets a task
 * save if the grace period suffices; 0 ends it at once. `forget` removes an exited attempt from its lists: a repeated `start`
 * would run it again.
 */
export type WorkerCommand =
  | { type: 'start'; jobId: string; taskIndex: number; attempt: number }
  | { type: 'stop'; jobId: string; taskIndex: number; attempt: number; gracePeriodSeconds: number }
  | { type: 'forget'; jobId: string; taskIndex: number; attempt: number };
