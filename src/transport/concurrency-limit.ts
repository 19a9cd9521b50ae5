/** How many requests may be in progress at once, learnt from the time that answers take. */

/** An answer that takes this many times the fastest of late is slow. */
const SLOW_FACTOR = 4;
/** The fastest time is raised so often and by this factor until an answer comes under it, so that a lasting change is learnt. */
const FASTEST_LIFETIME_MS = 10_000;
const FASTEST_GROWTH_FACTOR = 1.5;
/** Least fastest time, in ms: times below it are noise. */
const MIN_FASTEST_MS = 1;
const SHRINK_FACTOR = 0.8;
/** Growth at an answer that was not slow; besides, the limit grows by one for as many answers as it allows at once. */
const GROWTH_STEP = 0.1;
/** The limit grows only while more than this part of it is in use: otherwise answers say nothing about it. */
const MIN_USE_TO_GROW = 0.5;

/** Bounds of a {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  initialLimit: number;
  minLimit: number;
  maxLimit: number;
  /** An answer within this time is never slow, in ms. */
  fastMs: number;
}

/**
 * A limit on requests in progress that follows measured times: it grows while answers come about as fast as the fastest of
 * late, and shrinks when they take several times as long.
 */
export class ConcurrencyLimit {
  private limit: number;
  private running = 0;
  private fastestMs = Number.POSITIVE_INFINITY;
  private fastestAt = 0;
  private lastShrunkAt = 0;

  constructor(private readonly options: ConcurrencyLimitOptions) {
    this.limit = options.initialLimit;
  }

  /** Requests that may be in progress now. */
  get current(): number {
    return Math.floor(this.limit);
  }

  /** Whether one more may start; if so, it must be released once. */
  tryAcquire(): boolean {
    if (this.running >= this.limit) return false;
    this.running++;
    return true;
  }

  /** A request was answered at `now`, having taken so long; both in ms of a steady clock. */
  release(now: number, durationMs: number): void {
    const used = this.running;
    this.running--;
    this.updateFastest(now, durationMs);
    if (durationMs > Math.max(this.options.fastMs, this.fastestMs * SLOW_FACTOR))
      this.shrink(now, durationMs);
    else if (used > this.limit * MIN_USE_TO_GROW)
      this.limit = Math.min(this.options.maxLimit, this.limit + 1 / this.limit + GROWTH_STEP);
  }

  private updateFastest(now: number, durationMs: number): void {
    if (now - this.fastestAt > FASTEST_LIFETIME_MS) {
      this.fastestMs *= FASTEST_GROWTH_FACTOR;
      this.fastestAt = now;
    }
    if (durationMs < this.fastestMs) {
      this.fastestMs = Math.max(MIN_FASTEST_MS, durationMs);
      this.fastestAt = now;
    }
  }

  /** Once for requests that ran at the same time: what shrank the limit last can't have helped them yet. */
  private shrink(now: number, durationMs: number): void {
    if (now - this.lastShrunkAt <= durationMs) return;
    this.lastShrunkAt = now;
    this.limit = Math.max(this.options.minLimit, this.limit * SHRINK_FACTOR);
  }
}
