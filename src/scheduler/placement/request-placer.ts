/** Serves single requests within one pass: grants places, waits for places being freed, has others freed. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState } from '../cluster-state.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { AttemptConflicts } from './attempt-conflicts.js';
import { capacitiesBeingFreed } from './capacity-being-freed.js';
import { avoidsAnyMachine, subtract } from './capacity-filter.js';
import { equivalenceKey } from './equivalence-key.js';
import { fill } from './fill.js';
import type { CapacityDemand, FreeCapacity } from './free-capacity.js';
import type { GangReservations } from './gang-reservations.js';
import type { GrantIssuer } from './grants.js';
import type { JobConditionTimes } from './job-condition-times.js';
import type { PassRequest } from './pass-requests.js';
import type { Preemption } from './preemption.js';
import { addUsage, type UsageByTeam } from './usage-by-team.js';
import type { WaitObjectives } from './wait-objectives.js';

/** What lives between passes. */
export interface PlacementContext {
  options: SchedulerOptions;
  state: ClusterState;
  objectives: WaitObjectives;
  /** Since when some of a job's work has found no capacity. */
  unplacedSince: JobConditionTimes;
  /** Since when nothing at all of a job has found capacity. */
  nothingPlacedSince: JobConditionTimes;
  grants: GrantIssuer;
  preemption: Preemption;
  gangReservations: GangReservations;
  attemptConflicts: AttemptConflicts;
}

/** Holds the capacities of one pass and takes from them. */
export class RequestPlacer {
  /** Tasks for which machines are to be rented. */
  readonly unplaced: CapacityDemand[] = [];
  private readonly usage: UsageByTeam;
  private readonly now: number;
  private readonly scarceZone: string | null;
  private readonly capacities: FreeCapacity[];
  private readonly capacitiesByImage = new Map<string, FreeCapacity[]>();
  private readonly beingFreed: FreeCapacity[];
  /** Kinds of requests that find no capacity any more. */
  private readonly exhaustedKeys = new Set<string>();
  /** Jobs with machines reserved for them: they may find what others like them don't. */
  private readonly jobsWithReservation = new Set<string>();
  private readonly isLeader: boolean;

  constructor(
    private readonly context: PlacementContext,
    { usage, now }: { usage: UsageByTeam; now: number },
  ) {
    const { state, options } = context;
    this.usage = usage;
    this.now = now;
    this.scarceZone = state.scarceZone;
    this.capacities = state.freeCapacities(now);
    for (const { reservation } of state.machinesWithReservation)
      if (reservation) this.jobsWithReservation.add(reservation.jobId);
    this.beingFreed = capacitiesBeingFreed(state, now);
    this.isLeader = options.holdsLeadership();
  }

  /** Keeps what these tasks would take out of reach of all requests served later. */
  reserveCapacity(demand: CapacityDemand): void {
    fill(this.capacities, demand, { scarceZone: this.scarceZone });
  }

  /** Grants places on machines that hold the request's image; returns how many tasks are left. */
  placeOnWarmMachines(entry: PassRequest, count: number): number {
    return this.grantFrom(this.warmCapacities(entry.request.image), entry, count);
  }

  /** Grants places wherever there are any; what is left waits, has others stopped, or is left to renting. */
  place(entry: PassRequest, count: number): void {
    const { request } = entry;
    let remaining = count;
    if (request.isService) remaining = this.placeReplicasOnWarmMachines(entry, remaining);
    remaining = this.grantFrom(this.capacities, entry, remaining);
    this.recordOutcome({ request, count }, remaining);
    if (remaining <= 0) this.context.unplacedSince.clear(request.jobId);
    else if (request.isGang) this.reserveForGang(entry, remaining);
    else this.waitOrPreempt(entry, remaining);
  }

  /** A replica that has to fetch its image is late by far more than one that waits for a task to stop. */
  private placeReplicasOnWarmMachines(entry: PassRequest, count: number): number {
    const { request } = entry;
    const { now, usage } = this;
    let remaining = this.placeOnWarmMachines(entry, count);
    if (remaining > 0) {
      const warm = this.beingFreed.filter((capacity) => capacity.images?.has(request.image) === true);
      remaining = this.claimCapacityBeingFreed(warm, { request, count: remaining });
    }
    if (remaining > 0 && this.isLeader)
      remaining -= this.context.preemption.preempt(
        { request, count: remaining },
        { usage, now, warmOnly: true },
      );
    return remaining;
  }

  private recordOutcome(demand: CapacityDemand, remaining: number): void {
    const { nothingPlacedSince, attemptConflicts } = this.context;
    const { jobId } = demand.request;
    if (remaining < demand.count) {
      nothingPlacedSince.clear(jobId);
      attemptConflicts.onPlaced(jobId);
    } else {
      nothingPlacedSince.record(jobId, this.now);
      attemptConflicts.onUnplaced(demand, this.capacities, this.now);
    }
  }

  /** Stops already under way are waited for before more is stopped. */
  private waitOrPreempt(entry: PassRequest, count: number): void {
    const { request } = entry;
    const { now, usage } = this;
    const key = `${equivalenceKey(request)}|promised`;
    let remaining = count;
    if (!this.exhaustedKeys.has(key)) {
      remaining = this.claimCapacityBeingFreed(this.beingFreed, { request, count });
      if (remaining === count && !avoidsAnyMachine(request)) this.exhaustedKeys.add(key);
    }
    if (remaining <= 0) return;
    // Places come free all the time: a moment's wait often saves the work that a stop would lose.
    const isPreemptionDue = this.recordUnplaced(entry);
    if (this.isLeader && isPreemptionDue)
      remaining -= this.context.preemption.preempt(
        { request, count: remaining },
        { usage, now, warmOnly: false },
      );
    // What capacity is being freed for needs no machine.
    if (remaining > 0) this.unplaced.push({ request, count: remaining });
  }

  /**
   * A gang without capacity for all of its tasks keeps what there is out of reach of what comes after it; what it lacks
   * is freed of lower work once it has waited, or rented.
   */
  private reserveForGang(entry: PassRequest, count: number): void {
    const { request } = entry;
    const { now, usage } = this;
    const { gangReservations, options, preemption } = this.context;
    const missing = gangReservations.reserve(this.capacities, { request, count }, now);
    let remaining = this.claimCapacityBeingFreed(this.beingFreed, missing);
    const isPreemptionDue = this.recordUnplaced(entry);
    const shouldPreempt = options.holdsLeadership() && isPreemptionDue;
    const taskRequest = missing.request;
    if (remaining > 0 && shouldPreempt)
      remaining -= preemption.preempt(
        { request: taskRequest, count: remaining },
        { usage, now, warmOnly: false },
      );
    if (remaining > 0) this.unplaced.push({ request: taskRequest, count: remaining });
  }

  /** Notes that work has found no capacity; returns whether that has been so for so long that others are stopped for it. */
  private recordUnplaced({ request, isWithinGuarantee }: PassRequest): boolean {
    const { unplacedSince, objectives } = this.context;
    const since = unplacedSince.record(request.jobId, this.now);
    return this.now - since >= objectives.preemptAfterMs(request, isWithinGuarantee);
  }

  /** What comes into capacity being freed counts as used, or one task's guarantee would be claimed for all. */
  private claimCapacityBeingFreed(beingFreed: FreeCapacity[], demand: CapacityDemand): number {
    return fill(beingFreed, demand, {
      scarceZone: this.scarceZone,
      onPlaced: () => addUsage(this.usage, demand.request),
    });
  }

  /** Grants places for up to `count` tasks; returns how many were left. */
  private grantFrom(capacities: FreeCapacity[], entry: PassRequest, count: number): number {
    const { request } = entry;
    if (!this.isLeader || count <= 0) return count;
    const key = this.exhaustedKeyFor(request, capacities);
    if (key !== null && this.exhaustedKeys.has(key)) return count;
    if (request.isGang) return this.grantToGang(capacities, entry, count);
    const remaining = fill(
      capacities,
      { request, count },
      {
        scarceZone: this.scarceZone,
        onPlaced: (capacity) => this.grantOn(capacity, entry),
      },
    );
    // One that must be spread or joined may have left some for want of a zone, and not of capacity.
    const isExhausted = request.zoneAllowance || request.zoneAffinity ? remaining === count : remaining > 0;
    if (key !== null && isExhausted && !avoidsAnyMachine(request)) this.exhaustedKeys.add(key);
    return remaining;
  }

  /** Null: what others like it did not find says nothing of this one. */
  private exhaustedKeyFor(request: ResourceRequest, capacities: FreeCapacity[]): string | null {
    if (request.isGang || this.jobsWithReservation.has(request.jobId)) return null;
    return `${equivalenceKey(request)}|${capacities === this.capacities ? '' : request.image}`;
  }

  /** Places for all tasks of a gang, or for none. */
  private grantToGang(capacities: FreeCapacity[], entry: PassRequest, count: number): number {
    const { request } = entry;
    const chosen = this.context.attemptConflicts.chooseForGang(capacities, { request, count });
    if (!chosen) return count;
    for (const capacity of chosen) {
      subtract(capacity, request);
      this.grantOn(capacity, entry);
    }
    return 0;
  }

  private grantOn(capacity: FreeCapacity, entry: PassRequest): void {
    const machine = this.context.state.machines.get(capacity.machineName);
    if (!machine) throw new Error(`free capacity of an unknown machine ${capacity.machineName}`);
    addUsage(this.usage, entry.request);
    this.context.grants.issue(machine, entry, this.now);
  }

  private warmCapacities(image: string): FreeCapacity[] {
    let warm = this.capacitiesByImage.get(image);
    if (!warm) {
      warm = this.capacities.filter((capacity) => capacity.images?.has(image));
      this.capacitiesByImage.set(image, warm);
    }
    return warm;
  }
}
