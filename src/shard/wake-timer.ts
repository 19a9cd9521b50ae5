/** A wake-up timer that the components of a shard owner share. */

import type { Clock } from '../model/clock.js';

/**
 * Wakes the shard owner at the earliest of the requested times. While a wake-up is pending, requests for
 * later times are dropped: each component must request its time again when the shard owner is woken.
 */
export class WakeTimer {
  private nextWakeAt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly wake: () => void,
  ) {}

  /**
   * Requests a wake-up.
   *
   * @param at - Time in monotonic ms; ignored if it is not finite
   */
  wakeAt(at: number): void {
    const now = this.clock.now();
    if (!Number.isFinite(at) || (this.nextWakeAt > now && this.nextWakeAt <= at)) return;
    this.nextWakeAt = at;
    this.clock.after(Math.max(1, at - now), this.wake);
  }
}
