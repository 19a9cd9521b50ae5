/** How the leader judges its fleet: slow, unresponsive, unreachable, empty and restarted machines. */

import { expect, test } from 'vitest';
import type { ClusterState } from '../src/scheduler/cluster-state.js';
import { isLeader, runFor } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

/** Every machine of `names` reports, one second passes, and what was asked directly is not answered. */
function second(
  harness: SchedulerHarness,
  names: string[],
  over: (name: string) => object = () => ({}),
): void {
  for (const machine of names) harness.heartbeat([], 5, { machine, address: machine, ...over(machine) });
  harness.advance(1000);
  harness.scheduler.flush();
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
}
const names = (count: number, from = 0) => Array.from({ length: count }, (_, index) => `vm-${from + index}`);

test('a new leader does not quarantine machines because it saw others half way through their tasks', () => {
  const harness = new SchedulerHarness(5);
  const all = names(30);
  const done = (id: string) => [{ ...taskStatus('exited'), jobId: id }];
  // Each runs a task that began before this scheduler led: first seen running, ended a moment later.
  for (let round = 0; round < 5; round++) {
    for (const machine of all)
      harness.sendPlacement({
        ...harness.placementSpec('run'),
        jobId: `wk-${machine}-${round}`,
        machine: machine,
      });
    for (const machine of all)
      harness.heartbeat([{ ...taskStatus('running'), jobId: `wk-${machine}-${round}` }], 5, {
        machine: machine,
        address: machine,
      });
    harness.advance(100);
    for (const machine of all.slice(0, 20))
      harness.heartbeat(done(`wk-${machine}-${round}`), 5, { machine: machine, address: machine });
    harness.advance(3000);
    for (const machine of all.slice(20))
      harness.heartbeat(done(`wk-${machine}-${round}`), 5, { machine: machine, address: machine });
  }
  for (let i = 0; i < 5; i++) second(harness, all);
  const machines = [...(harness.scheduler as unknown as { state: ClusterState }).state.machines.values()];
  expect(machines.filter(({ isQuarantined }) => isQuarantined)).toEqual([]);
});

test('a leader whose workers reach only its peers resigns and deletes nothing', () => {
  const harness = new SchedulerHarness(5, {
    unresponsiveSeconds: 6,
    maxUnresponsiveShare: 0.4,
    maxIdleSeconds: 1e6,
  });
  harness.peers.count = 2;
  const all = names(20);
  for (let i = 0; i < 30; i++) second(harness, all);
  for (let i = 0; i < 20 && harness.resignationReasons.length === 0; i++) {
    second(harness, []);
    // What peers report of them, some seconds after the first report went unanswered.
    if (i >= 4) harness.scheduler.onMachinesRedirected(all.slice(0, 4 * (i - 3)));
  }
  expect(harness.resignationReasons).toEqual(['workers reach peers only']);
  expect(harness.deletedMachines).toEqual([]);
});

test('an unresponsive half of the fleet is deleted when peers confirm it, and kept when nobody does', () => {
  for (const peerCount of [2, 0]) {
    const harness = new SchedulerHarness(5, {
      unresponsiveSeconds: 6,
      maxUnresponsiveShare: 0.4,
      maxIdleSeconds: 1e6,
    });
    harness.peers.count = peerCount;
    harness.rentals.isAnswered = true;
    for (let i = 0; i < 30; i++) second(harness, names(20));
    // Fall silent one after the other, as their reports are due.
    for (let i = 0; i < 14; i++) second(harness, names(6).concat(names(Math.max(0, 14 - 4 * i), 6)));
    expect(harness.deletedMachines.length).toBe(peerCount > 0 ? 14 : 0);
    expect(harness.resignationReasons).toEqual([]);
  }
});

test('a machine that is unreachable outbound gets no new work, keeps its tasks for a lease and is then deleted', () => {
  const harness = new SchedulerHarness(5, { unresponsiveSeconds: 6, maxIdleSeconds: 1e6 });
  harness.heartbeat([]);
  harness.sendDesiredState('run');
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  harness.heartbeat([taskStatus('running')]);
  // Answers direct commands and sends heartbeats to nobody.
  let count = 100;
  const answer = () => {
    for (const call of harness.directCalls.splice(0))
      call.callback({
        ok: true,
        value: {
          machine: 'm',
          address: 'm',
          machineType: 'small',
          zone: 'a',
          isSpot: false,
          workerEpoch: 1,
          sequence: ++count,
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

test('a zone that is cut off is waited for while its replicas may live, and nothing is rented there', () => {
  const harness = new SchedulerHarness(5, { unresponsiveSeconds: 6, maxIdleSeconds: 1e6 });
  harness.peers.count = 1;
  harness.rentals.isAnswered = true;
  const reachable = names(8);
  const cutOff = names(4, 8);
  const at = (machine: string) => ({ zone: cutOff.includes(machine) ? 'b' : 'a' });
  for (let i = 0; i < 30; i++) second(harness, [...reachable, ...cutOff], at);
  for (const machine of cutOff.slice(1))
    harness.sendPlacement({
      ...harness.placementSpec('run'),
      priority: 0,
      isService: true,
      jobId: `wk-${machine}`,
      machine,
    });
  for (const machine of cutOff.slice(1))
    harness.heartbeat([{ ...taskStatus('running'), jobId: `wk-${machine}` }], 5, {
      machine,
      address: machine,
      zone: 'b',
    });
  for (let i = 0; i < 35; i++) second(harness, reachable, at);
  // Only the one without replicas; the others until `cancel_s` (40 s here) has passed.
  expect(harness.deletedMachines).toEqual([cutOff[0]]);
  for (let i = 0; i < 10; i++) second(harness, reachable, at);
  expect(harness.deletedMachines.sort()).toEqual([...cutOff].sort());
});

test('a controller cut off with its zone keeps leases for the last leader, for a bounded time', () => {
  const simulation = new ClusterSimulation(21);
  simulation.simulator.run(25000);
  const leads = (node: string) => isLeader(simulation, node);
  const nodeName = simulation.nodeNames.find((node) => !leads(node))!;
  const worker = simulation.machines.add({ machineType: 'small', zone: 'a', isSpot: false });
  simulation.cloud.isDown = true;
  runFor(simulation, 8000);
  expect(worker.fencingToken).toBeGreaterThan(0);
  for (const inside of [nodeName, worker.name])
    for (const outside of [
      ...simulation.nodeNames.filter((node) => node !== nodeName),
      'state',
      'cloud',
      'users',
    ])
      simulation.network.cut(inside, outside, 'hold');
  const cut = simulation.simulator.now;
  simulation.simulator.run(cut + 28000);
  // Its lease (20 s) is over by now but for the controller inside.
  expect([worker.isAlive, worker.workerEpoch]).toEqual([true, 1]);
  // `cancel_s` (40 s) after the cut nothing may run any more that was cancelled outside meanwhile.
  simulation.simulator.run(cut + 39900);
  expect(worker.workerEpoch).toBeGreaterThan(1);
});

test('what was started directly and then stopped stays listed: a late repeat of the command must not run it again', () => {
  const run = (reason: 'stopped' | 'done') => {
    const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
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
      for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
    }
    return ops;
  };
  expect(run('stopped')).toEqual([]);
  expect(run('done')).toContain('forget');
});

test('a machine that lists nothing but what has ended is empty', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 10 });
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
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  for (let i = 0; i < 10; i++) harness.heartbeat([]);
  harness.sendDesiredState('run');
  harness.heartbeat([taskStatus('running')]);
  harness.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
  for (let i = 1; i < 20; i++) {
    harness.heartbeat([], 0, { sequence: Math.min(i, 8) });
    harness.advance(1000);
    harness.scheduler.flush();
    const heartbeat = {
      address: 'm',
      machineType: 'small',
      zone: 'a',
      isSpot: false,
      workerEpoch: 1,
      fencingToken: 5,
      evictionNoticeSeconds: null,
      tasks: [],
    };
    for (const call of harness.directCalls.splice(0))
      call.callback({ ok: true, value: { machine: 'm', sequence: 3, ...heartbeat } });
  }
  expect(harness.deletedMachines).toEqual(['m']);
  expect(harness.hasFinalized()).toBe(false);
});

test('a placement pass looks at each machine once for equal requests, and a heartbeat at its own machine only', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  const all = names(1900);
  for (const machine of all) {
    harness.sendPlacement({ ...harness.placementSpec('run'), jobId: `wk-${machine}`, machine: machine });
    harness.heartbeat([{ ...taskStatus('running'), jobId: `wk-${machine}` }], 5, {
      machine: machine,
      address: machine,
    });
  }
  harness.advance(1000);
  harness.scheduler.flush();
  const inside = harness.scheduler as unknown as {
    placement: { context: { preemption: { candidates: { candidateOn: (...args: unknown[]) => unknown } } } };
    state: {
      fleetTotals: { changedMachines: Set<unknown> };
      capacities: { capacityOf: (...args: unknown[]) => unknown };
    };
  };
  let calls = 0;
  const candidateFinder = inside.placement.context.preemption.candidates;
  const candidateOn = candidateFinder.candidateOn.bind(candidateFinder);
  candidateFinder.candidateOn = (...args) => {
    calls++;
    return candidateOn(...args);
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
  expect(calls).toBeGreaterThan(0);
  expect(calls).toBeLessThanOrEqual(2 * all.length);
  // A second before the next pass: nothing but the machine that reported is looked at again.
  inside.state.fleetTotals.changedMachines.clear();
  let capacities = 0;
  const machineCapacities = inside.state.capacities;
  const capacityOf = machineCapacities.capacityOf.bind(machineCapacities);
  machineCapacities.capacityOf = (...args) => {
    capacities++;
    return capacityOf(...args);
  };
  const machine = all[7] as string;
  harness.heartbeat([{ ...taskStatus('exited'), jobId: `wk-${machine}` }], 5, {
    machine: machine,
    address: machine,
  });
  expect([inside.state.fleetTotals.changedMachines.size, capacities]).toEqual([1, 0]);
  expect(harness.directCalls.splice(0).length).toBe(0);
});

test('a search for preemptible tasks that found none is not repeated by each placement pass', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  const all = names(100);
  for (const machine of all) {
    harness.sendPlacement({
      ...harness.placementSpec('run'),
      jobId: `wk-${machine}`,
      machine: machine,
      cpus: 3,
      memoryGb: 1,
    });
    harness.heartbeat([{ ...taskStatus('running'), jobId: `wk-${machine}` }], 5, {
      machine: machine,
      address: machine,
    });
  }
  harness.advance(1000);
  harness.scheduler.flush();
  const inside = harness.scheduler as unknown as {
    placement: { context: { preemption: { candidates: { candidateOn: (...args: unknown[]) => unknown } } } };
  };
  let calls = 0;
  const candidateFinder = inside.placement.context.preemption.candidates;
  const candidateOn = candidateFinder.candidateOn.bind(candidateFinder);
  candidateFinder.candidateOn = (...args) => {
    calls++;
    return candidateOn(...args);
  };
  // Within blue's guarantee, each of a size of its own, and on no machine that is there.
  const request = (i: number) =>
    makeResourceRequest(`wk-b${i}`, {
      team: 'blue',
      cpus: 3 + i / 100,
      machineTypes: ['big'],
      spotAllowed: false,
    });
  const requests = Array.from({ length: 20 }, (_, i) => request(i));
  const pass = (ms: number) => {
    calls = 0;
    harness.sendRequests(requests);
    harness.advance(ms);
    harness.scheduler.flush();
    return calls;
  };
  const looks = Array.from({ length: 8 }, () => pass(600));
  expect(Math.max(...looks)).toBe(20 * all.length);
  // Every second pass at most, one second after the last look.
  expect(looks.some((count, i) => count > 0 && (looks[i + 1] ?? 0) > 0)).toBe(false);
});
