/** Words used everywhere inside; the protocol's own names are known to src/wire alone. */

export type Shape = 'array' | 'gang' | 'service';
/** 0 is the highest: prod, urgent, standard, low. */
export type Rank = 0 | 1 | 2 | 3;

export interface JobSpec {
  id: string;
  cls: string;
  team: string;
  shape: Shape;
  rank: Rank;
  tasks: number;
  cpus: number;
  gpus: number;
  mem: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  together: boolean;
  apart: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
  /** Time of day of acceptance in ms, used for deadlines only. */
  at: number;
}

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  mem: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitWhy = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskReport {
  job: string;
  idx: number;
  attempt: number;
  phase: TaskPhase;
  why: ExitWhy | null;
  saved: boolean;
}

export interface WorkerReport {
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  season: number;
  tally: number;
  token: number;
  noticeS: number | null;
  tasks: TaskReport[];
}

export type WorkerCommand =
  | { op: 'start'; job: string; idx: number; attempt: number }
  | { op: 'stop'; job: string; idx: number; attempt: number; graceS: number }
  | { op: 'reap'; job: string; idx: number; attempt: number };

export interface ListedMachine {
  name: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  phase: 'booting' | 'running' | 'failed';
  ageS: number;
}

/** Work of one job that its owner would start now if it had room. */
export interface Want {
  job: string;
  team: string;
  cls: string;
  rank: Rank;
  /** Place in the queue within rank, guarantee and stage: lower goes first. */
  order: number;
  /** 0 while the job can still meet its first aim or deadline, more for each one missed. */
  stage: number;
  count: number;
  /** All or none. */
  whole: boolean;
  service: boolean;
  cpus: number;
  gpus: number;
  mem: number;
  image: string;
  imageGb: number;
  estimateS: number;
  types: string[] | null;
  spot: boolean;
  /** Nothing of it has found room for long: room kept for others is open to it. */
  starved?: boolean;
  /** Only cheap machines are worth renting for it. */
  spotOnly?: boolean;
  zone: string | null;
  together: boolean;
  /** At most so many more in a zone, for jobs that must be spread. */
  zoneRoom: Record<string, number> | null;
  zoneCap: number;
  /** Machines on which this job failed lately. */
  avoid: string[];
  /**
   * The tasks still to be placed, where they are few and one of them has had an attempt: a machine that lists ended
   * attempts of all of them is of no use. Null: many, or none that any machine could list; a gang places all its tasks.
   */
  tasksLeft?: number[] | null;
  /** Machines that would refuse each task still to be placed: the scheduler's reckoning. */
  refusedBy?: ReadonlySet<string>;
  near: string;
  /** So long it may still wait for places without putting its aim at risk: the scheduler's reckoning; null: it has none. */
  patienceS: number | null;
  /** Its aim on being done, and what is left until then; null: none, or past it. */
  aimS: number | null;
  slackS: number | null;
  /** The newest grant that its owner had taken in: what it granted is no longer wanted. */
  seen: number;
}

/** An unsettled placement as its owner tells it to the scheduler. */
export interface Held {
  job: string;
  idx: number;
  attempt: number;
  machine: string;
  season: number;
  /**
   * `keep`: ended, its outcome is being stored. `pending`: its write is in flight or in doubt; it keeps its room, and nothing
   * is started for it.
   */
  want: 'run' | 'stop' | 'keep' | 'reap' | 'pending';
  graceS: number;
  team: string;
  rank: Rank;
  gang: boolean;
  service: boolean;
  cpus: number;
  gpus: number;
  mem: number;
  image: string;
  imageGb: number;
  estimateS: number;
  types: string[] | null;
  /** Must be spread over zones. */
  spread: boolean;
  grant: number;
}

/** An operator's aim, as the settings restate it. */
export interface Objective {
  kind: string;
  cls: string;
  withinS: number;
}

export interface Grant {
  id: number;
  job: string;
  team: string;
  machine: string;
  zone: string;
  season: number;
  /** Tasks of the job of which the machine lists an ended attempt: it would refuse another one. Absent: none. */
  endedTasks?: number[];
}

/** Owner to scheduler. `gens` names the version of each team record the sender acts under. */
export type OwnerMsg =
  | {
      type: 'sync';
      token: number;
      inst: string;
      /** Number of this telling, and which of its parts this is. */
      sync: number;
      parts: number;
      part: number;
      gens: Record<string, number>;
      held: Held[];
      wants: Want[];
    }
  | { type: 'wants'; token: number; inst: string; wants: Want[] }
  | { type: 'held'; token: number; inst: string; held: Held[] }
  | { type: 'drop'; token: number; inst: string; tasks: { machine: string; key: string }[]; grants: number[] }
  /** Whatever was cancelled before the leader's `mark` has been told, in `n` messages of placements since that sync. */
  | {
      type: 'covered';
      token: number;
      inst: string;
      sync: number;
      n: number;
      gens: Record<string, number>;
      mark: number;
    };

/** What became of placements, as the scheduler saw it. */
export type Seen =
  | {
      type: 'phase';
      job: string;
      idx: number;
      attempt: number;
      machine: string;
      phase: TaskPhase;
      why: ExitWhy | null;
      saved: boolean;
    }
  | { type: 'settled'; job: string; idx: number; attempt: number; machine: string };

export type SchedulerMsg =
  /** The full telling of this number has been taken in. Without it (from a leader of an earlier version): the last one. */
  | { type: 'synced'; token: number; sync?: number }
  | { type: 'resync'; token: number }
  | { type: 'grants'; token: number; grants: Grant[] }
  /** A time on the leader's clock. */
  | { type: 'mark'; token: number; at: number }
  | { type: 'seen'; token: number; seen: Seen[] }
  | { type: 'evict'; token: number; tasks: { job: string; idx: number; attempt: number }[]; why: string };

export function taskKey(job: string, idx: number, attempt: number): string {
  return `${job}/${idx}#${attempt}`;
}

export type Fields = Record<string, unknown>;
export interface Logger {
  debug(f: Fields, msg: string): void;
  info(f: Fields, msg: string): void;
  error(f: Fields, msg: string): void;
}

export type StateOp = { put: string; value: unknown; lease?: number } | { del: string };
export interface Txn {
  when: { key: string; version: number }[];
  then: StateOp[];
}
export interface Item {
  key: string;
  value: unknown;
  version: number;
  lease?: number;
}
export type StateEvent = { key: string; version: number; value: unknown; gone: boolean };

/** `refused`: surely not executed. `unknown`: may have been, or may yet be. */
export type Failure = {
  ok: false;
  kind: 'conflict' | 'refused' | 'unknown' | 'gone' | 'bad';
  failed?: string[];
  report?: WorkerReport;
};
export type Result<T> = { ok: true; value: T } | Failure;
export type Then<T> = (r: Result<T>) => void;

/**
 * Urgency of a request to the state service, most urgent first. Submissions and the reads that answer users cost one put
 * or none each, so they go before the placements, whose transactions use up the budget of writes.
 */
export const URGENCY = { lease: 0, user: 1, placement: 2, read: 3, cleanup: 4 } as const;
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

export interface StatePort {
  get(key: string, u: Urgency, cb: Then<Item | null>): void;
  list(
    prefix: string,
    since: string,
    u: Urgency,
    cb: Then<{ items: Item[]; more: boolean; rev: number }>,
  ): void;
  txn(t: Txn, u: Urgency, cb: Then<number>): void;
  grant(ttlMs: number, cb: Then<number>): void;
  touch(lease: number, cb: Then<null>): void;
  end(lease: number, cb: Then<null>): void;
  watch(prefix: string, since: number, waitMs: number, cb: Then<{ rev: number; events: StateEvent[] }>): void;
}

export interface CloudPort {
  types(cb: Then<MachineType[]>): void;
  rent(claim: string, type: string, zone: string, spot: boolean, n: number, cb: Then<string[]>): void;
  remove(names: string[], cb: Then<null>): void;
  list(since: string, cb: Then<{ machines: ListedMachine[]; more: boolean }>): void;
}

export interface WorkerPort {
  /** Straight to a worker. `refused`: 409 or a connection that was never made; nothing was executed. */
  commands(addr: string, token: number, season: number, cmds: WorkerCommand[], cb: Then<WorkerReport>): void;
}

export interface Clock {
  /** Steady milliseconds. */
  now(): number;
  /** Time of day in milliseconds, within the bound of the settings. */
  wall(): number;
  after(ms: number, fn: () => void): () => void;
  /** After what is already waiting to be handled. */
  soon(fn: () => void): void;
  random(): number;
}
