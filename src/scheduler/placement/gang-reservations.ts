/** Reserves capacity for gangs that wait until all of their tasks fit. */

import type { ResourceRequest } from '../../model/placement.js';
import { slotsIn } from '../../model/resources.js';
import type { ClusterState } from '../cluster-state.js';
import { bootingCapacities } from './booting-capacity.js';
import { fill } from './fill.js';
import { type CapacityDemand, copyCapacities, type FreeCapacity } from './free-capacity.js';

/** How long a waiting gang keeps the zone in which it reserves capacity before it chooses again. */
const KEEP_ZONE_MS = 20_000;
/**
 * Weights of slots on booting machines and on machines yet to be rented, relative to free slots, when the
 * zone for a gang is chosen.
 */
const BOOTING_SLOT_WEIGHT = 0.75;
const RENTABLE_SLOT_WEIGHT = 0.5;

interface ZoneChoice {
  zone: string | null;
  since: number;
}

/**
 * Reserves capacity for waiting gangs.
 *
 * A gang starts only once there are slots for all of its tasks. Without reservations, smaller requests would
 * take each slot as it becomes free, and a large gang might wait forever. So a gang that finds too little
 * capacity reserves the available slots, in queue order, and only the missing ones are rented or freed by
 * preemption. Reservations last for one pass, and the next pass makes new ones in its own order: two gangs
 * can't block each other permanently by each reserving half of what it needs.
 */
export class GangReservations {
  private readonly zoneChoices = new Map<string, ZoneChoice>();
  private readonly machinesForGangs = new Set<string>();
  private bootingCapacities: FreeCapacity[] | null = null;

  constructor(private readonly state: ClusterState) {}

  /** Ends the capacity reservations that gangs made in the previous pass. */
  beginPass(): void {
    this.machinesForGangs.clear();
    this.bootingCapacities = null;
  }

  /**
   * Drops the zone choices of gangs that no longer wait, and publishes the machines with reservations to
   * `ClusterState`, so that they are not returned as idle.
   */
  endPass(waitingJobs: ReadonlySet<string>): void {
    for (const jobId of this.zoneChoices.keys()) if (!waitingJobs.has(jobId)) this.zoneChoices.delete(jobId);
    this.state.machinesReservedForGangs = new Set(this.machinesForGangs);
  }

  /**
   * Subtracts what a gang can use from the capacities, within one zone if the gang has zone affinity. Returns
   * the missing slots as a demand for single tasks, limited to that zone, since capacity must be rented or
   * freed there. The demand has no slack: otherwise several tasks might be planned to run one after another
   * on a rented slot, but the tasks of a gang run at the same time.
   */
  reserve(capacities: FreeCapacity[], demand: CapacityDemand, now: number): CapacityDemand {
    const { request, count } = demand;
    const zone = this.chooseZone(capacities, demand, now);
    const taskRequest: ResourceRequest = {
      ...request,
      isGang: false,
      zoneAffinity: false,
      zone,
      slackSeconds: null,
      objectiveSeconds: null,
    };
    const missing = fill(
      capacities,
      { request: taskRequest, count },
      {
        scarceZone: this.state.scarceZone,
        onPlaced: (capacity) => this.machinesForGangs.add(capacity.machineName),
      },
    );
    return { request: taskRequest, count: missing };
  }

  /** The zone in which a waiting gang reserves capacity; null: any zone. */
  private chooseZone(capacities: FreeCapacity[], demand: CapacityDemand, now: number): string | null {
    const { request } = demand;
    if (!request.zoneAffinity || request.zone !== null) return request.zone;
    const previous = this.zoneChoices.get(request.jobId);
    if (previous && now - previous.since < KEEP_ZONE_MS) return previous.zone;
    const zone = this.bestZone(capacities, demand, now);
    this.zoneChoices.set(request.jobId, { zone, since: now });
    return zone;
  }

  /**
   * The zone with the most slots for the gang, up to the number of its tasks. Free slots count fully, slots
   * on booting machines less, and slots on machines yet to be rented least.
   */
  private bestZone(
    capacities: FreeCapacity[],
    { request, count }: CapacityDemand,
    now: number,
  ): string | null {
    let best: { zone: string; weightedSlots: number } | null = null;
    for (const zone of this.candidateZones(request)) {
      const pinnedRequest: ResourceRequest = { ...request, isGang: false, zoneAffinity: false, zone };
      const trialCapacities = copyCapacities(capacities);
      const free = count - fill(trialCapacities, { request: pinnedRequest, count }, { scarceZone: null });
      const booting = Math.min(count - free, this.bootingSlots(pinnedRequest, now));
      const rentable = this.canRent(pinnedRequest, now) ? count - free - booting : 0;
      const weightedSlots = free + BOOTING_SLOT_WEIGHT * booting + RENTABLE_SLOT_WEIGHT * rentable;
      if (!best || weightedSlots > best.weightedSlots) best = { zone, weightedSlots };
    }
    return best?.zone ?? null;
  }

  /** Zones of the machine types that the request allows. */
  private candidateZones(request: ResourceRequest): Set<string> {
    const zones = new Set<string>();
    for (const machineType of this.state.machineTypes.values())
      if (!request.machineTypes || request.machineTypes.includes(machineType.name))
        for (const zone of machineType.zones) zones.add(zone);
    return zones;
  }

  /** Slots on booting machines in the zone of the request. */
  private bootingSlots(request: ResourceRequest, now: number): number {
    this.bootingCapacities ??= bootingCapacities(this.state, now);
    return this.bootingCapacities
      .filter((capacity) => capacity.zone === request.zone && (request.spotAllowed || !capacity.isSpot))
      .reduce((sum, capacity) => sum + slotsIn(capacity, request), 0);
  }

  /** Whether some machine type with room for a task can be rented on demand in the zone of the request. */
  private canRent(request: ResourceRequest, now: number): boolean {
    for (const machineType of this.state.machineTypes.values()) {
      const zone = request.zone ?? '';
      if (slotsIn(machineType, request) < 1 || !machineType.zones.includes(zone)) continue;
      if (this.state.rentalBackoff.allowsRequest({ machineType: machineType.name, zone, isSpot: false }, now))
        return true;
    }
    return false;
  }
}
