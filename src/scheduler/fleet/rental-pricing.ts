/** Finds the cheapest machine to rent for a request. */

import { imageFetchSecondsOn, type MachineType } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';
import { slotsIn } from '../../model/resources.js';
import type { ClusterState } from '../cluster-state.js';
import { isAllowed } from '../placement/capacity-filter.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { RentalBackoff } from './rental-backoff.js';

/** Machine types that may be rented now, and the parameters of their pricing. */
export interface PricingInput {
  machineTypes: MachineType[];
  rentalBackoff: RentalBackoff;
  now: number;
  /** Time over which the cost of boot and image fetch is amortized. */
  amortizationSeconds: number;
  /** Time over which the cost of boot and image fetch is amortized for services, which run longer. */
  serviceAmortizationSeconds: number;
  scarceZone: string | null;
}

/** A machine type in one zone, either on-demand or spot. */
export interface RentalOffer {
  type: MachineType;
  zone: string;
  isSpot: boolean;
}

/**
 * Pricing under the current policy. Partitioned zones are left out: machines rented there could not be
 * reached.
 */
export function currentPricing(options: SchedulerOptions, state: ClusterState, now: number): PricingInput {
  const { partitionedZones, policy, rentalBackoff, scarceZone } = state;
  const machineTypes = options.machineTypes();
  return {
    machineTypes:
      partitionedZones.size === 0
        ? machineTypes
        : machineTypes.map((machineType) => ({
            ...machineType,
            zones: machineType.zones.filter((zone) => !partitionedZones.has(zone)),
          })),
    rentalBackoff,
    now,
    amortizationSeconds: policy.amortizationSeconds,
    serviceAmortizationSeconds: policy.serviceAmortizationSeconds,
    scarceZone,
  };
}

/** Seconds from the rental of a machine of this type until a task of the request can run on it. */
export function startupSeconds(machineType: MachineType, request: ResourceRequest): number {
  return machineType.bootSeconds + imageFetchSecondsOn(machineType, request.imageGb);
}

/**
 * The available offer with the lowest cost per task for up to `count` tasks, boot and image fetch included;
 * null if there is none.
 */
export function cheapestOffer(
  input: PricingInput,
  request: ResourceRequest,
  count: number,
): RentalOffer | null {
  let cheapest: RentalOffer | null = null;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const type of input.machineTypes) {
    const slots = slotsIn(type, request);
    if (slots < 1) continue;
    const tasksPerMachine = Math.min(slots, count);
    for (const offer of availableOffers(type, input, request)) {
      const cost = costPerTask(offer, input, { request, tasksPerMachine });
      if (cost < lowestCost) {
        lowestCost = cost;
        cheapest = offer;
      }
    }
  }
  return cheapest;
}

/** Returns the offers of a type that may be requested now, in the order in which the type lists its zones. */
function availableOffers(type: MachineType, input: PricingInput, request: ResourceRequest): RentalOffer[] {
  const offers: RentalOffer[] = [];
  for (const zone of type.zones)
    for (const isSpot of spotChoices(request)) {
      const offer = { type, zone, isSpot };
      if (isOfferAvailable(offer, input, request)) offers.push(offer);
    }
  return offers;
}

/**
 * Values of `isSpot` to consider when offers for a request are compared. Spot machines come first, so that
 * they win over on-demand machines of equal cost.
 */
function spotChoices(request: ResourceRequest): readonly boolean[] {
  if (request.spotOnly) return SPOT_ONLY;
  return request.spotAllowed ? SPOT_OR_ON_DEMAND : ON_DEMAND_ONLY;
}

const SPOT_ONLY: readonly boolean[] = [true];
const SPOT_OR_ON_DEMAND: readonly boolean[] = [true, false];
const ON_DEMAND_ONLY: readonly boolean[] = [false];

function isOfferAvailable(
  { type, zone, isSpot }: RentalOffer,
  input: PricingInput,
  request: ResourceRequest,
): boolean {
  // On-demand machines in the scarce zone are left to jobs that must be spread over zones or must run in that
  // zone.
  if (zone === input.scarceZone && !isSpot && !request.zoneAllowance && request.zone !== zone) return false;
  const offer = { machineType: type.name, zone, isSpot };
  return isAllowed(offer, request) && input.rentalBackoff.allowsRequest(offer, input.now);
}

function costPerTask(
  { type, isSpot }: RentalOffer,
  input: PricingInput,
  { request, tasksPerMachine }: { request: ResourceRequest; tasksPerMachine: number },
): number {
  const hourlyPrice = isSpot ? type.hourlySpotPrice : type.hourlyPrice;
  const amortizationSeconds = request.isService
    ? input.serviceAmortizationSeconds
    : input.amortizationSeconds;
  return (hourlyPrice / tasksPerMachine) * (1 + startupSeconds(type, request) / amortizationSeconds);
}
