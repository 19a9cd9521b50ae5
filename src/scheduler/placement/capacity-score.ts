/** How well a machine suits a request. */

import { imageFetchSecondsOn } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';
import type { FreeCapacity } from './free-capacity.js';

// All weights are in seconds, to be weighed against the time that fetching an image takes.

/** What a machine that would be left wholly free costs against one that would be full. */
const PACKING_WEIGHT_SECONDS = 2;
/** For a replica: each image that the machine holds. */
const CACHED_IMAGE_PENALTY_SECONDS = 0.1;
/** Where a task of the job was placed last. */
const PREFERRED_MACHINE_BONUS_SECONDS = 1;
/** An ordinary machine for work that may use spot instances. */
const ON_DEMAND_PENALTY_SECONDS = 4;
/** An ordinary machine of the scarce zone for work that need not be spread. */
const SCARCE_ZONE_PENALTY_SECONDS = 6;

/** Seconds-like score of a machine for a request, lower is better: image fetch, then packing, then kind of machine. */
export function score(capacity: FreeCapacity, request: ResourceRequest, scarceZone: string | null): number {
  let seconds = capacity.penaltySeconds;
  if (capacity.images && !capacity.images.has(request.image))
    seconds += imageFetchSecondsOn(capacity, request.imageGb);
  // Fullest machine first, so that others empty and can be returned.
  seconds += (PACKING_WEIGHT_SECONDS * (capacity.cpus - request.cpus)) / Math.max(1, capacity.totalCpus);
  // Replicas leave machines with many images to those that come next.
  if (request.isService && capacity.images) seconds += CACHED_IMAGE_PENALTY_SECONDS * capacity.images.size;
  if (request.preferredMachine === capacity.machineName) seconds -= PREFERRED_MACHINE_BONUS_SECONDS;
  // Work that may use spot instances leaves the ordinary machines to work that may not.
  if (request.spotAllowed && !capacity.isSpot) seconds += ON_DEMAND_PENALTY_SECONDS;
  if (scarceZone === capacity.zone && !capacity.isSpot && !request.zoneAllowance)
    seconds += SCARCE_ZONE_PENALTY_SECONDS;
  return seconds;
}
