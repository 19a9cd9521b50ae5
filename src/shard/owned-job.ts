/** A job as its shard owner holds it, and the placements of its tasks. */

import { DependencyCounter, FanOut } from '../model/dependency-counter.js';
import type { JobSpec } from '../model/job.js';
import type { PlacementSpec } from '../model/placement.js';
import type { StoredJob } from '../store/stored-job.js';

/** One attempt of a task on a machine, from its grant until it is finalized. */
export interface Placement {
  taskIndex: number;
  attempt: number;
  machine: string;
  workerEpoch: number;
  zone: string;
  /** The grant it was placed by; 0: one of an earlier leader. */
  grantId: number;
  /** In the key-value store; before that no start may be sent. */
  isStored: boolean;
  desiredState: 'run' | 'stop';
  isRunning: boolean;
}

/** A finalized placement whose outcome is to be stored. */
export interface FinalizedPlacement {
  placement: Placement;
  /** Its worker lists it, and may remove it once the outcome is stored. */
  isListed: boolean;
}

/** A job as its owner holds it: the stored records, and what has changed since they were written. */
export interface OwnedJob {
  spec: JobSpec;
  /** Revision at which it was accepted. */
  acceptedRevision: number;
  /** Revisions of its record and of its counter's; 0: there is none. */
  jobRevision: number;
  counterRevision: number;
  cancelled: boolean;
  counter: DependencyCounter;
  fanOut: FanOut;
  /** By task index. */
  placements: Map<number, Placement>;
  /** The last attempt of each task that has had one. */
  attempts: Map<number, number>;
  /** Revisions of its placement records, by chunk. */
  chunkRevisions: Map<number, number>;
  /** Chunks whose placements have changed since they were written; the same of the counter. */
  dirtyChunks: Set<number>;
  counterDirty: boolean;
  /** When what is dirty should be written, in steady ms; Infinity: nothing is. */
  dueAt: number;
  /** Part of the transaction now in flight. */
  writeInFlight: boolean;
  /** Its records are being read again; nothing is decided meanwhile. */
  isReloading: boolean;
  /** Nothing of it is started before this time, in steady ms: it has failed. */
  holdUntil: number;
  /** Failures since a task last finished. */
  failures: number;
  /** Machines that get none of its tasks until the given time, in steady ms. */
  avoidedMachines: Map<string, number>;
  /** Where its last finished task ran: the next one goes there if it can. */
  preferredMachine: string;
  runningTasks: number;
  /** What the counter record says of them. */
  storedRunningTasks: number;
  outcomesToStore: FinalizedPlacement[];
  /** Those whose outcome is in the transaction now in flight, or indeterminate. */
  outcomesInFlight: FinalizedPlacement[];
}

/** What an owned job is made of. */
export interface OwnedJobSource {
  spec: JobSpec;
  stored: StoredJob;
  /** What its owner held before reading the records again. */
  previous?: OwnedJob | undefined;
  /** See `FanOut`. */
  releaseWindow: number;
}

/**
 * A job from its stored records, without its placements. A cancellation that the watch has shown meanwhile is never taken
 * back.
 */
export function createOwnedJob({ spec, stored, previous, releaseWindow }: OwnedJobSource): OwnedJob {
  const chunkRevisions = new Map<number, number>();
  const attempts = new Map<number, number>();
  for (const [chunk, { modRevision, tasks }] of stored.placementChunks) {
    chunkRevisions.set(chunk, modRevision);
    for (const [taskIndex, { attempt }] of tasks) attempts.set(taskIndex, attempt);
  }
  return {
    spec,
    acceptedRevision: stored.acceptedRevision,
    jobRevision: Math.max(stored.jobRevision, previous?.jobRevision ?? 0),
    counterRevision: stored.counterRevision,
    cancelled: stored.cancelled || previous?.cancelled === true,
    counter: stored.counter ?? new DependencyCounter(spec.taskCount),
    fanOut: new FanOut(spec.taskCount, releaseWindow),
    placements: new Map(),
    attempts,
    chunkRevisions,
    dirtyChunks: new Set(),
    counterDirty: false,
    dueAt: Number.POSITIVE_INFINITY,
    writeInFlight: false,
    isReloading: false,
    holdUntil: previous?.holdUntil ?? 0,
    failures: previous?.failures ?? 0,
    avoidedMachines: previous?.avoidedMachines ?? new Map(),
    preferredMachine: previous?.preferredMachine ?? '',
    runningTasks: 0,
    storedRunningTasks: stored.runningTasks,
    outcomesToStore: [],
    outcomesInFlight: [],
  };
}

/** The placements that the stored records have on machines, other than those of finished tasks. */
export function placementsFromStore(
  job: OwnedJob,
  stored: StoredJob,
  previous: OwnedJob | undefined,
): Placement[] {
  const placements: Placement[] = [];
  for (const { tasks } of stored.placementChunks.values()) {
    for (const [taskIndex, { attempt, location }] of tasks) {
      if (!location || job.counter.has(taskIndex)) continue;
      placements.push({
        taskIndex,
        attempt,
        ...location,
        grantId: 0,
        isStored: true,
        desiredState: job.cancelled ? 'stop' : 'run',
        isRunning: previous?.placements.get(taskIndex)?.isRunning ?? false,
      });
    }
  }
  return placements;
}

/** Over: done or cancelled, and nothing of it is left on any machine. */
export function isOver(job: OwnedJob): boolean {
  return (job.cancelled || (job.counter.isComplete && !job.counterDirty)) && job.placements.size === 0;
}

/** Whether placements of it that are not known to be stored may be: a write is in flight, or its outcome is being read. */
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

/** Whether one more task may go to this zone, given all placements of the job that are not finalized. */
export function zoneAllows(job: OwnedJob, zone: string): boolean {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (!spec.zoneAffinity && !spec.zoneAntiAffinity) return true;
  let tasksThere = 0;
  for (const placement of job.placements.values()) {
    if (placement.zone === zone) tasksThere++;
    else if (spec.zoneAffinity) return false;
  }
  return !spec.zoneAntiAffinity || tasksThere < Math.ceil(spec.taskCount / 2);
}

/** What identifies a placement to the leader. */
export interface PlacementRef {
  taskIndex: number;
  attempt: number;
  machine: string;
  workerEpoch: number;
}

/** What the leader is to do about a placement. */
export type PlacementOrder = Pick<PlacementSpec, 'desiredState'> &
  Partial<Pick<PlacementSpec, 'gracePeriodSeconds' | 'grantId'>>;

/** A placement as it is sent to the leader. */
export function placementSpecOf(
  job: OwnedJob,
  placement: PlacementRef,
  { desiredState, gracePeriodSeconds = 0, grantId = 0 }: PlacementOrder,
): PlacementSpec {
  const { spec } = job;
  return {
    jobId: spec.id,
    taskIndex: placement.taskIndex,
    attempt: placement.attempt,
    machine: placement.machine,
    workerEpoch: placement.workerEpoch,
    desiredState,
    gracePeriodSeconds,
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
    grantId,
  };
}
