/** Reserves machines for gangs that wait for capacity. */

import type { ResourceRequest } from '../../model/placement.js';
import { slotsIn } from '../../model/resources.js';
import type { ClusterState } from '../cluster-state.js';
import { bootingCapacities } from './booting-capacity.js';
import { fill } from './fill.js';
import { type CapacityDemand, copyCapacities, type FreeCapacity } from './free-capacity.js';

/** So long a gang that waits for machines keeps to the zone in which it began to gather them. */
const KEEP_ZONE_MS = 20_000;
/** What a place on a booting machine, and one on a machine yet to be rented, counts against a free one. */
const BOOTING_SLOT_WEIGHT = 0.75;
const RENTABLE_SLOT_WEIGHT = 0.5;

interface ZoneChoice {
  zone: string | null;
  since: number;
}

/**
 * Reserves machines for gangs that wait.
 *
 * A gang starts only once it has places for all of its tasks. Without reservations, smaller work takes each place as it
 * comes free, and a large gang may wait for ever. So a gang that finds too little capacity takes what there is out of the
 * pass, in the order of the queue, and only what it lacks is rented or freed. Reservations last for one pass and are
 * made anew by the next one in the order of then: two gangs can't reserve half of what each needs for good.
 */
export class GangReservations {
  private readonly zoneChoices = new Map<string, ZoneChoice>();
  private readonly reservedMachines = new Set<string>();
  private bootingCapacities: FreeCapacity[] | null = null;

  constructor(private readonly state: ClusterState) {}

  /** Ends the reservations of the last pass. */
  beginPass(): void {
    this.reservedMachines.clear();
    this.bootingCapacities = null;
  }

  /** Forgets gangs that no longer wait, and keeps the machines reserved in this pass from being returned as idle. */
  endPass(waitingJobs: ReadonlySet<string>): void {
    for (const job of this.zoneChoices.keys()) if (!waitingJobs.has(job)) this.zoneChoices.delete(job);
    this.state.machinesReservedForGangs = new Set(this.reservedMachines);
  }

  /**
   * Subtracts what a gang can use from the capacities, in one zone if it must be in one. Returns what the gang lacks, as
   * single tasks tied to the zone in which it gathers: what is rented or freed for it must lie there.
   */
  reserve(capacities: FreeCapacity[], demand: CapacityDemand, now: number): CapacityDemand {
    const { request, count } = demand;
    const zone = this.zoneOf(capacities, demand, now);
    const task: ResourceRequest = {
      ...request,
      isGang: false,
      zoneAffinity: false,
      zone,
      slackSeconds: null,
      objectiveSeconds: null,
    };
    const missing = fill(
      capacities,
      { request: task, count },
      {
        scarceZone: this.state.scarceZone,
        onPlaced: (capacity) => this.reservedMachines.add(capacity.machineName),
      },
    );
    return { request: task, count: missing };
  }

  private zoneOf(capacities: FreeCapacity[], demand: CapacityDemand, now: number): string | null {
    const { request } = demand;
    if (!request.zoneAffinity || request.zone !== null) return request.zone;
    const before = this.zoneChoices.get(request.jobId);
    if (before && now - before.since < KEEP_ZONE_MS) return before.zone;
    const zone = this.bestZone(capacities, demand, now);
    this.zoneChoices.set(request.jobId, { zone, since: now });
    return zone;
  }

  /** The zone in which the gang lacks least: by what is free, then by what is booting, then by what may be rented. */
  private bestZone(
    capacities: FreeCapacity[],
    { request, count }: CapacityDemand,
    now: number,
  ): string | null {
    let best: { zone: string; score: number } | null = null;
    for (const zone of this.zones(request)) {
      const pinned: ResourceRequest = { ...request, isGang: false, zoneAffinity: false, zone };
      const trial = copyCapacities(capacities);
      const free = count - fill(trial, { request: pinned, count }, { scarceZone: null });
      const booting = Math.min(count - free, this.bootingSlots(pinned, now));
      const rentable = this.canRent(pinned, now) ? count - free - booting : 0;
      const score = free + BOOTING_SLOT_WEIGHT * booting + RENTABLE_SLOT_WEIGHT * rentable;
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
      const zone = request.zone ?? '';
      if (slotsIn(type, request) < 1 || !type.zones.includes(zone)) continue;
      if (this.state.rentalBackoff.isOpen({ machineType: type.name, zone, isSpot: false }, now)) return true;
    }
    return false;
  }
}
