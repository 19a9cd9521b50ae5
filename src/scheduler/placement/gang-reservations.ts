import type { ResourceRequest } from '../../model/placement.js';
import { slotsIn } from '../../model/resources.js';
import type { ClusterState } from '../cluster-state.js';
import { bootingCapacities } from './booting-capacity.js';
import { type FreeCapacity, fill } from './free-capacity.js';

/** So long a gang that waits for machines keeps to the zone in which it began to gather them. */
const KEEP_ZONE_MS = 20_000;

/** What a waiting gang still lacks. */
export interface GangShortfall {
  /** One task of the gang, tied to the zone in which it gathers: what is rented or freed for it must lie there. */
  task: ResourceRequest;
  missing: number;
}

interface ZoneChoice {
  zone: string | null;
  since: number;
}

/**
 * Reserves machines for gangs that wait.
 *
 * A gang starts only once it has places for all of its tasks. Without reservations, smaller work takes each place as it
 * comes free, and a large gang may wait for ever. So a gang that finds too little room takes what there is out of the
 * pass, in the order of the queue, and only what it lacks is rented or freed. Reservations last for one pass and are
 * made anew by the next one in the order of then: two gangs can't hold half of what each needs for good.
 */
export class GangReservations {
  private readonly zoneChoices = new Map<string, ZoneChoice>();
  private readonly reservedMachines = new Set<string>();
  private bootingCapacities: FreeCapacity[] | null = null;

  constructor(private readonly state: ClusterState) {}

  beginPass(): void {
    this.reservedMachines.clear();
    this.bootingCapacities = null;
  }

  /** Forgets gangs that no longer wait, and keeps the machines held in this pass from being returned as idle. */
  endPass(waiting: ReadonlySet<string>): void {
    for (const job of this.zoneChoices.keys()) if (!waiting.has(job)) this.zoneChoices.delete(job);
    this.state.gatheredMachines = new Set(this.reservedMachines);
  }

  /** Takes the free rooms that a gang can use out of `rooms`, in one zone if it must be in one. */
  reserve(capacities: FreeCapacity[], request: ResourceRequest, count: number, now: number): GangShortfall {
    const zone = this.zoneOf(capacities, request, count, now);
    const task: ResourceRequest = {
      ...request,
      allOrNothing: false,
      zoneAffinity: false,
      zone,
      slackSeconds: null,
      objectiveSeconds: null,
    };
    const missing = fill(capacities, task, count, this.state.scarceZone, (capacity) =>
      this.reservedMachines.add(capacity.machineName),
    );
    return { task, missing };
  }

  private zoneOf(
    capacities: FreeCapacity[],
    request: ResourceRequest,
    count: number,
    now: number,
  ): string | null {
    if (!request.zoneAffinity || request.zone !== null) return request.zone;
    const before = this.zoneChoices.get(request.jobId);
    if (before && now - before.since < KEEP_ZONE_MS) return before.zone;
    const zone = this.bestZone(capacities, request, count, now);
    this.zoneChoices.set(request.jobId, { zone, since: now });
    return zone;
  }

  /** The zone in which the gang lacks least: by what is free, then by what is booting, then by what may be rented. */
  private bestZone(
    capacities: FreeCapacity[],
    request: ResourceRequest,
    count: number,
    now: number,
  ): string | null {
    let best: { zone: string; score: number } | null = null;
    for (const zone of this.zones(request)) {
      const pinned: ResourceRequest = { ...request, allOrNothing: false, zoneAffinity: false, zone };
      const free = count - fill(copyCapacities(capacities), pinned, count, null, () => {});
      const booting = Math.min(count - free, this.bootingSlots(pinned, now));
      const rest = this.canRent(pinned, now) ? count - free - booting : 0;
      const score = free + 0.75 * booting + 0.5 * rest;
      if (!best || score > best.score) best = { zone, score };
    }
    return best?.zone ?? null;
  }

  private zones(request: ResourceRequest): Set<string> {
    const zones = new Set<string>();
    for (const type of this.state.machineTypes.values())
      if (!request.machineTypes || request.machineTypes.includes(type.name))
        for (const zone of type.zones) zones.add(zone);
    return zones;
  }

  private bootingSlots(request: ResourceRequest, now: number): number {
    this.bootingCapacities ??= bootingCapacities(this.state, now);
    return this.bootingCapacities
      .filter((capacity) => capacity.zone === request.zone && (request.spotAllowed || !capacity.isSpot))
      .reduce((sum, capacity) => sum + slotsIn(capacity, request), 0);
  }

  private canRent(request: ResourceRequest, now: number): boolean {
    for (const type of this.state.machineTypes.values()) {
      if (slotsIn(type, request) < 1 || !type.zones.includes(request.zone ?? '')) continue;
      if (
        this.state.rentalBackoff.isOpen(
          { machineType: type.name, zone: request.zone ?? '', isSpot: false },
          now,
        )
      )
        return true;
    }
    return false;
  }
}

function copyCapacities(capacities: FreeCapacity[]): FreeCapacity[] {
  return capacities.map((capacity) => ({ ...capacity }));
}
