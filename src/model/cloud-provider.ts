/** The cloud that rents machines, as the scheduler uses it. */

import type { ListedMachine, MachineType } from './machine-type.js';
import type { ResultCallback } from './result.js';

/** Up to `count` machines of one type in one zone. */
export interface RentalRequest {
  /** Made up by the caller: a repeat under the same claim gets the same answer, and rents nothing more. */
  claim: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  count: number;
}

/** Calls answer once, by their callback; a call without an answer (`unknown`) may have been carried out all the same. */
export interface CloudProvider {
  listMachineTypes(callback: ResultCallback<MachineType[]>): void;
  /** Answers the names of the machines rented, which may be fewer than asked for; `gone`: there are none now. */
  rentMachines(request: RentalRequest, callback: ResultCallback<string[]>): void;
  deleteMachines(names: string[], callback: ResultCallback<null>): void;
  /** One page of the list: the machines whose names come after `since`. */
  listMachines(since: string, callback: ResultCallback<{ machines: ListedMachine[]; more: boolean }>): void;
}
