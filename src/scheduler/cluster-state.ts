import {
  type CancellationCoverage,
  CancellationWatermarks,
  isLeaseRenewalCovered,
  renewalWindowMs,
} from '../model/cancellation-coverage.js';
import type { Clock } from '../model/clock.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import type { TaskAttempt } from '../model/job.js';
import type { Logger } from '../model/logger.js';
import type { MachineType } from '../model/machine-type.js';
import type { PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { Policy, PolicyInput } from '../model/policy.js';
import type { LeaderMessage } from '../model/shard-messages.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import { EndedAttempts } from './ended-attempts.js';
import { RentalBackoff } from './fleet/rental-backoff.js';
import type { ImageLocations } from './image-locations.js';
import {
  type Allocation,
  createMachine,
  emptyTotals,
  isWithoutStoredPlacement,
  lastProofOfLife,
  type Machine,
  totalsOf,
} from './machine.js';
import { emptyCapacity, type FreeCapacity } from './placement/free-capacity.js';

export interface SchedulerOptions {
  instanceId: string;
  fencingToken: number;
  teams: Map<string, Team>;
  workerTiming: { heartbeatIntervalSeconds: number; leaseSeconds: number; cancellationSeconds: number };
  machineListLagSeconds: number;
  /** Calls a second that the cloud takes. */
  cloudCallsPerSecond: number;
  images: ImageLocations;
  objectives: ServiceLevelObjective[];
  /** A first scheduler ever finds no machines of an earlier one on their way. */
  isFirstEver: boolean;
  clock: Clock;
  log: Logger;
  cloud: CloudProvider;
  workers: WorkerCommandPort;
  machineTypes(): MachineType[];
  policy(input: PolicyInput): Policy;
  /** Still known to be the leader: new starts, rentals and deletions are allowed. */
  holdsLeadership(): boolean;
  send(instanceId: string, message: LeaderMessage): void;
  wake(): void;
  /** A higher token was seen: another scheduler acts. */
  onHigherToken(token: number): void;
  /** Siblings heard from a moment ago. */
  reachablePeers(): number;
  /** What the leader before this one had told of cancellations. */
  inheritedCoverage(): CancellationCoverage | null;
  /** Known here to be stored as cancelled, whatever its owner has read. */
  isCancelled(job: string): boolean;
  /** All that any user was told to be cancelled between the two times is known here. */
  cancellationsKnown(now: number): { since: number; at: number };
  /** Nothing but this controller's own network explains what is seen. */
  resign(reason: string): void;
  /** Held-back commands stand in the way of a stop: a higher token would end them. */
  raiseFencingToken(reason: string): void;
}

export interface ShardOwnerRef {
  instanceId: string;
  shardEpoch: number;
  isSynced: boolean;
  /** When this controller learnt of it. */
  since: number;
}

export interface QueuedRequest {
  request: ResourceRequest;
  instanceId: string;
}

/**
 * What the scheduler knows: machines, the entries on them, owners and what they want. Sums are kept by what changes, so
 * that nothing costs by the size of the fleet that need not.
 */
export class ClusterState {
  readonly fencingToken: number;
  readonly machines = new Map<string, Machine>();
  readonly deletedMachines = new Set<string>();
  readonly owners = new Map<string, ShardOwnerRef>();
  readonly requests = new Map<string, ResourceRequest[]>();
  /** Grants not yet told to be stored, by job, and where each is. */
  readonly openGrants = new Map<string, Set<number>>();
  readonly grantMachines = new Map<number, Machine>();
  /** Machines whose entries changed since they were last summed up. */
  private readonly changedMachines = new Set<Machine>();
  /** Machines that are up and have something free, or something about to be free. */
  readonly machinesWithCapacity = new Set<Machine>();
  readonly machinesWithStops = new Set<Machine>();
  /** Machines on which something may have to be stopped yet. */
  private readonly machinesStopping = new Set<Machine>();
  readonly watermarks: CancellationWatermarks;
  private readonly renewalWindowMs: number;
  /** Entries whose owners were asked to stop them. */
  readonly evictions = new Set<Allocation>();
  private readonly usedByTeam = new Map<string, { cpus: number; gpus: number }>();
  readonly totals = { services: 0, serviceCpus: 0, batchTasks: 0, ranks: [0, 0, 0, 0] };
  private machineTypeList: MachineType[] = [];
  machineTypes = new Map<string, MachineType>();
  scarceZone: string | null = null;
  scarceZoneAt = Number.NEGATIVE_INFINITY;
  /** Zones most of whose machines are silent while others are heard: cut off rather than dead. */
  cutZones = new Set<string>();
  /** Ordinary machines without replicas that the reserve lies on. */
  reserveMachines = new Set<string>();
  /** Until then work is short of places. */
  shortageUntil = 0;
  readonly reservedMachines = new Set<Machine>();
  readonly endedAttempts = new EndedAttempts();
  /** Machines whose ended attempts alone keep work waiting: they are removed without waiting for others. */
  blockingMachines: ReadonlySet<string> = new Set();
  /** Machines with places that a waiting gang has gathered: they are kept although they are empty. */
  gatheredMachines: ReadonlySet<string> = new Set();
  /** Refused rentals. */
  readonly rentalBackoff = new RentalBackoff(5000, 15000);
  readonly startedAt: number;
  readonly serviceProfiles = new Map<string, { request: ResourceRequest; at: number }>();
  isDirty = true;
  machinesListed = false;
  policy: Policy;

  constructor(readonly options: SchedulerOptions) {
    this.fencingToken = options.fencingToken;
    this.startedAt = options.clock.now();
    this.watermarks = new CancellationWatermarks([...options.teams.keys()]);
    this.renewalWindowMs = renewalWindowMs(options.workerTiming);
    this.policy = options.policy(this.policyInput());
  }

  isSynced(team: string): boolean {
    return this.owners.get(team)?.isSynced === true;
  }

  allSynced(): boolean {
    for (const t of this.options.teams.keys()) if (!this.isSynced(t)) return false;
    return true;
  }

  isCurrentOwner(instanceId: string, team: string): boolean {
    const owner = this.owners.get(team);
    return owner?.instanceId === instanceId && owner.isSynced;
  }

  imageFetchSeconds(w: { imageGb: number }): number {
    let slowest = Number.POSITIVE_INFINITY;
    for (const machineType of this.options.machineTypes())
      slowest = Math.min(slowest, machineType.imageFetchGbPerSecond);
    return Number.isFinite(slowest) ? w.imageGb / Math.max(0.01, slowest) : 0;
  }

  /**
   * What services need, by image and by whether they must be spread: one kind must not hide the other, and a new
   * scheduler learns both from the replicas that run, not only from those that wait.
   */
  learnServiceProfile(request: ResourceRequest): void {
    const key = `${request.image}|${request.zoneAllowance !== null}`;
    if (!this.serviceProfiles.has(key)) this.scarceZoneAt = Number.NEGATIVE_INFINITY;
    this.serviceProfiles.set(key, { request: request, at: this.options.clock.now() });
  }

  allocationOfGrant(id: number): Allocation | undefined {
    return this.grantMachines.get(id)?.allocations.get(`grant#${id}`);
  }

  dropGrants(ids: number[]): void {
    for (const id of ids) {
      const machine = this.grantMachines.get(id);
      const allocation = machine?.allocations.get(`grant#${id}`);
      if (machine && allocation) this.removeAllocation(machine, allocation);
    }
    this.isDirty = true;
  }

  removeAllocation(machine: Machine, allocation: Allocation): void {
    machine.allocations.delete(allocation.key);
    this.evictions.delete(allocation);
    if (allocation.desiredState === 'hold') {
      this.grantMachines.delete(allocation.grantId);
      const ids = this.openGrants.get(allocation.jobId);
      ids?.delete(allocation.grantId);
      if (ids?.size === 0) this.openGrants.delete(allocation.jobId);
    }
    this.markChanged(machine);
  }

  markChanged(machine: Machine): void {
    this.changedMachines.add(machine);
    this.isDirty = true;
  }

  /** Sums up what has changed, so that a pass costs by the changes and not by the size of the fleet. */
  refresh(): void {
    const list = this.options.machineTypes();
    if (list !== this.machineTypeList) {
      this.machineTypeList = list;
      this.machineTypes = new Map(list.map((machineType) => [machineType.name, machineType]));
      for (const machine of this.machines.values()) this.changedMachines.add(machine);
    }
    for (const machine of this.changedMachines) {
      this.addToTotals(machine, -1);
      const busy = machine.totals.unfinishedTasks;
      machine.totals =
        this.machines.get(machine.name) === machine
          ? totalsOf(machine, this.machineTypes.get(machine.machineType))
          : emptyTotals();
      this.addToTotals(machine, 1);
      const totals = machine.totals;
      if (busy > 0 && totals.unfinishedTasks === 0) machine.idleSince = this.options.clock.now();
      if (machine.isUp && totals.isTypeKnown && totals.free.cpus > 1e-9)
        this.machinesWithCapacity.add(machine);
      else this.machinesWithCapacity.delete(machine);
      if (machine.isUp && totals.isTypeKnown && totals.stopping.cpus > 0) this.machinesWithStops.add(machine);
      else this.machinesWithStops.delete(machine);
    }
    this.changedMachines.clear();
  }

  private addToTotals(machine: Machine, sign: 1 | -1): void {
    const totals = machine.totals;
    for (const t of totals.teams) {
      const u = this.usedByTeam.get(t.team) ?? { cpus: 0, gpus: 0 };
      u.cpus += sign * t.cpus;
      u.gpus += sign * t.gpus;
      this.usedByTeam.set(t.team, u);
    }
    this.totals.services += sign * totals.replicas;
    this.totals.serviceCpus += sign * totals.replicaCpus;
    this.totals.batchTasks += sign * totals.batchTasks;
    for (let k = 0; k < 4; k++) this.totals.ranks[k]! += sign * totals.runningByPriority[k]!;
  }

  // ---- cancellations --------------------------------------------------------------------------------

  /**
   * Before this time whatever users were told to be cancelled has become stops for a team: by what its owner has read,
   * or, from there on, by what all controllers have told one another.
   */
  private watermark(team: string, now: number): number {
    const h = this.watermarks.of(team);
    const told = this.options.cancellationsKnown(now);
    return h >= told.since ? Math.max(h, told.at) : h;
  }

  private lowestWatermark(now: number): number {
    let h = Number.POSITIVE_INFINITY;
    for (const t of this.options.teams.keys()) h = Math.min(h, this.watermark(t, now));
    return h;
  }

  /** All that was cancelled before some moment young enough has become stops for this team. */
  isCovered(team: string, now: number): boolean {
    return now - this.watermark(team, now) <= this.renewalWindowMs;
  }

  /**
   * May this machine's lease be renewed? The answer that does it carries the stops for what was cancelled before the
   * horizon of every team with tasks there; what was cancelled later ends with this lease, in time. Before all owners
   * have told what they hold nobody knows what is there: then what the last leader told of cancellations must do.
   */
  canRenewLease(machine: Machine, now: number): boolean {
    if (!this.watermarks.coversAllTeams) {
      const coverage = this.options.inheritedCoverage();
      const told = this.options.cancellationsKnown(now);
      // What users were told since is known by name: its tasks are stopped wherever a report lists them.
      const at =
        coverage && coverage.completeUntil >= told.since
          ? Math.max(coverage.completeUntil, told.at)
          : (coverage?.completeUntil ?? 0);
      return isLeaseRenewalCovered(
        coverage && { ...coverage, completeUntil: at },
        machine.name,
        now,
        this.renewalWindowMs,
      );
    }
    if (machine.unknownTasks.size > 0 && this.runsUnknownTask(machine))
      return now - this.lowestWatermark(now) <= this.renewalWindowMs;
    const teams = new Set<string>();
    for (const allocation of machine.allocations.values())
      if (allocation.desiredState !== 'forget' && !isWithoutStoredPlacement(allocation))
        teams.add(allocation.team);
    for (const t of teams) if (!this.isCovered(t, now)) return false;
    if (teams.size > 0) return true;
    for (const t of this.options.teams.keys()) if (this.isCovered(t, now)) return true;
    return false;
  }

  /** An entry is to be stopped. */
  noteStop(machine: Machine, allocation: Allocation): void {
    allocation.desiredState = 'stop';
    this.machinesStopping.add(machine);
  }

  /** Stored as cancelled: stopping its tasks is always right, whoever owns them. Returns where some may run. */
  cancel(job: string): Machine[] {
    const out: Machine[] = [];
    for (const machine of this.machines.values())
      for (const allocation of machine.allocations.values()) {
        // Also one that is stopped to make room, and may be saving.
        if (
          allocation.jobId !== job ||
          (allocation.desiredState !== 'run' && allocation.desiredState !== 'stop')
        )
          continue;
        allocation.gracePeriodSeconds = 0;
        this.noteStop(machine, allocation);
        this.markChanged(machine);
        out.push(machine);
      }
    return out;
  }

  /** For siblings: see `Cover`. Null as long as some owner has not told what it holds. */
  coverage(): { at: number; pendingMachines: string[] } | null {
    if (!this.watermarks.coversAllTeams) return null;
    const pendingMachines: string[] = [];
    for (const machine of this.machinesStopping) {
      let some = false;
      if (this.machines.get(machine.name) === machine)
        for (const allocation of machine.allocations.values())
          if (
            allocation.desiredState === 'stop' &&
            !allocation.isFinalized &&
            allocation.reported?.phase !== 'exited'
          )
            some = true;
      if (some) pendingMachines.push(machine.name);
      else this.machinesStopping.delete(machine);
    }
    return { at: this.lowestWatermark(this.options.clock.now()), pendingMachines };
  }

  // ---- workers --------------------------------------------------------------------------------------

  machine(name: string): Machine {
    let machine = this.machines.get(name);
    if (!machine) {
      machine = createMachine(name, this.options.clock.now());
      for (const [image, sizeGb] of this.options.images.imagesOf(name) ?? [])
        machine.images.set(image, sizeGb);
      this.machines.set(name, machine);
    }
    return machine;
  }

  // ---- room -----------------------------------------------------------------------------------------

  /** Fit to be given work. A machine not heard of lately gets nothing new. */
  isUsable(machine: Machine, now: number): boolean {
    if (
      !machine.isUp ||
      machine.isBeingDeleted ||
      machine.isQuarantined ||
      machine.isDraining ||
      machine.evictionDeadline !== null ||
      machine.failedDirectCalls > 0
    )
      return false;
    if (!machine.hasCurrentToken || machine.missedAnswers > 0) return false;
    // One that only answers direct commands gets nothing new: all that is placed there dies at the end of its lease.
    return now - lastProofOfLife(machine) <= this.quietMs() * 1.6 && !this.runsUnknownTask(machine);
  }

  quietMs(): number {
    return (this.options.workerTiming.heartbeatIntervalSeconds * 1.25 + 1) * 1000;
  }

  capacityOf(machine: Machine, now: number): FreeCapacity | null {
    const machineType = this.machineTypes.get(machine.machineType);
    if (!machineType || !machine.totals.isTypeKnown) return null;
    const capacity = emptyCapacity(machineType, machine);
    capacity.images = machine.images;
    if (machine.reservation && machine.reservation.until > now) capacity.reservation = machine.reservation;
    capacity.penaltySeconds =
      (now - lastProofOfLife(machine) > this.quietMs() ? 10 : 0) + (machine.failedJobs.size > 0 ? 20 : 0);
    capacity.isSurplus = this.isSurplus(machine, now);
    capacity.cpus = machine.totals.free.cpus;
    capacity.gpus = machine.totals.free.gpus;
    capacity.memoryGb = machine.totals.free.memoryGb;
    return capacity;
  }

  /** See `Room.surplus`. */
  isSurplus(machine: Machine, now: number): boolean {
    return (
      !machine.isSpot &&
      machine.totals.replicas === 0 &&
      !this.reserveMachines.has(machine.name) &&
      now > this.shortageUntil
    );
  }

  /** Free room of the machines that have any. */
  freeCapacities(now: number): FreeCapacity[] {
    this.refresh();
    const out: FreeCapacity[] = [];
    for (const machine of this.machinesWithCapacity) {
      const capacity = this.isUsable(machine, now) ? this.capacityOf(machine, now) : null;
      if (capacity) out.push(capacity);
    }
    return out;
  }

  /** Runs something nobody claims: how much room it takes is not known. */
  private runsUnknownTask(machine: Machine): boolean {
    for (const key of machine.unknownTasks.keys())
      if (!machine.allocations.has(key) && machine.tasks.get(key)?.phase !== 'exited') return true;
    return false;
  }

  usage(): Map<string, { cpus: number; gpus: number }> {
    const u = new Map<string, { cpus: number; gpus: number }>();
    for (const t of this.options.teams.keys())
      u.set(t, { ...(this.usedByTeam.get(t) ?? { cpus: 0, gpus: 0 }) });
    return u;
  }

  isWithinGuarantee(
    u: { cpus: number; gpus: number } | undefined,
    team: string,
    more: { cpus: number; gpus: number },
  ): boolean {
    const t = this.options.teams.get(team);
    if (!t || !u || (t.guaranteedCpus <= 0 && t.guaranteedGpus <= 0)) return false;
    return (
      u.cpus + more.cpus <= t.guaranteedCpus + 1e-9 &&
      (more.gpus <= 0 || u.gpus + more.gpus <= t.guaranteedGpus + 1e-9)
    );
  }

  // ---- fleet ----------------------------------------------------------------------------------------

  policyInput(): PolicyInput {
    let queued = 0;
    let queuedCpus = 0;
    for (const l of this.requests.values())
      for (const request of l) {
        queued += request.taskCount;
        queuedCpus += request.taskCount * request.cpus;
      }
    const boots = this.options.machineTypes().map((machineType) => machineType.bootSeconds);
    return {
      services: this.totals.services,
      service_cpus: this.totals.serviceCpus,
      queued,
      queued_cpus: queuedCpus,
      batch_running: this.totals.batchTasks,
      machines: this.machines.size,
      report_s: this.options.workerTiming.heartbeatIntervalSeconds,
      lease_s: this.options.workerTiming.leaseSeconds,
      boot_s: boots.length > 0 ? Math.min(...boots) : 30,
    };
  }

  /** Room that services would find if lower work were stopped for them. */
  preemptibleCapacities(now: number): FreeCapacity[] {
    this.refresh();
    const out: FreeCapacity[] = [];
    for (const machine of this.machines.values()) {
      const b = machine.totals.batch;
      if (machine.totals.free.cpus + b.cpus <= 1e-9 || !this.isUsable(machine, now)) continue;
      const capacity = this.capacityOf(machine, now);
      if (!capacity) continue;
      capacity.cpus += b.cpus;
      capacity.gpus += b.gpus;
      capacity.memoryGb += b.memoryGb;
      out.push(capacity);
    }
    return out;
  }

  requestEvictions(entries: Allocation[], now: number, reason: string): void {
    const stops = new Map<string, TaskAttempt[]>();
    for (const allocation of entries) {
      allocation.evictionRequestedAt = now;
      this.evictions.add(allocation);
      const machine = this.machines.get(allocation.machine);
      if (machine) this.markChanged(machine);
      const instanceId = this.owners.get(allocation.team)?.instanceId;
      if (!instanceId) continue;
      const l = stops.get(instanceId) ?? [];
      l.push({ jobId: allocation.jobId, taskIndex: allocation.taskIndex, attempt: allocation.attempt });
      stops.set(instanceId, l);
    }
    for (const [instanceId, tasks] of stops)
      this.options.send(instanceId, { type: 'evict', fencingToken: this.fencingToken, tasks, reason });
  }

  requestLike(e: Omit<PlacementSpec, 'desiredState'>): ResourceRequest {
    return {
      jobId: e.jobId,
      team: e.team,
      jobClass: '',
      priority: e.priority,
      queuePosition: 0,
      missedObjectives: 0,
      taskCount: 1,
      allOrNothing: false,
      isService: e.isService,
      cpus: e.cpus,
      gpus: e.gpus,
      memoryGb: e.memoryGb,
      image: e.image,
      imageGb: e.imageGb,
      estimatedRunSeconds: e.estimatedRunSeconds,
      machineTypes: e.machineTypes,
      spotAllowed: false,
      zone: null,
      zoneAffinity: false,
      zoneAllowance: null,
      maxTasksPerZone: 1,
      avoidedMachines: [],
      preferredMachine: '',
      maxWaitSeconds: null,
      objectiveSeconds: null,
      slackSeconds: null,
      lastGrantTaken: 0,
    };
  }
}
