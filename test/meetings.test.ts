import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { job } from './standin/day.js';
import { listed, makeWant, scheduler } from './standin/scheduler.js';
import type { WorkerStandin } from './standin/worker.js';
import { World } from './standin/world.js';

// One test for each meeting of troubles in docs/meetings.md; the stand-ins check the rules after each step.

const leads = (w: World, h: string) => w.procs.get(h)?.ctl.status().scheduler !== null;
const leaderOf = (w: World) => w.hosts.find((h) => leads(w, h)) ?? '';
const others = (w: World, h: string) => w.hosts.filter((x) => x !== h);
const on = (w: World, id: string): WorkerStandin[] =>
  [...w.workers.values()].filter((m) => m.tasks.some((t) => t.job === id && m.onMachine(t)));

/** Runs on until something holds, for so long at most. */
function until(w: World, ms: number, holds: () => boolean): void {
  const end = w.sim.now + ms;
  while (!holds() && w.sim.now < end) w.sim.run(w.sim.now + 200);
  expect(holds()).toBe(true);
}

/** A world with jobs that run for as long as a test says. */
function world(
  seed: number,
  runS: (taskIndex: number) => number,
  specs: Partial<JobSpec>[],
): { w: World; ids: string[] } {
  const w = new World(seed);
  // No machine on which everything fails: starts are counted.
  w.faulty.add = () => w.faulty;
  w.runMs = (id, taskIndex) =>
    w.jobs.get(id)?.spec.kind === 'service' ? Number.POSITIVE_INFINITY : runS(taskIndex) * 1000;
  const ids = specs.map((s) => {
    const j = job(w, { spotAllowed: false, ...s });
    w.submit(j);
    return j.id;
  });
  until(w, 90000, () => ids.every((id) => on(w, id).length > 0));
  return { w, ids };
}

function finish(w: World, ms = 200000): void {
  w.quietFrom = w.sim.now;
  w.sim.run(w.sim.now + ms);
  expect(w.broken).toEqual([]);
  expect(w.unfinished()).toEqual([]);
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
      w.sim.run(w.sim.now + 11000);
      w.kill(leaderOf(w), i === 1 ? 300 : 4000);
    }
    finish(w, 90000);
    expect(ids.map((id) => w.jobs.get(id)!.told)).toEqual(['done', 'done']);
    expect(w.starts).toBe(5);
  },
);

test.each(seeds)('cancellations, questions and repeats meet the end of the last task (%i)', (seed) => {
  const w = new World(seed);
  w.runMs = () => 3000;
  const specs = Array.from({ length: 24 }, (_, i) => job(w, { id: `wk-e${i}`, taskCount: 1 + (i % 2) }));
  // So that a read and the write that rests on it lie apart.
  w.net.slow.set('state', 60);
  for (const s of specs) w.submit(s);
  const ended = new Map<string, number>();
  const watch = () => {
    for (const [i, s] of specs.entries()) {
      if (ended.has(s.id) || !w.done.has(`${s.id}/${s.taskCount - 1}`)) continue;
      ended.set(s.id, w.sim.now);
      // From the end of the task until its report, its count and its final record have been written.
      for (let k = 0; k < 6; k++) w.sim.after(w.sim.between(0, 2500), () => w.ask2(s.id, i % 3 !== 0));
    }
    w.sim.after(5, watch);
  };
  watch();
  w.sim.run(120000);
  expect(ended.size).toBe(specs.length);
  const told = specs.map((s) => w.jobs.get(s.id)!.told);
  expect(told.every((t) => t === 'done' || t === 'cancelled')).toBe(true);
  finish(w, 20000);
});

test.each(seeds)(
  'a leader ends while machines with long tasks are out of reach, or do not hear the next one (%i)',
  (seed) => {
    const { w, ids } = world(seed, () => 60, [{ taskCount: 4 }, { team: 'blue', taskCount: 4 }]);
    const m = on(w, ids[0]!)[0]!;
    const n = on(w, ids[1]!).find((x) => x !== m);
    for (const h of w.hosts) w.net.cut(m.name, h, 'hold');
    if (n) w.net.deaf.add(n.name);
    const before = w.starts;
    w.kill(leaderOf(w), 3000);
    w.sim.run(w.sim.now + 9000);
    for (const h of w.hosts) w.net.heal(m.name, h);
    if (n) w.net.deaf.delete(n.name);
    w.sim.run(w.sim.now + 20000);
    // Their leases had not run out: what they run was left to them.
    expect([m.season, w.starts]).toEqual([1, before]);
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
    w.sim.run(w.sim.now + 12000);
    if (i === 4) w.state.setDown(true);
    if (i === 6) w.state.setDown(false);
    const l = leaderOf(w);
    if (l) w.kill(l, w.sim.between(50, 3000));
    else for (const h of w.hosts) w.kill(h, w.sim.between(50, 3000));
  }
  finish(w);
});

test.each(seeds)('all controllers are away for longer than a lease (%i)', (seed) => {
  const { w, ids } = world(seed, () => 30, [{ taskCount: 4 }, { team: 'blue', taskCount: 2 }]);
  w.abort(ids[1]!);
  w.sim.run(w.sim.now + 100);
  for (const h of w.hosts) w.kill(h, w.shape.leaseS * 1300);
  w.sim.run(w.sim.now + w.shape.leaseS * 1200);
  expect(ids.flatMap((id) => on(w, id))).toEqual([]);
  finish(w);
});

test.each(seeds)(
  'reports held back until a new leader has acted, and copies from earlier sessions (%i)',
  (seed) => {
    const { w, ids } = world(seed, () => 25, [{ taskCount: 6 }, { team: 'blue', taskCount: 4 }]);
    w.copies = true;
    const l = leaderOf(w);
    for (const m of on(w, ids[0]!)) w.net.cut(m.name, l, 'hold');
    w.sim.run(w.sim.now + 4000);
    w.kill(l, 200);
    w.sim.run(w.sim.now + 9000);
    for (const m of w.workers.keys()) w.net.heal(m, l);
    w.sim.run(w.sim.now + w.shape.leaseS * 3000);
    w.copies = false;
    finish(w);
  },
);

test.each(seeds)('commands and answers are held up, and the machine goes on (%i)', (seed) => {
  const { w, ids } = world(seed, () => 15, [{ taskCount: 6 }, { team: 'blue', taskCount: 6 }]);
  for (let i = 0; i < 6; i++) {
    for (const m of w.workers.values()) {
      if (!w.sim.chance(0.5)) continue;
      m.hung = true;
      w.sim.after(w.sim.between(2000, 12000), () => {
        m.hung = false;
      });
    }
    w.submit(job(w, { taskCount: 3, priority: 1 }));
    if (i === 3) w.abort(ids[1]!);
    w.sim.run(w.sim.now + 8000);
  }
  finish(w);
});

test.each(seeds)('controllers hand over and back, all end, and one returns within a second (%i)', (seed) => {
  const { w } = world(seed, () => 25, [{ taskCount: 5 }, { team: 'blue', taskCount: 3 }]);
  for (const h of w.hosts) {
    w.kill(h, 150);
    w.sim.run(w.sim.now + 700);
  }
  w.hosts.forEach((h, i) => w.kill(h, i === 1 ? 400 : 9000));
  w.sim.run(w.sim.now + 3000);
  w.kill(w.hosts[1]!, 100);
  w.sim.run(w.sim.now + 8000);
  expect(leaderOf(w)).not.toBe('');
  finish(w);
});

test.each(seeds)('transactions are carried out late, after newer ones, while leaders change (%i)', (seed) => {
  const { w, ids } = world(seed, (taskIndex) => 8 + taskIndex * 3, [
    { taskCount: 6 },
    { team: 'blue', taskCount: 5 },
    { kind: 'service', taskCount: 2 },
  ]);
  w.lateWrites = 0.35;
  for (let i = 0; i < 5; i++) {
    w.submit(job(w, { taskCount: 3 }));
    if (i === 2) w.abort(ids[2]!);
    w.sim.run(w.sim.now + 9000);
    w.kill(leaderOf(w) || w.hosts[0]!, 300);
  }
  w.lateWrites = 0;
  finish(w);
});

test('a record of a controller that is written late does not bring back an older lease', () => {
  const w = new World(6);
  w.sim.run(4000);
  const host = others(w, leaderOf(w))[0]!;
  const key = `sys/node/${host}`;
  const late: (() => void)[] = [];
  const txn = w.state.txn.bind(w.state);
  w.state.txn = (h, transaction, limits) => {
    const copy = JSON.parse(JSON.stringify(transaction));
    if (
      h === host &&
      late.length === 0 &&
      transaction.operations.some((o) => o.type === 'put' && o.key === key)
    ) {
      late.push(() => txn(h, copy, limits));
      return { status: 500 };
    }
    return txn(h, transaction, limits);
  };
  w.kill(host, 50);
  w.sim.run(w.sim.now + 3000);
  const lease = JSON.parse(w.state.keys.get(key)!.value).lease;
  for (const fn of late) fn();
  expect(late.length).toBe(1);
  expect(JSON.parse(w.state.keys.get(key)!.value).lease).toBe(lease);
});

test.each(seeds)(
  'a leader without the state service and its siblings keeps workers and users; jobs are cancelled through the next (%i)',
  (seed) => {
    const { w, ids } = world(seed, () => 1e6, [{ taskCount: 4 }, { team: 'blue', taskCount: 3 }]);
    const l = leaderOf(w);
    w.cloud.down = true;
    for (const x of [...others(w, l), 'state']) w.net.cut(l, x, 'hold');
    // What the next leader says reaches no worker: they stay with the old one.
    for (const m of w.workers.keys()) for (const h of others(w, l)) w.net.cut(m, h, 'hold');
    until(w, 10000, () => w.hosts.some((h) => h !== l && leads(w, h)));
    const job = w.jobs.get(ids[0]!)!;
    job.askedCancel = true;
    w.procs.get(w.hosts.find((h) => h !== l && leads(w, h))!)!.ctl.api.cancelJob(ids[0]!, (answer) => {
      if (answer.type === 'job' && answer.state === 'cancelled') job.cancelledAt = w.sim.now;
    });
    w.sim.run(w.sim.now + 500);
    expect(job.cancelledAt).not.toBeNull();
    w.sim.run(w.sim.now + w.shape.cancelS * 1500);
    expect(on(w, ids[0]!)).toEqual([]);
    expect(w.broken).toEqual([]);
  },
);

test.each(seeds)('more work than room, urgent and not, over slow links (%i)', (seed) => {
  const w = new World(seed);
  w.cloud.capacity = 3;
  for (const h of [...w.hosts, 'state']) w.net.slow.set(h, 60);
  for (let i = 0; i < 10; i++)
    w.submit(
      job(w, { team: ['red', 'blue', 'free'][i % 3]!, priority: i % 3 === 0 ? 1 : 3, taskCount: 3, cpus: 2 }),
    );
  w.sim.run(60000);
  for (const h of [...w.hosts, 'state']) w.net.slow.delete(h);
  finish(w);
});

test('a mute machine gets nothing new, keeps what it has as long as that lives, and is returned after its lease', () => {
  const t = scheduler(5, { silent_s: 6, idle_s: 1e6 });
  t.report([]);
  t.tell('run');
  for (const c of t.calls.splice(0)) c.cb({ ok: false, kind: 'refused' });
  t.report([listed('running')]);
  // Answers direct commands and reports to nobody.
  let n = 100;
  const answer = () => {
    for (const c of t.calls.splice(0))
      c.cb({
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
          tasks: [listed('running')],
        },
      });
  };
  for (let i = 0; i < 20; i++) {
    t.later(1000);
    answer();
  }
  t.wants([makeWant('wk-2')]);
  expect(t.grants()).toEqual([]);
  expect(t.removed).toEqual([]);
  for (let i = 0; i < 10; i++) {
    t.later(1000);
    answer();
  }
  expect(t.removed).toEqual(['m']);
  expect(t.resigned).toEqual([]);
});

test.each(seeds)(
  'a team at its limit, a change of leader, machines that cannot be asked, and a cancellation in that spell (%i)',
  (seed) => {
    const { w, ids } = world(seed, () => 40, [{ taskCount: 10, cpus: 4 }]);
    until(w, 60000, () => on(w, ids[0]!).length === 10 || w.sim.now > 60000);
    const cut = on(w, ids[0]!).slice(0, 2);
    for (const m of cut) for (const h of w.hosts) w.net.cut(m.name, h, 'hold');
    w.kill(leaderOf(w), 2000);
    w.submit(job(w, { id: 'wk-next', taskCount: 10, cpus: 4, spotAllowed: false }));
    w.sim.run(w.sim.now + 3000);
    w.abort(ids[0]!);
    w.sim.run(w.sim.now + 12000);
    // What could be asked is stopped, and its part of the limit is used again; the rest counts until it is settled.
    expect(on(w, 'wk-next').length).toBeGreaterThan(0);
    for (const m of cut) for (const h of w.hosts) w.net.heal(m.name, h);
    finish(w);
  },
);

test.each(seeds)('jobs bound to one zone, arrays too, lose their machines (%i)', (seed) => {
  const { w, ids } = world(seed, () => 20, [
    { taskCount: 5, zone: 'b' },
    { team: 'blue', taskCount: 3, zone: 'b' },
  ]);
  for (const m of [...w.workers.values()]) if (m.zone === 'b') w.destroy(m.name);
  w.shape.empty.push('b');
  w.sim.run(w.sim.now + 30000);
  w.shape.empty.pop();
  expect(ids.map((id) => w.jobs.get(id)!.told)).not.toContain('done');
  finish(w);
});

test.each(seeds)('cancelled at once on machines that hang, at a hand-over (%i)', (seed) => {
  const { w } = world(seed, () => 1e6, [
    { taskCount: 4 },
    { team: 'blue', taskCount: 3 },
    { team: 'free', taskCount: 3 },
  ]);
  w.cancelSome(3, w.shape.leaseS * 1400);
  w.sim.run(w.sim.now + 250);
  w.kill(leaderOf(w), 100);
  w.sim.run(w.sim.now + w.shape.cancelS * 1500);
  expect(w.broken).toEqual([]);
  expect([...w.workers.values()].flatMap((m) => m.tasks.filter((t) => m.onMachine(t)))).toEqual([]);
});

test.each(seeds)('a controller stands still while its clocks run on, as leader and as owner (%i)', (seed) => {
  const { w, ids } = world(seed, (taskIndex) => 15 + taskIndex * 5, [
    { taskCount: 5 },
    { team: 'blue', taskCount: 4 },
  ]);
  for (const ms of [1500, 6000, 15000]) {
    w.pause(leaderOf(w), ms);
    w.submit(job(w, { taskCount: 3 }));
    w.sim.run(w.sim.now + ms + 4000);
    w.pause(others(w, leaderOf(w))[0]!, ms);
    w.sim.run(w.sim.now + ms);
  }
  w.abort(ids[1]!);
  finish(w);
});
