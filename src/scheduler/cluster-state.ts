/**
 * The leader's view of the cluster: machines with their allocations, shard owners, and resource requests. It
 * delegates totals, open grants, lease renewal and capacities to the classes in `state/`.
 */

import type { TaskAttempt } from '../model/job.js';
import type { MachineType } from '../model/machine-type.js';
import type { PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { Policy, PolicyInput } from '../model/policy.js';
import type { Allocation } from './allocation.js';
import { ExitedAttempts } from './exited-attempts.js';
import { RentalBackoff } from './fleet/rental-backoff.js';
import { createMachine, lastPossibleLeaseRenewalAt, type Machine } from './machine.js';
import type { FreeCapacity } from './placement/free-capacity.js';
import type { SchedulerOptions } from './scheduler-options.js';
import {
  type FleetTaskTotals,
  FleetTotals,
  isWithinGuarantee,
  type ResourceUsage,
} from './state/fleet-totals.js';
import { LeaseRenewalGuard } from './state/lease-renewal-guard.js';
import { MachineCapacities } from './state/machine-capacities.js';
import { OpenGrants } from './state/open-grants.js';
import { requestFromPlacement } from './state/request-from-placement.js';
import { type ShardOwnerRef, ShardOwners } from './state/shard-owners.js';
import { restoreContact } from './worker-contacts.js';

/** A resource request, and the instance that sent it. */
export interface OwnerRequest {
  request: ResourceRequest;
  instanceId: string;
}

/**
 * Initial and maximum pause after the cloud had too few machines for a rental; it doubles each time that
 * happens in a row.
 */
const RENTAL_BACKOFF_MS = 5000;
const MAX_RENTAL_BACKOFF_MS = 15_000;
/** Boot time assumed while no machine type is known. */
const DEFAULT_BOOT_SECONDS = 30;
/**
 * Lower bound of the speed at which machines fetch images, so that the estimated fetch time stays finite if a
 * machine type is listed without a speed.
 */
const MIN_IMAGE_FETCH_GB_PER_SECOND = 0.01;

/** Machines, allocations, shard owners, requests and grants. Times in ms on this controller's clock. */
export class ClusterState {
  readonly fencingToken: number;
  readonly machines = new Map<string, Machine>();
  /** Names of machines whose deletion the cloud has confirmed; `MachineDeletion` drops the oldest ones. */
  readonly deletedMachines = new Set<string>();
  private readonly shardOwners: ShardOwners;
  /** Resource requests by the instance that sent them. */
  readonly requests = new Map<string, ResourceRequest[]>();
  private readonly grants = new OpenGrants();
  private readonly fleetTotals: FleetTotals;
  private readonly capacities: MachineCapacities;
  readonly leaseRenewal: LeaseRenewalGuard;
  /** Machines to which commands may have to be sent by the next flush. */
  readonly machinesToContact = new Set<Machine>();
  /** Allocations that their owners were asked to stop; see `Allocation.evictionRequestedAt`. */
  readonly evictions = new Set<Allocation>();
  /** The zone whose on-demand machines are left to jobs that must be spread over zones; null: none. */
  scarceZone: string | null = null;
  scarceZoneUpdatedAt = Number.NEGATIVE_INFINITY;
  /** Zones in which most machines are silent while other zones are not: partitioned rather than failed. */
  partitionedZones = new Set<string>();
  /**
   * Names of the machines that hold the service reserve: the capacity kept free for new replicas of services.
   */
  reserveMachines = new Set<string>();
  /** Until this time capacity counts as short, and no machine is surplus. */
  shortageUntil = 0;
  readonly machinesWithReservation = new Set<Machine>();
  readonly exitedAttempts = new ExitedAttempts();
  /**
   * Names of machines whose exited attempts alone keep work waiting. These attempts are forgotten at once,
   * without waiting for more of them to share the message.
   */
  blockingMachines: ReadonlySet<string> = new Set();
  /** Names of machines reserved for waiting gangs, which are not returned although they are idle. */
  machinesReservedForGangs: ReadonlySet<string> = new Set();
  /** Offers that are not rented for now, because the cloud had too few machines of them. */
  readonly rentalBackoff = new RentalBackoff(RENTAL_BACKOFF_MS, MAX_RENTAL_BACKOFF_MS);
  readonly startedAt: number;
  /** When the first term began of those that this controller has led without another leader in between. */
  readonly leaderSince: number;
  /** Resource needs of known services; see {@link recordServiceProfile}. */
  readonly serviceProfiles = new Map<string, { request: ResourceRequest; recordedAt: number }>();
  /** Whether something has changed since the last placement pass. */
  isDirty = true;
  /** Whether the cloud's list of machines has been read at least once. */
  hasMachineList = false;
  policy: Policy;

  constructor(readonly options: SchedulerOptions) {
    this.fencingToken = options.fencingToken;
    this.startedAt = options.clock.now();
    this.leaderSince = options.previousContacts?.leaderSince ?? this.startedAt;
    this.shardOwners = new ShardOwners(options.teams);
    this.fleetTotals = new FleetTotals(options, this.machines);
    this.capacities = new MachineCapacities(options.workerTiming.heartbeatIntervalSeconds, this);
    this.leaseRenewal = new LeaseRenewalGuard(options, this.machines);
    this.policy = options.policy(this.policyInput());
  }

  // ---- owners ---------------------------------------------------------------------------------------

  /** Shard owners, by team. */
  get owners(): Map<string, ShardOwnerRef> {
    return this.shardOwners.byTeam;
  }

  /** Whether the team has an owner whose full sync has been applied; see {@link ShardOwnerRef.isSynced}. */
  isSynced(team: string): boolean {
    return this.shardOwners.isSynced(team);
  }

  /** Whether each team has an owner that is synced, so that every stored placement is known here. */
  areAllTeamsSynced(): boolean {
    return this.shardOwners.areAllTeamsSynced();
  }

  /** Whether this instance owns the team and is synced, so that its messages about the team are valid. */
  isSyncedOwner(instanceId: string, team: string): boolean {
    return this.shardOwners.isSyncedOwner(instanceId, team);
  }

  /**
   * Asks the owners of these allocations to stop them. Owners know whether a task may save a checkpoint, and
   * with which grace period.
   */
  requestEvictions(allocations: Allocation[], now: number, reason: string): void {
    const tasksByOwner = new Map<string, TaskAttempt[]>();
    for (const allocation of allocations) {
      allocation.evictionRequestedAt = now;
      this.evictions.add(allocation);
      const machine = this.machines.get(allocation.machine);
      if (machine) this.invalidateTotals(machine);
      const instanceId = this.owners.get(allocation.team)?.instanceId;
      if (!instanceId) continue;
      const tasks = tasksByOwner.get(instanceId) ?? [];
      tasks.push({
        jobId: allocation.jobId,
        taskIndex: allocation.taskIndex,
        attempt: allocation.attempt,
      });
      tasksByOwner.set(instanceId, tasks);
    }
    for (const [instanceId, tasks] of tasksByOwner)
      this.options.send(instanceId, { type: 'evict', fencingToken: this.fencingToken, tasks, reason });
  }

  // ---- services -------------------------------------------------------------------------------------

  /**
   * Records the resource needs of a service. Profiles are kept by image and by whether replicas must be
   * spread over zones, so that neither kind of service hides the other. Running replicas are recorded too: a
   * new leader must not depend on waiting ones.
   */
  recordServiceProfile(request: ResourceRequest): void {
    const key = `${request.image}|${request.zoneAllowance !== null}`;
    if (!this.serviceProfiles.has(key)) this.scarceZoneUpdatedAt = Number.NEGATIVE_INFINITY;
    this.serviceProfiles.set(key, { request, recordedAt: this.options.clock.now() });
  }

  /** The resource request of one more task like this placement. */
  requestFromPlacement(placement: Omit<PlacementSpec, 'desiredState'>): ResourceRequest {
    return requestFromPlacement(placement);
  }

  /** Seconds that the slowest machine type needs to fetch an image; 0 while no type is known. */
  imageFetchSeconds({ imageGb }: { imageGb: number }): number {
    let slowest = Number.POSITIVE_INFINITY;
    for (const machineType of this.options.machineTypes())
      slowest = Math.min(slowest, machineType.imageFetchGbPerSecond);
    return Number.isFinite(slowest) ? imageGb / Math.max(MIN_IMAGE_FETCH_GB_PER_SECOND, slowest) : 0;
  }

  // ---- allocations and grants -----------------------------------------------------------------------

  /** Ids of the grants without a stored placement, by job. */
  get openGrants(): Map<string, Set<number>> {
    return this.grants.byJob;
  }

  /** The machine of each open grant (one without a stored placement), by grant id. */
  get machinesByGrant(): Map<number, Machine> {
    return this.grants.machinesByGrant;
  }

  /** The allocation of a grant; undefined if the grant is no longer open. */
  allocationOfGrant(id: number): Allocation | undefined {
    return this.grants.allocationOf(id);
  }

  /** Removes grants, which frees their capacity. */
  removeGrants(ids: number[]): void {
    for (const id of ids) {
      const machine = this.machinesByGrant.get(id);
      const allocation = this.grants.allocationOf(id);
      if (machine && allocation) this.removeAllocation(machine, allocation);
    }
    this.isDirty = true;
  }

  /** Removes an allocation in any state from its machine, and from the open grants and evictions. */
  removeAllocation(machine: Machine, allocation: Allocation): void {
    machine.allocations.delete(allocation.key);
    this.evictions.delete(allocation);
    if (allocation.desiredState === 'granted') this.grants.remove(allocation);
    this.invalidateTotals(machine);
  }

  /**
   * Sets the desired state of a job's tasks to `stop`. The job is stored as cancelled, so this is correct
   * whoever owns its shard. Returns the machines on which its tasks may run, once for each of its tasks.
   */
  cancel(jobId: string): Machine[] {
    const affected: Machine[] = [];
    for (const machine of this.machines.values())
      for (const allocation of machine.allocations.values()) {
        // A task that is already being stopped may still be saving a checkpoint: its grace period ends now.
        if (
          allocation.jobId !== jobId ||
          (allocation.desiredState !== 'run' && allocation.desiredState !== 'stop')
        )
          continue;
        allocation.gracePeriodSeconds = 0;
        this.leaseRenewal.stopAllocation(machine, allocation);
        this.invalidateTotals(machine);
        affected.push(machine);
      }
    return affected;
  }

  // ---- machines and totals --------------------------------------------------------------------------

  /** Returns the machine of this name, and creates it if it was not known before. */
  getOrCreateMachine(name: string): Machine {
    let machine = this.machines.get(name);
    if (!machine) {
      machine = createMachine(name, this.options.clock.now());
      const contact = this.options.previousContacts?.byMachine.get(name);
      if (contact) restoreContact(machine, contact);
      for (const [image, sizeGb] of this.options.imageLocations.imagesOf(name) ?? [])
        machine.images.set(image, sizeGb);
      this.machines.set(name, machine);
    }
    return machine;
  }

  /**
   * The latest time at which a machine's lease may have been renewed, by this leader or, until this controller
   * became the leader, by an earlier one.
   */
  latestLeaseRenewalAt(machine: Machine): number {
    return Math.max(lastPossibleLeaseRenewalAt(machine), this.leaderSince);
  }

  /** Invalidates the totals of a machine: the next refresh recomputes them, and a placement pass is due. */
  invalidateTotals(machine: Machine): void {
    this.fleetTotals.invalidateTotals(machine);
    this.isDirty = true;
  }

  /** Recomputes the totals of the machines that have changed. */
  refreshTotals(): void {
    this.fleetTotals.refresh();
  }

  /** Machine types by name, as of the last `refreshTotals`. */
  get machineTypes(): Map<string, MachineType> {
    return this.fleetTotals.machineTypes;
  }

  /** Totals of the tasks that use capacity in the whole fleet, as of the last `refreshTotals`. */
  get totals(): FleetTaskTotals {
    return this.fleetTotals.taskTotals;
  }

  /** Machines of known type that are up and have free CPUs, as of the last `refreshTotals`. */
  get machinesWithCapacity(): Set<Machine> {
    return this.fleetTotals.machinesWithCapacity;
  }

  /**
   * Machines of known type that are up and on which tasks are being stopped, or were requested to be, as of
   * the last `refreshTotals`.
   */
  get machinesWithStops(): Set<Machine> {
    return this.fleetTotals.machinesWithStops;
  }

  /**
   * The resources in use by each team as of the last `refreshTotals`, as a copy that the caller may modify.
   */
  usage(): Map<string, ResourceUsage> {
    return this.fleetTotals.usage();
  }

  /**
   * Whether one more task of this size would keep a team within its guaranteed share; false for a team
   * without one.
   */
  isWithinGuarantee(
    usage: ResourceUsage | undefined,
    team: string,
    task: { cpus: number; gpus: number },
  ): boolean {
    return isWithinGuarantee(usage, this.options.teams.get(team), task);
  }

  /** The variables of the policy's expressions. */
  policyInput(): PolicyInput {
    let queued = 0;
    let queuedCpus = 0;
    for (const requests of this.requests.values())
      for (const request of requests) {
        queued += request.taskCount;
        queuedCpus += request.taskCount * request.cpus;
      }
    const bootSeconds = this.options.machineTypes().map((machineType) => machineType.bootSeconds);
    return {
      serviceReplicas: this.totals.replicas,
      serviceCpus: this.totals.replicaCpus,
      queuedTasks: queued,
      queuedCpus,
      runningBatchTasks: this.totals.batchTasks,
      machines: this.machines.size,
      heartbeatIntervalSeconds: this.options.workerTiming.heartbeatIntervalSeconds,
      leaseSeconds: this.options.workerTiming.leaseSeconds,
      bootSeconds: bootSeconds.length > 0 ? Math.min(...bootSeconds) : DEFAULT_BOOT_SECONDS,
    };
  }

  // ---- capacities -----------------------------------------------------------------------------------

  /** Whether new work may be placed on a machine. */
  isUsable(machine: Machine, now: number): boolean {
    return this.capacities.isUsable(machine, now);
  }

  /** The free capacity of a machine; null while its type is not known. */
  capacityOf(machine: Machine, now: number): FreeCapacity | null {
    return this.capacities.capacityOf(machine, now);
  }

  /** Whether a machine is surplus; see {@link FreeCapacity.isSurplus}. */
  isSurplus(machine: Machine, now: number): boolean {
    return this.capacities.isSurplus(machine, now);
  }

  /** The free capacity of each usable machine that has free CPUs. */
  freeCapacities(now: number): FreeCapacity[] {
    return this.capacities.freeCapacities(now);
  }

  /** The capacity of each usable machine that is free or could be freed by preempting batch tasks. */
  preemptibleCapacities(now: number): FreeCapacity[] {
    return this.capacities.preemptibleCapacities(now);
  }
}
