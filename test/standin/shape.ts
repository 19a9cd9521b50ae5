import type { MachineType, Objective, Team } from '../../src/core/types.js';

/** What a deployment is: the settings that its controllers get, and the machines that its cloud has. */
export interface Shape {
  hosts: string[];
  reportS: number;
  leaseS: number;
  cancelS: number;
  ops: number;
  valueKb: number;
  writeRps: number;
  ttlMs: number;
  types: MachineType[];
  teams: Team[];
  objectives: Objective[];
  /** Machines that the cloud has. */
  capacity: number;
}

const type = (over: Partial<MachineType>): MachineType => ({
  name: 'small',
  cpus: 4,
  gpus: 0,
  mem: 8,
  cacheGb: 20,
  fetchGbPerS: 1,
  price: 0.2,
  spotPrice: 0.08,
  bootS: 8,
  zones: ['a', 'b'],
  ...over,
});
const team = (name: string, cpus: number, cpusMax: number): Team => ({
  name,
  cpus,
  cpusMax,
  gpus: 0,
  gpusMax: 0,
});

export const SHAPE: Shape = {
  hosts: ['c0', 'c1', 'c2'],
  reportS: 2,
  leaseS: 20,
  cancelS: 40,
  ops: 16,
  valueKb: 4,
  writeRps: 100,
  ttlMs: 2500,
  types: [
    type({}),
    type({ name: 'big', cpus: 16, mem: 64, price: 0.9, spotPrice: 0.36, bootS: 5, zones: ['a'] }),
  ],
  teams: [team('red', 12, 40), team('blue', 8, 24), team('free', 0, 0)],
  objectives: [
    { kind: 'wait', cls: 'c', withinS: 1 },
    { kind: 'finished', cls: 'c', withinS: 20 },
  ],
  capacity: 12,
};

/** One team, a thousand machines and more. */
export const FLEET: Shape = {
  ...SHAPE,
  reportS: 6,
  leaseS: 34,
  cancelS: 64,
  ops: 32,
  valueKb: 16,
  ttlMs: 3500,
  teams: [team('red', 0, 0)],
  types: [
    type({ bootS: 20, fetchGbPerS: 0.12, zones: ['a'] }),
    type({
      name: 'big',
      cpus: 32,
      mem: 256,
      cacheGb: 70,
      fetchGbPerS: 0.12,
      price: 1.97,
      spotPrice: 0.77,
      zones: ['a'],
    }),
  ],
  objectives: [
    { kind: 'finished', cls: 'c', withinS: 150 },
    { kind: 'wait', cls: 's', withinS: 1 },
  ],
  capacity: 2000,
};
