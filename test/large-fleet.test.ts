import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect, test } from 'vitest';
import { Controller } from '../src/core/controller.js';
import { Owner } from '../src/core/owner/owner.js';
import type { JobSpec, OwnerMsg, StatePort, TaskReport, WorkerCommand } from '../src/core/types.js';
import { job } from './standin/day.js';
import { ownerOptions } from './standin/owner.js';
import { scheduler } from './standin/scheduler.js';
import { SHAPE } from './standin/shape.js';
import { World } from './standin/world.js';

// One leader and one owner with 4,000 machines: counts of work and bounds on memory, not times.

const MACHINES = 4000;
const HEAP_BOUND = 60 * 1024 * 1024;

type SchedulerStandin = ReturnType<typeof scheduler>;
interface Inside {
  l: {
    touched: Set<unknown>;
    machines: Map<string, { up: boolean }>;
    roomOf: (...args: unknown[]) => unknown;
  };
}
const insideOf = (t: SchedulerStandin) => t.k as unknown as Inside;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
function heapUsed(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** A state service that carries out every write at once and holds these jobs. */
function stateWith(specs: JobSpec[]): StatePort {
  let revision = 10;
  const items = specs.map((j, i) => ({ key: `open/${j.id}/a`, value: { j }, version: i + 1 }));
  return {
    get: (_key, _urgency, cb) => cb({ ok: true, value: null }),
    list: (prefix, _since, _urgency, cb) =>
      cb({ ok: true, value: { items: prefix === 'open/' ? items : [], more: false, rev: revision } }),
    txn: (_txn, _urgency, cb) => cb({ ok: true, value: ++revision }),
  } as Partial<StatePort> as StatePort;
}

function ownerWith(specs: JobSpec[], send: (m: OwnerMsg) => void): Owner {
  let now = 0;
  const clock = {
    now: () => (now += 400),
    wall: () => 1000,
    after: () => () => {},
    soon: () => {},
    random: () => 0,
  };
  const owner = new Owner(
    ownerOptions({
      teams: new Map(SHAPE.teams.map((team) => [team.name, team])),
      valueKb: 16,
      txnOps: 32,
      batch: MACHINES,
      state: stateWith(specs),
      clock,
      send,
    }),
  );
  owner.setTeams(new Map(SHAPE.teams.map((team) => [team.name, 1])));
  return owner;
}

/** A leader, the owner of all teams, and workers that run what they are told for ever. */
class Fleet {
  readonly names = Array.from({ length: MACHINES }, (_, i) => `vm-${String(i).padStart(6, '0')}`);
  readonly tasks = new Map<string, Map<string, TaskReport>>(this.names.map((name) => [name, new Map()]));
  readonly owner: Owner;
  leader = scheduler(5, { idle_s: 1e6, silent_s: 6, silent_share: 0.4 });
  messages = 0;
  private toldUpTo = 0;

  constructor(specs: JobSpec[]) {
    this.owner = ownerWith(specs, (m) => {
      this.messages++;
      this.leader.owner.told += m.type === 'held' ? 1 : 0;
      this.leader.k.fromOwner(JSON.parse(JSON.stringify(m)));
    });
    this.owner.setScheduler(5);
  }

  zoneOf(name: string): string {
    return Number(name.slice(3)) % 5 < 2 ? 'a' : 'b';
  }

  report(name: string, token: number): void {
    const tasks = this.tasks.get(name)!;
    const over = { machine: name, addr: name, zone: this.zoneOf(name) };
    const commands = this.leader.report([...tasks.values()], token, over) ?? [];
    for (const command of commands) this.execute(name, command);
  }

  private execute(name: string, { op, job: id, idx, attempt }: WorkerCommand): void {
    const tasks = this.tasks.get(name)!;
    if (op === 'start')
      tasks.set(id + idx, { job: id, idx, attempt, phase: 'running', why: null, saved: false });
    else tasks.delete(id + idx);
  }

  /** All machines, or those of some zones, report once, and messages go back and forth. */
  round(token: number, zones: string[] = ['a', 'b']): void {
    for (const name of this.names) if (zones.includes(this.zoneOf(name))) this.report(name, token);
    this.leader.later(1000);
    this.leader.k.flush();
    for (const call of this.leader.calls.splice(0)) call.cb({ ok: false, kind: 'refused' });
    const { said } = this.leader;
    for (; this.toldUpTo < said.length; this.toldUpTo++) this.owner.fromScheduler(said[this.toldUpTo]!);
    this.owner.flush();
  }

  elect(token: number): void {
    this.leader = scheduler(token, { idle_s: 1e6, silent_s: 6, silent_share: 0.4 });
    this.toldUpTo = 0;
    this.owner.setScheduler(token);
    this.owner.flush();
  }

  running(): number {
    let n = 0;
    for (const tasks of this.tasks.values()) n += tasks.size;
    return n;
  }
}

test('4,000 machines register, get work, see an election and the loss of a zone', () => {
  const array = job(new World(1), {
    team: 'free',
    tasks: MACHINES,
    cpus: 4,
    mem: 1,
    estimateS: 1000,
    spot: false,
  });
  const before = heapUsed();
  const fleet = new Fleet([array]);
  for (let i = 0; i < 8; i++) fleet.round(5);
  expect(insideOf(fleet.leader).l.machines.size).toBe(MACHINES);
  expect(fleet.running()).toBe(MACHINES);
  expect(heapUsed() - before).toBeLessThan(HEAP_BOUND);

  // A report costs by its own machine only, a pass by the machines with room: there are none.
  const { l } = insideOf(fleet.leader);
  l.touched.clear();
  fleet.report(fleet.names[7]!, 5);
  expect(l.touched.size).toBeLessThanOrEqual(1);
  let rooms = 0;
  const roomOf = l.roomOf.bind(l);
  l.roomOf = (...args) => {
    rooms++;
    return roomOf(...args);
  };
  fleet.leader.later(1000);
  fleet.leader.k.flush();
  expect(rooms).toBeLessThanOrEqual(MACHINES);

  // An election: the owner tells all it holds in parts of a bounded size, and nothing is stopped or started again.
  fleet.messages = 0;
  fleet.elect(6);
  expect(fleet.messages).toBeLessThanOrEqual(12);
  for (let i = 0; i < 6; i++) fleet.round(6);
  expect(fleet.running()).toBe(MACHINES);
  expect(fleet.leader.k.stats().entries).toBe(MACHINES);

  // A zone with most machines falls silent, and no sibling bears out that they are dead: none is deleted.
  for (let i = 0; i < 12; i++) fleet.round(6, ['a']);
  expect(fleet.leader.removed).toEqual([]);
  for (let i = 0; i < 3; i++) fleet.round(6);
  expect(fleet.running()).toBe(MACHINES);
  expect(heapUsed() - before).toBeLessThan(1.5 * HEAP_BOUND);
}, 60_000);

test('a controller names all of 4,000 machines that asked it to the leader', () => {
  const sent: number[] = [];
  const never = () => {};
  const port = new Proxy({}, { get: () => never });
  const controller = new Controller({
    host: 'c0',
    inst: 'c0.1',
    peers: ['c1'],
    teams: SHAPE.teams,
    workers: { reportS: 3, leaseS: 21, cancelS: 46 },
    state: { valueKb: 16, txnOps: 16, writeRps: 20 },
    listLagS: 3,
    cloudRps: 8,
    objectives: [],
    ttlMs: 3500,
    policy: () => ({}) as ReturnType<ConstructorParameters<typeof Controller>[0]['policy']>,
    clock: { now: () => 1e7, wall: () => 1e7, after: () => never, soon: (fn) => fn(), random: () => 0 },
    log: { debug: never, info: never, error: never },
    statePort: port as StatePort,
    cloud: port as ConstructorParameters<typeof Controller>[0]['cloud'],
    worker: port as ConstructorParameters<typeof Controller>[0]['worker'],
    mesh: { send: (_host, { body }) => body.type === 'ping' && sent.push(body.strays.length) },
  });
  (controller as unknown as { leader: object }).leader = { inst: 'c1.1', host: 'c1', token: 1 };
  for (let i = 0; i < MACHINES; i++)
    controller.report({
      machine: `vm-${i}`,
      addr: '',
      type: 'small',
      zone: 'a',
      spot: false,
      season: 1,
      tally: 1,
      token: 1,
      noticeS: null,
      tasks: [],
    });
  controller.push({ type: 'tick' });
  expect(sent).toEqual([MACHINES]);
});
