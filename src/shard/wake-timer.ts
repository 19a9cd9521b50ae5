/** One timer for all that falls due later. */

import type { Clock } from '../model/clock.js';

/** Wakes the owner at the earliest time asked for. */
export class WakeTimer {
  private nextWakeAt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly wake: () => void,
  ) {}

  /** `at`: steady milliseconds; Infinity: never. */
  wakeAt(at: number): void {
    const now = this.clock.now();
    if (!Number.isFinite(at) || (this.nextWakeAt > now && this.nextWakeAt <= at)) return;
    this.nextWakeAt = at;
    this.clock.after(Math.max(1, at - now), this.wake);
  }
}
