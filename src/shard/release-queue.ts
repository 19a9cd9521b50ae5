/** In which order the jobs of a team are released, by their age, objectives, sizes and remaining work. */

import type { JobSpec } from '../model/job.js';
import type { ServiceLevelObjective } from '../model/team.js';
import { JobSizes } from './job-sizes.js';

/** Longest time that a large array is moved back in its queue, and that a job of long tasks is moved forward. */
const MAX_SHIFT_MS = 60_000;
/** Longest time that a job waits behind younger ones. */
const MAX_WAIT_MS = 120_000;
/** A queue in which a job has waited so long without having begun in full is overloaded. */
const OVERLOADED_AFTER_MS = 60_000;
/** Objectives on finishing are given up once a job is older than this multiple of the last of them. */
const OVERDUE_FACTOR = 3;
/** Estimates of run times are often too low by half. */
const ESTIMATE_MARGIN = 1.75;
/** Tasks that a team is assumed to run at a time while it runs fewer. */
const MIN_PARALLEL_TASKS = 10;
/** In an overloaded queue: time within which users expect a job to begin in full. */
const BEGIN_WITHIN_SECONDS = 240;
/** In an overloaded queue: weight of the remaining work of a job that has begun in full. */
const BEGUN_WORK_FACTOR = 2;
/**
 * In an overloaded queue: time that a large gang waits before it precedes small jobs. It needs as many places at once as
 * a dozen small ones, which all begin in time before it, and it still begins within `BEGIN_WITHIN_SECONDS`.
 */
const LARGE_GANG_AFTER_SECONDS = 90;
/** In an overloaded queue: share of the running tasks up to which large jobs precede small ones. */
const LARGE_JOBS_SHARE = 0.65;
/** Least remaining work that a response ratio is taken of. */
const MIN_WORK_SECONDS = 1;
/** Position before all jobs that may still be moved back. */
const LONG_WAIT_HEAD_START_MS = 10 * MAX_SHIFT_MS;

/** What the order of release depends on, of a job that is neither done nor cancelled. */
export interface QueuedJob {
  spec: JobSpec;
  /** Revision at which the job was accepted. */
  acceptedRevision: number;
  /** Tasks that are finished, and tasks that are placed now. */
  finishedTasks: number;
  placedTasks: number;
  failures: number;
}

/** Place in the queue within a priority: by missed objectives first, by position second, lower first. */
export interface QueueKey {
  /** 0 while the job can still meet its first objective or its deadline, more for each one missed. */
  missedObjectives: number;
  /** Time of day of its acceptance in ms, shifted by what the job still needs. */
  position: number;
}

/** What a team runs now and may run at most, in tasks of arrays and gangs. */
export interface TeamLoad {
  runningTasks: number;
  /** Most tasks of this job that the quota of its team admits at a time. */
  maxParallel(spec: JobSpec): number;
  /** Tasks like those of this job that the quota of its team admits at a time: infinite without a quota. */
  tasksAtQuota(spec: JobSpec): number;
}

/**
 * The order in which the jobs of a team are released.
 *
 * Jobs are released in the order of their acceptance, with two exceptions that end after `MAX_WAIT_MS`: a job that can
 * still meet its objective precedes one that cannot, and large arrays are moved back by the time that they would occupy the
 * team's places.
 *
 * A queue in which a job has not begun in full after `OVERLOADED_AFTER_MS` has more work than places. Release by age would
 * let one large array hold up every job behind it there, so the jobs of such a queue are released by response ratio
 * (highest response ratio next): the wait in multiples of the work that is left. Jobs that can still begin in full within
 * `BEGIN_WITHIN_SECONDS` precede the others, and among these the large ones of each class do as long as they run less than
 * their share.
 */
export class ReleaseQueue {
  /** Objectives on finishing by class in seconds, shortest first. */
  private readonly finishObjectives = new Map<string, number[]>();
  private readonly sizes = new JobSizes();

  constructor(objectives: readonly ServiceLevelObjective[]) {
    for (const { kind, jobClass, withinSeconds } of objectives) {
      if (kind !== 'finished') continue;
      const ofClass = [...(this.finishObjectives.get(jobClass) ?? []), withinSeconds];
      this.finishObjectives.set(
        jobClass,
        ofClass.sort((a, b) => a - b),
      );
    }
  }

  /** The shortest objective on finishing of a job's class, if it has one. */
  firstObjectiveSeconds(spec: JobSpec): number | undefined {
    return this.finishObjectives.get(spec.jobClass)?.[0];
  }

  /** A job has been accepted: what counts as large in its class depends on it. */
  learn(spec: JobSpec): void {
    this.sizes.record(spec);
  }

  /**
   * Sorts the jobs that have tasks to release by priority and key, and gives each its key. `jobs` are those of any
   * teams that are neither done nor cancelled.
   */
  sort<J extends QueuedJob>(
    jobs: readonly J[],
    wallMs: number,
    loadOf: (team: string) => TeamLoad,
  ): { job: J; key: QueueKey }[] {
    const queues = new Map<string, J[]>();
    for (const job of jobs) {
      const { team, priority, kind } = job.spec;
      const name = `${priority}|${kind === 'service'}|${team}`;
      const queue = queues.get(name);
      if (queue) queue.push(job);
      else queues.set(name, [job]);
    }
    const sorted = [...queues.values()].flatMap((queue) =>
      this.sortQueue(queue, wallMs, loadOf(queue[0]?.spec.team ?? '')),
    );
    return sorted.sort(
      (one, other) =>
        one.job.spec.priority - other.job.spec.priority ||
        one.key.missedObjectives - other.key.missedObjectives ||
        one.key.position - other.key.position ||
        one.job.acceptedRevision - other.job.acceptedRevision,
    );
  }

  /** Jobs of one team and priority. */
  private sortQueue<J extends QueuedJob>(
    queue: J[],
    wallMs: number,
    load: TeamLoad,
  ): { job: J; key: QueueKey }[] {
    const waiting = queue.filter((job) => openTasks(job) > 0);
    const keyed = waiting.map((job) => ({ job, key: this.key(job, wallMs, load) }));
    if (!waiting.some((job) => isStarved(job, wallMs, load))) return keyed;
    // The turns of this queue among those of other teams stay as they are; which of its jobs takes which changes.
    const turns = keyed
      .map(({ key }) => key)
      .sort((a, b) => a.missedObjectives - b.missedObjectives || a.position - b.position);
    const ranked = this.byResponseRatio(waiting, {
      largeHaveTheirShare: this.largeHaveTheirShare(queue),
      wallMs,
      load,
    });
    return turns.flatMap((key, turn) => {
      const job = ranked[turn];
      return job ? [{ job, key }] : [];
    });
  }

  private byResponseRatio<J extends QueuedJob>(
    waiting: J[],
    { largeHaveTheirShare, wallMs, load }: { largeHaveTheirShare: boolean; wallMs: number; load: TeamLoad },
  ): J[] {
    const ranked = waiting.map((job) => {
      const inTime = canBeginInTime(job, wallMs, load);
      const goesFirst = inTime && !largeHaveTheirShare && this.isLargeAndDue(job.spec, wallMs);
      return { job, tier: goesFirst ? 0 : inTime ? 1 : 2, ratio: responseRatio(job, wallMs, load) };
    });
    ranked.sort(
      (one, other) =>
        one.tier - other.tier ||
        other.ratio - one.ratio ||
        one.job.acceptedRevision - other.job.acceptedRevision,
    );
    return ranked.map(({ job }) => job);
  }

  private isLargeAndDue(spec: JobSpec, wallMs: number): boolean {
    return (
      this.sizes.isLarge(spec) &&
      (spec.kind !== 'gang' || waitSeconds(spec, wallMs) >= LARGE_GANG_AFTER_SECONDS)
    );
  }

  private largeHaveTheirShare(queue: readonly QueuedJob[]): boolean {
    let running = 0;
    let large = 0;
    for (const { spec, placedTasks } of queue) {
      running += placedTasks;
      if (this.sizes.isLarge(spec)) large += placedTasks;
    }
    return large >= LARGE_JOBS_SHARE * running && large > 0;
  }

  private key(job: QueuedJob, wallMs: number, load: TeamLoad): QueueKey {
    return { missedObjectives: this.missedObjectives(job, wallMs), position: position(job, wallMs, load) };
  }

  private missedObjectives(job: QueuedJob, wallMs: number): number {
    const { spec } = job;
    if (hasWaitedLong(job, wallMs)) return 0;
    if (spec.deadlineSeconds !== null)
      return wallMs + spec.estimatedRunSeconds * 1000 <= spec.acceptedAtMs + spec.deadlineSeconds * 1000
        ? 0
        : 1;
    const objectives = this.finishObjectives.get(spec.jobClass);
    if (!objectives || spec.kind === 'service') return 0;
    const ageSeconds = (wallMs - spec.acceptedAtMs) / 1000;
    if (ageSeconds > (objectives.at(-1) ?? 0) * OVERDUE_FACTOR) return 0;
    const next = objectives.findIndex((seconds) => ageSeconds + spec.estimatedRunSeconds <= seconds);
    return next < 0 ? objectives.length : next;
  }
}

function position(job: QueuedJob, wallMs: number, load: TeamLoad): number {
  const { spec } = job;
  if (spec.kind === 'service') return spec.acceptedAtMs;
  // Before all that may still be moved back, in the order of acceptance.
  if (hasWaitedLong(job, wallMs)) return spec.acceptedAtMs - LONG_WAIT_HEAD_START_MS;
  const parallel = parallelTasks(spec, load);
  const backMs = (2000 * spec.estimatedRunSeconds * (spec.taskCount - job.finishedTasks)) / parallel;
  // What must start first to be in time goes first: long tasks before short ones of the same age.
  const forwardMs = ESTIMATE_MARGIN * spec.estimatedRunSeconds * 1000;
  return spec.acceptedAtMs + Math.min(MAX_SHIFT_MS, backMs) - Math.min(MAX_SHIFT_MS, forwardMs);
}

/** Tasks that run beside one another. Before any gang runs, the quota of its team tells how many will. */
function parallelTasks(spec: JobSpec, load: TeamLoad): number {
  const atQuota = spec.kind === 'gang' ? load.tasksAtQuota(spec) : 0;
  return Math.max(MIN_PARALLEL_TASKS, load.runningTasks, Number.isFinite(atQuota) ? atQuota : 0);
}

function openTasks(job: QueuedJob): number {
  return job.spec.taskCount - job.finishedTasks - job.placedTasks;
}

function hasWaitedLong(job: QueuedJob, wallMs: number): boolean {
  return job.spec.kind !== 'service' && wallMs - job.spec.acceptedAtMs > MAX_WAIT_MS && openTasks(job) > 0;
}

/** Jobs that fail wherever they run wait for their users, not for room. */
function isStarved(job: QueuedJob, wallMs: number, load: TeamLoad): boolean {
  if (job.spec.kind === 'service' || job.failures > 0) return false;
  return wallMs - job.spec.acceptedAtMs > OVERLOADED_AFTER_MS && tasksToBegin(job, load) > 0;
}

/** Tasks that must begin until all have, or as many as the quota of the team admits at a time: begun in full. */
function tasksToBegin(job: QueuedJob, load: TeamLoad): number {
  const inFull = Math.min(job.spec.taskCount, load.maxParallel(job.spec));
  return Math.max(0, inFull - job.finishedTasks - job.placedTasks);
}

/** Time that some tasks of a job take in the places that the team has now. */
function workSeconds(spec: JobSpec, tasks: number, load: TeamLoad): number {
  const parallel = Math.max(MIN_PARALLEL_TASKS, load.runningTasks);
  return Math.max(MIN_WORK_SECONDS, (tasks * spec.estimatedRunSeconds) / parallel);
}

function waitSeconds(spec: JobSpec, wallMs: number): number {
  return Math.max(0, (wallMs - spec.acceptedAtMs) / 1000);
}

function canBeginInTime(job: QueuedJob, wallMs: number, load: TeamLoad): boolean {
  const toBegin = tasksToBegin(job, load);
  const beginSeconds = workSeconds(job.spec, toBegin, load);
  return toBegin > 0 && waitSeconds(job.spec, wallMs) + beginSeconds <= BEGIN_WITHIN_SECONDS;
}

/** (wait + work) / work. */
function responseRatio(job: QueuedJob, wallMs: number, load: TeamLoad): number {
  const { spec } = job;
  const toBegin = tasksToBegin(job, load);
  const work = workSeconds(spec, toBegin > 0 ? toBegin : spec.taskCount * BEGUN_WORK_FACTOR, load);
  return (waitSeconds(spec, wallMs) + work) / work;
}
