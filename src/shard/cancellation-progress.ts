/** Up to which of the leader's timestamps all cancellations stored before have become stops here. */

import { PeerTimestamps } from '../model/cancellation-coverage.js';

/** Matches the leader's timestamps with the reads of unfinished jobs made after they came. */
export class CancellationProgress {
  private readonly timestamps = new PeerTimestamps();
  private takenUpTo = Number.NEGATIVE_INFINITY;

  /** A timestamp on the leader's clock has come at `receivedAt` on this one. */
  add(leaderTimestamp: number, receivedAt: number): void {
    this.timestamps.add(leaderTimestamp, receivedAt);
  }

  /** Another leader has another clock. */
  reset(): void {
    this.timestamps.clear();
    this.takenUpTo = Number.NEGATIVE_INFINITY;
  }

  /** The newest timestamp reached by a read sent at `freshAsOf`; null: it has been taken before, or there is none. */
  takeReached(freshAsOf: number): number | null {
    const reached = this.timestamps.latestReceivedBy(freshAsOf);
    if (reached === null || reached <= this.takenUpTo) return null;
    this.takenUpTo = reached;
    return reached;
  }
}
