/** Decides which machines to rent, to empty and to return. */

import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import { bootingCapacities } from '../placement/booting-capacity.js';
import { fill } from '../placement/fill.js';
import type { CapacityDemand, FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { fleetComposition } from './fleet-composition.js';
import { IdleMachines, type RemoveMachine } from './idle-machines.js';
import { MachineRenter } from './machine-renter.js';
import { planRentals } from './rental-planner.js';
import { currentPricing } from './rental-pricing.js';
import { ReplicaConsolidation } from './replica-consolidation.js';
import { ServiceReserve } from './service-reserve.js';
import { spotReplacementDemand } from './spot-replacement.js';
import { UnreachableMachines } from './unreachable-machines.js';
import { withoutWaitable } from './waitable-demand.js';

/** So long after work was last short of places ordinary machines are still left to it. */
const SHORTAGE_HOLD_MS = 10_000;
const LOG_INTERVAL_MS = 30_000;
/** Calls that a plan may make, however slow the cloud is. */
const MIN_CALLS_PER_PLAN = 2;

/** The leader's autoscaler. */
export class FleetManager {
  private nextLogAt = 0;
  private readonly renter: MachineRenter;
  private readonly reserve: ServiceReserve;
  private readonly idleMachines: IdleMachines;
  private readonly consolidation: ReplicaConsolidation;
  private readonly unreachableMachines: UnreachableMachines;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    remove: RemoveMachine,
  ) {
    this.renter = new MachineRenter(options, state);
    this.reserve = new ServiceReserve(options, state);
    this.idleMachines = new IdleMachines(options, state, { reserve: this.reserve, remove });
    this.consolidation = new ReplicaConsolidation(options, state, this.reserve);
    this.unreachableMachines = new UnreachableMachines(options, state);
  }

  /** Rents for the tasks that a pass has left without capacity and for the reserve, and returns idle machines. */
  scaleFleet(now: number, unplaced: CapacityDemand[]): void {
    if (this.options.machineTypes().length === 0 || !this.options.holdsLeadership()) return;
    const expectedCapacities = [...bootingCapacities(this.state, now), ...this.renter.requestedCapacities()];
    const demand = this.rentalDemand(now, unplaced);
    if (demand.length > 0 && this.isSettled(now) && this.state.areAllOwnersSynced()) {
      const rentals = planRentals({
        unplaced: demand,
        expectedCapacities,
        ...currentPricing(this.options, this.state, now),
        maxCalls: Math.max(MIN_CALLS_PER_PLAN, Math.floor(this.options.cloudCallsPerSecond)),
      });
      for (const rental of rentals) this.renter.rent(rental);
    }
    this.idleMachines.returnIdle(now, unplaced);
  }

  /** Empties machines whose replicas have a place elsewhere. */
  consolidate(now: number): void {
    this.consolidation.consolidate(now);
  }

  /** Whether a machine that is not heard is left its lease; takes what its replicas would use from the capacities. */
  keepsUnreachable(machine: Machine, capacities: FreeCapacity[], now: number): boolean {
    return this.unreachableMachines.keeps(machine, capacities, now);
  }

  /** At most every half minute. */
  logFleet(now: number): void {
    if (now < this.nextLogAt) return;
    this.nextLogAt = now + LOG_INTERVAL_MS;
    let requestCount = 0;
    for (const requests of this.state.requests.values()) requestCount += requests.length;
    this.options.log.info(
      {
        machinesByKind: fleetComposition(this.state),
        consolidation: this.consolidation.lastOutcome,
        requestCount,
      },
      'fleet',
    );
  }

  private rentalDemand(now: number, unplaced: CapacityDemand[]): CapacityDemand[] {
    const { scarceZone } = this.state;
    // The reserve may lie in capacity that lower work uses now and would be stopped for.
    const capacities = this.state.preemptibleCapacities(now);
    // Services for which lower work will be stopped need no machine; that work may need one.
    const open = unplaced
      .map((demand) =>
        demand.request.isService
          ? { request: demand.request, count: fill(capacities, demand, { scarceZone }) }
          : demand,
      )
      .filter((demand) => demand.count > 0);
    const missingReserve = this.placeReserve(capacities);
    const replacements = this.unreachableMachines.replacementDemand(now);
    const short = withoutWaitable(this.options, this.state, { unplaced: open, now });
    // As long as work is short of places, ordinary machines that are there are used, and not left to run empty.
    if (short.some(({ request }) => !request.isService && request.spotAllowed))
      this.state.shortageUntil = now + SHORTAGE_HOLD_MS;
    return [...short, ...replacements, ...missingReserve, ...spotReplacementDemand(this.state, now)];
  }

  /** Notes on which machines the reserve lies; returns the part that finds no capacity. */
  private placeReserve(capacities: FreeCapacity[]): CapacityDemand[] {
    const { scarceZone } = this.state;
    const reserveMachines = new Set<string>();
    const onPlaced = (capacity: FreeCapacity) => reserveMachines.add(capacity.machineName);
    const missing = this.reserve
      .demand()
      .map((demand) => ({
        request: demand.request,
        count: fill(capacities, demand, { scarceZone, onPlaced }),
      }))
      .filter((demand) => demand.count > 0);
    this.state.reserveMachines = reserveMachines;
    return missing;
  }

  /** A new leader lets the cloud's list, the heartbeats and the owners speak first. */
  private isSettled(now: number): boolean {
    return (
      this.options.isFirstLeader ||
      (this.state.hasMachineList && now - this.state.startedAt > this.options.machineListLagSeconds * 1000)
    );
  }
}
