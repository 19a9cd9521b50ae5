import { expect, test } from 'vitest';
import { Capacity, planRentals } from '../src/core/autoscale.js';
import { ImageFacts } from '../src/core/images.js';
import { job } from './standin/day.js';
import { listed, makeWant, scheduler } from './standin/scheduler.js';
import { SHAPE } from './standin/shape.js';
import { World } from './standin/world.js';

test('a guarantee claims no more than what another team has beyond its own', () => {
  const t = scheduler(5);
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
  expect(t.said.filter((m) => m.type === 'evict')).toEqual([]);
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
  w.cloud.capacity = 2;
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

test('work does not wait for machines that are overdue', () => {
  const t = scheduler(5);
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

test('what one scheduler learnt of images the next one knows', () => {
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

test('a machine kept for the image of a service is the reserve as well', () => {
  const t = scheduler(5, { reserve_replicas: 1, idle_s: 10 });
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

test('room kept for urgent work is given to lower work that found none for long', () => {
  const t = scheduler(5, { reserve_batch: 4, idle_s: 1e6 }, [{ kind: 'wait', cls: 'u', withinS: 1 }]);
  t.report([]);
  t.wants([makeWant('wk-u', { cls: 'u', rank: 1, cpus: 4 })]);
  t.grants();
  const low = makeWant('wk-low', { rank: 3, cpus: 4 });
  t.wants([low]);
  t.k.fromOwner({ type: 'drop', token: 5, inst: 'o', tasks: [], grants: [1] });
  const run = (seconds: number) => {
    for (let i = 0; i < seconds; i++) {
      t.report([]);
      t.later(1000);
      t.k.flush();
    }
  };
  run(40);
  expect(t.grants()).toEqual(['wk-u']);
  run(20);
  expect(t.grants()).toEqual(['wk-u', 'wk-low']);
});

test('a machine that refused an attempt of a job for another is not given the next; a higher token is taken if only such are left', () => {
  const t = scheduler(5, { idle_s: 1e6 });
  t.report([]);
  const ended = { ...listed('exited'), why: 'busy' as const };
  t.report([ended]);
  t.wants([makeWant('wk-1'), makeWant('wk-2')]);
  expect(t.grants()).toEqual(['wk-2']);
  for (let i = 0; i < 20; i++) {
    t.report([ended]);
    t.later(1000);
    t.k.flush();
  }
  expect(t.grants()).toEqual(['wk-2']);
  expect(t.raised.length).toBeGreaterThan(0);
  t.report([]);
  t.later(1000);
  expect(t.grants()).toEqual(['wk-2', 'wk-1']);
});
