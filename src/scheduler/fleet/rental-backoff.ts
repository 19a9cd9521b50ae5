/** Remembers refused rentals, so that they are not asked for again at once. */

import type { MachineOffer } from '../placement/free-capacity.js';

/** Names the type, zone and kind of machine that a rental is for. */
export function offerKey(offer: MachineOffer): string {
  return `${offer.machineType}|${offer.zone}|${offer.isSpot ? 's' : 'o'}`;
}

/** Refused rentals per type, zone and kind, with growing pauses. Times are milliseconds of the clock. */
export class RentalBackoff {
  private readonly blocked = new Map<string, { until: number; pauseMs: number }>();

  constructor(
    private readonly firstPauseMs: number,
    private readonly maxPauseMs: number,
  ) {}

  isOpen(offer: MachineOffer, now: number): boolean {
    const block = this.blocked.get(offerKey(offer));
    return !block || block.until <= now;
  }

  onRefused(offer: MachineOffer, now: number): void {
    const key = offerKey(offer);
    const before = this.blocked.get(key)?.pauseMs ?? this.firstPauseMs / 2;
    const pauseMs = Math.min(this.maxPauseMs, before * 2);
    this.blocked.set(key, { until: now + pauseMs, pauseMs });
  }

  onFilled(offer: MachineOffer): void {
    this.blocked.delete(offerKey(offer));
  }

  /** A machine came free again. */
  onFreed(offer: MachineOffer): void {
    const block = this.blocked.get(offerKey(offer));
    if (block) block.until = 0;
  }
}
