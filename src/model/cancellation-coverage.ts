/** Part of `cancel_s - lease_s` for which a worker's lease is renewed after the horizon; the rest covers drift of clocks. */
const RENEWAL_WINDOW_SHARE = 0.9;
/** Marks remembered: what is covered lags by a few seconds at most, or else nothing is renewed. */
const MAX_TIMESTAMPS = 32;

/**
 * How old a horizon may be when a lease is renewed by it: what was cancelled since then has its last renewal less than
 * `cancel_s - lease_s` after the cancellation was stored, and so ends within `cancel_s`.
 */
export function renewalWindowMs(timing: { leaseSeconds: number; cancellationSeconds: number }): number {
  return (timing.cancellationSeconds - timing.leaseSeconds) * 1000 * RENEWAL_WINDOW_SHARE;
}

/** Most time between two reads of `open/` for the horizon's sake. */
export function cancellationReadIntervalMs(timing: {
  leaseSeconds: number;
  cancellationSeconds: number;
}): number {
  return Math.max(100, Math.min(2000, renewalWindowMs(timing) / 10));
}

/**
 * Marks are times on another process's clock, as it told them. One that arrived before a moment here was made before that
 * moment: so times of two processes are put in order without comparing their clocks, however late a message comes.
 */
export class PeerTimestamps {
  private entries: { timestamp: number; receivedAt: number }[] = [];

  add(at: number, got: number): void {
    this.entries.push({ timestamp: at, receivedAt: got });
    if (this.entries.length > MAX_TIMESTAMPS) this.entries.shift();
  }

  clear(): void {
    this.entries = [];
  }

  /** The newest mark that had arrived by then; null: none. */
  latestReceivedBy(then: number): number | null {
    let best: number | null = null;
    for (const m of this.entries) if (m.receivedAt <= then) best = m.timestamp;
    return best;
  }
}

/**
 * What a leader has told, or knows itself: whatever was stored as cancelled before `at` (on the clock of who holds this)
 * has ended, or is being stopped on one of the `pending` machines (null: on any). It stays true whoever leads.
 */
export interface CancellationCoverage {
  completeUntil: number;
  pendingMachines: ReadonlySet<string> | null;
}

/** A cover by which this machine's lease may be renewed now without any stop. */
export function isLeaseRenewalCovered(
  coverage: CancellationCoverage | null,
  machine: string,
  now: number,
  window: number,
): boolean {
  return (
    coverage !== null &&
    now - coverage.completeUntil <= window &&
    coverage.pendingMachines !== null &&
    !coverage.pendingMachines.has(machine)
  );
}

/**
 * The leader's cancellation horizons, on its own clock: all that was stored as cancelled before a team's horizon has
 * been told by its owner and become stops here. They only move on: what has become a stop is never taken back.
 */
export class CancellationWatermarks {
  private readonly byTeam = new Map<string, number>();
  /** By owner: its last full telling, and how many messages with placements came since. */
  private readonly syncs = new Map<string, { syncNumber: number; placementMessages: number }>();

  constructor(private readonly teams: readonly string[]) {}

  fullSyncTaken(instanceId: string, syncNumber: number): void {
    this.syncs.set(instanceId, { syncNumber, placementMessages: 0 });
  }

  placementMessageTaken(instanceId: string): void {
    const t = this.syncs.get(instanceId);
    if (t) t.placementMessages++;
  }

  /** Nothing that the owner has told since its last full telling was lost on the way. */
  isComplete(instanceId: string, syncNumber: number, placementMessages: number): boolean {
    const t = this.syncs.get(instanceId);
    return t?.syncNumber === syncNumber && t.placementMessages === placementMessages;
  }

  advance(team: string, at: number): void {
    this.byTeam.set(team, Math.max(at, this.of(team)));
  }

  of(team: string): number {
    return this.byTeam.get(team) ?? Number.NEGATIVE_INFINITY;
  }

  /** All teams have one: every placement that is stored is known here. */
  get coversAllTeams(): boolean {
    return this.byTeam.size >= this.teams.length;
  }
}
