/** Consolidates replicas on fewer machines, so that the others can be returned. */

import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON } from '../../model/resources.js';
import { type Allocation, usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import { fill } from '../placement/fill.js';
import { type CapacityDemand, copyCapacities, type FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { requestForReplica } from './request-for-replica.js';
import { coldReplicaCount, type ServiceReserve } from './service-reserve.js';

const SEARCH_INTERVAL_MS = 3000;
/** How long a new leader waits before it moves replicas. */
const MIN_LEADERSHIP_MS = 30_000;
/** How long a replica must have run before it is moved. */
const MIN_RUN_MS = 35_000;
/** Number of replica moves that each search earns per running replica, and the most that can be saved up. */
const MOVE_CREDIT_PER_REPLICA = 0.004;
const MAX_MOVE_CREDIT = 8;
/** Machines considered for draining in one search. */
const MAX_CANDIDATES = 60;
/**
 * No machine is chosen for draining while one in this many machines of the fleet, rounded up, is still
 * draining.
 */
const MACHINES_PER_DRAINING = 60;
/**
 * Number of held images that halves the gain of draining a machine: the more images it holds, the more it is
 * worth keeping.
 */
const IMAGES_HALVING_GAIN = 10;

/**
 * Counts of one search for machines to drain. `candidates` is the number of machines found, of which some are
 * skipped; each of the others is counted under its result.
 */
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
  /** Hourly price saved per replica moved, reduced for the images that the machine holds. */
  gain: number;
}

/**
 * State of one search for machines to drain: capacity left, and demand that must still fit, after the
 * candidates chosen so far.
 */
interface ConsolidationSearch {
  capacities: FreeCapacity[];
  reserve: CapacityDemand[];
  warmDemand: CapacityDemand[];
  coldReplicas: number;
  /** Machines chosen to receive replicas; they are not drained. */
  targets: Set<string>;
}

/**
 * Chooses machines whose replicas all fit on other machines, and drains them. Moves only replicas that have
 * run for a while, and only to machines that have capacity now and hold their image.
 */
export class ReplicaConsolidation {
  private nextSearchAt = 0;
  private moveCredit = 0;
  private outcome: ConsolidationOutcome | null = null;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly reserve: ServiceReserve,
  ) {}

  /** Outcome of the last search for machines to drain; null if there was none. */
  get lastOutcome(): ConsolidationOutcome | null {
    return this.outcome;
  }

  /** Starts to drain machines whose replicas fit elsewhere. */
  consolidate(now: number): void {
    if (!this.isDue(now)) return;
    this.nextSearchAt = now + SEARCH_INTERVAL_MS;
    if (this.hasWaitingServices()) return;
    const { candidates, draining } = this.findCandidates(now);
    // Each move interrupts a replica for a moment: moves are limited to a rate that users do not notice.
    this.moveCredit = Math.min(
      MAX_MOVE_CREDIT,
      this.moveCredit + this.state.totals.replicas * MOVE_CREDIT_PER_REPLICA,
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
      const result = this.tryPlaceReplicas(candidate, search);
      outcome[result]++;
      if (result === 'drained') this.drain(candidate, now);
    }
  }

  private isDue(now: number): boolean {
    return (
      now >= this.nextSearchAt &&
      this.options.holdsLeadership() &&
      this.state.areAllTeamsSynced() &&
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
    if (!replicas.every((replica) => hasRunLongEnough(replica, now))) return null;
    const gain = machineType.hourlyPrice / replicas.length / (1 + machine.images.size / IMAGES_HALVING_GAIN);
    return { machine, replicas, gain };
  }

  private beginSearch(now: number): ConsolidationSearch {
    // Batch work may be preempted for the replicas: it is cheaper to run elsewhere.
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

  /**
   * Finds capacity elsewhere for all replicas of a machine, without using capacity that the service reserve
   * or the warm demand (slots on machines that hold a service's image) needs. The search is updated only if
   * the result is `drained`.
   */
  private tryPlaceReplicas(
    { machine, replicas }: Candidate,
    search: ConsolidationSearch,
  ): 'noCapacity' | 'neededByReserve' | 'imagesLost' | 'drained' {
    const capacities = copyCapacities(
      search.capacities.filter((capacity) => capacity.machineName !== machine.name),
    );
    const targets: string[] = [];
    const onPlaced = (capacity: FreeCapacity) => targets.push(capacity.machineName);
    if (!replicas.every((replica) => this.placeReplica(capacities, { replica, machine }, onPlaced)))
      return 'noCapacity';
    const trialCapacities = copyCapacities(capacities);
    const { scarceZone } = this.state;
    if (search.reserve.some((demand) => fill(trialCapacities, demand, { scarceZone }) > 0))
      return 'neededByReserve';
    const coldReplicas = coldReplicaCount(capacities, search.warmDemand);
    if (coldReplicas > search.coldReplicas) return 'imagesLost';
    search.coldReplicas = coldReplicas;
    search.capacities = capacities;
    for (const target of targets) search.targets.add(target);
    return 'drained';
  }

  /**
   * Places a replica on another machine of the same zone that holds its image; returns whether one was found.
   */
  private placeReplica(
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
      'draining machine to consolidate replicas',
    );
    this.state.requestEvictions(replicas, now, `${machine.name} is emptied`);
    this.moveCredit -= replicas.length;
  }
}

function hasRunLongEnough(replica: Allocation, now: number): boolean {
  return (
    replica.desiredState === 'run' &&
    replica.reportedStatus?.phase === 'running' &&
    now - replica.phaseSince >= MIN_RUN_MS
  );
}
