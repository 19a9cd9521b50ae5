/** Decides which unreachable machines are kept for their replicas. */

import { usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import { lastPossibleLeaseRenewalAt, type Machine } from '../machine.js';
import { fill } from '../placement/fill.js';
import type { CapacityDemand, FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { requestForReplica } from './request-for-replica.js';

/** A machine whose lease may have been renewed within this time is reachable again. */
const REACHABLE_WITHIN_MS = 3000;

/**
 * Keeps unreachable machines whose replicas could run nowhere else, and determines what to rent for these
 * replicas.
 */
export class UnreachableMachines {
  /** Replicas on unreachable machines that have no capacity elsewhere yet, by machine name. */
  private readonly replicasToReplace = new Map<string, CapacityDemand[]>();

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {}

  /**
   * Whether to keep an unreachable machine. An on-demand machine is kept for the length of its lease if
   * replicas on it would find no capacity elsewhere: they may still be running behind a network partition,
   * and deleting the machine would free no capacity for them. Replacement capacity is rented meanwhile. In a
   * partitioned zone, an on-demand machine with replicas is kept until it has been unresponsive for longer
   * than `cancellationSeconds`.
   *
   * `capacities` are those elsewhere; what the replicas would use is subtracted from them.
   */
  shouldKeep(machine: Machine, capacities: FreeCapacity[], now: number): boolean {
    this.replicasToReplace.delete(machine.name);
    const { leaseSeconds, cancellationSeconds } = this.options.workerTiming;
    const unresponsiveMs = now - this.state.latestLeaseRenewalAt(machine);
    // In a partitioned zone a controller inside the zone may keep replicas alive, and they could not be
    // placed elsewhere. Until `cancellationSeconds` are over and they have ended in any case, deleting
    // their machine would only end them earlier.
    if (!machine.isSpot && machine.totals.replicas > 0 && this.state.partitionedZones.has(machine.zone))
      return unresponsiveMs <= cancellationSeconds * 1000;
    if (machine.isSpot || unresponsiveMs > leaseSeconds * 1000) return false;
    const unplaced = this.replicasOn(machine).filter(
      (demand) => fill(capacities, demand, { scarceZone: null }) > 0,
    );
    if (unplaced.length === 0) return false;
    this.replicasToReplace.set(machine.name, unplaced);
    return true;
  }

  /**
   * Replicas of unreachable machines to rent capacity for. Drops machines that no longer exist or are
   * reachable again.
   */
  replacementDemand(now: number): CapacityDemand[] {
    for (const name of this.replicasToReplace.keys()) {
      const machine = this.state.machines.get(name);
      if (!machine || now - lastPossibleLeaseRenewalAt(machine) < REACHABLE_WITHIN_MS)
        this.replicasToReplace.delete(name);
    }
    return [...this.replicasToReplace.values()].flat();
  }

  private replicasOn(machine: Machine): CapacityDemand[] {
    return [...machine.allocations.values()]
      .filter((allocation) => allocation.isService && usesCapacity(allocation))
      .map((allocation) => ({ request: requestForReplica(this.state, allocation, machine), count: 1 }));
  }
}
