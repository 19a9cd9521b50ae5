/** Capacity of rented machines that are about to come up. */

import type { ClusterState } from '../cluster-state.js';
import { emptyMachineCapacity, type FreeCapacity } from './free-capacity.js';

/** Multiple of a type's boot time after which a machine that is not up is no longer counted on: it may never come. */
const OVERDUE_BOOT_TIME_FACTOR = 1.6;

/** Capacities of the machines that were rented and are about to come up. */
export function bootingCapacities(state: ClusterState, now: number): FreeCapacity[] {
  const capacities: FreeCapacity[] = [];
  for (const machine of state.machines.values()) {
    const type = state.machineTypes.get(machine.machineType);
    if (machine.isUp || machine.isBeingDeleted || !type) continue;
    if (now - machine.rentedAt > type.bootSeconds * OVERDUE_BOOT_TIME_FACTOR * 1000) continue;
    capacities.push(emptyMachineCapacity(type, machine));
  }
  return capacities;
}
