/** Requests that find the same machines: what the first of them does not find, the others need not look for. */

import type { ResourceRequest } from '../../model/placement.js';
import { canWaitForSpot } from './capacity-filter.js';

const keyCache = new WeakMap<ResourceRequest, string>();

/**
 * Requests of one key find capacity on the same machines, or on none: free capacity only shrinks in a pass, so that what the
 * first of them did not find the others need not look for. What ties a request to itself (machines it avoids, capacity
 * reserved for it) is not part of it.
 */
export function equivalenceKey(request: ResourceRequest): string {
  let key = keyCache.get(request);
  if (key === undefined) {
    key = buildKey(request);
    keyCache.set(request, key);
  }
  return key;
}

function buildKey(request: ResourceRequest): string {
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
    request.zoneAllowance ? JSON.stringify(request.zoneAllowance) : '',
    request.defaultZoneAllowance,
    request.zoneAffinity,
    canWaitForSpot(request),
    request.isStarved === true,
  ].join('|');
}
