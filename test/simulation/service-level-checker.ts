import type { JobSpec } from '../../src/model/job.js';
import type { Team } from '../../src/model/team.js';

/** Time within which the largest jobs of a class must have begun. */
const LARGE_BEGIN_MS = 240_000;
/** Share of the jobs of a class that are smaller than its largest ones. */
const LARGEST_QUANTILE = 0.75;
/** Least share of a group of jobs that must be served. */
const LEAST_SERVED = 0.5;

interface TrackedJob {
  spec: JobSpec;
  submittedAt: number;
  begun: Set<number>;
  /** When all of its tasks, or as many as the limit of its team admits at a time, had begun. */
  servedAt: number;
}

/**
 * Counts which jobs are served: a job is once all of its tasks have begun, or as many of them as the limit of its team
 * admits at a time. A day fails if less than half of a class, of a team or of the largest jobs of a class is served, the
 * largest within four minutes.
 */
export class ServiceLevelChecker {
  /** Starts of tasks after the user was told that the job is cancelled: commands that were under way by then. */
  startsAfterCancellation = 0;
  private readonly jobs = new Map<string, TrackedJob>();

  constructor(private readonly teams: readonly Team[]) {}

  submitted(spec: JobSpec, now: number): void {
    this.jobs.set(spec.id, {
      spec,
      submittedAt: now,
      begun: new Set(),
      servedAt: Number.POSITIVE_INFINITY,
    });
  }

  started(jobId: string, taskIndex: number, now: number): void {
    const job = this.jobs.get(jobId);
    if (!job) return;
    job.begun.add(taskIndex);
    if (job.begun.size >= this.tasksToServe(job.spec)) job.servedAt = Math.min(job.servedAt, now);
  }

  /** Groups of jobs of which less than half was served; those in `excused` do not count. */
  underServed(excused: (jobId: string) => boolean): string[] {
    const all = [...this.jobs.values()].filter(({ spec }) => !excused(spec.id));
    const failed: string[] = [];
    const judge = (name: string, group: TrackedJob[], served: (job: TrackedJob) => boolean) => {
      const n = group.filter(served).length;
      if (group.length > 0 && n < group.length * LEAST_SERVED)
        failed.push(`${name}: ${n} of ${group.length} served`);
    };
    const begun = (job: TrackedJob) => Number.isFinite(job.servedAt);
    const inTime = (job: TrackedJob) => job.servedAt - job.submittedAt <= LARGE_BEGIN_MS;
    for (const [team, group] of groupBy(all, ({ spec }) => spec.team)) judge(`team ${team}`, group, begun);
    for (const [name, group] of groupBy(all, ({ spec }) => spec.jobClass)) {
      judge(`class ${name}`, group, begun);
      judge(`largest of ${name}`, largest(group), inTime);
    }
    return failed;
  }

  private tasksToServe(spec: JobSpec): number {
    const limit = this.teams.find((team) => team.name === spec.team)?.maxCpus ?? 0;
    if (limit <= 0 || spec.cpus <= 0) return spec.taskCount;
    return Math.min(spec.taskCount, Math.floor(limit / spec.cpus + 1e-9));
  }
}

function groupBy<T>(items: T[], key: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) groups.set(key(item), [...(groups.get(key(item)) ?? []), item]);
  return groups;
}

/** The upper quarter of a class by tasks; of a class of one size all jobs are as large as any other. */
function largest(group: TrackedJob[]): TrackedJob[] {
  const sizes = group.map(({ spec }) => spec.taskCount).sort((a, b) => a - b);
  const threshold = sizes[Math.floor(sizes.length * LARGEST_QUANTILE)] ?? 0;
  return group.filter(({ spec }) => spec.taskCount >= threshold);
}
