import type { JobSpec, Priority } from '../model/job.js';
import type { QueuedJob } from './release-queue.js';
import { type Amounts, type TeamUsage, tasksWithin } from './team-usage.js';

/**
 * Time after which a gang that does not fit into what its team may still use keeps the jobs behind it from taking that.
 * Smaller jobs would use up all that comes free, and a large gang would never begin.
 */
const RESERVE_AFTER_MS = 90_000;

/** Share of a team's limit that work of lower priority may use although a gang waits: it must not starve either. */
const LOWER_PRIORITY_SHARE = 0.25;

interface Reservation {
  priority: Priority;
  amounts: Amounts;
  /** What work of lower priority may still take. */
  lowerPriority: Amounts;
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
  static forTeam(team: string, usage: TeamUsage, jobs: readonly QueuedJob[]): TeamBudget | null {
    const left = usage.remaining(team);
    return left && new TeamBudget(left, team, usage, jobs);
  }

  /** Tasks of this job that fit now. */
  tasksThatFit(spec: JobSpec): number {
    const { left, reservation } = this;
    if (!reservation) return tasksWithin(left, spec);
    if (spec.priority > reservation.priority)
      return tasksWithin(least(left, reservation.lowerPriority), spec);
    return tasksWithin(minus(left, reservation.amounts), spec);
  }

  take(spec: JobSpec, tasks: number): void {
    subtract(this.left, spec, tasks);
    if (this.reservation && spec.priority > this.reservation.priority)
      subtract(this.reservation.lowerPriority, spec, tasks);
  }

  /** Keeps room free for a gang that has waited: from now on for jobs of its priority, and in part for lower ones. */
  reserve(job: QueuedJob, wallMs: number): void {
    const { spec, placedTasks: placed } = job;
    if (spec.kind !== 'gang' || placed > 0 || wallMs - spec.acceptedAtMs < RESERVE_AFTER_MS) return;
    if (this.usage.load(this.team).maxParallel(spec) < spec.taskCount) return;
    this.reservation ??= {
      priority: spec.priority,
      amounts: { cpus: 0, gpus: 0 },
      lowerPriority: this.lowerAllowance(spec.priority),
    };
    if (this.reservation.priority === spec.priority)
      subtract(this.reservation.amounts, spec, -spec.taskCount);
  }

  private lowerAllowance(priority: Priority): Amounts {
    const limit = this.usage.limit(this.team);
    const allowance = { cpus: limit.cpus * LOWER_PRIORITY_SHARE, gpus: limit.gpus * LOWER_PRIORITY_SHARE };
    for (const { spec, placedTasks: placed } of this.jobs)
      if (spec.priority > priority) subtract(allowance, spec, placed);
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
