/** What a team may still start, with room kept for gangs that have waited long. */

import type { JobSpec, Priority } from '../model/job.js';
import type { QueuedJob } from './release-queue.js';
import { type Amounts, type TeamUsage, tasksWithin } from './team-usage.js';

/**
 * Time after which a gang that does not fit into what its team may still use keeps the jobs behind it from taking that.
 * Smaller jobs would use up all that comes free, and a large gang would never begin.
 */
const RESERVE_AFTER_MS = 90_000;

/** Share of a team's quota that work of lower priority may use although a gang waits: it must not starve either. */
const LOWER_PRIORITY_SHARE = 0.25;

interface Reservation {
  priority: Priority;
  amounts: Amounts;
  /** What work of lower priority may still take. */
  lowerPriority: Amounts;
}

/** A team as its budget begins. */
interface TeamState {
  name: string;
  /** What it may still take; what is asked for is subtracted. */
  left: Amounts;
  usage: TeamUsage;
  /** All its unfinished jobs. */
  jobs: readonly QueuedJob[];
}

/** What one team may still start within its quota, in the order of release, with reservations for gangs that wait. */
export class TeamBudget {
  private reservation: Reservation | null = null;

  private constructor(private readonly team: TeamState) {}

  /** Null: there is no such team. `jobs` are all its unfinished jobs. */
  static forTeam(team: string, usage: TeamUsage, jobs: readonly QueuedJob[]): TeamBudget | null {
    const left = usage.remaining(team);
    return left && new TeamBudget({ name: team, left, usage, jobs });
  }

  /** Tasks of this job that fit now. */
  tasksThatFit(spec: JobSpec): number {
    const { reservation } = this;
    const { left } = this.team;
    if (!reservation) return tasksWithin(left, spec);
    if (spec.priority > reservation.priority)
      return tasksWithin(least(left, reservation.lowerPriority), spec);
    return tasksWithin(minus(left, reservation.amounts), spec);
  }

  /** Some tasks of a job are asked for: what they need is no longer left to the jobs behind it. */
  take(spec: JobSpec, tasks: number): void {
    subtract(this.team.left, spec, tasks);
    if (this.reservation && spec.priority > this.reservation.priority)
      subtract(this.reservation.lowerPriority, spec, tasks);
  }

  /** Keeps room free for a gang that has waited: from now on for jobs of its priority, and in part for lower ones. */
  reserve(job: QueuedJob, wallMs: number): void {
    const { spec, placedTasks } = job;
    if (spec.kind !== 'gang' || placedTasks > 0 || wallMs - spec.acceptedAtMs < RESERVE_AFTER_MS) return;
    const { usage, name } = this.team;
    if (usage.load(name).maxParallel(spec) < spec.taskCount) return;
    this.reservation ??= {
      priority: spec.priority,
      amounts: { cpus: 0, gpus: 0 },
      lowerPriority: this.lowerAllowance(spec.priority),
    };
    if (this.reservation.priority === spec.priority)
      subtract(this.reservation.amounts, spec, -spec.taskCount);
  }

  private lowerAllowance(priority: Priority): Amounts {
    const { usage, name, jobs } = this.team;
    const quota = usage.quotaOf(name);
    const allowance = { cpus: quota.cpus * LOWER_PRIORITY_SHARE, gpus: quota.gpus * LOWER_PRIORITY_SHARE };
    for (const { spec, placedTasks } of jobs)
      if (spec.priority > priority) subtract(allowance, spec, placedTasks);
    return allowance;
  }
}

function subtract(from: Amounts, spec: JobSpec, tasks: number): void {
  from.cpus -= tasks * spec.cpus;
  from.gpus -= tasks * spec.gpus;
}

function minus(from: Amounts, taken: Amounts): Amounts {
  return { cpus: from.cpus - taken.cpus, gpus: from.gpus - taken.gpus };
}

function least(one: Amounts, other: Amounts): Amounts {
  return { cpus: Math.min(one.cpus, other.cpus), gpus: Math.min(one.gpus, other.gpus) };
}
