/** Decides which machines to rent, to drain and to return to the cloud. */

import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import { bootingCapacities } from '../placement/booting-capacity.js';
import { fill } from '../placement/fill.js';
import type { CapacityDemand, FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { fleetComposition } from './fleet-composition.js';
import { type DeleteMachine, IdleMachines } from './idle-machines.js';
import { MachineRenter } from './machine-renter.js';
import { planRentals } from './rental-planner.js';
import { currentPricing } from './rental-pricing.js';
import { ReplicaConsolidation } from './replica-consolidation.js';
import { ServiceReserve } from './service-reserve.js';
import { spotReplacementDemand } from './spot-replacement.js';
import { UnreachableMachines } from './unreachable-machines.js';
import { withoutWaitableDemand } from './waitable-demand.js';

/** How long after the last capacity shortage on-demand machines do not count as surplus. */
const SHORTAGE_HOLD_MS = 10_000;
const LOG_INTERVAL_MS = 30_000;
/** Lower bound of the number of cloud calls that a plan may make, however low the cloud's rate limit is. */
const MIN_CALL_LIMIT_PER_PLAN = 2;

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
    deleteMachine: DeleteMachine,
  ) {
    this.renter = new MachineRenter(options, state);
    this.reserve = new ServiceReserve(options, state);
    this.idleMachines = new IdleMachines(options, state, {
      reserve: this.reserve,
      deleteMachine,
    });
    this.consolidation = new ReplicaConsolidation(options, state, this.reserve);
    this.unreachableMachines = new UnreachableMachines(options, state);
  }

  /**
   * Rents machines and returns idle ones. Machines are rented for tasks that a placement pass left without
   * capacity, for replicas on unreachable machines, for the service reserve, and to replace on-demand
   * machines by spot machines. Each plan may make the calls that the cloud accepts in one second, so this
   * must not be called more often than once per second.
   */
  scaleFleet(now: number, unplaced: CapacityDemand[]): void {
    if (this.options.machineTypes().length === 0 || !this.options.holdsLeadership()) return;
    const expectedCapacities = [...bootingCapacities(this.state, now), ...this.renter.requestedCapacities()];
    const demand = this.rentalDemand(now, unplaced);
    if (demand.length > 0 && this.knowsExistingMachines(now) && this.state.areAllTeamsSynced()) {
      const rentals = planRentals({
        unplaced: demand,
        expectedCapacities,
        ...currentPricing(this.options, this.state, now),
        maxCalls: Math.max(MIN_CALL_LIMIT_PER_PLAN, Math.floor(this.options.cloudCallsPerSecond)),
      });
      for (const rental of rentals) this.renter.rent(rental);
    }
    this.idleMachines.deleteIdle(now, unplaced);
  }

  /** Drains machines whose replicas fit elsewhere. */
  consolidate(now: number): void {
    this.consolidation.consolidate(now);
  }

  /**
   * Whether to keep an unreachable machine for its replicas; subtracts what they would use elsewhere from the
   * capacities.
   */
  shouldKeepUnreachable(machine: Machine, capacities: FreeCapacity[], now: number): boolean {
    return this.unreachableMachines.shouldKeep(machine, capacities, now);
  }

  /** Logs the composition of the fleet, at most every 30 seconds. */
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

  /**
   * Determines the demand for which machines are rented. Also records which machines hold the service
   * reserve, and whether capacity is short.
   */
  private rentalDemand(now: number, unplaced: CapacityDemand[]): CapacityDemand[] {
    const { scarceZone } = this.state;
    // The service reserve may include capacity of batch work that would be preempted for services.
    const capacities = this.state.preemptibleCapacities(now);
    // Services that fit by preempting batch work need no new machine; the preempted work may need one.
    const stillUnplaced = unplaced
      .map((demand) =>
        demand.request.isService
          ? { request: demand.request, count: fill(capacities, demand, { scarceZone }) }
          : demand,
      )
      .filter((demand) => demand.count > 0);
    const missingReserve = this.placeReserve(capacities);
    const replacements = this.unreachableMachines.replacementDemand(now);
    const unmetDemand = withoutWaitableDemand(this.options, this.state, { unplaced: stillUnplaced, now });
    // During a capacity shortage existing on-demand machines are used, rather than left to become idle.
    if (unmetDemand.some(({ request }) => !request.isService && request.spotAllowed))
      this.state.shortageUntil = now + SHORTAGE_HOLD_MS;
    return [...unmetDemand, ...replacements, ...missingReserve, ...spotReplacementDemand(this.state, now)];
  }

  /**
   * Records which machines hold the service reserve (the capacity kept available for new replicas); returns
   * the part of it that finds no capacity.
   */
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

  /**
   * Whether machines rented by an earlier leader are known. A new leader reads the cloud's list and waits for
   * the lag of the list, during which heartbeats and owners report, before it rents.
   */
  private knowsExistingMachines(now: number): boolean {
    return (
      this.options.isFirstLeader ||
      (this.state.hasMachineList && now - this.state.startedAt > this.options.machineListLagSeconds * 1000)
    );
  }
}
