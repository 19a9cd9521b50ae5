/**
 * Returns machines to the cloud, and finalizes the attempts on them once the cloud has confirmed the
 * deletion.
 */

import { isWithoutStoredPlacement } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { AllocationEvents } from '../owners/allocation-events.js';
import type { SchedulerOptions } from '../scheduler-options.js';

const MAX_DELETIONS_PER_CALL = 100;
const DELETION_RETRY_MS = 1000;
/**
 * Names of deleted machines kept to recognize late messages, and how many of the oldest are dropped at once.
 */
const MAX_DELETED_NAMES = 20_000;
const DELETED_NAMES_TRIMMED = 5000;

/** Queue of machines to delete at the cloud. */
export class MachineDeletion {
  private readonly queue = new Set<string>();
  private inFlight = false;
  private retryAt = 0;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly events: AllocationEvents,
  ) {}

  /**
   * Queues a machine for deletion. It gets no more work, and its grants are removed; what runs on it ends
   * when the cloud deletes it.
   */
  delete(machine: Machine, reason: string): void {
    if (machine.isBeingDeleted) return;
    machine.isBeingDeleted = true;
    this.queue.add(machine.name);
    for (const allocation of machine.allocations.values())
      if (allocation.desiredState === 'granted') this.state.removeAllocation(machine, allocation);
    this.options.log.info(
      {
        machine: machine.name,
        machineType: machine.machineType,
        isSpot: machine.isSpot,
        reason,
        allocations: machine.allocations.size,
      },
      'machine returned',
    );
  }

  /** Asks the cloud to delete the queued machines, one call at a time. */
  flush(now: number): void {
    if (this.inFlight || this.queue.size === 0 || now < this.retryAt || !this.options.holdsLeadership())
      return;
    const names = [...this.queue].slice(0, MAX_DELETIONS_PER_CALL);
    this.inFlight = true;
    this.options.cloud.deleteMachines(names, (result) => {
      this.inFlight = false;
      if (!result.ok) {
        this.retryAt = this.options.clock.now() + DELETION_RETRY_MS;
        return;
      }
      for (const name of names) {
        this.queue.delete(name);
        this.onDeleted(name);
      }
      this.options.wake();
    });
  }

  /** Removes a machine whose deletion the cloud has confirmed: everything that ran on it has ended. */
  private onDeleted(name: string): void {
    const { deletedMachines } = this.state;
    deletedMachines.add(name);
    this.options.imageLocations.removeMachine(name);
    if (deletedMachines.size > MAX_DELETED_NAMES)
      for (const oldName of [...deletedMachines].slice(0, DELETED_NAMES_TRIMMED))
        deletedMachines.delete(oldName);
    const machine = this.state.machines.get(name);
    if (!machine) return;
    for (const allocation of [...machine.allocations.values()]) {
      if (!isWithoutStoredPlacement(allocation) && allocation.desiredState !== 'forget')
        this.events.emitFinalized(allocation.team, allocation, name);
      this.state.removeAllocation(machine, allocation);
    }
    this.state.machines.delete(name);
    this.state.exitedAttempts.update(machine, []);
    this.state.invalidateTotals(machine);
    this.state.rentalBackoff.onFreed(machine);
  }
}
