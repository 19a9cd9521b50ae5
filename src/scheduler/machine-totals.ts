/** What the allocations of one machine come to. */

import type { Resources } from '../model/resources.js';
import { type Allocation, usesCapacity } from './allocation.js';

/** Sums over the allocations of a machine. */
export interface MachineTotals {
  /** Its type was known: `free` means something. */
  isTypeKnown: boolean;
  free: Resources;
  /** Taken by arrays and gangs, which may be stopped for services. */
  batch: Resources;
  /** Taken by tasks that are being stopped. */
  stopping: Resources;
  teams: { team: string; cpus: number; gpus: number }[];
  replicas: number;
  replicaCpus: number;
  batchTasks: number;
  /** Allocations whose outcome is not stored yet: a machine without any is empty, whatever it still lists as ended. */
  unfinishedTasks: number;
  /** Something may have to be sent at once: a start or a stop. */
  hasPendingCommands: boolean;
  /** Allocations that are to run, by priority. */
  runningByPriority: [number, number, number, number];
}

/** The totals of a machine without allocations and of unknown type. */
export function emptyTotals(): MachineTotals {
  const zero = () => ({ cpus: 0, gpus: 0, memoryGb: 0 });
  return {
    isTypeKnown: false,
    free: zero(),
    batch: zero(),
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

/** Sums up allocations on a machine of this size; undefined: its type is not known. */
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
    if (allocation.priority > 0) addResources(totals.batch, allocation);
  }
  if (allocation.desiredState === 'run') totals.runningByPriority[allocation.priority]++;
}

function addResources(sum: Resources, amount: Resources, sign = 1): void {
  sum.cpus += sign * amount.cpus;
  sum.gpus += sign * amount.gpus;
  sum.memoryGb += sign * amount.memoryGb;
}
