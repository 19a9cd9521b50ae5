/** The quota that a team's jobs may still request, with reservations for gangs that have waited long. */

import type { JobSpec, Priority } from '../model/job.js';
import type { QueuedJob } from './release-queue.js';
import { countFittingTasks, type QuotaAmounts, type TeamUsage } from './team-usage.js';

/**
 * Age from which a gang that does not fit into its team's remaining quota reserves quota against the jobs
 * behind it. Without a reservation, smaller jobs would use up all quota that becomes free, and a large gang
 * would never start.
 */
const RESERVE_AFTER_MS = 90_000;

/** Share of a team's quota that lower-priority jobs may use while a gang waits: they must not starve. */
const LOWER_PRIORITY_SHARE = 0.25;

/** Quota reserved for waiting gangs of one priority. */
interface Reservation {
  priority: Priority;
  /** Total demand of these gangs. */
  amounts: QuotaAmounts;
  /** The quota that jobs of lower priority may still request. */
  lowerPriorityAllowance: QuotaAmounts;
}

/** The team of a budget, and the state that the budget works on. */
interface TeamBudgetState {
  name: string;
  /** The remaining quota, less what has been requested under this budget. */
  remaining: QuotaAmounts;
  usage: TeamUsage;
  /** All jobs of the team that are neither done nor cancelled. */
  jobs: readonly QueuedJob[];
}

/**
 * The remaining quota of one team while its jobs are visited in release order. Each job consumes quota for
 * the tasks that it requests; a gang that has waited long and does not fit reserves quota instead.
 */
export class TeamBudget {
  private reservation: Reservation | null = null;

  private constructor(private readonly team: TeamBudgetState) {}

  /**
   * Returns the budget of a team, or null if there is no such team. `jobs` must contain all jobs of the team
   * that are neither done nor cancelled.
   */
  static forTeam(team: string, usage: TeamUsage, jobs: readonly QueuedJob[]): TeamBudget | null {
    const remaining = usage.remainingOf(team);
    return remaining && new TeamBudget({ name: team, remaining, usage, jobs });
  }

  /**
   * How many tasks of this job the budget admits. Jobs are visited in order of priority, so none has a higher
   * priority than a reservation.
   */
  tasksThatFit(spec: JobSpec): number {
    const { reservation } = this;
    const { remaining } = this.team;
    if (!reservation) return countFittingTasks(remaining, spec);
    if (spec.priority > reservation.priority)
      return countFittingTasks(minimum(remaining, reservation.lowerPriorityAllowance), spec);
    return countFittingTasks(difference(remaining, reservation.amounts), spec);
  }

  /** Subtracts requested tasks of a job, so that their quota is not available to the jobs behind it. */
  consume(spec: JobSpec, tasks: number): void {
    subtractTasks(this.team.remaining, spec, tasks);
    if (this.reservation && spec.priority > this.reservation.priority)
      subtractTasks(this.reservation.lowerPriorityAllowance, spec, tasks);
  }

  /**
   * Reserves quota for a job if it is a gang that has waited long, has no task placed and does not exceed the
   * whole quota of its team. Called for jobs for which nothing could be requested. Later jobs
   * of the same priority can use only what is not reserved, later jobs of lower priority only their
   * allowance. Only gangs of one priority reserve: that of the first gang that does.
   */
  reserveForGang(job: QueuedJob, wallMs: number): void {
    const { spec, placedTasks } = job;
    if (spec.kind !== 'gang' || placedTasks > 0 || wallMs - spec.acceptedAtMs < RESERVE_AFTER_MS) return;
    const { usage, name } = this.team;
    if (usage.loadOf(name).maxParallelTasks(spec) < spec.taskCount) return;
    this.reservation ??= {
      priority: spec.priority,
      amounts: { cpus: 0, gpus: 0 },
      lowerPriorityAllowance: this.initialLowerPriorityAllowance(spec.priority),
    };
    if (this.reservation.priority === spec.priority)
      // A negative number of tasks adds their amounts.
      subtractTasks(this.reservation.amounts, spec, -spec.taskCount);
  }

  /** The share of the quota for jobs of lower priority, less what their placed tasks already use. */
  private initialLowerPriorityAllowance(priority: Priority): QuotaAmounts {
    const { usage, name, jobs } = this.team;
    const quota = usage.quotaOf(name);
    const allowance = { cpus: quota.cpus * LOWER_PRIORITY_SHARE, gpus: quota.gpus * LOWER_PRIORITY_SHARE };
    for (const { spec, placedTasks } of jobs)
      if (spec.priority > priority) subtractTasks(allowance, spec, placedTasks);
    return allowance;
  }
}

function subtractTasks(from: QuotaAmounts, spec: JobSpec, tasks: number): void {
  from.cpus -= tasks * spec.cpus;
  from.gpus -= tasks * spec.gpus;
}

function difference(from: QuotaAmounts, taken: QuotaAmounts): QuotaAmounts {
  return { cpus: from.cpus - taken.cpus, gpus: from.gpus - taken.gpus };
}

function minimum(one: QuotaAmounts, other: QuotaAmounts): QuotaAmounts {
  return { cpus: Math.min(one.cpus, other.cpus), gpus: Math.min(one.gpus, other.gpus) };
}
