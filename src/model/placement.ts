/** Resource requests, grants and placements, as shard owners and the leader exchange them. */

import type { ExitReason, Priority, TaskPhase } from './job.js';

/** Tasks of one job that its owner would start now if it had places for them. */
export interface ResourceRequest {
  jobId: string;
  team: string;
  jobClass: string;
  priority: Priority;
  /** Place in the queue within priority, guaranteed share and missed objectives: lower goes first. */
  queuePosition: number;
  /** 0 while the job can still meet its first objective or deadline, more for each one missed. */
  missedObjectives: number;
  taskCount: number;
  /** All its tasks are to be placed at once: a gang. */
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
  /** Nothing of it has found a place for long: capacity kept for others is open to it. */
  isStarved?: boolean;
  /** Only spot instances are worth renting for it. */
  spotOnly?: boolean;
  zone: string | null;
  zoneAffinity: boolean;
  /** Tasks that may still go to each zone where some are, for jobs that must be spread; null: the job need not be. */
  zoneAllowance: Record<string, number> | null;
  /** Tasks that may go to a zone that `zoneAllowance` does not name. */
  defaultZoneAllowance: number;
  /** Machines on which this job failed lately. */
  avoidedMachines: string[];
  /**
   * The tasks still to be placed, where they are few and one of them has had an attempt: a machine that lists ended
   * attempts of all of them is of no use. Null: many, or none that any machine could list; a gang places all its tasks.
   */
  remainingTasks?: number[] | null;
  /** Machines that would refuse each task still to be placed; the leader fills it in. */
  refusingMachines?: ReadonlySet<string>;
  /** Where a task of it has finished last; empty: nowhere yet. */
  preferredMachine: string;
  /** So long it may still wait for places without putting its objective at risk; null: it has none. The leader fills it in. */
  maxWaitSeconds: number | null;
  /** Its objective or deadline on being done, and what is left until then; null: none, or past it. */
  objectiveSeconds: number | null;
  slackSeconds: number | null;
  /** The newest grant that its owner had taken in: the request no longer asks for what was granted up to it. */
  lastProcessedGrantId: number;
}

/** A placement that is not finalized, as its owner sends it to the leader. */
export interface PlacementSpec {
  jobId: string;
  taskIndex: number;
  attempt: number;
  machine: string;
  agentEpoch: number;
  /**
   * `run` and `stop`: what its worker is to do. `keep`: it has exited, and its outcome is being stored. `forget`: its outcome is
   * stored, and its worker may remove it. `pending`: its write is in flight or indeterminate; it keeps its place, and nothing is
   * started for it.
   */
  desiredState: 'run' | 'stop' | 'keep' | 'forget' | 'pending';
  /** With `stop`: time to save its progress. */
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
  /** Its job must be spread over zones. */
  spreadOverZones: boolean;
  /** The grant it was placed by; 0: none of this leader's, or it does not matter. */
  grantId: number;
}

/** A place for one task of a job. */
export interface Grant {
  /** Rises with each grant of a leader. */
  id: number;
  jobId: string;
  team: string;
  machine: string;
  zone: string;
  agentEpoch: number;
  /** Tasks of the job of which the machine lists an attempt that has exited: it would refuse another one. Absent: none. */
  endedTasks?: number[];
}

/** What became of a placement, as the leader saw it. */
export type AllocationEvent =
  /** Its worker lists it in this phase. */
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
  /** It has ended without being listed so: its worker no longer has it, and never will. */
  | { type: 'finalized'; jobId: string; taskIndex: number; attempt: number; machine: string };
