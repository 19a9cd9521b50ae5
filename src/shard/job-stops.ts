/** Stops tasks: those of cancelled jobs, those that the leader evicts, and gangs that can't go on. */

import { attemptKey, type TaskAttempt } from '../model/job.js';
import type { Logger } from '../model/logger.js';
import type { JobTransactions } from './job-transactions.js';
import type { LeaderUpdates } from './leader-updates.js';
import { hasIndeterminateWrite, type OwnedJob, type Placement, placementSpecOf } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';

/** What stopping works with. */
export interface JobStopsOptions {
  jobs: OwnedJobs;
  transactions: JobTransactions;
  updates: LeaderUpdates;
  log: Logger;
  /** Added to the time that a task takes to save its progress. */
  noticeGraceSeconds: number;
  wake(): void;
}

/** Turns cancellations and evictions into stops. */
export class JobStops {
  constructor(private readonly options: JobStopsOptions) {}

  /** The job's record says that it is cancelled. */
  cancel(job: OwnedJob): void {
    if (job.cancelled) return;
    job.cancelled = true;
    const { jobs, transactions, updates, log } = this.options;
    log.debug({ jobId: job.spec.id, placedTasks: job.placements.size }, 'job cancelled');
    for (const placement of [...job.placements.values()]) {
      if (placement.isStored || hasIndeterminateWrite(job)) {
        this.stop(job, placement, 0);
        continue;
      }
      const key = attemptKey(job.spec.id, placement.taskIndex, placement.attempt);
      updates.releaseGrant(placement.grantId);
      updates.releaseTask({ machine: placement.machine, attemptKey: key });
      jobs.removePlacement(job, placement, 'returned');
    }
    transactions.scheduleWrite(job, 0);
    updates.requestsChanged();
    this.options.wake();
  }

  /** The leader needs the room of a task: it may save its progress, and a gang goes as a whole. */
  evict({ jobId, taskIndex, attempt }: TaskAttempt, reason: string): void {
    const job = this.options.jobs.get(jobId);
    const placement = job?.placements.get(taskIndex);
    if (!job || !placement || placement.attempt !== attempt || placement.desiredState === 'stop') return;
    this.options.log.debug({ jobId, taskIndex, machine: placement.machine, reason }, 'task evicted');
    const { checkpointIntervalSeconds, checkpointSaveSeconds } = job.spec;
    const graceSeconds =
      checkpointIntervalSeconds > 0 ? checkpointSaveSeconds + this.options.noticeGraceSeconds : 0;
    if (job.spec.kind === 'gang') this.stopGang(job, graceSeconds);
    else this.stop(job, placement, graceSeconds);
  }

  /** Stops all tasks of a gang: it starts anew as a whole, once all of them are finalized. */
  stopGang(job: OwnedJob, graceSeconds: number): void {
    for (const placement of job.placements.values())
      if (placement.desiredState === 'run') this.stop(job, placement, graceSeconds);
  }

  private stop(job: OwnedJob, placement: Placement, gracePeriodSeconds: number): void {
    placement.desiredState = 'stop';
    if (!placement.isStored) return;
    const { grantId } = placement;
    this.options.updates.placementChanged(
      placementSpecOf(job, placement, { desiredState: 'stop', gracePeriodSeconds, grantId }),
    );
  }
}
