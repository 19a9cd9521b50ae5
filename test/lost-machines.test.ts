/** Machines that are lost all at once, and leaders that hear no machine. */

import { describe, expect, test } from 'vitest';
import { CLUSTER_CONFIG, type ClusterConfig } from './simulation/cluster-config.js';
import {
  isLeader,
  leaderOf,
  raiseFencingToken,
  runFor,
  runUntil,
  workersOfJob,
} from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';

/** Time within which the tasks of lost machines must run again: the users' limit for a job that waits. */
const MAX_RECOVERY_MS = 90_000;
/** The same while controllers do not reach each other: the users' limit for the start of their largest jobs. */
const MAX_RECOVERY_WITHOUT_PEERS_MS = 240_000;
/** Longer than any test: tasks run until they are lost. */
const RUN_SECONDS = 3600;
/** The shortest interval at which a leader raises its fencing token. */
const RAISE_INTERVAL_MS = 15_000;
const SEEDS = [1, 2, 3];
/** More machines than any test rents. */
const FIRST_MACHINES = Array.from({ length: 60 }, (_, index) => `vm-${String(index + 1).padStart(6, '0')}`);
const SHORT_LEASES = { heartbeatIntervalSeconds: 2, leaseSeconds: 20, cancellationSeconds: 40 };
const FAST_HEARTBEATS = { heartbeatIntervalSeconds: 1, leaseSeconds: 20, cancellationSeconds: 40 };
const SLOW_HEARTBEATS = { heartbeatIntervalSeconds: 10, leaseSeconds: 60, cancellationSeconds: 120 };
const LONG_LEASES = { heartbeatIntervalSeconds: 6, leaseSeconds: 34, cancellationSeconds: 64 };

type RunningJob = ReturnType<typeof submitJob>;

function makeConfig(controllerCount: number, timing: typeof SHORT_LEASES): ClusterConfig {
  const nodeNames = Array.from({ length: controllerCount }, (_, index) => `c${index}`);
  return { ...CLUSTER_CONFIG, ...timing, nodeNames };
}

/** Starts a cluster whose only job has each task on a machine of its own. */
function startJob(seed: number, config: ClusterConfig, taskCount: number): RunningJob {
  const simulation = new ClusterSimulation(seed, config);
  const job = submitJob(simulation, taskCount);
  expectAllTasksRunning(job, 120_000);
  // Machines that never boot are returned meanwhile.
  runFor(simulation, 40_000);
  return job;
}

/** Submits a job each of whose tasks takes a machine of its own and runs until it is lost. */
function submitJob(simulation: ClusterSimulation, taskCount: number) {
  simulation.bootsFaultyMachines = false;
  simulation.runDurationMs = () => RUN_SECONDS * 1000;
  const spec = makeJobSpec(simulation, {
    team: 'free',
    taskCount,
    cpus: 4,
    machineTypes: ['small'],
    estimatedRunSeconds: RUN_SECONDS,
  });
  simulation.users.submitJob(spec);
  return { simulation, jobId: spec.id, taskCount };
}

function expectWithin(simulation: ClusterSimulation, timeoutMs: number, condition: () => boolean): void {
  expect(runUntil(simulation, { timeoutMs, stepMs: 200 }, condition)).toBe(true);
}

function expectAllTasksRunning({ simulation, jobId, taskCount }: RunningJob, withinMs: number): void {
  expectWithin(simulation, withinMs, () => workersOfJob(simulation, jobId).length === taskCount);
}

function destroyAllMachines({ workers, machines }: ClusterSimulation): void {
  for (const name of [...workers.keys()]) machines.destroy(name);
}

/** The highest fencing token that a controller knows. */
function fencingToken({ nodeNames, controllers }: ClusterSimulation): number {
  return Math.max(...nodeNames.map((name) => controllers.get(name)!.controller.status().leader.fencingToken));
}

function othersOf(nodeNames: readonly string[], nodeName: string): string[] {
  return nodeNames.filter((other) => other !== nodeName);
}

function cutFrom({ network }: ClusterSimulation, nodeName: string, others: Iterable<string>): void {
  for (const other of others) network.cut(nodeName, other, 'reset');
}

/** Has the leader raise its fencing token now and after each `RAISE_INTERVAL_MS`. */
function raiseFencingTokenRepeatedly(simulation: ClusterSimulation): void {
  raiseFencingToken(simulation, leaderOf(simulation));
  simulation.simulator.scheduleAfter(RAISE_INTERVAL_MS, () => raiseFencingTokenRepeatedly(simulation));
}

describe('all machines are lost at once', () => {
  const clusters = [1, 2, 3, 5].flatMap((controllers) => SEEDS.map((seed) => ({ controllers, seed })));
  const cases = [SHORT_LEASES, LONG_LEASES].flatMap((timing) =>
    clusters.map((cluster) => ({ ...cluster, timing })),
  );

  // Guards against leaders that resign one after the other because no machine is heard, each before it has
  // given up the lost machines: no task of the job was ever started again.
  test.each(cases)(
    'the job runs again ($controllers controllers, leases of $timing.leaseSeconds s, seed $seed)',
    (options) => {
      const job = startJob(options.seed, makeConfig(options.controllers, options.timing), 4);
      destroyAllMachines(job.simulation);
      expectAllTasksRunning(job, MAX_RECOVERY_MS);
      expect(job.simulation.violations).toEqual([]);
    },
  );
});

describe('all machines are lost at once, and the controllers do not reach each other', () => {
  const cases = [2, 3, 5].flatMap((controllers) => SEEDS.map((seed) => ({ controllers, seed })));

  // Guards against leaders that hand over again and again, since none knows that the others have heard no
  // machine either.
  test.each(cases)('the job runs again ($controllers controllers, seed $seed)', (options) => {
    const job = startJob(options.seed, makeConfig(options.controllers, LONG_LEASES), 4);
    const { nodeNames } = job.simulation;
    for (const nodeName of nodeNames) cutFrom(job.simulation, nodeName, othersOf(nodeNames, nodeName));
    destroyAllMachines(job.simulation);
    expectAllTasksRunning(job, MAX_RECOVERY_WITHOUT_PEERS_MS);
    expect(job.simulation.violations).toEqual([]);
  });
});

describe('a leader that is cut off from its workers', () => {
  const clusters = [3, 5].flatMap((controllers) => SEEDS.map((seed) => ({ controllers, seed })));
  const cases = [1, 2, 4].flatMap((machines) =>
    clusters.flatMap((cluster) => [
      { ...cluster, machines, others: 'its workers', cutPeers: false },
      { ...cluster, machines, others: 'its workers and its peers', cutPeers: true },
    ]),
  );
  const timings = [FAST_HEARTBEATS, SHORT_LEASES, LONG_LEASES];

  // Guards against a leader that keeps the leadership while workers reach another controller: their leases
  // would expire, and it would delete their machines.
  test.each(timings.flatMap((timing) => cases.map((options) => ({ ...options, timing }))))(
    'hands over ($controllers controllers, $machines machines, heartbeats every $timing.heartbeatIntervalSeconds s, cut off from $others, seed $seed)',
    (options) => {
      const config = makeConfig(options.controllers, options.timing);
      const { simulation, taskCount } = startJob(options.seed, config, options.machines);
      const leader = leaderOf(simulation);
      const workers = [...simulation.workers.values()];
      cutFrom(simulation, leader, simulation.workers.keys());
      if (options.cutPeers) cutFrom(simulation, leader, othersOf(simulation.nodeNames, leader));
      runFor(simulation, 120_000);
      expect(isLeader(simulation, leader)).toBe(false);
      expect(workers.map(({ isAlive, workerEpoch }) => [isAlive, workerEpoch])).toEqual(
        workers.map(() => [true, 1]),
      );
      expect(simulation.taskStarts).toBe(taskCount);
      expect(simulation.violations).toEqual([]);
    },
  );

  // Guards against handovers that go back and forth between controllers that hear no worker, past the one
  // that would hear them.
  test.each(SEEDS)('hands over until a controller leads that hears the workers (seed %i)', (seed) => {
    const job = startJob(seed, makeConfig(5, LONG_LEASES), 4);
    const { simulation } = job;
    const { nodeNames } = simulation;
    const connected = othersOf(nodeNames, leaderOf(simulation))[0]!;
    for (const nodeName of nodeNames) {
      cutFrom(simulation, nodeName, othersOf(nodeNames, nodeName));
      if (nodeName !== connected) cutFrom(simulation, nodeName, simulation.workers.keys());
    }
    const isLeading = () => isLeader(simulation, connected);
    expectWithin(simulation, MAX_RECOVERY_WITHOUT_PEERS_MS, isLeading);
    runFor(simulation, 60_000);
    expect(isLeading()).toBe(true);
    expectAllTasksRunning(job, 0);
    expect(simulation.violations).toEqual([]);
  });

  // Guards against a leader that rents machines one after the other whose workers reach only its peers.
  test.each(SEEDS)('hands over although it has not heard any machine before (seed %i)', (seed) => {
    const simulation = new ClusterSimulation(seed, makeConfig(3, LONG_LEASES));
    runFor(simulation, 5000);
    const leader = leaderOf(simulation);
    cutFrom(simulation, leader, FIRST_MACHINES);
    expectAllTasksRunning(submitJob(simulation, 4), MAX_RECOVERY_MS);
    expect(simulation.violations).toEqual([]);
  });

  // Guards against a leader that keeps the leadership for good because all others have handed over before it.
  test.each(SEEDS)('hands over to one that reaches the workers again (seed %i)', (seed) => {
    const job = startJob(seed, makeConfig(2, LONG_LEASES), 4);
    const { simulation } = job;
    const [first, second] = [leaderOf(simulation), othersOf(simulation.nodeNames, leaderOf(simulation))[0]!];
    cutFrom(simulation, first, [second, ...FIRST_MACHINES]);
    cutFrom(simulation, second, FIRST_MACHINES);
    expectWithin(simulation, MAX_RECOVERY_MS, () => isLeader(simulation, second));
    for (const other of [second, ...FIRST_MACHINES]) simulation.network.heal(first, other);
    expectWithin(simulation, MAX_RECOVERY_MS, () => isLeader(simulation, first));
    expectAllTasksRunning(job, MAX_RECOVERY_MS);
    expect(simulation.violations).toEqual([]);
  });

  // Guards against a memory of earlier handovers that outlives the terms in which workers are heard.
  test.each(SEEDS)('hands over each time that it leads (seed %i)', (seed) => {
    const { simulation } = startJob(seed, makeConfig(2, LONG_LEASES), 4);
    const workers = [...simulation.workers.values()];
    for (let round = 0; round < 3; round++) {
      const leader = leaderOf(simulation);
      const others = [...simulation.workers.keys(), ...othersOf(simulation.nodeNames, leader)];
      cutFrom(simulation, leader, others);
      runFor(simulation, 120_000);
      expect(isLeader(simulation, leader)).toBe(false);
      for (const other of others) simulation.network.heal(leader, other);
      runFor(simulation, 30_000);
    }
    expect(workers.every(({ isAlive }) => isAlive)).toBe(true);
    expect(simulation.violations).toEqual([]);
  });
});

describe('the leader raises its fencing token again and again', () => {
  const cases = SEEDS.flatMap((seed) => [2, 6].map((lost) => ({ seed, lost })));

  // Guards against a raised token that makes the leader count the time without heartbeats from the start.
  test.each(cases)('the tasks of $lost of 6 lost machines run again (seed $seed)', ({ seed, lost }) => {
    const job = startJob(seed, makeConfig(3, LONG_LEASES), 6);
    const { simulation } = job;
    raiseFencingTokenRepeatedly(simulation);
    const { machines } = simulation;
    for (const { name } of workersOfJob(simulation, job.jobId).slice(0, lost)) machines.destroy(name);
    expectAllTasksRunning(job, MAX_RECOVERY_MS);
    expect(simulation.taskStarts).toBe(job.taskCount + lost);
    expect(simulation.violations).toEqual([]);
  });

  // Guards against machines that never boot and are never returned, while the cloud has no others.
  test.each([1, 2, 3, 4, 5, 6])('machines that do not boot are replaced (seed %i)', (seed) => {
    const config = { ...makeConfig(3, LONG_LEASES), machineCapacity: 10 };
    const simulation = new ClusterSimulation(seed, config);
    runFor(simulation, 5000);
    raiseFencingTokenRepeatedly(simulation);
    const job = submitJob(simulation, config.machineCapacity);
    expectAllTasksRunning(job, MAX_RECOVERY_MS);
    expect(simulation.violations).toEqual([]);
  });
});

describe('all machines are cut off from all controllers', () => {
  // Guards against a leader that, having given up some of the machines, takes the few that are left for
  // independent failures and deletes them while their workers may still hold their leases.
  test.each(SEEDS)('none is deleted within its lease (seed %i)', (seed) => {
    const { simulation } = startJob(seed, makeConfig(3, SLOW_HEARTBEATS), 3);
    const workers = [...simulation.workers.values()];
    for (const nodeName of simulation.nodeNames) cutFrom(simulation, nodeName, simulation.workers.keys());
    expectWithin(simulation, MAX_RECOVERY_MS, () => workers.every(({ isAlive }) => !isAlive));
    expect(workers.filter(({ workerEpoch }) => workerEpoch === 1).map(({ name }) => name)).toEqual([]);
    expect(simulation.violations).toEqual([]);
  });
});

describe('all machines receive nothing any more', () => {
  // Guards against leaders that hand over again and again, since workers reach all controllers and hear none.
  test.each(SEEDS)('each controller leads once until the job runs elsewhere (seed %i)', (seed) => {
    const { simulation, jobId } = startJob(seed, makeConfig(3, LONG_LEASES), 4);
    const firstToken = fencingToken(simulation);
    const unreachable = new Set(simulation.workers.values());
    for (const { name } of unreachable) simulation.network.unreachableInbound.add(name);
    const otherWorkers = () => workersOfJob(simulation, jobId).filter((worker) => !unreachable.has(worker));
    expectWithin(simulation, MAX_RECOVERY_MS, () => otherWorkers().length === 4);
    expect(fencingToken(simulation) - firstToken).toBeLessThanOrEqual(2);
    expect(simulation.violations).toEqual([]);
  });
});
