/** Resource requests, grants and placements, which shard owners and the leader exchange. */

import type { ExitReason, Priority, TaskPhase } from './job.js';

/** A request for capacity for tasks of one job that its shard owner would start now. */
export interface ResourceRequest {
  jobId: string;
  team: string;
  jobClass: string;
  priority: Priority;
  /**
   * Queue position among requests of the same priority, guaranteed share and missed objectives; the lowest
   * goes first.
   */
  queuePosition: number;
  /**
   * Number of objectives that the job can no longer meet; 0 while it can still meet its first objective or
   * its deadline. A job that has waited very long, or whose objectives have expired, counts as 0 again.
   */
  missedObjectives: number;
  taskCount: number;
  /** Whether the job is a gang, whose tasks must all be placed at once. */
  isGang: boolean;
  isService: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  estimatedRunSeconds: number;
  machineTypes: string[] | null;
  spotAllowed: boolean;
  /**
   * Whether no task of the request has been placed for a long time; it may then use capacity kept for others.
   */
  isStarved?: boolean;
  /** Whether only spot machines are worth renting for the request. */
  spotOnly?: boolean;
  zone: string | null;
  zoneAffinity: boolean;
  /**
   * For jobs that must be spread: the number of further tasks allowed in each zone that already has some;
   * null: the job need not be spread.
   */
  zoneAllowance: Record<string, number> | null;
  /** Number of tasks allowed in a zone that is not in `zoneAllowance`. */
  defaultZoneAllowance: number;
  /** Machines on which this job failed recently or that refused one of its tasks. */
  avoidedMachines: string[];
  /**
   * The tasks still to be placed, if they are few and at least one of them has had an attempt: a machine that
   * lists exited attempts of all of them is of no use. Null or absent: there are many, none has had an
   * attempt, or the job is a gang, which places all its tasks.
   */
  remainingTasks?: number[] | null;
  /** Machines that would refuse every task still to be placed; set by the leader. */
  refusingMachines?: ReadonlySet<string>;
  /** The machine on which a task of the job last finished; empty: none yet. */
  preferredMachine: string;
  /**
   * Seconds that the request may wait for slots without putting its objective at risk; null: it has no
   * objective. Set by the leader.
   */
  maxWaitSeconds: number | null;
  /**
   * The job's deadline or its objective on finishing, and the seconds left until then; null: there is none,
   * or it has passed.
   */
  objectiveSeconds: number | null;
  slackSeconds: number | null;
  /** The newest grant that the shard owner has processed; the request excludes tasks granted up to it. */
  lastProcessedGrantId: number;
}

/** A placement that is not finalized, as sent by its shard owner to the leader. */
export interface PlacementSpec {
  jobId: string;
  taskIndex: number;
  attempt: number;
  machine: string;
  workerEpoch: number;
  /**
   * The state that the shard owner wants the attempt to be in. `run`: to be run by its worker. `stop`: to be
   * stopped by its worker. `keep`: the attempt has exited and its outcome is being stored. `forget`: its
   * outcome is stored and its worker may remove it. `pending`: the write of the placement is in flight or
   * indeterminate; the placement keeps its slot, but no task is started for it.
   */
  desiredState: 'run' | 'stop' | 'keep' | 'forget' | 'pending';
  /** With the desired state `stop`: seconds that the task gets to save its progress. */
  gracePeriodSeconds: number;
  team: string;
  priority: Priority;
  isGang: boolean;
  isService: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  estimatedRunSeconds: number;
  machineTypes: string[] | null;
  /** Whether the job must be spread over zones. */
  spreadOverZones: boolean;
  /** The grant that the placement used; 0: no grant of this leader, or not relevant. */
  grantId: number;
}

/** A slot for one task of a job, granted by the leader. */
export interface Grant {
  /** Increases with each grant of a leader. */
  id: number;
  jobId: string;
  team: string;
  machine: string;
  zone: string;
  workerEpoch: number;
  /**
   * Tasks of the job of which the machine lists an attempt that has exited; it would refuse another attempt.
   * Absent: none.
   */
  exitedTasks?: number[];
}

/** A change to a placement that the leader has observed. */
export type AllocationEvent =
  /** The worker of an attempt lists the attempt in this phase. */
  | {
      type: 'phase';
      jobId: string;
      taskIndex: number;
      attempt: number;
      machine: string;
      phase: TaskPhase;
      exitReason: ExitReason | null;
      checkpointSaved: boolean;
    }
  /** The attempt has ended without being listed as exited: its worker does not have it and never will. */
  | { type: 'finalized'; jobId: string; taskIndex: number; attempt: number; machine: string };
