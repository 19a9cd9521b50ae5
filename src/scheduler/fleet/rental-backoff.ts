/** Backs off from offers of which the cloud had no machines, or fewer than requested. */

import type { MachineOffer } from '../placement/free-capacity.js';

/** Returns a key for the machine type, the zone, and spot or on-demand. */
export function offerKey(offer: MachineOffer): string {
  return `${offer.machineType}|${offer.zone}|${offer.isSpot ? 's' : 'o'}`;
}

/**
 * Exponential backoff of rental requests per machine type, zone, and spot or on-demand. Times are in ms on
 * this controller's clock.
 */
export class RentalBackoff {
  private readonly blocked = new Map<string, { until: number; backoffMs: number }>();

  constructor(
    private readonly initialBackoffMs: number,
    private readonly maxBackoffMs: number,
  ) {}

  allowsRequest(offer: MachineOffer, now: number): boolean {
    const block = this.blocked.get(offerKey(offer));
    return !block || block.until <= now;
  }

  /** The cloud rented no machines of this kind, or fewer than requested: starts or doubles the pause. */
  onNotFulfilled(offer: MachineOffer, now: number): void {
    const key = offerKey(offer);
    const previousBackoffMs = this.blocked.get(key)?.backoffMs ?? this.initialBackoffMs / 2;
    const backoffMs = Math.min(this.maxBackoffMs, previousBackoffMs * 2);
    this.blocked.set(key, { until: now + backoffMs, backoffMs });
  }

  /** The cloud rented all requested machines of this kind: the next pause is the initial one again. */
  onFulfilled(offer: MachineOffer): void {
    this.blocked.delete(offerKey(offer));
  }

  /** A machine of this kind was returned to the cloud: it may be requested again at once. */
  onFreed(offer: MachineOffer): void {
    const block = this.blocked.get(offerKey(offer));
    if (block) block.until = 0;
  }
}
