/** The interface to the cloud that machines are rented from. */

import type { ListedMachine, MachineType } from './machine-type.js';
import type { ResultCallback } from './result.js';

/** A request for up to `count` machines of one type in one zone. */
export interface RentalRequest {
  /**
   * Idempotency key chosen by the caller: a repeated request with the same claim gets the same result and
   * rents no further machines.
   */
  claim: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  count: number;
}

/**
 * Operations of the cloud. Each calls back exactly once; a call that fails as `indeterminate` may still have
 * been executed.
 */
export interface CloudProvider {
  /** Reads the machine types that can be rented. */
  listMachineTypes(callback: ResultCallback<MachineType[]>): void;
  /**
   * Rents machines. The result names them; there may be fewer than requested. Fails as `notFound` if none are
   * available.
   */
  rentMachines(request: RentalRequest, callback: ResultCallback<string[]>): void;
  /** Deletes machines by name. */
  deleteMachines(names: string[], callback: ResultCallback<null>): void;
  /** Reads one page of the list of rented machines: those whose names sort after `afterName`. */
  listMachines(
    afterName: string,
    callback: ResultCallback<{ machines: ListedMachine[]; hasMore: boolean }>,
  ): void;
}
