/**
 * The records that controllers keep in the key-value store, which holds all their persistent state. The keys
 * are defined in src/store/keyspace.ts.
 */

import type { JobSpec } from './job.js';

/** `sys/node/<node>`: a live controller. The record is attached to the lease that it names. */
export interface NodeRecord {
  instanceId: string;
  /** The lease that this record is attached to. */
  leaseId: number;
}

/** `sys/leader`: the elected leader; the record is attached to the leader's lease. */
export interface LeaderRecord {
  instanceId: string;
  nodeName: string;
  fencingToken: number;
}

/** `sys/token`: the highest fencing token issued. */
export interface TokenRecord {
  fencingToken: number;
}

/**
 * `sys/handover`: written by a leader that gives up its leadership since it hears no workers. The record holds
 * for the next leader only, the one with the next fencing token.
 */
export interface HandoverRecord {
  /** Fencing token under which the leader led. */
  fencingToken: number;
  /** The controllers that handed over one after the other, the writer last. */
  nodeNames: string[];
}

/**
 * `sys/team/<team>`: the owner of a team's shard. `fence/<node>`: the instance that last moved the write
 * fence.
 */
export interface OwnerRecord {
  instanceId: string;
}

/** `open/<job>/a`: a job as accepted. */
export interface JobRecord {
  spec: JobSpec;
  /**
   * Store revision at which the job was accepted. It is known only after the first write; later writes of the
   * record keep it.
   */
  acceptedRevision?: number;
  cancelled?: true;
}

/** `open/<job>/n`: the numbers of a job's finished and running tasks, and which tasks are finished. */
export interface CounterRecord {
  finishedTasks: number;
  /**
   * Number of running tasks at the last write of the record, which is not written for every task that starts.
   */
  runningTasks: number;
  /** The finished tasks, encoded as described in src/store/completion-bitmap.ts. */
  finishedBitmap: string;
}

/** `end/<job>`: the final state of a job, done or cancelled. It replaces all other records of the job. */
export interface FinalRecord {
  /** Whether the job is done; otherwise it was cancelled. */
  isDone: boolean;
  finishedTasks: number;
}

/** The last attempt of a task and its location, which is null once the attempt is finalized. */
export interface PlacementEntry {
  attempt: number;
  location: { machine: string; workerEpoch: number; zone: string } | null;
}

/** `place/<job>/<chunk>`: the last placements of one chunk of a job's tasks. */
export interface PlacementRecord {
  /** The placements, by task index. */
  tasks: Map<number, PlacementEntry>;
}
