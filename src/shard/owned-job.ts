import { DependencyCounter, FanOut } from '../model/dependency-counter.js';
import type { JobSpec } from '../model/job.js';
import type { PlacementSpec } from '../model/placement.js';
import type { StoredJob } from '../store/stored-job.js';

/** One attempt of a task on a machine, from its grant until it is settled. */
export interface Placement {
  taskIndex: number;
  attempt: number;
  machine: string;
  agentEpoch: number;
  zone: string;
  grantId: number;
  /** In the state service; before that no start may be sent. */
  isStored: boolean;
  desiredState: 'run' | 'stop';
  isRunning: boolean;
}

/** A settled placement to be removed from its worker's list once its outcome is stored; `listed`: the worker lists it. */
export interface FinalizedPlacement {
  placement: Placement;
  isListed: boolean;
}

/** A job as its owner holds it: the stored records, and what has changed since they were written. */
export interface OwnedJob {
  spec: JobSpec;
  /** Revision at which it was accepted. */
  acceptedRevision: number;
  jobRevision: number;
  counterRevision: number;
  cancelled: boolean;
  counter: DependencyCounter;
  fanOut: FanOut;
  placements: Map<number, Placement>;
  /** The last attempt of each task that has had one. */
  attempts: Map<number, number>;
  chunkRevisions: Map<number, number>;
  dirtyChunks: Set<number>;
  counterDirty: boolean;
  /** When what is dirty should be written; Infinity: nothing is. */
  dueAt: number;
  /** In the transaction now in flight. */
  writeInFlight: boolean;
  /** Stored state is being read again; nothing is decided meanwhile. */
  isReloading: boolean;
  /** Nothing of it is started before this time: it has failed. */
  holdUntil: number;
  failures: number;
  /** Machines that get none of its tasks until the given time. */
  avoidedMachines: Map<string, number>;
  /** Where its last finished task ran: the next one goes there if it can. */
  preferredMachine: string;
  runningTasks: number;
  storedRunningTasks: number;
  outcomesToStore: FinalizedPlacement[];
  /** Those whose outcome is in the transaction now in flight, or in doubt. */
  outcomesInFlight: FinalizedPlacement[];
}

/**
 * A job from its stored records; `old` is what its owner held before reading them again. A cancellation that the watch has
 * shown meanwhile is never taken back.
 */
export function createOwnedJob(
  spec: JobSpec,
  stored: StoredJob,
  old: OwnedJob | undefined,
  window: number,
): OwnedJob {
  return {
    spec,
    acceptedRevision: stored.acceptedRevision,
    jobRevision: Math.max(stored.jobRevision, old?.jobRevision ?? 0),
    counterRevision: stored.counterRevision,
    cancelled: stored.cancelled || old?.cancelled === true,
    counter: stored.counter ?? new DependencyCounter(spec.taskCount),
    fanOut: new FanOut(spec.taskCount, window),
    placements: new Map(),
    attempts: new Map(),
    chunkRevisions: new Map(),
    dirtyChunks: new Set(),
    counterDirty: false,
    dueAt: Number.POSITIVE_INFINITY,
    writeInFlight: false,
    isReloading: false,
    holdUntil: old?.holdUntil ?? 0,
    failures: old?.failures ?? 0,
    avoidedMachines: old?.avoidedMachines ?? new Map(),
    preferredMachine: old?.preferredMachine ?? '',
    runningTasks: 0,
    storedRunningTasks: stored.runningTasks,
    outcomesToStore: [],
    outcomesInFlight: [],
  };
}

/** Over: done or cancelled, and nothing of it is left on any machine. */
export function isOver(job: OwnedJob): boolean {
  return (job.cancelled || (job.counter.isFull && !job.counterDirty)) && job.placements.size === 0;
}

/** Whether placements of it that are not known to be stored may be: a write is in flight, or what became of it is being read. */
export function hasIndeterminateWrite(job: OwnedJob): boolean {
  return job.writeInFlight || job.isReloading;
}

/** All tasks of a gang share one attempt number, above every earlier one. */
export function nextGangAttempt(job: OwnedJob): number {
  let latest = 0;
  for (const placement of job.placements.values()) if (!placement.isStored) return placement.attempt;
  for (const attempt of job.attempts.values()) latest = Math.max(latest, attempt);
  return latest + 1;
}

/** Whether one more task may go to this zone, given all unsettled placements of the job. */
export function zoneAllows(job: OwnedJob, zone: string): boolean {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (!spec.zoneAffinity && !spec.zoneAntiAffinity) return true;
  let there = 0;
  for (const placement of job.placements.values()) {
    if (placement.zone === zone) there++;
    else if (spec.zoneAffinity) return false;
  }
  return !spec.zoneAntiAffinity || there < Math.ceil(spec.taskCount / 2);
}

/** What identifies a placement to the scheduler. */
export interface PlacementRef {
  taskIndex: number;
  attempt: number;
  machine: string;
  agentEpoch: number;
}

/** A placement as the scheduler is told of it. */
export function placementSpecOf(
  job: OwnedJob,
  placement: PlacementRef,
  desiredState: PlacementSpec['desiredState'],
  gracePeriodSeconds = 0,
  grantId = 0,
): PlacementSpec {
  const { spec } = job;
  return {
    jobId: spec.id,
    taskIndex: placement.taskIndex,
    attempt: placement.attempt,
    machine: placement.machine,
    agentEpoch: placement.agentEpoch,
    desiredState: desiredState,
    gracePeriodSeconds: gracePeriodSeconds,
    team: spec.team,
    priority: spec.priority,
    isGang: spec.kind === 'gang',
    isService: spec.kind === 'service',
    cpus: spec.cpus,
    gpus: spec.gpus,
    memoryGb: spec.memoryGb,
    image: spec.image,
    imageGb: spec.imageGb,
    estimatedRunSeconds: spec.estimatedRunSeconds,
    machineTypes: spec.machineTypes,
    spreadOverZones: spec.zoneAntiAffinity && spec.taskCount > 1,
    grantId: grantId,
  };
}
