import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import type { FakeWorker } from './simulation/fake-worker.js';
import { makeJobSpec } from './simulation/scenario.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

// One test for each meeting of troubles in docs/meetings.md; the stand-ins check the rules after each step.

const leads = (w: ClusterSimulation, h: string) =>
  w.controllers.get(h)?.controller.status().scheduler !== null;
const leaderOf = (w: ClusterSimulation) => w.nodeNames.find((h) => leads(w, h)) ?? '';
const others = (w: ClusterSimulation, h: string) => w.nodeNames.filter((x) => x !== h);
const on = (w: ClusterSimulation, id: string): FakeWorker[] =>
  [...w.workers.values()].filter((m) => m.tasks.some((t) => t.jobId === id && m.occupies(t)));

/** Runs on until something holds, for so long at most. */
function until(w: ClusterSimulation, ms: number, holds: () => boolean): void {
  const end = w.simulator.now + ms;
  while (!holds() && w.simulator.now < end) w.simulator.run(w.simulator.now + 200);
  expect(holds()).toBe(true);
}

/** A world with jobs that run for as long as a test says. */
function world(
  seed: number,
  runS: (taskIndex: number) => number,
  specs: Partial<JobSpec>[],
): { w: ClusterSimulation; ids: string[] } {
  const w = new ClusterSimulation(seed);
  // No machine on which everything fails: starts are counted.
  w.faultyMachines.add = () => w.faultyMachines;
  w.runDurationMs = (id, taskIndex) =>
    w.jobs.get(id)?.spec.kind === 'service' ? Number.POSITIVE_INFINITY : runS(taskIndex) * 1000;
  const ids = specs.map((s) => {
    const j = makeJobSpec(w, { spotAllowed: false, ...s });
    w.submitJob(j);
    return j.id;
  });
  until(w, 90000, () => ids.every((id) => on(w, id).length > 0));
  return { w, ids };
}

function finish(w: ClusterSimulation, ms = 200000): void {
  w.faultsEndAt = w.simulator.now;
  w.simulator.run(w.simulator.now + ms);
  expect(w.violations).toEqual([]);
  expect(w.unfinishedJobs()).toEqual([]);
}

const seeds = [1, 2, 3];

test.each(seeds)(
  'jobs of three tasks end far apart across changes of the leader: none runs again (%i)',
  (seed) => {
    const { w, ids } = world(seed, (taskIndex) => 4 + taskIndex * 20, [
      { taskCount: 3 },
      { team: 'blue', taskCount: 2 },
    ]);
    for (let i = 0; i < 3; i++) {
      w.simulator.run(w.simulator.now + 11000);
      w.crashController(leaderOf(w), i === 1 ? 300 : 4000);
    }
    finish(w, 90000);
    expect(ids.map((id) => w.jobs.get(id)!.reportedState)).toEqual(['done', 'done']);
    expect(w.taskStarts).toBe(5);
  },
);

test.each(seeds)('cancellations, questions and repeats meet the end of the last task (%i)', (seed) => {
  const w = new ClusterSimulation(seed);
  w.runDurationMs = () => 3000;
  const specs = Array.from({ length: 24 }, (_, i) =>
    makeJobSpec(w, { id: `wk-e${i}`, taskCount: 1 + (i % 2) }),
  );
  // So that a read and the write that rests on it lie apart.
  w.network.slowdowns.set('state', 60);
  for (const s of specs) w.submitJob(s);
  const ended = new Map<string, number>();
  const watch = () => {
    for (const [i, s] of specs.entries()) {
      if (ended.has(s.id) || !w.completedTasks.has(`${s.id}/${s.taskCount - 1}`)) continue;
      ended.set(s.id, w.simulator.now);
      // From the end of the task until its report, its count and its final record have been written.
      for (let k = 0; k < 6; k++)
        w.simulator.scheduleAfter(w.simulator.between(0, 2500), () => w.queryAndResubmit(s.id, i % 3 !== 0));
    }
    w.simulator.scheduleAfter(5, watch);
  };
  watch();
  w.simulator.run(120000);
  expect(ended.size).toBe(specs.length);
  const told = specs.map((s) => w.jobs.get(s.id)!.reportedState);
  expect(told.every((t) => t === 'done' || t === 'cancelled')).toBe(true);
  finish(w, 20000);
});

test.each(seeds)(
  'a leader ends while machines with long tasks are out of reach, or do not hear the next one (%i)',
  (seed) => {
    const { w, ids } = world(seed, () => 60, [{ taskCount: 4 }, { team: 'blue', taskCount: 4 }]);
    const m = on(w, ids[0]!)[0]!;
    const n = on(w, ids[1]!).find((x) => x !== m);
    for (const h of w.nodeNames) w.network.cut(m.name, h, 'hold');
    if (n) w.network.unreachableInbound.add(n.name);
    const before = w.taskStarts;
    w.crashController(leaderOf(w), 3000);
    w.simulator.run(w.simulator.now + 9000);
    for (const h of w.nodeNames) w.network.heal(m.name, h);
    if (n) w.network.unreachableInbound.delete(n.name);
    w.simulator.run(w.simulator.now + 20000);
    // Their leases had not run out: what they run was left to them.
    expect([m.agentEpoch, w.taskStarts]).toEqual([1, before]);
    finish(w);
  },
);

test.each(seeds)('ten leaders in two minutes, some of them within an outage (%i)', (seed) => {
  const { w } = world(seed, (taskIndex) => 20 + taskIndex * 15, [
    { taskCount: 4 },
    { team: 'blue', taskCount: 3 },
    { kind: 'service', taskCount: 2 },
  ]);
  for (let i = 0; i < 10; i++) {
    w.simulator.run(w.simulator.now + 12000);
    if (i === 4) w.store.setDown(true);
    if (i === 6) w.store.setDown(false);
    const l = leaderOf(w);
    if (l) w.crashController(l, w.simulator.between(50, 3000));
    else for (const h of w.nodeNames) w.crashController(h, w.simulator.between(50, 3000));
  }
  finish(w);
});

test.each(seeds)('all controllers are away for longer than a lease (%i)', (seed) => {
  const { w, ids } = world(seed, () => 30, [{ taskCount: 4 }, { team: 'blue', taskCount: 2 }]);
  w.cancelJob(ids[1]!);
  w.simulator.run(w.simulator.now + 100);
  for (const h of w.nodeNames) w.crashController(h, w.config.leaseSeconds * 1300);
  w.simulator.run(w.simulator.now + w.config.leaseSeconds * 1200);
  expect(ids.flatMap((id) => on(w, id))).toEqual([]);
  finish(w);
});

test.each(seeds)(
  'reports held back until a new leader has acted, and copies from earlier sessions (%i)',
  (seed) => {
    const { w, ids } = world(seed, () => 25, [{ taskCount: 6 }, { team: 'blue', taskCount: 4 }]);
    w.duplicatesMessages = true;
    const l = leaderOf(w);
    for (const m of on(w, ids[0]!)) w.network.cut(m.name, l, 'hold');
    w.simulator.run(w.simulator.now + 4000);
    w.crashController(l, 200);
    w.simulator.run(w.simulator.now + 9000);
    for (const m of w.workers.keys()) w.network.heal(m, l);
    w.simulator.run(w.simulator.now + w.config.leaseSeconds * 3000);
    w.duplicatesMessages = false;
    finish(w);
  },
);

test.each(seeds)('commands and answers are held up, and the machine goes on (%i)', (seed) => {
  const { w, ids } = world(seed, () => 15, [{ taskCount: 6 }, { team: 'blue', taskCount: 6 }]);
  for (let i = 0; i < 6; i++) {
    for (const m of w.workers.values()) {
      if (!w.simulator.chance(0.5)) continue;
      m.isHung = true;
      w.simulator.scheduleAfter(w.simulator.between(2000, 12000), () => {
        m.isHung = false;
      });
    }
    w.submitJob(makeJobSpec(w, { taskCount: 3, priority: 1 }));
    if (i === 3) w.cancelJob(ids[1]!);
    w.simulator.run(w.simulator.now + 8000);
  }
  finish(w);
});

test.each(seeds)('controllers hand over and back, all end, and one returns within a second (%i)', (seed) => {
  const { w } = world(seed, () => 25, [{ taskCount: 5 }, { team: 'blue', taskCount: 3 }]);
  for (const h of w.nodeNames) {
    w.crashController(h, 150);
    w.simulator.run(w.simulator.now + 700);
  }
  w.nodeNames.forEach((h, i) => w.crashController(h, i === 1 ? 400 : 9000));
  w.simulator.run(w.simulator.now + 3000);
  w.crashController(w.nodeNames[1]!, 100);
  w.simulator.run(w.simulator.now + 8000);
  expect(leaderOf(w)).not.toBe('');
  finish(w);
});

test.each(seeds)('transactions are carried out late, after newer ones, while leaders change (%i)', (seed) => {
  const { w, ids } = world(seed, (taskIndex) => 8 + taskIndex * 3, [
    { taskCount: 6 },
    { team: 'blue', taskCount: 5 },
    { kind: 'service', taskCount: 2 },
  ]);
  w.lateWriteShare = 0.35;
  for (let i = 0; i < 5; i++) {
    w.submitJob(makeJobSpec(w, { taskCount: 3 }));
    if (i === 2) w.cancelJob(ids[2]!);
    w.simulator.run(w.simulator.now + 9000);
    w.crashController(leaderOf(w) || w.nodeNames[0]!, 300);
  }
  w.lateWriteShare = 0;
  finish(w);
});

test('a record of a controller that is written late does not bring back an older lease', () => {
  const w = new ClusterSimulation(6);
  w.simulator.run(4000);
  const host = others(w, leaderOf(w))[0]!;
  const key = `sys/node/${host}`;
  const late: (() => void)[] = [];
  const txn = w.store.compareAndSwap.bind(w.store);
  w.store.compareAndSwap = (h, transaction, limits) => {
    const copy = JSON.parse(JSON.stringify(transaction));
    if (h === host && late.length === 0 && transaction.operations.some((o) => 'put' in o && o.put === key)) {
      late.push(() => txn(h, copy, limits));
      return { status: 500 };
    }
    return txn(h, transaction, limits);
  };
  w.crashController(host, 50);
  w.simulator.run(w.simulator.now + 3000);
  const lease = JSON.parse(w.store.records.get(key)!.value).lease;
  for (const fn of late) fn();
  expect(late.length).toBe(1);
  expect(JSON.parse(w.store.records.get(key)!.value).lease).toBe(lease);
});

test.each(seeds)(
  'a leader without the state service and its siblings keeps workers and users; jobs are cancelled through the next (%i)',
  (seed) => {
    const { w, ids } = world(seed, () => 1e6, [{ taskCount: 4 }, { team: 'blue', taskCount: 3 }]);
    const l = leaderOf(w);
    w.cloud.isDown = true;
    for (const x of [...others(w, l), 'state']) w.network.cut(l, x, 'hold');
    // What the next leader says reaches no worker: they stay with the old one.
    for (const m of w.workers.keys()) for (const h of others(w, l)) w.network.cut(m, h, 'hold');
    until(w, 10000, () => w.nodeNames.some((h) => h !== l && leads(w, h)));
    const job = w.jobs.get(ids[0]!)!;
    job.cancelRequested = true;
    w.controllers
      .get(w.nodeNames.find((h) => h !== l && leads(w, h))!)!
      .controller.api.cancelJob(ids[0]!, (answer) => {
        if (answer.type === 'job' && answer.state === 'cancelled') job.cancelledAt = w.simulator.now;
      });
    w.simulator.run(w.simulator.now + 500);
    expect(job.cancelledAt).not.toBeNull();
    w.simulator.run(w.simulator.now + w.config.cancellationSeconds * 1500);
    expect(on(w, ids[0]!)).toEqual([]);
    expect(w.violations).toEqual([]);
  },
);

test.each(seeds)('more work than room, urgent and not, over slow links (%i)', (seed) => {
  const w = new ClusterSimulation(seed);
  w.cloud.capacity = 3;
  for (const h of [...w.nodeNames, 'state']) w.network.slowdowns.set(h, 60);
  for (let i = 0; i < 10; i++)
    w.submitJob(
      makeJobSpec(w, {
        team: ['red', 'blue', 'free'][i % 3]!,
        priority: i % 3 === 0 ? 1 : 3,
        taskCount: 3,
        cpus: 2,
      }),
    );
  w.simulator.run(60000);
  for (const h of [...w.nodeNames, 'state']) w.network.slowdowns.delete(h);
  finish(w);
});

test('a mute machine gets nothing new, keeps what it has as long as that lives, and is returned after its lease', () => {
  const t = new SchedulerHarness(5, { silent_s: 6, idle_s: 1e6 });
  t.heartbeat([]);
  t.sendDesiredState('run');
  for (const c of t.directCalls.splice(0)) c.callback({ ok: false, kind: 'refused' });
  t.heartbeat([taskStatus('running')]);
  // Answers direct commands and reports to nobody.
  let n = 100;
  const answer = () => {
    for (const c of t.directCalls.splice(0))
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
    t.advance(1000);
    answer();
  }
  t.sendRequests([makeResourceRequest('wk-2')]);
  expect(t.grantedJobs()).toEqual([]);
  expect(t.deletedMachines).toEqual([]);
  for (let i = 0; i < 10; i++) {
    t.advance(1000);
    answer();
  }
  expect(t.deletedMachines).toEqual(['m']);
  expect(t.resignationReasons).toEqual([]);
});

test.each(seeds)(
  'a team at its limit, a change of leader, machines that cannot be asked, and a cancellation in that spell (%i)',
  (seed) => {
    const { w, ids } = world(seed, () => 40, [{ taskCount: 10, cpus: 4 }]);
    until(w, 60000, () => on(w, ids[0]!).length === 10 || w.simulator.now > 60000);
    const cut = on(w, ids[0]!).slice(0, 2);
    for (const m of cut) for (const h of w.nodeNames) w.network.cut(m.name, h, 'hold');
    w.crashController(leaderOf(w), 2000);
    w.submitJob(makeJobSpec(w, { id: 'wk-next', taskCount: 10, cpus: 4, spotAllowed: false }));
    w.simulator.run(w.simulator.now + 3000);
    w.cancelJob(ids[0]!);
    w.simulator.run(w.simulator.now + 12000);
    // What could be asked is stopped, and its part of the limit is used again; the rest counts until it is settled.
    expect(on(w, 'wk-next').length).toBeGreaterThan(0);
    for (const m of cut) for (const h of w.nodeNames) w.network.heal(m.name, h);
    finish(w);
  },
);

test.each(seeds)('jobs bound to one zone, arrays too, lose their machines (%i)', (seed) => {
  const { w, ids } = world(seed, () => 20, [
    { taskCount: 5, zone: 'b' },
    { team: 'blue', taskCount: 3, zone: 'b' },
  ]);
  for (const m of [...w.workers.values()]) if (m.zone === 'b') w.destroyMachine(m.name);
  w.config.zonesWithoutCapacity.push('b');
  w.simulator.run(w.simulator.now + 30000);
  w.config.zonesWithoutCapacity.pop();
  expect(ids.map((id) => w.jobs.get(id)!.reportedState)).not.toContain('done');
  finish(w);
});

test.each(seeds)('cancelled at once on machines that hang, at a hand-over (%i)', (seed) => {
  const { w } = world(seed, () => 1e6, [
    { taskCount: 4 },
    { team: 'blue', taskCount: 3 },
    { team: 'free', taskCount: 3 },
  ]);
  w.cancelRunningJobs(3, w.config.leaseSeconds * 1400);
  w.simulator.run(w.simulator.now + 250);
  w.crashController(leaderOf(w), 100);
  w.simulator.run(w.simulator.now + w.config.cancellationSeconds * 1500);
  expect(w.violations).toEqual([]);
  expect([...w.workers.values()].flatMap((m) => m.tasks.filter((t) => m.occupies(t)))).toEqual([]);
});

test.each(seeds)('a controller stands still while its clocks run on, as leader and as owner (%i)', (seed) => {
  const { w, ids } = world(seed, (taskIndex) => 15 + taskIndex * 5, [
    { taskCount: 5 },
    { team: 'blue', taskCount: 4 },
  ]);
  for (const ms of [1500, 6000, 15000]) {
    w.pauseController(leaderOf(w), ms);
    w.submitJob(makeJobSpec(w, { taskCount: 3 }));
    w.simulator.run(w.simulator.now + ms + 4000);
    w.pauseController(others(w, leaderOf(w))[0]!, ms);
    w.simulator.run(w.simulator.now + ms);
  }
  w.cancelJob(ids[1]!);
  finish(w);
});
