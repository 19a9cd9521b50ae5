/** Scores how well a machine suits a request. */

import { imageFetchSecondsOn } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';
import type { FreeCapacity } from './free-capacity.js';

// All weights of the score are in seconds, so that they compare with the time that fetching an image takes.

/** Penalty for a machine with all its CPUs left free, compared with one with none left free. */
const PACKING_WEIGHT_SECONDS = 2;
/** Penalty for service replicas, for each image that the machine holds. */
const CACHED_IMAGE_PENALTY_SECONDS = 0.1;
/** Bonus for the machine on which a task of the job last finished. */
const PREFERRED_MACHINE_BONUS_SECONDS = 1;
/** Penalty for an on-demand machine if the request may use spot machines. */
const ON_DEMAND_PENALTY_SECONDS = 4;
/** Penalty for an on-demand machine of the scarce zone if the request need not be spread over zones. */
const SCARCE_ZONE_PENALTY_SECONDS = 6;

/**
 * Scores a machine by its penalty, the image fetch, packing, the images that it holds, the preferred machine,
 * its kind, and the scarce zone (see `findScarceZone`). The unit is seconds; lower is better. A capacity
 * without a list of images is scored without an image fetch.
 */
export function score(capacity: FreeCapacity, request: ResourceRequest, scarceZone: string | null): number {
  let seconds = capacity.penaltySeconds;
  if (capacity.images && !capacity.images.has(request.image))
    seconds += imageFetchSecondsOn(capacity, request.imageGb);
  // Prefers the fullest machine, so that others become empty and can be returned.
  seconds += (PACKING_WEIGHT_SECONDS * (capacity.cpus - request.cpus)) / Math.max(1, capacity.totalCpus);
  // Replicas leave machines that hold many images to later requests.
  if (request.isService && capacity.images) seconds += CACHED_IMAGE_PENALTY_SECONDS * capacity.images.size;
  if (request.preferredMachine === capacity.machineName) seconds -= PREFERRED_MACHINE_BONUS_SECONDS;
  // Work that may use spot machines leaves the on-demand machines to work that may not.
  if (request.spotAllowed && !capacity.isSpot) seconds += ON_DEMAND_PENALTY_SECONDS;
  if (scarceZone === capacity.zone && !capacity.isSpot && !request.zoneAllowance)
    seconds += SCARCE_ZONE_PENALTY_SECONDS;
  return seconds;
}
