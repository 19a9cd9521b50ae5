import { expect, test } from 'vitest';
import type { ClusterState } from '../src/scheduler/cluster-state.js';
import { listed, makeWant, scheduler } from './standin/scheduler.js';
import { World } from './standin/world.js';

type Scheduler = ReturnType<typeof scheduler>;

/** Every machine of `names` reports, one second passes, and what was asked directly is not answered. */
function second(t: Scheduler, names: string[], over: (name: string) => object = () => ({})): void {
  for (const machine of names) t.report([], 5, { machine, address: machine, ...over(machine) });
  t.later(1000);
  t.k.flush();
  for (const c of t.calls.splice(0)) c.cb({ ok: false, kind: 'refused' });
}
const names = (n: number, from = 0) => Array.from({ length: n }, (_, i) => `vm-${from + i}`);

test('a new scheduler takes no machine for slow because it saw others half way through their tasks', () => {
  const t = scheduler(5);
  const all = names(30);
  const done = (id: string) => [{ ...listed('exited'), jobId: id }];
  // Each runs a task that began before this scheduler led: first seen running, ended a moment later.
  for (let round = 0; round < 5; round++) {
    for (const m of all) t.hold({ ...t.held('run'), jobId: `wk-${m}-${round}`, machine: m });
    for (const m of all)
      t.report([{ ...listed('running'), jobId: `wk-${m}-${round}` }], 5, { machine: m, address: m });
    t.later(100);
    for (const m of all.slice(0, 20)) t.report(done(`wk-${m}-${round}`), 5, { machine: m, address: m });
    t.later(3000);
    for (const m of all.slice(20)) t.report(done(`wk-${m}-${round}`), 5, { machine: m, address: m });
  }
  for (let i = 0; i < 5; i++) second(t, all);
  const retired = [...(t.k as unknown as { state: ClusterState }).state.machines.values()];
  expect(retired.filter((m) => m.isQuarantined)).toEqual([]);
});

test('a scheduler whose workers reach its siblings only resigns and deletes nothing', () => {
  const t = scheduler(5, { silent_s: 6, silent_share: 0.4, idle_s: 1e6 });
  t.siblings.n = 2;
  const all = names(20);
  for (let i = 0; i < 30; i++) second(t, all);
  for (let i = 0; i < 20 && t.resigned.length === 0; i++) {
    second(t, []);
    // What siblings tell of them, some seconds after the first report went unanswered.
    if (i >= 4) t.k.onMachinesRedirected(all.slice(0, 4 * (i - 3)));
  }
  expect(t.resigned).toEqual(['workers reach siblings only']);
  expect(t.removed).toEqual([]);
});

test('half the fleet silent: deleted when siblings bear it out, held back when nobody does', () => {
  for (const siblings of [2, 0]) {
    const t = scheduler(5, { silent_s: 6, silent_share: 0.4, idle_s: 1e6 });
    t.siblings.n = siblings;
    t.rents.served = true;
    for (let i = 0; i < 30; i++) second(t, names(20));
    // Fall silent one after the other, as their reports are due.
    for (let i = 0; i < 14; i++) second(t, names(6).concat(names(Math.max(0, 14 - 4 * i), 6)));
    expect(t.removed.length).toBe(siblings > 0 ? 14 : 0);
    expect(t.resigned).toEqual([]);
  }
});

test('a zone that is cut off is waited for while its replicas may live, and nothing is rented there', () => {
  const t = scheduler(5, { silent_s: 6, idle_s: 1e6 });
  t.siblings.n = 1;
  t.rents.served = true;
  const near = names(8);
  const far = names(4, 8);
  const at = (m: string) => ({ zone: far.includes(m) ? 'b' : 'a' });
  for (let i = 0; i < 30; i++) second(t, [...near, ...far], at);
  for (const m of far.slice(1))
    t.hold({ ...t.held('run'), priority: 0, isService: true, jobId: `wk-${m}`, machine: m });
  for (const m of far.slice(1))
    t.report([{ ...listed('running'), jobId: `wk-${m}` }], 5, { machine: m, address: m, zone: 'b' });
  for (let i = 0; i < 35; i++) second(t, near, at);
  // Only the one without replicas; the others until `cancel_s` (40 s here) has passed.
  expect(t.removed).toEqual([far[0]]);
  for (let i = 0; i < 10; i++) second(t, near, at);
  expect(t.removed.sort()).toEqual([...far].sort());
});

test('a controller cut off with its zone keeps leases for the last leader, for a bounded time', () => {
  const w = new World(21);
  w.sim.run(25000);
  const leads = (h: string) => w.procs.get(h)!.ctl.status().scheduler !== null;
  const host = w.hosts.find((h) => !leads(h))!;
  const m = w.machine('small', 'a', false);
  w.cloud.down = true;
  w.sim.run(w.sim.now + 8000);
  expect(m.token).toBeGreaterThan(0);
  for (const inside of [host, m.name])
    for (const outside of [...w.hosts.filter((h) => h !== host), 'state', 'cloud', 'users'])
      w.net.cut(inside, outside, 'hold');
  const cut = w.sim.now;
  w.sim.run(cut + 28000);
  // Its lease (20 s) is over by now but for the controller inside.
  expect([m.alive, m.season]).toEqual([true, 1]);
  // `cancel_s` (40 s) after the cut nothing may run any more that was cancelled outside meanwhile.
  w.sim.run(cut + 39900);
  expect(m.season).toBeGreaterThan(1);
});

test('what was started directly and then stopped stays listed: a late repeat of the command must not run it again', () => {
  const run = (reason: 'stopped' | 'done') => {
    const t = scheduler(5, { idle_s: 1e6 });
    t.report([]);
    t.tell('run');
    expect(t.calls[0]?.cmds[0]?.type).toBe('start');
    t.report([listed('running')]);
    t.calls.splice(0)[0]!.cb({ ok: false, kind: 'refused' });
    const ended = [{ ...listed('exited'), exitReason: reason }];
    t.report(ended);
    t.tell('forget');
    const ops = [];
    for (let i = 0; i < 40; i++) {
      ops.push(...(t.report(ended) ?? []).map((command) => command.type));
      t.later(1000);
      ops.push(...t.calls.flatMap((c) => c.cmds.map((x) => x.type)));
      for (const c of t.calls.splice(0)) c.cb({ ok: false, kind: 'refused' });
    }
    return ops;
  };
  expect(run('stopped')).toEqual([]);
  expect(run('done')).toContain('forget');
});

test('a machine that lists nothing but what has ended is empty', () => {
  const t = scheduler(5, { idle_s: 10 });
  t.report([]);
  t.tell('run');
  t.report([listed('running')]);
  t.calls.splice(0)[0]!.cb({ ok: false, kind: 'refused' });
  const ended = [{ ...listed('exited'), exitReason: 'stopped' as const }];
  t.report(ended);
  t.tell('forget');
  for (let i = 0; i < 30; i++) {
    t.report(ended);
    t.later(1000);
    t.k.flush();
  }
  expect(t.removed).toEqual(['m']);
});

test('a machine that is back at once with a worker that knows nothing is deleted, not believed', () => {
  const t = scheduler(5, { idle_s: 1e6 });
  for (let i = 0; i < 10; i++) t.report([]);
  t.tell('run');
  t.report([listed('running')]);
  t.calls.splice(0)[0]!.cb({ ok: false, kind: 'refused' });
  for (let i = 1; i < 20; i++) {
    t.report([], 0, { sequence: Math.min(i, 8) });
    t.later(1000);
    t.k.flush();
    const r = {
      address: 'm',
      machineType: 'small',
      zone: 'a',
      isSpot: false,
      agentEpoch: 1,
      fencingToken: 5,
      evictionNoticeSeconds: null,
      tasks: [],
    };
    for (const c of t.calls.splice(0)) c.cb({ ok: true, value: { machine: 'm', sequence: 3, ...r } });
  }
  expect(t.removed).toEqual(['m']);
  expect(t.settled()).toBe(false);
});

test('a pass looks at each machine once for wants of one kind, and a report at its own machine only', () => {
  const t = scheduler(5, { idle_s: 1e6 });
  const all = names(1900);
  for (const m of all) {
    t.hold({ ...t.held('run'), jobId: `wk-${m}`, machine: m });
    t.report([{ ...listed('running'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  }
  t.later(1000);
  t.k.flush();
  const inside = t.k as unknown as {
    placement: { context: { preemption: { offers: { offerOn: (...a: unknown[]) => unknown } } } };
    state: { changedMachines: Set<unknown>; capacityOf: (...a: unknown[]) => unknown };
  };
  let offers = 0;
  const machineOffers = inside.placement.context.preemption.offers;
  const offerOn = machineOffers.offerOn.bind(machineOffers);
  machineOffers.offerOn = (...a) => {
    offers++;
    return offerOn(...a);
  };
  // Three hundred replicas that no machine here may run: each used to look at all 1,900 machines.
  const replica = {
    isService: true,
    priority: 0 as const,
    spotAllowed: false,
    cpus: 4,
    machineTypes: ['big'],
  };
  t.wants(Array.from({ length: 300 }, (_, i) => makeWant(`wk-s${i}`, replica)));
  t.later(1000);
  t.k.flush();
  expect(offers).toBeGreaterThan(0);
  expect(offers).toBeLessThanOrEqual(2 * all.length);
  // A second before the next pass: nothing but the machine that reported is looked at again.
  inside.state.changedMachines.clear();
  let capacities = 0;
  const roomOf = inside.state.capacityOf.bind(inside.state);
  inside.state.capacityOf = (...a) => {
    capacities++;
    return roomOf(...a);
  };
  const m = all[7] as string;
  t.report([{ ...listed('exited'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  expect([inside.state.changedMachines.size, capacities]).toEqual([1, 0]);
  expect(t.calls.splice(0).length).toBe(0);
});

test('a look for work to stop that found none is not repeated by each pass', () => {
  const t = scheduler(5, { idle_s: 1e6 });
  const all = names(100);
  for (const m of all) {
    t.hold({ ...t.held('run'), jobId: `wk-${m}`, machine: m, cpus: 3, memoryGb: 1 });
    t.report([{ ...listed('running'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  }
  t.later(1000);
  t.k.flush();
  const inside = t.k as unknown as {
    placement: { context: { preemption: { offers: { offerOn: (...a: unknown[]) => unknown } } } };
  };
  let offers = 0;
  const machineOffers = inside.placement.context.preemption.offers;
  const offerOn = machineOffers.offerOn.bind(machineOffers);
  machineOffers.offerOn = (...a) => {
    offers++;
    return offerOn(...a);
  };
  // Within blue's guarantee, each of a size of its own, and on no machine that is there.
  const want = (i: number) =>
    makeWant(`wk-b${i}`, { team: 'blue', cpus: 3 + i / 100, machineTypes: ['big'], spotAllowed: false });
  const requests = Array.from({ length: 20 }, (_, i) => want(i));
  const pass = (ms: number) => {
    offers = 0;
    t.wants(requests);
    t.later(ms);
    t.k.flush();
    return offers;
  };
  const looks = Array.from({ length: 8 }, () => pass(600));
  expect(Math.max(...looks)).toBe(20 * all.length);
  // Every second pass at most, one second after the last look.
  expect(looks.some((n, i) => n > 0 && (looks[i + 1] ?? 0) > 0)).toBe(false);
});
