/** Capacity of machines on which tasks are being stopped. */

import type { ClusterState } from '../cluster-state.js';
import { lastPossibleLeaseRenewalAt } from '../machine.js';
import { addBack } from './capacity-filter.js';
import type { FreeCapacity } from './free-capacity.js';

/** A machine without a heartbeat for this long may not have received its stop commands. */
const MAX_SILENCE_MS = 10_000;

/**
 * Free capacities of the machines with tasks being stopped, as they will be once these tasks have stopped,
 * including what is free already. Leaves out machines that are being deleted, quarantined, about to be
 * reclaimed by the cloud, or silent. Ignores reservations and score penalties.
 */
export function capacitiesBeingFreed(state: ClusterState, now: number): FreeCapacity[] {
  const capacities: FreeCapacity[] = [];
  for (const machine of state.machinesWithStops) {
    if (
      machine.isBeingDeleted ||
      machine.isQuarantined ||
      machine.evictionDeadline !== null ||
      now - lastPossibleLeaseRenewalAt(machine) >= MAX_SILENCE_MS
    )
      continue;
    const capacity = state.capacityOf(machine, now);
    if (!capacity) continue;
    addBack(capacity, machine.totals.stopping);
    capacity.penaltySeconds = 0;
    capacity.reservation = null;
    capacities.push(capacity);
  }
  return capacities;
}
