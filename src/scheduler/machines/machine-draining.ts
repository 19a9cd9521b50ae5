/**
 * Requests the eviction of tasks on machines that the cloud is about to reclaim, and of service replicas on
 * quarantined machines.
 */

import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';

/** An eviction request that its owner has not acted on within this time expires and may be repeated. */
const EVICTION_RETRY_MS = 5000;
/**
 * Share of its estimated run time after which a task may be done: one that could finish before the machine is
 * reclaimed is not evicted.
 */
const OPTIMISTIC_RUN_SHARE = 0.8;

/** Asks owners to stop tasks on machines that must be drained. */
export class MachineDraining {
  constructor(private readonly state: ClusterState) {}

  /** Drops eviction requests that were carried out, and expired ones, so that they can be repeated. */
  expireEvictions(now: number): void {
    for (const allocation of this.state.evictions) {
      if (allocation.desiredState === 'run' && now - allocation.evictionRequestedAt <= EVICTION_RETRY_MS)
        continue;
      this.state.evictions.delete(allocation);
      if (allocation.desiredState !== 'run') continue;
      allocation.evictionRequestedAt = 0;
      const machine = this.state.machines.get(allocation.machine);
      if (machine) this.state.invalidateTotals(machine);
    }
  }

  /**
   * Requests the eviction of tasks that must leave a machine that is about to be reclaimed or is quarantined.
   */
  drain(now: number): void {
    for (const machine of this.state.machines.values()) {
      if (machine.isBeingDeleted || (machine.evictionDeadline === null && !machine.isQuarantined)) continue;
      const evicted: Allocation[] = [];
      for (const allocation of machine.allocations.values())
        if (mustEvict(machine, allocation, now)) evicted.push(allocation);
      this.state.requestEvictions(evicted, now, `${machine.name} leaves`);
    }
  }
}

function mustEvict(machine: Machine, allocation: Allocation, now: number): boolean {
  if (allocation.desiredState !== 'run' || allocation.evictionRequestedAt) return false;
  // Batch tasks stay on a quarantined machine: they would lose their progress.
  if (machine.evictionDeadline === null) return allocation.isService;
  const mayFinishInTime =
    !allocation.isService &&
    allocation.estimatedRunSeconds > 0 &&
    allocation.reportedStatus?.phase === 'running' &&
    allocation.estimatedRunSeconds * OPTIMISTIC_RUN_SHARE - (now - allocation.phaseSince) / 1000 <
      (machine.evictionDeadline - now) / 1000;
  return !mayFinishInTime;
}
