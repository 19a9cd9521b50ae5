/** Takes in single placements as their owners tell them. */

import { attemptKey } from '../../model/job.js';
import type { PlacementSpec } from '../../model/placement.js';
import { type Allocation, createAllocation, grantKey } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { finalizeIfMissing } from '../workers/finalization.js';
import type { AllocationEvents } from './allocation-events.js';

/** Makes allocations of placements, and changes those that are there. */
export class PlacementIntake {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly events: AllocationEvents,
  ) {}

  /** The allocation as it stands afterwards; null: there is none, as nothing of the placement is left. */
  apply(placement: PlacementSpec): Allocation | null {
    if (placement.isService)
      this.state.recordServiceProfile({
        ...this.state.requestLike(placement),
        zoneAllowance: placement.spreadOverZones ? {} : null,
      });
    if (this.state.deletedMachines.has(placement.machine)) {
      this.events.emitFinalized(placement.team, placement, placement.machine);
      return null;
    }
    const machine = this.state.getOrCreateMachine(placement.machine);
    this.state.markChanged(machine);
    this.dropGrantOf(placement, machine);
    const allocation = this.takeOver(placement, machine);
    if (
      allocation.desiredState === 'stop' ||
      (allocation.desiredState === 'run' && this.options.isCancelled(allocation.jobId))
    )
      this.state.leaseRenewal.noteStop(machine, allocation);
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

  /** The placement is stored: it takes the place of its grant. */
  private dropGrantOf(placement: PlacementSpec, machine: Machine): void {
    if (placement.grantId <= 0) return;
    const grant = machine.allocations.get(grantKey(placement.grantId));
    if (grant?.jobId === placement.jobId) this.state.removeAllocation(machine, grant);
  }

  private takeOver(placement: PlacementSpec, machine: Machine): Allocation {
    const key = attemptKey(placement.jobId, placement.taskIndex, placement.attempt);
    const known = machine.allocations.get(key);
    if (known) {
      this.update(known, placement);
      return known;
    }
    // Also one that is to be removed and that this leader never knew: only the worker's list matters.
    const allocation = createAllocation(placement, this.options.clock.now());
    machine.allocations.set(key, allocation);
    allocation.reportedStatus = machine.tasks.get(key) ?? null;
    allocation.hasExited = allocation.reportedStatus?.phase === 'exited';
    return allocation;
  }

  private update(allocation: Allocation, placement: PlacementSpec): void {
    if (placement.desiredState === 'forget' && allocation.desiredState !== 'forget')
      allocation.phaseSince = this.options.clock.now();
    // A stop is not taken back.
    if (!(allocation.desiredState === 'stop' && placement.desiredState === 'run'))
      allocation.desiredState = placement.desiredState;
    allocation.gracePeriodSeconds = placement.gracePeriodSeconds;
    if (placement.workerEpoch > 0) allocation.workerEpoch = placement.workerEpoch;
  }
}

/** To be removed from its worker, which does not list it, and no start of it is on its way. */
function isForgotten(machine: Machine, allocation: Allocation): boolean {
  return (
    allocation.desiredState === 'forget' &&
    machine.isUp &&
    !machine.tasks.has(allocation.key) &&
    !allocation.isDirectStartInFlight &&
    allocation.startHeartbeatSequence < 0
  );
}
