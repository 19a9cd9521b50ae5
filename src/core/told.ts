/** Jobs remembered as cancelled: owners read of them within moments unless there is an outage. */
const MOST_JOBS = 5000;

interface Sibling {
  inst: string;
  /** Since when nothing that it told is missing here. */
  since: number;
  /** Cancellations of it that were taken in. */
  have: number;
  /** All that it told its users before this time on our clock is known here. */
  at: number;
}

/**
 * Cancellations that users were told of, by this controller or by siblings that pass them on. While the state service is
 * out nobody can learn of another one, so what this one knows is all there is as long as every sibling is in touch: the
 * workers keep their leases through an outage of any length. Order, not clocks: a sibling names the newest mark it had
 * from here and how many cancellations it had told by then.
 */
export class Told {
  /** Told here, by this process. */
  n = 0;
  private readonly jobs = new Set<string>();
  private readonly siblings = new Map<string, Sibling>();

  constructor(private readonly hosts: readonly string[]) {}

  has(job: string): boolean {
    return this.jobs.has(job);
  }

  private keep(job: string): void {
    this.jobs.add(job);
    for (const x of this.jobs) {
      if (this.jobs.size <= MOST_JOBS) break;
      this.jobs.delete(x);
    }
  }

  /** A user is about to be told here. False: it was known. */
  here(job: string): boolean {
    if (this.jobs.has(job)) return false;
    this.n++;
    this.keep(job);
    return true;
  }

  /** A sibling's n-th. */
  there(host: string, inst: string, job: string, n: number, now: number): void {
    this.keep(job);
    const s = this.siblings.get(host);
    // One is missing: what it was stays unknown until owners have read of it.
    if (s?.inst === inst && n === s.have + 1) s.have = n;
    else this.siblings.set(host, { inst, since: now, have: n, at: Number.NEGATIVE_INFINITY });
  }

  /** A sibling's regular word: so many it has told, after it had our mark (null: none). */
  word(host: string, inst: string, n: number, mark: number | null, now: number): void {
    const s = this.siblings.get(host);
    if (s?.inst !== inst || s.have !== n)
      this.siblings.set(host, { inst, since: now, have: n, at: Number.NEGATIVE_INFINITY });
    else if (mark !== null) s.at = Math.max(s.at, Math.min(mark, now));
  }

  /** All that anybody was told between `since` and `at` is known here. */
  asOf(now: number): { since: number; at: number } {
    let since = Number.NEGATIVE_INFINITY;
    let at = now;
    for (const h of this.hosts) {
      const s = this.siblings.get(h);
      if (!s) return { since: now, at: Number.NEGATIVE_INFINITY };
      since = Math.max(since, s.since);
      at = Math.min(at, s.at);
    }
    return { since, at };
  }
}
