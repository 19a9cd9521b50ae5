/** Cancellations that were confirmed to users by any controller. */

/**
 * Maximum number of cancelled jobs kept. Older ones can be dropped because shard owners read a cancellation
 * from the store within moments, except during a store outage.
 */
const MAX_CANCELLED_JOBS = 5000;

/** Identifies one process of a peer. */
export interface PeerProcess {
  nodeName: string;
  instanceId: string;
}

/** How far a peer process's announcements are known here. Times are on this controller's clock. */
interface PeerProgress {
  instanceId: string;
  /** Time since which no announcement of the process has been missed. */
  completeSinceMs: number;
  /** Number of announcements accounted for: those received, and any made before `completeSinceMs`. */
  receivedCount: number;
  /** Every cancellation that the process confirmed from `completeSinceMs` until this time is known here. */
  completeUntilMs: number;
}

/**
 * Records the cancellations confirmed to users by this controller and by the peers that announce theirs.
 * During a store outage no controller can confirm a cancellation that is not stored yet, so this log stays
 * complete while every peer is connected, and workers can keep their leases through an outage of any length.
 * Completeness is derived from the order of messages, not from comparing clocks: a peer's heartbeat contains
 * the newest timestamp received from this controller, and the number of cancellations announced by then.
 */
export class CancellationLog {
  private ownAnnouncements = 0;
  private readonly cancelledJobs = new Set<string>();
  /** How far the announcements of each peer are known, by the peer's node name. */
  private readonly progressByNode = new Map<string, PeerProgress>();

  constructor(private readonly peerNames: readonly string[]) {}

  /** Number of cancellations announced by this process; also the number of the latest one. */
  get announcedCount(): number {
    return this.ownAnnouncements;
  }

  /** Returns whether a job is known to be cancelled. */
  has(jobId: string): boolean {
    return this.cancelledJobs.has(jobId);
  }

  /**
   * Records a cancellation that this process is about to confirm to a user. Returns false if the cancellation
   * was already known; it is then not announced again.
   */
  recordOwn(jobId: string): boolean {
    if (this.cancelledJobs.has(jobId)) return false;
    this.ownAnnouncements++;
    this.addJob(jobId);
    return true;
  }

  /**
   * Records a cancellation announced by a peer. Each process numbers its announcements from 1. If one has
   * been missed, the tracking of the peer is restarted.
   */
  recordFromPeer(
    process: PeerProcess,
    announcement: { jobId: string; cancellationNumber: number },
    now: number,
  ): void {
    const { cancellationNumber } = announcement;
    this.addJob(announcement.jobId);
    const peer = this.progressByNode.get(process.nodeName);
    // A missed cancellation stays unknown here until its shard owner has read it from the store.
    if (peer?.instanceId === process.instanceId && cancellationNumber === peer.receivedCount + 1)
      peer.receivedCount = cancellationNumber;
    else this.resetPeer(process, cancellationNumber, now);
  }

  /**
   * Applies a peer's heartbeat: how many cancellations the peer has announced, and the newest timestamp that
   * it had received from this process by then (null if none). If announcements have been missed, or the
   * peer's process is new, its tracking is restarted.
   */
  recordHeartbeat(
    process: PeerProcess,
    heartbeat: { announced: number; latestTimestamp: number | null },
    now: number,
  ): void {
    const { announced, latestTimestamp } = heartbeat;
    const peer = this.progressByNode.get(process.nodeName);
    if (peer?.instanceId !== process.instanceId || peer.receivedCount !== announced)
      this.resetPeer(process, announced, now);
    else if (latestTimestamp !== null)
      peer.completeUntilMs = Math.max(peer.completeUntilMs, Math.min(latestTimestamp, now));
  }

  /**
   * Returns a period on this controller's clock: every cancellation that any controller confirmed to a user
   * within it is known here. While completeness is not established the period is empty: `until` lies before
   * `since`.
   */
  knownCancellationPeriod(now: number): { since: number; until: number } {
    let since = Number.NEGATIVE_INFINITY;
    let until = now;
    for (const nodeName of this.peerNames) {
      const peer = this.progressByNode.get(nodeName);
      if (!peer) return { since: now, until: Number.NEGATIVE_INFINITY };
      since = Math.max(since, peer.completeSinceMs);
      until = Math.min(until, peer.completeUntilMs);
    }
    return { since, until };
  }

  /** Restarts the tracking of a peer, whose earlier announcements may have been missed. */
  private resetPeer({ nodeName, instanceId }: PeerProcess, receivedCount: number, now: number): void {
    this.progressByNode.set(nodeName, {
      instanceId,
      completeSinceMs: now,
      receivedCount,
      completeUntilMs: Number.NEGATIVE_INFINITY,
    });
  }

  private addJob(jobId: string): void {
    this.cancelledJobs.add(jobId);
    for (const oldest of this.cancelledJobs) {
      if (this.cancelledJobs.size <= MAX_CANCELLED_JOBS) break;
      this.cancelledJobs.delete(oldest);
    }
  }
}
