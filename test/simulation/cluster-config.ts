/** Configurations of the simulated clusters. */

import type { MachineType } from '../../src/model/machine-type.js';
import type { ServiceLevelObjective, Team } from '../../src/model/team.js';
import type { Simulator } from './simulated-time.js';

/** Settings of the controllers of a simulated cluster, and the capacity of its cloud. */
export interface ClusterConfig {
  /** One controller runs on each node. */
  nodeNames: string[];
  /** Interval of the heartbeats of workers. */
  heartbeatIntervalSeconds: number;
  /** A worker whose lease was not renewed for this time ends its tasks and starts a new epoch. */
  leaseSeconds: number;
  /** Time after the confirmed cancellation of a job within which its tasks must have ended. */
  cancellationSeconds: number;
  maxTransactionOperations: number;
  maxValueKb: number;
  writesPerSecond: number;
  /** Time to live of the leases of controllers in the key-value store. */
  leaseTtlMs: number;
  machineTypes: MachineType[];
  teams: Team[];
  objectives: ServiceLevelObjective[];
  /** Number of machines that the cloud can rent out at a time. */
  machineCapacity: number;
  /** Zones in which the cloud has no machines. */
  zonesWithoutCapacity: string[];
}

const makeMachineType = (overrides: Partial<MachineType>): MachineType => ({
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
  ...overrides,
});
const makeTeam = (name: string, guaranteedCpus: number, maxCpus: number): Team => ({
  name,
  guaranteedCpus,
  maxCpus,
  guaranteedGpus: 0,
  maxGpus: 0,
});

/** The default: three controllers, two machine types in two zones and three teams, one without a quota. */
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

/**
 * Returns a random configuration: the controllers, teams, machine types, zones and time settings vary with
 * the seed, and the last of several zones may have no capacity.
 */
export function randomClusterConfig(simulator: Simulator): ClusterConfig {
  const zones = ['a', 'b', 'c', 'd'].slice(0, 1 + Math.floor(simulator.random() * 4));
  const zonesWithoutCapacity = zones.length > 1 && simulator.chance(0.4) ? [zones.at(-1) as string] : [];
  const heartbeatIntervalSeconds = simulator.pick([1, 2, 4]);
  const leaseSeconds = heartbeatIntervalSeconds * simulator.pick([6, 10]);
  const teams = Array.from({ length: 1 + Math.floor(simulator.random() * 8) }, (_, index) =>
    makeTeam(`t${index}`, simulator.pick([0, 8, 12]), simulator.pick([0, 16, 24, 40])),
  );
  const machineTypes = [makeMachineType({ zones })];
  for (let index = 0; index < Math.floor(simulator.random() * 5); index++)
    machineTypes.push(
      makeMachineType({
        name: `big${index}`,
        cpus: simulator.pick([8, 16, 32]),
        memoryGb: simulator.pick([16, 64]),
        hourlyPrice: simulator.between(0.4, 1.8),
        hourlySpotPrice: simulator.between(0.1, 0.7),
        bootSeconds: simulator.between(3, 15),
        zones: [simulator.pick(zones)],
      }),
    );
  return {
    ...CLUSTER_CONFIG,
    nodeNames: Array.from({ length: 1 + Math.floor(simulator.random() * 7) }, (_, index) => `c${index}`),
    heartbeatIntervalSeconds,
    leaseSeconds,
    cancellationSeconds: leaseSeconds * 2,
    maxTransactionOperations: simulator.pick([8, 16, 32]),
    maxValueKb: simulator.pick([4, 8, 16]),
    writesPerSecond: simulator.pick([50, 150]),
    machineTypes,
    teams,
    machineCapacity: simulator.pick([8, 12, 30]),
    zonesWithoutCapacity,
  };
}
