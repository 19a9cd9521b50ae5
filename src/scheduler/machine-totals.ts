/** Totals of the allocations on one machine. */

import type { Resources } from '../model/resources.js';
import { type Allocation, usesCapacity } from './allocation.js';

/** Totals over the allocations of a machine. */
export interface MachineTotals {
  /** Whether the machine's type was known, so that `free` is valid. */
  isTypeKnown: boolean;
  /** Capacity that no allocation uses. */
  free: Resources;
  /**
   * Resources used by array and gang tasks below the highest priority, which may be preempted for services.
   */
  preemptible: Resources;
  /** Resources used by tasks that are being stopped, or whose owners were asked to stop them. */
  stopping: Resources;
  /** Resources in use, by team. */
  teams: { team: string; cpus: number; gpus: number }[];
  replicas: number;
  replicaCpus: number;
  batchTasks: number;
  /** Allocations without a stored outcome. A machine with none is empty, even if it lists exited attempts. */
  unfinishedTasks: number;
  /** Whether a start or stop command may have to be sent to the machine's worker. */
  hasPendingCommands: boolean;
  /** Number of allocations that use capacity and are to run, by priority. */
  runningByPriority: [number, number, number, number];
}

/** Returns the totals of a machine of unknown type without allocations. */
export function emptyTotals(): MachineTotals {
  const zero = () => ({ cpus: 0, gpus: 0, memoryGb: 0 });
  return {
    isTypeKnown: false,
    free: zero(),
    preemptible: zero(),
    stopping: zero(),
    teams: [],
    replicas: 0,
    replicaCpus: 0,
    batchTasks: 0,
    unfinishedTasks: 0,
    hasPendingCommands: false,
    runningByPriority: [0, 0, 0, 0],
  };
}

/** Computes the totals of a machine of this size; undefined: the machine's type is not known. */
export function totalsOf(allocations: Iterable<Allocation>, size: Resources | undefined): MachineTotals {
  const totals = emptyTotals();
  if (size) {
    totals.isTypeKnown = true;
    totals.free = { cpus: size.cpus, gpus: size.gpus, memoryGb: size.memoryGb };
  }
  for (const allocation of allocations) {
    if (allocation.desiredState !== 'forget') totals.unfinishedTasks++;
    if (
      allocation.desiredState === 'stop' ||
      (allocation.desiredState === 'run' && !allocation.reportedStatus)
    )
      totals.hasPendingCommands = true;
    if (usesCapacity(allocation)) addUsedCapacity(totals, allocation);
  }
  return totals;
}

function addUsedCapacity(totals: MachineTotals, allocation: Allocation): void {
  addResources(totals.free, allocation, -1);
  if (allocation.desiredState === 'stop' || allocation.evictionRequestedAt)
    addResources(totals.stopping, allocation);
  const usage = totals.teams.find((each) => each.team === allocation.team);
  if (usage) {
    usage.cpus += allocation.cpus;
    usage.gpus += allocation.gpus;
  } else totals.teams.push({ team: allocation.team, cpus: allocation.cpus, gpus: allocation.gpus });
  if (allocation.isService) {
    totals.replicas++;
    totals.replicaCpus += allocation.cpus;
  } else {
    totals.batchTasks++;
    if (allocation.priority > 0) addResources(totals.preemptible, allocation);
  }
  if (allocation.desiredState === 'run') totals.runningByPriority[allocation.priority]++;
}

function addResources(sum: Resources, amount: Resources, sign = 1): void {
  sum.cpus += sign * amount.cpus;
  sum.gpus += sign * amount.gpus;
  sum.memoryGb += sign * amount.memoryGb;
}
