/** Records in the key-value store, the only place where controllers keep state; their keys are in src/store/keyspace.ts. */

import type { JobSpec } from './job.js';

/** `sys/node/<host>`: a controller that is alive; the record hangs on the lease that it names. */
export interface NodeRecord {
  instanceId: string;
  /** The lease that this record belongs to. */
  leaseId: number;
}

/** `sys/leader`: the elected leader, as long as its lease lives. */
export interface LeaderRecord {
  instanceId: string;
  nodeName: string;
  fencingToken: number;
}

/** `sys/token`: the highest fencing token ever given. */
export interface TokenRecord {
  fencingToken: number;
}

/** `sys/team/<name>`: the owner of a team's shard. `fence/<host>`: the instance that last moved the fence. */
export interface OwnerRecord {
  instanceId: string;
}

/** `open/<id>/a`: a job as accepted. */
export interface JobRecord {
  spec: JobSpec;
  /** Revision of acceptance, known only after it; kept when the record is written again. */
  acceptedRevision?: number;
  cancelled?: true;
}

/** `open/<id>/n`: how many of a job's tasks are done and running, and which are done. */
export interface CounterRecord {
  finishedTasks: number;
  /** When it was last written: it is not written for each task that starts. */
  runningTasks: number;
  /** Which tasks are finished; see `store/completion-bitmap.ts`. */
  finishedBitmap: string;
}

/** `end/<id>`: the final answer about a job, done or else cancelled. It replaces all other records of the job. */
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

/** `place/<id>/<chunk>`: the last placements of a chunk of a job's tasks, by task index. */
export interface PlacementRecord {
  /** By task index. */
  tasks: Map<number, PlacementEntry>;
}
