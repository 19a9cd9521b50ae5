/** Tracks up to which of the leader's timestamps all earlier cancellations have become stops here. */

import { PeerTimestamps } from '../model/cancellation-coverage.js';

/**
 * Matches the leader's timestamps with later reads of the open jobs. A read that was sent after a
 * timestamp had arrived shows every cancellation that was stored before that timestamp was made.
 */
export class CancellationProgress {
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
   * Returns the newest timestamp that had been received when a read was sent, or null if there is none or it
   * was returned before.
   */
  takeLatest(readSentAt: number): number | null {
    const latest = this.timestamps.latestReceivedBy(readSentAt);
    if (latest === null || latest <= this.lastTaken) return null;
    this.lastTaken = latest;
    return latest;
  }
}
