import type { MachineType } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';
import { slotsIn } from '../../model/resources.js';
import {
  emptyCapacity,
  type FreeCapacity,
  fill,
  fits,
  isAllowed,
  isAvoided,
  type MachineOffer,
  take,
} from '../placement/free-capacity.js';

export interface Rental {
  machineType: string;
  zone: string;
  isSpot: boolean;
  count: number;
}

/** Refused rentals are remembered per type, zone and kind, with growing pauses. */
export class RentalBackoff {
  private readonly blocked = new Map<string, { until: number; pause: number }>();

  constructor(
    private readonly firstPauseMs: number,
    private readonly maxPauseMs: number,
  ) {}

  static keyOf(rental: MachineOffer): string {
    return `${rental.machineType}|${rental.zone}|${rental.isSpot ? 's' : 'o'}`;
  }

  isOpen(rental: MachineOffer, now: number): boolean {
    const b = this.blocked.get(RentalBackoff.keyOf(rental));
    return !b || b.until <= now;
  }

  onRefused(rental: MachineOffer, now: number): void {
    const k = RentalBackoff.keyOf(rental);
    const pause = Math.min(this.maxPauseMs, (this.blocked.get(k)?.pause ?? this.firstPauseMs / 2) * 2);
    this.blocked.set(k, { until: now + pause, pause });
  }

  onFilled(rental: MachineOffer): void {
    this.blocked.delete(RentalBackoff.keyOf(rental));
  }

  /** A machine came free again. */
  onFreed(rental: MachineOffer): void {
    const b = this.blocked.get(RentalBackoff.keyOf(rental));
    if (b) b.until = 0;
  }
}

export interface PricingInput {
  machineTypes: MachineType[];
  rentalBackoff: RentalBackoff;
  now: number;
  /** Span over which boot and image fetch are paid off. */
  amortizationSeconds: number;
  serviceAmortizationSeconds: number;
  scarceZone: string | null;
}

export interface RentalPlanInput extends PricingInput {
  /** Wants that found no room, in order of rank, with the number of tasks left. */
  unplaced: { request: ResourceRequest; count: number }[];
  /** Rooms of machines that are rented and not yet up. */
  expectedCapacities: FreeCapacity[];
  /** Calls to the cloud that may be made now, each for up to `MOST_A_CALL` machines of one kind. */
  maxCalls: number;
}

const MAX_MACHINES_PER_CALL = 50;
/** Part of an aim kept in hand. */
export const OBJECTIVE_MARGIN = 0.2;

/** Chooses rentals for work without room: the cheapest place per task, boot and image fetch included. */
export function planRentals(input: RentalPlanInput): Rental[] {
  const capacities = [...input.expectedCapacities];
  const out = new Map<string, Rental>();
  // A want of its own each: what is planned in a zone counts against what may still go there, or machines would be
  // rented again and again for replicas that may not use them.
  const rest = input.unplaced.map((l) => {
    const request: ResourceRequest = {
      ...l.request,
      zoneAllowance: l.request.zoneAllowance ? { ...l.request.zoneAllowance } : null,
    };
    return { want: request, count: assignCapacity(input, capacities, request, l.count) };
  });
  const calls = () =>
    [...out.values()].reduce((n, rental) => n + Math.ceil(rental.count / MAX_MACHINES_PER_CALL), 0);
  for (let k = 0; k < rest.length && calls() < input.maxCalls; k++) {
    const { want } = rest[k]!;
    // Room rented for an earlier want may have space for this one.
    let count = assignCapacity(input, capacities, want, rest[k]!.count);
    let guard = 64;
    while (count > 0 && calls() < input.maxCalls && guard-- > 0) {
      const c = cheapestOffer(input, want, Math.max(count, similarTaskCount(rest, k)));
      if (!c) break;
      const key = RentalBackoff.keyOf({ machineType: c.type.name, zone: c.zone, isSpot: c.spot });
      const r = out.get(key) ?? { machineType: c.type.name, zone: c.zone, isSpot: c.spot, count: 0 };
      // As many as this want fills, in one go; spread and joined jobs choose their zones machine by machine.
      const alone = want.allOrNothing || want.zoneAllowance !== null || want.zoneAffinity;
      const each = Math.max(1, slotsIn(c.type, want)) * runsPerSlot(c.type, want);
      const n = alone ? 1 : Math.max(1, Math.floor(count / each));
      const more = Math.min(
        n,
        MAX_MACHINES_PER_CALL * (input.maxCalls - calls()) +
          ((MAX_MACHINES_PER_CALL - (r.count % MAX_MACHINES_PER_CALL)) % MAX_MACHINES_PER_CALL),
      );
      r.count += more;
      out.set(key, r);
      const fresh: FreeCapacity[] = [];
      for (let x = 0; x < more; x++) fresh.push(emptyCapacity(c.type, c.zone, c.spot, ''));
      const before = count;
      count = assignCapacity(input, fresh, want, count);
      for (const x of fresh) if (x.cpus > 1e-9) capacities.push(x);
      if (count === before && !want.allOrNothing) break;
      if (want.allOrNothing) count = assignCapacity(input, capacities, want, count);
    }
  }
  return [...out.values()].flatMap((rental) => {
    const parts: Rental[] = [];
    for (let left = rental.count; left > 0; left -= MAX_MACHINES_PER_CALL)
      parts.push({ ...rental, count: Math.min(MAX_MACHINES_PER_CALL, left) });
    return parts;
  });
}

/** Takes room for tasks of a want; returns how many are left without. */
function assignCapacity(
  input: RentalPlanInput,
  capacities: FreeCapacity[],
  request: ResourceRequest,
  count: number,
): number {
  if (
    request.slackSeconds !== null &&
    !request.isService &&
    !request.allOrNothing &&
    !request.zoneAllowance &&
    !request.zoneAffinity
  )
    return assignConsecutiveRuns(input, capacities, request, count);
  const used: string[] = [];
  const left = fill(capacities, request, count, input.scarceZone, (capacity) => used.push(capacity.zone));
  if (request.zoneAllowance)
    for (const z of used)
      request.zoneAllowance[z] = (request.zoneAllowance[z] ?? request.maxTasksPerZone) - 1;
  return left;
}

/** The same for work with time before its aim: a place takes as many of its tasks as it can run one after another. */
function assignConsecutiveRuns(
  input: RentalPlanInput,
  capacities: FreeCapacity[],
  request: ResourceRequest,
  count: number,
): number {
  const types = new Map(input.machineTypes.map((machineType) => [machineType.name, machineType]));
  let left = count;
  for (const capacity of capacities) {
    if (left <= 0) break;
    const t = types.get(capacity.machineType);
    if (
      !t ||
      !fits(capacity, request) ||
      !isAllowed(capacity, request) ||
      isAvoided(request, capacity.machineName)
    )
      continue;
    if (request.spotOnly && !capacity.isSpot) continue;
    const each = runsPerSlot(t, request);
    const n = Math.min(slotsIn(capacity, request), Math.ceil(left / each));
    for (let k = 0; k < n; k++) take(capacity, request);
    left -= n * each;
  }
  return Math.max(0, left);
}

function runsPerSlot(machineType: MachineType, request: ResourceRequest): number {
  if (
    request.slackSeconds === null ||
    request.isService ||
    request.allOrNothing ||
    request.estimatedRunSeconds <= 0
  )
    return 1;
  const wait = machineType.bootSeconds + request.imageGb / Math.max(0.01, machineType.imageFetchGbPerSecond);
  const left = request.slackSeconds - (request.objectiveSeconds ?? 0) * OBJECTIVE_MARGIN - wait;
  return Math.max(1, Math.min(8, Math.floor(left / (request.estimatedRunSeconds * 1.3))));
}

/** Tasks of this and later wants that could share a machine rented for this one. */
function similarTaskCount(rest: { want: ResourceRequest; count: number }[], from: number): number {
  const request = rest[from]!.want;
  let n = 0;
  for (let k = from; k < rest.length; k++) {
    const o = rest[k]!;
    if (o.want.spotAllowed === request.spotAllowed && o.want.machineTypes === null)
      n += (o.count * o.want.cpus) / Math.max(0.1, request.cpus);
  }
  return Math.ceil(n);
}

export function cheapestOffer(
  input: PricingInput,
  request: ResourceRequest,
  count: number,
): { type: MachineType; zone: string; spot: boolean } | null {
  let found: { type: MachineType; zone: string; spot: boolean } | null = null;
  let cost = Number.POSITIVE_INFINITY;
  for (const type of input.machineTypes) {
    const per = slotsIn(type, request);
    if (per < 1) continue;
    for (const zone of type.zones) {
      for (const spot of request.spotOnly ? [true] : request.spotAllowed ? [true, false] : [false]) {
        const at = { machineType: type.name, zone, isSpot: spot };
        if (!isAllowed(at, request) || !input.rentalBackoff.isOpen(at, input.now)) continue;
        const wait = type.bootSeconds + request.imageGb / Math.max(0.01, type.imageFetchGbPerSecond);
        const span = request.isService ? input.serviceAmortizationSeconds : input.amortizationSeconds;
        const c =
          ((spot ? type.hourlySpotPrice : type.hourlyPrice) / Math.min(per, count)) * (1 + wait / span);
        if (zone === input.scarceZone && !spot && !request.zoneAllowance && request.zone !== zone) continue;
        if (c < cost) {
          cost = c;
          found = { type, zone, spot };
        }
      }
    }
  }
  return found;
}
