/** Jobs remembered as cancelled: owners read of them within moments unless there is an outage. */
const MAX_JOBS = 5000;

interface PeerLog {
  instanceId: string;
  /** Since when nothing that it told is missing here. */
  completeSinceMs: number;
  /** Cancellations of it that were taken in. */
  received: number;
  /** All that it told its users before this time on our clock is known here. */
  completeUntilMs: number;
}

/**
 * Cancellations that users were told of, by this controller or by siblings that pass them on. While the state service is
 * out nobody can learn of another one, so what this one knows is all there is as long as every sibling is in touch: the
 * workers keep their leases through an outage of any length. Order, not clocks: a sibling names the newest mark it had
 * from here and how many cancellations it had told by then.
 */
export class CancellationLog {
  /** Told here, by this process. */
  toldHere = 0;
  private readonly jobs = new Set<string>();
  private readonly peers = new Map<string, PeerLog>();

  constructor(private readonly peerNames: readonly string[]) {}

  has(job: string): boolean {
    return this.jobs.has(job);
  }

  private remember(job: string): void {
    this.jobs.add(job);
    for (const x of this.jobs) {
      if (this.jobs.size <= MAX_JOBS) break;
      this.jobs.delete(x);
    }
  }

  /** A user is about to be told here. False: it was known. */
  recordOwn(job: string): boolean {
    if (this.jobs.has(job)) return false;
    this.toldHere++;
    this.remember(job);
    return true;
  }

  /** A sibling's n-th. */
  recordFromPeer(host: string, instanceId: string, job: string, n: number, now: number): void {
    this.remember(job);
    const peer = this.peers.get(host);
    // One is missing: what it was stays unknown until owners have read of it.
    if (peer?.instanceId === instanceId && n === peer.received + 1) peer.received = n;
    else
      this.peers.set(host, {
        instanceId,
        completeSinceMs: now,
        received: n,
        completeUntilMs: Number.NEGATIVE_INFINITY,
      });
  }

  /** A sibling's regular word: so many it has told, after it had our mark (null: none). */
  acknowledge(host: string, instanceId: string, n: number, mark: number | null, now: number): void {
    const peer = this.peers.get(host);
    if (peer?.instanceId !== instanceId || peer.received !== n)
      this.peers.set(host, {
        instanceId,
        completeSinceMs: now,
        received: n,
        completeUntilMs: Number.NEGATIVE_INFINITY,
      });
    else if (mark !== null) peer.completeUntilMs = Math.max(peer.completeUntilMs, Math.min(mark, now));
  }

  /** All that anybody was told between `since` and `at` is known here. */
  completeSince(now: number): { since: number; at: number } {
    let since = Number.NEGATIVE_INFINITY;
    let at = now;
    for (const h of this.peerNames) {
      const peer = this.peers.get(h);
      if (!peer) return { since: now, at: Number.NEGATIVE_INFINITY };
      since = Math.max(since, peer.completeSinceMs);
      at = Math.min(at, peer.completeUntilMs);
    }
    return { since, at };
  }
}
