/** Free capacity of one machine, actual or expected, as placement and autoscaling use it. */

import type { MachineType } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';

/** Type, zone and kind (on-demand or spot) of a machine that is rented or can be. */
export interface MachineOffer {
  machineType: string;
  zone: string;
  isSpot: boolean;
}

/** Free capacity of one machine. Placement subtracts from it, so each pass works on its own copies. */
export interface FreeCapacity {
  /** Name of the machine; empty if it is not rented yet. */
  machineName: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  totalCpus: number;
  /** Sizes in GB of the images that the machine holds, by image; null: its images are not considered. */
  images: ReadonlyMap<string, number> | null;
  imageFetchGbPerSecond: number;
  /** Penalty added to the machine's placement score if its heartbeat is overdue or jobs have failed on it. */
  penaltySeconds: number;
  /** The job for which tasks were preempted on the machine; null: none. See `Machine.reservation`. */
  reservation: { jobId: string; priority: number } | null;
  /**
   * Whether this is an on-demand machine without service replicas and outside the service reserve (the
   * capacity kept available for new replicas), while there is no shortage of capacity: work that can wait for
   * spot machines stays off it, so that it can be returned.
   */
  isSurplus: boolean;
}

/** A number of tasks of a request that need capacity. */
export interface CapacityDemand {
  request: ResourceRequest;
  count: number;
}

/**
 * Capacity of a machine of this type without tasks, penalty or reservation; the name is empty for a machine
 * that is not rented.
 */
export function emptyMachineCapacity(
  machineType: MachineType,
  machine: { name: string; zone: string; isSpot: boolean },
): FreeCapacity {
  return {
    machineName: machine.name,
    machineType: machineType.name,
    zone: machine.zone,
    isSpot: machine.isSpot,
    cpus: machineType.cpus,
    gpus: machineType.gpus,
    memoryGb: machineType.memoryGb,
    totalCpus: machineType.cpus,
    images: null,
    imageFetchGbPerSecond: machineType.imageFetchGbPerSecond,
    penaltySeconds: 0,
    reservation: null,
    isSurplus: false,
  };
}

/** Copies capacities for trial placements. */
export function copyCapacities(capacities: readonly FreeCapacity[]): FreeCapacity[] {
  return capacities.map((capacity) => ({ ...capacity }));
}
