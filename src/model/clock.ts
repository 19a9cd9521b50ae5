/** Time, timers and random numbers, which simulations replace. */

/** Source of time and random numbers. */
export interface Clock {
  /** Monotonic time in ms since an arbitrary point in the past. */
  now(): number;
  /** Wall-clock time in ms since 1970, accurate to within the clock skew in the settings. */
  wallTime(): number;
  /** Calls `run` once after `ms` milliseconds; the returned function cancels the call. */
  after(ms: number, run: () => void): () => void;
  /** Calls `run` after the events that are already queued. */
  defer(run: () => void): void;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random(): number;
}
