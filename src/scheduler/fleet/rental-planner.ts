/** Plans which machines to rent for work without capacity. */

import type { MachineType } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON, slotsIn } from '../../model/resources.js';
import { fits, isAllowed, isExcluded, subtract } from '../placement/capacity-filter.js';
import { fill } from '../placement/fill.js';
import { type CapacityDemand, emptyMachineCapacity, type FreeCapacity } from '../placement/free-capacity.js';
import { OBJECTIVE_MARGIN_SHARE } from '../placement/wait-objectives.js';
import { offerKey } from './rental-backoff.js';
import { cheapestOffer, type PricingInput, type RentalOffer, startupSeconds } from './rental-pricing.js';

/** Maximum number of machines that one call to the cloud may request. */
const MAX_MACHINES_PER_CALL = 50;
/** Maximum number of offers that one rental plan may choose for one request. */
const MAX_OFFERS_PER_REQUEST = 64;
/** Maximum number of tasks that one slot of a rented machine is planned to run, one after another. */
const MAX_RUNS_PER_SLOT = 8;
/**
 * Multiple of its estimated run time that each task is planned to take when one slot runs several tasks one
 * after another: estimates may be too low.
 */
const CONSECUTIVE_RUN_MARGIN = 1.3;
/**
 * Lower bound of a request's CPUs when other tasks are counted in multiples of it: a request for almost no
 * CPUs would make that count very large.
 */
const MIN_CPUS_PER_TASK = 0.1;

/** An order for machines of one type and zone, either on-demand or spot, as planned. */
export interface RentalOrder {
  machineType: string;
  zone: string;
  isSpot: boolean;
  count: number;
}

/** Input for a rental plan. */
export interface RentalPlanInput extends PricingInput {
  /**
   * Demand that found no capacity, with the number of tasks not placed. Machines are planned for it in this
   * order, so that the first entries get the calls that may be made.
   */
  unplaced: CapacityDemand[];
  /** Capacities of machines that were requested and are not yet up. */
  expectedCapacities: FreeCapacity[];
  /**
   * Calls to the cloud that may be made now, each for up to `MAX_MACHINES_PER_CALL` machines of one offer.
   */
  maxCalls: number;
}

/** Chooses rentals for work without capacity, at the lowest cost per task including boot and image fetch. */
export function planRentals(input: RentalPlanInput): RentalOrder[] {
  return new RentalPlan(input).compute();
}

class RentalPlan {
  private readonly capacities: FreeCapacity[];
  private readonly machineTypes: ReadonlyMap<string, MachineType>;
  private readonly rentals = new Map<string, RentalOrder>();

  constructor(private readonly input: RentalPlanInput) {
    this.capacities = [...input.expectedCapacities];
    this.machineTypes = new Map(input.machineTypes.map((machineType) => [machineType.name, machineType]));
  }

  compute(): RentalOrder[] {
    // Tasks planned in a zone count against the zone allowance of a copy of their request. Without this,
    // machines would be rented again and again for replicas that may not use them.
    const demands = this.input.unplaced.map(({ request, count }) => {
      const plannedRequest: ResourceRequest = {
        ...request,
        zoneAllowance: request.zoneAllowance ? { ...request.zoneAllowance } : null,
      };
      return {
        request: plannedRequest,
        count: this.assign(this.capacities, { request: plannedRequest, count }),
      };
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
    // Machines planned for an earlier request may have capacity for this one.
    let remaining = this.assign(this.capacities, { request, count });
    for (let offers = 0; offers < MAX_OFFERS_PER_REQUEST; offers++) {
      if (remaining <= 0 || this.callCount() >= this.input.maxCalls) return;
      const similarTasks = similarTaskCount(request, demands, index);
      const offer = cheapestOffer(this.input, request, Math.max(remaining, similarTasks));
      if (!offer) return;
      const remainingBefore = remaining;
      remaining = this.assignRented(this.rent(offer, { request, count: remaining }), {
        request,
        count: remaining,
      });
      // A gang is assigned only once there is capacity for all of its tasks.
      if (request.isGang) remaining = this.assign(this.capacities, { request, count: remaining });
      else if (remaining === remainingBefore) return;
    }
  }

  /**
   * Assigns tasks to newly planned machines; their remaining capacity is available to later requests. Returns
   * how many tasks are left.
   */
  private assignRented(rented: FreeCapacity[], demand: CapacityDemand): number {
    const remaining = this.assign(rented, demand);
    for (const capacity of rented) if (capacity.cpus > EPSILON) this.capacities.push(capacity);
    return remaining;
  }

  /**
   * Adds as many machines to the rental of this offer as the demand fills and the remaining calls allow;
   * returns their capacities.
   */
  private rent({ type, zone, isSpot }: RentalOffer, demand: CapacityDemand): FreeCapacity[] {
    const key = offerKey({ machineType: type.name, zone, isSpot });
    const rental = this.rentals.get(key) ?? { machineType: type.name, zone, isSpot, count: 0 };
    const unusedOfLastCall =
      (MAX_MACHINES_PER_CALL - (rental.count % MAX_MACHINES_PER_CALL)) % MAX_MACHINES_PER_CALL;
    const machineCount = Math.min(
      machineCountFor(type, demand),
      MAX_MACHINES_PER_CALL * (this.input.maxCalls - this.callCount()) + unusedOfLastCall,
    );
    rental.count += machineCount;
    this.rentals.set(key, rental);
    return Array.from({ length: machineCount }, () => emptyMachineCapacity(type, { name: '', zone, isSpot }));
  }

  /** Assigns tasks to the capacities, and subtracts what they use; returns how many tasks are left. */
  private assign(capacities: FreeCapacity[], demand: CapacityDemand): number {
    const { request, count } = demand;
    const { zoneAllowance } = request;
    if (request.slackSeconds !== null && mayRunConsecutively(request))
      return this.assignConsecutiveRuns(capacities, demand);
    const usedZones: string[] = [];
    const remaining = fill(
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
    return remaining;
  }

  /**
   * Assigns work that has time left until its objective: each slot takes as many tasks as it can run one
   * after another.
   */
  private assignConsecutiveRuns(capacities: FreeCapacity[], { request, count }: CapacityDemand): number {
    let remaining = count;
    for (const capacity of capacities) {
      if (remaining <= 0) break;
      const machineType = this.machineTypes.get(capacity.machineType);
      if (
        !machineType ||
        !fits(capacity, request) ||
        !isAllowed(capacity, request) ||
        isExcluded(request, capacity.machineName)
      )
        continue;
      if (request.spotOnly && !capacity.isSpot) continue;
      const runs = runsPerSlot(machineType, request);
      const slots = Math.min(slotsIn(capacity, request), Math.ceil(remaining / runs));
      for (let slot = 0; slot < slots; slot++) subtract(capacity, request);
      remaining -= slots * runs;
    }
    return Math.max(0, remaining);
  }
}

function splitIntoCalls(rental: RentalOrder): RentalOrder[] {
  const calls: RentalOrder[] = [];
  for (let remaining = rental.count; remaining > 0; remaining -= MAX_MACHINES_PER_CALL)
    calls.push({ ...rental, count: Math.min(MAX_MACHINES_PER_CALL, remaining) });
  return calls;
}

function mayRunConsecutively(request: ResourceRequest): boolean {
  return !request.isService && !request.isGang && !request.zoneAllowance && !request.zoneAffinity;
}

/**
 * The number of machines that the demand fills. It is 1 for gangs and for jobs that must be spread over zones
 * or stay in one: they choose an offer for each machine.
 */
function machineCountFor(machineType: MachineType, { request, count }: CapacityDemand): number {
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

/**
 * Number of tasks of the demands from this index on that could share a machine rented for the request, in
 * multiples of the request's CPUs.
 */
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
