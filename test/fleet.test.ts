import { expect, test } from 'vitest';
import type { ClusterState } from '../src/scheduler/cluster-state.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

type Scheduler = SchedulerHarness;

/** Every machine of `names` reports, one second passes, and what was asked directly is not answered. */
function second(harness: Scheduler, names: string[], over: (name: string) => object = () => ({})): void {
  for (const machine of names) harness.heartbeat([], 5, { machine, address: machine, ...over(machine) });
  harness.advance(1000);
  harness.scheduler.flush();
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
}
const names = (n: number, from = 0) => Array.from({ length: n }, (_, i) => `vm-${from + i}`);

test('a new scheduler takes no machine for slow because it saw others half way through their tasks', () => {
  const harness = new SchedulerHarness(5);
  const all = names(30);
  const done = (id: string) => [{ ...taskStatus('exited'), jobId: id }];
  // Each runs a task that began before this scheduler led: first seen running, ended a moment later.
  for (let round = 0; round < 5; round++) {
    for (const m of all)
      harness.sendPlacement({ ...harness.placementSpec('run'), jobId: `wk-${m}-${round}`, machine: m });
    for (const m of all)
      harness.heartbeat([{ ...taskStatus('running'), jobId: `wk-${m}-${round}` }], 5, {
        machine: m,
        address: m,
      });
    harness.advance(100);
    for (const m of all.slice(0, 20))
      harness.heartbeat(done(`wk-${m}-${round}`), 5, { machine: m, address: m });
    harness.advance(3000);
    for (const m of all.slice(20)) harness.heartbeat(done(`wk-${m}-${round}`), 5, { machine: m, address: m });
  }
  for (let i = 0; i < 5; i++) second(harness, all);
  const retired = [...(harness.scheduler as unknown as { state: ClusterState }).state.machines.values()];
  expect(retired.filter((m) => m.isQuarantined)).toEqual([]);
});

test('a scheduler whose workers reach its siblings only resigns and deletes nothing', () => {
  const harness = new SchedulerHarness(5, { silent_s: 6, silent_share: 0.4, idle_s: 1e6 });
  harness.peers.count = 2;
  const all = names(20);
  for (let i = 0; i < 30; i++) second(harness, all);
  for (let i = 0; i < 20 && harness.resignationReasons.length === 0; i++) {
    second(harness, []);
    // What siblings tell of them, some seconds after the first report went unanswered.
    if (i >= 4) harness.scheduler.onMachinesRedirected(all.slice(0, 4 * (i - 3)));
  }
  expect(harness.resignationReasons).toEqual(['workers reach siblings only']);
  expect(harness.deletedMachines).toEqual([]);
});

test('half the fleet silent: deleted when siblings bear it out, held back when nobody does', () => {
  for (const siblings of [2, 0]) {
    const harness = new SchedulerHarness(5, { silent_s: 6, silent_share: 0.4, idle_s: 1e6 });
    harness.peers.count = siblings;
    harness.rentals.isAnswered = true;
    for (let i = 0; i < 30; i++) second(harness, names(20));
    // Fall silent one after the other, as their reports are due.
    for (let i = 0; i < 14; i++) second(harness, names(6).concat(names(Math.max(0, 14 - 4 * i), 6)));
    expect(harness.deletedMachines.length).toBe(siblings > 0 ? 14 : 0);
    expect(harness.resignationReasons).toEqual([]);
  }
});

test('a zone that is cut off is waited for while its replicas may live, and nothing is rented there', () => {
  const harness = new SchedulerHarness(5, { silent_s: 6, idle_s: 1e6 });
  harness.peers.count = 1;
  harness.rentals.isAnswered = true;
  const near = names(8);
  const far = names(4, 8);
  const at = (m: string) => ({ zone: far.includes(m) ? 'b' : 'a' });
  for (let i = 0; i < 30; i++) second(harness, [...near, ...far], at);
  for (const m of far.slice(1))
    harness.sendPlacement({
      ...harness.placementSpec('run'),
      priority: 0,
      isService: true,
      jobId: `wk-${m}`,
      machine: m,
    });
  for (const m of far.slice(1))
    harness.heartbeat([{ ...taskStatus('running'), jobId: `wk-${m}` }], 5, {
      machine: m,
      address: m,
      zone: 'b',
    });
  for (let i = 0; i < 35; i++) second(harness, near, at);
  // Only the one without replicas; the others until `cancel_s` (40 s here) has passed.
  expect(harness.deletedMachines).toEqual([far[0]]);
  for (let i = 0; i < 10; i++) second(harness, near, at);
  expect(harness.deletedMachines.sort()).toEqual([...far].sort());
});

test('a controller cut off with its zone keeps leases for the last leader, for a bounded time', () => {
  const simulation = new ClusterSimulation(21);
  simulation.simulator.run(25000);
  const leads = (nodeName: string) =>
    simulation.controllers.get(nodeName)!.controller.status().scheduler !== null;
  const host = simulation.nodeNames.find((nodeName) => !leads(nodeName))!;
  const worker = simulation.machines.add({ machineType: 'small', zone: 'a', isSpot: false });
  simulation.cloud.isDown = true;
  simulation.simulator.run(simulation.simulator.now + 8000);
  expect(worker.fencingToken).toBeGreaterThan(0);
  for (const inside of [host, worker.name])
    for (const outside of [
      ...simulation.nodeNames.filter((nodeName) => nodeName !== host),
      'state',
      'cloud',
      'users',
    ])
      simulation.network.cut(inside, outside, 'hold');
  const cut = simulation.simulator.now;
  simulation.simulator.run(cut + 28000);
  // Its lease (20 s) is over by now but for the controller inside.
  expect([worker.isAlive, worker.agentEpoch]).toEqual([true, 1]);
  // `cancel_s` (40 s) after the cut nothing may run any more that was cancelled outside meanwhile.
  simulation.simulator.run(cut + 39900);
  expect(worker.agentEpoch).toBeGreaterThan(1);
});

test('what was started directly and then stopped stays listed: a late repeat of the command must not run it again', () => {
  const run = (reason: 'stopped' | 'done') => {
    const harness = new SchedulerHarness(5, { idle_s: 1e6 });
    harness.heartbeat([]);
    harness.sendDesiredState('run');
    expect(harness.directCalls[0]?.commands[0]?.type).toBe('start');
    harness.heartbeat([taskStatus('running')]);
    harness.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
    const ended = [{ ...taskStatus('exited'), exitReason: reason }];
    harness.heartbeat(ended);
    harness.sendDesiredState('forget');
    const ops = [];
    for (let i = 0; i < 40; i++) {
      ops.push(...(harness.heartbeat(ended) ?? []).map((command) => command.type));
      harness.advance(1000);
      ops.push(...harness.directCalls.flatMap((call) => call.commands.map((x) => x.type)));
      for (const c of harness.directCalls.splice(0)) c.callback({ ok: false, kind: 'refused' });
    }
    return ops;
  };
  expect(run('stopped')).toEqual([]);
  expect(run('done')).toContain('forget');
});

test('a machine that lists nothing but what has ended is empty', () => {
  const harness = new SchedulerHarness(5, { idle_s: 10 });
  harness.heartbeat([]);
  harness.sendDesiredState('run');
  harness.heartbeat([taskStatus('running')]);
  harness.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
  const ended = [{ ...taskStatus('exited'), exitReason: 'stopped' as const }];
  harness.heartbeat(ended);
  harness.sendDesiredState('forget');
  for (let i = 0; i < 30; i++) {
    harness.heartbeat(ended);
    harness.advance(1000);
    harness.scheduler.flush();
  }
  expect(harness.deletedMachines).toEqual(['m']);
});

test('a machine that is back at once with a worker that knows nothing is deleted, not believed', () => {
  const harness = new SchedulerHarness(5, { idle_s: 1e6 });
  for (let i = 0; i < 10; i++) harness.heartbeat([]);
  harness.sendDesiredState('run');
  harness.heartbeat([taskStatus('running')]);
  harness.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
  for (let i = 1; i < 20; i++) {
    harness.heartbeat([], 0, { sequence: Math.min(i, 8) });
    harness.advance(1000);
    harness.scheduler.flush();
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
    for (const call of harness.directCalls.splice(0))
      call.callback({ ok: true, value: { machine: 'm', sequence: 3, ...r } });
  }
  expect(harness.deletedMachines).toEqual(['m']);
  expect(harness.hasFinalized()).toBe(false);
});

test('a pass looks at each machine once for wants of one kind, and a report at its own machine only', () => {
  const harness = new SchedulerHarness(5, { idle_s: 1e6 });
  const all = names(1900);
  for (const m of all) {
    harness.sendPlacement({ ...harness.placementSpec('run'), jobId: `wk-${m}`, machine: m });
    harness.heartbeat([{ ...taskStatus('running'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  }
  harness.advance(1000);
  harness.scheduler.flush();
  const inside = harness.scheduler as unknown as {
    placement: { context: { preemption: { offers: { offerOn: (...a: unknown[]) => unknown } } } };
    state: {
      fleetTotals: { changedMachines: Set<unknown> };
      capacities: { capacityOf: (...a: unknown[]) => unknown };
    };
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
  harness.sendRequests(Array.from({ length: 300 }, (_, i) => makeResourceRequest(`wk-s${i}`, replica)));
  harness.advance(1000);
  harness.scheduler.flush();
  expect(offers).toBeGreaterThan(0);
  expect(offers).toBeLessThanOrEqual(2 * all.length);
  // A second before the next pass: nothing but the machine that reported is looked at again.
  inside.state.fleetTotals.changedMachines.clear();
  let capacities = 0;
  const roomOf = inside.state.capacities.capacityOf.bind(inside.state.capacities);
  inside.state.capacities.capacityOf = (...a) => {
    capacities++;
    return roomOf(...a);
  };
  const m = all[7] as string;
  harness.heartbeat([{ ...taskStatus('exited'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  expect([inside.state.fleetTotals.changedMachines.size, capacities]).toEqual([1, 0]);
  expect(harness.directCalls.splice(0).length).toBe(0);
});

test('a look for work to stop that found none is not repeated by each pass', () => {
  const harness = new SchedulerHarness(5, { idle_s: 1e6 });
  const all = names(100);
  for (const m of all) {
    harness.sendPlacement({
      ...harness.placementSpec('run'),
      jobId: `wk-${m}`,
      machine: m,
      cpus: 3,
      memoryGb: 1,
    });
    harness.heartbeat([{ ...taskStatus('running'), jobId: `wk-${m}` }], 5, { machine: m, address: m });
  }
  harness.advance(1000);
  harness.scheduler.flush();
  const inside = harness.scheduler as unknown as {
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
    makeResourceRequest(`wk-b${i}`, {
      team: 'blue',
      cpus: 3 + i / 100,
      machineTypes: ['big'],
      spotAllowed: false,
    });
  const requests = Array.from({ length: 20 }, (_, i) => want(i));
  const pass = (ms: number) => {
    offers = 0;
    harness.sendRequests(requests);
    harness.advance(ms);
    harness.scheduler.flush();
    return offers;
  };
  const looks = Array.from({ length: 8 }, () => pass(600));
  expect(Math.max(...looks)).toBe(20 * all.length);
  // Every second pass at most, one second after the last look.
  expect(looks.some((n, i) => n > 0 && (looks[i + 1] ?? 0) > 0)).toBe(false);
});
