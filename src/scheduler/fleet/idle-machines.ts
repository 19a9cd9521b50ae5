/** Returns idle machines to the cloud. */

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

/** How long a new leader waits for heartbeats before it returns machines. */
const MIN_LEADERSHIP_MS = 5000;
/** Number of heartbeat intervals within which a new leader hears from every machine that is up. */
const AWAITED_HEARTBEATS = 4;
/** A machine heard from within this time may be starting up. */
const RECENTLY_HEARD_MS = 10_000;
/** Boot time and maximum idle time assumed for a machine whose type is not listed. */
const DEFAULT_BOOT_SECONDS = 30;
const DEFAULT_IDLE_MS = 60_000;
/** A surplus machine is returned after this share of the maximum idle time. */
const SURPLUS_IDLE_SHARE = 0.5;
/**
 * Penalty added to the placement score of idle machines, so that the service reserve (the capacity kept
 * available for new replicas) uses them last.
 */
const IDLE_PENALTY_SECONDS = 1000;

/** Queues a machine for deletion; the reason is logged. */
export type DeleteMachine = (machine: Machine, reason: string) => void;

/** Finds and returns machines that are no longer needed. */
export class IdleMachines {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly components: { reserve: ServiceReserve; deleteMachine: DeleteMachine },
  ) {}

  /** Returns idle machines that neither unplaced work nor the service reserve needs. */
  deleteIdle(now: number, unplaced: readonly CapacityDemand[]): void {
    if (!this.state.areAllTeamsSynced() || now - this.state.startedAt < MIN_LEADERSHIP_MS) return;
    this.state.refreshTotals();
    const idle = this.findIdle(now);
    if (idle.size === 0) return;
    this.keepForUnplaced(idle, unplaced);
    this.keepForReserve(idle, now);
    for (const machine of idle.values()) this.components.deleteMachine(machine, 'idle');
  }

  /**
   * Finds machines that have been idle for long enough, by name. Machines that failed to boot, and empty ones
   * that get no more work, are deleted on the way.
   */
  private findIdle(now: number): Map<string, Machine> {
    const maxIdleMs = this.maxIdleMsByType();
    const idle = new Map<string, Machine>();
    for (const machine of this.state.machines.values()) {
      if (machine.isBeingDeleted) continue;
      if (!machine.isUp) this.deleteIfBootFailed(machine, now);
      else if (!isEmpty(machine)) continue;
      else if (machine.isQuarantined || machine.isDraining || machine.evictionDeadline !== null)
        this.components.deleteMachine(machine, 'empty and no longer usable');
      else if (this.isIdleLongEnough(machine, maxIdleMs, now)) idle.set(machine.name, machine);
    }
    return idle;
  }

  private isIdleLongEnough(machine: Machine, maxIdleMs: ReadonlyMap<string, number>, now: number): boolean {
    if (this.state.machinesReservedForGangs.has(machine.name)) return false;
    const maxMs = maxIdleMs.get(machine.machineType) ?? DEFAULT_IDLE_MS;
    return now - machine.idleSince >= (this.isSurplus(machine, now) ? maxMs * SURPLUS_IDLE_SHARE : maxMs);
  }

  private maxIdleMsByType(): Map<string, number> {
    const input = this.state.policyInput();
    const maxIdleMs = new Map<string, number>();
    for (const { name, bootSeconds } of this.state.machineTypes.values())
      maxIdleMs.set(name, this.options.policy({ ...input, bootSeconds }).maxIdleSeconds * 1000);
    return maxIdleMs;
  }

  /** Like {@link ClusterState.isSurplus}, for a machine that is known to be empty. */
  private isSurplus(machine: Machine, now: number): boolean {
    return !machine.isSpot && !this.state.reserveMachines.has(machine.name) && now > this.state.shortageUntil;
  }

  private deleteIfBootFailed(machine: Machine, now: number): void {
    const { heartbeatIntervalSeconds, leaseSeconds } = this.options.workerTiming;
    const bootSeconds = this.state.machineTypes.get(machine.machineType)?.bootSeconds ?? DEFAULT_BOOT_SECONDS;
    // The machine was up under an earlier leader and has not reached this one yet: it is behind a network
    // partition, or its worker is still looking for the leader.
    if (machine.isListedAsRunning && now - machine.lastHeardAt < leaseSeconds * 1000) return;
    if (
      now - machine.rentedAt > bootSeconds * 1000 * this.state.policy.maxBootTimeFactor &&
      now - this.state.leaderSince > heartbeatIntervalSeconds * (AWAITED_HEARTBEATS * 1000) &&
      machine.allocations.size === 0 &&
      now - machine.lastHeardAt > RECENTLY_HEARD_MS
    )
      this.components.deleteMachine(machine, 'did not come up in time');
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

  /** Keeps idle machines that the service reserve needs in addition to the machines in use. */
  private keepForReserve(idle: Map<string, Machine>, now: number): void {
    const capacities = this.state.preemptibleCapacities(now);
    for (const capacity of capacities)
      if (idle.has(capacity.machineName)) capacity.penaltySeconds += IDLE_PENALTY_SECONDS;
    const unreserved = copyCapacities(capacities);
    for (const demand of this.components.reserve.warmDemand(now)) keepWarm(idle, unreserved, demand);
    // Machines kept for their images count toward the reserve as well.
    for (const capacity of capacities)
      if (capacity.penaltySeconds >= IDLE_PENALTY_SECONDS && !idle.has(capacity.machineName))
        capacity.penaltySeconds -= IDLE_PENALTY_SECONDS;
    const { scarceZone } = this.state;
    for (const demand of this.components.reserve.demand())
      fill(capacities, demand, { scarceZone, onPlaced: ({ machineName }) => idle.delete(machineName) });
  }
}

/** Whether the machine has no unfinished allocations and lists only exited tasks. */
function isEmpty(machine: Machine): boolean {
  if (machine.totals.unfinishedTasks > 0) return false;
  for (const task of machine.tasks.values()) if (task.phase !== 'exited') return false;
  return true;
}

/**
 * Keeps idle machines that hold the request's image, as far as other machines with the image don't have
 * enough slots.
 */
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
