/** Which machines would refuse which tasks, and what is placed where; gang-attempts.test.ts tests it on whole clusters. */

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

const ended = (id: string, taskIndex: number, over: Partial<TaskStatus> = {}): TaskStatus => ({
  jobId: id,
  taskIndex,
  attempt: 1,
  phase: 'exited',
  exitReason: 'stopped',
  checkpointSaved: false,
  ...over,
});
const machineNames = (index: ExitedAttempts, id: string) => [...index.machinesOf(id)].map(({ name }) => name);
const isGranted = (harness: SchedulerHarness, id: string) =>
  harness.grantedJobs().filter((job) => job === id).length;

// ---- matching ----------------------------------------------------------------------------------------

/** Whether places can be matched to tasks one by one, by trying all ways. */
function canMatch(refused: Set<number>[], tasks: number[]): boolean {
  const [first, ...rest] = refused;
  if (!first) return true;
  return tasks.some(
    (task) =>
      !first.has(task) &&
      canMatch(
        rest,
        tasks.filter((other) => other !== task),
      ),
  );
}

test('tasks are matched to grants wherever any matching exists', () => {
  const cases = fc.integer({ min: 1, max: 6 }).chain((count) =>
    fc.array(fc.uniqueArray(fc.integer({ min: 0, max: count - 1 })), {
      minLength: count,
      maxLength: count,
    }),
  );
  fc.assert(
    fc.property(cases, (lists) => {
      const refused = lists.map((list) => new Set(list));
      const tasks = lists.map((_, task) => task);
      const { tasks: given, unassignedSlots: without } = assignTasks(tasks, refused);
      const taken = given.filter((task) => task !== undefined);
      expect(new Set(taken).size).toBe(taken.length);
      for (const [place, task] of given.entries())
        if (task !== undefined) expect(refused[place]!.has(task)).toBe(false);
      expect(without.length === 0).toBe(canMatch(refused, tasks));
    }),
    { seed: 7, numRuns: 500 },
  );
});

// ---- index -------------------------------------------------------------------------------------------

test('the index follows each list of a machine, and leaves out what runs or is done', () => {
  const index = new ExitedAttempts();
  const machine = createMachine('m', 0);
  index.update(machine, [
    ended('wk-1', 0),
    ended('wk-1', 3, { exitReason: 'attemptListed' }),
    ended('wk-2', 0, { phase: 'running', exitReason: null }),
    ended('wk-3', 0, { exitReason: 'done' }),
  ]);
  expect(machineNames(index, 'wk-1')).toEqual(['m']);
  expect(machine.exitedTasks.get('wk-1')).toEqual({ tasks: new Set([0, 3]), hasRefusedAttempt: true });
  expect([index.has('wk-2'), index.has('wk-3')]).toEqual([false, false]);
  index.update(machine, [ended('wk-2', 0)]);
  expect([index.has('wk-1'), index.has('wk-2')]).toEqual([false, true]);
  index.update(machine, []);
  expect(index.has('wk-2')).toBe(false);
});

// ---- the leader --------------------------------------------------------------------------------------

const gang = (over: object = {}) =>
  makeResourceRequest('wk-gang', {
    isGang: true,
    spotAllowed: false,
    cpus: 4,
    memoryGb: 1,
    taskCount: 2,
    ...over,
  });

function fleet(lists: Record<string, TaskStatus[]>): { harness: SchedulerHarness; second: () => void } {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  const second = () => {
    for (const [machine, tasks] of Object.entries(lists))
      harness.heartbeat(tasks, 5, { machine, address: machine });
    harness.advance(1000);
    harness.scheduler.flush();
  };
  second();
  return { harness, second };
}

test('a gang begins on machines that list its ended attempts if its tasks can be given out otherwise', () => {
  const { harness, second } = fleet({ a: [ended('wk-gang', 0)], b: [ended('wk-gang', 1)] });
  harness.sendRequests([gang()]);
  second();
  expect(isGranted(harness, 'wk-gang')).toBe(2);
  expect(harness.tokenRaiseReasons).toEqual([]);
});

test('a machine is passed over for a gang if no task can be given to it, and others are chosen', () => {
  // Whatever a and b get, task 0 is left; c takes it.
  const { harness, second } = fleet({ a: [ended('wk-gang', 0)], b: [ended('wk-gang', 0)], c: [] });
  harness.sendRequests([gang()]);
  second();
  expect(isGranted(harness, 'wk-gang')).toBe(2);
  const machines = harness.sentMessages.flatMap((message) =>
    message.type === 'grants' ? message.grants.map((grant) => grant.machine) : [],
  );
  expect(machines).toContain('c');
});

test('a higher fencing token is requested only if ended attempts alone keep the gang from beginning, and after 15 s of that', () => {
  const blocked = { a: [ended('wk-gang', 0)], b: [ended('wk-gang', 0)] };
  const alone = fleet(blocked);
  alone.harness.sendRequests([gang()]);
  for (let i = 0; i < 14; i++) alone.second();
  expect([isGranted(alone.harness, 'wk-gang'), alone.harness.tokenRaiseReasons.length]).toEqual([0, 0]);
  for (let i = 0; i < 4; i++) alone.second();
  expect(alone.harness.tokenRaiseReasons[0]).toContain('ended attempts of wk-gang');
  // A third task has no machine at all: no token would help.
  const short = fleet(blocked);
  short.harness.sendRequests([gang({ taskCount: 3 })]);
  for (let i = 0; i < 20; i++) short.second();
  expect(short.harness.tokenRaiseReasons).toEqual([]);
});

test('an array or service passes a machine over that lists all tasks it has left, and no other', () => {
  for (const service of [false, true]) {
    const over = { cpus: 4, spotAllowed: false, isService: service };
    const { harness, second } = fleet({ a: [ended('wk-1', 0), ended('wk-1', 2)] });
    harness.sendRequests([makeResourceRequest('wk-1', { ...over, taskCount: 1, remainingTasks: [0] })]);
    second();
    expect(isGranted(harness, 'wk-1')).toBe(0);
    harness.sendRequests([makeResourceRequest('wk-1', { ...over, taskCount: 2, remainingTasks: [0, 1] })]);
    second();
    expect(isGranted(harness, 'wk-1')).toBe(1);
    const [grant] = harness.sentMessages.flatMap((message) =>
      message.type === 'grants' ? message.grants : [],
    );
    expect(grant?.exitedTasks).toEqual([0, 2]);
  }
});

test('ended attempts that alone keep work waiting are removed at once, others together or after 20 s', () => {
  const lists = { a: [ended('wk-1', 0)] };
  const { harness, second } = fleet(lists);
  const reaps = () => {
    const answer = harness.heartbeat(lists.a, 5, { machine: 'a', address: 'a' }) ?? [];
    return answer.filter((command) => command.type === 'forget').length;
  };
  harness.sendPlacement({ ...harness.placementSpec('forget'), jobId: 'wk-1', machine: 'a' });
  second();
  expect(reaps()).toBe(0);
  harness.sendRequests([makeResourceRequest('wk-1', { cpus: 4, spotAllowed: false, remainingTasks: [0] })]);
  second();
  expect(reaps()).toBe(1);
});

test('a pass looks at the machines of a job that list its ended attempts, and not at all machines for each job', () => {
  const machineCount = 4000;
  const jobCount = 200;
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  const sendHeartbeat = (index: number, over: Partial<Heartbeat> = {}) =>
    harness.heartbeat([ended(`wk-${index}`, 0), ended(`wk-${index + 1}`, 1)], 5, {
      machine: `m${index}`,
      address: `m${index}`,
      ...over,
    });
  for (let index = 0; index < machineCount; index++) sendHeartbeat(index);
  const looks = vi.spyOn(ExitedAttempts.prototype, 'machinesOf');
  const machinesFor = vi.spyOn(AttemptConflicts.prototype, 'refusingMachines');
  harness.sendRequests(
    Array.from({ length: jobCount }, (_, i) =>
      makeResourceRequest(`wk-${i + 10}`, { remainingTasks: [0], cpus: 64, spotAllowed: false }),
    ),
  );
  harness.advance(1000);
  harness.scheduler.flush();
  const machinesLookedAt = looks.mock.results.reduce(
    (sum, { value }) => sum + [...(value as Iterable<unknown>)].length,
    0,
  );
  const passes = machinesFor.mock.calls.length / jobCount;
  vi.restoreAllMocks();
  expect(passes).toBeGreaterThanOrEqual(1);
  // Two machines list each job.
  expect(machinesLookedAt).toBeLessThanOrEqual(2 * jobCount * passes);
});

// ---- the owner ---------------------------------------------------------------------------------------

function owned(over: Partial<JobSpec>): OwnedJob {
  const spec = makeJobSpec(new ClusterSimulation(1), { cpus: 1, ...over });
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

const grantOn = (id: number, exitedTasks?: number[]): Grant => ({
  id,
  jobId: 'wk-1',
  team: 'red',
  machine: `m${id}`,
  zone: 'a',
  workerEpoch: 1,
  ...(exitedTasks && { exitedTasks }),
});

function placed(of: OwnedJob, grants: Grant[]): [number, number][] {
  const usage = new TeamUsage(
    new Map([['red', { name: 'red', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 }]]),
  );
  const tasks: [number, number][] = [];
  assignGrants(of, grants, {
    usage,
    nowMs: 0,
    place: (grant, taskIndex) => tasks.push([grant.id, taskIndex]),
  });
  return tasks;
}

test('an owner gives no task to a machine that lists an ended attempt of it', () => {
  const gangOfThree = owned({ kind: 'gang', taskCount: 3 });
  const tasks = placed(gangOfThree, [grantOn(1, [0, 1]), grantOn(2, [0]), grantOn(3)]);
  expect(tasks.sort()).toEqual([
    [1, 2],
    [2, 1],
    [3, 0],
  ]);
  expect(placed(owned({ kind: 'gang', taskCount: 2 }), [grantOn(1, [0]), grantOn(2, [0])])).toEqual([]);
  const array = owned({ taskCount: 3 });
  expect(placed(array, [grantOn(1, [0, 1])])).toEqual([[1, 2]]);
  // What was passed over is still there.
  expect(placed(array, [grantOn(2), grantOn(3)]).map(([, taskIndex]) => taskIndex)).toEqual([0, 1]);
  const last = owned({ taskCount: 1 });
  expect(placed(last, [grantOn(1, [0])])).toEqual([]);
  expect([...last.avoidedMachines.keys()]).toEqual(['m1']);
  expect(placed(last, [grantOn(2)])).toEqual([[2, 0]]);
});

// ---- reports that nobody expects ------------------------------------------------------------------------

test('lists of unknown, ended and future attempts, in two phases at once, late or twice hold no gang up for good', () => {
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
  const odd = (machine: string): TaskStatus[] => [
    ...[0, 1, 2, 3].map((taskIndex) => ended('wk-gang', taskIndex, { attempt: 90 + taskIndex })),
    ended('wk-gang', 0, { attempt: 90, phase: 'saving', exitReason: null }),
    ended('wk-nobody', Number(machine.slice(3)), { phase: 'exited', exitReason: 'error' }),
  ];
  simulation.duplicatesMessages = true;
  simulation.users.submitJob(spec);
  for (let second = 0; second < 20; second++) {
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
        tasks: odd(worker.name),
      });
    }
  }
  simulation.faultsEndAt = simulation.simulator.now;
  runFor(simulation, 240_000);
  expect(simulation.violations).toEqual([]);
  expect(simulation.unfinishedJobs()).toEqual([]);
});
