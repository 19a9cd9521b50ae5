/** How the leader places gangs: all of their tasks or none, and in one zone if requested. */

import { expect, test } from 'vitest';
import type { ClusterState } from '../src/scheduler/cluster-state.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

const gangRequest = (id: string, overrides: object = {}) =>
  makeResourceRequest(id, {
    isGang: true,
    zoneAffinity: true,
    spotAllowed: false,
    cpus: 4,
    memoryGb: 1,
    taskCount: 3,
    ...overrides,
  });
const lowPriorityRequest = (id: string, overrides: object = {}) =>
  makeResourceRequest(id, { priority: 3, cpus: 1, taskCount: 20, queuePosition: 2, ...overrides });

/** Each of `machines` sends a heartbeat, one second passes, and all direct calls are refused. */
function runOneSecond(
  harness: SchedulerHarness,
  machines: string[],
  overrides: (name: string) => object = () => ({}),
): void {
  for (const machine of machines)
    harness.sendHeartbeat([], 5, { machine, address: machine, ...overrides(machine) });
  harness.advance(1000);
  harness.scheduler.flush();
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
}

const grantCount = (harness: SchedulerHarness, id: string) =>
  harness.grantedJobs().filter((granted) => granted === id).length;
const evictedTasks = (harness: SchedulerHarness) =>
  harness.sentMessages.flatMap((message) => (message.type === 'evict' ? message.tasks : []));

test('a waiting gang keeps the machines it has gathered from lower-priority work, and starts once it has the last one', () => {
  const harness = new SchedulerHarness(5);
  harness.sendRequests([gangRequest('wk-gang'), lowPriorityRequest('wk-low')]);
  for (let i = 0; i < 5; i++) runOneSecond(harness, ['a', 'b']);
  expect(grantCount(harness, 'wk-low')).toBe(0);
  expect(grantCount(harness, 'wk-gang')).toBe(0);
  runOneSecond(harness, ['a', 'b', 'c']);
  runOneSecond(harness, ['a', 'b', 'c']);
  expect(grantCount(harness, 'wk-gang')).toBe(3);
});

test('machines gathered by a gang are not deleted as idle, and only the missing machine is rented', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 2 });
  harness.rentals.isAnswered = true;
  harness.sendRequests([gangRequest('wk-gang')]);
  for (let i = 0; i < 12; i++) runOneSecond(harness, ['a', 'b']);
  expect(harness.deletedMachines).toEqual([]);
  expect(harness.rentals.count).toBe(1);
});

test('machines gathered by a gang are kept while capacity for its last task is being freed', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 2 });
  harness.rentals.isAnswered = true;
  const heartbeatOverrides = (machine: string) => ({
    tasks: machine === 'c' ? [{ ...taskStatus('running'), jobId: 'wk-low' }] : [],
  });
  for (const machine of ['a', 'b', 'c']) harness.sendHeartbeat([], 5, { machine, address: machine });
  harness.sendPlacement({
    ...harness.placementSpec('run'),
    jobId: 'wk-low',
    machine: 'c',
    priority: 3,
    cpus: 3,
    memoryGb: 1,
  });
  harness.sendRequests([gangRequest('wk-gang')]);
  for (let i = 0; i < 4; i++) runOneSecond(harness, ['a', 'b', 'c'], heartbeatOverrides);
  expect(evictedTasks(harness).length).toBe(1);
  harness.sendDesiredState('stop');
  for (let i = 0; i < 6; i++) runOneSecond(harness, ['a', 'b', 'c'], heartbeatOverrides);
  expect(harness.deletedMachines).toEqual([]);
});

test('of two gangs without capacity only the first in the queue gathers machines, so that they cannot deadlock', () => {
  const harness = new SchedulerHarness(5);
  harness.sendRequests([
    gangRequest('wk-first', { queuePosition: 1 }),
    gangRequest('wk-second', { queuePosition: 2, taskCount: 2 }),
  ]);
  for (let i = 0; i < 5; i++) runOneSecond(harness, ['a', 'b']);
  expect(harness.grantedJobs()).toEqual([]);
  for (let i = 0; i < 2; i++) runOneSecond(harness, ['a', 'b', 'c']);
  expect(harness.grantedJobs()).toEqual(['wk-first', 'wk-first', 'wk-first']);
});

test('lower-priority work is preempted for a gang in one zone only', () => {
  const harness = new SchedulerHarness(5);
  const machines = ['a1', 'a2', 'b1'];
  const zoneOverride = (name: string) => ({ zone: name.slice(0, 1) });
  for (const machine of machines)
    harness.sendHeartbeat([], 5, { machine, address: machine, ...zoneOverride(machine) });
  const heartbeatOverrides = (machine: string) => ({
    ...zoneOverride(machine),
    tasks: [{ ...taskStatus('running'), jobId: `wk-${machine}` }],
  });
  for (const machine of machines)
    harness.sendPlacement({
      ...harness.placementSpec('run'),
      jobId: `wk-${machine}`,
      machine,
      priority: 3,
      cpus: 2,
      memoryGb: 1,
    });
  harness.sendRequests([gangRequest('wk-gang', { taskCount: 2 })]);
  for (let i = 0; i < 4; i++) runOneSecond(harness, machines, heartbeatOverrides);
  expect([...new Set(evictedTasks(harness).map((task) => task.jobId))].sort()).toEqual(['wk-a1', 'wk-a2']);
});

test('no task is preempted for a guaranteed share while machines boot, and no gang until the request has waited', () => {
  const machines = ['a', 'b', 'c'];
  /** Counts evictions while blue (8 CPUs guaranteed) runs 12 CPUs and red waits within its guarantee. */
  const evictionsFor = (isGang: boolean, bootingMachines: number, seconds: number): number => {
    const harness = new SchedulerHarness(5);
    for (const machine of machines) harness.sendHeartbeat([], 5, { machine, address: machine });
    const bluePlacement = {
      ...harness.placementSpec('run'),
      jobId: 'wk-blue',
      team: 'blue',
      isGang,
      cpus: 4,
      memoryGb: 1,
    };
    for (const [taskIndex, machine] of machines.entries())
      harness.sendPlacement({ ...bluePlacement, taskIndex, machine });
    const heartbeatOverrides = (machine: string) => ({
      tasks: [{ ...taskStatus('running'), jobId: 'wk-blue', taskIndex: machines.indexOf(machine) }],
    });
    for (let i = 0; i < bootingMachines; i++)
      harness.listedMachines.push({
        name: `boots-${i}`,
        address: '',
        machineType: 'big',
        zone: 'a',
        isSpot: false,
        phase: 'booting',
        ageSeconds: 0,
      });
    harness.sendRequests([
      makeResourceRequest('wk-red', { priority: 2, cpus: 4, spotAllowed: false, machineTypes: ['small'] }),
    ]);
    for (let i = 0; i < seconds; i++) runOneSecond(harness, machines, heartbeatOverrides);
    return evictedTasks(harness).length;
  };
  // A machine of this type counts as booting for 8 s.
  expect(evictionsFor(false, 2, 6)).toBe(0);
  expect(evictionsFor(false, 0, 6)).toBeGreaterThan(0);
  expect(evictionsFor(true, 0, 25)).toBe(0);
  expect(evictionsFor(true, 0, 40)).toBeGreaterThan(0);
});

test('run times of gangs do not count as evidence that a machine is slow', () => {
  const harness = new SchedulerHarness(5);
  const allMachines = Array.from({ length: 12 }, (_, i) => `vm-${i}`);
  for (let round = 0; round < 6; round++) {
    // Two machines run gangs that take four times as long as estimated.
    const isGangMachine = (name: string) => name === 'vm-0' || name === 'vm-1';
    const jobIdOn = (name: string) => (isGangMachine(name) ? `wk-gang-${round}` : `wk-${name}-${round}`);
    for (const machine of allMachines)
      harness.sendPlacement({
        ...harness.placementSpec('run'),
        jobId: jobIdOn(machine),
        taskIndex: allMachines.indexOf(machine),
        machine,
        isGang: isGangMachine(machine),
      });
    const report = (machine: string, phase: 'running' | 'exited') =>
      harness.sendHeartbeat(
        [{ ...taskStatus(phase), jobId: jobIdOn(machine), taskIndex: allMachines.indexOf(machine) }],
        5,
        {
          machine,
          address: machine,
        },
      );
    for (const machine of allMachines) harness.sendHeartbeat([], 5, { machine, address: machine });
    for (const machine of allMachines) report(machine, 'running');
    harness.advance(5000);
    for (const machine of allMachines) report(machine, isGangMachine(machine) ? 'running' : 'exited');
    harness.advance(15000);
    for (const machine of allMachines) report(machine, 'exited');
  }
  const { machines } = (harness.scheduler as unknown as { state: ClusterState }).state;
  expect([...machines.values()].filter(({ isQuarantined }) => isQuarantined).map(({ name }) => name)).toEqual(
    [],
  );
});
