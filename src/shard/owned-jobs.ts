/** The jobs of the shards that this controller owns. */

import type { OwnedJob, Placement } from './owned-job.js';
import type { TeamUsage, UsageCause } from './team-usage.js';

/**
 * The jobs of the owned shards by id. All placements are added and removed through this class, which keeps
 * the usage of the teams consistent with them.
 */
export class OwnedJobs {
  private readonly jobs = new Map<string, OwnedJob>();

  constructor(
    private readonly usage: TeamUsage,
    private readonly onRemoved: (job: OwnedJob) => void,
  ) {}

  get size(): number {
    return this.jobs.size;
  }

  get(jobId: string): OwnedJob | undefined {
    return this.jobs.get(jobId);
  }

  /** Returns whether this object is the current one for its job. Reloading a job replaces its object. */
  includes(job: OwnedJob): boolean {
    return this.jobs.get(job.spec.id) === job;
  }

  values(): IterableIterator<OwnedJob> {
    return this.jobs.values();
  }

  add(job: OwnedJob): void {
    this.jobs.set(job.spec.id, job);
  }

  /** Removes a job; its placements no longer count toward the usage of its team. */
  remove(job: OwnedJob): void {
    this.usage.remove(job.spec, 'released', job.placements.size);
    this.jobs.delete(job.spec.id);
    this.onRemoved(job);
  }

  removeTeam(team: string): void {
    for (const job of [...this.jobs.values()]) if (job.spec.team === team) this.remove(job);
  }

  addPlacement(job: OwnedJob, placement: Placement, cause: UsageCause): void {
    job.placements.set(placement.taskIndex, placement);
    this.usage.add(job.spec, cause);
  }

  removePlacement(job: OwnedJob, placement: Placement, cause: UsageCause): void {
    if (job.placements.delete(placement.taskIndex)) this.usage.remove(job.spec, cause);
  }

  /** Returns the number of placements of all jobs. */
  countPlacements(): number {
    let count = 0;
    for (const job of this.jobs.values()) count += job.placements.size;
    return count;
  }
}
