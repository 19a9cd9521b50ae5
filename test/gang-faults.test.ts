/** Gangs in whole clusters with faults; the invariants are checked after each step. */

import { expect, test } from 'vitest';
import type { Team } from '../src/model/team.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './simulation/cluster-config.js';
import { leaderOf, runFor, runUntil, teamsOwnedBy } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';

const UNLIMITED_TEAM: Team = { name: 'red', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 };

function createSimulation(seed: number, overrides: Partial<ClusterConfig>): ClusterSimulation {
  const simulation = new ClusterSimulation(seed, { ...CLUSTER_CONFIG, ...overrides });
  // No machine on which everything fails, unless a test says so.
  simulation.bootsFaultyMachines = false;
  return simulation;
}

/** Runs in small steps, so that a fault strikes at the moment that a test waits for. */
function until(simulation: ClusterSimulation, withinMs: number, holds: () => boolean): void {
  expect(runUntil(simulation, { timeoutMs: withinMs, stepMs: 1 }, holds)).toBe(true);
}

function finish(simulation: ClusterSimulation, durationMs = 200_000): void {
  simulation.faultsEndAt = simulation.simulator.now;
  runFor(simulation, durationMs);
  expect(simulation.violations).toEqual([]);
  expect(simulation.unfinishedJobs()).toEqual([]);
  expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
}

const onMachines = (simulation: ClusterSimulation, id: string) =>
  [...simulation.workers.values()].flatMap((worker) =>
    worker.tasks.filter((task) => task.jobId === id && worker.occupies(task)),
  );
const running = (simulation: ClusterSimulation, id: string) =>
  onMachines(simulation, id).filter((task) => task.phase === 'running').length;
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
  'a gang stored in more than one transaction is completed or ended when %s between two of them (%i)',
  (name, seed) => {
    // Five records of 16 tasks each, where a transaction takes four changes.
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
    const stored = () =>
      [...simulation.store.records.keys()].filter((key) => key.startsWith(`place/${gang.id}/`)).length;
    until(simulation, 90_000, () => stored() > 0);
    expect(stored()).toBeLessThan(5);
    FAULTS[name]!(simulation);
    finish(simulation);
  },
);

test.each([1, 2, 3, 4])(
  'a gang in one zone never begins in the other while its last attempt is unsettled (%i)',
  (seed) => {
    const simulation = createSimulation(seed, {
      machineCapacity: 16,
      machineTypes: [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 3 }],
    });
    simulation.runDurationMs = () => 40_000;
    const gangs = [4, 3].map((tasks) => {
      const gang = makeJobSpec(simulation, {
        kind: 'gang',
        taskCount: tasks,
        cpus: 4,
        memoryGb: 1,
        spotAllowed: false,
        zoneAffinity: true,
      });
      simulation.users.submitJob(gang);
      return gang.id;
    });
    until(simulation, 90_000, () => gangs.every((id) => running(simulation, id) > 0));
    // The zone of the first gang is cut off from everything else, and the leader changes meanwhile.
    const zone = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gangs[0]),
    )!.zone;
    const inside = [...simulation.workers.values()]
      .filter((worker) => worker.zone === zone)
      .map((worker) => worker.name);
    const outside = [...simulation.nodeNames, 'state', 'cloud'];
    for (const machine of inside)
      for (const node of outside) simulation.network.cut(machine, node, seed % 2 === 0 ? 'hold' : 'reset');
    runFor(simulation, 5000);
    simulation.controllers.crash(leaderOf(simulation), 3000);
    runFor(simulation, 30_000);
    for (const machine of inside) for (const node of outside) simulation.network.heal(machine, node);
    finish(simulation, 300_000);
  },
);

test.each([1, 2, 3])(
  'a task of a running gang disappears or its machine hangs: the next attempt completes it (%i)',
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
    until(simulation, 90_000, () => running(simulation, gang.id) === 5);
    const machine = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gang.id),
    )!;
    if (seed === 1) machine.isHung = true;
    else simulation.machines.destroy(machine.name);
    simulation.simulator.scheduleAfter(15_000, () => {
      machine.isHung = false;
    });
    finish(simulation);
  },
);

test.each([1, 2, 3])('a gang that loses a task before it has begun is not held up for good (%i)', (seed) => {
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
  const fetching = () =>
    [...simulation.workers.values()].filter((worker) => worker.tasks.some((task) => task.jobId === gang.id));
  until(simulation, 90_000, () => fetching().length === 5);
  simulation.machines.destroy(fetching()[seed]!.name);
  finish(simulation);
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
    until(simulation, 90_000, () => running(simulation, gang.id) === 4);
    simulation.users.submitJob(
      makeJobSpec(simulation, { priority: 1, taskCount: 8, cpus: 4, memoryGb: 1, spotAllowed: false }),
    );
    until(simulation, 60_000, () => simulation.machines.gangStops.signalled > 0);
    expect(onMachines(simulation, gang.id).some((task) => task.phase === 'saving')).toBe(true);
    runFor(simulation, 10_000);
    expect(simulation.machines.gangStops.late).toBe(0);
    finish(simulation, 300_000);
  },
);

test.each([1, 2, 3])(
  'a cancelled gang is gone in time although a machine of it can not be reached (%i)',
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
    until(simulation, 90_000, () => running(simulation, gang.id) === 5);
    const machine = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gang.id),
    )!;
    for (const nodeName of simulation.nodeNames) simulation.network.cut(machine.name, nodeName, 'hold');
    simulation.users.cancelJob(gang.id);
    runFor(simulation, CLUSTER_CONFIG.cancellationSeconds * 1000 + 5000);
    expect(onMachines(simulation, gang.id)).toEqual([]);
    for (const nodeName of simulation.nodeNames) simulation.network.heal(machine.name, nodeName);
    finish(simulation);
  },
);

test.each([1, 2, 3])('a gang gets round a machine on which every task fails (%i)', (seed) => {
  const simulation = createSimulation(seed, {
    machineCapacity: 12,
    machineTypes: [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 3 }],
  });
  const gangs = [4, 3].map((tasks) =>
    makeJobSpec(simulation, {
      id: `wk-gang-${tasks}`,
      kind: 'gang',
      taskCount: tasks,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      estimatedRunSeconds: 10,
    }),
  );
  simulation.runDurationMs = () => 10_000;
  simulation.users.submitJob(gangs[0]!);
  until(simulation, 90_000, () => onMachines(simulation, gangs[0]!.id).length > 0);
  const faulty = [...simulation.workers.values()].find((worker) =>
    worker.tasks.some((task) => task.jobId === gangs[0]!.id),
  )!;
  simulation.faultyMachines.add(faulty.name);
  simulation.users.submitJob(gangs[1]!);
  finish(simulation);
});
