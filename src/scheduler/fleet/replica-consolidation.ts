/** Moves replicas together where that empties a machine. */

import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON } from '../../model/resources.js';
import { type Allocation, usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import { fill } from '../placement/fill.js';
import { type CapacityDemand, copyCapacities, type FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { requestForReplica } from './replica-request.js';
import { coldReplicaCount, type ServiceReserve } from './service-reserve.js';

const INTERVAL_MS = 3000;
/** So long a new leader moves nothing. */
const MIN_LEADERSHIP_MS = 30_000;
/** So long a replica must have run before it is moved. */
const MIN_RUN_MS = 35_000;
/** Moves of replicas earned at each look, per running replica, and most saved up. */
const MOVES_PER_REPLICA = 0.004;
const MAX_MOVE_CREDIT = 8;
/** Machines looked at for emptying at a time. */
const MAX_CANDIDATES = 60;
/** One machine in so many may be draining before others are chosen. */
const MACHINES_PER_DRAINING = 60;
/** A machine is worth keeping the more, the more images it holds: so many double its worth. */
const IMAGES_DOUBLING_WORTH = 10;

/** What became of the machines looked at for emptying. */
export interface ConsolidationOutcome {
  candidates: number;
  noCapacity: number;
  neededByReserve: number;
  imagesLost: number;
  drained: number;
}

interface Candidate {
  machine: Machine;
  replicas: Allocation[];
  /** What emptying it saves an hour for each replica moved, less for many images. */
  gain: number;
}

/** What is free while candidates are chosen. */
interface ConsolidationSearch {
  capacities: FreeCapacity[];
  reserve: CapacityDemand[];
  warmDemand: CapacityDemand[];
  coldReplicas: number;
  /** Machines that replicas will move to. */
  targets: Set<string>;
}

/** Only replicas that have run for a while move, to capacity that is free now, with their image there. */
export class ReplicaConsolidation {
  private nextAt = 0;
  private moveCredit = 0;
  private outcome: ConsolidationOutcome | null = null;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly reserve: ServiceReserve,
  ) {}

  /** Of the last search; null: there was none. */
  get lastOutcome(): ConsolidationOutcome | null {
    return this.outcome;
  }

  /** Starts to drain machines whose replicas have a place elsewhere. */
  consolidate(now: number): void {
    if (!this.isDue(now)) return;
    this.nextAt = now + INTERVAL_MS;
    if (this.hasWaitingServices()) return;
    const { candidates, draining } = this.findCandidates(now);
    // Each move costs a replica a moment: no more of them than users would notice.
    this.moveCredit = Math.min(
      MAX_MOVE_CREDIT,
      this.moveCredit + this.state.totals.services * MOVES_PER_REPLICA,
    );
    if (draining >= Math.ceil(this.state.machines.size / MACHINES_PER_DRAINING)) return;
    const search = this.beginSearch(now);
    const outcome: ConsolidationOutcome = {
      candidates: candidates.length,
      noCapacity: 0,
      neededByReserve: 0,
      imagesLost: 0,
      drained: 0,
    };
    this.outcome = outcome;
    for (const candidate of candidates.slice(0, MAX_CANDIDATES)) {
      const { machine, replicas } = candidate;
      if (search.targets.has(machine.name) || replicas.length > this.moveCredit) continue;
      const result = this.tryMove(candidate, search);
      outcome[result]++;
      if (result === 'drained') this.drain(candidate, now);
    }
  }

  private isDue(now: number): boolean {
    return (
      now >= this.nextAt &&
      this.options.holdsLeadership() &&
      this.state.areAllOwnersSynced() &&
      now - this.state.startedAt >= MIN_LEADERSHIP_MS
    );
  }

  private hasWaitingServices(): boolean {
    for (const requests of this.state.requests.values())
      if (requests.some((request) => request.isService)) return true;
    return false;
  }

  private findCandidates(now: number): { candidates: Candidate[]; draining: number } {
    const candidates: Candidate[] = [];
    let draining = 0;
    for (const machine of this.state.machines.values())
      if (machine.isDraining) {
        if (machine.totals.unfinishedTasks > 0) draining++;
      } else {
        const candidate = this.candidateOf(machine, now);
        if (candidate) candidates.push(candidate);
      }
    candidates.sort((one, other) => other.gain - one.gain);
    return { candidates, draining };
  }

  private candidateOf(machine: Machine, now: number): Candidate | null {
    const machineType = this.state.machineTypes.get(machine.machineType);
    if (
      !machineType ||
      machine.isSpot ||
      machine.totals.replicas === 0 ||
      machine.totals.free.cpus <= EPSILON ||
      !this.state.isUsable(machine, now)
    )
      return null;
    const replicas = [...machine.allocations.values()].filter(
      (allocation) => allocation.isService && usesCapacity(allocation),
    );
    if (!replicas.every((replica) => hasRunForLong(replica, now))) return null;
    const gain =
      machineType.hourlyPrice / replicas.length / (1 + machine.images.size / IMAGES_DOUBLING_WORTH);
    return { machine, replicas, gain };
  }

  private beginSearch(now: number): ConsolidationSearch {
    // Lower work is stopped for them if need be: it is cheaper to run elsewhere.
    const capacities = this.state.preemptibleCapacities(now).filter((capacity) => !capacity.isSpot);
    const warmDemand = this.reserve.warmDemand(now);
    return {
      capacities,
      reserve: this.reserve.demand(),
      warmDemand,
      coldReplicas: coldReplicaCount(capacities, warmDemand),
      targets: new Set(),
    };
  }

  /** Takes places for all replicas of the machine elsewhere, if there are any that nothing else needs. */
  private tryMove(
    { machine, replicas }: Candidate,
    search: ConsolidationSearch,
  ): 'noCapacity' | 'neededByReserve' | 'imagesLost' | 'drained' {
    const capacities = copyCapacities(
      search.capacities.filter((capacity) => capacity.machineName !== machine.name),
    );
    const targets: string[] = [];
    const onPlaced = (capacity: FreeCapacity) => targets.push(capacity.machineName);
    if (!replicas.every((replica) => this.moveTo(capacities, { replica, machine }, onPlaced)))
      return 'noCapacity';
    const trial = copyCapacities(capacities);
    const { scarceZone } = this.state;
    if (search.reserve.some((demand) => fill(trial, demand, { scarceZone }) > 0)) return 'neededByReserve';
    const coldReplicas = coldReplicaCount(capacities, search.warmDemand);
    if (coldReplicas > search.coldReplicas) return 'imagesLost';
    search.coldReplicas = coldReplicas;
    search.capacities = capacities;
    for (const target of targets) search.targets.add(target);
    return 'drained';
  }

  /** Within its zone, to a machine that holds its image. */
  private moveTo(
    capacities: FreeCapacity[],
    { replica, machine }: { replica: Allocation; machine: Machine },
    onPlaced: (capacity: FreeCapacity) => void,
  ): boolean {
    const usable = capacities.filter(
      (capacity) =>
        capacity.zone === machine.zone &&
        capacity.images?.has(replica.image) &&
        (!replica.machineTypes || replica.machineTypes.includes(capacity.machineType)),
    );
    const request: ResourceRequest = {
      ...requestForReplica(this.state, replica, machine),
      zone: machine.zone,
      zoneAllowance: {},
    };
    return fill(usable, { request, count: 1 }, { scarceZone: null, onPlaced }) === 0;
  }

  private drain({ machine, replicas }: Candidate, now: number): void {
    machine.isDraining = true;
    this.options.log.info(
      { machine: machine.name, machineType: machine.machineType, replicas: replicas.length },
      'replicas move to empty a machine',
    );
    this.state.requestEvictions(replicas, now, `${machine.name} is emptied`);
    this.moveCredit -= replicas.length;
  }
}

function hasRunForLong(replica: Allocation, now: number): boolean {
  return (
    replica.desiredState === 'run' &&
    replica.reportedStatus?.phase === 'running' &&
    now - replica.phaseSince >= MIN_RUN_MS
  );
}
