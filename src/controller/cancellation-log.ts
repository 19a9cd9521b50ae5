/** The cancellations that users were told of. */

/** Jobs remembered as cancelled: shard owners read of them within moments unless there is an outage. */
const MAX_CANCELLED_JOBS = 5000;

/** One process of a peer. */
export interface PeerProcess {
  nodeName: string;
  instanceId: string;
}

interface PeerProgress {
  instanceId: string;
  /** Since when nothing that it announced is missing here. */
  completeSinceMs: number;
  /** Cancellations of it that were taken in. */
  receivedCount: number;
  /** All that it told its users before this time on our clock is known here. */
  completeUntilMs: number;
}

/**
 * Cancellations that users were told of, by this controller or by peers that announce them. While the store is out nobody
 * can learn of another one, so what this one knows is all there is as long as every peer is in touch: the workers keep
 * their leases through an outage of any length. It rests on order, not on clocks: a peer names the newest timestamp it had
 * from here, and how many cancellations it had announced by then.
 */
export class CancellationLog {
  private ownAnnouncements = 0;
  private readonly cancelledJobs = new Set<string>();
  private readonly peers = new Map<string, PeerProgress>();

  constructor(private readonly peerNames: readonly string[]) {}

  /** How many cancellations this process has announced: the number of the latest. */
  get announcedCount(): number {
    return this.ownAnnouncements;
  }

  /** Whether a job is known to be cancelled. */
  has(jobId: string): boolean {
    return this.cancelledJobs.has(jobId);
  }

  /** A user is about to be told by this process. False: it was known, and is not announced again. */
  recordOwn(jobId: string): boolean {
    if (this.cancelledJobs.has(jobId)) return false;
    this.ownAnnouncements++;
    this.addJob(jobId);
    return true;
  }

  /** A peer has announced a cancellation; its own are numbered from 1. */
  recordFromPeer(
    process: PeerProcess,
    announcement: { jobId: string; cancellationNumber: number },
    now: number,
  ): void {
    const { cancellationNumber } = announcement;
    this.addJob(announcement.jobId);
    const peer = this.peers.get(process.nodeName);
    // If one is missing, what it was stays unknown until shard owners have read of it.
    if (peer?.instanceId === process.instanceId && cancellationNumber === peer.receivedCount + 1)
      peer.receivedCount = cancellationNumber;
    else this.resetPeer(process, cancellationNumber, now);
  }

  /**
   * A peer's heartbeat: how many cancellations it has announced, and the newest timestamp of this process that it had by
   * then (null: none).
   */
  recordHeartbeat(
    process: PeerProcess,
    heartbeat: { announced: number; latestTimestamp: number | null },
    now: number,
  ): void {
    const { announced, latestTimestamp } = heartbeat;
    const peer = this.peers.get(process.nodeName);
    if (peer?.instanceId !== process.instanceId || peer.receivedCount !== announced)
      this.resetPeer(process, announced, now);
    else if (latestTimestamp !== null)
      peer.completeUntilMs = Math.max(peer.completeUntilMs, Math.min(latestTimestamp, now));
  }

  /** All that anybody was told between `since` and `at` is known here. */
  completeInterval(now: number): { since: number; until: number } {
    let since = Number.NEGATIVE_INFINITY;
    let until = now;
    for (const nodeName of this.peerNames) {
      const peer = this.peers.get(nodeName);
      if (!peer) return { since: now, until: Number.NEGATIVE_INFINITY };
      since = Math.max(since, peer.completeSinceMs);
      until = Math.min(until, peer.completeUntilMs);
    }
    return { since, until };
  }

  /** From now on nothing of this process is missing; what came before may be. */
  private resetPeer({ nodeName, instanceId }: PeerProcess, receivedCount: number, now: number): void {
    this.peers.set(nodeName, {
      instanceId,
      completeSinceMs: now,
      receivedCount: receivedCount,
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
