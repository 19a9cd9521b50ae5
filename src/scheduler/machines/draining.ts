/** Moves tasks off machines that are about to be taken, or that get no more work. */

import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';

/** An eviction that its owner did not act on in this time is asked for again. */
const EVICTION_RETRY_MS = 5000;
/** Part of a task's estimate after which it may well be done: it is left the chance to end in time. */
const OPTIMISTIC_RUN_SHARE = 0.8;

/** Asks owners to stop tasks on machines that leave. */
export class MachineDraining {
  constructor(private readonly state: ClusterState) {}

  /** Forgets evictions that were carried out, and those that have to be asked for again. */
  expireEvictions(now: number): void {
    for (const allocation of this.state.evictions) {
      if (allocation.desiredState === 'run' && now - allocation.evictionRequestedAt <= EVICTION_RETRY_MS)
        continue;
      this.state.evictions.delete(allocation);
      if (allocation.desiredState !== 'run') continue;
      allocation.evictionRequestedAt = 0;
      const machine = this.state.machines.get(allocation.machine);
      if (machine) this.state.markChanged(machine);
    }
  }

  /** Tasks on a machine about to be taken, or quarantined, move while there is time. */
  drain(now: number): void {
    for (const machine of this.state.machines.values()) {
      if (machine.isBeingDeleted || (machine.evictionDeadline === null && !machine.isQuarantined)) continue;
      const evicted: Allocation[] = [];
      for (const allocation of machine.allocations.values())
        if (mustLeave(machine, allocation, now)) evicted.push(allocation);
      this.state.requestEvictions(evicted, now, `${machine.name} leaves`);
    }
  }
}

function mustLeave(machine: Machine, allocation: Allocation, now: number): boolean {
  if (allocation.desiredState !== 'run' || allocation.evictionRequestedAt) return false;
  // From a quarantined machine batch work is not moved: it would lose what it has done.
  if (machine.evictionDeadline === null) return allocation.isService;
  const mayEndInTime =
    !allocation.isService &&
    allocation.estimatedRunSeconds > 0 &&
    allocation.reportedStatus?.phase === 'running' &&
    allocation.estimatedRunSeconds * OPTIMISTIC_RUN_SHARE - (now - allocation.phaseSince) / 1000 <
      (machine.evictionDeadline - now) / 1000;
  return !mayEndInTime;
}
