/** Time, timers and chance, replaced in simulations. */

export interface Clock {
  /** Steady milliseconds. */
  now(): number;
  /** Time of day in milliseconds, within the bound of the settings. */
  wall(): number;
  after(ms: number, fn: () => void): () => void;
  /** After what is already waiting to be handled. */
  soon(fn: () => void): void;
  random(): number;
}
