/** Start times of a condition, by job. */

/** Records since when a condition has held for each job, in monotonic ms. */
export class JobConditionTimes {
  private readonly since = new Map<string, number>();

  /** Returns since when the condition has held for the job; undefined: it does not hold. */
  get(jobId: string): number | undefined {
    return this.since.get(jobId);
  }

  /** Records that the condition holds, since `now` if it did not before. Returns since when it holds. */
  record(jobId: string, now: number): number {
    const since = this.since.get(jobId) ?? now;
    this.since.set(jobId, since);
    return since;
  }

  /** Records that the condition does not hold for the job. */
  clear(jobId: string): void {
    this.since.delete(jobId);
  }

  /** Drops all jobs that are not in `jobs`. */
  retain(jobs: ReadonlySet<string>): void {
    for (const jobId of this.since.keys()) if (!jobs.has(jobId)) this.since.delete(jobId);
  }
}
