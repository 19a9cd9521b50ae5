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

export interface Amounts {
  cpus: number;
  gpus: number;
}

/**
 * Why the count of a team changes. `granted`: a place was taken, to be stored. `read`: found in the stored records. `ended`: its
 * worker lists it as ended. `gone`: settled without that. `returned`: never sent to the state service. `let_go`: its job is read
 * again, filed or no longer this owner's.
 */
export type UsageCause = 'granted' | 'read' | 'ended' | 'gone' | 'returned' | 'let_go';

/** Tasks added and removed by cause. */
export type UsageChanges = Partial<Record<UsageCause, number>>;

/** What the unsettled placements of each team take of its limit. Only the owner of a team can store placements of it. */
export class TeamUsage {
  private readonly used = new Map<string, Usage>();
  private changes = new Map<string, UsageChanges>();

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  add(spec: JobSpec, cause: UsageCause, tasks = 1): void {
    if (tasks === 0) return;
    this.change(spec, tasks);
    const changes = this.changes.get(spec.team) ?? {};
    changes[cause] = (changes[cause] ?? 0) + Math.abs(tasks);
    this.changes.set(spec.team, changes);
  }

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

  /** What a team may use at a time: infinite without a limit. */
  limit(team: string): Amounts {
    const limit = this.teams.get(team);
    return {
      cpus: limit && limit.maxCpus > 0 ? limit.maxCpus : Number.POSITIVE_INFINITY,
      gpus: limit && limit.maxGpus > 0 ? limit.maxGpus : Number.POSITIVE_INFINITY,
    };
  }

  /** What a team may still take: infinite without a limit; null: there is no such team. */
  remaining(team: string): Amounts | null {
    if (!this.teams.has(team)) return null;
    const limit = this.limit(team);
    const { cpus, gpus } = this.usageOf(team);
    return { cpus: limit.cpus - cpus, gpus: limit.gpus - gpus };
  }

  /** Whether the limit of its team admits one more task of a job. */
  admits(spec: JobSpec): boolean {
    const left = this.remaining(spec.team);
    return left !== null && tasksWithin(left, spec) >= 1;
  }

  exceeds(team: string): boolean {
    const left = this.remaining(team);
    return left !== null && (left.cpus < -EPSILON || left.gpus < -EPSILON);
  }

  /** What a team uses and may use, for logs; a limit of null: none. */
  describe(team: string): { cpus: number; cpus_max: number | null; gpus: number; gpus_max: number | null } {
    const { cpus, gpus } = this.usageOf(team);
    const limit = this.limit(team);
    const finite = (amount: number) => (Number.isFinite(amount) ? amount : null);
    return { cpus, cpus_max: finite(limit.cpus), gpus, gpus_max: finite(limit.gpus) };
  }

  /** The changes of each team since the last call. */
  takeChanges(): Map<string, UsageChanges> {
    const taken = this.changes;
    this.changes = new Map();
    return taken;
  }

  load(team: string): TeamLoad {
    const whole = this.limit(team);
    return {
      runningTasks: this.usageOf(team).batchTasks,
      maxParallel: (spec) => Math.min(spec.taskCount, tasksWithin(whole, spec)),
      tasksAtLimit: (spec) => tasksWithin(whole, spec),
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
