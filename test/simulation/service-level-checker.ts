/** Checks that no group of jobs is underserved. */

import type { JobSpec } from '../../src/model/job.js';
import type { Team } from '../../src/model/team.js';

/** Time within which at least half of the largest jobs of a class must be served. */
const MAX_LARGE_JOB_WAIT_MS = 240_000;
/** Quantile of the task counts of a class from which a job counts as one of its largest. */
const LARGEST_QUANTILE = 0.75;
/** Minimum share of a group of jobs that must be served. */
const MIN_SERVED_SHARE = 0.5;

interface TrackedJob {
  spec: JobSpec;
  submittedAt: number;
  startedTasks: Set<number>;
  /** When the job was served, see `ServiceLevelChecker`; infinite until then. */
  servedAt: number;
}

/**
 * Counts the jobs that are served. A job is served once all of its tasks, or as many as the quota of its team
 * admits at a time, have started. A scenario fails if fewer than half of the jobs of a class or team are
 * served, or fewer than half of the largest jobs of a class within four minutes.
 */
export class ServiceLevelChecker {
  /** Number of tasks started by commands in flight after the cancellation of their job was confirmed. */
  startsAfterCancellation = 0;
  private readonly jobs = new Map<string, TrackedJob>();

  constructor(private readonly teams: readonly Team[]) {}

  recordSubmission(spec: JobSpec, now: number): void {
    this.jobs.set(spec.id, {
      spec,
      submittedAt: now,
      startedTasks: new Set(),
      servedAt: Number.POSITIVE_INFINITY,
    });
  }

  recordStart(jobId: string, taskIndex: number, now: number): void {
    const job = this.jobs.get(jobId);
    if (!job) return;
    job.startedTasks.add(taskIndex);
    if (job.startedTasks.size >= this.requiredTasks(job.spec)) job.servedAt = Math.min(job.servedAt, now);
  }

  /**
   * Descriptions of the groups of which fewer than half of the jobs were served; excluded jobs do not count.
   */
  underservedGroups(isExcluded: (jobId: string) => boolean): string[] {
    const countedJobs = [...this.jobs.values()].filter(({ spec }) => !isExcluded(spec.id));
    const failures: string[] = [];
    const checkGroup = (name: string, group: TrackedJob[], predicate: (job: TrackedJob) => boolean) => {
      const servedCount = group.filter(predicate).length;
      if (group.length > 0 && servedCount < group.length * MIN_SERVED_SHARE)
        failures.push(`${name}: ${servedCount} of ${group.length} served`);
    };
    const isServed = (job: TrackedJob) => Number.isFinite(job.servedAt);
    const isServedInTime = (job: TrackedJob) => job.servedAt - job.submittedAt <= MAX_LARGE_JOB_WAIT_MS;
    for (const [team, group] of groupBy(countedJobs, ({ spec }) => spec.team))
      checkGroup(`team ${team}`, group, isServed);
    for (const [name, group] of groupBy(countedJobs, ({ spec }) => spec.jobClass)) {
      checkGroup(`class ${name}`, group, isServed);
      checkGroup(`largest of ${name}`, largestJobs(group), isServedInTime);
    }
    return failures;
  }

  private requiredTasks(spec: JobSpec): number {
    const maxCpus = this.teams.find((team) => team.name === spec.team)?.maxCpus ?? 0;
    if (maxCpus <= 0 || spec.cpus <= 0) return spec.taskCount;
    return Math.min(spec.taskCount, Math.floor(maxCpus / spec.cpus + 1e-9));
  }
}

function groupBy<T>(items: T[], key: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) groups.set(key(item), [...(groups.get(key(item)) ?? []), item]);
  return groups;
}

/** The upper quarter of a group by task count; all jobs if they have the same number of tasks. */
function largestJobs(group: TrackedJob[]): TrackedJob[] {
  const sizes = group.map(({ spec }) => spec.taskCount).sort((a, b) => a - b);
  const threshold = sizes[Math.floor(sizes.length * LARGEST_QUANTILE)] ?? 0;
  return group.filter(({ spec }) => spec.taskCount >= threshold);
}
