/**
 * Determines the order in which capacity is requested for jobs (their release) by priority, objectives, age,
 * size and estimated remaining work.
 */

import type { JobSpec } from '../model/job.js';
import type { ServiceLevelObjective } from '../model/team.js';
import { JobSizes } from './job-sizes.js';

/** Upper bound both on the delay of a job for its remaining work and on its advance for a long run time. */
const MAX_SHIFT_MS = 60_000;
/** Age after which a job no longer waits behind younger ones, unless its queue is overloaded. */
const AGED_AFTER_MS = 120_000;
/** A queue is overloaded if a job in it without failures is not fully started after this time. */
const OVERLOADED_AFTER_MS = 60_000;
/** Completion objectives are ignored once a job is older than this multiple of the longest of them. */
const OBJECTIVE_EXPIRY_FACTOR = 3;
/** Factor on estimated run times, which are often too low by half. */
const ESTIMATE_SAFETY_FACTOR = 1.75;
/** A team is assumed to run at least this many tasks in parallel. */
const MIN_PARALLEL_TASKS = 10;
/** In an overloaded queue: time after acceptance within which users expect a job to be fully started. */
const FULL_START_TARGET_SECONDS = 240;
/** In an overloaded queue: factor on the task count of a fully started job when its work is estimated. */
const FULLY_STARTED_WORK_FACTOR = 2;
/**
 * In an overloaded queue: time that a large gang waits before it precedes small jobs. It needs as much
 * capacity at once as a dozen small gangs. If those go first, they all start in time, and the large gang
 * still starts within `FULL_START_TARGET_SECONDS`.
 */
const LARGE_GANG_MIN_WAIT_SECONDS = 90;
/** In an overloaded queue: large jobs precede small ones until they hold this share of its placed tasks. */
const LARGE_JOBS_MAX_SHARE = 0.65;
/** Lower bound on estimated work, which response ratios are divided by. */
const MIN_WORK_SECONDS = 1;
/** Advance of an aged job, large enough to precede every job whose position may still be delayed. */
const AGED_JOB_ADVANCE_MS = 10 * MAX_SHIFT_MS;

/** The state of a job, neither done nor cancelled, that the release order depends on. */
export interface QueuedJob {
  spec: JobSpec;
  /** Revision at which the job was accepted. */
  acceptedRevision: number;
  finishedTasks: number;
  /** Tasks that have a placement now. */
  placedTasks: number;
  /** Failed tasks since one last finished. */
  failures: number;
}

/**
 * Sort key of a job within its priority: compared by missed objectives, then by position; the lowest goes
 * first. In an overloaded queue, the same keys are reassigned to the jobs by response ratio.
 */
export interface QueueKey {
  /**
   * If the job has a deadline: 1 if it can no longer meet it, otherwise 0. If it has none: the number of
   * completion objectives of its class that it can no longer meet, shortest first; 0 for services and once
   * the objectives have expired. Always 0 for an aged job.
   */
  missedObjectives: number;
  /**
   * Acceptance time of the job in wall-clock ms; except for services, shifted by its remaining work and its
   * run time, or moved ahead by `AGED_JOB_ADVANCE_MS` once it is aged.
   */
  position: number;
}

/** How many tasks of a team are placed, and how many its quota admits. */
export interface TeamLoad {
  /** Placed tasks of its arrays and gangs. */
  placedBatchTasks: number;
  /** `tasksAtQuota`, but at most the task count of this job. */
  maxParallelTasks(spec: JobSpec): number;
  /** How many tasks of this job's size the team's quota admits in parallel; infinite without a quota. */
  tasksAtQuota(spec: JobSpec): number;
}

/**
 * The order in which jobs are released. The jobs of one team and one priority form a queue, with a separate
 * queue for services.
 *
 * Jobs are released in the order of their acceptance, with exceptions that apply until a job is older than
 * `AGED_AFTER_MS`: a job that can still meet its objective precedes one that cannot, a job is delayed in
 * proportion to the time that its remaining tasks would occupy the team's capacity, and advanced in
 * proportion to the run time of one task, each by at most `MAX_SHIFT_MS`.
 *
 * A queue in which a job is not fully started after `OVERLOADED_AFTER_MS` has more work than capacity. If
 * such a queue were released by age, one large array would block every job behind it. Its jobs are therefore
 * released by highest response ratio next, where the work of a job is what it takes to start it fully. Jobs
 * that can still be fully started within `FULL_START_TARGET_SECONDS` precede the others. Among them, jobs
 * that are large for their class go first until they hold `LARGE_JOBS_MAX_SHARE` of the placed tasks.
 *
 * A job is fully started when all its tasks, or as many as its team's quota admits in parallel, are placed or
 * finished.
 */
export class ReleaseQueue {
  /** Completion objectives in seconds by job class, shortest first. */
  private readonly completionObjectives = new Map<string, number[]>();
  private readonly sizes = new JobSizes();

  constructor(objectives: readonly ServiceLevelObjective[]) {
    for (const { kind, jobClass, withinSeconds } of objectives) {
      if (kind !== 'finished') continue;
      const classObjectives = [...(this.completionObjectives.get(jobClass) ?? []), withinSeconds];
      this.completionObjectives.set(
        jobClass,
        classObjectives.sort((a, b) => a - b),
      );
    }
  }

  /** The shortest completion objective of the job's class, or undefined if the class has none. */
  shortestObjectiveSeconds(spec: JobSpec): number | undefined {
    return this.completionObjectives.get(spec.jobClass)?.[0];
  }

  /**
   * Adds a job to the sizes that determine which jobs count as large in its class. It is called when a job is
   * accepted or its shard is loaded, so a job counts again if its shard is loaded again.
   */
  recordSize(spec: JobSpec): void {
    this.sizes.record(spec);
  }

  /**
   * Returns the jobs with unplaced tasks, sorted by priority and sort key. `jobs` must contain all jobs of
   * the teams that are neither done nor cancelled: those without unplaced tasks count toward the share of
   * large jobs.
   */
  sort<J extends QueuedJob>(
    jobs: readonly J[],
    wallMs: number,
    loadOf: (team: string) => TeamLoad,
  ): { job: J; key: QueueKey }[] {
    const queues = new Map<string, J[]>();
    for (const job of jobs) {
      const { team, priority, kind } = job.spec;
      const queueId = `${priority}|${kind === 'service'}|${team}`;
      const queue = queues.get(queueId);
      if (queue) queue.push(job);
      else queues.set(queueId, [job]);
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

  /** Orders the jobs of one queue; an overloaded queue is ranked by response ratio. */
  private sortQueue<J extends QueuedJob>(
    queue: J[],
    wallMs: number,
    load: TeamLoad,
  ): { job: J; key: QueueKey }[] {
    const waiting = queue.filter((job) => unplacedOf(job) > 0);
    const keyed = waiting.map((job) => ({ job, key: this.keyOf(job, wallMs, load) }));
    if (!waiting.some((job) => indicatesOverload(job, wallMs, load))) return keyed;
    // The set of keys stays the same, so that the queue neither gains nor loses against queues of other
    // teams: only the assignment of the keys to its jobs changes.
    const sortedKeys = keyed
      .map(({ key }) => key)
      .sort((a, b) => a.missedObjectives - b.missedObjectives || a.position - b.position);
    const ranked = this.byResponseRatio(waiting, {
      isLargeJobShareReached: this.isLargeJobShareReached(queue),
      wallMs,
      load,
    });
    return sortedKeys.flatMap((key, index) => {
      const job = ranked[index];
      return job ? [{ job, key }] : [];
    });
  }

  /** Ranks jobs by tier, then by response ratio, highest first. */
  private byResponseRatio<J extends QueuedJob>(
    waiting: J[],
    {
      isLargeJobShareReached,
      wallMs,
      load,
    }: { isLargeJobShareReached: boolean; wallMs: number; load: TeamLoad },
  ): J[] {
    const ranked = waiting.map((job) => {
      const startsInTime = canFullyStartInTime(job, wallMs, load);
      const goesFirst = startsInTime && !isLargeJobShareReached && this.isLargeAndDue(job.spec, wallMs);
      return { job, tier: goesFirst ? 0 : startsInTime ? 1 : 2, ratio: responseRatio(job, wallMs, load) };
    });
    ranked.sort(
      (one, other) =>
        one.tier - other.tier ||
        other.ratio - one.ratio ||
        one.job.acceptedRevision - other.job.acceptedRevision,
    );
    return ranked.map(({ job }) => job);
  }

  /** Whether the job is large for its class and, if it is a gang, has waited long enough to go first. */
  private isLargeAndDue(spec: JobSpec, wallMs: number): boolean {
    return (
      this.sizes.isLarge(spec) &&
      (spec.kind !== 'gang' || waitSeconds(spec, wallMs) >= LARGE_GANG_MIN_WAIT_SECONDS)
    );
  }

  /** Whether large jobs hold `LARGE_JOBS_MAX_SHARE` or more of the queue's placed tasks. */
  private isLargeJobShareReached(queue: readonly QueuedJob[]): boolean {
    let placed = 0;
    let placedOfLargeJobs = 0;
    for (const { spec, placedTasks } of queue) {
      placed += placedTasks;
      if (this.sizes.isLarge(spec)) placedOfLargeJobs += placedTasks;
    }
    return placedOfLargeJobs >= LARGE_JOBS_MAX_SHARE * placed && placedOfLargeJobs > 0;
  }

  private keyOf(job: QueuedJob, wallMs: number, load: TeamLoad): QueueKey {
    return { missedObjectives: this.missedObjectives(job, wallMs), position: positionOf(job, wallMs, load) };
  }

  private missedObjectives(job: QueuedJob, wallMs: number): number {
    const { spec } = job;
    if (isAged(job, wallMs)) return 0;
    if (spec.deadlineSeconds !== null)
      return wallMs + spec.estimatedRunSeconds * 1000 <= spec.acceptedAtMs + spec.deadlineSeconds * 1000
        ? 0
        : 1;
    const objectives = this.completionObjectives.get(spec.jobClass);
    if (!objectives || spec.kind === 'service') return 0;
    const ageSeconds = (wallMs - spec.acceptedAtMs) / 1000;
    if (ageSeconds > (objectives.at(-1) ?? 0) * OBJECTIVE_EXPIRY_FACTOR) return 0;
    const firstReachable = objectives.findIndex(
      (seconds) => ageSeconds + spec.estimatedRunSeconds <= seconds,
    );
    return firstReachable < 0 ? objectives.length : firstReachable;
  }
}

function positionOf(job: QueuedJob, wallMs: number, load: TeamLoad): number {
  const { spec } = job;
  if (spec.kind === 'service') return spec.acceptedAtMs;
  // Aged jobs precede all jobs that may still be delayed, in the order of acceptance.
  if (isAged(job, wallMs)) return spec.acceptedAtMs - AGED_JOB_ADVANCE_MS;
  const parallel = estimateParallelTasks(spec, load);
  const delayMs = (2000 * spec.estimatedRunSeconds * (spec.taskCount - job.finishedTasks)) / parallel;
  // A job with long tasks must start earlier to finish in time than one of the same age with short tasks.
  const advanceMs = ESTIMATE_SAFETY_FACTOR * spec.estimatedRunSeconds * 1000;
  return spec.acceptedAtMs + Math.min(MAX_SHIFT_MS, delayMs) - Math.min(MAX_SHIFT_MS, advanceMs);
}

/**
 * Estimates how many tasks the team runs in parallel; before gangs run, the team's quota tells how many will.
 */
function estimateParallelTasks(spec: JobSpec, load: TeamLoad): number {
  const quotaTasks = spec.kind === 'gang' ? load.tasksAtQuota(spec) : 0;
  return Math.max(MIN_PARALLEL_TASKS, load.placedBatchTasks, Number.isFinite(quotaTasks) ? quotaTasks : 0);
}

/** Counts the tasks of a job that are neither finished nor placed. */
function unplacedOf(job: QueuedJob): number {
  return job.spec.taskCount - job.finishedTasks - job.placedTasks;
}

/** Whether the job is not a service, has unplaced tasks and is older than `AGED_AFTER_MS`. */
function isAged(job: QueuedJob, wallMs: number): boolean {
  return job.spec.kind !== 'service' && wallMs - job.spec.acceptedAtMs > AGED_AFTER_MS && unplacedOf(job) > 0;
}

/**
 * Whether the wait of this job shows that its queue is overloaded. Services do not count, and neither do jobs
 * with failures: those need a fix by their users, not capacity.
 */
function indicatesOverload(job: QueuedJob, wallMs: number, load: TeamLoad): boolean {
  if (job.spec.kind === 'service' || job.failures > 0) return false;
  return wallMs - job.spec.acceptedAtMs > OVERLOADED_AFTER_MS && tasksToFullStart(job, load) > 0;
}

/** Tasks still to be placed until the job is fully started; see `ReleaseQueue`. */
function tasksToFullStart(job: QueuedJob, load: TeamLoad): number {
  const fullStartTasks = Math.min(job.spec.taskCount, load.maxParallelTasks(job.spec));
  return Math.max(0, fullStartTasks - job.finishedTasks - job.placedTasks);
}

/** Estimates how long this many tasks of a job take at the team's present parallelism. */
function estimateWorkSeconds(spec: JobSpec, tasks: number, load: TeamLoad): number {
  const parallel = Math.max(MIN_PARALLEL_TASKS, load.placedBatchTasks);
  return Math.max(MIN_WORK_SECONDS, (tasks * spec.estimatedRunSeconds) / parallel);
}

function waitSeconds(spec: JobSpec, wallMs: number): number {
  return Math.max(0, (wallMs - spec.acceptedAtMs) / 1000);
}

/**
 * Whether the job is not fully started and can still be within `FULL_START_TARGET_SECONDS` of its acceptance.
 */
function canFullyStartInTime(job: QueuedJob, wallMs: number, load: TeamLoad): boolean {
  const tasksToStart = tasksToFullStart(job, load);
  const startSeconds = estimateWorkSeconds(job.spec, tasksToStart, load);
  return tasksToStart > 0 && waitSeconds(job.spec, wallMs) + startSeconds <= FULL_START_TARGET_SECONDS;
}

/**
 * The response ratio of a job: (wait + work) / work. The work is that of the tasks still to be placed until
 * it is fully started, or of `FULLY_STARTED_WORK_FACTOR` times all its tasks if it is fully started.
 */
function responseRatio(job: QueuedJob, wallMs: number, load: TeamLoad): number {
  const { spec } = job;
  const tasksToStart = tasksToFullStart(job, load);
  const workSeconds = estimateWorkSeconds(
    spec,
    tasksToStart > 0 ? tasksToStart : spec.taskCount * FULLY_STARTED_WORK_FACTOR,
    load,
  );
  return (waitSeconds(spec, wallMs) + workSeconds) / workSeconds;
}
