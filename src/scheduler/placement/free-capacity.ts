/** Free capacity of one machine, real or expected, as placement and autoscaling reckon with it. */

import type { MachineType } from '../../model/machine-type.js';
import type { ResourceRequest } from '../../model/placement.js';

/** A machine that may be rented or has been: its type, its zone, and whether it is a spot instance. */
export interface MachineOffer {
  machineType: string;
  zone: string;
  isSpot: boolean;
}

/** What is free on one machine. Placing subtracts from it: each pass works on its own copies. */
export interface FreeCapacity {
  /** Empty: a machine that is not rented yet. */
  machineName: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  totalCpus: number;
  /** Images that the machine holds, with their gigabytes; null: it holds none yet. */
  images: ReadonlyMap<string, number> | null;
  imageFetchGbPerSecond: number;
  /** Seconds added to its score: a machine not heard lately, or slow. */
  penaltySeconds: number;
  reservation: { jobId: string; priority: number } | null;
  /** Ordinary, without replicas and no part of the reserve: kept only as long as work can't wait. */
  isSurplus: boolean;
}

/** Tasks of a request that are still without a machine. */
export interface CapacityDemand {
  request: ResourceRequest;
  count: number;
}

/** Capacity of a machine of this type with nothing on it; its name is empty while it is not rented. */
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

/** Copies to place into on trial. */
export function copyCapacities(capacities: readonly FreeCapacity[]): FreeCapacity[] {
  return capacities.map((capacity) => ({ ...capacity }));
}
