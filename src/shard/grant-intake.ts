/** Takes in the places that the leader grants, and gives back those that are of no use. */

import type { Clock } from '../model/clock.js';
import type { Grant } from '../model/placement.js';
import { assignGrants } from './grant-assignment.js';
import type { JobTransactions } from './job-transactions.js';
import type { LeaderUpdates } from './leader-updates.js';
import { hasIndeterminateWrite, nextGangAttempt, type OwnedJob } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { TeamUsage } from './team-usage.js';

/** What the intake works with. */
export interface GrantIntakeOptions {
  jobs: OwnedJobs;
  usage: TeamUsage;
  transactions: JobTransactions;
  updates: LeaderUpdates;
  clock: Clock;
  tasksPerChunk: number;
}

/** Makes placements of grants; each is stored before its task is started. */
export class GrantIntake {
  constructor(private readonly options: GrantIntakeOptions) {}

  /** Gives each grant to a task of its job, or back to the leader. */
  take(grants: readonly Grant[]): void {
    const { jobs, updates } = this.options;
    const byJob = new Map<string, Grant[]>();
    for (const grant of grants) {
      updates.onGrantTaken(grant.id);
      const offered = byJob.get(grant.jobId);
      if (offered) offered.push(grant);
      else byJob.set(grant.jobId, [grant]);
    }
    for (const [jobId, offered] of byJob) {
      const job = jobs.get(jobId);
      const placed = new Set(job ? this.placeTasks(job, offered) : []);
      for (const grant of offered) if (!placed.has(grant)) updates.releaseGrant(grant.id);
    }
    updates.requestsChanged();
  }

  /**
   * Grants of an earlier leader are void; what was not yet sent to the key-value store goes back. What was sent and is
   * indeterminate stays and counts: given back, its room would be granted to other jobs and the team exceed its quota.
   */
  returnUnsentPlacements(): void {
    const { jobs, transactions } = this.options;
    for (const job of jobs.values()) {
      if (hasIndeterminateWrite(job)) continue;
      for (const placement of [...job.placements.values()]) {
        if (placement.isStored) continue;
        jobs.removePlacement(job, placement, 'returned');
        transactions.scheduleWrite(job, 0);
        job.fanOut.putBack(placement.taskIndex);
      }
    }
  }

  private placeTasks(job: OwnedJob, grants: Grant[]): Grant[] {
    const { usage, updates, clock } = this.options;
    if (job.cancelled || job.isReloading || job.counter.isComplete || !updates.isSynced) return [];
    const place = (grant: Grant, taskIndex: number) => this.place(job, grant, taskIndex);
    return assignGrants(job, grants, { usage, nowMs: clock.now(), place });
  }

  private place(job: OwnedJob, grant: Grant, taskIndex: number): void {
    const { jobs, transactions, tasksPerChunk } = this.options;
    const attempt = job.spec.kind === 'gang' ? nextGangAttempt(job) : (job.attempts.get(taskIndex) ?? 0) + 1;
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
