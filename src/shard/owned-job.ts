/** The state of a job at its shard owner, and the placements of its tasks. */

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
  /**
   * Id of the grant that the placement was made from; 0 after a change of leader or a read from the store.
   */
  grantId: number;
  /** Whether the placement is in the key-value store. Until then its task must not be started. */
  isStored: boolean;
  desiredState: 'run' | 'stop';
  isRunning: boolean;
}

/**
 * A finalized placement whose outcome must be stored. The outcome is stored when the counter record marks the
 * task as finished or, for a task to be run again, when its placement record has the attempt without a
 * location.
 */
export interface FinalizedPlacement {
  placement: Placement;
  /**
   * Whether the worker still lists the attempt, and so is told to forget the attempt once the outcome is
   * stored.
   */
  isListed: boolean;
}

/** The state of a job at its shard owner: its stored records and the changes that are not written yet. */
export interface OwnedJob {
  spec: JobSpec;
  /** Revision at which the job was accepted. */
  acceptedRevision: number;
  /** Revisions of the job record and of the counter record; 0 if there is no such record. */
  jobRevision: number;
  counterRevision: number;
  cancelled: boolean;
  /** The finished tasks: their number, and a bitmap by task index. */
  counter: DependencyCounter;
  /** The tasks that have not been placed, or were put back, in the order in which they are placed. */
  fanOut: FanOut;
  /** Placements that are not finalized, by task index. */
  placements: Map<number, Placement>;
  /** Number of the latest attempt of each task that has had one, by task index. */
  latestAttempts: Map<number, number>;
  /**
   * Revisions of the stored placement records, by chunk: each chunk has the placements of a range of tasks.
   */
  chunkRevisions: Map<number, number>;
  /**
   * Chunks (see `chunkRevisions`) whose placements have changed since they were written, and whether the
   * counter has changed.
   */
  dirtyChunks: Set<number>;
  isCounterDirty: boolean;
  /** When to write the changes of the job, in monotonic ms; Infinity if no write is scheduled. */
  writeDueAt: number;
  /** Whether the job is part of a transaction in flight. */
  isWriteInFlight: boolean;
  /**
   * Whether the job's records are being read again from the key-value store. The job gets no writes, new
   * placements or requests meanwhile.
   */
  isReloading: boolean;
  /** End of the backoff after a failure, in monotonic ms. Until then no capacity is requested. */
  backoffUntil: number;
  /** Number of failed attempts since a task last finished. */
  failures: number;
  /** Machines that the job avoids, each with the end of that time in monotonic ms. */
  avoidedMachines: Map<string, number>;
  /** Machine on which the last finished task ran, preferred for the next one; empty if there is none. */
  preferredMachine: string;
  runningTasks: number;
  /** Number of running tasks in the stored counter record, or in the scheduled write of it. */
  storedRunningTasks: number;
  /** Finalized placements whose outcome must still be stored. */
  outcomesToStore: FinalizedPlacement[];
  /** Finalized placements whose outcome is part of a transaction that is in flight or indeterminate. */
  outcomesInFlight: FinalizedPlacement[];
}

/** The data from which an `OwnedJob` is created. */
export interface OwnedJobInput {
  spec: JobSpec;
  stored: StoredJob;
  /** The state of the job before its records were read again. */
  previous?: OwnedJob | undefined;
  /**
   * Maximum distance, in task indices, of a task released for placement from the first unfinished task; see
   * `FanOut`.
   */
  releaseWindow: number;
}

/**
 * Creates a job from its stored records, without its placements. A cancellation that the watch reported in
 * the meantime is kept even if the records that were read do not contain it yet.
 */
export function createOwnedJob({ spec, stored, previous, releaseWindow }: OwnedJobInput): OwnedJob {
  const chunkRevisions = new Map<number, number>();
  const latestAttempts = new Map<number, number>();
  for (const [chunk, { modRevision, tasks }] of stored.placementChunks) {
    chunkRevisions.set(chunk, modRevision);
    for (const [taskIndex, { attempt }] of tasks) latestAttempts.set(taskIndex, attempt);
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
    latestAttempts,
    chunkRevisions,
    dirtyChunks: new Set(),
    isCounterDirty: false,
    writeDueAt: Number.POSITIVE_INFINITY,
    isWriteInFlight: false,
    isReloading: false,
    backoffUntil: previous?.backoffUntil ?? 0,
    failures: previous?.failures ?? 0,
    avoidedMachines: previous?.avoidedMachines ?? new Map(),
    preferredMachine: previous?.preferredMachine ?? '',
    runningTasks: 0,
    storedRunningTasks: stored.runningTasks,
    outcomesToStore: [],
    outcomesInFlight: [],
  };
}

/**
 * Returns the placements in the stored records that have a location, without those of finished tasks. Whether
 * a task is running is taken from `previous`.
 */
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

/**
 * Returns whether the job can be replaced by its final record: it has no placements left, and it is cancelled
 * or its counter is complete and has no unwritten change.
 */
export function isReadyToArchive(job: OwnedJob): boolean {
  return (job.cancelled || (job.counter.isComplete && !job.isCounterDirty)) && job.placements.size === 0;
}

/**
 * Returns whether placements of the job that are not known to be stored may in fact be: a write is in flight,
 * or the records are being read again.
 */
export function isStoredStateUncertain(job: OwnedJob): boolean {
  return job.isWriteInFlight || job.isReloading;
}

/**
 * Returns the attempt number for the next placement of a gang: that of the placements that are not stored
 * yet, else one above all earlier attempts. All tasks of a gang share one attempt number.
 */
export function nextGangAttempt(job: OwnedJob): number {
  let latest = 0;
  for (const placement of job.placements.values()) if (!placement.isStored) return placement.attempt;
  for (const attempt of job.latestAttempts.values()) latest = Math.max(latest, attempt);
  return latest + 1;
}

/** Returns whether one more task may be placed in a zone, given the placements of the job so far. */
export function allowsZone(job: OwnedJob, zone: string): boolean {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (!spec.zoneAffinity && !spec.zoneAntiAffinity) return true;
  let tasksInZone = 0;
  for (const placement of job.placements.values()) {
    if (placement.zone === zone) tasksInZone++;
    else if (spec.zoneAffinity) return false;
  }
  return !spec.zoneAntiAffinity || tasksInZone < Math.ceil(spec.taskCount / 2);
}

/** The fields that identify a placement to the leader. */
export interface PlacementRef {
  taskIndex: number;
  attempt: number;
  machine: string;
  workerEpoch: number;
}

/** The desired state of a placement that is sent to the leader, and its optional parameters. */
export type PlacementUpdate = Pick<PlacementSpec, 'desiredState'> &
  Partial<Pick<PlacementSpec, 'gracePeriodSeconds' | 'grantId'>>;

/** Returns a placement in the form in which it is sent to the leader. */
export function toPlacementSpec(
  job: OwnedJob,
  placement: PlacementRef,
  { desiredState, gracePeriodSeconds = 0, grantId = 0 }: PlacementUpdate,
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
