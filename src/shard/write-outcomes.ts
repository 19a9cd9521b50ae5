/** What follows once a write of a job is stored: the leader learns of it, or the job is archived. */

import { attemptKey } from '../model/job.js';
import type { Logger } from '../model/logger.js';
import type { WriteEvents } from './job-writes.js';
import type { LeaderUpdates } from './leader-updates.js';
import { type FinalizedPlacement, type OwnedJob, type Placement, placementSpecOf } from './owned-job.js';
import type { TeamUsage } from './team-usage.js';

/** What the outcomes work with. */
export interface WriteOutcomesOptions {
  updates: LeaderUpdates;
  usage: TeamUsage;
  log: Logger;
  /** A job has its final record. */
  archive(jobId: string): void;
}

/** Has the leader start what is stored as placed, and forget what is stored as finalized. */
export class WriteOutcomes implements WriteEvents {
  constructor(private readonly options: WriteOutcomesOptions) {}

  onPlacementStored(job: OwnedJob, placement: Placement): void {
    const { updates, usage, log } = this.options;
    if (job.cancelled) placement.desiredState = 'stop';
    const { taskIndex, attempt, machine, desiredState, grantId } = placement;
    updates.placementChanged(placementSpecOf(job, placement, { desiredState, grantId }));
    const { id: jobId, team } = job.spec;
    const fields = { jobId, taskIndex, attempt, machine, team, grantId, ...usage.describe(team) };
    log.debug(fields, 'placement stored');
  }

  onOutcomeStored(job: OwnedJob, { placement, isListed }: FinalizedPlacement): void {
    const { updates } = this.options;
    if (isListed) {
      updates.placementChanged(placementSpecOf(job, placement, { desiredState: 'forget' }));
      return;
    }
    const key = attemptKey(job.spec.id, placement.taskIndex, placement.attempt);
    updates.releaseTask({ machine: placement.machine, attemptKey: key });
  }

  onCounterFull(job: OwnedJob): void {
    this.options.log.debug({ jobId: job.spec.id }, 'job completed');
  }

  onFinalRecordStored(job: OwnedJob): void {
    const jobId = job.spec.id;
    this.options.archive(jobId);
    this.options.log.debug(
      { jobId, cancelled: job.cancelled, finishedTasks: job.counter.count },
      'job archived',
    );
  }
}
