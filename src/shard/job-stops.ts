/** Stops tasks of cancelled jobs, tasks that the leader evicts, and gangs that cannot continue. */

import { attemptKey, type TaskAttempt } from '../model/job.js';
import type { Logger } from '../model/logger.js';
import type { JobTransactions } from './job-transactions.js';
import type { LeaderUpdates } from './leader-updates.js';
import { isStoredStateUncertain, type OwnedJob, type Placement, toPlacementSpec } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';

/** Settings and dependencies of `JobStops`. */
export interface JobStopsOptions {
  jobs: OwnedJobs;
  transactions: JobTransactions;
  updates: LeaderUpdates;
  log: Logger;
  /** Seconds added to the checkpoint save time of an evicted task to obtain its grace period. */
  evictionGraceMarginSeconds: number;
  /** Schedules a flush of the shard owner. */
  wake(): void;
}

/** Turns cancellations, evictions and failures of gangs into stops. */
export class JobStops {
  constructor(private readonly options: JobStopsOptions) {}

  /**
   * Stops all tasks of a job whose record says that it is cancelled. Placements that cannot have been stored
   * are removed at once, and their grants are released.
   */
  cancel(job: OwnedJob): void {
    if (job.cancelled) return;
    job.cancelled = true;
    const { jobs, transactions, updates, log } = this.options;
    log.debug({ jobId: job.spec.id, placedTasks: job.placements.size }, 'job cancelled');
    for (const placement of [...job.placements.values()]) {
      if (placement.isStored || isStoredStateUncertain(job)) {
        this.stop(job, placement, 0);
        continue;
      }
      const key = attemptKey(job.spec.id, placement.taskIndex, placement.attempt);
      updates.releaseGrant(placement.grantId);
      updates.releasePlacement({ machine: placement.machine, attemptKey: key });
      jobs.removePlacement(job, placement, 'returned');
    }
    transactions.scheduleWrite(job, 0);
    updates.invalidateRequests();
    this.options.wake();
  }

  /**
   * Stops a task for the leader, which needs its capacity or drains its machine, with time to save a
   * checkpoint if it saves any. A gang is stopped as a whole. The eviction is ignored unless this attempt is
   * placed and not being stopped yet.
   */
  evict({ jobId, taskIndex, attempt }: TaskAttempt, reason: string): void {
    const job = this.options.jobs.get(jobId);
    const placement = job?.placements.get(taskIndex);
    if (!job || !placement || placement.attempt !== attempt || placement.desiredState === 'stop') return;
    this.options.log.debug({ jobId, taskIndex, machine: placement.machine, reason }, 'task evicted');
    const { checkpointIntervalSeconds, checkpointSaveSeconds } = job.spec;
    const graceSeconds =
      checkpointIntervalSeconds > 0 ? checkpointSaveSeconds + this.options.evictionGraceMarginSeconds : 0;
    if (job.spec.kind === 'gang') this.stopGang(job, graceSeconds);
    else this.stop(job, placement, graceSeconds);
  }

  /** Stops all tasks of a gang that are not being stopped yet. It can start again once all are finalized. */
  stopGang(job: OwnedJob, graceSeconds: number): void {
    for (const placement of job.placements.values())
      if (placement.desiredState === 'run') this.stop(job, placement, graceSeconds);
  }

  /**
   * Marks a placement as to be stopped. If it is not stored yet, the stop is sent without a grace period once
   * it is.
   */
  private stop(job: OwnedJob, placement: Placement, gracePeriodSeconds: number): void {
    placement.desiredState = 'stop';
    if (!placement.isStored) return;
    const { grantId } = placement;
    this.options.updates.queuePlacement(
      toPlacementSpec(job, placement, { desiredState: 'stop', gracePeriodSeconds, grantId }),
    );
  }
}
