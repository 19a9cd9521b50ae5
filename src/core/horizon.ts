/** Part of `cancel_s - lease_s` for which a worker's lease is renewed after the horizon; the rest covers drift of clocks. */
const WINDOW = 0.9;
/** Marks remembered: what is covered lags by a few seconds at most, or else nothing is renewed. */
const MOST_MARKS = 32;

/**
 * How old a horizon may be when a lease is renewed by it: what was cancelled since then has its last renewal less than
 * `cancel_s - lease_s` after the cancellation was stored, and so ends within `cancel_s`.
 */
export function windowMs(w: { leaseS: number; cancelS: number }): number {
  return (w.cancelS - w.leaseS) * 1000 * WINDOW;
}

/** Most time between two reads of `open/` for the horizon's sake. */
export function readGapMs(w: { leaseS: number; cancelS: number }): number {
  return Math.max(100, Math.min(2000, windowMs(w) / 10));
}

/**
 * Marks are times on another process's clock, as it told them. One that arrived before a moment here was made before that
 * moment: so times of two processes are put in order without comparing their clocks, however late a message comes.
 */
export class Marks {
  private list: { at: number; got: number }[] = [];

  add(at: number, got: number): void {
    this.list.push({ at, got });
    if (this.list.length > MOST_MARKS) this.list.shift();
  }

  clear(): void {
    this.list = [];
  }

  /** The newest mark that had arrived by then; null: none. */
  by(then: number): number | null {
    let best: number | null = null;
    for (const m of this.list) if (m.got <= then) best = m.at;
    return best;
  }
}

/**
 * What a leader has told, or knows itself: whatever was stored as cancelled before `at` (on the clock of who holds this)
 * has ended, or is being stopped on one of the `pending` machines (null: on any). It stays true whoever leads.
 */
export interface Cover {
  at: number;
  pending: ReadonlySet<string> | null;
}

/** A cover by which this machine's lease may be renewed now without any stop. */
export function coversMachine(c: Cover | null, machine: string, now: number, window: number): boolean {
  return c !== null && now - c.at <= window && c.pending !== null && !c.pending.has(machine);
}

/**
 * The leader's cancellation horizons, on its own clock: all that was stored as cancelled before a team's horizon has
 * been told by its owner and become stops here. They only move on: what has become a stop is never taken back.
 */
export class Horizons {
  private readonly byTeam = new Map<string, number>();
  /** By owner: its last full telling, and how many messages with placements came since. */
  private readonly told = new Map<string, { sync: number; n: number }>();

  constructor(private readonly teams: readonly string[]) {}

  synced(inst: string, sync: number): void {
    this.told.set(inst, { sync, n: 0 });
  }

  held(inst: string): void {
    const t = this.told.get(inst);
    if (t) t.n++;
  }

  /** Nothing that the owner has told since its last full telling was lost on the way. */
  complete(inst: string, sync: number, n: number): boolean {
    const t = this.told.get(inst);
    return t?.sync === sync && t.n === n;
  }

  advance(team: string, at: number): void {
    this.byTeam.set(team, Math.max(at, this.of(team)));
  }

  of(team: string): number {
    return this.byTeam.get(team) ?? Number.NEGATIVE_INFINITY;
  }

  /** All teams have one: every placement that is stored is known here. */
  get whole(): boolean {
    return this.byTeam.size >= this.teams.length;
  }
}
