import { expect, test } from 'vitest';
import type { ClusterState } from '../src/scheduler/cluster-state.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

type Scheduler = SchedulerHarness;

/** Every machine of `names` reports, one second passes, and what was asked directly is not answered. */
function second(t: Scheduler, names: string[], over: (name: string) => object = () => ({})): void {
  for (const machine of names) t.heartbeat([], 5, { machine, address: machine, ...over(machine) });
  t.advance(1000);
  t.scheduler.flush();
  for (const c of t.directCalls.splice(0)) c.callback({ ok: false, kind: 'refused' });
}
const names = (n: number, from = 0) => Array.from({ length: n }, (_, i) => `vm-${from + i}`);

test('a new scheduler takes no machine for slow because it saw others half way through their tasks', () => {
  const t = new SchedulerHarness(5);
  const all = names(30);
  const done = (id: string) => [{ ...taskStatus('exited'), jobId: id }];
  // Each runs a task that began before this scheduler led: first seen running, ended a moment later.
  for (let round = 0; round < 5; round++) {
    for (const m of all)
      t.sendPlacement({ ...t.placementSpec('run'), jobId: `wk-${m}-${round}`, machine: m });
    for (const m of all)
      t.heartbeat([{ ...taskStatus('running'), jobId: `wk-${m}-${round}` }], 5, { machine: m, address: m });
    t.advance(100);
    for (const m of all.slice(0, 20)) t.heartbeat(done(`wk-${m}-${round}`), 5, { machine: m, address: m });
    t.advance(3000);
    for (const m of all.slice(20)) t.heartbeat(done(`wk-${m}-${round}`), 5, { machine: m, address: m });
  }
  for (let i = 0; i < 5; i++) second(t, all);
  const retired = [...(t.scheduler as unknown as { state: ClusterState }).state.machines.values()];
  expect(retired.filter((m) => m.isQuarantined)).toEqual([]);
});

test('a scheduler whose workers reach its siblings only resigns and deletes nothing', () => {
  const t = new SchedulerHarness(5, { silent_s: 6, silent_share: 0.4, idle_s: 1e6 });
  t.peers.n = 2;
  const all = names(20);
  for (let i = 0; i < 30; i++) second(t, all);
  for (let i = 0; i < 20 && t.resignationReasons.length === 0; i++) {
    second(t, []);
    // What siblings tell of them, some seconds after the first report went unanswered.
    if (i >= 4) t.scheduler.onMachinesRedirected(all.slice(0, 4 * (i - 3)));
  }
  expect(t.resignationReasons).toEqual(['workers reach siblings only']);
  expect(t.deletedMachines).toEqual([]);
});

test('half the fleet silent: deleted when siblings bear it out, held back when nobody does', () => {
  for (const siblings of [2, 0]) {
    const t = new SchedulerHarness(5, { silent_s: 6, silent_share: 0.4, idle_s: 1e6 });
    t.peers.n = siblings;
    t.rentals.served = true;
    for (let i = 0; i < 30; i++) second(t, names(20));
    // Fall silent one after the other, as their reports are due.
    for (let i = 0; i < 14; i++) second(t, names(6).concat(names(Math.max(0, 14 - 4 * i), 6)));
    expect(t.deletedMachines.length).toBe(siblings > 0 ? 14 : 0);
    expect(t.resignationReasons).toEqual([]);
  }
});

test('a zone that is cut off is waited for while its replicas may live, and nothing is rented there', () => {
  const t = new SchedulerHarness(5, { silent_s: 6, idle_s: 1e6 });
  t.peers.n = 1;
  t.rentals.served = true;
  const near = names(8);
  const far = names(4, 8);
  const at = (m: string) => ({ zone: far.includes(m) ? 'b' : 'a' });
  for (let i = 0; i < 30; i++) second(t, [...near, ...far], at);
  for (const m of far.slice(1))
    t.sendPlacement({
      ...t.placementSpec('run'),
      priority: 0,
      isService: true,
      jobId: `wk-${m}`,
      machine: m,
    });
  for (const m of far.slice(1))
    t.heartbeat([{ ...taskStatus('running'), jobId: `wk-${m}` }], 5, { machine: m, address: m, zone: 'b' });
  for (let i = 0; i < 35; i++) second(t, near, at);
  // Only the one without replicas; the others until `cancel_s` (40 s here) has passed.
  expect(t.deletedMachines).toEqual([far[0]]);
  for (let i = 0; i < 10; i++) second(t, near, at);
  expect(t.deletedMachines.sort()).toEqual([...far].sort());
});

test('a controller cut off with its zone keeps leases for the last leader, for a bounded time', () => {
  const w = new ClusterSimulation(21);
  w.simulator.run(25000);
  const leads = (h: string) => w.controllers.get(h)!.controller.status().scheduler !== null;
  const host = w.nodeNames.find((h) => !leads(h))!;
  const m = w.addMachine('small', 'a', false);
  w.cloud.isDown = true;
  w.simulator.run(w.simulator.now + 8000);
  expect(m.fencingToken).toBeGreaterThan(0);
  for (const inside of [host, m.name])
    for (const outside of [...w.nodeNames.filter((h) => h !== host), 'state', 'cloud', 'users'])
      w.network.cut(inside, outside, 'hold');
  const cut = w.simulator.now;
  w.simulator.run(cut + 28000);
  // Its lease (20 s) is over by now but for the controller inside.
  expect([m.isAlive, m.agentEpoch]).toEqual([true, 1]);
  // `cancel_s` (40 s) after the cut nothing may run any more that was cancelled outside meanwhile.
  w.simulator.run(cut + 39900);
  expect(m.agentEpoch).toBeGreaterThan(1);
});

test('what was started directly and then stopped stays listed: a late repeat of the command must not run it again', () => {
  const run = (reason: 'stopped' | 'done') => {
    const t = new SchedulerHarness(5, { idle_s: 1e6 });
    t.heartbeat([]);
    t.sendDesiredState('run');
    expect(t.directCalls[0]?.commands[0]?.type).toBe('start');
    t.heartbeat([taskStatus('running')]);
    t.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
    const ended = [{ ...taskStatus('exited'), exitReason: reason }];
    t.heartbeat(ended);
    t.sendDesiredState('reap');
    const ops = [];
    for (let i = 0; i < 40; i++) {
      ops.push(...(t.heartbeat(ended) ?? []).map((command) => command.type));
      t.advance(1000);
      ops.push(...t.directCalls.flatMap((c) => c.commands.map((x) => x.type)));
      for (const c of t.directCalls.splice(0)) c.callback({ ok: false, kind: 'refused' });
    }
    return ops;
  };
  expect(run('stopped')).toEqual([]);
  expect(run('done')).toContain('reap');
});

test('a machine that lists nothing but what has ended is empty', () => {
  const t = new SchedulerHarness(5, { idle_s: 10 });
  t.heartbeat([]);
  t.sendDesiredState('run');
  t.heartbeat([taskStatus('running')]);
  t.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
  const ended = [{ ...taskStatus('exited'), exitReason: 'stopped' as const }];
  t.heartbeat(ended);
  t.sendDesiredState('reap');
  for (let i = 0; i < 30; i++) {
    t.heartbeat(ended);
    t.advance(1000);
    t.scheduler.flush();
  }
  expect(t.deletedMachines).toEqual(['m']);
});

test('a machine that is back at once with a worker that knows nothing is deleted, not believed', () => {
  const t = new SchedulerHarness(5, { idle_s: 1e6 });
  for (let i = 0; i < 10; i++) t.heartbeat([]);
  t.sendDesiredState('run');
  t.heartbeat([taskStatus('running')]);
  t.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
  for (let i = 1; i < 20; i++) {
    t.heartbeat([], 0, { sequence: Math.min(i, 8) });
    t.advance(1000);
    t.scheduler.flush();
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
    for (const c of t.directCalls.splice(0))
      c.callback({ ok: true, value: { machine: 'm', sequence: 3, ...r } });
  }
  expect(t.deletedMachines).toEqual(['m']);
  expect(t.hasFinalized()).toBe(false);
});

test('a pass looks at each machine once for wants of one kind, and a report at its own machine only', () => {
  const t = new SchedulerHarness(5, { idle_s: 1e6 });
  const all = names(1900);
  for (const m of all) {
    t.sendPlacement({ ...t.placementSpec('run'), jobId: `wk-${m}`, machine: m });
    t.heartbeat([{ ...taskStatus('running'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  }
  t.advance(1000);
  t.scheduler.flush();
  const inside = t.scheduler as unknown as {
    placement: { preemption: { offer: (...a: unknown[]) => unknown } };
    state: { changedMachines: Set<unknown>; capacityOf: (...a: unknown[]) => unknown };
  };
  let offers = 0;
  const offer = inside.placement.preemption.offer.bind(inside.placement.preemption);
  inside.placement.preemption.offer = (...a) => {
    offers++;
    return offer(...a);
  };
  // Three hundred replicas that no machine here may run: each used to look at all 1,900 machines.
  const replica = {
    isService: true,
    priority: 0 as const,
    spotAllowed: false,
    cpus: 4,
    machineTypes: ['big'],
  };
  t.sendRequests(Array.from({ length: 300 }, (_, i) => makeResourceRequest(`wk-s${i}`, replica)));
  t.advance(1000);
  t.scheduler.flush();
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
  t.heartbeat([{ ...taskStatus('exited'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  expect([inside.state.changedMachines.size, capacities]).toEqual([1, 0]);
  expect(t.directCalls.splice(0).length).toBe(0);
});

test('a look for work to stop that found none is not repeated by each pass', () => {
  const t = new SchedulerHarness(5, { idle_s: 1e6 });
  const all = names(100);
  for (const m of all) {
    t.sendPlacement({ ...t.placementSpec('run'), jobId: `wk-${m}`, machine: m, cpus: 3, memoryGb: 1 });
    t.heartbeat([{ ...taskStatus('running'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  }
  t.advance(1000);
  t.scheduler.flush();
  const inside = t.scheduler as unknown as {
    placement: { preemption: { offer: (...a: unknown[]) => unknown } };
  };
  let offers = 0;
  const offer = inside.placement.preemption.offer.bind(inside.placement.preemption);
  inside.placement.preemption.offer = (...a) => {
    offers++;
    return offer(...a);
  };
  // Within blue's guarantee, each of a size of its own, and on no machine that is there.
  const want = (i: number) =>
    makeResourceRequest(`wk-b${i}`, {
      team: 'blue',
      cpus: 3 + i / 100,
      machineTypes: ['big'],
      spotAllowed: false,
    });
  const requests = Array.from({ length: 20 }, (_, i) => want(i));
  const pass = (ms: number) => {
    offers = 0;
    t.sendRequests(requests);
    t.advance(ms);
    t.scheduler.flush();
    return offers;
  };
  const looks = Array.from({ length: 8 }, () => pass(600));
  expect(Math.max(...looks)).toBe(20 * all.length);
  // Every second pass at most, one second after the last look.
  expect(looks.some((n, i) => n > 0 && (looks[i + 1] ?? 0) > 0)).toBe(false);
});
