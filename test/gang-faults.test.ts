/** Gangs in simulated clusters with faults. The simulation checks the invariants after each step. */

import { expect, test } from 'vitest';
import type { Team } from '../src/model/team.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './simulation/cluster-config.js';
import { leaderOf, runFor, runUntil, teamsOwnedBy } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';

const UNLIMITED_TEAM: Team = { name: 'red', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 };

function createSimulation(seed: number, overrides: Partial<ClusterConfig>): ClusterSimulation {
  const simulation = new ClusterSimulation(seed, { ...CLUSTER_CONFIG, ...overrides });
  // No machine fails all of its tasks unless a test adds one.
  simulation.bootsFaultyMachines = false;
  return simulation;
}

/** Runs in steps of 1 ms, so that a fault can be injected at exactly the moment that a test waits for. */
function expectEventually(simulation: ClusterSimulation, withinMs: number, condition: () => boolean): void {
  expect(runUntil(simulation, { timeoutMs: withinMs, stepMs: 1 }, condition)).toBe(true);
}

function expectCompletion(simulation: ClusterSimulation, durationMs = 200_000): void {
  simulation.faultsEndAt = simulation.simulator.now;
  runFor(simulation, durationMs);
  expect(simulation.violations).toEqual([]);
  expect(simulation.unfinishedJobs()).toEqual([]);
  expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
}

const tasksOnMachines = (simulation: ClusterSimulation, id: string) =>
  [...simulation.workers.values()].flatMap((worker) =>
    worker.tasks.filter((task) => task.jobId === id && worker.occupies(task)),
  );
const runningTaskCount = (simulation: ClusterSimulation, id: string) =>
  tasksOnMachines(simulation, id).filter((task) => task.phase === 'running').length;
const ownerOf = (simulation: ClusterSimulation, team: string) =>
  simulation.nodeNames.find((nodeName) => teamsOwnedBy(simulation, nodeName).includes(team)) ?? '';

const FAULTS: Record<string, (simulation: ClusterSimulation) => void> = {
  'the owner crashes': (simulation) => simulation.controllers.crash(ownerOf(simulation, 'red'), 3000),
  'the leader crashes': (simulation) => simulation.controllers.crash(leaderOf(simulation), 3000),
  'all controllers crash': (simulation) => {
    for (const nodeName of simulation.nodeNames) simulation.controllers.crash(nodeName, 2000);
  },
  'the state service is down': (simulation) => {
    simulation.store.setDown(true);
    simulation.simulator.scheduleAfter(12_000, () => simulation.store.setDown(false));
  },
};

test.each(Object.keys(FAULTS).flatMap((name) => [1, 2, 3].map((seed) => [name, seed] as const)))(
  'a gang stored in several transactions is completed or ended when %s between two of them (%i)',
  (fault, seed) => {
    // The gang takes five records of 16 tasks each, and a transaction holds four operations.
    const config = {
      maxTransactionOperations: 4,
      maxValueKb: 1,
      machineCapacity: 40,
      teams: [UNLIMITED_TEAM],
    };
    const simulation = createSimulation(seed, config);
    const gang = makeJobSpec(simulation, {
      kind: 'gang',
      taskCount: 80,
      cpus: 1,
      memoryGb: 0.5,
      spotAllowed: false,
    });
    simulation.users.submitJob(gang);
    const storedRecordCount = () =>
      [...simulation.store.records.keys()].filter((key) => key.startsWith(`place/${gang.id}/`)).length;
    expectEventually(simulation, 90_000, () => storedRecordCount() > 0);
    expect(storedRecordCount()).toBeLessThan(5);
    FAULTS[fault]!(simulation);
    expectCompletion(simulation);
  },
);

test.each([1, 2, 3, 4])(
  'a gang with zone affinity does not start in another zone while the end of its last attempt is not known (%i)',
  (seed) => {
    const simulation = createSimulation(seed, {
      machineCapacity: 16,
      machineTypes: [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 3 }],
    });
    simulation.runDurationMs = () => 40_000;
    const gangs = [4, 3].map((taskCount) => {
      const gang = makeJobSpec(simulation, {
        kind: 'gang',
        taskCount,
        cpus: 4,
        memoryGb: 1,
        spotAllowed: false,
        zoneAffinity: true,
      });
      simulation.users.submitJob(gang);
      return gang.id;
    });
    expectEventually(simulation, 90_000, () => gangs.every((id) => runningTaskCount(simulation, id) > 0));
    // The zone of the first gang is partitioned from everything else, and the leader changes meanwhile.
    const zone = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gangs[0]),
    )!.zone;
    const insideMachines = [...simulation.workers.values()]
      .filter((worker) => worker.zone === zone)
      .map((worker) => worker.name);
    const outsideNodes = [...simulation.nodeNames, 'state', 'cloud'];
    for (const machine of insideMachines)
      for (const node of outsideNodes)
        simulation.network.cut(machine, node, seed % 2 === 0 ? 'hold' : 'reset');
    runFor(simulation, 5000);
    simulation.controllers.crash(leaderOf(simulation), 3000);
    runFor(simulation, 30_000);
    for (const machine of insideMachines)
      for (const node of outsideNodes) simulation.network.heal(machine, node);
    expectCompletion(simulation, 300_000);
  },
);

test.each([1, 2, 3])(
  'a running gang that loses a machine, or a machine of which hangs, finishes with its next attempt (%i)',
  (seed) => {
    const simulation = createSimulation(seed, { machineCapacity: 20 });
    const gang = makeJobSpec(simulation, {
      kind: 'gang',
      taskCount: 5,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      checkpointIntervalSeconds: 2,
      checkpointSaveSeconds: 1,
    });
    simulation.users.submitJob(gang);
    simulation.runDurationMs = () => 20_000;
    expectEventually(simulation, 90_000, () => runningTaskCount(simulation, gang.id) === 5);
    const machine = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gang.id),
    )!;
    if (seed === 1) machine.isHung = true;
    else simulation.machines.destroy(machine.name);
    simulation.simulator.scheduleAfter(15_000, () => {
      machine.isHung = false;
    });
    expectCompletion(simulation);
  },
);

test.each([1, 2, 3])('a gang that loses a task before it has fully started still finishes (%i)', (seed) => {
  const simulation = createSimulation(seed, { machineCapacity: 20 });
  const gang = makeJobSpec(simulation, {
    kind: 'gang',
    taskCount: 5,
    cpus: 4,
    memoryGb: 1,
    spotAllowed: false,
    imageGb: 8,
  });
  simulation.users.submitJob(gang);
  const assignedWorkers = () =>
    [...simulation.workers.values()].filter((worker) => worker.tasks.some((task) => task.jobId === gang.id));
  expectEventually(simulation, 90_000, () => assignedWorkers().length === 5);
  simulation.machines.destroy(assignedWorkers()[seed]!.name);
  expectCompletion(simulation);
});

test.each([1, 2, 3])(
  'a preempted gang is signalled as a whole in time, and saves a checkpoint (%i)',
  (seed) => {
    const simulation = createSimulation(seed, {
      machineCapacity: 5,
      machineTypes: [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 3 }],
    });
    const gang = makeJobSpec(simulation, {
      kind: 'gang',
      priority: 3,
      taskCount: 4,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      checkpointIntervalSeconds: 30,
      checkpointSaveSeconds: 2,
    });
    simulation.runDurationMs = (id) => (id === gang.id ? 60_000 : 5000);
    simulation.users.submitJob(gang);
    expectEventually(simulation, 90_000, () => runningTaskCount(simulation, gang.id) === 4);
    simulation.users.submitJob(
      makeJobSpec(simulation, { priority: 1, taskCount: 8, cpus: 4, memoryGb: 1, spotAllowed: false }),
    );
    expectEventually(simulation, 60_000, () => simulation.machines.gangStops.signalled > 0);
    expect(tasksOnMachines(simulation, gang.id).some((task) => task.phase === 'saving')).toBe(true);
    runFor(simulation, 10_000);
    expect(simulation.machines.gangStops.late).toBe(0);
    expectCompletion(simulation, 300_000);
  },
);

test.each([1, 2, 3])(
  'a cancelled gang stops in time although one of its machines is unreachable (%i)',
  (seed) => {
    const simulation = createSimulation(seed, { machineCapacity: 20 });
    const gang = makeJobSpec(simulation, {
      kind: 'gang',
      taskCount: 5,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      zoneAffinity: true,
    });
    simulation.users.submitJob(gang);
    simulation.runDurationMs = () => 100_000;
    expectEventually(simulation, 90_000, () => runningTaskCount(simulation, gang.id) === 5);
    const machine = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gang.id),
    )!;
    for (const nodeName of simulation.nodeNames) simulation.network.cut(machine.name, nodeName, 'hold');
    simulation.users.cancelJob(gang.id);
    runFor(simulation, CLUSTER_CONFIG.cancellationSeconds * 1000 + 5000);
    expect(tasksOnMachines(simulation, gang.id)).toEqual([]);
    for (const nodeName of simulation.nodeNames) simulation.network.heal(machine.name, nodeName);
    expectCompletion(simulation);
  },
);

test.each([1, 2, 3])('a gang avoids a machine on which every task fails (%i)', (seed) => {
  const simulation = createSimulation(seed, {
    machineCapacity: 12,
    machineTypes: [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 3 }],
  });
  const gangs = [4, 3].map((taskCount) =>
    makeJobSpec(simulation, {
      id: `wk-gang-${taskCount}`,
      kind: 'gang',
      taskCount,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      estimatedRunSeconds: 10,
    }),
  );
  simulation.runDurationMs = () => 10_000;
  simulation.users.submitJob(gangs[0]!);
  expectEventually(simulation, 90_000, () => tasksOnMachines(simulation, gangs[0]!.id).length > 0);
  const faultyWorker = [...simulation.workers.values()].find((worker) =>
    worker.tasks.some((task) => task.jobId === gangs[0]!.id),
  )!;
  simulation.faultyMachines.add(faultyWorker.name);
  simulation.users.submitJob(gangs[1]!);
  expectCompletion(simulation);
});
