/** Logs what the use of each team is made of. */

import type { Clock } from '../model/clock.js';
import type { Logger } from '../model/logger.js';
import { RateLimitedLog } from '../model/rate-limited-log.js';
import type { OwnedJob } from './owned-job.js';
import type { OwnedShard } from './owned-shards.js';
import type { TeamUsage } from './team-usage.js';

/** Time between two summaries of a team's use. */
const SUMMARY_INTERVAL_MS = 30_000;
/** Changes of a team's use are logged together, at least so far apart. */
const CHANGES_INTERVAL_MS = 250;
/** Most jobs named in a line. */
const MAX_JOBS_NAMED = 8;

/** Each change by its cause (debug), a regular summary (info), and indeterminate writes (info, at a limited rate). */
export class UsageLog {
  private readonly limited: RateLimitedLog;
  private summaryAt = Number.NEGATIVE_INFINITY;
  private changesAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly usage: TeamUsage,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {
    this.limited = new RateLimitedLog(log, clock);
  }

  /** Called after each batch of commands. */
  update(teams: Iterable<string>, jobs: Iterable<OwnedJob>): void {
    const now = this.clock.now();
    if (now - this.changesAt >= CHANGES_INTERVAL_MS) {
      this.changesAt = now;
      this.logChanges();
    }
    if (now - this.summaryAt < SUMMARY_INTERVAL_MS) return;
    this.summaryAt = now;
    const reloading = countBy([...jobs].filter((job) => job.isReloading).map((job) => job.spec.team));
    for (const team of teams)
      this.log.info(
        { team, ...this.usage.describe(team), reloadingJobs: reloading.get(team) ?? 0 },
        'team usage',
      );
  }

  /** A transaction without an answer: what it places counts until its outcome is known. */
  logIndeterminateWrite(jobs: readonly OwnedJob[], fenceRevision: number): void {
    const unstored = jobs.flatMap((job) =>
      [...job.placements.values()].filter((placement) => !placement.isStored),
    );
    this.limited.info({ ...named(jobs), placements: unstored.length, fenceRevision }, 'indeterminate write');
  }

  /** What the records say of a job that had an indeterminate write: which of its placements were stored after all. */
  logResolvedWrite(job: OwnedJob, before: OwnedJob, sinceMs: number): void {
    const stored = [...before.placements.values()].filter(
      ({ taskIndex, attempt, isStored }) => !isStored && job.placements.get(taskIndex)?.attempt === attempt,
    );
    const afterMs = Math.round(this.clock.now() - sinceMs);
    const { id: jobId, team } = job.spec;
    const fields = { jobId, team, storedPlacements: stored.length, afterMs };
    this.limited.info(fields, 'indeterminate write resolved');
  }

  /** The jobs of a shard have been read. */
  logLoadedShard({ team, shardEpoch }: OwnedShard, jobs: number): void {
    this.log.info({ team, jobs, shardEpoch, ...this.usage.describe(team) }, 'shard loaded');
  }

  /** Records that were reloaded may have a task whose end is not stored yet: it counts until its worker lists it so. */
  checkQuota(team: string): void {
    if (!this.usage.exceeds(team)) return;
    this.limited.info({ team, ...this.usage.describe(team) }, 'team over quota');
  }

  private logChanges(): void {
    for (const [team, changes] of this.usage.takeChanges())
      this.log.debug({ team, ...changes, ...this.usage.describe(team) }, 'team usage changed');
  }
}

function named(jobs: readonly OwnedJob[]): { jobs: string[]; jobCount: number } {
  return { jobs: jobs.slice(0, MAX_JOBS_NAMED).map((job) => job.spec.id), jobCount: jobs.length };
}

function countBy(names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}
