/** Which machines that are not heard are kept all the same. */

import { usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import { lastPossibleLeaseRenewalAt, type Machine } from '../machine.js';
import { fill } from '../placement/fill.js';
import type { CapacityDemand, FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { requestForReplica } from './replica-request.js';

/** A machine heard within this time is reachable again. */
const REACHABLE_WITHIN_MS = 3000;

/** Keeps machines whose replicas could run nowhere else, and knows what must be rented for these replicas. */
export class UnreachableMachines {
  /** By machine: replicas that have no capacity elsewhere yet. */
  private readonly replicasToReplace = new Map<string, CapacityDemand[]>();

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {}

  /**
   * An ordinary unreachable machine is left its lease when the replicas on it would find no capacity elsewhere: they may
   * well be running behind a network partition, and deleting them frees nothing. Capacity for them is rented meanwhile.
   */
  keeps(machine: Machine, capacities: FreeCapacity[], now: number): boolean {
    this.replicasToReplace.delete(machine.name);
    const { leaseSeconds, cancellationSeconds } = this.options.workerTiming;
    const silentMs = now - Math.max(lastPossibleLeaseRenewalAt(machine), this.state.startedAt);
    // In a zone that is cut off replicas may be kept alive from inside, and could go nowhere else: until they are dead in
    // any case, deleting their machine only ends them.
    if (!machine.isSpot && machine.totals.replicas > 0 && this.state.partitionedZones.has(machine.zone))
      return silentMs <= cancellationSeconds * 1000;
    if (machine.isSpot || silentMs > leaseSeconds * 1000) return false;
    const unplaced = this.replicasOn(machine).filter(
      (demand) => fill(capacities, demand, { scarceZone: null }) > 0,
    );
    if (unplaced.length === 0) return false;
    this.replicasToReplace.set(machine.name, unplaced);
    return true;
  }

  /** Replicas to rent for; forgets machines that are gone or heard again. */
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
