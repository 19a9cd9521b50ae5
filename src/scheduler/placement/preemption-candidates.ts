/** Finds the tasks to preempt on each machine so that one task of a request fits, and the cost of this. */

import { EPSILON } from '../../model/resources.js';
import { type Allocation, usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import { addBack, fits, isFeasible, subtract } from './capacity-filter.js';
import { emptyMachineCapacity, type FreeCapacity } from './free-capacity.js';
import type { PreemptionQuery, PreemptionRules } from './preemption-rules.js';
import type { RunningGangs } from './running-gangs.js';

/** Cost of fetching one GB of an image, in CPU seconds of lost work. */
const COST_PER_IMAGE_GB = 20;
/** Cost of preempting a task, in CPU seconds, per level of its priority above the lowest. */
const COST_PER_PRIORITY = 30;
/** Priorities range from 0, the highest, to this one. */
const LOWEST_PRIORITY = 3;

/** A machine, and the tasks to preempt there so that one task of a request fits. */
export interface PreemptionCandidate {
  machine: Machine;
  victims: Allocation[];
  /**
   * Cost of the image fetch, the lost work and the priorities of all tasks that stop with the victims, in CPU
   * seconds.
   */
  cost: number;
}

/** Finds preemption candidates, using an index of machines that is built once per pass. */
export class PreemptionCandidates {
  /**
   * Usable machines with preemptible tasks, by the image that they hold; under the key null, all of them. The
   * index is empty until it is first used in a pass.
   */
  private readonly machinesByImage = new Map<string | null, Machine[]>();

  constructor(
    private readonly state: ClusterState,
    private readonly rules: PreemptionRules,
    private readonly gangs: RunningGangs,
  ) {}

  /** Clears the index of machines that the previous pass built. */
  beginPass(): void {
    this.machinesByImage.clear();
  }

  /**
   * Preemption candidates on all machines, or only on warm ones, which hold the request's image; cheapest
   * last.
   */
  findAll(query: PreemptionQuery, warmOnly: boolean): PreemptionCandidate[] {
    const { request } = query;
    const candidates: PreemptionCandidate[] = [];
    for (const machine of this.preemptibleMachines(query.now, warmOnly ? request.image : null)) {
      const { preemptible, free } = machine.totals;
      if (
        preemptible.cpus + free.cpus + EPSILON < request.cpus ||
        preemptible.memoryGb + free.memoryGb + EPSILON < request.memoryGb
      )
        continue;
      const candidate = this.candidateOn(machine, query);
      if (candidate) candidates.push(candidate);
    }
    return candidates.sort((a, b) => b.cost - a.cost);
  }

  /**
   * The preemption candidate on one machine. Null: preempting tasks there does not help the request, because
   * it can't use the machine, too little can be preempted, or one of its tasks fits already.
   */
  candidateOn(machine: Machine, query: PreemptionQuery): PreemptionCandidate | null {
    const { request, now } = query;
    const machineType = this.state.machineTypes.get(machine.machineType);
    if (!machineType) return null;
    const capacity = emptyMachineCapacity(machineType, machine);
    capacity.isSurplus = this.state.isSurplus(machine, now);
    // The same check as in placement: otherwise tasks would be preempted repeatedly for a request that can't
    // use this machine.
    if (!isFeasible(capacity, request, this.state.scarceZone)) return null;
    const preemptible = this.preemptibleTasks(machine, capacity, query);
    const victims = this.chooseVictims(preemptible, capacity, query);
    if (!fits(capacity, request) || victims.length === 0) return null;
    return { machine, victims, cost: this.costOf(machine, victims, query) };
  }

  /**
   * Subtracts the allocations that use capacity from the capacity of the empty machine. Returns the tasks
   * that may be preempted: those of the lowest priority first, then the most recently started first.
   */
  private preemptibleTasks(machine: Machine, capacity: FreeCapacity, query: PreemptionQuery): Allocation[] {
    const preemptible: Allocation[] = [];
    for (const allocation of machine.allocations.values()) {
      // Tasks being stopped count as using capacity here: what they free was already offered as capacity
      // being freed.
      if (!usesCapacity(allocation)) continue;
      subtract(capacity, allocation);
      if (
        !allocation.evictionRequestedAt &&
        allocation.desiredState !== 'stop' &&
        this.rules.canPreempt(query, allocation, 0)
      )
        preemptible.push(allocation);
    }
    return preemptible.sort((a, b) => b.priority - a.priority || b.phaseSince - a.phaseSince);
  }

  /** Chooses victims until one task fits or none is left, adding what they use back to the capacity. */
  private chooseVictims(
    preemptible: readonly Allocation[],
    capacity: FreeCapacity,
    query: PreemptionQuery,
  ): Allocation[] {
    const victims: Allocation[] = [];
    const chosenCpus = new Map<string, number>();
    for (const allocation of preemptible) {
      if (fits(capacity, query.request)) break;
      // A team slightly over its guaranteed share must not lose more than the excess: it would reclaim the
      // difference, and the preemptions would never end.
      const alreadyChosen = chosenCpus.get(allocation.team) ?? 0;
      if (!this.rules.canPreempt(query, allocation, alreadyChosen)) continue;
      chosenCpus.set(allocation.team, alreadyChosen + allocation.cpus);
      victims.push(allocation);
      addBack(capacity, allocation);
    }
    return victims;
  }

  private costOf(machine: Machine, victims: readonly Allocation[], query: PreemptionQuery): number {
    const { request, now } = query;
    let cost = machine.images.has(request.image) ? 0 : request.imageGb * COST_PER_IMAGE_GB;
    for (const victim of victims)
      for (const task of this.gangs.tasksStoppedWith(victim))
        cost +=
          (task.cpus * (now - task.phaseSince)) / 1000 +
          (LOWEST_PRIORITY - victim.priority) * COST_PER_PRIORITY;
    return cost;
  }

  private preemptibleMachines(now: number, image: string | null): readonly Machine[] {
    if (this.machinesByImage.size === 0) this.indexPreemptibleMachines(now);
    return this.machinesByImage.get(image) ?? [];
  }

  private indexPreemptibleMachines(now: number): void {
    const all: Machine[] = [];
    this.machinesByImage.set(null, all);
    for (const machine of this.state.machines.values()) {
      if (machine.totals.preemptible.cpus <= 0 || !this.state.isUsable(machine, now)) continue;
      all.push(machine);
      for (const image of machine.images.keys()) {
        const holders = this.machinesByImage.get(image);
        if (holders) holders.push(machine);
        else this.machinesByImage.set(image, [machine]);
      }
    }
  }
}
