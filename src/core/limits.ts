/**
 * A limit on requests in progress that follows measured times: it grows while answers come about as fast as
 * the fastest of late, and shrinks when they take several times as long.
 */
export class ProgressLimit {
  private limit: number;
  private running = 0;
  private base = Number.POSITIVE_INFINITY;
  private baseAt = 0;
  private shrunkAt = 0;

  constructor(
    start: number,
    private readonly least: number,
    private readonly most: number,
    /** Below this many ms an answer is never slow. */
    private readonly fastMs: number,
  ) {
    this.limit = start;
  }

  get current(): number {
    return Math.floor(this.limit);
  }

  enter(): boolean {
    if (this.running >= this.limit) return false;
    this.running++;
    return true;
  }

  leave(now: number, tookMs: number): void {
    const used = this.running;
    this.running--;
    // The fastest time is forgotten slowly, so that a lasting change is learnt.
    if (now - this.baseAt > 10000) {
      this.base *= 1.5;
      this.baseAt = now;
    }
    if (tookMs < this.base) {
      this.base = Math.max(1, tookMs);
      this.baseAt = now;
    }
    if (tookMs > Math.max(this.fastMs, this.base * 4)) {
      if (now - this.shrunkAt > tookMs) {
        this.shrunkAt = now;
        this.limit = Math.max(this.least, this.limit * 0.8);
      }
    } else if (used > this.limit / 2) this.limit = Math.min(this.most, this.limit + 1 / this.limit + 0.1);
  }
}
