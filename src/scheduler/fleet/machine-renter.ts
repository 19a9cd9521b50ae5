/** Requests machines from the cloud, and retries requests that failed for now or got no response. */

import type { RentalRequest } from '../../model/cloud-provider.js';
import type { Result } from '../../model/result.js';
import type { ClusterState } from '../cluster-state.js';
import { emptyMachineCapacity, type FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { RentalOrder } from './rental-planner.js';

/** Maximum number of calls for one rental order, and the step by which the delay before each retry grows. */
const MAX_ATTEMPTS = 6;
const RETRY_DELAY_STEP_MS = 1000;

/** Rents machines, and tracks the orders whose result is not known yet. */
export class MachineRenter {
  /**
   * Rental orders whose call to the cloud is in flight or will be retried, by claim (the id that all calls of
   * an order share).
   */
  private readonly inFlight = new Map<string, RentalOrder>();
  private claimCount = 0;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {}

  rent(rental: RentalOrder): void {
    const claim = `${this.options.instanceId}-${this.state.fencingToken}-${++this.claimCount}`;
    this.inFlight.set(claim, rental);
    this.options.log.info({ claim, ...rental }, 'machines requested');
    this.call({ claim, ...rental }, 1);
  }

  /** Returns the capacities of the machines in the orders whose result is not known yet. */
  requestedCapacities(): FreeCapacity[] {
    const capacities: FreeCapacity[] = [];
    for (const { machineType, zone, isSpot, count } of this.inFlight.values()) {
      const type = this.state.machineTypes.get(machineType);
      if (!type) continue;
      for (let index = 0; index < count; index++)
        capacities.push(emptyMachineCapacity(type, { name: '', zone, isSpot }));
    }
    return capacities;
  }

  private call(request: RentalRequest, attempt: number): void {
    this.options.cloud.rentMachines(request, (result) => {
      this.onResult(request, result, attempt);
      this.state.isDirty = true;
      this.options.wake();
    });
  }

  private onResult(request: RentalRequest, result: Result<string[]>, attempt: number): void {
    const { claim } = request;
    if (result.ok) {
      this.inFlight.delete(claim);
      this.onRented(request, result.value);
    } else if (result.kind === 'notFound') {
      this.inFlight.delete(claim);
      this.state.rentalBackoff.onNotFulfilled(request, this.options.clock.now());
      this.options.log.debug({ ...request }, 'no machines to rent');
      // If an order given up here was executed nonetheless, the cloud's list will show its machines.
    } else if (result.kind === 'invalid' || attempt >= MAX_ATTEMPTS) this.inFlight.delete(claim);
    else this.retryLater(request, attempt);
  }

  private onRented(request: RentalRequest, names: readonly string[]): void {
    const { claim, machineType, zone, isSpot, count } = request;
    const now = this.options.clock.now();
    for (const name of names) {
      if (this.state.deletedMachines.has(name)) continue;
      const machine = this.state.getOrCreateMachine(name);
      // The record of a rented machine may have its type and zone already, if the worker's first heartbeat or
      // the cloud's list arrived before the response to the rental.
      if (machine.machineType !== '') continue;
      machine.machineType = machineType;
      machine.zone = zone;
      machine.isSpot = isSpot;
      machine.rentedAt = now;
    }
    if (names.length < count) this.state.rentalBackoff.onNotFulfilled(request, now);
    else this.state.rentalBackoff.onFulfilled(request);
    this.options.log.debug({ claim, machineCount: names.length }, 'machines rented');
  }

  /**
   * Retries a rental under the same claim: the cloud then returns the machines already rented under it and
   * rents no more.
   */
  private retryLater(request: RentalRequest, attempt: number): void {
    this.options.clock.after(RETRY_DELAY_STEP_MS * attempt, () => {
      if (this.options.holdsLeadership()) this.call(request, attempt + 1);
      else this.inFlight.delete(request.claim);
    });
  }
}
