/** Serves single requests within one pass: grants slots, claims slots being freed, and preempts tasks. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState } from '../cluster-state.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { AttemptConflicts } from './attempt-conflicts.js';
import { capacitiesBeingFreed } from './capacity-being-freed.js';
import { excludesAnyMachine, subtract } from './capacity-filter.js';
import { equivalenceKey } from './equivalence-key.js';
import { fill } from './fill.js';
import type { CapacityDemand, FreeCapacity } from './free-capacity.js';
import type { GangReservations } from './gang-reservations.js';
import type { GrantIssuer } from './grant-issuer.js';
import type { JobConditionTimes } from './job-condition-times.js';
import type { PassRequest } from './pass-requests.js';
import type { Preemption } from './preemption.js';
import { addUsage, type UsageByTeam } from './usage-by-team.js';
import type { WaitObjectives } from './wait-objectives.js';

/** Components and state that all placement passes share. */
export interface PlacementContext {
  options: SchedulerOptions;
  state: ClusterState;
  objectives: WaitObjectives;
  /** Start times of the periods in which some task of a job has found no capacity. */
  unplacedSince: JobConditionTimes;
  /** Start times of the periods in which no task of a job has found capacity. */
  nothingPlacedSince: JobConditionTimes;
  grants: GrantIssuer;
  preemption: Preemption;
  gangReservations: GangReservations;
  attemptConflicts: AttemptConflicts;
}

/** Holds the free capacities of one pass and places tasks on them. */
export class RequestPlacer {
  /** Tasks for which machines should be rented. */
  readonly unplaced: CapacityDemand[] = [];
  private readonly usage: UsageByTeam;
  private readonly now: number;
  private readonly scarceZone: string | null;
  private readonly capacities: FreeCapacity[];
  /** The capacities in `capacities` whose machines hold an image, by image; built on first use. */
  private readonly capacitiesByImage = new Map<string, FreeCapacity[]>();
  /**
   * Capacities of machines on which tasks are being stopped (see `capacitiesBeingFreed`). Amounts that are
   * free already are counted in `capacities` as well.
   */
  private readonly beingFreed: FreeCapacity[];
  /** Keys of searches for capacity that equivalent requests need not repeat in this pass. */
  private readonly exhaustedKeys = new Set<string>();
  /** Jobs with reserved machines: their requests may find capacity where equivalent requests find none. */
  private readonly jobsWithReservation = new Set<string>();
  private readonly holdsLeadership: boolean;

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
    this.holdsLeadership = options.holdsLeadership();
  }

  /**
   * Sets aside the capacity that the tasks of a demand would take, so that requests served later do not get
   * it.
   */
  reserveCapacity(demand: CapacityDemand): void {
    fill(this.capacities, demand, { scarceZone: this.scarceZone });
  }

  /** Grants slots on warm machines, which hold the request's image. Returns the number not granted. */
  placeOnWarmMachines(entry: PassRequest, count: number): number {
    return this.grantFrom(this.warmCapacities(entry.request.image), entry, count);
  }

  /** Grants slots on any machine. The other tasks claim capacity being freed, preempt, or need rentals. */
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

  /**
   * Places replicas on warm machines, also where capacity is being freed or tasks can be preempted: fetching
   * the image delays a replica far more than waiting for a task to stop. Returns the number not placed.
   */
  private placeReplicasOnWarmMachines(entry: PassRequest, count: number): number {
    const { request } = entry;
    const { now, usage } = this;
    let remaining = this.placeOnWarmMachines(entry, count);
    if (remaining > 0) {
      const warm = this.beingFreed.filter((capacity) => capacity.images?.has(request.image) === true);
      remaining = this.claimCapacityBeingFreed(warm, { request, count: remaining });
    }
    if (remaining > 0 && this.holdsLeadership)
      remaining -= this.context.preemption.preempt(
        { request, count: remaining },
        { usage, now, warmOnly: true },
      );
    return remaining;
  }

  /**
   * Records for the job whether any of its tasks found capacity: a granted slot or, for a replica, also warm
   * capacity that is being freed or preempted.
   */
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

  /**
   * Claims capacity that is already being freed, then preempts tasks if the request has waited long enough.
   * Tasks that find no capacity in either way are added to `unplaced`.
   */
  private waitOrPreempt(entry: PassRequest, count: number): void {
    const { request } = entry;
    const { now, usage } = this;
    const key = `${equivalenceKey(request)}|beingFreed`;
    let remaining = count;
    if (!this.exhaustedKeys.has(key)) {
      remaining = this.claimCapacityBeingFreed(this.beingFreed, { request, count });
      if (remaining === count && !excludesAnyMachine(request)) this.exhaustedKeys.add(key);
    }
    if (remaining <= 0) return;
    // Slots become free all the time: a short wait often avoids the loss of work that preemption causes.
    const isPreemptionDue = this.recordUnplaced(entry);
    if (this.holdsLeadership && isPreemptionDue)
      remaining -= this.context.preemption.preempt(
        { request, count: remaining },
        { usage, now, warmOnly: false },
      );
    // Tasks for which capacity is being freed need no rented machine.
    if (remaining > 0) this.unplaced.push({ request, count: remaining });
  }

  /**
   * Reserves the free capacity for a gang whose tasks do not all fit, so that later requests do not get it.
   * The missing slots are freed by preemption once the gang has waited long enough, or rented.
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

  /** Records that tasks found no capacity. Returns whether they have waited long enough to preempt others. */
  private recordUnplaced({ request, isWithinGuarantee }: PassRequest): boolean {
    const { unplacedSince, objectives } = this.context;
    const since = unplacedSince.record(request.jobId, this.now);
    return this.now - since >= objectives.preemptAfterMs(request, isWithinGuarantee);
  }

  /**
   * Claims capacity being freed for tasks; no slots are granted. Returns the number of tasks that found none.
   * The tasks that found some count as usage of their team: otherwise each further task would claim the same
   * part of the guaranteed share.
   */
  private claimCapacityBeingFreed(beingFreed: FreeCapacity[], demand: CapacityDemand): number {
    return fill(beingFreed, demand, {
      scarceZone: this.scarceZone,
      onPlaced: () => addUsage(this.usage, demand.request),
    });
  }

  /** Grants up to `count` slots, none unless this controller leads. Returns the number not granted. */
  private grantFrom(capacities: FreeCapacity[], entry: PassRequest, count: number): number {
    const { request } = entry;
    if (!this.holdsLeadership || count <= 0) return count;
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
    // If some tasks find no slot, no machine can take another one, so the key is exhausted. But under a
    // zone allowance or zone affinity, tasks may be left for lack of an allowed zone, not of capacity.
    const isExhausted = request.zoneAllowance || request.zoneAffinity ? remaining === count : remaining > 0;
    if (key !== null && isExhausted && !excludesAnyMachine(request)) this.exhaustedKeys.add(key);
    return remaining;
  }

  /**
   * Key of the request in `exhaustedKeys`; null: results of equivalent requests do not apply to it. Warm
   * machines get a key of their own, with the image.
   */
  private exhaustedKeyFor(request: ResourceRequest, capacities: FreeCapacity[]): string | null {
    if (request.isGang || this.jobsWithReservation.has(request.jobId)) return null;
    return `${equivalenceKey(request)}|${capacities === this.capacities ? '' : request.image}`;
  }

  /** Grants slots for all tasks of a gang, or for none. Returns the number of tasks not granted. */
  private grantToGang(capacities: FreeCapacity[], entry: PassRequest, count: number): number {
    const { request } = entry;
    const chosen = this.context.attemptConflicts.chooseWithoutConflicts(capacities, { request, count });
    if (!chosen) return count;
    for (const capacity of chosen) {
      subtract(capacity, request);
      this.grantOn(capacity, entry);
    }
    return 0;
  }

  private grantOn(capacity: FreeCapacity, entry: PassRequest): void {
    const machine = this.context.state.machines.get(capacity.machineName);
    if (!machine) throw new Error(`free capacity refers to unknown machine ${capacity.machineName}`);
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
