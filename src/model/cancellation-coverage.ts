/**
 * Tracks up to which time all stored cancellations have been turned into stop commands. Workers' leases are
 * renewed only up to that time. See docs/design.md.
 *
 * The leader keeps a watermark for each team, which the shard owner advances ({@link
 * CancellationWatermarks}). The coverage of all teams ({@link CancellationCoverage}) is sent to the other
 * controllers. Both can be extended by the period for which the cancellations announced between controllers
 * are known completely (`CancellationLog` in src/controller/cancellation-log.ts).
 */

import type { WorkerTiming } from './worker-timing.js';

/**
 * Share of `cancellationSeconds - leaseSeconds` for which a coverage allows lease renewals; the rest allows
 * for clock drift.
 */
const RENEWAL_WINDOW_SHARE = 0.9;
/**
 * Number of timestamps kept of another process. The coverage normally lags by a few seconds at most; if it
 * lags further, no lease is renewed.
 */
const MAX_TIMESTAMPS = 32;

type LeaseTiming = Pick<WorkerTiming, 'leaseSeconds' | 'cancellationSeconds'>;

/**
 * The maximum age of a coverage that allows a lease renewal, in ms. If a job is cancelled after the time that
 * the coverage reaches, the last renewal for its tasks comes less than `cancellationSeconds - leaseSeconds`
 * after the cancellation was stored, so the tasks end within `cancellationSeconds`.
 */
export function renewalWindowMs(timing: LeaseTiming): number {
  return (timing.cancellationSeconds - timing.leaseSeconds) * 1000 * RENEWAL_WINDOW_SHARE;
}

/** Maximum time between two reads of the open jobs that keep the coverage up to date, in ms. */
export function cancellationReadIntervalMs(timing: LeaseTiming): number {
  return Math.max(100, Math.min(2000, renewalWindowMs(timing) / 10));
}

/**
 * Timestamps received from another process, on that process's clock. A timestamp that was received before
 * some local time was taken before that time. This orders times of two processes without comparing their
 * clocks, however late a message arrives.
 */
export class PeerTimestamps {
  private entries: { timestamp: number; receivedAt: number }[] = [];

  /** Records a timestamp (on the other process's clock) and its time of receipt (on this process's clock). */
  add(timestamp: number, receivedAt: number): void {
    this.entries.push({ timestamp, receivedAt });
    if (this.entries.length > MAX_TIMESTAMPS) this.entries.shift();
  }

  /** Discards all timestamps. The caller must do this before it adds timestamps of a different process. */
  clear(): void {
    this.entries = [];
  }

  /** Returns the newest timestamp received by `time` (on this process's clock), or null if there is none. */
  latestReceivedBy(time: number): number | null {
    let latest: number | null = null;
    for (const entry of this.entries) if (entry.receivedAt <= time) latest = entry.timestamp;
    return latest;
  }
}

/**
 * States that for every cancellation stored before `completeUntil` (on the clock of the process that holds
 * this object), the job's tasks have ended or are being stopped on one of `pendingMachines` (null: on any
 * machine). The leader computes it from the watermarks of all teams and sends it to the other controllers. It
 * remains true after a change of leader.
 */
export interface CancellationCoverage {
  completeUntil: number;
  pendingMachines: ReadonlySet<string> | null;
}

/** A lease renewal to be checked. `windowMs` is the maximum age of the coverage. */
export interface LeaseRenewalCheck {
  machine: string;
  now: number;
  windowMs: number;
}

/** Returns whether the coverage allows renewing the machine's lease without sending it any stop command. */
export function allowsLeaseRenewal(
  coverage: CancellationCoverage | null,
  { machine, now, windowMs }: LeaseRenewalCheck,
): boolean {
  return (
    coverage !== null &&
    now - coverage.completeUntil <= windowMs &&
    coverage.pendingMachines !== null &&
    !coverage.pendingMachines.has(machine)
  );
}

/**
 * The leader's cancellation watermark of each team, on the leader's clock. The shard owner has sent every
 * cancellation of the team stored before the watermark, and the leader has turned it into stop commands.
 * Watermarks never move back, because a stop is never revoked.
 */
export class CancellationWatermarks {
  private readonly byTeam = new Map<string, number>();
  /**
   * For each shard owner, by instance id: the number of its last full sync that was applied, and the number
   * of `placements` messages received since.
   */
  private readonly syncs = new Map<string, { syncNumber: number; placementMessages: number }>();

  constructor(private readonly teams: readonly string[]) {}

  /** Records that a full sync of a shard owner has been applied. */
  onFullSyncApplied(instanceId: string, syncNumber: number): void {
    this.syncs.set(instanceId, { syncNumber, placementMessages: 0 });
  }

  /** Records that a `placements` message of a shard owner has been received. */
  onPlacementMessage(instanceId: string): void {
    const sync = this.syncs.get(instanceId);
    if (sync) sync.placementMessages++;
  }

  /**
   * Returns whether the shard owner's last full sync that was applied has this number, and as many
   * `placements` messages as stated have been received since: all that it has sent.
   */
  isComplete(instanceId: string, syncNumber: number, placementMessages: number): boolean {
    const sync = this.syncs.get(instanceId);
    return sync?.syncNumber === syncNumber && sync.placementMessages === placementMessages;
  }

  /** Advances a team's watermark; an earlier time has no effect. */
  advance(team: string, watermark: number): void {
    this.byTeam.set(team, Math.max(watermark, this.watermarkOf(team)));
  }

  /** Returns a team's watermark, or negative infinity if it has none yet. */
  watermarkOf(team: string): number {
    return this.byTeam.get(team) ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether every team has a watermark, which means that the leader knows every stored placement. */
  get hasAllTeams(): boolean {
    return this.byTeam.size >= this.teams.length;
  }
}
