/**
 * Equivalence classes of requests, so that a pass need not repeat a search for capacity that failed for an
 * equivalent request.
 */

import type { ResourceRequest } from '../../model/placement.js';
import { canWaitForSpot } from './capacity-filter.js';

const keyCache = new WeakMap<ResourceRequest, string>();

/**
 * Key of a request's equivalence class. Requests with the same key meet the same conditions on each machine,
 * except for the machines that a request excludes and the capacity that is reserved for its job: neither is
 * part of the key. Free capacity only shrinks during a pass, so as soon as some tasks of a request find none,
 * equivalent requests later in the pass need not search. With `fill`, under a zone allowance or zone
 * affinity, this holds only if none of the tasks finds capacity: otherwise the rest may have lacked an
 * allowed zone.
 *
 * Callers must not record such a result of a request that excludes machines (`excludesAnyMachine`), and must
 * not apply one to a request whose job has reserved capacity that the search would consider.
 *
 * The key serves searches of free capacity, of capacity being freed, and of tasks to preempt; callers append
 * what else a search depends on. Priority is part of the key because requests of priority 0 may use capacity
 * reserved for other jobs, and team and priority because both decide which tasks may be preempted. Gangs must
 * not be looked up, since the key leaves out `isGang`; a request for single tasks of a gang may be.
 *
 * The key is cached per request object, so the properties that it contains must not change afterwards.
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
