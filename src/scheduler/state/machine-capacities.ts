/** The capacity that machines offer to new work: which machines are usable, and how much of each is free. */

import type { MachineType } from '../../model/machine-type.js';
import { EPSILON } from '../../model/resources.js';
import { lastPossibleLeaseRenewalAt, type Machine, runsUnknownTask } from '../machine.js';
import { emptyMachineCapacity, type FreeCapacity } from '../placement/free-capacity.js';

/** A heartbeat is overdue after one missed interval, with a margin for the message delay. */
const OVERDUE_AFTER_INTERVALS = 1.25;
const OVERDUE_MARGIN_SECONDS = 1;
/** Multiple of `overdueAfterMs` without a heartbeat after which a machine gets no new work. */
const UNUSABLE_AFTER_OVERDUE_PERIODS = 1.6;
/** Score penalties for a machine whose heartbeat is overdue, and for one on which jobs failed. */
const OVERDUE_PENALTY_SECONDS = 10;
const FAILED_JOBS_PENALTY_SECONDS = 20;

/** The cluster state from which capacities are computed. */
export interface CapacityContext {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly machineTypes: ReadonlyMap<string, MachineType>;
  readonly machinesWithCapacity: ReadonlySet<Machine>;
  /**
   * Names of the machines that hold the service reserve: the capacity kept free for new replicas of services.
   */
  readonly reserveMachines: ReadonlySet<string>;
  /** Until this time capacity counts as short, and no machine is surplus. */
  readonly shortageUntil: number;
  refreshTotals(): void;
}

/** Computes the capacity of each machine for new work. */
export class MachineCapacities {
  /** Milliseconds without a heartbeat after which a machine's heartbeat is overdue. */
  readonly overdueAfterMs: number;

  constructor(
    heartbeatIntervalSeconds: number,
    private readonly context: CapacityContext,
  ) {
    this.overdueAfterMs =
      (heartbeatIntervalSeconds * OVERDUE_AFTER_INTERVALS + OVERDUE_MARGIN_SECONDS) * 1000;
  }

  /**
   * Whether new work may be placed on a machine. The machine must be up, and must not be quarantined or about
   * to leave. Its worker must have reported the current fencing token, must have sent a recent heartbeat and
   * must seem to receive responses and direct commands. It must run no task without an allocation.
   */
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
    if (!machine.hasCurrentToken || machine.missedResponses.count > 0) return false;
    // A machine that only answers direct commands is not usable: tasks on it would end with its lease.
    return (
      now - lastPossibleLeaseRenewalAt(machine) <= this.overdueAfterMs * UNUSABLE_AFTER_OVERDUE_PERIODS &&
      !runsUnknownTask(machine)
    );
  }

  /** The free capacity of a machine; null while its type is not known. */
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

  /** Whether a machine is surplus; see {@link FreeCapacity.isSurplus}. */
  isSurplus(machine: Machine, now: number): boolean {
    return (
      !machine.isSpot &&
      machine.totals.replicas === 0 &&
      !this.context.reserveMachines.has(machine.name) &&
      now > this.context.shortageUntil
    );
  }

  /** The free capacity of each usable machine that has free CPUs. */
  freeCapacities(now: number): FreeCapacity[] {
    this.context.refreshTotals();
    const capacities: FreeCapacity[] = [];
    for (const machine of this.context.machinesWithCapacity) {
      const capacity = this.isUsable(machine, now) ? this.capacityOf(machine, now) : null;
      if (capacity) capacities.push(capacity);
    }
    return capacities;
  }

  /** The capacity of each usable machine that is free or could be freed by preempting batch tasks. */
  preemptibleCapacities(now: number): FreeCapacity[] {
    this.context.refreshTotals();
    const capacities: FreeCapacity[] = [];
    for (const machine of this.context.machines.values()) {
      const { preemptible, free } = machine.totals;
      if (free.cpus + preemptible.cpus <= EPSILON || !this.isUsable(machine, now)) continue;
      const capacity = this.capacityOf(machine, now);
      if (!capacity) continue;
      capacity.cpus += preemptible.cpus;
      capacity.gpus += preemptible.gpus;
      capacity.memoryGb += preemptible.memoryGb;
      capacities.push(capacity);
    }
    return capacities;
  }
}
