/** Plans rentals for work without capacity. */

import type { MachineType } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON, slotsIn } from '../../model/resources.js';
import { fits, isAllowed, isAvoided, subtract } from '../placement/capacity-filter.js';
import { fill } from '../placement/fill.js';
import { type CapacityDemand, emptyMachineCapacity, type FreeCapacity } from '../placement/free-capacity.js';
import { OBJECTIVE_MARGIN_SHARE } from '../placement/wait-objectives.js';
import { offerKey } from './rental-backoff.js';
import { cheapestOffer, type PricingInput, type RentalOffer, startupSeconds } from './rental-pricing.js';

/** Machines that one call to the cloud may ask for. */
const MAX_MACHINES_PER_CALL = 50;
/** Choices of an offer for one request in one plan. */
const MAX_OFFERS_PER_REQUEST = 64;
/** Runs of a task that one place is counted on for, one after another. */
const MAX_RUNS_PER_SLOT = 8;
/** Multiple of the estimated run that each of them is counted as: estimates may be too low. */
const CONSECUTIVE_RUN_MARGIN = 1.3;
/** Bounds how many similar tasks one that needs next to nothing counts for. */
const MIN_CPUS_PER_TASK = 0.1;

/** Machines of one kind to rent. */
export interface Rental {
  machineType: string;
  zone: string;
  isSpot: boolean;
  count: number;
}

/** What a plan is made from. */
export interface RentalPlanInput extends PricingInput {
  /** Requests that found no capacity, highest priority first, with the number of tasks left. */
  unplaced: CapacityDemand[];
  /** Capacities of machines that are rented and not yet up. */
  expectedCapacities: FreeCapacity[];
  /** Calls to the cloud that may be made now, each for up to `MAX_MACHINES_PER_CALL` machines of one kind. */
  maxCalls: number;
}

/** Chooses rentals for work without capacity: the cheapest place per task, boot and image fetch included. */
export function planRentals(input: RentalPlanInput): Rental[] {
  return new RentalPlan(input).make();
}

class RentalPlan {
  private readonly capacities: FreeCapacity[];
  private readonly machineTypes: ReadonlyMap<string, MachineType>;
  private readonly rentals = new Map<string, Rental>();

  constructor(private readonly input: RentalPlanInput) {
    this.capacities = [...input.expectedCapacities];
    this.machineTypes = new Map(input.machineTypes.map((machineType) => [machineType.name, machineType]));
  }

  make(): Rental[] {
    // A request of its own each: what is planned in a zone counts against what may still go there, or machines would be
    // rented again and again for replicas that may not use them.
    const demands = this.input.unplaced.map(({ request, count }) => {
      const planned: ResourceRequest = {
        ...request,
        zoneAllowance: request.zoneAllowance ? { ...request.zoneAllowance } : null,
      };
      return { request: planned, count: this.assign(this.capacities, { request: planned, count }) };
    });
    for (const [index, demand] of demands.entries()) {
      if (this.callCount() >= this.input.maxCalls) break;
      this.rentFor(demand, demands, index);
    }
    return [...this.rentals.values()].flatMap(splitIntoCalls);
  }

  private callCount(): number {
    let calls = 0;
    for (const { count } of this.rentals.values()) calls += Math.ceil(count / MAX_MACHINES_PER_CALL);
    return calls;
  }

  private rentFor(
    { request, count }: CapacityDemand,
    demands: readonly CapacityDemand[],
    index: number,
  ): void {
    // What is rented for an earlier request may have capacity for this one.
    let open = this.assign(this.capacities, { request, count });
    for (let offers = 0; offers < MAX_OFFERS_PER_REQUEST; offers++) {
      if (open <= 0 || this.callCount() >= this.input.maxCalls) return;
      const similarTasks = similarTaskCount(request, demands, index);
      const offer = cheapestOffer(this.input, request, Math.max(open, similarTasks));
      if (!offer) return;
      const before = open;
      open = this.assignRented(this.rent(offer, { request, count: open }), { request, count: open });
      // A gang takes its places once there are enough for all of it.
      if (request.isGang) open = this.assign(this.capacities, { request, count: open });
      else if (open === before) return;
    }
  }

  /** What it leaves free is there for later requests. */
  private assignRented(rented: FreeCapacity[], demand: CapacityDemand): number {
    const left = this.assign(rented, demand);
    for (const capacity of rented) if (capacity.cpus > EPSILON) this.capacities.push(capacity);
    return left;
  }

  /** Adds to the rental of this offer as many machines as the demand fills; returns their capacities. */
  private rent({ type, zone, isSpot }: RentalOffer, demand: CapacityDemand): FreeCapacity[] {
    const key = offerKey({ machineType: type.name, zone, isSpot });
    const rental = this.rentals.get(key) ?? { machineType: type.name, zone, isSpot, count: 0 };
    const unusedOfLastCall =
      (MAX_MACHINES_PER_CALL - (rental.count % MAX_MACHINES_PER_CALL)) % MAX_MACHINES_PER_CALL;
    const machineCount = Math.min(
      machinesFor(type, demand),
      MAX_MACHINES_PER_CALL * (this.input.maxCalls - this.callCount()) + unusedOfLastCall,
    );
    rental.count += machineCount;
    this.rentals.set(key, rental);
    return Array.from({ length: machineCount }, () => emptyMachineCapacity(type, { name: '', zone, isSpot }));
  }

  /** Subtracts tasks from the capacities; returns how many are left without. */
  private assign(capacities: FreeCapacity[], demand: CapacityDemand): number {
    const { request, count } = demand;
    const { zoneAllowance } = request;
    if (request.slackSeconds !== null && mayRunConsecutively(request))
      return this.assignConsecutiveRuns(capacities, demand);
    const usedZones: string[] = [];
    const left = fill(
      capacities,
      { request, count },
      {
        scarceZone: this.input.scarceZone,
        onPlaced: (capacity) => usedZones.push(capacity.zone),
      },
    );
    if (zoneAllowance)
      for (const zone of usedZones)
        zoneAllowance[zone] = (zoneAllowance[zone] ?? request.defaultZoneAllowance) - 1;
    return left;
  }

  /** For work with time before its objective: a place takes as many of its tasks as it can run one after another. */
  private assignConsecutiveRuns(capacities: FreeCapacity[], { request, count }: CapacityDemand): number {
    let left = count;
    for (const capacity of capacities) {
      if (left <= 0) break;
      const machineType = this.machineTypes.get(capacity.machineType);
      if (
        !machineType ||
        !fits(capacity, request) ||
        !isAllowed(capacity, request) ||
        isAvoided(request, capacity.machineName)
      )
        continue;
      if (request.spotOnly && !capacity.isSpot) continue;
      const runs = runsPerSlot(machineType, request);
      const slots = Math.min(slotsIn(capacity, request), Math.ceil(left / runs));
      for (let slot = 0; slot < slots; slot++) subtract(capacity, request);
      left -= slots * runs;
    }
    return Math.max(0, left);
  }
}

function splitIntoCalls(rental: Rental): Rental[] {
  const calls: Rental[] = [];
  for (let left = rental.count; left > 0; left -= MAX_MACHINES_PER_CALL)
    calls.push({ ...rental, count: Math.min(MAX_MACHINES_PER_CALL, left) });
  return calls;
}

function mayRunConsecutively(request: ResourceRequest): boolean {
  return !request.isService && !request.isGang && !request.zoneAllowance && !request.zoneAffinity;
}

/** As many as the demand fills, in one go; spread and joined jobs choose their zones machine by machine. */
function machinesFor(machineType: MachineType, { request, count }: CapacityDemand): number {
  if (request.isGang || request.zoneAllowance !== null || request.zoneAffinity) return 1;
  const tasksPerMachine = Math.max(1, slotsIn(machineType, request)) * runsPerSlot(machineType, request);
  return Math.max(1, Math.floor(count / tasksPerMachine));
}

function runsPerSlot(machineType: MachineType, request: ResourceRequest): number {
  if (
    request.slackSeconds === null ||
    request.isService ||
    request.isGang ||
    request.estimatedRunSeconds <= 0
  )
    return 1;
  const secondsLeft =
    request.slackSeconds -
    (request.objectiveSeconds ?? 0) * OBJECTIVE_MARGIN_SHARE -
    startupSeconds(machineType, request);
  const runs = Math.floor(secondsLeft / (request.estimatedRunSeconds * CONSECUTIVE_RUN_MARGIN));
  return Math.max(1, Math.min(MAX_RUNS_PER_SLOT, runs));
}

/** Tasks of the demands from this index on that could share a machine rented for the request. */
function similarTaskCount(
  request: ResourceRequest,
  demands: readonly CapacityDemand[],
  from: number,
): number {
  let tasks = 0;
  for (let index = from; index < demands.length; index++) {
    const other = demands[index];
    if (other && other.request.spotAllowed === request.spotAllowed && other.request.machineTypes === null)
      tasks += (other.count * other.request.cpus) / Math.max(MIN_CPUS_PER_TASK, request.cpus);
  }
  return Math.ceil(tasks);
}
