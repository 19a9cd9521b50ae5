/** What would have to be stopped on each machine for one task of a request, and what would be lost by it. */

import { EPSILON } from '../../model/resources.js';
import { type Allocation, usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import { addBack, fits, isFeasible, subtract } from './capacity-filter.js';
import { emptyMachineCapacity, type FreeCapacity } from './free-capacity.js';
import type { PreemptionQuery, PreemptionRules } from './preemption-rules.js';
import type { RunningGangs } from './running-gangs.js';

/** Fetching a gigabyte of an image, in the CPU seconds of work in which losses are measured. */
const COST_PER_IMAGE_GB = 20;
/** Stopping a task, for each step by which its priority is above the lowest. */
const COST_PER_PRIORITY = 30;
const LOWEST_PRIORITY = 3;

/** Tasks that may be stopped on a machine for one task of a request. */
export interface PreemptionCandidate {
  machine: Machine;
  victims: Allocation[];
  /** What is lost by it, in CPU seconds. */
  cost: number;
}

/** Finds offers; keeps for the rest of a pass which machines have work that may be stopped. */
export class PreemptionCandidates {
  /** By image; null: all, whatever they hold. Empty: not asked for in this pass. */
  private readonly machinesByImage = new Map<string | null, Machine[]>();

  constructor(
    private readonly state: ClusterState,
    private readonly rules: PreemptionRules,
    private readonly gangs: RunningGangs,
  ) {}

  /** Forgets what the last pass found. */
  beginPass(): void {
    this.machinesByImage.clear();
  }

  /** Offers of all machines, or of those that hold the request's image, cheapest last. */
  findAll(query: PreemptionQuery, warmOnly: boolean): PreemptionCandidate[] {
    const { request } = query;
    const candidates: PreemptionCandidate[] = [];
    for (const machine of this.preemptibleMachines(query.now, warmOnly ? request.image : null)) {
      const { batch, free } = machine.totals;
      if (
        batch.cpus + free.cpus + EPSILON < request.cpus ||
        batch.memoryGb + free.memoryGb + EPSILON < request.memoryGb
      )
        continue;
      const candidate = this.candidateOn(machine, query);
      if (candidate) candidates.push(candidate);
    }
    return candidates.sort((a, b) => b.cost - a.cost);
  }

  /** Null: nothing may be stopped there that would help. */
  candidateOn(machine: Machine, query: PreemptionQuery): PreemptionCandidate | null {
    const { request, now } = query;
    const machineType = this.state.machineTypes.get(machine.machineType);
    if (!machineType) return null;
    const capacity = emptyMachineCapacity(machineType, machine);
    capacity.isSurplus = this.state.isSurplus(machine, now);
    // By the same question as placing: otherwise tasks would be stopped again and again for work that is then not let in.
    if (!isFeasible(capacity, request, this.state.scarceZone)) return null;
    const preemptible = this.preemptibleTasks(machine, capacity, query);
    const victims = this.chooseVictims(preemptible, capacity, query);
    if (!fits(capacity, request) || victims.length === 0) return null;
    return { machine, victims, cost: this.costOf(machine, victims, query) };
  }

  /** Subtracts all that runs on the machine; returns the tasks that may be stopped, lowest and youngest first. */
  private preemptibleTasks(machine: Machine, capacity: FreeCapacity, query: PreemptionQuery): Allocation[] {
    const preemptible: Allocation[] = [];
    for (const allocation of machine.allocations.values()) {
      // What is being freed was promised before.
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

  /** As many as it takes until one task fits; adds what they use to the capacity. */
  private chooseVictims(
    preemptible: readonly Allocation[],
    capacity: FreeCapacity,
    query: PreemptionQuery,
  ): Allocation[] {
    const victims: Allocation[] = [];
    const chosenCpus = new Map<string, number>();
    for (const allocation of preemptible) {
      if (fits(capacity, query.request)) break;
      // A team a little beyond its guarantee must not lose more than that: it would claim it back, and so for ever.
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
      if (machine.totals.batch.cpus <= 0 || !this.state.isUsable(machine, now)) continue;
      all.push(machine);
      for (const image of machine.images.keys()) {
        const holders = this.machinesByImage.get(image);
        if (holders) holders.push(machine);
        else this.machinesByImage.set(image, [machine]);
      }
    }
  }
}
