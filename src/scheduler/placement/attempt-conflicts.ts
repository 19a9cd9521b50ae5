/** Keeps requests from machines that would refuse their tasks. */

import type { ResourceRequest } from '../../model/placement.js';
import { assignTasks } from '../../model/task-assignment.js';
import type { ClusterState } from '../cluster-state.js';
import type { EndedTasks } from '../ended-attempts.js';
import { isOpenTo } from './capacity-filter.js';
import { chooseForGang } from './fill.js';
import type { CapacityDemand, FreeCapacity } from './free-capacity.js';

/** Work that ended attempts alone have kept waiting for so long asks for a higher token, under which they are removed. */
const RAISE_TOKEN_AFTER_MS = 15_000;
/** Choices of machines made for a gang before all machines are passed over that list any ended attempt of it. */
const MAX_CHOICES = 8;

/**
 * Keeps work from machines that would refuse it, since they list ended attempts of the same tasks (`EndedAttempts`).
 *
 * A gang gives its tasks to machines such that none meets its own ended attempt: one refusal ends the attempt of all of
 * them. A machine is passed over only if it would refuse each task that is left.
 */
export class AttemptConflicts {
  private readonly blockedSince = new Map<string, number>();
  private blockingMachines = new Set<string>();

  constructor(
    private readonly state: ClusterState,
    private readonly raiseFencingToken: (reason: string) => void,
  ) {}

  /** Forgets what the last pass found. */
  beginPass(): void {
    this.blockingMachines = new Set();
  }

  /** Forgets jobs that no longer wait. */
  endPass(waitingJobs: ReadonlySet<string>): void {
    for (const job of this.blockedSince.keys()) if (!waitingJobs.has(job)) this.blockedSince.delete(job);
    this.state.blockingMachines = this.blockingMachines;
  }

  /** Machines that would refuse each task that a request still has; null: none. */
  refusingMachines(request: ResourceRequest): ReadonlySet<string> | null {
    const names = new Set<string>();
    for (const machine of this.state.endedAttempts.machinesOf(request.jobId))
      if (refusesAll(machine.endedTasks.get(request.jobId), request)) names.add(machine.name);
    return names.size > 0 ? names : null;
  }

  /** Capacities for all tasks of a gang, none of which meets its own ended attempt; null: there are none. */
  chooseForGang(capacities: FreeCapacity[], { request, count }: CapacityDemand): FreeCapacity[] | null {
    const { scarceZone } = this.state;
    const passedOver = new Set(request.refusingMachines);
    const choose = () => {
      const passingOver: ResourceRequest = { ...request, refusingMachines: passedOver };
      return chooseForGang(capacities, { request: passingOver, count }, scarceZone);
    };
    if (!this.state.endedAttempts.has(request.jobId)) return choose();
    for (let choices = 0; choices < MAX_CHOICES; choices++) {
      const chosen = choose();
      if (!chosen) return null;
      const { unassignedSlots: without } = assignTasks(
        indices(count),
        this.refusedTasks(chosen, request.jobId),
      );
      if (without.length === 0) return chosen;
      const unusable = new Set(without);
      chosen.forEach(({ machineName }, place) => {
        if (unusable.has(place)) passedOver.add(machineName);
      });
    }
    for (const machine of this.state.endedAttempts.machinesOf(request.jobId)) passedOver.add(machine.name);
    return choose();
  }

  /** The tasks of a job that each of these machines refuses. */
  private refusedTasks(capacities: FreeCapacity[], job: string): (ReadonlySet<number> | undefined)[] {
    return capacities.map(
      (capacity) => this.state.machines.get(capacity.machineName)?.endedTasks.get(job)?.tasks,
    );
  }

  /** Nothing of a request was placed in this pass: notes whether it would have been but for ended attempts. */
  onUnplaced(demand: CapacityDemand, capacities: FreeCapacity[], now: number): void {
    const { request } = demand;
    const blockers = this.blockersOf(demand, capacities);
    if (blockers.length === 0) {
      this.onPlaced(request.jobId);
      return;
    }
    for (const name of blockers) this.blockingMachines.add(name);
    const since = this.blockedSince.get(request.jobId) ?? now;
    this.blockedSince.set(request.jobId, since);
    if (now - since > RAISE_TOKEN_AFTER_MS)
      this.raiseFencingToken(
        `ended attempts of ${request.jobId} on ${blockers.length} machines stand in its way`,
      );
  }

  /** Something of a job was placed. */
  onPlaced(job: string): void {
    this.blockedSince.delete(job);
  }

  private blockersOf({ request, count }: CapacityDemand, capacities: FreeCapacity[]): string[] {
    if (!this.state.endedAttempts.has(request.jobId)) return [];
    const unhindered: ResourceRequest = { ...request, refusingMachines: undefined };
    if (!request.isGang) {
      const { refusingMachines: refusedBy } = request;
      if (!refusedBy) return [];
      return capacities
        .filter(
          (capacity) =>
            refusedBy.has(capacity.machineName) && isOpenTo(capacity, unhindered, this.state.scarceZone),
        )
        .map((capacity) => capacity.machineName);
    }
    const chosen = chooseForGang(capacities, { request: unhindered, count }, this.state.scarceZone) ?? [];
    const refused = this.refusedTasks(chosen, request.jobId);
    return [...new Set(chosen.filter((_, place) => refused[place]).map((capacity) => capacity.machineName))];
  }
}

function refusesAll(ended: EndedTasks | undefined, request: ResourceRequest): boolean {
  if (!ended) return false;
  if (request.isGang) return indices(request.taskCount).every((task) => ended.tasks.has(task));
  // Which tasks are left is not known: a machine that has refused one would refuse the next.
  if (!request.remainingTasks) return ended.hasRefusedAttempt;
  return request.remainingTasks.every((task) => ended.tasks.has(task));
}

function indices(count: number): number[] {
  return Array.from({ length: count }, (_, task) => task);
}
