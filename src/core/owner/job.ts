import { Counter, FanOut } from '../graph.js';
import type { StoredJob } from '../records.js';
import type { Held, JobSpec } from '../types.js';

/** One attempt of a task on a machine, from its grant until it is settled. */
export interface Placement {
  idx: number;
  attempt: number;
  machine: string;
  season: number;
  zone: string;
  grant: number;
  /** In the state service; before that no start may be sent. */
  stored: boolean;
  want: 'run' | 'stop';
  running: boolean;
}

/** A settled placement to be removed from its worker's list once its outcome is stored; `listed`: the worker lists it. */
export interface SettledPlacement {
  placement: Placement;
  listed: boolean;
}

/** A job as its owner holds it: the stored records, and what has changed since they were written. */
export interface OwnedJob {
  spec: JobSpec;
  /** Revision at which it was accepted. */
  order: number;
  jobRevision: number;
  counterRevision: number;
  cancelled: boolean;
  count: Counter;
  fan: FanOut;
  placed: Map<number, Placement>;
  /** The last attempt of each task that has had one. */
  attempts: Map<number, number>;
  chunkRevisions: Map<number, number>;
  dirtyChunks: Set<number>;
  dirtyCount: boolean;
  /** When what is dirty should be written; Infinity: nothing is. */
  dueAt: number;
  /** In the transaction now in flight. */
  busy: boolean;
  /** Stored state is being read again; nothing is decided meanwhile. */
  reloading: boolean;
  /** Nothing of it is started before this time: it has failed. */
  holdUntil: number;
  failures: number;
  /** Machines that get none of its tasks until the given time. */
  avoid: Map<string, number>;
  /** Where its last finished task ran: the next one goes there if it can. */
  near: string;
  shownRunning: number;
  storedRunning: number;
  toReap: SettledPlacement[];
  /** Those whose outcome is in the transaction now in flight, or in doubt. */
  outcomesInFlight: SettledPlacement[];
}

/**
 * A job from its stored records; `old` is what its owner held before reading them again. A cancellation that the watch has
 * shown meanwhile is never taken back.
 */
export function newJob(
  spec: JobSpec,
  stored: StoredJob,
  old: OwnedJob | undefined,
  window: number,
): OwnedJob {
  return {
    spec,
    order: stored.order,
    jobRevision: Math.max(stored.jobRevision, old?.jobRevision ?? 0),
    counterRevision: stored.counterRevision,
    cancelled: stored.cancelled || old?.cancelled === true,
    count: stored.count ?? new Counter(spec.tasks),
    fan: new FanOut(spec.tasks, window),
    placed: new Map(),
    attempts: new Map(),
    chunkRevisions: new Map(),
    dirtyChunks: new Set(),
    dirtyCount: false,
    dueAt: Number.POSITIVE_INFINITY,
    busy: false,
    reloading: false,
    holdUntil: old?.holdUntil ?? 0,
    failures: old?.failures ?? 0,
    avoid: old?.avoid ?? new Map(),
    near: old?.near ?? '',
    shownRunning: 0,
    storedRunning: stored.running,
    toReap: [],
    outcomesInFlight: [],
  };
}

/** Over: done or cancelled, and nothing of it is left on any machine. */
export function isOver(job: OwnedJob): boolean {
  return (job.cancelled || (job.count.full && !job.dirtyCount)) && job.placed.size === 0;
}

/** Whether placements of it that are not known to be stored may be: a write is in flight, or what became of it is being read. */
export function isInDoubt(job: OwnedJob): boolean {
  return job.busy || job.reloading;
}

/** All tasks of a gang share one attempt number, above every earlier one. */
export function gangAttempt(job: OwnedJob): number {
  let latest = 0;
  for (const placement of job.placed.values()) if (!placement.stored) return placement.attempt;
  for (const attempt of job.attempts.values()) latest = Math.max(latest, attempt);
  return latest + 1;
}

/** Whether one more task may go to this zone, given all unsettled placements of the job. */
export function zoneAllows(job: OwnedJob, zone: string): boolean {
  const { spec } = job;
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (!spec.together && !spec.apart) return true;
  let there = 0;
  for (const placement of job.placed.values()) {
    if (placement.zone === zone) there++;
    else if (spec.together) return false;
  }
  return !spec.apart || there < Math.ceil(spec.tasks / 2);
}

/** What identifies a placement to the scheduler. */
export interface PlacementRef {
  idx: number;
  attempt: number;
  machine: string;
  season: number;
}

/** A placement as the scheduler is told of it. */
export function heldOf(job: OwnedJob, at: PlacementRef, want: Held['want'], graceS = 0, grant = 0): Held {
  const { spec } = job;
  return {
    job: spec.id,
    idx: at.idx,
    attempt: at.attempt,
    machine: at.machine,
    season: at.season,
    want,
    graceS,
    team: spec.team,
    rank: spec.rank,
    gang: spec.shape === 'gang',
    service: spec.shape === 'service',
    cpus: spec.cpus,
    gpus: spec.gpus,
    mem: spec.mem,
    image: spec.image,
    imageGb: spec.imageGb,
    estimateS: spec.estimateS,
    types: spec.types,
    spread: spec.apart && spec.tasks > 1,
    grant,
  };
}
