/**
 * Handles executed writes of jobs: informs the leader of placements and outcomes, and removes archived jobs.
 */

import { attemptKey } from '../model/job.js';
import type { Logger } from '../model/logger.js';
import type { WriteEvents } from './job-writes.js';
import type { LeaderUpdates } from './leader-updates.js';
import { type FinalizedPlacement, type OwnedJob, type Placement, toPlacementSpec } from './owned-job.js';
import type { TeamUsage } from './team-usage.js';

/** Dependencies of a `WriteEventHandler`. */
export interface WriteEventHandlerOptions {
  updates: LeaderUpdates;
  usage: TeamUsage;
  log: Logger;
  /** Removes a job whose final record is stored. */
  removeArchivedJob(jobId: string): void;
}

/** Has the leader start tasks whose placement is stored and remove attempts whose outcome is stored. */
export class WriteEventHandler implements WriteEvents {
  constructor(private readonly options: WriteEventHandlerOptions) {}

  onPlacementStored(job: OwnedJob, placement: Placement): void {
    const { updates, usage, log } = this.options;
    if (job.cancelled) placement.desiredState = 'stop';
    const { taskIndex, attempt, machine, desiredState, grantId } = placement;
    updates.queuePlacement(toPlacementSpec(job, placement, { desiredState, grantId }));
    const { id: jobId, team } = job.spec;
    const fields = { jobId, taskIndex, attempt, machine, team, grantId, ...usage.describe(team) };
    log.debug(fields, 'placement stored');
  }

  onOutcomeStored(job: OwnedJob, { placement, isListed }: FinalizedPlacement): void {
    const { updates } = this.options;
    if (isListed) {
      updates.queuePlacement(toPlacementSpec(job, placement, { desiredState: 'forget' }));
      return;
    }
    const key = attemptKey(job.spec.id, placement.taskIndex, placement.attempt);
    updates.releasePlacement({ machine: placement.machine, attemptKey: key });
  }

  onCounterComplete(job: OwnedJob): void {
    this.options.log.debug({ jobId: job.spec.id }, 'job completed');
  }

  onJobArchived(job: OwnedJob): void {
    const jobId = job.spec.id;
    this.options.removeArchivedJob(jobId);
    this.options.log.debug(
      { jobId, cancelled: job.cancelled, finishedTasks: job.counter.count },
      'job archived',
    );
  }
}
