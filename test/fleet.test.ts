/** How the leader handles slow, unresponsive, unreachable, idle and restarted machines. */

import { expect, test } from 'vitest';
import type { ClusterState } from '../src/scheduler/cluster-state.js';
import { isLeader, runFor } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

/** Each machine in `names` sends a heartbeat, one second passes, and all direct calls are refused. */
function runOneSecond(
  harness: SchedulerHarness,
  names: string[],
  overrides: (name: string) => object = () => ({}),
): void {
  for (const machine of names)
    harness.sendHeartbeat([], 5, { machine, address: machine, ...overrides(machine) });
  harness.advance(1000);
  harness.scheduler.flush();
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
}
const machineNames = (count: number, from = 0) =>
  Array.from({ length: count }, (_, index) => `vm-${from + index}`);

test('a new leader does not quarantine machines because it first saw the tasks of others halfway through', () => {
  const harness = new SchedulerHarness(5);
  const allMachines = machineNames(30);
  const exitedTask = (id: string) => [{ ...taskStatus('exited'), jobId: id }];
  // Each machine runs a task that started before this leader's term: it is first seen running and ends soon
  // after, on 20 machines 3 s earlier than on the other 10.
  for (let round = 0; round < 5; round++) {
    for (const machine of allMachines)
      harness.sendPlacement({
        ...harness.placementSpec('run'),
        jobId: `wk-${machine}-${round}`,
        machine,
      });
    for (const machine of allMachines)
      harness.sendHeartbeat([{ ...taskStatus('running'), jobId: `wk-${machine}-${round}` }], 5, {
        machine,
        address: machine,
      });
    harness.advance(100);
    for (const machine of allMachines.slice(0, 20))
      harness.sendHeartbeat(exitedTask(`wk-${machine}-${round}`), 5, { machine, address: machine });
    harness.advance(3000);
    for (const machine of allMachines.slice(20))
      harness.sendHeartbeat(exitedTask(`wk-${machine}-${round}`), 5, { machine, address: machine });
  }
  for (let i = 0; i < 5; i++) runOneSecond(harness, allMachines);
  const machines = [...(harness.scheduler as unknown as { state: ClusterState }).state.machines.values()];
  expect(machines.filter(({ isQuarantined }) => isQuarantined)).toEqual([]);
});

test('a leader whose workers reach only its peers resigns and deletes no machines', () => {
  const harness = new SchedulerHarness(5, {
    unresponsiveSeconds: 6,
    maxUnresponsiveShare: 0.4,
    maxIdleSeconds: 1e6,
  });
  harness.recentlyHeardPeers.count = 2;
  const allMachines = machineNames(20);
  for (let i = 0; i < 30; i++) runOneSecond(harness, allMachines);
  for (let i = 0; i < 20 && harness.resignationReasons.length === 0; i++) {
    runOneSecond(harness, []);
    // From some seconds after the last heartbeat, peers report that they redirected these machines.
    if (i >= 4) harness.scheduler.onMachinesRedirected(allMachines.slice(0, 4 * (i - 3)));
  }
  expect(harness.resignationReasons).toEqual(['workers reach peers only']);
  expect(harness.deletedMachines).toEqual([]);
});

test('a large unresponsive part of the fleet is deleted when there are peers to confirm it, and kept when there are none', () => {
  for (const peerCount of [2, 0]) {
    const harness = new SchedulerHarness(5, {
      unresponsiveSeconds: 6,
      maxUnresponsiveShare: 0.4,
      maxIdleSeconds: 1e6,
    });
    harness.recentlyHeardPeers.count = peerCount;
    harness.rentals.isAnswered = true;
    for (let i = 0; i < 30; i++) runOneSecond(harness, machineNames(20));
    // The machines become unresponsive one after the other, as their heartbeats come due.
    for (let i = 0; i < 14; i++)
      runOneSecond(harness, machineNames(6).concat(machineNames(Math.max(0, 14 - 4 * i), 6)));
    expect(harness.deletedMachines.length).toBe(peerCount > 0 ? 14 : 0);
    expect(harness.resignationReasons).toEqual([]);
  }
});

test('a machine that is unreachable outbound gets no new work, keeps its tasks for a lease and is then deleted', () => {
  const harness = new SchedulerHarness(5, { unresponsiveSeconds: 6, maxIdleSeconds: 1e6 });
  harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  harness.sendHeartbeat([taskStatus('running')]);
  // The machine answers direct calls, but its heartbeats reach no controller.
  let sequence = 100;
  const answerCalls = () => {
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
          sequence: ++sequence,
          fencingToken: 5,
          evictionNoticeSeconds: null,
          tasks: [taskStatus('running')],
        },
      });
  };
  for (let i = 0; i < 20; i++) {
    harness.advance(1000);
    answerCalls();
  }
  harness.sendRequests([makeResourceRequest('wk-2')]);
  expect(harness.grantedJobs()).toEqual([]);
  expect(harness.deletedMachines).toEqual([]);
  for (let i = 0; i < 10; i++) {
    harness.advance(1000);
    answerCalls();
  }
  expect(harness.deletedMachines).toEqual(['m']);
  expect(harness.resignationReasons).toEqual([]);
});

test('machines of a partitioned zone are deleted only once their replicas can no longer run', () => {
  const harness = new SchedulerHarness(5, { unresponsiveSeconds: 6, maxIdleSeconds: 1e6 });
  harness.recentlyHeardPeers.count = 1;
  harness.rentals.isAnswered = true;
  const reachable = machineNames(8);
  const cutOff = machineNames(4, 8);
  const zoneOverride = (machine: string) => ({ zone: cutOff.includes(machine) ? 'b' : 'a' });
  for (let i = 0; i < 30; i++) runOneSecond(harness, [...reachable, ...cutOff], zoneOverride);
  for (const machine of cutOff.slice(1))
    harness.sendPlacement({
      ...harness.placementSpec('run'),
      priority: 0,
      isService: true,
      jobId: `wk-${machine}`,
      machine,
    });
  for (const machine of cutOff.slice(1))
    harness.sendHeartbeat([{ ...taskStatus('running'), jobId: `wk-${machine}` }], 5, {
      machine,
      address: machine,
      zone: 'b',
    });
  for (let i = 0; i < 35; i++) runOneSecond(harness, reachable, zoneOverride);
  // Only the machine without replicas is deleted; the others are kept for `cancel_s` (40 s here).
  expect(harness.deletedMachines).toEqual([cutOff[0]]);
  for (let i = 0; i < 10; i++) runOneSecond(harness, reachable, zoneOverride);
  expect(harness.deletedMachines.sort()).toEqual([...cutOff].sort());
});

test('a controller partitioned with its zone renews leases on behalf of the last leader for a bounded time', () => {
  const simulation = new ClusterSimulation(21);
  simulation.simulator.run(25000);
  const isLeading = (node: string) => isLeader(simulation, node);
  const nodeName = simulation.nodeNames.find((node) => !isLeading(node))!;
  const worker = simulation.machines.add({ machineType: 'small', zone: 'a', isSpot: false });
  simulation.cloud.isDown = true;
  runFor(simulation, 8000);
  expect(worker.fencingToken).toBeGreaterThan(0);
  for (const insideNode of [nodeName, worker.name])
    for (const outsideNode of [
      ...simulation.nodeNames.filter((node) => node !== nodeName),
      'state',
      'cloud',
      'users',
    ])
      simulation.network.cut(insideNode, outsideNode, 'hold');
  const cutAt = simulation.simulator.now;
  simulation.simulator.run(cutAt + 28000);
  // Without the controller in its zone, the worker's lease (20 s) would have expired by now.
  expect([worker.isAlive, worker.workerEpoch]).toEqual([true, 1]);
  // By `cancel_s` (40 s) after the cut, no task that was cancelled outside meanwhile may still run.
  simulation.simulator.run(cutAt + 39900);
  expect(worker.workerEpoch).toBeGreaterThan(1);
});

test('a task started by a direct command and then stopped stays listed, so that a late duplicate cannot restart it', () => {
  const commandTypesAfter = (reason: 'stopped' | 'done') => {
    const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
    harness.sendHeartbeat([]);
    harness.sendDesiredState('run');
    expect(harness.directCalls[0]?.commands[0]?.type).toBe('start');
    harness.sendHeartbeat([taskStatus('running')]);
    harness.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
    const ended = [{ ...taskStatus('exited'), exitReason: reason }];
    harness.sendHeartbeat(ended);
    harness.sendDesiredState('forget');
    const commandTypes = [];
    for (let i = 0; i < 40; i++) {
      commandTypes.push(...(harness.sendHeartbeat(ended) ?? []).map((command) => command.type));
      harness.advance(1000);
      commandTypes.push(
        ...harness.directCalls.flatMap((call) => call.commands.map((command) => command.type)),
      );
      for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
    }
    return commandTypes;
  };
  expect(commandTypesAfter('stopped')).toEqual([]);
  expect(commandTypesAfter('done')).toContain('forget');
});

test('a machine that lists only ended tasks counts as idle and is deleted', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 10 });
  harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  harness.sendHeartbeat([taskStatus('running')]);
  harness.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
  const ended = [{ ...taskStatus('exited'), exitReason: 'stopped' as const }];
  harness.sendHeartbeat(ended);
  harness.sendDesiredState('forget');
  for (let i = 0; i < 30; i++) {
    harness.sendHeartbeat(ended);
    harness.advance(1000);
    harness.scheduler.flush();
  }
  expect(harness.deletedMachines).toEqual(['m']);
});

test('a machine whose worker restarts without its tasks is deleted, and their absence finalizes nothing', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  for (let i = 0; i < 10; i++) harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  harness.sendHeartbeat([taskStatus('running')]);
  harness.directCalls.splice(0)[0]!.callback({ ok: false, kind: 'refused' });
  for (let i = 1; i < 20; i++) {
    harness.sendHeartbeat([], 0, { sequence: Math.min(i, 8) });
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

test('a placement pass checks each machine once for equal requests, and a heartbeat updates only its own machine', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  const allMachines = machineNames(1900);
  for (const machine of allMachines) {
    harness.sendPlacement({ ...harness.placementSpec('run'), jobId: `wk-${machine}`, machine });
    harness.sendHeartbeat([{ ...taskStatus('running'), jobId: `wk-${machine}` }], 5, {
      machine,
      address: machine,
    });
  }
  harness.advance(1000);
  harness.scheduler.flush();
  const internals = harness.scheduler as unknown as {
    placement: { context: { preemption: { candidates: { candidateOn: (...args: unknown[]) => unknown } } } };
    state: {
      fleetTotals: { changedMachines: Set<unknown> };
      capacities: { capacityOf: (...args: unknown[]) => unknown };
    };
  };
  let candidateChecks = 0;
  const candidateFinder = internals.placement.context.preemption.candidates;
  const candidateOn = candidateFinder.candidateOn.bind(candidateFinder);
  candidateFinder.candidateOn = (...args) => {
    candidateChecks++;
    return candidateOn(...args);
  };
  // 300 equal requests that none of the machines here can serve. Checking all 1,900 machines for each request
  // would make a pass 300 times as expensive.
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
  expect(candidateChecks).toBeGreaterThan(0);
  expect(candidateChecks).toBeLessThanOrEqual(2 * allMachines.length);
  // The next pass is due in a second: until then a heartbeat only invalidates the totals of its own machine.
  internals.state.fleetTotals.changedMachines.clear();
  let capacityChecks = 0;
  const machineCapacities = internals.state.capacities;
  const capacityOf = machineCapacities.capacityOf.bind(machineCapacities);
  machineCapacities.capacityOf = (...args) => {
    capacityChecks++;
    return capacityOf(...args);
  };
  const endedMachine = allMachines[7] as string;
  harness.sendHeartbeat([{ ...taskStatus('exited'), jobId: `wk-${endedMachine}` }], 5, {
    machine: endedMachine,
    address: endedMachine,
  });
  expect([internals.state.fleetTotals.changedMachines.size, capacityChecks]).toEqual([1, 0]);
  expect(harness.directCalls.splice(0).length).toBe(0);
});

test('a search for preemptible tasks that found none is not repeated by each placement pass', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  const allMachines = machineNames(100);
  for (const machine of allMachines) {
    harness.sendPlacement({
      ...harness.placementSpec('run'),
      jobId: `wk-${machine}`,
      machine,
      cpus: 3,
      memoryGb: 1,
    });
    harness.sendHeartbeat([{ ...taskStatus('running'), jobId: `wk-${machine}` }], 5, {
      machine,
      address: machine,
    });
  }
  harness.advance(1000);
  harness.scheduler.flush();
  const internals = harness.scheduler as unknown as {
    placement: { context: { preemption: { candidates: { candidateOn: (...args: unknown[]) => unknown } } } };
  };
  let candidateChecks = 0;
  const candidateFinder = internals.placement.context.preemption.candidates;
  const candidateOn = candidateFinder.candidateOn.bind(candidateFinder);
  candidateFinder.candidateOn = (...args) => {
    candidateChecks++;
    return candidateOn(...args);
  };
  // Requests within blue's guarantee, each of a different size, for a machine type that is not present.
  const request = (index: number) =>
    makeResourceRequest(`wk-b${index}`, {
      team: 'blue',
      cpus: 3 + index / 100,
      machineTypes: ['big'],
      spotAllowed: false,
    });
  const requests = Array.from({ length: 20 }, (_, i) => request(i));
  const pass = (ms: number) => {
    candidateChecks = 0;
    harness.sendRequests(requests);
    harness.advance(ms);
    harness.scheduler.flush();
    return candidateChecks;
  };
  const checksPerPass = Array.from({ length: 8 }, () => pass(600));
  expect(Math.max(...checksPerPass)).toBe(20 * allMachines.length);
  // A search is repeated after one second at the earliest, hence in every second pass at most.
  expect(checksPerPass.some((count, i) => count > 0 && (checksPerPass[i + 1] ?? 0) > 0)).toBe(false);
});
