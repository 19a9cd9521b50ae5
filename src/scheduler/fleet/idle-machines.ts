/** Returns machines that stand empty. */

import { slotsIn } from '../../model/resources.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import { fits, isAllowed } from '../placement/capacity-filter.js';
import { fill } from '../placement/fill.js';
import {
  type CapacityDemand,
  copyCapacities,
  emptyMachineCapacity,
  type FreeCapacity,
} from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { ServiceReserve } from './service-reserve.js';

/** So long a new leader lets heartbeats speak first. */
const MIN_LEADERSHIP_MS = 5000;
/** Regular heartbeats within which a machine that is up would have been heard by a new leader. */
const AWAITED_HEARTBEATS = 4;
/** A machine heard within this time may be coming up. */
const HEARD_LATELY_MS = 10_000;
/** Of a machine whose type is not listed. */
const DEFAULT_BOOT_SECONDS = 30;
const DEFAULT_IDLE_MS = 60_000;
/** A surplus machine is returned after this share of the time. */
const SURPLUS_IDLE_SHARE = 0.5;
/** Added to the score of idle machines: the reserve takes them last. */
const IDLE_PENALTY_SECONDS = 1000;

/** Removes a machine, and says why. */
export type RemoveMachine = (machine: Machine, reason: string) => void;

/** Finds machines that nothing needs any more. */
export class IdleMachines {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly parts: { reserve: ServiceReserve; remove: RemoveMachine },
  ) {}

  /** Removes empty machines that neither the unplaced work nor the reserve of services needs. */
  returnIdle(now: number, unplaced: readonly CapacityDemand[]): void {
    if (!this.state.areAllOwnersSynced() || now - this.state.startedAt < MIN_LEADERSHIP_MS) return;
    this.state.refreshTotals();
    const idle = this.findIdle(now);
    if (idle.size === 0) return;
    this.keepForUnplaced(idle, unplaced);
    this.keepForReserve(idle, now);
    for (const machine of idle.values()) this.parts.remove(machine, 'idle');
  }

  /** Machines idle for long enough, by name; removes on the way those that can't be of use any more. */
  private findIdle(now: number): Map<string, Machine> {
    const maxIdleMs = this.maxIdleMsByType();
    const idle = new Map<string, Machine>();
    for (const machine of this.state.machines.values()) {
      if (machine.isBeingDeleted) continue;
      if (!machine.isUp) this.removeIfBootFailed(machine, now);
      else if (!isEmpty(machine)) continue;
      else if (machine.isQuarantined || machine.isDraining || machine.evictionDeadline !== null)
        this.parts.remove(machine, 'empty, and not used any more');
      else if (this.hasIdledLong(machine, maxIdleMs, now)) idle.set(machine.name, machine);
    }
    return idle;
  }

  private hasIdledLong(machine: Machine, maxIdleMs: ReadonlyMap<string, number>, now: number): boolean {
    if (this.state.machinesReservedForGangs.has(machine.name)) return false;
    const maxMs = maxIdleMs.get(machine.machineType) ?? DEFAULT_IDLE_MS;
    return now - machine.idleSince >= (this.isSurplus(machine, now) ? maxMs * SURPLUS_IDLE_SHARE : maxMs);
  }

  private maxIdleMsByType(): Map<string, number> {
    const input = this.state.policyInput();
    const maxIdleMs = new Map<string, number>();
    for (const { name, bootSeconds } of this.state.machineTypes.values())
      maxIdleMs.set(name, this.options.policy({ ...input, bootSeconds: bootSeconds }).maxIdleSeconds * 1000);
    return maxIdleMs;
  }

  private isSurplus(machine: Machine, now: number): boolean {
    return !machine.isSpot && !this.state.reserveMachines.has(machine.name) && now > this.state.shortageUntil;
  }

  private removeIfBootFailed(machine: Machine, now: number): void {
    const { heartbeatIntervalSeconds, leaseSeconds } = this.options.workerTiming;
    const bootSeconds = this.state.machineTypes.get(machine.machineType)?.bootSeconds ?? DEFAULT_BOOT_SECONDS;
    // Up under an earlier leader and not heard by this one: behind a network partition, or on its way here.
    if (machine.isListedAsRunning && now - machine.lastHeardAt < leaseSeconds * 1000) return;
    if (
      now - machine.rentedAt > bootSeconds * 1000 * this.state.policy.maxBootTimeFactor &&
      now - this.state.startedAt > heartbeatIntervalSeconds * (AWAITED_HEARTBEATS * 1000) &&
      machine.allocations.size === 0 &&
      now - machine.lastHeardAt > HEARD_LATELY_MS
    )
      this.parts.remove(machine, 'did not come up in time');
  }

  private keepForUnplaced(idle: Map<string, Machine>, unplaced: readonly CapacityDemand[]): void {
    for (const machine of idle.values()) {
      const machineType = this.state.machineTypes.get(machine.machineType);
      if (!machineType) continue;
      const capacity = emptyMachineCapacity(machineType, machine);
      if (unplaced.some(({ request }) => fits(capacity, request) && isAllowed(capacity, request)))
        idle.delete(machine.name);
    }
  }

  /** The reserve takes idle machines last; those that it needs all the same are kept. */
  private keepForReserve(idle: Map<string, Machine>, now: number): void {
    const capacities = this.state.preemptibleCapacities(now);
    for (const capacity of capacities)
      if (idle.has(capacity.machineName)) capacity.penaltySeconds += IDLE_PENALTY_SECONDS;
    const unreserved = copyCapacities(capacities);
    for (const demand of this.parts.reserve.warmDemand(now)) keepWarm(idle, unreserved, demand);
    // What is kept for its image serves the reserve as well.
    for (const capacity of capacities)
      if (capacity.penaltySeconds >= IDLE_PENALTY_SECONDS && !idle.has(capacity.machineName))
        capacity.penaltySeconds -= IDLE_PENALTY_SECONDS;
    const { scarceZone } = this.state;
    for (const demand of this.parts.reserve.demand())
      fill(capacities, demand, { scarceZone, onPlaced: ({ machineName }) => idle.delete(machineName) });
  }
}

/** Runs nothing and lists nothing that runs. */
function isEmpty(machine: Machine): boolean {
  if (machine.totals.unfinishedTasks > 0) return false;
  for (const task of machine.tasks.values()) if (task.phase !== 'exited') return false;
  return true;
}

/** Keeps as many idle machines that hold the image as the others that hold it don't suffice. */
function keepWarm(
  idle: Map<string, Machine>,
  capacities: readonly FreeCapacity[],
  { request, count }: CapacityDemand,
): void {
  const warm = capacities.filter(
    (capacity) => !capacity.isSpot && capacity.images?.has(request.image) && fits(capacity, request),
  );
  let slots = 0;
  for (const capacity of warm) if (!idle.has(capacity.machineName)) slots += slotsIn(capacity, request);
  for (const capacity of warm) {
    if (slots >= count) break;
    if (!idle.has(capacity.machineName)) continue;
    slots += slotsIn(capacity, request);
    idle.delete(capacity.machineName);
  }
}
