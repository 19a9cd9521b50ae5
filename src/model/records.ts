/** Records in the key-value store, by what they mean; `store/keyspace.ts` has their keys. */

import type { JobSpec } from './job.js';

/** A live controller. */
export interface NodeRecord {
  instanceId: string;
  /** The lease that this record belongs to. */
  leaseId: number;
}

/** The elected leader. */
export interface LeaderRecord {
  instanceId: string;
  nodeName: string;
  fencingToken: number;
}

/** The highest fencing token that a leader was elected with. */
export interface TokenRecord {
  fencingToken: number;
}

/** The instance that a shard, or a write fence, belongs to. */
export interface OwnerRecord {
  instanceId: string;
}

/** A job as accepted. */
export interface JobRecord {
  spec: JobSpec;
  /** Revision of acceptance, known only after it; kept when the record is written again. */
  acceptedRevision?: number;
  cancelled?: true;
}

/** How far a job has come. */
export interface CounterRecord {
  finishedTasks: number;
  /** When it was last written: it is not written for each task that starts. */
  runningTasks: number;
  /** Which tasks are finished; see `store/completion-bitmap.ts`. */
  finishedBitmap: string;
}

/** The final answer about a job. */
export interface FinalRecord {
  /** Else it was cancelled. */
  isDone: boolean;
  finishedTasks: number;
}

/** The last attempt of a task, and where it is; null once it is finalized. */
export interface PlacementEntry {
  attempt: number;
  location: { machine: string; agentEpoch: number; zone: string } | null;
}

/** The last attempts of a chunk of tasks. */
export interface PlacementRecord {
  /** By task index. */
  tasks: Map<number, PlacementEntry>;
}
