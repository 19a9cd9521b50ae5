/** Time, timers and chance, replaced in simulations. */

/** Source of time and random numbers. */
export interface Clock {
  /** Steady time in ms, since some moment in the past. */
  now(): number;
  /** Time of day in ms since 1970, within the bound of the settings. */
  wallTime(): number;
  /** Calls `run` once after so many ms; the function returned prevents that. */
  after(ms: number, run: () => void): () => void;
  /** Calls `run` after what is already waiting to be handled. */
  defer(run: () => void): void;
  /** A random number from 0 (included) to 1 (excluded). */
  random(): number;
}
