/** Moves work from ordinary machines to spot instances. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState } from '../cluster-state.js';
import type { CapacityDemand } from '../placement/free-capacity.js';

/**
 * Work on ordinary machines that are there for it alone, as a request that only spot instances serve: when some are to
 * be had, it moves there task by task and the ordinary ones run empty.
 */
export function spotReplacementDemand(state: ClusterState, now: number): CapacityDemand[] {
  const cpus = replaceableCpus(state, now);
  const largest = largestSpotRequest(state);
  if (!largest || cpus < largest.cpus) return [];
  const request: ResourceRequest = {
    ...largest,
    jobId: '',
    avoidedMachines: [],
    preferredMachine: '',
    machineTypes: null,
    slackSeconds: null,
    spotOnly: true,
  };
  return [{ request, count: Math.floor(cpus / largest.cpus) }];
}

/** CPUs of that work, less what is free on spot instances. */
function replaceableCpus(state: ClusterState, now: number): number {
  let cpus = 0;
  for (const machine of state.machines.values()) {
    if (
      machine.isSpot ||
      machine.isBeingDeleted ||
      machine.totals.replicas > 0 ||
      state.reserveMachines.has(machine.name)
    )
      continue;
    if (machine.isUp) cpus += machine.totals.batch.cpus;
  }
  for (const machine of state.machinesWithCapacity)
    if (machine.isSpot && state.isUsable(machine, now)) cpus -= machine.totals.free.cpus;
  return cpus;
}

function largestSpotRequest(state: ClusterState): ResourceRequest | null {
  let largest: ResourceRequest | null = null;
  for (const requests of state.requests.values())
    for (const request of requests) {
      if (!request.spotAllowed || request.isService || request.isGang) continue;
      if (!largest || request.cpus > largest.cpus) largest = request;
    }
  return largest;
}
