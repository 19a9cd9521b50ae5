/** Requests machines from the cloud, and retries requests without a response. */

import type { RentalRequest } from '../../model/cloud-provider.js';
import type { Result } from '../../model/result.js';
import type { ClusterState } from '../cluster-state.js';
import { emptyMachineCapacity, type FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { Rental } from './rental-planner.js';

/**
 * Maximum attempts for a rental without a response, and the step by which the delay before each retry grows.
 */
const MAX_ATTEMPTS = 6;
const RETRY_DELAY_STEP_MS = 1000;

/** Rents machines, and tracks the rentals that are still without a response. */
export class MachineRenter {
  private readonly inFlight = new Map<string, Rental>();
  private claimCount = 0;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {}

  rent(rental: Rental): void {
    const claim = `${this.options.instanceId}-${this.state.fencingToken}-${++this.claimCount}`;
    this.inFlight.set(claim, rental);
    this.options.log.info({ claim, ...rental }, 'machines requested');
    this.call({ claim, ...rental }, 1);
  }

  /** Returns the capacities that rentals without a response may add. */
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
      this.state.rentalBackoff.onRefused(request, this.options.clock.now());
      this.options.log.debug({ ...request }, 'no machines to rent');
    } else if (result.kind === 'invalid' || attempt >= MAX_ATTEMPTS) this.inFlight.delete(claim);
    else this.retryLater(request, attempt);
  }

  private onRented(request: RentalRequest, names: readonly string[]): void {
    const { claim, machineType, zone, isSpot, count } = request;
    const now = this.options.clock.now();
    for (const name of names) {
      if (this.state.deletedMachines.has(name)) continue;
      const machine = this.state.getOrCreateMachine(name);
      // The worker's first heartbeat or the cloud's list arrived before this response.
      if (machine.machineType !== '') continue;
      machine.machineType = machineType;
      machine.zone = zone;
      machine.isSpot = isSpot;
      machine.rentedAt = now;
    }
    if (names.length < count) this.state.rentalBackoff.onRefused(request, now);
    else this.state.rentalBackoff.onFulfilled(request);
    this.options.log.debug({ claim, machineCount: names.length }, 'machines rented');
  }

  /**
   * Retries under the same claim: the cloud then returns the machines already rented under it and rents no
   * more.
   */
  private retryLater(request: RentalRequest, attempt: number): void {
    this.options.clock.after(RETRY_DELAY_STEP_MS * attempt, () => {
      if (this.options.holdsLeadership()) this.call(request, attempt + 1);
      else this.inFlight.delete(request.claim);
    });
  }
}
