/** Equivalence classes of requests: if one request finds no capacity, equivalent ones need not search. */

import type { ResourceRequest } from '../../model/placement.js';
import { canWaitForSpot } from './capacity-filter.js';

const keyCache = new WeakMap<ResourceRequest, string>();

/**
 * Key of a request's equivalence class. Requests with the same key can use the same machines. As free
 * capacity only shrinks during a pass, the others need not search for what the first of them did not find.
 * Properties of a single request, such as machines that it excludes or capacity reserved for its job, are not
 * part of the key.
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
