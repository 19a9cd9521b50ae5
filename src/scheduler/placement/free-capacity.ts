import type { MachineType } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON, slotsIn } from '../../model/resources.js';

/** A machine that may be rented or has been: its type, its zone, and whether it is a spot instance. */
export interface MachineOffer {
  machineType: string;
  zone: string;
  isSpot: boolean;
}

/** Free room of one machine, real or expected. */
export interface FreeCapacity {
  machineName: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  totalCpus: number;
  images: ReadonlyMap<string, number> | null;
  imageFetchGbPerSecond: number;
  /** Seconds added to its rank: a machine not heard lately, or slow. */
  penaltySeconds: number;
  reservation: { jobId: string; priority: number } | null;
  /** Ordinary, without replicas and no part of the reserve: kept only as long as work can't wait. */
  isSurplus: boolean;
}
/** Machines that the replicas of one job are spread over where there is a choice. */
const MAX_MACHINES_PER_SERVICE = 4;

export function fits(
  capacity: FreeCapacity,
  demand: { cpus: number; gpus: number; memoryGb: number },
): boolean {
  return (
    capacity.cpus + EPSILON >= demand.cpus &&
    capacity.gpus + EPSILON >= demand.gpus &&
    capacity.memoryGb + EPSILON >= demand.memoryGb
  );
}

export function isAllowed(r: MachineOffer, request: ResourceRequest): boolean {
  if (r.isSpot && !request.spotAllowed) return false;
  if (request.machineTypes && !request.machineTypes.includes(r.machineType)) return false;
  if (request.zone !== null && request.zone !== r.zone) return false;
  return !request.zoneAllowance || (request.zoneAllowance[r.zone] ?? request.maxTasksPerZone) > 0;
}

/**
 * Wants of one key find room in the same places, or in none: rooms only shrink in a pass, so that what the first of
 * them did not find the others need not look for. What ties a want to itself (machines it avoids, room kept for it) is
 * not part of it.
 */
export function equivalenceKey(request: ResourceRequest): string {
  let key = equivalenceKeys.get(request);
  if (key === undefined) {
    key = makeEquivalenceKey(request);
    equivalenceKeys.set(request, key);
  }
  return key;
}

const equivalenceKeys = new WeakMap<ResourceRequest, string>();

function makeEquivalenceKey(request: ResourceRequest): string {
  const zones = request.zoneAllowance ? JSON.stringify(request.zoneAllowance) : '';
  const patient = request.spotAllowed && !request.isService && (request.maxWaitSeconds ?? 0) > 0;
  return [
    request.team,
    request.priority,
    request.cpus,
    request.gpus,
    request.memoryGb,
    request.machineTypes?.join() ?? '',
    request.spotAllowed,
    request.isService,
    request.zone ?? '',
    zones,
    request.maxTasksPerZone,
    request.zoneAffinity,
    patient,
    request.isStarved === true,
  ].join('|');
}

export function take(capacity: FreeCapacity, demand: { cpus: number; gpus: number; memoryGb: number }): void {
  capacity.cpus -= demand.cpus;
  capacity.gpus -= demand.gpus;
  capacity.memoryGb -= demand.memoryGb;
}

/** Seconds-like rank of a room for a want, lower is better: image fetch, then packing, then kind. */
export function score(capacity: FreeCapacity, request: ResourceRequest, scarceZone: string | null): number {
  let v = capacity.penaltySeconds;
  if (capacity.images && !capacity.images.has(request.image))
    v += request.imageGb / Math.max(0.01, capacity.imageFetchGbPerSecond);
  // Fullest machine first, so that others empty and can be returned.
  v += (2 * (capacity.cpus - request.cpus)) / Math.max(1, capacity.totalCpus);
  // Replicas leave the room of machines with many images to those that come next.
  if (request.isService && capacity.images) v += 0.1 * capacity.images.size;
  // A small machine is given back sooner than a big one is emptied.
  if (request.preferredMachine === capacity.machineName) v -= 1;
  // Work that may use cheap machines leaves the ordinary ones to work that may not.
  if (request.spotAllowed && !capacity.isSpot) v += 4;
  if (scarceZone === capacity.zone && !capacity.isSpot && !request.zoneAllowance) v += 6;
  return v;
}

/** Whether a want passes this machine over for reasons of its own. */
export function isAvoided(request: ResourceRequest, machine: string): boolean {
  return request.avoidedMachines.includes(machine) || request.refusingMachines?.has(machine) === true;
}

/** Whether a want passes any machine over for reasons of its own: what it finds says nothing of others of its kind. */
export function avoidsAnyMachine(request: ResourceRequest): boolean {
  return request.avoidedMachines.length > 0 || request.refusingMachines !== undefined;
}

/** Whether a task of this want may go here now. */
export function isOpenTo(
  capacity: FreeCapacity,
  request: ResourceRequest,
  scarceZone: string | null,
): boolean {
  if (!fits(capacity, request)) return false;
  if (capacity.reservation && capacity.reservation.jobId !== request.jobId && request.priority > 0)
    return false;
  if (request.isStarved) return isAllowed(capacity, request) && !isAvoided(request, capacity.machineName);
  // The ordinary room of a zone that jobs which must be spread depend on is theirs; what can be stopped
  // for them may use it meanwhile.
  if (
    scarceZone === capacity.zone &&
    !capacity.isSpot &&
    request.isService &&
    !request.zoneAllowance &&
    request.zone === null
  )
    return false;
  // Work that has time and may use cheap machines lets it run empty, to be returned.
  if (capacity.isSurplus && request.spotAllowed && !request.isService && (request.maxWaitSeconds ?? 0) > 0)
    return false;
  return isAllowed(capacity, request) && !isAvoided(request, capacity.machineName);
}

export function bestCapacity(
  capacities: Iterable<FreeCapacity>,
  request: ResourceRequest,
  scarceZone: string | null,
  full?: (capacity: FreeCapacity) => boolean,
): FreeCapacity | null {
  let found: FreeCapacity | null = null;
  let rank = Number.POSITIVE_INFINITY;
  for (const r of capacities) {
    if (!isOpenTo(r, request, scarceZone) || full?.(r)) continue;
    const v = score(r, request, scarceZone);
    if (v < rank) {
      rank = v;
      found = r;
    }
  }
  return found;
}

/** Places up to `count` tasks of a want; calls back per task. Returns how many were left. */
export function fill(
  capacities: FreeCapacity[],
  request: ResourceRequest,
  count: number,
  scarceZone: string | null,
  each: (capacity: FreeCapacity) => void,
): number {
  if (request.allOrNothing) return fillGang(capacities, request, count, scarceZone, each);
  const zoneRoom = request.zoneAllowance ? { ...request.zoneAllowance } : null;
  const v: ResourceRequest = { ...request, zoneAllowance: zoneRoom };
  let left = count;
  // Replicas of a job go to several machines: less is lost with one, and its image is in more places for the next.
  const per =
    request.isService && request.jobId !== ''
      ? Math.max(1, Math.ceil(count / MAX_MACHINES_PER_SERVICE))
      : count;
  const here = new Map<FreeCapacity, number>();
  const use = (capacity: FreeCapacity, most: number) => {
    // The fuller a machine the better it ranks: the best one stays the best while it has room.
    while (
      left > 0 &&
      fits(capacity, request) &&
      isAllowed(capacity, v) &&
      (here.get(capacity) ?? 0) < most
    ) {
      if (v.zoneAffinity && v.zone === null) v.zone = capacity.zone;
      take(capacity, request);
      if (zoneRoom) zoneRoom[capacity.zone] = (zoneRoom[capacity.zone] ?? request.maxTasksPerZone) - 1;
      each(capacity);
      left--;
      here.set(capacity, (here.get(capacity) ?? 0) + 1);
    }
  };
  // Taking from one room changes the rank of no other: they are ranked once, and not for every task anew.
  for (const most of per < count ? [per, count] : [count]) {
    if (left <= 0) break;
    if (left === 1) {
      const r = bestCapacity(capacities, v, scarceZone, (x) => (here.get(x) ?? 0) >= most);
      if (r) use(r, most);
      continue;
    }
    const ranked: { r: FreeCapacity; rank: number }[] = [];
    for (const r of capacities)
      if (isOpenTo(r, v, scarceZone) && (here.get(r) ?? 0) < most)
        ranked.push({ r, rank: score(r, request, scarceZone) });
    ranked.sort((x, y) => x.rank - y.rank);
    for (const { r } of ranked) {
      if (left <= 0) break;
      use(r, most);
    }
  }
  return left;
}

/** A gang takes all its places or none. */
function fillGang(
  capacities: FreeCapacity[],
  request: ResourceRequest,
  count: number,
  scarceZone: string | null,
  each: (capacity: FreeCapacity) => void,
): number {
  const chosen = chooseForGang(capacities, request, count, scarceZone);
  if (!chosen) return count;
  for (const r of chosen) {
    take(r, request);
    each(r);
  }
  return 0;
}

/** The rooms for all tasks of a gang, one a task, or null; with one zone demanded, each zone is tried in turn. */
export function chooseForGang(
  capacities: FreeCapacity[],
  request: ResourceRequest,
  count: number,
  scarceZone: string | null,
): FreeCapacity[] | null {
  const usable = capacities.filter((capacity) => isOpenTo(capacity, request, scarceZone));
  const zones =
    request.zoneAffinity && request.zone === null
      ? [...new Set(usable.map((capacity) => capacity.zone))]
      : [request.zone];
  for (const zone of zones) {
    const here = usable.filter((capacity) => zone === null || capacity.zone === zone);
    if (here.reduce((sum, capacity) => sum + slotsIn(capacity, request), 0) < count) continue;
    const copies = new Map<FreeCapacity, FreeCapacity>();
    for (const r of here) copies.set({ ...r }, r);
    const chosen: FreeCapacity[] = [];
    const left = fill(
      [...copies.keys()],
      { ...request, allOrNothing: false, zone },
      count,
      scarceZone,
      (copy) => chosen.push(copies.get(copy)!),
    );
    if (left === 0) return chosen;
  }
  return null;
}

export function emptyCapacity(
  machineType: MachineType,
  zone: string,
  spot: boolean,
  name: string,
): FreeCapacity {
  return {
    machineName: name,
    machineType: machineType.name,
    zone,
    isSpot: spot,
    cpus: machineType.cpus,
    gpus: machineType.gpus,
    memoryGb: machineType.memoryGb,
    totalCpus: machineType.cpus,
    images: null,
    imageFetchGbPerSecond: machineType.imageFetchGbPerSecond,
    penaltySeconds: 0,
    reservation: null,
    isSurplus: false,
  };
}
