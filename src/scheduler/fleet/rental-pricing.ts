/** Which machine is the cheapest to rent for a request. */

import { imageFetchSecondsOn, type MachineType } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';
import { slotsIn } from '../../model/resources.js';
import type { ClusterState } from '../cluster-state.js';
import { isAllowed } from '../placement/capacity-filter.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { RentalBackoff } from './rental-backoff.js';

/** What may be rented now, and how it is priced. */
export interface PricingInput {
  machineTypes: MachineType[];
  rentalBackoff: RentalBackoff;
  now: number;
  /** Span over which boot and image fetch are paid off. */
  amortizationSeconds: number;
  /** The same for services, which stay longer. */
  serviceAmortizationSeconds: number;
  scarceZone: string | null;
}

/** One kind of machine to rent. */
export interface RentalOffer {
  type: MachineType;
  zone: string;
  isSpot: boolean;
}

/** Pricing by the present policy; without zones that are cut off, where what is rented can't be reached. */
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

/** Seconds from the rental of such a machine until a task of the request can run on it. */
export function startupSeconds(machineType: MachineType, request: ResourceRequest): number {
  return machineType.bootSeconds + imageFetchSecondsOn(machineType, request.imageGb);
}

/** The cheapest place per task, for up to `count` tasks, boot and image fetch included; null: there is none now. */
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
    for (const offer of openOffers(type, input, request)) {
      const cost = costPerTask(offer, input, { request, tasksPerMachine });
      if (cost < lowestCost) {
        lowestCost = cost;
        cheapest = offer;
      }
    }
  }
  return cheapest;
}

/** By zone, in the order in which the type lists them. */
function openOffers(type: MachineType, input: PricingInput, request: ResourceRequest): RentalOffer[] {
  const offers: RentalOffer[] = [];
  for (const zone of type.zones)
    for (const isSpot of kindsFor(request)) {
      const offer = { type, zone, isSpot };
      if (isOfferOpen(offer, input, request)) offers.push(offer);
    }
  return offers;
}

/** Spot instances first: they are taken where ordinary machines cost the same. */
function kindsFor(request: ResourceRequest): readonly boolean[] {
  if (request.spotOnly) return SPOT_ONLY;
  return request.spotAllowed ? SPOT_OR_ORDINARY : ORDINARY_ONLY;
}

const SPOT_ONLY: readonly boolean[] = [true];
const SPOT_OR_ORDINARY: readonly boolean[] = [true, false];
const ORDINARY_ONLY: readonly boolean[] = [false];

function isOfferOpen(
  { type, zone, isSpot }: RentalOffer,
  input: PricingInput,
  request: ResourceRequest,
): boolean {
  // The scarce zone's ordinary machines are for jobs that must be spread, and for those that can run nowhere else.
  if (zone === input.scarceZone && !isSpot && !request.zoneAllowance && request.zone !== zone) return false;
  const offer = { machineType: type.name, zone, isSpot };
  return isAllowed(offer, request) && input.rentalBackoff.isOpen(offer, input.now);
}

function costPerTask(
  { type, isSpot }: RentalOffer,
  input: PricingInput,
  { request, tasksPerMachine }: { request: ResourceRequest; tasksPerMachine: number },
): number {
  const hourlyPrice = isSpot ? type.hourlySpotPrice : type.hourlyPrice;
  const paidOffSeconds = request.isService ? input.serviceAmortizationSeconds : input.amortizationSeconds;
  return (hourlyPrice / tasksPerMachine) * (1 + startupSeconds(type, request) / paidOffSeconds);
}
