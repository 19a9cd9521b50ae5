/** How the leader gives machines to gangs: all tasks have places or none, in one zone if asked. */

import { expect, test } from 'vitest';
import type { ClusterState } from '../src/scheduler/cluster-state.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

const gangRequest = (id: string, over: object = {}) =>
  makeResourceRequest(id, {
    isGang: true,
    zoneAffinity: true,
    spotAllowed: false,
    cpus: 4,
    memoryGb: 1,
    taskCount: 3,
    ...over,
  });
const lowPriorityRequest = (id: string, over: object = {}) =>
  makeResourceRequest(id, { priority: 3, cpus: 1, taskCount: 20, queuePosition: 2, ...over });

/** All of these machines report, and one second passes. */
function second(
  harness: SchedulerHarness,
  machines: string[],
  over: (name: string) => object = () => ({}),
): void {
  for (const machine of machines)
    harness.sendHeartbeat([], 5, { machine, address: machine, ...over(machine) });
  harness.advance(1000);
  harness.scheduler.flush();
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
}

const grantsOf = (harness: SchedulerHarness, id: string) =>
  harness.grantedJobs().filter((granted) => granted === id).length;
const evicted = (harness: SchedulerHarness) =>
  harness.sentMessages.flatMap((message) => (message.type === 'evict' ? message.tasks : []));

test('a gang that waits keeps the machines it has gathered from lower work, and begins with the last one', () => {
  const harness = new SchedulerHarness(5);
  harness.sendRequests([gangRequest('wk-gang'), lowPriorityRequest('wk-low')]);
  for (let i = 0; i < 5; i++) second(harness, ['a', 'b']);
  expect(grantsOf(harness, 'wk-low')).toBe(0);
  expect(grantsOf(harness, 'wk-gang')).toBe(0);
  second(harness, ['a', 'b', 'c']);
  second(harness, ['a', 'b', 'c']);
  expect(grantsOf(harness, 'wk-gang')).toBe(3);
});

test('machines that a gang gathers are not returned as idle, and only what it lacks is rented', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 2 });
  harness.rentals.isAnswered = true;
  harness.sendRequests([gangRequest('wk-gang')]);
  for (let i = 0; i < 12; i++) second(harness, ['a', 'b']);
  expect(harness.deletedMachines).toEqual([]);
  expect(harness.rentals.count).toBe(1);
});

test('machines of a gang are kept while the last room that it lacks is being freed', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 2 });
  harness.rentals.isAnswered = true;
  const runs = (machine: string) => ({
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
  for (let i = 0; i < 4; i++) second(harness, ['a', 'b', 'c'], runs);
  expect(evicted(harness).length).toBe(1);
  harness.sendDesiredState('stop');
  for (let i = 0; i < 6; i++) second(harness, ['a', 'b', 'c'], runs);
  expect(harness.deletedMachines).toEqual([]);
});

test('of two gangs without room the first in the queue gathers: neither holds half of what both need', () => {
  const harness = new SchedulerHarness(5);
  harness.sendRequests([
    gangRequest('wk-first', { queuePosition: 1 }),
    gangRequest('wk-second', { queuePosition: 2, taskCount: 2 }),
  ]);
  for (let i = 0; i < 5; i++) second(harness, ['a', 'b']);
  expect(harness.grantedJobs()).toEqual([]);
  for (let i = 0; i < 2; i++) second(harness, ['a', 'b', 'c']);
  expect(harness.grantedJobs()).toEqual(['wk-first', 'wk-first', 'wk-first']);
});

test('lower work is stopped for a gang in one zone only', () => {
  const harness = new SchedulerHarness(5);
  const machines = ['a1', 'a2', 'b1'];
  const zone = (name: string) => ({ zone: name.slice(0, 1) });
  for (const machine of machines)
    harness.sendHeartbeat([], 5, { machine, address: machine, ...zone(machine) });
  const runs = (machine: string) => ({
    ...zone(machine),
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
  for (let i = 0; i < 4; i++) second(harness, machines, runs);
  expect([...new Set(evicted(harness).map((task) => task.jobId))].sort()).toEqual(['wk-a1', 'wk-a2']);
});

test('no task is preempted for a guaranteed share while machines boot, and no gang before the request has waited', () => {
  const machines = ['a', 'b', 'c'];
  /** Blue (8 guaranteed) runs 12 CPUs on three machines; red is within its guarantee and waits. */
  const evictions = (gang: boolean, booting: number, seconds: number): number => {
    const harness = new SchedulerHarness(5);
    for (const machine of machines) harness.sendHeartbeat([], 5, { machine, address: machine });
    const blue = {
      ...harness.placementSpec('run'),
      jobId: 'wk-blue',
      team: 'blue',
      isGang: gang,
      cpus: 4,
      memoryGb: 1,
    };
    for (const [taskIndex, machine] of machines.entries())
      harness.sendPlacement({ ...blue, taskIndex, machine });
    const runs = (machine: string) => ({
      tasks: [{ ...taskStatus('running'), jobId: 'wk-blue', taskIndex: machines.indexOf(machine) }],
    });
    for (let i = 0; i < booting; i++)
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
    for (let i = 0; i < seconds; i++) second(harness, machines, runs);
    return evicted(harness).length;
  };
  // A machine of this type counts as booting for 8 s.
  expect(evictions(false, 2, 6)).toBe(0);
  expect(evictions(false, 0, 6)).toBeGreaterThan(0);
  expect(evictions(true, 0, 25)).toBe(0);
  expect(evictions(true, 0, 40)).toBeGreaterThan(0);
});

test('run times of gangs say nothing about the speed of single machines', () => {
  const harness = new SchedulerHarness(5);
  const all = Array.from({ length: 12 }, (_, i) => `vm-${i}`);
  for (let round = 0; round < 6; round++) {
    // Two machines are shared by gangs that run four times as long as estimated.
    const slow = (name: string) => name === 'vm-0' || name === 'vm-1';
    const id = (name: string) => (slow(name) ? `wk-gang-${round}` : `wk-${name}-${round}`);
    for (const machine of all)
      harness.sendPlacement({
        ...harness.placementSpec('run'),
        jobId: id(machine),
        taskIndex: all.indexOf(machine),
        machine,
        isGang: slow(machine),
      });
    const report = (machine: string, phase: 'running' | 'exited') =>
      harness.sendHeartbeat(
        [{ ...taskStatus(phase), jobId: id(machine), taskIndex: all.indexOf(machine) }],
        5,
        {
          machine,
          address: machine,
        },
      );
    for (const machine of all) harness.sendHeartbeat([], 5, { machine, address: machine });
    for (const machine of all) report(machine, 'running');
    harness.advance(5000);
    for (const machine of all) report(machine, slow(machine) ? 'running' : 'exited');
    harness.advance(15000);
    for (const machine of all) report(machine, 'exited');
  }
  const { machines } = (harness.scheduler as unknown as { state: ClusterState }).state;
  expect([...machines.values()].filter(({ isQuarantined }) => isQuarantined).map(({ name }) => name)).toEqual(
    [],
  );
});
