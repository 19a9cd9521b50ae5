/** Asks the cloud for machines until it answers. */

import type { RentalRequest } from '../../model/cloud-provider.js';
import type { Result } from '../../model/result.js';
import type { ClusterState } from '../cluster-state.js';
import { emptyMachineCapacity, type FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { Rental } from './rental-planner.js';

/** A call without an answer is repeated so often in all, after pauses that grow by the second. */
const MAX_ATTEMPTS = 6;
const PAUSE_STEP_MS = 1000;

/** Rents machines, and knows which rentals are still without an answer. */
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

  /** Capacities of the machines that rentals without an answer may bring. */
  requestedCapacities(): FreeCapacity[] {
    const capacities: FreeCapacity[] = [];
    for (const { machineType, zone, isSpot, count } of this.inFlight.values()) {
      const type = this.state.machineTypes.get(machineType);
      if (!type) continue;
      for (let machine = 0; machine < count; machine++)
        capacities.push(emptyMachineCapacity(type, { name: '', zone, isSpot }));
    }
    return capacities;
  }

  private call(request: RentalRequest, attempt: number): void {
    this.options.cloud.rentMachines(request, (result) => {
      this.onAnswer(request, result, attempt);
      this.state.isDirty = true;
      this.options.wake();
    });
  }

  private onAnswer(request: RentalRequest, result: Result<string[]>, attempt: number): void {
    const { claim } = request;
    if (result.ok) {
      this.inFlight.delete(claim);
      this.onRented(request, result.value);
    } else if (result.kind === 'notFound') {
      this.inFlight.delete(claim);
      this.state.rentalBackoff.onRefused(request, this.options.clock.now());
      this.options.log.debug({ ...request }, 'no machines to rent');
    } else if (result.kind === 'invalid' || attempt >= MAX_ATTEMPTS) this.inFlight.delete(claim);
    else this.repeatLater(request, attempt);
  }

  private onRented(request: RentalRequest, names: readonly string[]): void {
    const { claim, machineType, zone, isSpot, count } = request;
    const now = this.options.clock.now();
    for (const name of names) {
      if (this.state.deletedMachines.has(name)) continue;
      const machine = this.state.getOrCreateMachine(name);
      // Its worker, or the cloud's list, was faster than this answer.
      if (machine.machineType !== '') continue;
      machine.machineType = machineType;
      machine.zone = zone;
      machine.isSpot = isSpot;
      machine.rentedAt = now;
    }
    if (names.length < count) this.state.rentalBackoff.onRefused(request, now);
    else this.state.rentalBackoff.onFilled(request);
    this.options.log.debug({ claim, machineCount: names.length }, 'machines rented');
  }

  /** The same claim again: what was rented under it is answered, and nothing more is rented. */
  private repeatLater(request: RentalRequest, attempt: number): void {
    this.options.clock.after(PAUSE_STEP_MS * attempt, () => {
      if (this.options.holdsLeadership()) this.call(request, attempt + 1);
      else this.inFlight.delete(request.claim);
    });
  }
}
