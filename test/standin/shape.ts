import type { MachineType } from '../../src/model/machine-type.js';
import type { ServiceLevelObjective, Team } from '../../src/model/team.js';
import type { Sim } from './sim.js';

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
  objectives: ServiceLevelObjective[];
  /** Machines that the cloud has. */
  capacity: number;
  /** Zones that have none of them. */
  empty: string[];
}

const type = (over: Partial<MachineType>): MachineType => ({
  name: 'small',
  cpus: 4,
  gpus: 0,
  memoryGb: 8,
  imageCacheGb: 20,
  imageFetchGbPerSecond: 1,
  hourlyPrice: 0.2,
  hourlySpotPrice: 0.08,
  bootSeconds: 8,
  zones: ['a', 'b'],
  ...over,
});
const team = (name: string, cpus: number, cpusMax: number): Team => ({
  name,
  guaranteedCpus: cpus,
  maxCpus: cpusMax,
  guaranteedGpus: 0,
  maxGpus: 0,
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
    type({
      name: 'big',
      cpus: 16,
      memoryGb: 64,
      hourlyPrice: 0.9,
      hourlySpotPrice: 0.36,
      bootSeconds: 5,
      zones: ['a'],
    }),
  ],
  teams: [team('red', 12, 40), team('blue', 8, 24), team('free', 0, 0)],
  objectives: [
    { kind: 'wait', jobClass: 'c', withinSeconds: 1 },
    { kind: 'finished', jobClass: 'c', withinSeconds: 20 },
  ],
  capacity: 12,
  empty: [],
};

/** A deployment drawn by the seed: controllers, zones, one of them perhaps without capacity, teams, types and times. */
export function drawShape(sim: Sim): Shape {
  const all = ['a', 'b', 'c', 'd'].slice(0, 1 + Math.floor(sim.random() * 4));
  const empty = all.length > 1 && sim.chance(0.4) ? [all.at(-1) as string] : [];
  const reportS = sim.pick([1, 2, 4]);
  const leaseS = reportS * sim.pick([6, 10]);
  const teams = Array.from({ length: 1 + Math.floor(sim.random() * 8) }, (_, i) =>
    team(`t${i}`, sim.pick([0, 8, 12]), sim.pick([0, 16, 24, 40])),
  );
  const types = [type({ zones: all })];
  for (let i = 0; i < Math.floor(sim.random() * 5); i++)
    types.push(
      type({
        name: `big${i}`,
        cpus: sim.pick([8, 16, 32]),
        memoryGb: sim.pick([16, 64]),
        hourlyPrice: sim.between(0.4, 1.8),
        hourlySpotPrice: sim.between(0.1, 0.7),
        bootSeconds: sim.between(3, 15),
        zones: [sim.pick(all)],
      }),
    );
  return {
    ...SHAPE,
    hosts: Array.from({ length: 1 + Math.floor(sim.random() * 7) }, (_, i) => `c${i}`),
    reportS,
    leaseS,
    cancelS: leaseS * 2,
    ops: sim.pick([8, 16, 32]),
    valueKb: sim.pick([4, 8, 16]),
    writeRps: sim.pick([50, 150]),
    types,
    teams,
    capacity: sim.pick([8, 12, 30]),
    empty,
  };
}

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
    type({ bootSeconds: 20, imageFetchGbPerSecond: 0.12, zones: ['a'] }),
    type({
      name: 'big',
      cpus: 32,
      memoryGb: 256,
      imageCacheGb: 70,
      imageFetchGbPerSecond: 0.12,
      hourlyPrice: 1.97,
      hourlySpotPrice: 0.77,
      zones: ['a'],
    }),
  ],
  objectives: [
    { kind: 'finished', jobClass: 'c', withinSeconds: 150 },
    { kind: 'wait', jobClass: 's', withinSeconds: 1 },
  ],
  capacity: 2000,
};
