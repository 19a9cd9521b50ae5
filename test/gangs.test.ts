import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import type { KeyValueStore } from '../src/model/key-value-store.js';
import type { Grant } from '../src/model/placement.js';
import type { ShardMessage } from '../src/model/shard-messages.js';
import type { Team } from '../src/model/team.js';
import type { ClusterState } from '../src/scheduler/cluster-state.js';
import type { QueuedJob } from '../src/shard/release-queue.js';
import { ShardOwner } from '../src/shard/shard-owner.js';
import { TeamBudget } from '../src/shard/team-budget.js';
import { TeamUsage } from '../src/shard/team-usage.js';
import { jobRecord } from '../src/store/record-codec.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './simulation/cluster-config.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';
import { shardOwnerOptions } from './simulation/shard-owner-harness.js';

// Gangs: all tasks have places or none, in one zone if asked; see docs/design.md, "Gangs".

type SchedulerStandin = SchedulerHarness;

const gangWant = (id: string, over: object = {}) =>
  makeResourceRequest(id, {
    allOrNothing: true,
    zoneAffinity: true,
    spotAllowed: false,
    cpus: 4,
    memoryGb: 1,
    taskCount: 3,
    ...over,
  });
const lowWant = (id: string, over: object = {}) =>
  makeResourceRequest(id, { priority: 3, cpus: 1, taskCount: 20, queuePosition: 2, ...over });

/** All of these machines report, and one second passes. */
function second(
  harness: SchedulerStandin,
  machines: string[],
  over: (name: string) => object = () => ({}),
): void {
  for (const machine of machines) harness.heartbeat([], 5, { machine, address: machine, ...over(machine) });
  harness.advance(1000);
  harness.scheduler.flush();
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
}

const grantsOf = (harness: SchedulerStandin, id: string) =>
  harness.grantedJobs().filter((granted) => granted === id).length;
const evicted = (harness: SchedulerStandin) =>
  harness.sentMessages.flatMap((message) => (message.type === 'evict' ? message.tasks : []));

test('a gang that waits keeps the machines it has gathered from lower work, and begins with the last one', () => {
  const harness = new SchedulerHarness(5);
  harness.sendRequests([gangWant('wk-gang'), lowWant('wk-low')]);
  for (let i = 0; i < 5; i++) second(harness, ['a', 'b']);
  expect(grantsOf(harness, 'wk-low')).toBe(0);
  expect(grantsOf(harness, 'wk-gang')).toBe(0);
  second(harness, ['a', 'b', 'c']);
  second(harness, ['a', 'b', 'c']);
  expect(grantsOf(harness, 'wk-gang')).toBe(3);
});

test('machines that a gang gathers are not returned as idle, and only what it lacks is rented', () => {
  const harness = new SchedulerHarness(5, { idle_s: 2 });
  harness.rentals.isAnswered = true;
  harness.sendRequests([gangWant('wk-gang')]);
  for (let i = 0; i < 12; i++) second(harness, ['a', 'b']);
  expect(harness.deletedMachines).toEqual([]);
  expect(harness.rentals.count).toBe(1);
});

test('machines of a gang are kept while the last room that it lacks is being freed', () => {
  const harness = new SchedulerHarness(5, { idle_s: 2 });
  harness.rentals.isAnswered = true;
  const runs = (machine: string) => ({
    tasks: machine === 'c' ? [{ ...taskStatus('running'), jobId: 'wk-low' }] : [],
  });
  for (const machine of ['a', 'b', 'c']) harness.heartbeat([], 5, { machine, address: machine });
  harness.sendPlacement({
    ...harness.placementSpec('run'),
    jobId: 'wk-low',
    machine: 'c',
    priority: 3,
    cpus: 3,
    memoryGb: 1,
  });
  harness.sendRequests([gangWant('wk-gang')]);
  for (let i = 0; i < 4; i++) second(harness, ['a', 'b', 'c'], runs);
  expect(evicted(harness).length).toBe(1);
  harness.sendDesiredState('stop');
  for (let i = 0; i < 6; i++) second(harness, ['a', 'b', 'c'], runs);
  expect(harness.deletedMachines).toEqual([]);
});

test('of two gangs without room the first in the queue gathers: neither holds half of what both need', () => {
  const harness = new SchedulerHarness(5);
  harness.sendRequests([
    gangWant('wk-first', { queuePosition: 1 }),
    gangWant('wk-second', { queuePosition: 2, taskCount: 2 }),
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
  for (const machine of machines) harness.heartbeat([], 5, { machine, address: machine, ...zone(machine) });
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
  harness.sendRequests([gangWant('wk-gang', { taskCount: 2 })]);
  for (let i = 0; i < 4; i++) second(harness, machines, runs);
  expect([...new Set(evicted(harness).map((task) => task.jobId))].sort()).toEqual(['wk-a1', 'wk-a2']);
});

test('no work is stopped for a guarantee while the fleet starts, and no gang before the claim has waited', () => {
  const machines = ['a', 'b', 'c'];
  /** Blue (8 guaranteed) runs 12 CPUs on three machines; red is within its guarantee and waits. */
  const evictions = (gang: boolean, booting: number, seconds: number): number => {
    const harness = new SchedulerHarness(5);
    for (const machine of machines) harness.heartbeat([], 5, { machine, address: machine });
    const blue = {
      ...harness.placementSpec('run'),
      jobId: 'wk-blue',
      team: 'blue',
      isGang: gang,
      cpus: 4,
      memoryGb: 1,
    };
    machines.forEach((machine, taskIndex) => harness.sendPlacement({ ...blue, taskIndex, machine }));
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
      harness.heartbeat([{ ...taskStatus(phase), jobId: id(machine), taskIndex: all.indexOf(machine) }], 5, {
        machine,
        address: machine,
      });
    for (const machine of all) harness.heartbeat([], 5, { machine, address: machine });
    for (const machine of all) report(machine, 'running');
    harness.advance(5000);
    for (const machine of all) report(machine, slow(machine) ? 'running' : 'exited');
    harness.advance(15000);
    for (const machine of all) report(machine, 'exited');
  }
  const { machines } = (harness.scheduler as unknown as { state: ClusterState }).state;
  expect([...machines.values()].filter((m) => m.isQuarantined).map((m) => m.name)).toEqual([]);
});

// ---- owners -----------------------------------------------------------------------------------------

const TEAM: Team = { name: 'red', guaranteedCpus: 0, maxCpus: 40, guaranteedGpus: 0, maxGpus: 0 };

function queued(over: Partial<JobSpec>, placed = 0): QueuedJob {
  return {
    spec: makeJobSpec(new ClusterSimulation(1), { acceptedAtMs: 0, ...over }),
    acceptedRevision: 1,
    finishedTasks: 0,
    placedTasks: placed,
    failures: 0,
  };
}

test("a gang that has waited keeps its team's limit free, and lower work keeps its share", () => {
  const usage = new TeamUsage(new Map([['red', TEAM]]));
  const gang = queued({ kind: 'gang', taskCount: 8, cpus: 4 });
  const small = queued({ kind: 'gang', taskCount: 2, cpus: 4 });
  const low = queued({ priority: 3, taskCount: 50, cpus: 1 });
  const running = queued({ priority: 2, taskCount: 5, cpus: 4 }, 5);
  usage.add(running.spec, 'granted', 5);
  const budget = (wallMs: number) => {
    const of = TeamBudget.forTeam('red', usage, [gang, small, low, running])!;
    expect(of.tasksThatFit(gang.spec)).toBe(5);
    of.reserve(gang, wallMs);
    return of;
  };
  expect(budget(89_000).tasksThatFit(small.spec)).toBe(5);
  const later = budget(91_000);
  expect(later.tasksThatFit(small.spec)).toBeLessThanOrEqual(0);
  expect(later.tasksThatFit(low.spec)).toBe(10);
  later.take(low.spec, 10);
  expect(later.tasksThatFit(low.spec)).toBe(0);
});

test('a gang that its team could never run reserves nothing', () => {
  const usage = new TeamUsage(new Map([['red', TEAM]]));
  const gang = queued({ kind: 'gang', taskCount: 11, cpus: 4 });
  const budget = TeamBudget.forTeam('red', usage, [gang])!;
  budget.reserve(gang, 100_000);
  expect(budget.tasksThatFit(queued({ taskCount: 2, cpus: 4 }).spec)).toBe(10);
});

/** An owner of team red that has loaded these jobs, with a state service that never answers a write. */
function ownerOf(specs: JobSpec[]): { owner: ShardOwner; said: ShardMessage[] } {
  const said: ShardMessage[] = [];
  const items = specs.map((spec, i) => ({
    key: `open/${spec.id}/a`,
    value: jobRecord.encode({ spec }),
    modRevision: i + 1,
  }));
  const state = {
    get: (_key, _urgency, callback) => callback({ ok: true, value: null }),
    list: ({ prefix }, callback) =>
      callback({
        ok: true,
        value: { items: prefix === 'open/' ? items : [], hasMore: false, storeRevision: 9 },
      }),
    compareAndSwap: () => {},
  } as Partial<KeyValueStore> as KeyValueStore;
  const options = {
    teams: new Map([['red', TEAM]]),
    store: state,
    send: (message: ShardMessage) => said.push(message),
  };
  const owner = new ShardOwner(shardOwnerOptions(options));
  owner.setShards(new Map([['red', 1]]));
  owner.setLeader(1);
  owner.flush();
  owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 1 });
  return { owner, said };
}

test('an owner takes the places for a gang all or none: at its limit, from two zones, or too few', () => {
  const gang = makeJobSpec(new ClusterSimulation(1), {
    id: 'wk-gang',
    kind: 'gang',
    taskCount: 4,
    cpus: 4,
    zoneAffinity: true,
  });
  const other = makeJobSpec(new ClusterSimulation(1), { id: 'wk-other', taskCount: 7, cpus: 4 });
  const grants = (id: string, n: number, zoneOf: (i: number) => string = () => 'a', from = 1): Grant[] =>
    Array.from({ length: n }, (_, i) => ({
      id: from + i,
      jobId: id,
      team: 'red',
      machine: `m${from + i}`,
      zone: zoneOf(i),
      agentEpoch: 1,
    }));
  const cases: { name: string; taken: Grant[]; gang: Grant[]; placed: number }[] = [
    { name: 'room', taken: [], gang: grants('wk-gang', 4), placed: 4 },
    { name: 'too few', taken: [], gang: grants('wk-gang', 3), placed: 0 },
    { name: 'two zones', taken: [], gang: grants('wk-gang', 4, (i) => (i < 2 ? 'a' : 'b')), placed: 0 },
    { name: 'limit', taken: grants('wk-other', 7, () => 'a', 10), gang: grants('wk-gang', 4), placed: 7 },
  ];
  for (const { name, taken, gang: offered, placed } of cases) {
    const { owner, said } = ownerOf([gang, other]);
    owner.onLeaderMessage({ type: 'grants', fencingToken: 1, grants: taken });
    owner.onLeaderMessage({ type: 'grants', fencingToken: 1, grants: offered });
    expect([name, owner.stats().placed]).toEqual([name, placed]);
    owner.flush();
    const dropped = said.flatMap((message) => (message.type === 'release' ? message.grants : []));
    expect([name, dropped.length]).toEqual([name, name === 'room' ? 0 : offered.length]);
  }
});

// ---- whole worlds, with the rules checked after each step ----------------------------------------------

function world(seed: number, shape: Partial<ClusterConfig>): ClusterSimulation {
  const simulation = new ClusterSimulation(seed, { ...CLUSTER_CONFIG, ...shape });
  // No machine on which everything fails, unless a test says so.
  simulation.faultyMachines.add = () => simulation.faultyMachines;
  return simulation;
}

function until(simulation: ClusterSimulation, ms: number, holds: () => boolean): void {
  const end = simulation.simulator.now + ms;
  while (!holds() && simulation.simulator.now < end) simulation.simulator.run(simulation.simulator.now + 1);
  expect(holds()).toBe(true);
}

function finish(simulation: ClusterSimulation, ms = 200_000): void {
  simulation.faultsEndAt = simulation.simulator.now;
  simulation.simulator.run(simulation.simulator.now + ms);
  expect(simulation.violations).toEqual([]);
  expect(simulation.unfinishedJobs()).toEqual([]);
  expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
}

const onMachines = (simulation: ClusterSimulation, id: string) =>
  [...simulation.workers.values()].flatMap((worker) =>
    worker.tasks.filter((task) => task.jobId === id && worker.occupies(task)),
  );
const running = (simulation: ClusterSimulation, id: string) =>
  onMachines(simulation, id).filter((task) => task.phase === 'running').length;
const leader = (simulation: ClusterSimulation) =>
  simulation.nodeNames.find(
    (nodeName) => simulation.controllers.get(nodeName)?.controller.status().scheduler,
  ) ?? '';
const ownerHost = (simulation: ClusterSimulation, team: string) =>
  simulation.nodeNames.find((nodeName) =>
    (simulation.controllers.get(nodeName)!.controller.status().teams as string[]).includes(team),
  ) ?? '';

const TROUBLES: Record<string, (simulation: ClusterSimulation) => void> = {
  'the owner goes': (simulation) => simulation.controllers.crash(ownerHost(simulation, 'red'), 3000),
  'the leader goes': (simulation) => simulation.controllers.crash(leader(simulation), 3000),
  'all controllers go': (simulation) => {
    for (const nodeName of simulation.nodeNames) simulation.controllers.crash(nodeName, 2000);
  },
  'the state service goes': (simulation) => {
    simulation.store.setDown(true);
    simulation.simulator.scheduleAfter(12_000, () => simulation.store.setDown(false));
  },
};

test.each(Object.keys(TROUBLES).flatMap((name) => [1, 2, 3].map((seed) => [name, seed] as const)))(
  'a gang stored in more than one transaction is completed or ended as %s between two of them (%i)',
  (name, seed) => {
    // Five records of 16 tasks each, where a transaction takes four changes.
    const config = {
      maxTransactionOperations: 4,
      maxValueKb: 1,
      machineCapacity: 40,
      teams: [{ ...TEAM, maxCpus: 0 }],
    };
    const simulation = world(seed, config);
    const gang = makeJobSpec(simulation, {
      kind: 'gang',
      taskCount: 80,
      cpus: 1,
      memoryGb: 0.5,
      spotAllowed: false,
    });
    simulation.users.submitJob(gang);
    const stored = () =>
      [...simulation.store.records.keys()].filter((key) => key.startsWith(`place/${gang.id}/`)).length;
    until(simulation, 90_000, () => stored() > 0);
    expect(stored()).toBeLessThan(5);
    TROUBLES[name]!(simulation);
    finish(simulation);
  },
);

test.each([1, 2, 3, 4])(
  'a gang in one zone never begins in the other while its last attempt is unsettled (%i)',
  (seed) => {
    const simulation = world(seed, {
      machineCapacity: 16,
      machineTypes: [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 3 }],
    });
    simulation.runDurationMs = () => 40_000;
    const gangs = [4, 3].map((tasks) => {
      const gang = makeJobSpec(simulation, {
        kind: 'gang',
        taskCount: tasks,
        cpus: 4,
        memoryGb: 1,
        spotAllowed: false,
        zoneAffinity: true,
      });
      simulation.users.submitJob(gang);
      return gang.id;
    });
    until(simulation, 90_000, () => gangs.every((id) => running(simulation, id) > 0));
    // The zone of the first gang is cut off from everything else, and the leader changes meanwhile.
    const zone = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gangs[0]),
    )!.zone;
    const inside = [...simulation.workers.values()]
      .filter((worker) => worker.zone === zone)
      .map((worker) => worker.name);
    const outside = [...simulation.nodeNames, 'state', 'cloud'];
    for (const a of inside)
      for (const b of outside) simulation.network.cut(a, b, seed % 2 === 0 ? 'hold' : 'reset');
    simulation.simulator.run(simulation.simulator.now + 5000);
    simulation.controllers.crash(leader(simulation), 3000);
    simulation.simulator.run(simulation.simulator.now + 30_000);
    for (const a of inside) for (const b of outside) simulation.network.heal(a, b);
    finish(simulation, 300_000);
  },
);

test.each([1, 2, 3])(
  'a task of a running gang disappears or its machine hangs: the next attempt completes it (%i)',
  (seed) => {
    const simulation = world(seed, { machineCapacity: 20 });
    const gang = makeJobSpec(simulation, {
      kind: 'gang',
      taskCount: 5,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      checkpointIntervalSeconds: 2,
      checkpointSaveSeconds: 1,
    });
    simulation.users.submitJob(gang);
    simulation.runDurationMs = () => 20_000;
    until(simulation, 90_000, () => running(simulation, gang.id) === 5);
    const machine = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gang.id),
    )!;
    if (seed === 1) machine.isHung = true;
    else simulation.machines.destroy(machine.name);
    simulation.simulator.scheduleAfter(15_000, () => {
      machine.isHung = false;
    });
    finish(simulation);
  },
);

test.each([1, 2, 3])('a gang that loses a task before it has begun is not held up for good (%i)', (seed) => {
  const simulation = world(seed, { machineCapacity: 20 });
  const gang = makeJobSpec(simulation, {
    kind: 'gang',
    taskCount: 5,
    cpus: 4,
    memoryGb: 1,
    spotAllowed: false,
    imageGb: 8,
  });
  simulation.users.submitJob(gang);
  const fetching = () =>
    [...simulation.workers.values()].filter((worker) => worker.tasks.some((task) => task.jobId === gang.id));
  until(simulation, 90_000, () => fetching().length === 5);
  simulation.machines.destroy(fetching()[seed]!.name);
  finish(simulation);
});

test.each([1, 2, 3])('a gang stopped for higher work is told as a whole in time, and saves (%i)', (seed) => {
  const simulation = world(seed, {
    machineCapacity: 5,
    machineTypes: [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 3 }],
  });
  const gang = makeJobSpec(simulation, {
    kind: 'gang',
    priority: 3,
    taskCount: 4,
    cpus: 4,
    memoryGb: 1,
    spotAllowed: false,
    checkpointIntervalSeconds: 30,
    checkpointSaveSeconds: 2,
  });
  simulation.runDurationMs = (id) => (id === gang.id ? 60_000 : 5000);
  simulation.users.submitJob(gang);
  until(simulation, 90_000, () => running(simulation, gang.id) === 4);
  simulation.users.submitJob(
    makeJobSpec(simulation, { priority: 1, taskCount: 8, cpus: 4, memoryGb: 1, spotAllowed: false }),
  );
  until(simulation, 60_000, () => simulation.machines.gangStops.signalled > 0);
  expect(onMachines(simulation, gang.id).some((task) => task.phase === 'saving')).toBe(true);
  simulation.simulator.run(simulation.simulator.now + 10_000);
  expect(simulation.machines.gangStops.late).toBe(0);
  finish(simulation, 300_000);
});

test.each([1, 2, 3])(
  'a cancelled gang is gone in time although a machine of it can not be reached (%i)',
  (seed) => {
    const simulation = world(seed, { machineCapacity: 20 });
    const gang = makeJobSpec(simulation, {
      kind: 'gang',
      taskCount: 5,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      zoneAffinity: true,
    });
    simulation.users.submitJob(gang);
    simulation.runDurationMs = () => 100_000;
    until(simulation, 90_000, () => running(simulation, gang.id) === 5);
    const machine = [...simulation.workers.values()].find((worker) =>
      worker.tasks.some((task) => task.jobId === gang.id),
    )!;
    for (const nodeName of simulation.nodeNames) simulation.network.cut(machine.name, nodeName, 'hold');
    simulation.users.cancelJob(gang.id);
    simulation.simulator.run(simulation.simulator.now + CLUSTER_CONFIG.cancellationSeconds * 1000 + 5000);
    expect(onMachines(simulation, gang.id)).toEqual([]);
    for (const nodeName of simulation.nodeNames) simulation.network.heal(machine.name, nodeName);
    finish(simulation);
  },
);

test.each([1, 2, 3])('a gang gets round a machine on which every task fails (%i)', (seed) => {
  const simulation = world(seed, {
    machineCapacity: 12,
    machineTypes: [{ ...CLUSTER_CONFIG.machineTypes[0]!, bootSeconds: 3 }],
  });
  const gangs = [4, 3].map((tasks) =>
    makeJobSpec(simulation, {
      id: `wk-gang-${tasks}`,
      kind: 'gang',
      taskCount: tasks,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      estimatedRunSeconds: 10,
    }),
  );
  simulation.runDurationMs = () => 10_000;
  simulation.users.submitJob(gangs[0]!);
  until(simulation, 90_000, () => onMachines(simulation, gangs[0]!.id).length > 0);
  const bad = [...simulation.workers.values()].find((worker) =>
    worker.tasks.some((task) => task.jobId === gangs[0]!.id),
  )!;
  Set.prototype.add.call(simulation.faultyMachines, bad.name);
  simulation.users.submitJob(gangs[1]!);
  finish(simulation);
});
