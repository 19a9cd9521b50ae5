/** Requests spot machines to replace on-demand machines that run batch work. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState } from '../cluster-state.js';
import type { CapacityDemand } from '../placement/free-capacity.js';

/**
 * Demand for spot machines in place of the on-demand machines that run only batch work. Once spot machines
 * are available, the work moves to them task by task and the on-demand machines become idle.
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

/**
 * CPUs of preemptible batch work on the on-demand machines that could be replaced, less what is free on spot
 * machines.
 */
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
    if (machine.isUp) cpus += machine.totals.preemptible.cpus;
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
