import type { Clock } from '../model/clock.js';
import { LimitedLog } from '../model/limited-log.js';
import type { Logger } from '../model/logger.js';
import type { OwnedJob } from './owned-job.js';
import type { TeamUsage } from './team-usage.js';

const SUMMARY_MS = 30_000;
/** Changes of a team's use are told together, so many milliseconds apart at least. */
const CHANGES_MS = 250;
/** Jobs named in a line. */
const JOBS_NAMED = 8;

/** Logs what a team's use is made of: each change by cause (debug), a summary in 30 s (info), writes in doubt (info, bounded). */
export class UsageLog {
  private readonly limited: LimitedLog;
  private summaryAt = Number.NEGATIVE_INFINITY;
  private changesAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly usage: TeamUsage,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {
    this.limited = new LimitedLog(log, clock);
  }

  /** Called after each batch of commands. */
  update(teams: Iterable<string>, jobs: Iterable<OwnedJob>): void {
    const now = this.clock.now();
    if (now - this.changesAt >= CHANGES_MS) {
      this.changesAt = now;
      this.logChanges();
    }
    if (now - this.summaryAt < SUMMARY_MS) return;
    this.summaryAt = now;
    const inDoubt = countBy([...jobs].filter((job) => job.isReloading).map((job) => job.spec.team));
    for (const team of teams)
      this.log.info(
        { team, ...this.usage.describe(team), jobs_read_again: inDoubt.get(team) ?? 0 },
        'team usage',
      );
  }

  /** A transaction without an answer: what it places counts until its outcome is known. */
  logIndeterminateWrite(jobs: readonly OwnedJob[], fence: number | null): void {
    const unstored = jobs.flatMap((job) =>
      [...job.placements.values()].filter((placement) => !placement.isStored),
    );
    this.limited.info({ ...named(jobs), placements: unstored.length, fence }, 'write in doubt');
  }

  /** What its records say of a job that had a write in doubt. */
  logResolvedWrite(job: OwnedJob, before: OwnedJob, sinceMs: number): void {
    const found = [...before.placements.values()].filter(
      ({ taskIndex, attempt, isStored: stored }) =>
        !stored && job.placements.get(taskIndex)?.attempt === attempt,
    );
    const fields = { job: job.spec.id, team: job.spec.team, found: found.length };
    this.limited.info({ ...fields, ms: Math.round(this.clock.now() - sinceMs) }, 'write in doubt resolved');
  }

  /** Records that were read again may hold a task whose end is not stored yet: it counts until its worker's list tells. */
  checkLimit(team: string): void {
    if (!this.usage.exceeds(team)) return;
    this.limited.info({ team, ...this.usage.describe(team) }, 'team counted over its limit');
  }

  private logChanges(): void {
    for (const [team, changes] of this.usage.takeChanges())
      this.log.debug({ team, ...changes, ...this.usage.describe(team) }, 'team usage changed');
  }
}

function named(jobs: readonly OwnedJob[]): { jobs: string[]; of: number } {
  return { jobs: jobs.slice(0, JOBS_NAMED).map((job) => job.spec.id), of: jobs.length };
}

function countBy(names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}
