import type { MachineType } from '../../src/model/machine-type.js';
import type { ServiceLevelObjective, Team } from '../../src/model/team.js';
import type { Simulator } from './simulated-time.js';

/** What a deployment is: the settings that its controllers get, and the machines that its cloud has. */
export interface ClusterConfig {
  nodeNames: string[];
  heartbeatIntervalSeconds: number;
  leaseSeconds: number;
  cancellationSeconds: number;
  maxTransactionOperations: number;
  maxValueKb: number;
  writesPerSecond: number;
  leaseTtlMs: number;
  machineTypes: MachineType[];
  teams: Team[];
  objectives: ServiceLevelObjective[];
  /** Machines that the cloud has. */
  machineCapacity: number;
  /** Zones that have none of them. */
  zonesWithoutCapacity: string[];
}

const makeMachineType = (over: Partial<MachineType>): MachineType => ({
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
const makeTeam = (name: string, cpus: number, cpusMax: number): Team => ({
  name,
  guaranteedCpus: cpus,
  maxCpus: cpusMax,
  guaranteedGpus: 0,
  maxGpus: 0,
});

export const CLUSTER_CONFIG: ClusterConfig = {
  nodeNames: ['c0', 'c1', 'c2'],
  heartbeatIntervalSeconds: 2,
  leaseSeconds: 20,
  cancellationSeconds: 40,
  maxTransactionOperations: 16,
  maxValueKb: 4,
  writesPerSecond: 100,
  leaseTtlMs: 2500,
  machineTypes: [
    makeMachineType({}),
    makeMachineType({
      name: 'big',
      cpus: 16,
      memoryGb: 64,
      hourlyPrice: 0.9,
      hourlySpotPrice: 0.36,
      bootSeconds: 5,
      zones: ['a'],
    }),
  ],
  teams: [makeTeam('red', 12, 40), makeTeam('blue', 8, 24), makeTeam('free', 0, 0)],
  objectives: [
    { kind: 'wait', jobClass: 'c', withinSeconds: 1 },
    { kind: 'finished', jobClass: 'c', withinSeconds: 20 },
  ],
  machineCapacity: 12,
  zonesWithoutCapacity: [],
};

/** A deployment drawn by the seed: controllers, zones, one of them perhaps without capacity, teams, types and times. */
export function drawClusterConfig(simulator: Simulator): ClusterConfig {
  const all = ['a', 'b', 'c', 'd'].slice(0, 1 + Math.floor(simulator.random() * 4));
  const empty = all.length > 1 && simulator.chance(0.4) ? [all.at(-1) as string] : [];
  const reportS = simulator.pick([1, 2, 4]);
  const leaseS = reportS * simulator.pick([6, 10]);
  const teams = Array.from({ length: 1 + Math.floor(simulator.random() * 8) }, (_, i) =>
    makeTeam(`t${i}`, simulator.pick([0, 8, 12]), simulator.pick([0, 16, 24, 40])),
  );
  const types = [makeMachineType({ zones: all })];
  for (let i = 0; i < Math.floor(simulator.random() * 5); i++)
    types.push(
      makeMachineType({
        name: `big${i}`,
        cpus: simulator.pick([8, 16, 32]),
        memoryGb: simulator.pick([16, 64]),
        hourlyPrice: simulator.between(0.4, 1.8),
        hourlySpotPrice: simulator.between(0.1, 0.7),
        bootSeconds: simulator.between(3, 15),
        zones: [simulator.pick(all)],
      }),
    );
  return {
    ...CLUSTER_CONFIG,
    nodeNames: Array.from({ length: 1 + Math.floor(simulator.random() * 7) }, (_, i) => `c${i}`),
    heartbeatIntervalSeconds: reportS,
    leaseSeconds: leaseS,
    cancellationSeconds: leaseS * 2,
    maxTransactionOperations: simulator.pick([8, 16, 32]),
    maxValueKb: simulator.pick([4, 8, 16]),
    writesPerSecond: simulator.pick([50, 150]),
    machineTypes: types,
    teams,
    machineCapacity: simulator.pick([8, 12, 30]),
    zonesWithoutCapacity: empty,
  };
}

/** One team, a thousand machines and more. */
export const LARGE_FLEET_CONFIG: ClusterConfig = {
  ...CLUSTER_CONFIG,
  heartbeatIntervalSeconds: 6,
  leaseSeconds: 34,
  cancellationSeconds: 64,
  maxTransactionOperations: 32,
  maxValueKb: 16,
  leaseTtlMs: 3500,
  teams: [makeTeam('red', 0, 0)],
  machineTypes: [
    makeMachineType({ bootSeconds: 20, imageFetchGbPerSecond: 0.12, zones: ['a'] }),
    makeMachineType({
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
  machineCapacity: 2000,
};
