/** Which jobs are large among the latest ones of their class. */

import type { JobSpec } from '../model/job.js';

/** Latest jobs of a class by which its sizes are judged. */
const REMEMBERED_JOBS = 100;
/** A large job is at least as large as this share of its class, and larger than the median. */
const LARGE_QUANTILE = 0.75;
const MEDIAN = 0.5;

interface Threshold {
  quantile: number;
  median: number;
}

/** Sizes of the latest jobs of each class, and which jobs are large among them: by their tasks, or by their run time. */
export class JobSizes {
  private readonly latest = new Map<string, JobSpec[]>();
  private readonly thresholds = new Map<string, { tasks: Threshold; runSeconds: Threshold }>();

  /** A job has been accepted. */
  learn(spec: JobSpec): void {
    if (spec.kind === 'service') return;
    const jobs = this.latest.get(spec.jobClass) ?? [];
    jobs.push(spec);
    if (jobs.length > REMEMBERED_JOBS) jobs.shift();
    this.latest.set(spec.jobClass, jobs);
    this.thresholds.delete(spec.jobClass);
  }

  /** Whether it has many tasks or long ones for its class. */
  isLarge(spec: JobSpec): boolean {
    const { tasks, runSeconds } = this.thresholdsOf(spec.jobClass);
    return exceeds(spec.taskCount, tasks) || exceeds(spec.estimatedRunSeconds, runSeconds);
  }

  private thresholdsOf(jobClass: string): { tasks: Threshold; runSeconds: Threshold } {
    const known = this.thresholds.get(jobClass);
    if (known) return known;
    const jobs = this.latest.get(jobClass) ?? [];
    const thresholds = {
      tasks: threshold(jobs.map((job) => job.taskCount)),
      runSeconds: threshold(jobs.map((job) => job.estimatedRunSeconds)),
    };
    this.thresholds.set(jobClass, thresholds);
    return thresholds;
  }
}

function exceeds(value: number, { quantile, median }: Threshold): boolean {
  return value >= quantile && value > median;
}

function threshold(values: readonly number[]): Threshold {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    quantile: sorted[Math.floor(sorted.length * LARGE_QUANTILE)] ?? Number.POSITIVE_INFINITY,
    median: sorted[Math.floor((sorted.length - 1) * MEDIAN)] ?? Number.POSITIVE_INFINITY,
  };
}
