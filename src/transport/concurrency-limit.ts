/** How many requests may be in progress at once, learnt from the time that answers take. */

/** An answer that takes this many times the fastest of late is slow. */
const SLOW_FACTOR = 4;
/** The fastest time is raised so often and by this factor until an answer comes under it, so that a lasting change is learnt. */
const BASELINE_LIFETIME_MS = 10_000;
const BASELINE_GROWTH_FACTOR = 1.5;
/** Least fastest time, in ms: times below it are noise. */
const MIN_BASELINE_MS = 1;
const SHRINK_FACTOR = 0.8;
/** Growth at an answer that was not slow; besides, the limit grows by one for as many answers as it allows at once. */
const GROWTH_STEP = 0.1;
/** The limit grows only while more than this part of it is in use: otherwise answers say nothing about it. */
const MIN_UTILIZATION_TO_GROW = 0.5;

/** Bounds of a {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  initialLimit: number;
  minLimit: number;
  maxLimit: number;
  /** An answer within this time is never slow, in ms. */
  fastThresholdMs: number;
}

/**
 * A limit on requests in progress that follows measured times: it grows while answers come about as fast as the fastest of
 * late, and shrinks when they take several times as long.
 */
export class ConcurrencyLimit {
  private limit: number;
  private inFlight = 0;
  private baselineMs = Number.POSITIVE_INFINITY;
  private baselineUpdatedAt = 0;
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
    if (this.inFlight >= this.limit) return false;
    this.inFlight++;
    return true;
  }

  /** A request was answered at `now`, having taken so long; both in ms of a steady clock. */
  release(now: number, latencyMs: number): void {
    const inFlightBefore = this.inFlight;
    this.inFlight--;
    this.updateBaseline(now, latencyMs);
    if (latencyMs > Math.max(this.options.fastThresholdMs, this.baselineMs * SLOW_FACTOR))
      this.shrink(now, latencyMs);
    else if (inFlightBefore > this.limit * MIN_UTILIZATION_TO_GROW)
      this.limit = Math.min(this.options.maxLimit, this.limit + 1 / this.limit + GROWTH_STEP);
  }

  private updateBaseline(now: number, latencyMs: number): void {
    if (now - this.baselineUpdatedAt > BASELINE_LIFETIME_MS) {
      this.baselineMs *= BASELINE_GROWTH_FACTOR;
      this.baselineUpdatedAt = now;
    }
    if (latencyMs < this.baselineMs) {
      this.baselineMs = Math.max(MIN_BASELINE_MS, latencyMs);
      this.baselineUpdatedAt = now;
    }
  }

  /** Once for requests that ran at the same time: what shrank the limit last can't have helped them yet. */
  private shrink(now: number, latencyMs: number): void {
    if (now - this.lastShrunkAt <= latencyMs) return;
    this.lastShrunkAt = now;
    this.limit = Math.max(this.options.minLimit, this.limit * SHRINK_FACTOR);
  }
}
