import type { JobSpec, Rank } from '../types.js';
import type { QueuedJob } from './release-order.js';
import { type Amounts, type TeamUsage, tasksWithin } from './team-usage.js';

/**
 * Time after which a gang that does not fit into what its team may still use keeps the jobs behind it from taking that.
 * Smaller jobs would use up all that comes free, and a large gang would never begin.
 */
const RESERVE_AFTER_MS = 90_000;

/** Share of a team's limit that work of lower priority may use although a gang waits: it must not starve either. */
const LOWER_PRIORITY_SHARE = 0.25;

interface Reservation {
  rank: Rank;
  amounts: Amounts;
  /** What work of lower priority may still take. */
  lower: Amounts;
}

/** What one team may still start within its limit, in the order of release, with reservations for gangs that wait. */
export class TeamBudget {
  private reservation: Reservation | null = null;

  private constructor(
    private readonly left: Amounts,
    private readonly team: string,
    private readonly usage: TeamUsage,
    private readonly jobs: readonly QueuedJob[],
  ) {}

  /** Null: there is no such team. `jobs` are all its unfinished jobs. */
  static of(team: string, usage: TeamUsage, jobs: readonly QueuedJob[]): TeamBudget | null {
    const left = usage.remaining(team);
    return left && new TeamBudget(left, team, usage, jobs);
  }

  /** Tasks of this job that fit now. */
  fit(spec: JobSpec): number {
    const { left, reservation } = this;
    if (!reservation) return tasksWithin(left, spec);
    if (spec.rank > reservation.rank) return tasksWithin(least(left, reservation.lower), spec);
    return tasksWithin(minus(left, reservation.amounts), spec);
  }

  take(spec: JobSpec, tasks: number): void {
    subtract(this.left, spec, tasks);
    if (this.reservation && spec.rank > this.reservation.rank) subtract(this.reservation.lower, spec, tasks);
  }

  /** Keeps room free for a gang that has waited: from now on for jobs of its priority, and in part for lower ones. */
  reserve(job: QueuedJob, wallMs: number): void {
    const { spec, placed } = job;
    if (spec.shape !== 'gang' || placed > 0 || wallMs - spec.at < RESERVE_AFTER_MS) return;
    if (this.usage.load(this.team).maxParallel(spec) < spec.tasks) return;
    this.reservation ??= {
      rank: spec.rank,
      amounts: { cpus: 0, gpus: 0 },
      lower: this.lowerAllowance(spec.rank),
    };
    if (this.reservation.rank === spec.rank) subtract(this.reservation.amounts, spec, -spec.tasks);
  }

  private lowerAllowance(rank: Rank): Amounts {
    const limit = this.usage.limit(this.team);
    const allowance = { cpus: limit.cpus * LOWER_PRIORITY_SHARE, gpus: limit.gpus * LOWER_PRIORITY_SHARE };
    for (const { spec, placed } of this.jobs) if (spec.rank > rank) subtract(allowance, spec, placed);
    return allowance;
  }
}

function subtract(from: Amounts, spec: JobSpec, tasks: number): void {
  from.cpus -= tasks * spec.cpus;
  from.gpus -= tasks * spec.gpus;
}

function minus(a: Amounts, b: Amounts): Amounts {
  return { cpus: a.cpus - b.cpus, gpus: a.gpus - b.gpus };
}

function least(a: Amounts, b: Amounts): Amounts {
  return { cpus: Math.min(a.cpus, b.cpus), gpus: Math.min(a.gpus, b.gpus) };
}
