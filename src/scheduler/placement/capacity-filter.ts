/**
 * Decides which machines a request may use, by their free capacity, by the request's constraints, and by
 * capacity that is withheld from the request or reserved for other jobs.
 */

import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON, type Resources } from '../../model/resources.js';
import type { FreeCapacity, MachineOffer } from './free-capacity.js';

/** Whether one task with this demand fits into the capacity. */
export function fits(capacity: Resources, demand: Resources): boolean {
  return (
    capacity.cpus + EPSILON >= demand.cpus &&
    capacity.gpus + EPSILON >= demand.gpus &&
    capacity.memoryGb + EPSILON >= demand.memoryGb
  );
}

/** Subtracts the demand of one task from the capacity. */
export function subtract(capacity: Resources, demand: Resources): void {
  capacity.cpus -= demand.cpus;
  capacity.gpus -= demand.gpus;
  capacity.memoryGb -= demand.memoryGb;
}

/** Adds an amount that becomes free again to the capacity. */
export function addBack(capacity: Resources, amount: Resources): void {
  capacity.cpus += amount.cpus;
  capacity.gpus += amount.gpus;
  capacity.memoryGb += amount.memoryGb;
}

/**
 * Whether a machine meets the request's constraints on spot machines, machine types and zones, whatever is
 * free on it.
 */
export function isAllowed(offer: MachineOffer, request: ResourceRequest): boolean {
  if (offer.isSpot && !request.spotAllowed) return false;
  if (request.machineTypes && !request.machineTypes.includes(offer.machineType)) return false;
  if (request.zone !== null && request.zone !== offer.zone) return false;
  return !request.zoneAllowance || (request.zoneAllowance[offer.zone] ?? request.defaultZoneAllowance) > 0;
}

/**
 * Whether a request excludes this machine: its job failed there recently, or the machine has refused one of
 * its tasks or would refuse all that remain.
 */
export function isExcluded(request: ResourceRequest, machine: string): boolean {
  return request.avoidedMachines.includes(machine) || request.refusingMachines?.has(machine) === true;
}

/**
 * Whether a request excludes any machine. If such a request finds no capacity, equivalent requests that
 * exclude other machines or none may still find some.
 */
export function excludesAnyMachine(request: ResourceRequest): boolean {
  return request.avoidedMachines.length > 0 || request.refusingMachines !== undefined;
}

/** Whether a request is batch work that may use spot machines and has time to wait for one. */
export function canWaitForSpot(request: ResourceRequest): boolean {
  return request.spotAllowed && !request.isService && (request.maxWaitSeconds ?? 0) > 0;
}

/**
 * Whether a task of the request can be placed on this capacity now: it fits, the capacity is neither reserved
 * for another job nor withheld, the machine meets the request's constraints, and the request does not exclude
 * it. Starved requests may use withheld capacity.
 */
export function isFeasible(
  capacity: FreeCapacity,
  request: ResourceRequest,
  scarceZone: string | null,
): boolean {
  if (!fits(capacity, request)) return false;
  if (isReservedForOtherJob(capacity, request)) return false;
  if (!request.isStarved && isWithheld(capacity, request, scarceZone)) return false;
  return isAllowed(capacity, request) && !isExcluded(request, capacity.machineName);
}

/** Whether the capacity is reserved for another job; requests of priority 0 ignore reservations. */
function isReservedForOtherJob({ reservation }: FreeCapacity, request: ResourceRequest): boolean {
  return reservation !== null && reservation.jobId !== request.jobId && request.priority > 0;
}

/** Whether the capacity is kept for other work than this request, which may use it only if it is starved. */
function isWithheld(capacity: FreeCapacity, request: ResourceRequest, scarceZone: string | null): boolean {
  // Jobs that must be spread over zones depend on the on-demand machines of the scarce zone, so among
  // services only those that must be spread or are tied to a zone may use them. Batch tasks may, since they
  // can be preempted.
  if (
    scarceZone === capacity.zone &&
    !capacity.isSpot &&
    request.isService &&
    !request.zoneAllowance &&
    request.zone === null
  )
    return true;
  // Work that can wait for spot machines stays off surplus machines, so that they become empty and can be
  // returned.
  return capacity.isSurplus && canWaitForSpot(request);
}
