import { expect, test } from 'vitest';
import type { ResourceRequest } from '../src/model/placement.js';
import type { Heartbeat } from '../src/model/worker-messages.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/scenario.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

test('the checker sees each kind of broken rule', () => {
  const w = new ClusterSimulation(3);
  w.simulator.run(2000);
  // No controller hears of these: the stand-ins are told directly what no rule allows.
  for (const h of w.nodeNames) w.crashController(h, 1e9);
  const put = (spec: ReturnType<typeof makeJobSpec>) =>
    w.jobs.set(spec.id, {
      spec,
      accepted: true,
      cancelRequested: true,
      cancelledAt: null,
      reportedState: null,
      answeredAt: 0,
      finalStateAt: 0,
    });
  const a = w.addMachine('small', 'a', true);
  const b = w.addMachine('big', 'a', false);
  const run = (m: typeof a, id: string, taskIndex: number) =>
    m.handleCommands(99, 1, [{ type: 'start', jobId: id, taskIndex, attempt: taskIndex + 1 }], () => {});
  const twice = makeJobSpec(w, { kind: 'service' });
  put(twice);
  run(a, twice.id, 0);
  run(b, twice.id, 0);
  const placed = makeJobSpec(w, { kind: 'service', spotAllowed: false, machineTypes: ['big'], zone: 'b' });
  put(placed);
  run(a, placed.id, 0);
  const large = makeJobSpec(w, { team: 'blue', cpus: 2, taskCount: 20, memoryGb: 0.5 });
  put({ ...large, kind: 'service', cpus: 25, memoryGb: 0.1 });
  b.size.cpus = 1000;
  run(b, large.id, 0);
  const gone = makeJobSpec(w, { kind: 'service' });
  put(gone);
  w.jobs.get(gone.id)!.cancelledAt = -100000;
  run(b, gone.id, 0);
  w.faultsEndAt = 0;
  w.simulator.run(w.simulator.now + 4000);
  expect(w.violations.some((t) => t.includes('forgotten'))).toBe(false);
  w.simulator.run(w.simulator.now + 76000);
  expect(w.serviceLevel.startsAfterCancellation).toBe(1);
  const kinds = new Set(w.violations.map((t) => t.split(' ')[1]));
  b.size.cpus = 16;
  expect([...kinds].sort()).toEqual(['forgotten:', 'quota:', 'ran_cancelled:', 'ran_twice:', 'wrong_place:']);
});

test('the checker sees a job that is left waiting while a machine has room, and none where its team has no more', () => {
  const w = new ClusterSimulation(4);
  w.simulator.run(2000);
  for (const h of w.nodeNames) w.crashController(h, 1e9);
  const put = (spec: ReturnType<typeof makeJobSpec>) =>
    w.jobs.set(spec.id, {
      spec,
      accepted: true,
      cancelRequested: false,
      cancelledAt: null,
      reportedState: null,
      answeredAt: 1e12,
      finalStateAt: 0,
    });
  w.addMachine('small', 'a', true);
  put(makeJobSpec(w, { team: 'red' }));
  put(makeJobSpec(w, { team: 'blue', kind: 'gang', taskCount: 30 }));
  put(makeJobSpec(w, { team: 'free', zone: 'b' }));
  w.faultsEndAt = w.simulator.now;
  w.simulator.run(w.simulator.now + 89000);
  expect(w.violations).toEqual([]);
  w.simulator.run(w.simulator.now + 3000);
  expect(w.violations.map((t) => t.split(' ').slice(1, 4).join(' '))).toEqual(['left waiting: wk-000001']);
});

test('a start sent directly without an answer is neither settled by absence nor reaped; a higher token is asked for', () => {
  const t = new SchedulerHarness(5);
  t.heartbeat([]);
  t.sendDesiredState('run');
  expect(t.directCalls[0]?.commands[0]?.type).toBe('start');
  t.directCalls[0]!.callback({ ok: false, kind: 'unknown' });
  t.sendDesiredState('stop');
  t.heartbeat([]);
  t.heartbeat([]);
  expect(t.hasFinalized()).toBe(false);
  t.advance(11000);
  expect(t.tokenRaiseReasons.length).toBe(1);
  t.heartbeat([taskStatus('exited')]);
  t.sendDesiredState('reap');
  expect(t.heartbeat([taskStatus('exited')])).toEqual([]);
});

test('absence settles only once the worker has seen this token and has handled the answer with the start', () => {
  const t = new SchedulerHarness(5);
  t.heartbeat([], 4);
  t.sendDesiredState('stop');
  expect(t.hasFinalized()).toBe(false);
  t.heartbeat([], 4);
  expect(t.hasFinalized()).toBe(false);
  t.heartbeat([], 5);
  expect(t.hasFinalized()).toBe(true);
});

test('a start carried by an answer is waited for until a later report', () => {
  const t = new SchedulerHarness(5);
  t.heartbeat([]);
  t.sendDesiredState('run');
  t.directCalls[0]!.callback({ ok: false, kind: 'refused' });
  for (const c of t.directCalls.slice(1)) c.callback({ ok: false, kind: 'refused' });
  const commands = t.heartbeat([]);
  expect(commands?.map((command) => command.type)).toEqual(['start']);
  t.sendDesiredState('stop');
  expect(t.hasFinalized()).toBe(false);
  t.heartbeat([]);
  expect(t.hasFinalized()).toBe(true);
});

test('a new scheduler gives up what does not boot, but not what ran before it led and is not heard yet', () => {
  const t = new SchedulerHarness(5);
  const old = { address: '', machineType: 'small', zone: 'a', isSpot: false, ageSeconds: 500 };
  t.listedMachines.push(
    { name: 'vm-1', phase: 'booting', ...old },
    { name: 'vm-2', phase: 'running', ...old },
  );
  for (let i = 0; i < 15; i++) {
    t.advance(1000);
    t.scheduler.flush();
  }
  expect(t.deletedMachines).toEqual(['vm-1']);
});

test('a single replica does not hide that others must be spread: their zone stays theirs', () => {
  const t = new SchedulerHarness(5);
  const want = (id: string, spread: boolean): ResourceRequest =>
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
    agentEpoch: 1,
    sequence: 1,
    fencingToken: 5,
    evictionNoticeSeconds: null,
    tasks: [],
  };
  t.scheduler.handleHeartbeat(heartbeat);
  t.scheduler.onShardMessage({
    type: 'resourceRequests',
    fencingToken: 5,
    instanceId: 'o',
    requests: [want('wk-2', true), want('wk-1', false)],
  });
  expect(t.grantedJobs()).toEqual(['wk-2']);
});
