/** Up to when cancellations are known to have become stops: by that workers' leases are renewed. See docs/design.md. */

import type { WorkerTiming } from './worker-timing.js';

/** Part of `cancellationSeconds - leaseSeconds` for which leases are renewed by a coverage; the rest covers drift of clocks. */
const RENEWAL_WINDOW_SHARE = 0.9;
/** Timestamps remembered: what is covered lags by a few seconds at most, or else nothing is renewed. */
const MAX_TIMESTAMPS = 32;

type LeaseTiming = Pick<WorkerTiming, 'leaseSeconds' | 'cancellationSeconds'>;

/**
 * How old a coverage may be, in ms, when a lease is renewed by it: what was cancelled since then has its last renewal less
 * than `cancellationSeconds - leaseSeconds` after the cancellation was stored, and so ends within `cancellationSeconds`.
 */
export function renewalWindowMs(timing: LeaseTiming): number {
  return (timing.cancellationSeconds - timing.leaseSeconds) * 1000 * RENEWAL_WINDOW_SHARE;
}

/** Most time between two reads of the open jobs for the sake of coverage, in ms. */
export function cancellationReadIntervalMs(timing: LeaseTiming): number {
  return Math.max(100, Math.min(2000, renewalWindowMs(timing) / 10));
}

/**
 * Timestamps of another process, on its own clock. One that arrived before a moment here was made before that moment: so
 * times of two processes are put in order without comparing their clocks, however late a message comes.
 */
export class PeerTimestamps {
  private entries: { timestamp: number; receivedAt: number }[] = [];

  /** Takes note of a timestamp (on the other process's clock) that came just now (on this one's). */
  add(timestamp: number, receivedAt: number): void {
    this.entries.push({ timestamp, receivedAt });
    if (this.entries.length > MAX_TIMESTAMPS) this.entries.shift();
  }

  /** Forgets all: the timestamps to come are another process's. */
  clear(): void {
    this.entries = [];
  }

  /** The newest timestamp that had arrived by a time on this process's clock; null: none. */
  latestReceivedBy(time: number): number | null {
    let latest: number | null = null;
    for (const entry of this.entries) if (entry.receivedAt <= time) latest = entry.timestamp;
    return latest;
  }
}

/**
 * What a leader has told, or knows itself: whatever was stored as cancelled before `completeUntil` (on the clock of who
 * holds this) has ended, or is being stopped on one of the `pendingMachines` (null: on any). It stays true whoever leads.
 */
export interface CancellationCoverage {
  completeUntil: number;
  pendingMachines: ReadonlySet<string> | null;
}

/** A machine whose lease is to be renewed, now and by a coverage that may be as old as the window; times in ms. */
export interface LeaseRenewal {
  machine: string;
  now: number;
  windowMs: number;
}

/** Whether a machine's lease may be renewed by this coverage, without any stop. */
export function allowsLeaseRenewal(
  coverage: CancellationCoverage | null,
  { machine, now, windowMs }: LeaseRenewal,
): boolean {
  return (
    coverage !== null &&
    now - coverage.completeUntil <= windowMs &&
    coverage.pendingMachines !== null &&
    !coverage.pendingMachines.has(machine)
  );
}

/**
 * The leader's watermarks by team, on its own clock: all that was stored as cancelled before a team's watermark has been
 * sent by its shard owner and become stops here. They only move on: what has become a stop is never taken back.
 */
export class CancellationWatermarks {
  private readonly byTeam = new Map<string, number>();
  /** By owner: its last full sync, and how many messages with placements came since. */
  private readonly syncs = new Map<string, { syncNumber: number; placementMessages: number }>();

  constructor(private readonly teams: readonly string[]) {}

  /** A full sync of an owner has been applied. */
  onFullSyncApplied(instanceId: string, syncNumber: number): void {
    this.syncs.set(instanceId, { syncNumber, placementMessages: 0 });
  }

  /** A message with placements of an owner has come. */
  onPlacementMessage(instanceId: string): void {
    const sync = this.syncs.get(instanceId);
    if (sync) sync.placementMessages++;
  }

  /** Whether nothing that the owner has sent since its last full sync was lost on the way. */
  isComplete(instanceId: string, syncNumber: number, placementMessages: number): boolean {
    const sync = this.syncs.get(instanceId);
    return sync?.syncNumber === syncNumber && sync.placementMessages === placementMessages;
  }

  /** Moves a team's watermark on, never back. */
  advance(team: string, at: number): void {
    this.byTeam.set(team, Math.max(at, this.watermarkOf(team)));
  }

  /** A team's watermark; negative infinity while it has none. */
  watermarkOf(team: string): number {
    return this.byTeam.get(team) ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether each team has a watermark: then every placement that is stored is known here. */
  get hasAllTeams(): boolean {
    return this.byTeam.size >= this.teams.length;
  }
}
