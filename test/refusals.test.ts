/**
 * Placement around machines that would refuse a task because they list an ended attempt of it;
 * gang-attempts.test.ts tests this on simulated clusters.
 */

import fc from 'fast-check';
import { expect, test, vi } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import type { Grant } from '../src/model/placement.js';
import { assignTasks } from '../src/model/task-assignment.js';
import type { Heartbeat, TaskStatus } from '../src/model/worker-messages.js';
import { ExitedAttempts } from '../src/scheduler/exited-attempts.js';
import { createMachine } from '../src/scheduler/machine.js';
import { AttemptConflicts } from '../src/scheduler/placement/attempt-conflicts.js';
import { assignGrants } from '../src/shard/grant-assignment.js';
import { createOwnedJob, type OwnedJob } from '../src/shard/owned-job.js';
import { TeamUsage } from '../src/shard/team-usage.js';
import { runFor } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { makeResourceRequest, SchedulerHarness } from './simulation/scheduler-harness.js';

const endedTask = (id: string, taskIndex: number, overrides: Partial<TaskStatus> = {}): TaskStatus => ({
  jobId: id,
  taskIndex,
  attempt: 1,
  phase: 'exited',
  exitReason: 'stopped',
  checkpointSaved: false,
  ...overrides,
});
const machineNames = (index: ExitedAttempts, id: string) => [...index.machinesOf(id)].map(({ name }) => name);
const grantCount = (harness: SchedulerHarness, id: string) =>
  harness.grantedJobs().filter((job) => job === id).length;

// ---- matching ----------------------------------------------------------------------------------------

/** Whether each slot can get a task of its own that it does not refuse, by exhaustive search. */
function hasPerfectMatching(refusedTasks: Set<number>[], tasks: number[]): boolean {
  const [first, ...rest] = refusedTasks;
  if (!first) return true;
  return tasks.some(
    (task) =>
      !first.has(task) &&
      hasPerfectMatching(
        rest,
        tasks.filter((other) => other !== task),
      ),
  );
}

test('tasks are matched to grants whenever a matching exists', () => {
  const cases = fc.integer({ min: 1, max: 6 }).chain((count) =>
    fc.array(fc.uniqueArray(fc.integer({ min: 0, max: count - 1 })), {
      minLength: count,
      maxLength: count,
    }),
  );
  fc.assert(
    fc.property(cases, (refusedLists) => {
      const refusedTasks = refusedLists.map((list) => new Set(list));
      const tasks = refusedLists.map((_, task) => task);
      const { taskBySlot: assigned, unassignedSlots } = assignTasks(tasks, refusedTasks);
      const assignedTasks = assigned.filter((task) => task !== undefined);
      expect(new Set(assignedTasks).size).toBe(assignedTasks.length);
      for (const [slot, task] of assigned.entries())
        if (task !== undefined) expect(refusedTasks[slot]!.has(task)).toBe(false);
      expect(unassignedSlots.length === 0).toBe(hasPerfectMatching(refusedTasks, tasks));
    }),
    { seed: 7, numRuns: 500 },
  );
});

// ---- index -------------------------------------------------------------------------------------------

test('the index of ended attempts follows the task list of a machine and leaves out running and completed tasks', () => {
  const index = new ExitedAttempts();
  const machine = createMachine('m', 0);
  index.update(machine, [
    endedTask('wk-1', 0),
    endedTask('wk-1', 3, { exitReason: 'attemptListed' }),
    endedTask('wk-2', 0, { phase: 'running', exitReason: null }),
    endedTask('wk-3', 0, { exitReason: 'done' }),
  ]);
  expect(machineNames(index, 'wk-1')).toEqual(['m']);
  expect(machine.exitedTasks.get('wk-1')).toEqual({ tasks: new Set([0, 3]), hasRefusedAttempt: true });
  expect([index.has('wk-2'), index.has('wk-3')]).toEqual([false, false]);
  index.update(machine, [endedTask('wk-2', 0)]);
  expect([index.has('wk-1'), index.has('wk-2')]).toEqual([false, true]);
  index.update(machine, []);
  expect(index.has('wk-2')).toBe(false);
});

// ---- leader ------------------------------------------------------------------------------------------

const gangRequest = (overrides: object = {}) =>
  makeResourceRequest('wk-gang', {
    isGang: true,
    spotAllowed: false,
    cpus: 4,
    memoryGb: 1,
    taskCount: 2,
    ...overrides,
  });

function createFleet(tasksByMachine: Record<string, TaskStatus[]>): {
  harness: SchedulerHarness;
  runOneSecond: () => void;
} {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  const runOneSecond = () => {
    for (const [machine, tasks] of Object.entries(tasksByMachine))
      harness.sendHeartbeat(tasks, 5, { machine, address: machine });
    harness.advance(1000);
    harness.scheduler.flush();
  };
  runOneSecond();
  return { harness, runOneSecond };
}

test('a gang starts on machines that list its ended attempts if its tasks can be assigned differently', () => {
  const { harness, runOneSecond } = createFleet({
    a: [endedTask('wk-gang', 0)],
    b: [endedTask('wk-gang', 1)],
  });
  harness.sendRequests([gangRequest()]);
  runOneSecond();
  expect(grantCount(harness, 'wk-gang')).toBe(2);
  expect(harness.tokenRaiseReasons).toEqual([]);
});

test('a machine to which no task of a gang can be assigned is skipped, and another is chosen', () => {
  // Both a and b refuse task 0: only one of them is used, and c takes task 0.
  const { harness, runOneSecond } = createFleet({
    a: [endedTask('wk-gang', 0)],
    b: [endedTask('wk-gang', 0)],
    c: [],
  });
  harness.sendRequests([gangRequest()]);
  runOneSecond();
  expect(grantCount(harness, 'wk-gang')).toBe(2);
  const machines = harness.sentMessages.flatMap((message) =>
    message.type === 'grants' ? message.grants.map((grant) => grant.machine) : [],
  );
  expect(machines).toContain('c');
});

test('a higher fencing token is requested only after ended attempts alone have kept a gang from starting for 15 s', () => {
  const blocked = { a: [endedTask('wk-gang', 0)], b: [endedTask('wk-gang', 0)] };
  const blockedFleet = createFleet(blocked);
  blockedFleet.harness.sendRequests([gangRequest()]);
  for (let i = 0; i < 14; i++) blockedFleet.runOneSecond();
  expect([
    grantCount(blockedFleet.harness, 'wk-gang'),
    blockedFleet.harness.tokenRaiseReasons.length,
  ]).toEqual([0, 0]);
  for (let i = 0; i < 4; i++) blockedFleet.runOneSecond();
  expect(blockedFleet.harness.tokenRaiseReasons[0]).toContain('ended attempts of wk-gang');
  // The third task has no machine at all: a higher fencing token would not help.
  const undersizedFleet = createFleet(blocked);
  undersizedFleet.harness.sendRequests([gangRequest({ taskCount: 3 })]);
  for (let i = 0; i < 20; i++) undersizedFleet.runOneSecond();
  expect(undersizedFleet.harness.tokenRaiseReasons).toEqual([]);
});

test('a machine is skipped for an array or a service only if it lists all of the remaining tasks', () => {
  for (const isService of [false, true]) {
    const overrides = { cpus: 4, spotAllowed: false, isService };
    const { harness, runOneSecond } = createFleet({ a: [endedTask('wk-1', 0), endedTask('wk-1', 2)] });
    harness.sendRequests([makeResourceRequest('wk-1', { ...overrides, taskCount: 1, remainingTasks: [0] })]);
    runOneSecond();
    expect(grantCount(harness, 'wk-1')).toBe(0);
    harness.sendRequests([
      makeResourceRequest('wk-1', { ...overrides, taskCount: 2, remainingTasks: [0, 1] }),
    ]);
    runOneSecond();
    expect(grantCount(harness, 'wk-1')).toBe(1);
    const [grant] = harness.sentMessages.flatMap((message) =>
      message.type === 'grants' ? message.grants : [],
    );
    expect(grant?.exitedTasks).toEqual([0, 2]);
  }
});

test('ended attempts that alone keep work waiting are forgotten at once, others in batches or after 20 s', () => {
  const tasksByMachine = { a: [endedTask('wk-1', 0)] };
  const { harness, runOneSecond } = createFleet(tasksByMachine);
  const removalCount = () => {
    const answer = harness.sendHeartbeat(tasksByMachine.a, 5, { machine: 'a', address: 'a' }) ?? [];
    return answer.filter((command) => command.type === 'forget').length;
  };
  harness.sendPlacement({ ...harness.placementSpec('forget'), jobId: 'wk-1', machine: 'a' });
  runOneSecond();
  expect(removalCount()).toBe(0);
  harness.sendRequests([makeResourceRequest('wk-1', { cpus: 4, spotAllowed: false, remainingTasks: [0] })]);
  runOneSecond();
  expect(removalCount()).toBe(1);
});

test('a placement pass checks only the machines that list ended attempts of a job, not all machines for each job', () => {
  const machineCount = 4000;
  const jobCount = 200;
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  const sendHeartbeat = (index: number, overrides: Partial<Heartbeat> = {}) =>
    harness.sendHeartbeat([endedTask(`wk-${index}`, 0), endedTask(`wk-${index + 1}`, 1)], 5, {
      machine: `m${index}`,
      address: `m${index}`,
      ...overrides,
    });
  for (let index = 0; index < machineCount; index++) sendHeartbeat(index);
  const machineLookups = vi.spyOn(ExitedAttempts.prototype, 'machinesOf');
  const conflictChecks = vi.spyOn(AttemptConflicts.prototype, 'refusingMachines');
  harness.sendRequests(
    Array.from({ length: jobCount }, (_, index) =>
      makeResourceRequest(`wk-${index + 10}`, { remainingTasks: [0], cpus: 64, spotAllowed: false }),
    ),
  );
  harness.advance(1000);
  harness.scheduler.flush();
  const visitedMachines = machineLookups.mock.results.reduce(
    (sum, { value }) => sum + [...(value as Iterable<unknown>)].length,
    0,
  );
  const passes = conflictChecks.mock.calls.length / jobCount;
  vi.restoreAllMocks();
  expect(passes).toBeGreaterThanOrEqual(1);
  // Each job is listed by two machines.
  expect(visitedMachines).toBeLessThanOrEqual(2 * jobCount * passes);
});

// ---- shard owner -------------------------------------------------------------------------------------

function createJob(overrides: Partial<JobSpec>): OwnedJob {
  const spec = makeJobSpec(new ClusterSimulation(1), { cpus: 1, ...overrides });
  const stored = {
    spec,
    acceptedRevision: 1,
    jobRevision: 1,
    counterRevision: 0,
    cancelled: false,
    runningTasks: 0,
  };
  return createOwnedJob({
    spec,
    stored: { ...stored, counter: null, counterRecord: null, placementChunks: new Map() },
    releaseWindow: 1000,
  });
}

const grantOn = (id: number, endedTasks?: number[]): Grant => ({
  id,
  jobId: 'wk-1',
  team: 'red',
  machine: `m${id}`,
  zone: 'a',
  workerEpoch: 1,
  ...(endedTasks && { exitedTasks: endedTasks }),
});

function assignTo(job: OwnedJob, grants: Grant[]): [number, number][] {
  const usage = new TeamUsage(
    new Map([['red', { name: 'red', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 }]]),
  );
  const tasks: [number, number][] = [];
  assignGrants(job, grants, {
    usage,
    nowMs: 0,
    place: (grant, taskIndex) => tasks.push([grant.id, taskIndex]),
  });
  return tasks;
}

test('a shard owner assigns no task to a machine that lists an ended attempt of it', () => {
  const gangOfThree = createJob({ kind: 'gang', taskCount: 3 });
  const tasks = assignTo(gangOfThree, [grantOn(1, [0, 1]), grantOn(2, [0]), grantOn(3)]);
  expect(tasks.sort()).toEqual([
    [1, 2],
    [2, 1],
    [3, 0],
  ]);
  expect(assignTo(createJob({ kind: 'gang', taskCount: 2 }), [grantOn(1, [0]), grantOn(2, [0])])).toEqual([]);
  const array = createJob({ taskCount: 3 });
  expect(assignTo(array, [grantOn(1, [0, 1])])).toEqual([[1, 2]]);
  // The tasks that were skipped are still available.
  expect(assignTo(array, [grantOn(2), grantOn(3)]).map(([, taskIndex]) => taskIndex)).toEqual([0, 1]);
  const lastTask = createJob({ taskCount: 1 });
  expect(assignTo(lastTask, [grantOn(1, [0])])).toEqual([]);
  expect([...lastTask.avoidedMachines.keys()]).toEqual(['m1']);
  expect(assignTo(lastTask, [grantOn(2)])).toEqual([[2, 0]]);
});

// ---- unexpected heartbeats ---------------------------------------------------------------------------

test('unknown, ended, future and contradictory attempts in late or duplicate heartbeats do not block a gang for good', () => {
  const simulation = new ClusterSimulation(3, { ...new ClusterSimulation(1).config, machineCapacity: 20 });
  simulation.bootsFaultyMachines = false;
  const spec = makeJobSpec(simulation, {
    id: 'wk-gang',
    kind: 'gang',
    taskCount: 4,
    cpus: 4,
    memoryGb: 1,
    spotAllowed: false,
  });
  const unexpectedTasks = (machine: string): TaskStatus[] => [
    ...[0, 1, 2, 3].map((taskIndex) => endedTask('wk-gang', taskIndex, { attempt: 90 + taskIndex })),
    endedTask('wk-gang', 0, { attempt: 90, phase: 'saving', exitReason: null }),
    endedTask('wk-nobody', Number(machine.slice(3)), { phase: 'exited', exitReason: 'error' }),
  ];
  simulation.duplicatesMessages = true;
  simulation.users.submitJob(spec);
  for (let elapsedSeconds = 0; elapsedSeconds < 20; elapsedSeconds++) {
    runFor(simulation, 1000);
    for (const worker of simulation.workers.values()) {
      const description = {
        machine: worker.name,
        address: worker.name,
        machineType: worker.machineType,
        zone: worker.zone,
        isSpot: worker.isSpot,
        workerEpoch: 1,
        fencingToken: worker.fencingToken,
      };
      const controller = simulation.controllers.get(
        simulation.simulator.pick(simulation.nodeNames),
      )!.controller;
      controller.handleHeartbeat({
        ...description,
        sequence: worker.heartbeatSequence + simulation.simulator.pick([-3, 0, 1]),
        evictionNoticeSeconds: null,
        tasks: unexpectedTasks(worker.name),
      });
    }
  }
  simulation.faultsEndAt = simulation.simulator.now;
  runFor(simulation, 240_000);
  expect(simulation.violations).toEqual([]);
  expect(simulation.unfinishedJobs()).toEqual([]);
});
