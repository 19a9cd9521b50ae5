/** The cloud that rents machines. */

import type { ListedMachine, MachineType } from './machine-type.js';
import type { ResultCallback } from './result.js';

export interface CloudProvider {
  listMachineTypes(callback: ResultCallback<MachineType[]>): void;
  rentMachines(
    claim: string,
    type: string,
    zone: string,
    spot: boolean,
    n: number,
    callback: ResultCallback<string[]>,
  ): void;
  deleteMachines(names: string[], callback: ResultCallback<null>): void;
  listMachines(since: string, callback: ResultCallback<{ machines: ListedMachine[]; more: boolean }>): void;
}
