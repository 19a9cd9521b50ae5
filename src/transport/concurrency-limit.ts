/**
 * A limit on requests in progress that follows measured times: it grows while answers come about as fast as
 * the fastest of late, and shrinks when they take several times as long.
 */
export class ConcurrencyLimit {
  private limit: number;
  private running = 0;
  private fastestMs = Number.POSITIVE_INFINITY;
  private fastestAt = 0;
  private lastShrunkAt = 0;

  constructor(
    initialLimit: number,
    private readonly minLimit: number,
    private readonly maxLimit: number,
    /** Below this many ms an answer is never slow. */
    private readonly fastMs: number,
  ) {
    this.limit = initialLimit;
  }

  get current(): number {
    return Math.floor(this.limit);
  }

  tryAcquire(): boolean {
    if (this.running >= this.limit) return false;
    this.running++;
    return true;
  }

  release(now: number, durationMs: number): void {
    const used = this.running;
    this.running--;
    // The fastest time is forgotten slowly, so that a lasting change is learnt.
    if (now - this.fastestAt > 10000) {
      this.fastestMs *= 1.5;
      this.fastestAt = now;
    }
    if (durationMs < this.fastestMs) {
      this.fastestMs = Math.max(1, durationMs);
      this.fastestAt = now;
    }
    if (durationMs > Math.max(this.fastMs, this.fastestMs * 4)) {
      if (now - this.lastShrunkAt > durationMs) {
        this.lastShrunkAt = now;
        this.limit = Math.max(this.minLimit, this.limit * 0.8);
      }
    } else if (used > this.limit / 2) this.limit = Math.min(this.maxLimit, this.limit + 1 / this.limit + 0.1);
  }
}
