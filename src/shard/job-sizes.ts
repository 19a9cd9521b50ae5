/** Classifies jobs as large by comparison with the latest jobs of their class. */

import type { JobSpec } from '../model/job.js';

/** Number of the latest jobs of a class with which jobs are compared. */
const MAX_JOBS_PER_CLASS = 100;
/** A large job reaches this quantile of the sizes in its class, and also exceeds the median. */
const LARGE_QUANTILE = 0.75;
const MEDIAN_QUANTILE = 0.5;

/**
 * Task counts or estimated run times in a class at the two quantiles. A job is large if its own value is at
 * least `quantile` and above `median`.
 */
interface SizeThreshold {
  quantile: number;
  median: number;
}

/** The latest jobs of each class, and the task counts and estimated run times above which a job is large. */
export class JobSizes {
  private readonly latestJobs = new Map<string, JobSpec[]>();
  private readonly thresholds = new Map<string, { tasks: SizeThreshold; runSeconds: SizeThreshold }>();

  /** Adds a job to the latest ones of its class. Services are ignored. */
  record(spec: JobSpec): void {
    if (spec.kind === 'service') return;
    const jobs = this.latestJobs.get(spec.jobClass) ?? [];
    jobs.push(spec);
    if (jobs.length > MAX_JOBS_PER_CLASS) jobs.shift();
    this.latestJobs.set(spec.jobClass, jobs);
    this.thresholds.delete(spec.jobClass);
  }

  /**
   * Returns whether a job has many tasks, or long ones, for its class; false if none of the class is
   * recorded.
   */
  isLarge(spec: JobSpec): boolean {
    const { tasks, runSeconds } = this.thresholdsOf(spec.jobClass);
    return meetsThreshold(spec.taskCount, tasks) || meetsThreshold(spec.estimatedRunSeconds, runSeconds);
  }

  private thresholdsOf(jobClass: string): { tasks: SizeThreshold; runSeconds: SizeThreshold } {
    const cached = this.thresholds.get(jobClass);
    if (cached) return cached;
    const jobs = this.latestJobs.get(jobClass) ?? [];
    const thresholds = {
      tasks: computeThreshold(jobs.map((job) => job.taskCount)),
      runSeconds: computeThreshold(jobs.map((job) => job.estimatedRunSeconds)),
    };
    this.thresholds.set(jobClass, thresholds);
    return thresholds;
  }
}

function meetsThreshold(value: number, { quantile, median }: SizeThreshold): boolean {
  return value >= quantile && value > median;
}

function computeThreshold(values: readonly number[]): SizeThreshold {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    quantile: sorted[Math.floor(sorted.length * LARGE_QUANTILE)] ?? Number.POSITIVE_INFINITY,
    median: sorted[Math.floor((sorted.length - 1) * MEDIAN_QUANTILE)] ?? Number.POSITIVE_INFINITY,
  };
}
