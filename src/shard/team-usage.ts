/** What each team uses of its quota. */

import type { JobSpec } from '../model/job.js';
import type { Team } from '../model/team.js';
import type { TeamLoad } from './release-queue.js';

/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

interface Usage {
  cpus: number;
  gpus: number;
  /** Tasks of arrays and gangs. */
  batchTasks: number;
}

/** CPUs and GPUs. */
export interface Amounts {
  cpus: number;
  gpus: number;
}

/**
 * Why the count of a team changes. `granted`: a place was taken, to be stored. `loaded`: found in the stored records. `exited`: its
 * worker lists it so. `lost`: finalized without that. `returned`: never sent to the key-value store. `released`: its job is loaded
 * again, archived or no longer this owner's.
 */
export type UsageCause = 'granted' | 'loaded' | 'exited' | 'lost' | 'returned' | 'released';

/** Tasks added and removed by cause. */
export type UsageChanges = Partial<Record<UsageCause, number>>;

/**
 * What the placements of each team take of its quota until they are finalized. Only the owner of a team's shard can store
 * placements of it.
 */
export class TeamUsage {
  private readonly used = new Map<string, Usage>();
  private changes = new Map<string, UsageChanges>();

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /** Placements of a job that count from now on. */
  add(spec: JobSpec, cause: UsageCause, tasks = 1): void {
    if (tasks === 0) return;
    this.change(spec, tasks);
    const changes = this.changes.get(spec.team) ?? {};
    changes[cause] = (changes[cause] ?? 0) + Math.abs(tasks);
    this.changes.set(spec.team, changes);
  }

  /** Placements of a job that no longer count. */
  remove(spec: JobSpec, cause: UsageCause, tasks = 1): void {
    this.add(spec, cause, -tasks);
  }

  private change(spec: JobSpec, tasks: number): void {
    const usage = this.usageOf(spec.team);
    usage.cpus += tasks * spec.cpus;
    usage.gpus += tasks * spec.gpus;
    if (spec.kind !== 'service') usage.batchTasks += tasks;
    this.used.set(spec.team, usage);
  }

  /** A team's quota: infinite without one. */
  quotaOf(team: string): Amounts {
    const quota = this.teams.get(team);
    return {
      cpus: quota && quota.maxCpus > 0 ? quota.maxCpus : Number.POSITIVE_INFINITY,
      gpus: quota && quota.maxGpus > 0 ? quota.maxGpus : Number.POSITIVE_INFINITY,
    };
  }

  /** What a team may still take: infinite without a quota; null: there is no such team. */
  remaining(team: string): Amounts | null {
    if (!this.teams.has(team)) return null;
    const quota = this.quotaOf(team);
    const { cpus, gpus } = this.usageOf(team);
    return { cpus: quota.cpus - cpus, gpus: quota.gpus - gpus };
  }

  /** Whether the quota of its team admits one more task of a job. */
  admits(spec: JobSpec): boolean {
    const left = this.remaining(spec.team);
    return left !== null && tasksWithin(left, spec) >= 1;
  }

  /** Whether a team uses more than its quota. */
  exceeds(team: string): boolean {
    const left = this.remaining(team);
    return left !== null && (left.cpus < -EPSILON || left.gpus < -EPSILON);
  }

  /** What a team uses and may use, for logs; a maximum of null: it has no quota. */
  describe(team: string): { cpus: number; maxCpus: number | null; gpus: number; maxGpus: number | null } {
    const { cpus, gpus } = this.usageOf(team);
    const quota = this.quotaOf(team);
    const finite = (amount: number) => (Number.isFinite(amount) ? amount : null);
    return { cpus, maxCpus: finite(quota.cpus), gpus, maxGpus: finite(quota.gpus) };
  }

  /** The changes of each team since the last call. */
  takeChanges(): Map<string, UsageChanges> {
    const taken = this.changes;
    this.changes = new Map();
    return taken;
  }

  /** What the release queue looks at. */
  load(team: string): TeamLoad {
    const quota = this.quotaOf(team);
    return {
      runningTasks: this.usageOf(team).batchTasks,
      maxParallel: (spec) => Math.min(spec.taskCount, tasksWithin(quota, spec)),
      tasksAtQuota: (spec) => tasksWithin(quota, spec),
    };
  }

  private usageOf(team: string): Usage {
    return this.used.get(team) ?? { cpus: 0, gpus: 0, batchTasks: 0 };
  }
}

/** Tasks of a job that fit into these amounts. */
export function tasksWithin(left: Amounts, spec: JobSpec): number {
  let tasks = Number.POSITIVE_INFINITY;
  if (spec.cpus > 0) tasks = Math.min(tasks, Math.floor(left.cpus / spec.cpus + EPSILON));
  if (spec.gpus > 0) tasks = Math.min(tasks, Math.floor(left.gpus / spec.gpus + EPSILON));
  return tasks;
}
