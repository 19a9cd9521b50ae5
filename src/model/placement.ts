/** Demand, grants and placements, as shard owners and the leader exchange them. */

import type { ExitReason, Priority, TaskPhase } from './job.js';

/** Work of one job that its owner would start now if it had room. */
export interface ResourceRequest {
  jobId: string;
  team: string;
  jobClass: string;
  priority: Priority;
  /** Place in the queue within rank, guarantee and stage: lower goes first. */
  queuePosition: number;
  /** 0 while the job can still meet its first aim or deadline, more for each one missed. */
  missedObjectives: number;
  taskCount: number;
  /** All or none. */
  allOrNothing: boolean;
  isService: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  estimatedRunSeconds: number;
  machineTypes: string[] | null;
  spotAllowed: boolean;
  /** Nothing of it has found room for long: room kept for others is open to it. */
  isStarved?: boolean;
  /** Only cheap machines are worth renting for it. */
  spotOnly?: boolean;
  zone: string | null;
  zoneAffinity: boolean;
  /** At most so many more in a zone, for jobs that must be spread. */
  zoneAllowance: Record<string, number> | null;
  maxTasksPerZone: number;
  /** Machines on which this job failed lately. */
  avoidedMachines: string[];
  /**
   * The tasks still to be placed, where they are few and one of them has had an attempt: a machine that lists ended
   * attempts of all of them is of no use. Null: many, or none that any machine could list; a gang places all its tasks.
   */
  remainingTasks?: number[] | null;
  /** Machines that would refuse each task still to be placed: the scheduler's reckoning. */
  refusingMachines?: ReadonlySet<string>;
  preferredMachine: string;
  /** So long it may still wait for places without putting its aim at risk: the scheduler's reckoning; null: it has none. */
  maxWaitSeconds: number | null;
  /** Its aim on being done, and what is left until then; null: none, or past it. */
  objectiveSeconds: number | null;
  slackSeconds: number | null;
  /** The newest grant that its owner had taken in: what it granted is no longer wanted. */
  lastGrantTaken: number;
}

/** An unsettled placement as its owner tells it to the scheduler. */
export interface PlacementSpec {
  jobId: string;
  taskIndex: number;
  attempt: number;
  machine: string;
  agentEpoch: number;
  /**
   * `keep`: ended, its outcome is being stored. `pending`: its write is in flight or in doubt; it keeps its room, and nothing
   * is started for it.
   */
  desiredState: 'run' | 'stop' | 'keep' | 'forget' | 'pending';
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
  /** Must be spread over zones. */
  spreadOverZones: boolean;
  grantId: number;
}

export interface Grant {
  id: number;
  jobId: string;
  team: string;
  machine: string;
  zone: string;
  agentEpoch: number;
  /** Tasks of the job of which the machine lists an ended attempt: it would refuse another one. Absent: none. */
  endedTasks?: number[];
}

/** What became of placements, as the scheduler saw it. */
export type AllocationEvent =
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
  | { type: 'finalized'; jobId: string; taskIndex: number; attempt: number; machine: string };
