/** Expected capacity of rented machines that are still booting. */

import type { ClusterState } from '../cluster-state.js';
import { emptyMachineCapacity, type FreeCapacity } from './free-capacity.js';

/**
 * Multiple of a machine type's boot time after which a booting machine is overdue: its boot may have failed,
 * so its capacity is no longer expected.
 */
const OVERDUE_BOOT_TIME_FACTOR = 1.6;

/** Capacities of the machines that are booting and not overdue. */
export function bootingCapacities(state: ClusterState, now: number): FreeCapacity[] {
  const capacities: FreeCapacity[] = [];
  for (const machine of state.machines.values()) {
    const machineType = state.machineTypes.get(machine.machineType);
    if (machine.isUp || machine.isBeingDeleted || !machineType) continue;
    if (now - machine.rentedAt > machineType.bootSeconds * OVERDUE_BOOT_TIME_FACTOR * 1000) continue;
    capacities.push(emptyMachineCapacity(machineType, machine));
  }
  return capacities;
}
