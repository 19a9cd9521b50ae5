/** Capacity that stops under way will free. */

import type { ClusterState } from '../cluster-state.js';
import { lastPossibleLeaseRenewalAt } from '../machine.js';
import { addBack } from './capacity-filter.js';
import type { FreeCapacity } from './free-capacity.js';

/** A machine not heard for so long may not have heard of its stops. */
const MAX_SILENCE_MS = 10_000;

/** What will be free once the tasks being stopped are gone. */
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
