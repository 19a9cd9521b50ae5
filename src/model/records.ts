/** Records in the key-value store. */

import type { JobSpec } from './job.js';

export interface NodeRecord {
  instanceId: string;
  leaseId: number;
}

export interface LeaderRecord {
  instanceId: string;
  nodeName: string;
  fencingToken: number;
}

export interface TokenRecord {
  fencingToken: number;
}

export interface OwnerRecord {
  instanceId: string;
}

/**
 * Records in the state service:
 *   open/<id>/a   the job as accepted, `x` once cancelled     open/<id>/n   its counter
 *   place/<id>/k  last placements of its k-th chunk of tasks  end/<id>      its final answer
 *   sys/leader, sys/token, sys/node/<host>, sys/team/<name>, sys/types
 */
export interface JobRecord {
  spec: JobSpec;
  /** Revision of acceptance, known only after it; kept when the record is written again. */
  acceptedRevision?: number;
  cancelled?: true;
}

export interface CounterRecord {
  finishedTasks: number;
  runningTasks: number;
  finishedBitmap: string;
}

export interface FinalRecord {
  isDone: boolean;
  finishedTasks: number;
}

/** The last attempt of a task, and where it is; null once it is settled. */
export interface PlacementEntry {
  attempt: number;
  location: { machine: string; agentEpoch: number; zone: string } | null;
}

export interface PlacementRecord {
  tasks: Map<number, PlacementEntry>;
}
