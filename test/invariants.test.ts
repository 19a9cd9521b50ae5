/** The checkers of the simulation see violations, and the leader keeps to the invariants that they check. */

import { expect, test } from 'vitest';
import type { ResourceRequest } from '../src/model/placement.js';
import type { Heartbeat } from '../src/model/worker-messages.js';
import { runFor } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

test('the invariant checker reports each kind of violation', () => {
  const simulation = new ClusterSimulation(3);
  simulation.simulator.run(2000);
  // No controller knows of these: the fakes are made to do directly what the invariants forbid.
  for (const nodeName of simulation.nodeNames) simulation.controllers.crash(nodeName, 1e9);
  const put = (spec: ReturnType<typeof makeJobSpec>) =>
    simulation.jobs.set(spec.id, {
      spec,
      accepted: true,
      cancelRequested: true,
      cancelledAt: null,
      reportedState: null,
      lastAnsweredAt: 0,
      finalStateAt: 0,
    });
  const spotWorker = simulation.machines.add({ machineType: 'small', zone: 'a', isSpot: true });
  const bigWorker = simulation.machines.add({ machineType: 'big', zone: 'a', isSpot: false });
  const run = (worker: typeof spotWorker, id: string, taskIndex: number) =>
    worker.handleCommands(
      {
        fencingToken: 99,
        workerEpoch: 1,
        commands: [{ type: 'start', jobId: id, taskIndex, attempt: taskIndex + 1 }],
      },
      () => {},
    );
  const twice = makeJobSpec(simulation, { kind: 'service' });
  put(twice);
  run(spotWorker, twice.id, 0);
  run(bigWorker, twice.id, 0);
  const placed = makeJobSpec(simulation, {
    kind: 'service',
    spotAllowed: false,
    machineTypes: ['big'],
    zone: 'b',
  });
  put(placed);
  run(spotWorker, placed.id, 0);
  const large = makeJobSpec(simulation, { team: 'blue', cpus: 2, taskCount: 20, memoryGb: 0.5 });
  put({ ...large, kind: 'service', cpus: 25, memoryGb: 0.1 });
  bigWorker.resources.cpus = 1000;
  run(bigWorker, large.id, 0);
  const gone = makeJobSpec(simulation, { kind: 'service' });
  put(gone);
  simulation.jobs.get(gone.id)!.cancelledAt = -100000;
  run(bigWorker, gone.id, 0);
  simulation.faultsEndAt = 0;
  runFor(simulation, 4000);
  expect(simulation.violations.some((t) => t.includes('forgotten'))).toBe(false);
  runFor(simulation, 76000);
  expect(simulation.serviceLevel.startsAfterCancellation).toBe(1);
  const kinds = new Set(simulation.violations.map((t) => t.split(' ')[1]));
  bigWorker.resources.cpus = 16;
  expect([...kinds].sort()).toEqual(['forgotten:', 'quota:', 'ran_cancelled:', 'ran_twice:', 'wrong_place:']);
});

test('the starvation checker reports a job left waiting beside free capacity, and none beyond the quota of its team', () => {
  const simulation = new ClusterSimulation(4);
  simulation.simulator.run(2000);
  for (const nodeName of simulation.nodeNames) simulation.controllers.crash(nodeName, 1e9);
  const put = (spec: ReturnType<typeof makeJobSpec>) =>
    simulation.jobs.set(spec.id, {
      spec,
      accepted: true,
      cancelRequested: false,
      cancelledAt: null,
      reportedState: null,
      lastAnsweredAt: 1e12,
      finalStateAt: 0,
    });
  simulation.machines.add({ machineType: 'small', zone: 'a', isSpot: true });
  put(makeJobSpec(simulation, { team: 'red' }));
  put(makeJobSpec(simulation, { team: 'blue', kind: 'gang', taskCount: 30 }));
  put(makeJobSpec(simulation, { team: 'free', zone: 'b' }));
  simulation.faultsEndAt = simulation.simulator.now;
  runFor(simulation, 89000);
  expect(simulation.violations).toEqual([]);
  runFor(simulation, 3000);
  expect(simulation.violations.map((t) => t.split(' ').slice(1, 4).join(' '))).toEqual([
    'left waiting: wk-000001',
  ]);
});

test('an unanswered direct start is neither finalized by absence nor reaped; a higher fencing token is requested', () => {
  const harness = new SchedulerHarness(5);
  harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  expect(harness.directCalls[0]?.commands[0]?.type).toBe('start');
  harness.directCalls[0]!.callback({ ok: false, kind: 'indeterminate' });
  harness.sendDesiredState('stop');
  harness.sendHeartbeat([]);
  harness.sendHeartbeat([]);
  expect(harness.hasFinalized()).toBe(false);
  harness.advance(11000);
  expect(harness.tokenRaiseReasons.length).toBe(1);
  harness.sendHeartbeat([taskStatus('exited')]);
  harness.sendDesiredState('forget');
  expect(harness.sendHeartbeat([taskStatus('exited')])).toEqual([]);
});

test('absence finalizes only once the worker has seen this token and has handled the answer with the start', () => {
  const harness = new SchedulerHarness(5);
  harness.sendHeartbeat([], 4);
  harness.sendDesiredState('stop');
  expect(harness.hasFinalized()).toBe(false);
  harness.sendHeartbeat([], 4);
  expect(harness.hasFinalized()).toBe(false);
  harness.sendHeartbeat([], 5);
  expect(harness.hasFinalized()).toBe(true);
});

test('a start sent in a heartbeat answer is awaited until a later heartbeat', () => {
  const harness = new SchedulerHarness(5);
  harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  harness.directCalls[0]!.callback({ ok: false, kind: 'refused' });
  for (const call of harness.directCalls.slice(1)) call.callback({ ok: false, kind: 'refused' });
  const commands = harness.sendHeartbeat([]);
  expect(commands?.map((command) => command.type)).toEqual(['start']);
  harness.sendDesiredState('stop');
  expect(harness.hasFinalized()).toBe(false);
  harness.sendHeartbeat([]);
  expect(harness.hasFinalized()).toBe(true);
});

test('a new leader gives up machines that do not boot, but not those that ran before it led and are not heard yet', () => {
  const harness = new SchedulerHarness(5);
  const old = { address: '', machineType: 'small', zone: 'a', isSpot: false, ageSeconds: 500 };
  harness.listedMachines.push(
    { name: 'vm-1', phase: 'booting', ...old },
    { name: 'vm-2', phase: 'running', ...old },
  );
  for (let i = 0; i < 15; i++) {
    harness.advance(1000);
    harness.scheduler.flush();
  }
  expect(harness.deletedMachines).toEqual(['vm-1']);
});

test('a single replica does not take the zone reserved for replicas that must be spread', () => {
  const harness = new SchedulerHarness(5);
  const request = (id: string, spread: boolean): ResourceRequest =>
    makeResourceRequest(id, {
      team: 'free',
      priority: 0,
      isService: true,
      estimatedRunSeconds: 0,
      spotAllowed: false,
      zoneAllowance: spread ? {} : null,
    });
  const heartbeat: Heartbeat = {
    machine: 'b1',
    address: 'b1',
    machineType: 'small',
    zone: 'b',
    isSpot: false,
    workerEpoch: 1,
    sequence: 1,
    fencingToken: 5,
    evictionNoticeSeconds: null,
    tasks: [],
  };
  harness.scheduler.handleHeartbeat(heartbeat);
  harness.scheduler.onShardMessage({
    type: 'resourceRequests',
    fencingToken: 5,
    instanceId: 'o',
    requests: [request('wk-2', true), request('wk-1', false)],
  });
  expect(harness.grantedJobs()).toEqual(['wk-2']);
});
