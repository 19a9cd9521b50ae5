/** What workers and the leader tell one another. */

import type { ExitReason, TaskPhase } from './job.js';

export interface TaskStatus {
  jobId: string;
  taskIndex: number;
  attempt: number;
  phase: TaskPhase;
  exitReason: ExitReason | null;
  checkpointSaved: boolean;
}

export interface Heartbeat {
  machine: string;
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  evictionNoticeSeconds: number | null;
  tasks: TaskStatus[];
}

export type WorkerCommand =
  | { type: 'start'; jobId: string; taskIndex: number; attempt: number }
  | { type: 'stop'; jobId: string; taskIndex: number; attempt: number; gracePeriodSeconds: number }
  | { type: 'forget'; jobId: string; taskIndex: number; attempt: number };
