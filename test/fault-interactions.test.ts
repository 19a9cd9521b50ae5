/**
 * Combinations of faults, one test for each in docs/fault-interactions.md. The simulation checks the
 * invariants after each step.
 */

import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { isLeader, leaderOf, runFor, runUntil, workersOfJob } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';

const otherNodes = (simulation: ClusterSimulation, nodeName: string) =>
  simulation.nodeNames.filter((other) => other !== nodeName);

function expectEventually(simulation: ClusterSimulation, withinMs: number, condition: () => boolean): void {
  expect(runUntil(simulation, { timeoutMs: withinMs, stepMs: 200 }, condition)).toBe(true);
}

/** Starts a cluster that runs jobs. Tasks run for `runSeconds`, those of services until they are stopped. */
function startJobs(
  seed: number,
  runSeconds: (taskIndex: number) => number,
  specs: Partial<JobSpec>[],
): { simulation: ClusterSimulation; ids: string[] } {
  const simulation = new ClusterSimulation(seed);
  // A faulty machine fails its tasks, and their retries would distort the count of task starts.
  simulation.bootsFaultyMachines = false;
  simulation.runDurationMs = (id, taskIndex) =>
    simulation.jobs.get(id)?.spec.kind === 'service'
      ? Number.POSITIVE_INFINITY
      : runSeconds(taskIndex) * 1000;
  const ids = specs.map((overrides) => {
    const spec = makeJobSpec(simulation, { spotAllowed: false, ...overrides });
    simulation.users.submitJob(spec);
    return spec.id;
  });
  expectEventually(simulation, 90000, () => ids.every((id) => workersOfJob(simulation, id).length > 0));
  return { simulation, ids };
}

function expectCompletion(simulation: ClusterSimulation, durationMs = 200000): void {
  simulation.faultsEndAt = simulation.simulator.now;
  runFor(simulation, durationMs);
  expect(simulation.violations).toEqual([]);
  expect(simulation.unfinishedJobs()).toEqual([]);
}

const seeds = [1, 2, 3];

test.each(seeds)(
  'tasks that finish at different times across leader changes do not run again (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, (taskIndex) => 4 + taskIndex * 20, [
      { taskCount: 3 },
      { team: 'blue', taskCount: 2 },
    ]);
    for (let i = 0; i < 3; i++) {
      runFor(simulation, 11000);
      simulation.controllers.crash(leaderOf(simulation), i === 1 ? 300 : 4000);
    }
    expectCompletion(simulation, 90000);
    expect(ids.map((id) => simulation.jobs.get(id)!.reportedState)).toEqual(['done', 'done']);
    expect(simulation.taskStarts).toBe(5);
  },
);

test.each(seeds)(
  'cancellations, queries and repeated submissions at the end of the last task get consistent responses (%i)',
  (seed) => {
    const simulation = new ClusterSimulation(seed);
    simulation.runDurationMs = () => 3000;
    const specs = Array.from({ length: 24 }, (_, index) =>
      makeJobSpec(simulation, { id: `wk-e${index}`, taskCount: 1 + (index % 2) }),
    );
    // The slow link to the state service puts time between a read and the write that depends on it.
    simulation.network.slowdowns.set('state', 60);
    for (const spec of specs) simulation.users.submitJob(spec);
    const endedAt = new Map<string, number>();
    const checkCompletions = () => {
      for (const [index, spec] of specs.entries()) {
        if (endedAt.has(spec.id) || !simulation.completedTasks.has(`${spec.id}/${spec.taskCount - 1}`))
          continue;
        endedAt.set(spec.id, simulation.simulator.now);
        // Spread over the time from the end of the task until its heartbeat has arrived and the job's counter
        // and final record have been written.
        for (let query = 0; query < 6; query++)
          simulation.simulator.scheduleAfter(simulation.simulator.between(0, 2500), () =>
            simulation.users.pollAndResubmit(spec.id, index % 3 !== 0),
          );
      }
      simulation.simulator.scheduleAfter(5, checkCompletions);
    };
    checkCompletions();
    simulation.simulator.run(120000);
    expect(endedAt.size).toBe(specs.length);
    const states = specs.map((spec) => simulation.jobs.get(spec.id)!.reportedState);
    expect(states.every((state) => state === 'done' || state === 'cancelled')).toBe(true);
    expectCompletion(simulation, 20000);
  },
);

test.each(seeds)('long tasks survive a leader change while their machines are unreachable (%i)', (seed) => {
  const { simulation, ids } = startJobs(seed, () => 60, [{ taskCount: 4 }, { team: 'blue', taskCount: 4 }]);
  const worker = workersOfJob(simulation, ids[0]!)[0]!;
  const otherWorker = workersOfJob(simulation, ids[1]!).find((candidate) => candidate !== worker);
  for (const nodeName of simulation.nodeNames) simulation.network.cut(worker.name, nodeName, 'hold');
  if (otherWorker) simulation.network.unreachableInbound.add(otherWorker.name);
  const startsBefore = simulation.taskStarts;
  simulation.controllers.crash(leaderOf(simulation), 3000);
  runFor(simulation, 9000);
  for (const nodeName of simulation.nodeNames) simulation.network.heal(worker.name, nodeName);
  if (otherWorker) simulation.network.unreachableInbound.delete(otherWorker.name);
  runFor(simulation, 20000);
  // Their leases had not expired, so their tasks kept running.
  expect([worker.workerEpoch, simulation.taskStarts]).toEqual([1, startsBefore]);
  expectCompletion(simulation);
});

test.each(seeds)(
  'all work finishes after ten controller crashes in two minutes, some of them during a state service outage (%i)',
  (seed) => {
    const { simulation } = startJobs(seed, (taskIndex) => 20 + taskIndex * 15, [
      { taskCount: 4 },
      { team: 'blue', taskCount: 3 },
      { kind: 'service', taskCount: 2 },
    ]);
    for (let i = 0; i < 10; i++) {
      runFor(simulation, 12000);
      if (i === 4) simulation.store.setDown(true);
      if (i === 6) simulation.store.setDown(false);
      const leaderName = leaderOf(simulation);
      if (leaderName) simulation.controllers.crash(leaderName, simulation.simulator.between(50, 3000));
      else
        for (const nodeName of simulation.nodeNames)
          simulation.controllers.crash(nodeName, simulation.simulator.between(50, 3000));
    }
    expectCompletion(simulation);
  },
);

test.each(seeds)(
  'workers stop their tasks when all controllers are down for longer than a lease, and the work finishes later (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, () => 30, [{ taskCount: 4 }, { team: 'blue', taskCount: 2 }]);
    simulation.users.cancelJob(ids[1]!);
    runFor(simulation, 100);
    for (const nodeName of simulation.nodeNames)
      simulation.controllers.crash(nodeName, simulation.config.leaseSeconds * 1300);
    runFor(simulation, simulation.config.leaseSeconds * 1200);
    expect(ids.flatMap((id) => workersOfJob(simulation, id))).toEqual([]);
    expectCompletion(simulation);
  },
);

test.each(seeds)(
  'all work finishes although heartbeats are delayed until a new leader has acted and messages are duplicated (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, () => 25, [{ taskCount: 6 }, { team: 'blue', taskCount: 4 }]);
    simulation.duplicatesMessages = true;
    const leaderName = leaderOf(simulation);
    for (const worker of workersOfJob(simulation, ids[0]!))
      simulation.network.cut(worker.name, leaderName, 'hold');
    runFor(simulation, 4000);
    simulation.controllers.crash(leaderName, 200);
    runFor(simulation, 9000);
    for (const machine of simulation.workers.keys()) simulation.network.heal(machine, leaderName);
    runFor(simulation, simulation.config.leaseSeconds * 3000);
    simulation.duplicatesMessages = false;
    expectCompletion(simulation);
  },
);

test.each(seeds)(
  'all work finishes after machines hang while commands and responses are in flight (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, () => 15, [{ taskCount: 6 }, { team: 'blue', taskCount: 6 }]);
    for (let i = 0; i < 6; i++) {
      for (const worker of simulation.workers.values()) {
        if (!simulation.simulator.chance(0.5)) continue;
        worker.isHung = true;
        simulation.simulator.scheduleAfter(simulation.simulator.between(2000, 12000), () => {
          worker.isHung = false;
        });
      }
      simulation.users.submitJob(makeJobSpec(simulation, { taskCount: 3, priority: 1 }));
      if (i === 3) simulation.users.cancelJob(ids[1]!);
      runFor(simulation, 8000);
    }
    expectCompletion(simulation);
  },
);

test.each(seeds)(
  'all work finishes after rolling restarts, a crash of all controllers and a quick restart of one (%i)',
  (seed) => {
    const { simulation } = startJobs(seed, () => 25, [{ taskCount: 5 }, { team: 'blue', taskCount: 3 }]);
    for (const nodeName of simulation.nodeNames) {
      simulation.controllers.crash(nodeName, 150);
      runFor(simulation, 700);
    }
    for (const [index, nodeName] of simulation.nodeNames.entries())
      simulation.controllers.crash(nodeName, index === 1 ? 400 : 9000);
    runFor(simulation, 3000);
    simulation.controllers.crash(simulation.nodeNames[1]!, 100);
    runFor(simulation, 8000);
    expect(leaderOf(simulation)).not.toBe('');
    expectCompletion(simulation);
  },
);

test.each(seeds)(
  'all work finishes although some transactions are carried out after newer ones and leaders change (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, (taskIndex) => 8 + taskIndex * 3, [
      { taskCount: 6 },
      { team: 'blue', taskCount: 5 },
      { kind: 'service', taskCount: 2 },
    ]);
    simulation.delayedWriteShare = 0.35;
    for (let i = 0; i < 5; i++) {
      simulation.users.submitJob(makeJobSpec(simulation, { taskCount: 3 }));
      if (i === 2) simulation.users.cancelJob(ids[2]!);
      runFor(simulation, 9000);
      simulation.controllers.crash(leaderOf(simulation) || simulation.nodeNames[0]!, 300);
    }
    simulation.delayedWriteShare = 0;
    expectCompletion(simulation);
  },
);

test('a membership record that is written late does not replace a newer lease by an older one', () => {
  const simulation = new ClusterSimulation(6);
  simulation.simulator.run(4000);
  const nodeName = otherNodes(simulation, leaderOf(simulation))[0]!;
  const key = `sys/node/${nodeName}`;
  const delayedWrites: (() => void)[] = [];
  const compareAndSwap = simulation.store.compareAndSwap.bind(simulation.store);
  simulation.store.compareAndSwap = (node, transaction, limits) => {
    const copy = JSON.parse(JSON.stringify(transaction));
    if (
      node === nodeName &&
      delayedWrites.length === 0 &&
      transaction.operations.some((operation) => operation.type === 'put' && operation.key === key)
    ) {
      delayedWrites.push(() => compareAndSwap(node, copy, limits));
      return { status: 500 };
    }
    return compareAndSwap(node, transaction, limits);
  };
  simulation.controllers.crash(nodeName, 50);
  runFor(simulation, 3000);
  const lease = JSON.parse(simulation.store.records.get(key)!.value).lease;
  for (const callback of delayedWrites) callback();
  expect(delayedWrites.length).toBe(1);
  expect(JSON.parse(simulation.store.records.get(key)!.value).lease).toBe(lease);
});

test.each(seeds)(
  'a job cancelled through the next leader stops on workers that reach only the isolated previous leader (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, () => 1e6, [
      { taskCount: 4 },
      { team: 'blue', taskCount: 3 },
    ]);
    const leaderName = leaderOf(simulation);
    simulation.cloud.isDown = true;
    for (const node of [...otherNodes(simulation, leaderName), 'state'])
      simulation.network.cut(leaderName, node, 'hold');
    // The next leader reaches no worker: all of them stay with the isolated one.
    for (const machine of simulation.workers.keys())
      for (const nodeName of otherNodes(simulation, leaderName))
        simulation.network.cut(machine, nodeName, 'hold');
    expectEventually(simulation, 10000, () =>
      simulation.nodeNames.some((node) => node !== leaderName && isLeader(simulation, node)),
    );
    const job = simulation.jobs.get(ids[0]!)!;
    job.cancelRequested = true;
    simulation.controllers
      .get(simulation.nodeNames.find((node) => node !== leaderName && isLeader(simulation, node))!)!
      .controller.api.cancelJob(ids[0]!, (answer) => {
        if (answer.type === 'job' && answer.state === 'cancelled') job.cancelledAt = simulation.simulator.now;
      });
    runFor(simulation, 500);
    expect(job.cancelledAt).not.toBeNull();
    runFor(simulation, simulation.config.cancellationSeconds * 1500);
    expect(workersOfJob(simulation, ids[0]!)).toEqual([]);
    expect(simulation.violations).toEqual([]);
  },
);

test.each(seeds)(
  'work of all priorities finishes although demand exceeds capacity and links are slow (%i)',
  (seed) => {
    const simulation = new ClusterSimulation(seed);
    simulation.cloud.capacity = 3;
    for (const nodeName of [...simulation.nodeNames, 'state']) simulation.network.slowdowns.set(nodeName, 60);
    for (let i = 0; i < 10; i++)
      simulation.users.submitJob(
        makeJobSpec(simulation, {
          team: ['red', 'blue', 'free'][i % 3]!,
          priority: i % 3 === 0 ? 1 : 3,
          taskCount: 3,
          cpus: 2,
        }),
      );
    simulation.simulator.run(60000);
    for (const nodeName of [...simulation.nodeNames, 'state']) simulation.network.slowdowns.delete(nodeName);
    expectCompletion(simulation);
  },
);

test.each(seeds)(
  'the quota of a cancelled job is reused after a leader change although some of its machines are unreachable (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, () => 40, [{ taskCount: 10, cpus: 4 }]);
    expectEventually(
      simulation,
      60000,
      () => workersOfJob(simulation, ids[0]!).length === 10 || simulation.simulator.now > 60000,
    );
    const isolatedWorkers = workersOfJob(simulation, ids[0]!).slice(0, 2);
    for (const worker of isolatedWorkers)
      for (const nodeName of simulation.nodeNames) simulation.network.cut(worker.name, nodeName, 'hold');
    simulation.controllers.crash(leaderOf(simulation), 2000);
    simulation.users.submitJob(
      makeJobSpec(simulation, { id: 'wk-next', taskCount: 10, cpus: 4, spotAllowed: false }),
    );
    runFor(simulation, 3000);
    simulation.users.cancelJob(ids[0]!);
    runFor(simulation, 12000);
    // Tasks on reachable machines are stopped and their share of the quota is reused; the other tasks count
    // until their end is known.
    expect(workersOfJob(simulation, 'wk-next').length).toBeGreaterThan(0);
    for (const worker of isolatedWorkers)
      for (const nodeName of simulation.nodeNames) simulation.network.heal(worker.name, nodeName);
    expectCompletion(simulation);
  },
);

test.each(seeds)(
  'jobs restricted to one zone finish after it loses its machines and, for a while, its capacity (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, () => 20, [
      { taskCount: 5, zone: 'b' },
      { team: 'blue', taskCount: 3, zone: 'b' },
    ]);
    for (const worker of [...simulation.workers.values()])
      if (worker.zone === 'b') simulation.machines.destroy(worker.name);
    simulation.config.zonesWithoutCapacity.push('b');
    runFor(simulation, 30000);
    simulation.config.zonesWithoutCapacity.pop();
    expect(ids.map((id) => simulation.jobs.get(id)!.reportedState)).not.toContain('done');
    expectCompletion(simulation);
  },
);

test.each(seeds)(
  'jobs cancelled while their machines hang stop in time across a leader change (%i)',
  (seed) => {
    const { simulation } = startJobs(seed, () => 1e6, [
      { taskCount: 4 },
      { team: 'blue', taskCount: 3 },
      { team: 'free', taskCount: 3 },
    ]);
    simulation.users.cancelRunningJobs(3, simulation.config.leaseSeconds * 1400);
    runFor(simulation, 250);
    simulation.controllers.crash(leaderOf(simulation), 100);
    runFor(simulation, simulation.config.cancellationSeconds * 1500);
    expect(simulation.violations).toEqual([]);
    expect(
      [...simulation.workers.values()].flatMap((worker) =>
        worker.tasks.filter((task) => worker.occupies(task)),
      ),
    ).toEqual([]);
  },
);

test.each(seeds)(
  'all work finishes after leaders and other controllers pause while their clocks run on (%i)',
  (seed) => {
    const { simulation, ids } = startJobs(seed, (taskIndex) => 15 + taskIndex * 5, [
      { taskCount: 5 },
      { team: 'blue', taskCount: 4 },
    ]);
    for (const ms of [1500, 6000, 15000]) {
      simulation.controllers.pause(leaderOf(simulation), ms);
      simulation.users.submitJob(makeJobSpec(simulation, { taskCount: 3 }));
      runFor(simulation, ms + 4000);
      simulation.controllers.pause(otherNodes(simulation, leaderOf(simulation))[0]!, ms);
      runFor(simulation, ms);
    }
    simulation.users.cancelJob(ids[1]!);
    expectCompletion(simulation);
  },
);
