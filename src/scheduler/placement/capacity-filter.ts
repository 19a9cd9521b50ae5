/** Which machines a request may use: by what is free, by the request's constraints, and by what is kept for others. */

import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON, type Resources } from '../../model/resources.js';
import type { FreeCapacity, MachineOffer } from './free-capacity.js';

/** Whether one task with this demand has enough capacity. */
export function fits(capacity: Resources, demand: Resources): boolean {
  return (
    capacity.cpus + EPSILON >= demand.cpus &&
    capacity.gpus + EPSILON >= demand.gpus &&
    capacity.memoryGb + EPSILON >= demand.memoryGb
  );
}

/** One task with this demand goes there. */
export function subtract(capacity: Resources, demand: Resources): void {
  capacity.cpus -= demand.cpus;
  capacity.gpus -= demand.gpus;
  capacity.memoryGb -= demand.memoryGb;
}

/** This amount becomes free again. */
export function addBack(capacity: Resources, amount: Resources): void {
  capacity.cpus += amount.cpus;
  capacity.gpus += amount.gpus;
  capacity.memoryGb += amount.memoryGb;
}

/** Whether the request's own constraints let its tasks run on such a machine, whatever is free there. */
export function isAllowed(offer: MachineOffer, request: ResourceRequest): boolean {
  if (offer.isSpot && !request.spotAllowed) return false;
  if (request.machineTypes && !request.machineTypes.includes(offer.machineType)) return false;
  if (request.zone !== null && request.zone !== offer.zone) return false;
  return !request.zoneAllowance || (request.zoneAllowance[offer.zone] ?? request.defaultZoneAllowance) > 0;
}

/** Whether a request passes this machine over for reasons of its own. */
export function isAvoided(request: ResourceRequest, machine: string): boolean {
  return request.avoidedMachines.includes(machine) || request.refusingMachines?.has(machine) === true;
}

/** Whether a request passes any machine over for reasons of its own: what it finds says nothing of others like it. */
export function avoidsAnyMachine(request: ResourceRequest): boolean {
  return request.avoidedMachines.length > 0 || request.refusingMachines !== undefined;
}

/** Work that has time and may use spot instances. */
export function canWaitForSpot(request: ResourceRequest): boolean {
  return request.spotAllowed && !request.isService && (request.maxWaitSeconds ?? 0) > 0;
}

/** Whether a task of this request may go here now. */
export function isFeasible(
  capacity: FreeCapacity,
  request: ResourceRequest,
  scarceZone: string | null,
): boolean {
  if (!fits(capacity, request)) return false;
  if (isReservedForOtherJob(capacity, request)) return false;
  if (!request.isStarved && isWithheld(capacity, request, scarceZone)) return false;
  return isAllowed(capacity, request) && !isAvoided(request, capacity.machineName);
}

function isReservedForOtherJob({ reservation }: FreeCapacity, request: ResourceRequest): boolean {
  return reservation !== null && reservation.jobId !== request.jobId && request.priority > 0;
}

function isWithheld(capacity: FreeCapacity, request: ResourceRequest, scarceZone: string | null): boolean {
  // The ordinary machines of a zone that jobs which must be spread depend on are theirs; what can be stopped for them
  // may use them meanwhile.
  if (
    scarceZone === capacity.zone &&
    !capacity.isSpot &&
    request.isService &&
    !request.zoneAllowance &&
    request.zone === null
  )
    return true;
  // A surplus machine is left to run empty, to be returned.
  return capacity.isSurplus && canWaitForSpot(request);
}
