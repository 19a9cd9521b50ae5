/** Logs the usage of each team and its causes. */

import type { Clock } from '../model/clock.js';
import type { Logger } from '../model/logger.js';
import { RateLimitedLog } from '../model/rate-limited-log.js';
import type { OwnedJob } from './owned-job.js';
import type { OwnedShard } from './owned-shards.js';
import type { TeamUsage } from './team-usage.js';

/** Time between two summaries of all teams' usage. */
const SUMMARY_INTERVAL_MS = 30_000;
/** Changes of usage are collected and logged at most once in this time. */
const CHANGES_INTERVAL_MS = 250;
/** Maximum number of jobs named in one log line. */
const MAX_JOBS_NAMED = 8;

/**
 * Logs changes of the teams' usage by cause (debug), a regular summary of it (info), and indeterminate writes
 * (info, rate-limited).
 */
export class UsageLog {
  private readonly rateLimitedLog: RateLimitedLog;
  private lastSummaryAt = Number.NEGATIVE_INFINITY;
  private lastChangesAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly usage: TeamUsage,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {
    this.rateLimitedLog = new RateLimitedLog(log, clock);
  }

  /**
   * Logs the changes and the summary of the teams' usage when they are due; called after each batch of
   * events.
   */
  logIfDue(teams: Iterable<string>, jobs: Iterable<OwnedJob>): void {
    const now = this.clock.now();
    if (now - this.lastChangesAt >= CHANGES_INTERVAL_MS) {
      this.lastChangesAt = now;
      this.logChanges();
    }
    if (now - this.lastSummaryAt < SUMMARY_INTERVAL_MS) return;
    this.lastSummaryAt = now;
    const reloading = countOccurrences(
      [...jobs].filter((job) => job.isReloading).map((job) => job.spec.team),
    );
    for (const team of teams)
      this.log.info(
        { team, ...this.usage.describe(team), reloadingJobs: reloading.get(team) ?? 0 },
        'team usage',
      );
  }

  /**
   * Logs a transaction of unknown outcome, with the number of unstored placements of its jobs: they count
   * toward usage until the outcome is known.
   */
  logIndeterminateWrite(jobs: readonly OwnedJob[], fenceRevision: number): void {
    const unstored = jobs.flatMap((job) =>
      [...job.placements.values()].filter((placement) => !placement.isStored),
    );
    this.rateLimitedLog.info(
      { ...jobFields(jobs), placements: unstored.length, fenceRevision },
      'indeterminate write',
    );
  }

  /**
   * Logs how many of the placements that were not known to be stored before a job was reloaded are stored,
   * according to the reloaded records.
   */
  logResolvedWrite(job: OwnedJob, previous: OwnedJob, reloadStartedMs: number): void {
    const stored = [...previous.placements.values()].filter(
      ({ taskIndex, attempt, isStored }) => !isStored && job.placements.get(taskIndex)?.attempt === attempt,
    );
    const afterMs = Math.round(this.clock.now() - reloadStartedMs);
    const { id: jobId, team } = job.spec;
    const fields = { jobId, team, storedPlacements: stored.length, afterMs };
    this.rateLimitedLog.info(fields, 'indeterminate write resolved');
  }

  /** Logs that the jobs of a shard have been read. */
  logLoadedShard({ team, shardEpoch }: OwnedShard, jobs: number): void {
    this.log.info({ team, jobs, shardEpoch, ...this.usage.describe(team) }, 'shard loaded');
  }

  /**
   * Logs a team that uses more than its quota. This can happen after records are reloaded: they may still
   * contain a task whose exit is not stored, which counts until its worker reports the exit.
   */
  logIfOverQuota(team: string): void {
    if (!this.usage.isOverQuota(team)) return;
    this.rateLimitedLog.info({ team, ...this.usage.describe(team) }, 'team over quota');
  }

  private logChanges(): void {
    for (const [team, changes] of this.usage.takeChanges())
      this.log.debug({ team, ...changes, ...this.usage.describe(team) }, 'team usage changed');
  }
}

function jobFields(jobs: readonly OwnedJob[]): { jobs: string[]; jobCount: number } {
  return { jobs: jobs.slice(0, MAX_JOBS_NAMED).map((job) => job.spec.id), jobCount: jobs.length };
}

function countOccurrences(values: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return counts;
}
