/** Adaptive limit on concurrent requests, adjusted by measured latency. */

/** A response is slow if its latency exceeds the baseline latency by this factor. */
const SLOW_FACTOR = 4;
/**
 * If no response has been faster than the baseline for this long, the baseline is multiplied by
 * {@link BASELINE_GROWTH_FACTOR}, so that it adapts to a lasting rise in latency.
 */
const BASELINE_LIFETIME_MS = 10_000;
const BASELINE_GROWTH_FACTOR = 1.5;
/** Lower bound of the baseline latency: differences below it are noise. */
const MIN_BASELINE_MS = 1;
const SHRINK_FACTOR = 0.8;
/**
 * Fixed part of the growth of the limit per response that was not slow. The other part is `1 / limit`, which
 * adds up to one per `limit` responses.
 */
const GROWTH_STEP = 0.1;
/** The limit grows only above this utilization: below it, latency says nothing about a higher limit. */
const MIN_UTILIZATION_TO_GROW = 0.5;

/** Options of a {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  initialLimit: number;
  minLimit: number;
  maxLimit: number;
  /** A response within this time is never counted as slow, in ms. */
  fastThresholdMs: number;
}

/**
 * Limits concurrent requests by measured latency: the limit grows while latency stays close to the baseline,
 * which is the lowest recent latency, and shrinks when latency is several times the baseline.
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

  /** The current limit, rounded down. */
  get currentLimit(): number {
    return Math.floor(this.limit);
  }

  /**
   * Tries to start a request. If it returns true, the caller must call {@link ConcurrencyLimit.release} once,
   * when the request has finished.
   */
  tryAcquire(): boolean {
    if (this.inFlight >= this.limit) return false;
    this.inFlight++;
    return true;
  }

  /**
   * Ends a request whose response arrived at `now` (monotonic ms) after `latencyMs`, and adjusts the limit.
   */
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

  /** Lowers the limit, unless the request started before the last decrease and cannot reflect its effect. */
  private shrink(now: number, latencyMs: number): void {
    if (now - this.lastShrunkAt <= latencyMs) return;
    this.lastShrunkAt = now;
    this.limit = Math.max(this.options.minLimit, this.limit * SHRINK_FACTOR);
  }
}
