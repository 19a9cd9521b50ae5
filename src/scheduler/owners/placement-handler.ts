/** Handles the placements that shard owners report. */

import { attemptKey } from '../../model/job.js';
import type { PlacementSpec } from '../../model/placement.js';
import { type Allocation, createAllocation, grantKey } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { finalizeIfMissing } from '../workers/finalization.js';
import type { AllocationEvents } from './allocation-events.js';

/** Creates and updates the allocations of reported placements. */
export class PlacementHandler {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly events: AllocationEvents,
  ) {}

  /**
   * Applies a reported placement. Returns its allocation, or null if none is left: the machine was deleted,
   * or its worker has already forgotten the attempt.
   */
  apply(placement: PlacementSpec): Allocation | null {
    if (placement.isService)
      this.state.recordServiceProfile({
        ...this.state.requestFromPlacement(placement),
        zoneAllowance: placement.spreadOverZones ? {} : null,
      });
    if (this.state.deletedMachines.has(placement.machine)) {
      this.events.emitFinalized(placement.team, placement, placement.machine);
      return null;
    }
    const machine = this.state.getOrCreateMachine(placement.machine);
    this.state.invalidateTotals(machine);
    this.removeGrantOf(placement, machine);
    const allocation = this.upsert(placement, machine);
    if (
      allocation.desiredState === 'stop' ||
      (allocation.desiredState === 'run' && this.options.isCancelled(allocation.jobId))
    )
      this.state.leaseRenewal.stopAllocation(machine, allocation);
    if (isForgotten(machine, allocation)) {
      this.state.removeAllocation(machine, allocation);
      return null;
    }
    if (machine.isUp && machine.workerEpoch > allocation.workerEpoch && allocation.desiredState !== 'forget')
      allocation.isFinalized = true;
    finalizeIfMissing(this.state, machine, allocation);
    this.events.emitStatus(machine, allocation);
    this.state.machinesToContact.add(machine);
    return allocation;
  }

  /** Removes the allocation of a placement's grant, which the placement's own allocation replaces. */
  private removeGrantOf(placement: PlacementSpec, machine: Machine): void {
    if (placement.grantId <= 0) return;
    const grant = machine.allocations.get(grantKey(placement.grantId));
    if (grant?.jobId === placement.jobId) this.state.removeAllocation(machine, grant);
  }

  private upsert(placement: PlacementSpec, machine: Machine): Allocation {
    const key = attemptKey(placement.jobId, placement.taskIndex, placement.attempt);
    const existing = machine.allocations.get(key);
    if (existing) {
      this.update(existing, placement);
      return existing;
    }
    // A placement to be forgotten needs an allocation even if this leader never knew it: only the worker's
    // list shows whether the attempt still has to be removed there.
    const allocation = createAllocation(placement, this.options.clock.now());
    machine.allocations.set(key, allocation);
    allocation.reportedStatus = machine.tasks.get(key) ?? null;
    allocation.hasExited = allocation.reportedStatus?.phase === 'exited';
    return allocation;
  }

  private update(allocation: Allocation, placement: PlacementSpec): void {
    if (placement.desiredState === 'forget' && allocation.desiredState !== 'forget')
      allocation.phaseSince = this.options.clock.now();
    // A stop is never reverted to a run.
    if (!(allocation.desiredState === 'stop' && placement.desiredState === 'run'))
      allocation.desiredState = placement.desiredState;
    allocation.gracePeriodSeconds = placement.gracePeriodSeconds;
    if (placement.workerEpoch > 0) allocation.workerEpoch = placement.workerEpoch;
  }
}

/**
 * Whether a worker has forgotten an attempt that it was to forget: it does not list the attempt, and no start
 * command for it is in flight.
 */
function isForgotten(machine: Machine, allocation: Allocation): boolean {
  return (
    allocation.desiredState === 'forget' &&
    machine.isUp &&
    !machine.tasks.has(allocation.key) &&
    !allocation.isDirectStartInFlight &&
    allocation.startHeartbeatSequence < 0
  );
}
