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
import { job } from './standin/day.js';
import { ownerOptions } from './standin/owner.js';
import { listed, makeWant, scheduler } from './standin/scheduler.js';
import { SHAPE, type Shape } from './standin/shape.js';
import { World } from './standin/world.js';

// Gangs: all tasks have places or none, in one zone if asked; see docs/design.md, "Gangs".

type SchedulerStandin = ReturnType<typeof scheduler>;

const gangWant = (id: string, over: object = {}) =>
  makeWant(id, {
    allOrNothing: true,
    zoneAffinity: true,
    spotAllowed: false,
    cpus: 4,
    memoryGb: 1,
    taskCount: 3,
    ...over,
  });
const lowWant = (id: string, over: object = {}) =>
  makeWant(id, { priority: 3, cpus: 1, taskCount: 20, queuePosition: 2, ...over });

/** All of these machines report, and one second passes. */
function second(t: SchedulerStandin, machines: string[], over: (name: string) => object = () => ({})): void {
  for (const machine of machines) t.report([], 5, { machine, address: machine, ...over(machine) });
  t.later(1000);
  t.k.flush();
  for (const call of t.calls.splice(0)) call.cb({ ok: false, kind: 'refused' });
}

const grantsOf = (t: SchedulerStandin, id: string) => t.grants().filter((granted) => granted === id).length;
const evicted = (t: SchedulerStandin) =>
  t.said.flatMap((message) => (message.type === 'evict' ? message.tasks : []));

test('a gang that waits keeps the machines it has gathered from lower work, and begins with the last one', () => {
  const t = scheduler(5);
  t.wants([gangWant('wk-gang'), lowWant('wk-low')]);
  for (let i = 0; i < 5; i++) second(t, ['a', 'b']);
  expect(grantsOf(t, 'wk-low')).toBe(0);
  expect(grantsOf(t, 'wk-gang')).toBe(0);
  second(t, ['a', 'b', 'c']);
  second(t, ['a', 'b', 'c']);
  expect(grantsOf(t, 'wk-gang')).toBe(3);
});

test('machines that a gang gathers are not returned as idle, and only what it lacks is rented', () => {
  const t = scheduler(5, { idle_s: 2 });
  t.rents.served = true;
  t.wants([gangWant('wk-gang')]);
  for (let i = 0; i < 12; i++) second(t, ['a', 'b']);
  expect(t.removed).toEqual([]);
  expect(t.rents.n).toBe(1);
});

test('machines of a gang are kept while the last room that it lacks is being freed', () => {
  const t = scheduler(5, { idle_s: 2 });
  t.rents.served = true;
  const runs = (machine: string) => ({
    tasks: machine === 'c' ? [{ ...listed('running'), jobId: 'wk-low' }] : [],
  });
  for (const machine of ['a', 'b', 'c']) t.report([], 5, { machine, address: machine });
  t.hold({ ...t.held('run'), jobId: 'wk-low', machine: 'c', priority: 3, cpus: 3, memoryGb: 1 });
  t.wants([gangWant('wk-gang')]);
  for (let i = 0; i < 4; i++) second(t, ['a', 'b', 'c'], runs);
  expect(evicted(t).length).toBe(1);
  t.tell('stop');
  for (let i = 0; i < 6; i++) second(t, ['a', 'b', 'c'], runs);
  expect(t.removed).toEqual([]);
});

test('of two gangs without room the first in the queue gathers: neither holds half of what both need', () => {
  const t = scheduler(5);
  t.wants([
    gangWant('wk-first', { queuePosition: 1 }),
    gangWant('wk-second', { queuePosition: 2, taskCount: 2 }),
  ]);
  for (let i = 0; i < 5; i++) second(t, ['a', 'b']);
  expect(t.grants()).toEqual([]);
  for (let i = 0; i < 2; i++) second(t, ['a', 'b', 'c']);
  expect(t.grants()).toEqual(['wk-first', 'wk-first', 'wk-first']);
});

test('lower work is stopped for a gang in one zone only', () => {
  const t = scheduler(5);
  const machines = ['a1', 'a2', 'b1'];
  const zone = (name: string) => ({ zone: name.slice(0, 1) });
  for (const machine of machines) t.report([], 5, { machine, address: machine, ...zone(machine) });
  const runs = (machine: string) => ({
    ...zone(machine),
    tasks: [{ ...listed('running'), jobId: `wk-${machine}` }],
  });
  for (const machine of machines)
    t.hold({ ...t.held('run'), jobId: `wk-${machine}`, machine, priority: 3, cpus: 2, memoryGb: 1 });
  t.wants([gangWant('wk-gang', { taskCount: 2 })]);
  for (let i = 0; i < 4; i++) second(t, machines, runs);
  expect([...new Set(evicted(t).map((task) => task.jobId))].sort()).toEqual(['wk-a1', 'wk-a2']);
});

test('no work is stopped for a guarantee while the fleet starts, and no gang before the claim has waited', () => {
  const machines = ['a', 'b', 'c'];
  /** Blue (8 guaranteed) runs 12 CPUs on three machines; red is within its guarantee and waits. */
  const evictions = (gang: boolean, booting: number, seconds: number): number => {
    const t = scheduler(5);
    for (const machine of machines) t.report([], 5, { machine, address: machine });
    const blue = { ...t.held('run'), jobId: 'wk-blue', team: 'blue', isGang: gang, cpus: 4, memoryGb: 1 };
    machines.forEach((machine, taskIndex) => t.hold({ ...blue, taskIndex, machine }));
    const runs = (machine: string) => ({
      tasks: [{ ...listed('running'), jobId: 'wk-blue', taskIndex: machines.indexOf(machine) }],
    });
    for (let i = 0; i < booting; i++)
      t.list.push({
        name: `boots-${i}`,
        address: '',
        machineType: 'big',
        zone: 'a',
        isSpot: false,
        phase: 'booting',
        ageSeconds: 0,
      });
    t.wants([makeWant('wk-red', { priority: 2, cpus: 4, spotAllowed: false, machineTypes: ['small'] })]);
    for (let i = 0; i < seconds; i++) second(t, machines, runs);
    return evicted(t).length;
  };
  // A machine of this type counts as booting for 8 s.
  expect(evictions(false, 2, 6)).toBe(0);
  expect(evictions(false, 0, 6)).toBeGreaterThan(0);
  expect(evictions(true, 0, 25)).toBe(0);
  expect(evictions(true, 0, 40)).toBeGreaterThan(0);
});

test('run times of gangs say nothing about the speed of single machines', () => {
  const t = scheduler(5);
  const all = Array.from({ length: 12 }, (_, i) => `vm-${i}`);
  for (let round = 0; round < 6; round++) {
    // Two machines are shared by gangs that run four times as long as estimated.
    const slow = (name: string) => name === 'vm-0' || name === 'vm-1';
    const id = (name: string) => (slow(name) ? `wk-gang-${round}` : `wk-${name}-${round}`);
    for (const machine of all)
      t.hold({
        ...t.held('run'),
        jobId: id(machine),
        taskIndex: all.indexOf(machine),
        machine,
        isGang: slow(machine),
      });
    const report = (machine: string, phase: 'running' | 'exited') =>
      t.report([{ ...listed(phase), jobId: id(machine), taskIndex: all.indexOf(machine) }], 5, {
        machine,
        address: machine,
      });
    for (const machine of all) t.report([], 5, { machine, address: machine });
    for (const machine of all) report(machine, 'running');
    t.later(5000);
    for (const machine of all) report(machine, slow(machine) ? 'running' : 'exited');
    t.later(15000);
    for (const machine of all) report(machine, 'exited');
  }
  const { machines } = (t.k as unknown as { state: ClusterState }).state;
  expect([...machines.values()].filter((m) => m.isQuarantined).map((m) => m.name)).toEqual([]);
});

// ---- owners -----------------------------------------------------------------------------------------

const TEAM: Team = { name: 'red', guaranteedCpus: 0, maxCpus: 40, guaranteedGpus: 0, maxGpus: 0 };

function queued(over: Partial<JobSpec>, placed = 0): QueuedJob {
  return {
    spec: job(new World(1), { acceptedAtMs: 0, ...over }),
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
  const items = specs.map((j, i) => ({
    key: `open/${j.id}/a`,
    value: jobRecord.encode({ spec: j }),
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
  const owner = new ShardOwner(ownerOptions(options));
  owner.setShards(new Map([['red', 1]]));
  owner.setLeader(1);
  owner.flush();
  owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 1 });
  return { owner, said };
}

test('an owner takes the places for a gang all or none: at its limit, from two zones, or too few', () => {
  const gang = job(new World(1), { id: 'wk-gang', kind: 'gang', taskCount: 4, cpus: 4, zoneAffinity: true });
  const other = job(new World(1), { id: 'wk-other', taskCount: 7, cpus: 4 });
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

function world(seed: number, shape: Partial<Shape>): World {
  const w = new World(seed, { ...SHAPE, ...shape });
  // No machine on which everything fails, unless a test says so.
  w.faulty.add = () => w.faulty;
  return w;
}

function until(w: World, ms: number, holds: () => boolean): void {
  const end = w.sim.now + ms;
  while (!holds() && w.sim.now < end) w.sim.run(w.sim.now + 1);
  expect(holds()).toBe(true);
}

function finish(w: World, ms = 200_000): void {
  w.quietFrom = w.sim.now;
  w.sim.run(w.sim.now + ms);
  expect(w.broken).toEqual([]);
  expect(w.unfinished()).toEqual([]);
  expect(w.service.startsAfterCancellation).toBe(0);
}

const onMachines = (w: World, id: string) =>
  [...w.workers.values()].flatMap((m) => m.tasks.filter((task) => task.job === id && m.onMachine(task)));
const running = (w: World, id: string) => onMachines(w, id).filter((task) => task.phase === 'running').length;
const leader = (w: World) => w.hosts.find((h) => w.procs.get(h)?.ctl.status().scheduler) ?? '';
const ownerHost = (w: World, team: string) =>
  w.hosts.find((h) => (w.procs.get(h)!.ctl.status().teams as string[]).includes(team)) ?? '';

const TROUBLES: Record<string, (w: World) => void> = {
  'the owner goes': (w) => w.kill(ownerHost(w, 'red'), 3000),
  'the leader goes': (w) => w.kill(leader(w), 3000),
  'all controllers go': (w) => {
    for (const host of w.hosts) w.kill(host, 2000);
  },
  'the state service goes': (w) => {
    w.state.setDown(true);
    w.sim.after(12_000, () => w.state.setDown(false));
  },
};

test.each(Object.keys(TROUBLES).flatMap((name) => [1, 2, 3].map((seed) => [name, seed] as const)))(
  'a gang stored in more than one transaction is completed or ended as %s between two of them (%i)',
  (name, seed) => {
    // Five records of 16 tasks each, where a transaction takes four changes.
    const shape = { ops: 4, valueKb: 1, capacity: 40, teams: [{ ...TEAM, maxCpus: 0 }] };
    const w = world(seed, shape);
    const gang = job(w, { kind: 'gang', taskCount: 80, cpus: 1, memoryGb: 0.5, spotAllowed: false });
    w.submit(gang);
    const stored = () => [...w.state.keys.keys()].filter((key) => key.startsWith(`place/${gang.id}/`)).length;
    until(w, 90_000, () => stored() > 0);
    expect(stored()).toBeLessThan(5);
    TROUBLES[name]!(w);
    finish(w);
  },
);

test.each([1, 2, 3, 4])(
  'a gang in one zone never begins in the other while its last attempt is unsettled (%i)',
  (seed) => {
    const w = world(seed, { capacity: 16, types: [{ ...SHAPE.types[0]!, bootSeconds: 3 }] });
    w.runMs = () => 40_000;
    const gangs = [4, 3].map((tasks) => {
      const gang = job(w, {
        kind: 'gang',
        taskCount: tasks,
        cpus: 4,
        memoryGb: 1,
        spotAllowed: false,
        zoneAffinity: true,
      });
      w.submit(gang);
      return gang.id;
    });
    until(w, 90_000, () => gangs.every((id) => running(w, id) > 0));
    // The zone of the first gang is cut off from everything else, and the leader changes meanwhile.
    const zone = [...w.workers.values()].find((m) => m.tasks.some((task) => task.job === gangs[0]))!.zone;
    const inside = [...w.workers.values()].filter((m) => m.zone === zone).map((m) => m.name);
    const outside = [...w.hosts, 'state', 'cloud'];
    for (const a of inside) for (const b of outside) w.net.cut(a, b, seed % 2 === 0 ? 'hold' : 'reset');
    w.sim.run(w.sim.now + 5000);
    w.kill(leader(w), 3000);
    w.sim.run(w.sim.now + 30_000);
    for (const a of inside) for (const b of outside) w.net.heal(a, b);
    finish(w, 300_000);
  },
);

test.each([1, 2, 3])(
  'a task of a running gang disappears or its machine hangs: the next attempt completes it (%i)',
  (seed) => {
    const w = world(seed, { capacity: 20 });
    const gang = job(w, {
      kind: 'gang',
      taskCount: 5,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      checkpointIntervalSeconds: 2,
      checkpointSaveSeconds: 1,
    });
    w.submit(gang);
    w.runMs = () => 20_000;
    until(w, 90_000, () => running(w, gang.id) === 5);
    const machine = [...w.workers.values()].find((m) => m.tasks.some((task) => task.job === gang.id))!;
    if (seed === 1) machine.hung = true;
    else w.destroy(machine.name);
    w.sim.after(15_000, () => {
      machine.hung = false;
    });
    finish(w);
  },
);

test.each([1, 2, 3])('a gang that loses a task before it has begun is not held up for good (%i)', (seed) => {
  const w = world(seed, { capacity: 20 });
  const gang = job(w, { kind: 'gang', taskCount: 5, cpus: 4, memoryGb: 1, spotAllowed: false, imageGb: 8 });
  w.submit(gang);
  const fetching = () => [...w.workers.values()].filter((m) => m.tasks.some((task) => task.job === gang.id));
  until(w, 90_000, () => fetching().length === 5);
  w.destroy(fetching()[seed]!.name);
  finish(w);
});

test.each([1, 2, 3])('a gang stopped for higher work is told as a whole in time, and saves (%i)', (seed) => {
  const w = world(seed, { capacity: 5, types: [{ ...SHAPE.types[0]!, bootSeconds: 3 }] });
  const gang = job(w, {
    kind: 'gang',
    priority: 3,
    taskCount: 4,
    cpus: 4,
    memoryGb: 1,
    spotAllowed: false,
    checkpointIntervalSeconds: 30,
    checkpointSaveSeconds: 2,
  });
  w.runMs = (id) => (id === gang.id ? 60_000 : 5000);
  w.submit(gang);
  until(w, 90_000, () => running(w, gang.id) === 4);
  w.submit(job(w, { priority: 1, taskCount: 8, cpus: 4, memoryGb: 1, spotAllowed: false }));
  until(w, 60_000, () => w.gangStops.told > 0);
  expect(onMachines(w, gang.id).some((task) => task.phase === 'saving')).toBe(true);
  w.sim.run(w.sim.now + 10_000);
  expect(w.gangStops.late).toBe(0);
  finish(w, 300_000);
});

test.each([1, 2, 3])(
  'a cancelled gang is gone in time although a machine of it can not be reached (%i)',
  (seed) => {
    const w = world(seed, { capacity: 20 });
    const gang = job(w, {
      kind: 'gang',
      taskCount: 5,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      zoneAffinity: true,
    });
    w.submit(gang);
    w.runMs = () => 100_000;
    until(w, 90_000, () => running(w, gang.id) === 5);
    const machine = [...w.workers.values()].find((m) => m.tasks.some((task) => task.job === gang.id))!;
    for (const host of w.hosts) w.net.cut(machine.name, host, 'hold');
    w.abort(gang.id);
    w.sim.run(w.sim.now + SHAPE.cancelS * 1000 + 5000);
    expect(onMachines(w, gang.id)).toEqual([]);
    for (const host of w.hosts) w.net.heal(machine.name, host);
    finish(w);
  },
);

test.each([1, 2, 3])('a gang gets round a machine on which every task fails (%i)', (seed) => {
  const w = world(seed, { capacity: 12, types: [{ ...SHAPE.types[0]!, bootSeconds: 3 }] });
  const gangs = [4, 3].map((tasks) =>
    job(w, {
      id: `wk-gang-${tasks}`,
      kind: 'gang',
      taskCount: tasks,
      cpus: 4,
      memoryGb: 1,
      spotAllowed: false,
      estimatedRunSeconds: 10,
    }),
  );
  w.runMs = () => 10_000;
  w.submit(gangs[0]!);
  until(w, 90_000, () => onMachines(w, gangs[0]!.id).length > 0);
  const bad = [...w.workers.values()].find((m) => m.tasks.some((task) => task.job === gangs[0]!.id))!;
  Set.prototype.add.call(w.faulty, bad.name);
  w.submit(gangs[1]!);
  finish(w);
});
