/** Avoids placing tasks on machines that would refuse them because of exited attempts. */

import type { ResourceRequest } from '../../model/placement.js';
import { assignTasks } from '../../model/task-assignment.js';
import type { ClusterState } from '../cluster-state.js';
import type { ExitedTasks } from '../exited-attempts.js';
import { isFeasible } from './capacity-filter.js';
import { chooseForGang } from './fill.js';
import type { CapacityDemand, FreeCapacity } from './free-capacity.js';

/**
 * How long exited attempts alone may keep a job from being placed before a higher fencing token is requested,
 * under which workers remove these attempts.
 */
const RAISE_TOKEN_AFTER_MS = 15_000;
/**
 * Rounds of choosing machines for a gang before all machines that list exited attempts of its tasks are
 * excluded.
 */
const MAX_MATCHING_ROUNDS = 8;

/**
 * Steers requests away from machines that still list an exited attempt of a task: such a machine refuses any
 * other attempt of that task (see `ExitedAttempts`).
 *
 * A request excludes a machine only if the machine would refuse every remaining task or, if the remaining
 * tasks are not known, has refused a task of the job. The tasks of a gang are matched to machines such that
 * none is refused, since one refusal ends the attempt of the whole gang.
 */
export class AttemptConflicts {
  /** For each job that is kept from being placed by exited attempts alone: since when, in monotonic ms. */
  private readonly blockedSince = new Map<string, number>();
  /** Names of the machines found in this pass whose exited attempts alone prevent placement. */
  private blockingMachines = new Set<string>();

  constructor(
    private readonly state: ClusterState,
    private readonly raiseFencingToken: (reason: string) => void,
  ) {}

  /** Clears the blocking machines found in the previous pass. */
  beginPass(): void {
    this.blockingMachines = new Set();
  }

  /** Drops the entries of jobs that no longer wait, and publishes the blocking machines to `ClusterState`. */
  endPass(waitingJobs: ReadonlySet<string>): void {
    for (const jobId of this.blockedSince.keys())
      if (!waitingJobs.has(jobId)) this.blockedSince.delete(jobId);
    this.state.blockingMachines = this.blockingMachines;
  }

  /**
   * Machines that would refuse, or are assumed to refuse, every remaining task of a request; null: no machine
   * would.
   */
  refusingMachines(request: ResourceRequest): ReadonlySet<string> | null {
    const names = new Set<string>();
    for (const machine of this.state.exitedAttempts.machinesOf(request.jobId))
      if (refusesAllTasks(machine.exitedTasks.get(request.jobId), request)) names.add(machine.name);
    return names.size > 0 ? names : null;
  }

  /**
   * Chooses a capacity for each task of a gang such that no task is refused; null: no such choice was found.
   * If a choice has slots that would refuse every task left for them, their machines are excluded and the
   * choice is repeated; after `MAX_MATCHING_ROUNDS`, all machines that list exited attempts are excluded.
   */
  chooseWithoutConflicts(
    capacities: FreeCapacity[],
    { request, count }: CapacityDemand,
  ): FreeCapacity[] | null {
    const { scarceZone } = this.state;
    const excludedMachines = new Set(request.refusingMachines);
    const choose = () => {
      const restrictedRequest: ResourceRequest = { ...request, refusingMachines: excludedMachines };
      return chooseForGang(capacities, { request: restrictedRequest, count }, scarceZone);
    };
    if (!this.state.exitedAttempts.has(request.jobId)) return choose();
    for (let round = 0; round < MAX_MATCHING_ROUNDS; round++) {
      const chosen = choose();
      if (!chosen) return null;
      const { unassignedSlots: unassigned } = assignTasks(
        taskIndices(count),
        this.refusedTasksByCapacity(chosen, request.jobId),
      );
      if (unassigned.length === 0) return chosen;
      const unassignedSlots = new Set(unassigned);
      chosen.forEach(({ machineName }, slot) => {
        if (unassignedSlots.has(slot)) excludedMachines.add(machineName);
      });
    }
    for (const machine of this.state.exitedAttempts.machinesOf(request.jobId))
      excludedMachines.add(machine.name);
    return choose();
  }

  /** Returns, for each capacity, the tasks of the job that the capacity's machine would refuse. */
  private refusedTasksByCapacity(
    capacities: FreeCapacity[],
    jobId: string,
  ): (ReadonlySet<number> | undefined)[] {
    return capacities.map(
      (capacity) => this.state.machines.get(capacity.machineName)?.exitedTasks.get(jobId)?.tasks,
    );
  }

  /**
   * Handles a request of which no task was placed. If exited attempts alone prevent placement, records the
   * machines that list them, and requests a higher fencing token once this has lasted too long.
   */
  onUnplaced(demand: CapacityDemand, capacities: FreeCapacity[], now: number): void {
    const { request } = demand;
    const blocking = this.findBlockingMachines(demand, capacities);
    if (blocking.length === 0) {
      this.onPlaced(request.jobId);
      return;
    }
    for (const name of blocking) this.blockingMachines.add(name);
    const since = this.blockedSince.get(request.jobId) ?? now;
    this.blockedSince.set(request.jobId, since);
    if (now - since > RAISE_TOKEN_AFTER_MS)
      this.raiseFencingToken(
        `ended attempts of ${request.jobId} on ${blocking.length} machines stand in its way`,
      );
  }

  /** Handles the placement of at least one task of a job: exited attempts alone no longer prevent it. */
  onPlaced(jobId: string): void {
    this.blockedSince.delete(jobId);
  }

  /**
   * Machines that could take tasks of the request if they listed no exited attempts. For a gang, only those
   * of a choice of machines on which all its tasks would fit.
   */
  private findBlockingMachines({ request, count }: CapacityDemand, capacities: FreeCapacity[]): string[] {
    if (!this.state.exitedAttempts.has(request.jobId)) return [];
    const unrestrictedRequest: ResourceRequest = { ...request, refusingMachines: undefined };
    if (!request.isGang) {
      const { refusingMachines: refusing } = request;
      if (!refusing) return [];
      return capacities
        .filter(
          (capacity) =>
            refusing.has(capacity.machineName) &&
            isFeasible(capacity, unrestrictedRequest, this.state.scarceZone),
        )
        .map((capacity) => capacity.machineName);
    }
    const chosen =
      chooseForGang(capacities, { request: unrestrictedRequest, count }, this.state.scarceZone) ?? [];
    const refused = this.refusedTasksByCapacity(chosen, request.jobId);
    return [...new Set(chosen.filter((_, slot) => refused[slot]).map((capacity) => capacity.machineName))];
  }
}

function refusesAllTasks(exited: ExitedTasks | undefined, request: ResourceRequest): boolean {
  if (!exited) return false;
  if (request.isGang) return taskIndices(request.taskCount).every((task) => exited.tasks.has(task));
  // The remaining tasks are not listed: a machine that has refused one is assumed to refuse the next.
  if (!request.remainingTasks) return exited.hasRefusedAttempt;
  return request.remainingTasks.every((task) => exited.tasks.has(task));
}

function taskIndices(count: number): number[] {
  return Array.from({ length: count }, (_, task) => task);
}
