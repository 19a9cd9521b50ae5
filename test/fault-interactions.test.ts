import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import type { FakeWorker } from './simulation/fake-worker.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

// One test for each meeting of troubles in docs/meetings.md; the stand-ins check the rules after each step.

const leads = (simulation: ClusterSimulation, nodeName: string) =>
  simulation.controllers.get(nodeName)?.controller.status().scheduler !== null;
const leaderOf = (simulation: ClusterSimulation) =>
  simulation.nodeNames.find((nodeName) => leads(simulation, nodeName)) ?? '';
const others = (simulation: ClusterSimulation, nodeName: string) =>
  simulation.nodeNames.filter((x) => x !== nodeName);
const on = (simulation: ClusterSimulation, id: string): FakeWorker[] =>
  [...simulation.workers.values()].filter((worker) =>
    worker.tasks.some((task) => task.jobId === id && worker.occupies(task)),
  );

/** Runs on until something holds, for so long at most. */
function until(simulation: ClusterSimulation, ms: number, holds: () => boolean): void {
  const end = simulation.simulator.now + ms;
  while (!holds() && simulation.simulator.now < end) simulation.simulator.run(simulation.simulator.now + 200);
  expect(holds()).toBe(true);
}

/** A world with jobs that run for as long as a test says. */
function world(
  seed: number,
  runS: (taskIndex: number) => number,
  specs: Partial<JobSpec>[],
): { w: ClusterSimulation; ids: string[] } {
  const simulation = new ClusterSimulation(seed);
  // No machine on which everything fails: starts are counted.
  simulation.faultyMachines.add = () => simulation.faultyMachines;
  simulation.runDurationMs = (id, taskIndex) =>
    simulation.jobs.get(id)?.spec.kind === 'service' ? Number.POSITIVE_INFINITY : runS(taskIndex) * 1000;
  const ids = specs.map((s) => {
    const spec = makeJobSpec(simulation, { spotAllowed: false, ...s });
    simulation.users.submitJob(spec);
    return spec.id;
  });
  until(simulation, 90000, () => ids.every((id) => on(simulation, id).length > 0));
  return { w: simulation, ids };
}

function finish(simulation: ClusterSimulation, ms = 200000): void {
  simulation.faultsEndAt = simulation.simulator.now;
  simulation.simulator.run(simulation.simulator.now + ms);
  expect(simulation.violations).toEqual([]);
  expect(simulation.unfinishedJobs()).toEqual([]);
}

const seeds = [1, 2, 3];

test.each(seeds)(
  'jobs of three tasks end far apart across changes of the leader: none runs again (%i)',
  (seed) => {
    const { w: simulation, ids } = world(seed, (taskIndex) => 4 + taskIndex * 20, [
      { taskCount: 3 },
      { team: 'blue', taskCount: 2 },
    ]);
    for (let i = 0; i < 3; i++) {
      simulation.simulator.run(simulation.simulator.now + 11000);
      simulation.controllers.crash(leaderOf(simulation), i === 1 ? 300 : 4000);
    }
    finish(simulation, 90000);
    expect(ids.map((id) => simulation.jobs.get(id)!.reportedState)).toEqual(['done', 'done']);
    expect(simulation.taskStarts).toBe(5);
  },
);

test.each(seeds)('cancellations, questions and repeats meet the end of the last task (%i)', (seed) => {
  const simulation = new ClusterSimulation(seed);
  simulation.runDurationMs = () => 3000;
  const specs = Array.from({ length: 24 }, (_, i) =>
    makeJobSpec(simulation, { id: `wk-e${i}`, taskCount: 1 + (i % 2) }),
  );
  // So that a read and the write that rests on it lie apart.
  simulation.network.slowdowns.set('state', 60);
  for (const spec of specs) simulation.users.submitJob(spec);
  const ended = new Map<string, number>();
  const watch = () => {
    for (const [i, s] of specs.entries()) {
      if (ended.has(s.id) || !simulation.completedTasks.has(`${s.id}/${s.taskCount - 1}`)) continue;
      ended.set(s.id, simulation.simulator.now);
      // From the end of the task until its report, its count and its final record have been written.
      for (let k = 0; k < 6; k++)
        simulation.simulator.scheduleAfter(simulation.simulator.between(0, 2500), () =>
          simulation.users.queryAndResubmit(s.id, i % 3 !== 0),
        );
    }
    simulation.simulator.scheduleAfter(5, watch);
  };
  watch();
  simulation.simulator.run(120000);
  expect(ended.size).toBe(specs.length);
  const told = specs.map((s) => simulation.jobs.get(s.id)!.reportedState);
  expect(told.every((t) => t === 'done' || t === 'cancelled')).toBe(true);
  finish(simulation, 20000);
});

test.each(seeds)(
  'a leader ends while machines with long tasks are out of reach, or do not hear the next one (%i)',
  (seed) => {
    const { w: simulation, ids } = world(seed, () => 60, [{ taskCount: 4 }, { team: 'blue', taskCount: 4 }]);
    const worker = on(simulation, ids[0]!)[0]!;
    const otherWorker = on(simulation, ids[1]!).find((x) => x !== worker);
    for (const nodeName of simulation.nodeNames) simulation.network.cut(worker.name, nodeName, 'hold');
    if (otherWorker) simulation.network.unreachableInbound.add(otherWorker.name);
    const before = simulation.taskStarts;
    simulation.controllers.crash(leaderOf(simulation), 3000);
    simulation.simulator.run(simulation.simulator.now + 9000);
    for (const nodeName of simulation.nodeNames) simulation.network.heal(worker.name, nodeName);
    if (otherWorker) simulation.network.unreachableInbound.delete(otherWorker.name);
    simulation.simulator.run(simulation.simulator.now + 20000);
    // Their leases had not run out: what they run was left to them.
    expect([worker.agentEpoch, simulation.taskStarts]).toEqual([1, before]);
    finish(simulation);
  },
);

test.each(seeds)('ten leaders in two minutes, some of them within an outage (%i)', (seed) => {
  const { w: simulation } = world(seed, (taskIndex) => 20 + taskIndex * 15, [
    { taskCount: 4 },
    { team: 'blue', taskCount: 3 },
    { kind: 'service', taskCount: 2 },
  ]);
  for (let i = 0; i < 10; i++) {
    simulation.simulator.run(simulation.simulator.now + 12000);
    if (i === 4) simulation.store.setDown(true);
    if (i === 6) simulation.store.setDown(false);
    const leaderName = leaderOf(simulation);
    if (leaderName) simulation.controllers.crash(leaderName, simulation.simulator.between(50, 3000));
    else
      for (const nodeName of simulation.nodeNames)
        simulation.controllers.crash(nodeName, simulation.simulator.between(50, 3000));
  }
  finish(simulation);
});

test.each(seeds)('all controllers are away for longer than a lease (%i)', (seed) => {
  const { w: simulation, ids } = world(seed, () => 30, [{ taskCount: 4 }, { team: 'blue', taskCount: 2 }]);
  simulation.users.cancelJob(ids[1]!);
  simulation.simulator.run(simulation.simulator.now + 100);
  for (const nodeName of simulation.nodeNames)
    simulation.controllers.crash(nodeName, simulation.config.leaseSeconds * 1300);
  simulation.simulator.run(simulation.simulator.now + simulation.config.leaseSeconds * 1200);
  expect(ids.flatMap((id) => on(simulation, id))).toEqual([]);
  finish(simulation);
});

test.each(seeds)(
  'reports held back until a new leader has acted, and copies from earlier sessions (%i)',
  (seed) => {
    const { w: simulation, ids } = world(seed, () => 25, [{ taskCount: 6 }, { team: 'blue', taskCount: 4 }]);
    simulation.duplicatesMessages = true;
    const leaderName = leaderOf(simulation);
    for (const worker of on(simulation, ids[0]!)) simulation.network.cut(worker.name, leaderName, 'hold');
    simulation.simulator.run(simulation.simulator.now + 4000);
    simulation.controllers.crash(leaderName, 200);
    simulation.simulator.run(simulation.simulator.now + 9000);
    for (const m of simulation.workers.keys()) simulation.network.heal(m, leaderName);
    simulation.simulator.run(simulation.simulator.now + simulation.config.leaseSeconds * 3000);
    simulation.duplicatesMessages = false;
    finish(simulation);
  },
);

test.each(seeds)('commands and answers are held up, and the machine goes on (%i)', (seed) => {
  const { w: simulation, ids } = world(seed, () => 15, [{ taskCount: 6 }, { team: 'blue', taskCount: 6 }]);
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
    simulation.simulator.run(simulation.simulator.now + 8000);
  }
  finish(simulation);
});

test.each(seeds)('controllers hand over and back, all end, and one returns within a second (%i)', (seed) => {
  const { w: simulation } = world(seed, () => 25, [{ taskCount: 5 }, { team: 'blue', taskCount: 3 }]);
  for (const nodeName of simulation.nodeNames) {
    simulation.controllers.crash(nodeName, 150);
    simulation.simulator.run(simulation.simulator.now + 700);
  }
  simulation.nodeNames.forEach((h, i) => simulation.controllers.crash(h, i === 1 ? 400 : 9000));
  simulation.simulator.run(simulation.simulator.now + 3000);
  simulation.controllers.crash(simulation.nodeNames[1]!, 100);
  simulation.simulator.run(simulation.simulator.now + 8000);
  expect(leaderOf(simulation)).not.toBe('');
  finish(simulation);
});

test.each(seeds)('transactions are carried out late, after newer ones, while leaders change (%i)', (seed) => {
  const { w: simulation, ids } = world(seed, (taskIndex) => 8 + taskIndex * 3, [
    { taskCount: 6 },
    { team: 'blue', taskCount: 5 },
    { kind: 'service', taskCount: 2 },
  ]);
  simulation.lateWriteShare = 0.35;
  for (let i = 0; i < 5; i++) {
    simulation.users.submitJob(makeJobSpec(simulation, { taskCount: 3 }));
    if (i === 2) simulation.users.cancelJob(ids[2]!);
    simulation.simulator.run(simulation.simulator.now + 9000);
    simulation.controllers.crash(leaderOf(simulation) || simulation.nodeNames[0]!, 300);
  }
  simulation.lateWriteShare = 0;
  finish(simulation);
});

test('a record of a controller that is written late does not bring back an older lease', () => {
  const simulation = new ClusterSimulation(6);
  simulation.simulator.run(4000);
  const nodeName = others(simulation, leaderOf(simulation))[0]!;
  const key = `sys/node/${nodeName}`;
  const late: (() => void)[] = [];
  const txn = simulation.store.compareAndSwap.bind(simulation.store);
  simulation.store.compareAndSwap = (h, transaction, limits) => {
    const copy = JSON.parse(JSON.stringify(transaction));
    if (
      h === nodeName &&
      late.length === 0 &&
      transaction.operations.some((o) => o.type === 'put' && o.key === key)
    ) {
      late.push(() => txn(h, copy, limits));
      return { status: 500 };
    }
    return txn(h, transaction, limits);
  };
  simulation.controllers.crash(nodeName, 50);
  simulation.simulator.run(simulation.simulator.now + 3000);
  const lease = JSON.parse(simulation.store.records.get(key)!.value).lease;
  for (const callback of late) callback();
  expect(late.length).toBe(1);
  expect(JSON.parse(simulation.store.records.get(key)!.value).lease).toBe(lease);
});

test.each(seeds)(
  'a leader without the state service and its siblings keeps workers and users; jobs are cancelled through the next (%i)',
  (seed) => {
    const { w: simulation, ids } = world(seed, () => 1e6, [{ taskCount: 4 }, { team: 'blue', taskCount: 3 }]);
    const leaderName = leaderOf(simulation);
    simulation.cloud.isDown = true;
    for (const x of [...others(simulation, leaderName), 'state'])
      simulation.network.cut(leaderName, x, 'hold');
    // What the next leader says reaches no worker: they stay with the old one.
    for (const m of simulation.workers.keys())
      for (const nodeName of others(simulation, leaderName)) simulation.network.cut(m, nodeName, 'hold');
    until(simulation, 10000, () =>
      simulation.nodeNames.some((h) => h !== leaderName && leads(simulation, h)),
    );
    const job = simulation.jobs.get(ids[0]!)!;
    job.cancelRequested = true;
    simulation.controllers
      .get(simulation.nodeNames.find((h) => h !== leaderName && leads(simulation, h))!)!
      .controller.api.cancelJob(ids[0]!, (answer) => {
        if (answer.type === 'job' && answer.state === 'cancelled') job.cancelledAt = simulation.simulator.now;
      });
    simulation.simulator.run(simulation.simulator.now + 500);
    expect(job.cancelledAt).not.toBeNull();
    simulation.simulator.run(simulation.simulator.now + simulation.config.cancellationSeconds * 1500);
    expect(on(simulation, ids[0]!)).toEqual([]);
    expect(simulation.violations).toEqual([]);
  },
);

test.each(seeds)('more work than room, urgent and not, over slow links (%i)', (seed) => {
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
  finish(simulation);
});

test('a mute machine gets nothing new, keeps what it has as long as that lives, and is returned after its lease', () => {
  const harness = new SchedulerHarness(5, { silent_s: 6, idle_s: 1e6 });
  harness.heartbeat([]);
  harness.sendDesiredState('run');
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  harness.heartbeat([taskStatus('running')]);
  // Answers direct commands and reports to nobody.
  let n = 100;
  const answer = () => {
    for (const c of harness.directCalls.splice(0))
      c.callback({
        ok: true,
        value: {
          machine: 'm',
          address: 'm',
          machineType: 'small',
          zone: 'a',
          isSpot: false,
          agentEpoch: 1,
          sequence: ++n,
          fencingToken: 5,
          evictionNoticeSeconds: null,
          tasks: [taskStatus('running')],
        },
      });
  };
  for (let i = 0; i < 20; i++) {
    harness.advance(1000);
    answer();
  }
  harness.sendRequests([makeResourceRequest('wk-2')]);
  expect(harness.grantedJobs()).toEqual([]);
  expect(harness.deletedMachines).toEqual([]);
  for (let i = 0; i < 10; i++) {
    harness.advance(1000);
    answer();
  }
  expect(harness.deletedMachines).toEqual(['m']);
  expect(harness.resignationReasons).toEqual([]);
});

test.each(seeds)(
  'a team at its limit, a change of leader, machines that cannot be asked, and a cancellation in that spell (%i)',
  (seed) => {
    const { w: simulation, ids } = world(seed, () => 40, [{ taskCount: 10, cpus: 4 }]);
    until(simulation, 60000, () => on(simulation, ids[0]!).length === 10 || simulation.simulator.now > 60000);
    const cut = on(simulation, ids[0]!).slice(0, 2);
    for (const worker of cut)
      for (const nodeName of simulation.nodeNames) simulation.network.cut(worker.name, nodeName, 'hold');
    simulation.controllers.crash(leaderOf(simulation), 2000);
    simulation.users.submitJob(
      makeJobSpec(simulation, { id: 'wk-next', taskCount: 10, cpus: 4, spotAllowed: false }),
    );
    simulation.simulator.run(simulation.simulator.now + 3000);
    simulation.users.cancelJob(ids[0]!);
    simulation.simulator.run(simulation.simulator.now + 12000);
    // What could be asked is stopped, and its part of the limit is used again; the rest counts until it is settled.
    expect(on(simulation, 'wk-next').length).toBeGreaterThan(0);
    for (const worker of cut)
      for (const nodeName of simulation.nodeNames) simulation.network.heal(worker.name, nodeName);
    finish(simulation);
  },
);

test.each(seeds)('jobs bound to one zone, arrays too, lose their machines (%i)', (seed) => {
  const { w: simulation, ids } = world(seed, () => 20, [
    { taskCount: 5, zone: 'b' },
    { team: 'blue', taskCount: 3, zone: 'b' },
  ]);
  for (const worker of [...simulation.workers.values()])
    if (worker.zone === 'b') simulation.machines.destroy(worker.name);
  simulation.config.zonesWithoutCapacity.push('b');
  simulation.simulator.run(simulation.simulator.now + 30000);
  simulation.config.zonesWithoutCapacity.pop();
  expect(ids.map((id) => simulation.jobs.get(id)!.reportedState)).not.toContain('done');
  finish(simulation);
});

test.each(seeds)('cancelled at once on machines that hang, at a hand-over (%i)', (seed) => {
  const { w: simulation } = world(seed, () => 1e6, [
    { taskCount: 4 },
    { team: 'blue', taskCount: 3 },
    { team: 'free', taskCount: 3 },
  ]);
  simulation.users.cancelRunningJobs(3, simulation.config.leaseSeconds * 1400);
  simulation.simulator.run(simulation.simulator.now + 250);
  simulation.controllers.crash(leaderOf(simulation), 100);
  simulation.simulator.run(simulation.simulator.now + simulation.config.cancellationSeconds * 1500);
  expect(simulation.violations).toEqual([]);
  expect(
    [...simulation.workers.values()].flatMap((worker) =>
      worker.tasks.filter((task) => worker.occupies(task)),
    ),
  ).toEqual([]);
});

test.each(seeds)('a controller stands still while its clocks run on, as leader and as owner (%i)', (seed) => {
  const { w: simulation, ids } = world(seed, (taskIndex) => 15 + taskIndex * 5, [
    { taskCount: 5 },
    { team: 'blue', taskCount: 4 },
  ]);
  for (const ms of [1500, 6000, 15000]) {
    simulation.controllers.pause(leaderOf(simulation), ms);
    simulation.users.submitJob(makeJobSpec(simulation, { taskCount: 3 }));
    simulation.simulator.run(simulation.simulator.now + ms + 4000);
    simulation.controllers.pause(others(simulation, leaderOf(simulation))[0]!, ms);
    simulation.simulator.run(simulation.simulator.now + ms);
  }
  simulation.users.cancelJob(ids[1]!);
  finish(simulation);
});
