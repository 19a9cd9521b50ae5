import type { ClusterState } from '../cluster-state.js';
import { emptyCapacity, type FreeCapacity } from './free-capacity.js';

/** Multiple of a type's boot time after which a machine that is not up is no longer counted on: it may never come. */
const LATE_BOOT = 1.6;

/** Rooms of the machines that were rented and are about to come up. */
export function bootingCapacities(state: ClusterState, now: number): FreeCapacity[] {
  const capacities: FreeCapacity[] = [];
  for (const machine of state.machines.values()) {
    const type = state.machineTypes.get(machine.machineType);
    if (machine.isUp || machine.isBeingDeleted || !type) continue;
    if (now - machine.rentedAt > type.bootSeconds * LATE_BOOT * 1000) continue;
    capacities.push(emptyCapacity(type, machine.zone, machine.isSpot, machine.name));
  }
  return capacities;
}
