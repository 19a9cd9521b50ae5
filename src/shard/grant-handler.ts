/** Processes the grants of the leader: places tasks on them and releases those that cannot be used. */

import type { Clock } from '../model/clock.js';
import type { Grant } from '../model/placement.js';
import { assignGrants } from './grant-assignment.js';
import type { JobTransactions } from './job-transactions.js';
import type { LeaderUpdates } from './leader-updates.js';
import { isStoredStateUncertain, nextGangAttempt, type OwnedJob } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { TeamUsage } from './team-usage.js';

/** Settings and dependencies of a `GrantHandler`. */
export interface GrantHandlerOptions {
  jobs: OwnedJobs;
  usage: TeamUsage;
  transactions: JobTransactions;
  updates: LeaderUpdates;
  clock: Clock;
  /** Tasks per placement record. */
  tasksPerChunk: number;
}

/** Turns grants into placements. Each placement is stored before its task is started. */
export class GrantHandler {
  constructor(private readonly options: GrantHandlerOptions) {}

  /** Places a task of its job on each grant, or releases the grant to the leader. */
  processGrants(grants: readonly Grant[]): void {
    const { jobs, updates } = this.options;
    const grantsByJob = new Map<string, Grant[]>();
    for (const grant of grants) {
      updates.onGrantProcessed(grant.id);
      const jobGrants = grantsByJob.get(grant.jobId);
      if (jobGrants) jobGrants.push(grant);
      else grantsByJob.set(grant.jobId, [grant]);
    }
    for (const [jobId, jobGrants] of grantsByJob) {
      const job = jobs.get(jobId);
      const placed = new Set(job ? this.placeTasks(job, jobGrants) : []);
      for (const grant of jobGrants) if (!placed.has(grant)) updates.releaseGrant(grant.id);
    }
    updates.invalidateRequests();
  }

  /**
   * Removes the placements that cannot have been stored; called before a full sync, which voids their grants.
   * Jobs that have a write in flight or are being reloaded keep all their placements, which continue to count
   * toward the quota: some may be stored, and if they were removed, their capacity would be granted to other
   * jobs and the team would exceed its quota.
   */
  discardUnsentPlacements(): void {
    const { jobs, transactions } = this.options;
    for (const job of jobs.values()) {
      if (isStoredStateUncertain(job)) continue;
      for (const placement of [...job.placements.values()]) {
        if (placement.isStored) continue;
        jobs.removePlacement(job, placement, 'returned');
        transactions.scheduleWrite(job, 0);
        job.fanOut.putBack(placement.taskIndex);
      }
    }
  }

  /**
   * Places tasks of a job on grants and returns the grants that were used. None is used if the job may not
   * start tasks, or while a full sync is not accepted, as its acceptance voids all earlier grants.
   */
  private placeTasks(job: OwnedJob, grants: Grant[]): Grant[] {
    const { usage, updates, clock } = this.options;
    if (job.cancelled || job.isReloading || job.counter.isComplete || !updates.isSynced) return [];
    const place = (grant: Grant, taskIndex: number) => this.place(job, grant, taskIndex);
    return assignGrants(job, grants, { usage, nowMs: clock.now(), place });
  }

  private place(job: OwnedJob, grant: Grant, taskIndex: number): void {
    const { jobs, transactions, tasksPerChunk } = this.options;
    const attempt =
      job.spec.kind === 'gang' ? nextGangAttempt(job) : (job.latestAttempts.get(taskIndex) ?? 0) + 1;
    const placement = {
      taskIndex,
      attempt,
      machine: grant.machine,
      workerEpoch: grant.workerEpoch,
      zone: grant.zone,
      grantId: grant.id,
      isStored: false,
      desiredState: 'run' as const,
      isRunning: false,
    };
    jobs.addPlacement(job, placement, 'granted');
    job.dirtyChunks.add(Math.floor(taskIndex / tasksPerChunk));
    transactions.scheduleWrite(job, 0);
  }
}
