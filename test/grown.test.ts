import { expect, test } from 'vitest';
import { Capacity, planRentals } from '../src/core/autoscale.js';
import { ImageFacts } from '../src/core/images.js';
import { Mirror } from '../src/core/mirror.js';
import type { Clock, StateEvent, StatePort, Then } from '../src/core/types.js';
import { job } from './standin/day.js';
import { keeper, listed, makeWant } from './standin/keeper.js';
import { SHAPE } from './standin/shape.js';
import { World } from './standin/world.js';

test('a machine that is heard but does not hear is given nothing, then deleted, and one that hears is kept', () => {
  const t = keeper(5);
  t.report([]);
  t.tell('run');
  for (const c of t.calls.splice(0)) c.cb({ ok: false, kind: 'refused' });
  t.report([]);
  for (let i = 0; i < 8; i++) {
    // The report that follows the answer with the start does not list it: the answer never arrived.
    t.report([]);
    t.later(1000);
    for (const c of t.calls.splice(0)) c.cb({ ok: false, kind: 'refused' });
  }
  t.wants([makeWant('wk-2')]);
  expect(t.grants()).toEqual([]);
  for (let i = 0; i < 80; i++) {
    t.report([]);
    t.later(1000);
    for (const c of t.calls.splice(0)) c.cb({ ok: false, kind: 'refused' });
  }
  expect(t.removed).toEqual(['m']);

  const u = keeper(5);
  for (let i = 0; i < 90; i++) {
    u.report([listed('running')]);
    u.later(1000);
  }
  expect(u.removed).toEqual([]);
});

test('late copies prove no life, take nothing back and settle nothing', () => {
  const t = keeper(5);
  t.report([]);
  t.report([]);
  t.tell('run');
  t.calls[0]!.cb({ ok: false, kind: 'refused' });
  t.report([], 5, { tally: 10 });
  t.report([listed('running')], 5, { tally: 11 });
  t.tell('stop');
  // With the current token, from before the start: it does not list the task, which runs.
  expect(t.report([], 5, { tally: 9 })).toEqual([]);
  expect(t.settled()).toBe(false);
  t.report([], 5, { season: 2, tally: 12 });
  expect(t.report([listed('running')], 5, { season: 1, tally: 20 })).toEqual([]);
  // Nothing but copies is heard from here on.
  for (let i = 0; i < 80; i++) {
    t.report([], 5, { season: 1, tally: 9 });
    t.later(1000);
    for (const c of t.calls.splice(0)) c.cb({ ok: false, kind: 'refused' });
  }
  expect(t.removed).toEqual(['m']);
});

test('a copy from before its election is no ground for a new keeper to place work', () => {
  const t = keeper(5);
  t.wants([makeWant('wk-2')]);
  t.report([], 4);
  expect(t.grants()).toEqual([]);
  t.later(100);
  t.report([], 5);
  expect(t.grants()).toEqual(['wk-2']);
});

test('a guarantee claims no more than what another team has beyond its own', () => {
  const t = keeper(5);
  // Blue (8 guaranteed) runs 9 CPUs: only one of them may be stopped, and one is not enough.
  t.report([], 5, { machine: 'n', addr: 'n', type: 'big', spot: true });
  t.report([]);
  const blue = { ...t.held('run'), team: 'blue', rank: 3 as const, cpus: 1, mem: 0.5 };
  for (let i = 0; i < 4; i++) t.hold({ ...blue, job: `wk-b${i}` });
  t.hold({ ...blue, job: 'wk-b9', machine: 'n', cpus: 5, rank: 0, service: true });
  t.hold({ ...blue, job: 'wk-f', team: 'red', machine: 'n', cpus: 11, rank: 0, service: true });
  t.wants([makeWant('wk-2', { team: 'free', rank: 1, cpus: 4, mem: 1 })]);
  for (let i = 0; i < 10; i++) {
    t.report([]);
    t.report([], 5, { machine: 'n', addr: 'n', type: 'big', spot: true });
    t.later(1000);
    t.k.flush();
  }
  expect(t.said.filter((m) => m.k === 'evict')).toEqual([]);
});

test('machines for spread replicas are not rented again and again where they may not go', () => {
  const capacity = new Capacity(5000, 15000);
  for (const zone of ['a', 'b'])
    for (const type of ['small', 'big']) if (zone === 'b') capacity.refused({ type, zone, spot: false }, 0);
  const want = makeWant('wk-1', { service: true, rank: 0, spot: false, cpus: 4, zoneRoom: {}, zoneCap: 4 });
  const input = {
    types: SHAPE.types,
    capacity,
    now: 0,
    amortizeS: 60,
    amortizeServiceS: 60,
    scarceZone: 'b',
    maxCalls: 4,
  };
  const first = planRentals({ ...input, left: [{ want, count: 8 }], coming: [] });
  const slots = first.reduce((n, r) => n + r.n * (SHAPE.types.find((t) => t.name === r.type)!.cpus / 4), 0);
  expect(slots).toBe(4);
  const coming = first.flatMap((r) =>
    Array.from({ length: r.n }, () => {
      const t = SHAPE.types.find((x) => x.name === r.type)!;
      return {
        name: '',
        type: t.name,
        zone: r.zone,
        spot: false,
        cpus: t.cpus,
        gpus: 0,
        mem: t.mem,
        totalCpus: t.cpus,
        images: null,
        fetchGbPerS: 1,
        penalty: 0,
        reserved: null,
        surplus: false,
      };
    }),
  );
  expect(planRentals({ ...input, left: [{ want, count: 8 }], coming })).toEqual([]);
});

test('a large array begins within its bound while small ones keep coming', () => {
  const w = new World(11);
  w.capacity = 2;
  let n = 0;
  const small = () => {
    w.submit(job(w, { id: `wk-s${++n}`, tasks: 2, cpus: 4, estimateS: 6 }));
    w.sim.after(1500, small);
  };
  small();
  w.sim.run(20000);
  const large = job(w, { id: 'wk-large', tasks: 60, cpus: 4, estimateS: 30 });
  w.submit(large);
  const at = w.sim.now;
  const begun = () =>
    [...w.workers.values()].some((x) => x.tasks.some((t) => t.job === large.id)) || w.done.has('wk-large/0');
  while (!begun() && w.sim.now < at + 240000) w.sim.run(w.sim.now + 500);
  expect((w.sim.now - at) / 1000).toBeLessThan(180);
  expect(w.broken).toEqual([]);
}, 60000);

test('one read answers all questions that waited for it, and none older than a question', () => {
  let now = 0;
  const timers: { at: number; fn: () => void }[] = [];
  const reads: { since: number; wait: number; cb: Then<{ rev: number; events: StateEvent[] }> }[] = [];
  const clock = { now: () => now, after: (ms: number, fn: () => void) => timers.push({ at: now + ms, fn }) };
  const state = {
    list: (_p: string, _s: string, _u: number, cb: Then<unknown>) =>
      cb({ ok: true, value: { items: [], more: false, rev: 5 } }),
    watch: (_p: string, since: number, wait: number, cb: Then<{ rev: number; events: StateEvent[] }>) =>
      reads.push({ since, wait, cb }),
  };
  const gone: string[] = [];
  const m = new Mirror(
    'open/',
    10000,
    0,
    state as unknown as StatePort,
    clock as unknown as Clock,
    (key, value) => value === undefined && gone.push(key),
  );
  m.start();
  const answers: string[] = [];
  const run = (ms: number) => {
    now += ms;
    for (const t of timers.splice(0)) t.at <= now ? t.fn() : timers.push(t);
  };
  const ask = (name: string) => m.fresh((ok) => answers.push(`${name} ${ok} ${m.items.size}`));
  const long = reads.shift()!;
  ask('a');
  ask('b');
  expect(reads.map((r) => r.wait)).toEqual([0]);
  ask('c');
  const put = (key: string, version: number) => ({ key, version, value: {}, gone: false });
  reads.shift()!.cb({ ok: true, value: { rev: 7, events: [put('open/x/a', 6), put('open/y/a', 7)] } });
  // c came after the read was sent: it waits for the next, though the copy is newer than before.
  expect(answers).toEqual(['a true 2']);
  run(200);
  const next = reads.find((r) => r.wait === 0)!;
  next.cb({
    ok: true,
    value: { rev: 8, events: [{ key: 'open/x/a', version: 8, value: undefined, gone: true }] },
  });
  // The long watch, sent before all this, tells of what has been dropped since: it must not come back.
  long.cb({ ok: true, value: { rev: 6, events: [put('open/x/a', 6)] } });
  expect([m.items.has('open/x/a'), gone]).toEqual([false, ['open/x/a']]);
  ask('d');
  run(200);
  reads
    .filter((r) => r.wait === 0)
    .pop()!
    .cb({ ok: false, kind: 'refused' });
  expect(answers.at(-1)).toBe('d false 1');
  // After a failure nobody waits: the next question is answered at once, and a probe goes out for it.
  ask('e');
  expect(answers.at(-1)).toBe('e false 1');
  run(200);
  reads
    .filter((r) => r.wait === 0)
    .pop()!
    .cb({ ok: true, value: { rev: 9, events: [] } });
  ask('f');
  run(200);
  reads
    .filter((r) => r.wait === 0)
    .pop()!
    .cb({ ok: true, value: { rev: 10, events: [] } });
  expect(answers.at(-1)).toBe('f true 1');
});

test('work does not wait for machines that are overdue', () => {
  const t = keeper(5);
  t.rents.served = true;
  t.wants([makeWant('wk-1', { service: true, rank: 0, spot: false, cpus: 4, count: 1 })]);
  const run = (seconds: number) => {
    for (let i = 0; i < seconds; i++) {
      t.later(1000);
      t.k.flush();
    }
  };
  run(7);
  expect(t.rents.n).toBe(1);
  run(13);
  expect(t.rents.n).toBeGreaterThan(1);
});

test('what one keeper learnt of images the next one knows', () => {
  const a = new ImageFacts();
  a.learn('m', 'i', 1);
  a.learn('m', 'i', 1);
  a.learn('n', 'k', 2);
  a.forget('n');
  const n = a.news();
  const b = new ImageFacts();
  b.take([['n', 'old', 1]], []);
  b.take(n.add, n.gone);
  expect([b.all(), a.all(), a.news()]).toEqual([[['m', 'i', 1]], [['m', 'i', 1]], { add: [], gone: [] }]);
});

test('a leader whose resignation was lost does not keep others from being elected', () => {
  const w = new World(5);
  w.sim.run(5000);
  const leads = (h: string) => w.procs.get(h)!.ctl.status().keeper !== null;
  const host = w.hosts.find(leads)!;
  const ctl = w.procs.get(host)!.ctl as unknown as {
    ledToken: number;
    resign(token: number, why: string): void;
  };
  w.state.refused.add(host);
  ctl.resign(ctl.ledToken, 'a test');
  w.sim.run(w.sim.now + 300);
  w.state.allow(host);
  expect(w.hosts.some(leads)).toBe(false);
  w.sim.run(w.sim.now + 10000);
  expect(w.hosts.filter(leads).length).toBe(1);
});

test('a machine kept for the image of a service is the reserve as well', () => {
  const t = keeper(5, { reserve_replicas: 1, idle_s: 10 });
  const n = { machine: 'n', addr: 'n' };
  const replica = { ...t.held('run'), rank: 0 as const, service: true, machine: 'n' };
  t.report([], 5, n);
  t.hold(replica);
  t.report([listed('running')], 5, n);
  t.report([{ ...listed('exited'), why: 'stopped' }], 5, n);
  t.hold({ ...replica, want: 'reap' });
  for (let i = 0; i < 30; i++) {
    t.report([], 5, n);
    t.report([]);
    t.later(1000);
    t.k.flush();
    for (const c of t.calls.splice(0)) c.cb({ ok: false, kind: 'refused' });
  }
  expect(t.removed).toEqual(['m']);
});
