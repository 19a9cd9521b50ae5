/** Tracks how much of its quota each team uses. */

import type { JobSpec } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { TeamLoad } from './release-queue.js';

/** Tolerance of comparisons between sums of decimal amounts. */
const EPSILON = 1e-9;

/** Resources used by the placements of one team. */
interface Usage {
  cpus: number;
  gpus: number;
  /** Placed tasks of arrays and gangs. */
  placedBatchTasks: number;
}

/** Amounts of the resources that a quota limits: CPUs and GPUs. */
export interface QuotaAmounts {
  cpus: number;
  gpus: number;
}

/**
 * Why a team's usage changes. `granted`: a task was placed on a grant. `loaded`: the placement was found in
 * the stored records. `exited`: the worker reports that the task has exited. `lost`: the placement was
 * finalized without such a report. `returned`: the placement was removed before it was sent to the key-value
 * store. `released`: the job is loaded again, archived or no longer owned here.
 */
export type UsageCause = 'granted' | 'loaded' | 'exited' | 'lost' | 'returned' | 'released';

/** Number of placements added or removed, by cause. */
export type UsageChanges = Partial<Record<UsageCause, number>>;

/**
 * Counts what the placements of each team use until they are finalized. Only the owner of a team's shard can
 * store placements of its jobs, so it need not count those of other controllers.
 */
export class TeamUsage {
  private readonly used = new Map<string, Usage>();
  private changes = new Map<string, UsageChanges>();

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /** Adds placed tasks of a job; a negative number removes them. */
  add(spec: JobSpec, cause: UsageCause, tasks = 1): void {
    if (tasks === 0) return;
    this.adjust(spec, tasks);
    const changes = this.changes.get(spec.team) ?? {};
    changes[cause] = (changes[cause] ?? 0) + Math.abs(tasks);
    this.changes.set(spec.team, changes);
  }

  /** Removes placed tasks of a job. */
  remove(spec: JobSpec, cause: UsageCause, tasks = 1): void {
    this.add(spec, cause, -tasks);
  }

  private adjust(spec: JobSpec, tasks: number): void {
    const usage = this.usageOf(spec.team);
    usage.cpus += tasks * spec.cpus;
    usage.gpus += tasks * spec.gpus;
    if (spec.kind !== 'service') usage.placedBatchTasks += tasks;
    this.used.set(spec.team, usage);
  }

  /** A team's quota; infinite amounts where it has none. */
  quotaOf(team: string): QuotaAmounts {
    const settings = this.teams.get(team);
    return {
      cpus: settings && settings.maxCpus > 0 ? settings.maxCpus : Number.POSITIVE_INFINITY,
      gpus: settings && settings.maxGpus > 0 ? settings.maxGpus : Number.POSITIVE_INFINITY,
    };
  }

  /** The remaining quota of a team; infinite amounts where it has no quota, null if there is no such team. */
  remainingOf(team: string): QuotaAmounts | null {
    if (!this.teams.has(team)) return null;
    const quota = this.quotaOf(team);
    const { cpus, gpus } = this.usageOf(team);
    return { cpus: quota.cpus - cpus, gpus: quota.gpus - gpus };
  }

  /** Whether the team's quota admits one more task of the job. */
  admits(spec: JobSpec): boolean {
    const remaining = this.remainingOf(spec.team);
    return remaining !== null && countFittingTasks(remaining, spec) >= 1;
  }

  /** Whether a team uses more than its quota. */
  isOverQuota(team: string): boolean {
    const remaining = this.remainingOf(team);
    return remaining !== null && (remaining.cpus < -EPSILON || remaining.gpus < -EPSILON);
  }

  /** A team's usage and quota as log fields; a maximum is null if there is no quota. */
  describe(team: string): { cpus: number; maxCpus: number | null; gpus: number; maxGpus: number | null } {
    const { cpus, gpus } = this.usageOf(team);
    const quota = this.quotaOf(team);
    const finiteOrNull = (amount: number) => (Number.isFinite(amount) ? amount : null);
    return { cpus, maxCpus: finiteOrNull(quota.cpus), gpus, maxGpus: finiteOrNull(quota.gpus) };
  }

  /** Returns the changes of each team's usage since the last call. */
  takeChanges(): Map<string, UsageChanges> {
    const changes = this.changes;
    this.changes = new Map();
    return changes;
  }

  /** The team's load as the release queue needs it. */
  loadOf(team: string): TeamLoad {
    const quota = this.quotaOf(team);
    return {
      placedBatchTasks: this.usageOf(team).placedBatchTasks,
      maxParallelTasks: (spec) => Math.min(spec.taskCount, countFittingTasks(quota, spec)),
      tasksAtQuota: (spec) => countFittingTasks(quota, spec),
    };
  }

  private usageOf(team: string): Usage {
    return this.used.get(team) ?? { cpus: 0, gpus: 0, placedBatchTasks: 0 };
  }
}

/**
 * How many tasks of a job fit into the available amounts; infinite if nothing limits them, negative if
 * overdrawn.
 */
export function countFittingTasks(available: QuotaAmounts, spec: JobSpec): number {
  let tasks = Number.POSITIVE_INFINITY;
  if (spec.cpus > 0) tasks = Math.min(tasks, Math.floor(available.cpus / spec.cpus + EPSILON));
  if (spec.gpus > 0) tasks = Math.min(tasks, Math.floor(available.gpus / spec.gpus + EPSILON));
  return tasks;
}
