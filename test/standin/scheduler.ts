import { ImageFacts } from '../../src/core/images.js';
import type { Policy } from '../../src/core/policy.js';
import { Scheduler } from '../../src/core/scheduler.js';
import type {
  Held,
  ListedMachine,
  Objective,
  Result,
  SchedulerMsg,
  TaskReport,
  Want,
  WorkerCommand,
  WorkerReport,
} from '../../src/core/types.js';
import { SHAPE } from './shape.js';

/** A scheduler alone, with hand-made reports and a worker whose answers the test decides on. */
export function scheduler(token: number, policy: Partial<Policy> = {}, objectives: Objective[] = []) {
  let now = 0;
  const said: SchedulerMsg[] = [];
  const calls: { cmds: WorkerCommand[]; cb: (r: Result<WorkerReport>) => void }[] = [];
  const raised: string[] = [];
  const removed: string[] = [];
  const resigned: string[] = [];
  const siblings = { n: 0 };
  /** Jobs known to be stored as cancelled, whatever their owner has read. */
  const cancelled = new Set<string>();
  /** Machines rented and deleted: the cloud answers only if a test says so; none rented comes up by itself. */
  const rents = { served: false, n: 0 };
  const list: ListedMachine[] = [];
  const k = new Scheduler({
    inst: 'a',
    token,
    teams: new Map(SHAPE.teams.map((t) => [t.name, t])),
    workers: { reportS: 2, leaseS: 20, cancelS: 40 },
    listLagS: 3,
    cloudRps: 5,
    images: new ImageFacts(),
    objectives,
    first: true,
    clock: { now: () => now, wall: () => now, after: () => () => {}, soon: () => {}, random: () => 0 },
    log: { debug: () => {}, info: () => {}, error: () => {} },
    cloud: {
      types: () => {},
      rent: (claim, _type, _zone, _spot, n, cb) => {
        if (!rents.served) return;
        rents.n += n;
        cb({ ok: true, value: Array.from({ length: n }, (_, i) => `${claim}-${i}`) });
      },
      remove: (names, cb) => {
        removed.push(...names);
        if (rents.served) cb({ ok: true, value: null });
      },
      list: (_s, cb) => cb({ ok: true, value: { machines: list, more: false } }),
    },
    worker: { commands: (_a, _t, _s, cmds, cb) => calls.push({ cmds, cb }) },
    types: () => SHAPE.types,
    policy: () => ({
      reserve_replicas: 0,
      reserve_batch: 0,
      idle_s: 60,
      amortize_s: 60,
      amortize_service_s: 60,
      boot_patience: 3,
      silent_s: 60,
      silent_share: 0.5,
      batch_tasks: 10,
      parting_s: 30,
      patience_s: 10,
      ...policy,
    }),
    entitled: () => true,
    send: (_i, m) => said.push(m),
    wake: () => {},
    deposed: () => {},
    inherited: () => null,
    isCancelled: (id) => cancelled.has(id),
    told: (at) => ({ since: at, at: Number.NEGATIVE_INFINITY }),
    siblings: () => siblings.n,
    resign: (why) => resigned.push(why),
    raise: (why) => raised.push(why),
  });
  k.setOwners(new Map(SHAPE.teams.map((t) => [t.name, { inst: 'o', gen: 1 }])));
  k.fromOwner({
    type: 'sync',
    token,
    inst: 'o',
    sync: 1,
    parts: 1,
    part: 0,
    gens: { red: 1, blue: 1, free: 1 },
    held: [],
    wants: [],
  });
  let tally = 0;
  /** The owner follows the leader's marks, unless a test says that it does not. */
  const owner = { follows: true, told: 0 };
  const cover = () => {
    if (!owner.follows) return;
    const gens = { red: 1, blue: 1, free: 1 };
    k.fromOwner({ type: 'covered', token, inst: 'o', sync: 1, n: owner.told, gens, mark: now });
  };
  cover();
  const report = (tasks: TaskReport[], seen = token, over: Partial<WorkerReport> = {}) => {
    cover();
    const a = k.report({
      machine: 'm',
      addr: 'm',
      type: 'small',
      zone: 'a',
      spot: false,
      season: 1,
      tally: ++tally,
      token: seen,
      noticeS: null,
      tasks,
      ...over,
    });
    return a === 'later' ? null : a;
  };
  const held = (want: Held['want']): Held => ({
    job: 'wk-1',
    idx: 0,
    attempt: 1,
    machine: 'm',
    season: 1,
    want,
    graceS: 0,
    team: 'red',
    rank: 2,
    gang: false,
    service: false,
    cpus: 1,
    gpus: 0,
    mem: 1,
    image: 'i',
    imageGb: 1,
    estimateS: 5,
    types: null,
    spread: false,
    grant: 0,
  });
  const hold = (h: Held) => {
    k.fromOwner({ type: 'held', token, inst: 'o', held: [h] });
    owner.told++;
    k.flush();
  };
  const tell = (want: Held['want']) => hold(held(want));
  const wants = (list: Want[]) => k.fromOwner({ type: 'wants', token, inst: 'o', wants: list });
  const settled = () => {
    k.flush();
    return said.some((m) => m.type === 'seen' && m.seen.some((s) => s.type === 'settled'));
  };
  const later = (ms: number) => {
    now += ms;
    cover();
    k.tick();
  };
  const grants = () => {
    k.flush();
    return said.flatMap((m) => (m.type === 'grants' ? m.grants.map((g) => g.job) : []));
  };
  return {
    k,
    said,
    calls,
    report,
    held,
    hold,
    owner,
    cancelled,
    tell,
    wants,
    settled,
    later,
    raised,
    resigned,
    siblings,
    rents,
    removed,
    list,
    grants,
  };
}
export const listed = (phase: 'running' | 'exited'): TaskReport => ({
  job: 'wk-1',
  idx: 0,
  attempt: 1,
  phase,
  why: phase === 'exited' ? 'done' : null,
  saved: false,
});

export const makeWant = (id: string, over: Partial<Want> = {}): Want => ({
  job: id,
  team: 'red',
  cls: 'c',
  rank: 2,
  order: 1,
  stage: 0,
  count: 1,
  whole: false,
  service: false,
  cpus: 1,
  gpus: 0,
  mem: 1,
  image: 'i',
  imageGb: 1,
  estimateS: 5,
  types: null,
  spot: true,
  zone: null,
  together: false,
  zoneRoom: null,
  zoneCap: 1,
  avoid: [],
  near: '',
  patienceS: null,
  aimS: null,
  slackS: null,
  seen: 0,
  ...over,
});
