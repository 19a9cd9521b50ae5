/**
 * What the leader knows of the cluster: machines, the allocations on them, shard owners and what they ask for. It composes
 * the parts that keep sums, grants, cancellations and capacities.
 */

import type { TaskAttempt } from '../model/job.js';
import type { MachineType } from '../model/machine-type.js';
import type { PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { Policy, PolicyInput } from '../model/policy.js';
import type { Allocation } from './allocation.js';
import { EndedAttempts } from './ended-attempts.js';
import { RentalBackoff } from './fleet/rental-backoff.js';
import { createMachine, type Machine } from './machine.js';
import type { FreeCapacity } from './placement/free-capacity.js';
import type { SchedulerOptions } from './scheduler-options.js';
import {
  type FleetTaskTotals,
  FleetTotals,
  isWithinGuarantee,
  type ResourceUsage,
} from './state/fleet-totals.js';
import { LeaseRenewalGuard } from './state/lease-renewal.js';
import { MachineCapacities } from './state/machine-capacities.js';
import { OpenGrants } from './state/open-grants.js';
import { requestFromPlacement } from './state/placement-request.js';
import { type ShardOwnerRef, ShardOwners } from './state/shard-owners.js';

/** A request with the instance that told it. */
export interface OwnerRequest {
  request: ResourceRequest;
  instanceId: string;
}

/** Pause after a refused rental, and the longest one after refusals in a row. */
const RENTAL_BACKOFF_MS = 5000;
const MAX_RENTAL_BACKOFF_MS = 15_000;
/** Stands in for a boot time as long as no machine type is known. */
const DEFAULT_BOOT_SECONDS = 30;
/** Bounds fetch times where a type is listed without a speed. */
const MIN_IMAGE_FETCH_GB_PER_SECOND = 0.01;

/** Machines, allocations, owners, requests and grants, as of now. Times in ms on this controller's clock. */
export class ClusterState {
  readonly fencingToken: number;
  readonly machines = new Map<string, Machine>();
  readonly deletedMachines = new Set<string>();
  private readonly shardOwners: ShardOwners;
  readonly requests = new Map<string, ResourceRequest[]>();
  private readonly grants = new OpenGrants();
  private readonly fleetTotals: FleetTotals;
  private readonly capacities: MachineCapacities;
  readonly leaseRenewal: LeaseRenewalGuard;
  /** Machines to which something may have to be sent. */
  readonly machinesToContact = new Set<Machine>();
  /** Allocations whose owners were asked to stop them. */
  readonly evictions = new Set<Allocation>();
  scarceZone: string | null = null;
  scarceZoneUpdatedAt = Number.NEGATIVE_INFINITY;
  /** Zones most of whose machines are unresponsive while others are heard: cut off rather than dead. */
  partitionedZones = new Set<string>();
  /** Ordinary machines without replicas that the reserve lies on. */
  reserveMachines = new Set<string>();
  /** Until then work is short of places. */
  shortageUntil = 0;
  readonly machinesWithReservation = new Set<Machine>();
  readonly endedAttempts = new EndedAttempts();
  /** Machines whose ended attempts alone keep work waiting: they are removed without waiting for others. */
  blockingMachines: ReadonlySet<string> = new Set();
  /** Machines with places that a waiting gang has gathered: they are kept although they are empty. */
  machinesHeldForGangs: ReadonlySet<string> = new Set();
  /** Refused rentals. */
  readonly rentalBackoff = new RentalBackoff(RENTAL_BACKOFF_MS, MAX_RENTAL_BACKOFF_MS);
  readonly startedAt: number;
  readonly serviceProfiles = new Map<string, { request: ResourceRequest; recordedAt: number }>();
  isDirty = true;
  hasMachineList = false;
  policy: Policy;

  constructor(readonly options: SchedulerOptions) {
    this.fencingToken = options.fencingToken;
    this.startedAt = options.clock.now();
    this.shardOwners = new ShardOwners(options.teams);
    this.fleetTotals = new FleetTotals(options, this.machines);
    this.capacities = new MachineCapacities(options.workerTiming.heartbeatIntervalSeconds, this);
    this.leaseRenewal = new LeaseRenewalGuard(options, this.machines);
    this.policy = options.policy(this.policyInput());
  }

  // ---- owners ---------------------------------------------------------------------------------------

  /** Shard owners by team. */
  get owners(): Map<string, ShardOwnerRef> {
    return this.shardOwners.byTeam;
  }

  /** The team's owner has told all it holds. */
  isSynced(team: string): boolean {
    return this.shardOwners.isSynced(team);
  }

  /** Every placement that is stored is known here. */
  areAllOwnersSynced(): boolean {
    return this.shardOwners.areAllSynced();
  }

  /** What this instance tells of the team counts. */
  isCurrentOwner(instanceId: string, team: string): boolean {
    return this.shardOwners.isCurrentOwner(instanceId, team);
  }

  /** Asks the owners of these to stop them: they know whether a task may save, and with how much grace. */
  requestEvictions(allocations: Allocation[], now: number, reason: string): void {
    const tasksByOwner = new Map<string, TaskAttempt[]>();
    for (const allocation of allocations) {
      allocation.evictionRequestedAt = now;
      this.evictions.add(allocation);
      const machine = this.machines.get(allocation.machine);
      if (machine) this.markChanged(machine);
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
   * What services need, by image and by whether they must be spread: one kind must not hide the other, and a new
   * leader learns both from the replicas that run, not only from those that wait.
   */
  recordServiceProfile(request: ResourceRequest): void {
    const key = `${request.image}|${request.zoneAllowance !== null}`;
    if (!this.serviceProfiles.has(key)) this.scarceZoneUpdatedAt = Number.NEGATIVE_INFINITY;
    this.serviceProfiles.set(key, { request, recordedAt: this.options.clock.now() });
  }

  /** What one more task like this would ask for. */
  requestFromPlacement(placement: Omit<PlacementSpec, 'desiredState'>): ResourceRequest {
    return requestFromPlacement(placement);
  }

  /** Seconds that the slowest machine type needs to fetch an image; 0 as long as no type is known. */
  imageFetchSeconds({ imageGb }: { imageGb: number }): number {
    let slowest = Number.POSITIVE_INFINITY;
    for (const machineType of this.options.machineTypes())
      slowest = Math.min(slowest, machineType.imageFetchGbPerSecond);
    return Number.isFinite(slowest) ? imageGb / Math.max(MIN_IMAGE_FETCH_GB_PER_SECOND, slowest) : 0;
  }

  // ---- allocations and grants -----------------------------------------------------------------------

  /** Grants not yet told to be stored, by job. */
  get openGrants(): Map<string, Set<number>> {
    return this.grants.byJob;
  }

  /** Where each open grant is. */
  get machinesByGrant(): Map<number, Machine> {
    return this.grants.machinesByGrant;
  }

  /** The allocation that holds a grant's capacity; undefined: the grant is no longer open. */
  allocationOfGrant(id: number): Allocation | undefined {
    return this.grants.allocationOf(id);
  }

  /** These grants no longer hold capacity. */
  dropGrants(ids: number[]): void {
    for (const id of ids) {
      const machine = this.machinesByGrant.get(id);
      const allocation = this.grants.allocationOf(id);
      if (machine && allocation) this.removeAllocation(machine, allocation);
    }
    this.isDirty = true;
  }

  /** It no longer takes capacity, whatever it was. */
  removeAllocation(machine: Machine, allocation: Allocation): void {
    machine.allocations.delete(allocation.key);
    this.evictions.delete(allocation);
    if (allocation.desiredState === 'hold') this.grants.remove(allocation);
    this.markChanged(machine);
  }

  /** Stored as cancelled: stopping its tasks is always right, whoever owns them. Returns where some may run. */
  cancel(jobId: string): Machine[] {
    const affected: Machine[] = [];
    for (const machine of this.machines.values())
      for (const allocation of machine.allocations.values()) {
        // Also one that is stopped to make room, and may be saving.
        if (
          allocation.jobId !== jobId ||
          (allocation.desiredState !== 'run' && allocation.desiredState !== 'stop')
        )
          continue;
        allocation.gracePeriodSeconds = 0;
        this.leaseRenewal.markForStop(machine, allocation);
        this.markChanged(machine);
        affected.push(machine);
      }
    return affected;
  }

  // ---- machines and totals --------------------------------------------------------------------------

  /** The machine of this name; one not heard of before begins here. */
  getOrCreateMachine(name: string): Machine {
    let machine = this.machines.get(name);
    if (!machine) {
      machine = createMachine(name, this.options.clock.now());
      for (const [image, sizeGb] of this.options.images.imagesOf(name) ?? [])
        machine.images.set(image, sizeGb);
      this.machines.set(name, machine);
    }
    return machine;
  }

  /** Something on this machine has changed: its totals are made anew, and the next pass looks at it. */
  markChanged(machine: Machine): void {
    this.fleetTotals.markChanged(machine);
    this.isDirty = true;
  }

  /** Sums up what has changed. */
  refreshTotals(): void {
    this.fleetTotals.refresh();
  }

  /** Machine types by name, as of the last `refreshTotals`. */
  get machineTypes(): Map<string, MachineType> {
    return this.fleetTotals.machineTypes;
  }

  /** Running tasks of the whole fleet, as of the last `refreshTotals`. */
  get totals(): FleetTaskTotals {
    return this.fleetTotals.taskTotals;
  }

  /** Machines that are up and have something free. */
  get machinesWithCapacity(): Set<Machine> {
    return this.fleetTotals.machinesWithCapacity;
  }

  /** Machines that are up and on which something is being stopped. */
  get machinesWithStops(): Set<Machine> {
    return this.fleetTotals.machinesWithStops;
  }

  /** What each team uses; a copy that the caller may count on in. */
  usage(): Map<string, ResourceUsage> {
    return this.fleetTotals.usage();
  }

  /** Whether a team that uses so much would still be within its guarantee with a task of this size more. */
  isWithinGuarantee(
    usage: ResourceUsage | undefined,
    team: string,
    task: { cpus: number; gpus: number },
  ): boolean {
    return isWithinGuarantee(usage, this.options.teams.get(team), task);
  }

  /** What the policy's expressions may use. */
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
      services: this.totals.services,
      serviceCpus: this.totals.serviceCpus,
      queuedTasks: queued,
      queuedCpus: queuedCpus,
      runningBatchTasks: this.totals.batchTasks,
      machines: this.machines.size,
      heartbeatIntervalSeconds: this.options.workerTiming.heartbeatIntervalSeconds,
      leaseSeconds: this.options.workerTiming.leaseSeconds,
      bootSeconds: bootSeconds.length > 0 ? Math.min(...bootSeconds) : DEFAULT_BOOT_SECONDS,
    };
  }

  // ---- capacities -----------------------------------------------------------------------------------

  /** Fit to be given work. */
  isUsable(machine: Machine, now: number): boolean {
    return this.capacities.isUsable(machine, now);
  }

  /** What is free on a machine; null: its type is not known. */
  capacityOf(machine: Machine, now: number): FreeCapacity | null {
    return this.capacities.capacityOf(machine, now);
  }

  /** See `FreeCapacity.isSurplus`. */
  isSurplus(machine: Machine, now: number): boolean {
    return this.capacities.isSurplus(machine, now);
  }

  /** Free capacity of the machines that have any. */
  freeCapacities(now: number): FreeCapacity[] {
    return this.capacities.freeCapacities(now);
  }

  /** Capacity that services would find if lower work were stopped for them. */
  preemptibleCapacities(now: number): FreeCapacity[] {
    return this.capacities.preemptibleCapacities(now);
  }
}
