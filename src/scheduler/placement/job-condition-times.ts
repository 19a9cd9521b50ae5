/** Times kept by job. */

/** Since when something holds of jobs. */
export class JobConditionTimes {
  private readonly since = new Map<string, number>();

  /** Milliseconds of the clock; undefined: it does not hold. */
  get(jobId: string): number | undefined {
    return this.since.get(jobId);
  }

  /** It holds, since now if it did not before; returns since when. */
  record(jobId: string, now: number): number {
    const since = this.since.get(jobId) ?? now;
    this.since.set(jobId, since);
    return since;
  }

  clear(jobId: string): void {
    this.since.delete(jobId);
  }

  /** Forgets all other jobs. */
  retain(jobs: ReadonlySet<string>): void {
    for (const jobId of this.since.keys()) if (!jobs.has(jobId)) this.since.delete(jobId);
  }
}
