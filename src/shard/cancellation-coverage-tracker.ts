/**
 * Determines up to which of the leader's timestamps a shard owner has turned all cancellations into stops:
 * its cancellation coverage.
 */

import { PeerTimestamps } from '../model/cancellation-coverage.js';

/**
 * Matches the leader's timestamps with later reads of the open jobs. A read that was sent after a timestamp
 * had arrived shows every cancellation that was stored before the leader made that timestamp. The caller must
 * have turned the cancellations that the read shows into stops.
 */
export class CancellationCoverageTracker {
  private readonly timestamps = new PeerTimestamps();
  private lastTaken = Number.NEGATIVE_INFINITY;

  /** Records a timestamp on the leader's clock, received at `receivedAt` on the local clock. */
  add(leaderTimestamp: number, receivedAt: number): void {
    this.timestamps.add(leaderTimestamp, receivedAt);
  }

  /** Discards all timestamps: another leader's timestamps are on another clock. */
  reset(): void {
    this.timestamps.clear();
    this.lastTaken = Number.NEGATIVE_INFINITY;
  }

  /**
   * Returns the newest leader timestamp that had been received when a read of the open jobs was sent, or null
   * if there is none or it is not newer than the one returned last.
   */
  takeLatest(readSentAt: number): number | null {
    const latest = this.timestamps.latestReceivedBy(readSentAt);
    if (latest === null || latest <= this.lastTaken) return null;
    this.lastTaken = latest;
    return latest;
  }
}
