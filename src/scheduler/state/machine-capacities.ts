/** What machines have to offer to new work: which are fit to be given any, and what is free on them. */

import type { MachineType } from '../../model/machine-type.js';
import { EPSILON } from '../../model/resources.js';
import { lastPossibleLeaseRenewalAt, type Machine, runsUnknownTask } from '../machine.js';
import { emptyMachineCapacity, type FreeCapacity } from '../placement/free-capacity.js';

/** One missed heartbeat with room for its way makes a machine quiet. */
const OVERDUE_AFTER_INTERVALS = 1.25;
const OVERDUE_MARGIN_SECONDS = 1;
/** Multiple of that time after which a machine gets nothing new. */
const UNUSABLE_AFTER_OVERDUE_PERIODS = 1.6;
/** What it counts against a machine that it is quiet, and that jobs failed on it, in seconds of delay. */
const OVERDUE_PENALTY_SECONDS = 10;
const FAILED_JOBS_PENALTY_SECONDS = 20;

/** What the capacities of machines rest on. */
export interface CapacityContext {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly machineTypes: ReadonlyMap<string, MachineType>;
  readonly machinesWithCapacity: ReadonlySet<Machine>;
  /** Ordinary machines without replicas that the reserve lies on. */
  readonly reserveMachines: ReadonlySet<string>;
  /** Until then work is short of places. */
  readonly shortageUntil: number;
  refreshTotals(): void;
}

/** Free capacities by machine. */
export class MachineCapacities {
  /** So long, in ms, a machine may go without a heartbeat before it counts as quiet. */
  readonly overdueAfterMs: number;

  constructor(
    heartbeatIntervalSeconds: number,
    private readonly context: CapacityContext,
  ) {
    this.overdueAfterMs =
      (heartbeatIntervalSeconds * OVERDUE_AFTER_INTERVALS + OVERDUE_MARGIN_SECONDS) * 1000;
  }

  /** Fit to be given work. A machine not heard of lately gets nothing new. */
  isUsable(machine: Machine, now: number): boolean {
    if (
      !machine.isUp ||
      machine.isBeingDeleted ||
      machine.isQuarantined ||
      machine.isDraining ||
      machine.evictionDeadline !== null ||
      machine.directCommands.failures > 0
    )
      return false;
    if (!machine.hasCurrentToken || machine.missedAnswers.count > 0) return false;
    // One that only answers direct commands gets nothing new: all that is placed there dies at the end of its lease.
    return (
      now - lastPossibleLeaseRenewalAt(machine) <= this.overdueAfterMs * UNUSABLE_AFTER_OVERDUE_PERIODS &&
      !runsUnknownTask(machine)
    );
  }

  /** What is free on a machine; null: its type is not known. */
  capacityOf(machine: Machine, now: number): FreeCapacity | null {
    const machineType = this.context.machineTypes.get(machine.machineType);
    if (!machineType || !machine.totals.isTypeKnown) return null;
    const capacity = emptyMachineCapacity(machineType, machine);
    capacity.images = machine.images;
    if (machine.reservation && machine.reservation.until > now) capacity.reservation = machine.reservation;
    capacity.penaltySeconds =
      (now - lastPossibleLeaseRenewalAt(machine) > this.overdueAfterMs ? OVERDUE_PENALTY_SECONDS : 0) +
      (machine.failedJobs.size > 0 ? FAILED_JOBS_PENALTY_SECONDS : 0);
    capacity.isSurplus = this.isSurplus(machine, now);
    capacity.cpus = machine.totals.free.cpus;
    capacity.gpus = machine.totals.free.gpus;
    capacity.memoryGb = machine.totals.free.memoryGb;
    return capacity;
  }

  /** See `FreeCapacity.isSurplus`. */
  isSurplus(machine: Machine, now: number): boolean {
    return (
      !machine.isSpot &&
      machine.totals.replicas === 0 &&
      !this.context.reserveMachines.has(machine.name) &&
      now > this.context.shortageUntil
    );
  }

  /** Free capacity of the machines that have any. */
  freeCapacities(now: number): FreeCapacity[] {
    this.context.refreshTotals();
    const capacities: FreeCapacity[] = [];
    for (const machine of this.context.machinesWithCapacity) {
      const capacity = this.isUsable(machine, now) ? this.capacityOf(machine, now) : null;
      if (capacity) capacities.push(capacity);
    }
    return capacities;
  }

  /** Capacity that services would find if lower work were stopped for them. */
  preemptibleCapacities(now: number): FreeCapacity[] {
    this.context.refreshTotals();
    const capacities: FreeCapacity[] = [];
    for (const machine of this.context.machines.values()) {
      const { batch, free } = machine.totals;
      if (free.cpus + batch.cpus <= EPSILON || !this.isUsable(machine, now)) continue;
      const capacity = this.capacityOf(machine, now);
      if (!capacity) continue;
      capacity.cpus += batch.cpus;
      capacity.gpus += batch.gpus;
      capacity.memoryGb += batch.memoryGb;
      capacities.push(capacity);
    }
    return capacities;
  }
}
