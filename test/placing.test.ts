import { expect, test } from 'vitest';
import { RentalBackoff } from '../src/scheduler/fleet/rental-backoff.js';
import { planRentals } from '../src/scheduler/fleet/rental-planner.js';
import { ImageLocations } from '../src/scheduler/image-locations.js';
import { job } from './standin/day.js';
import { listed, makeWant, scheduler } from './standin/scheduler.js';
import { SHAPE } from './standin/shape.js';
import { World } from './standin/world.js';

test('a guarantee claims no more than what another team has beyond its own', () => {
  const t = scheduler(5);
  // Blue (8 guaranteed) runs 9 CPUs: only one of them may be stopped, and one is not enough.
  t.report([], 5, { machine: 'n', address: 'n', machineType: 'big', isSpot: true });
  t.report([]);
  const blue = { ...t.held('run'), team: 'blue', priority: 3 as const, cpus: 1, memoryGb: 0.5 };
  for (let i = 0; i < 4; i++) t.hold({ ...blue, jobId: `wk-b${i}` });
  t.hold({ ...blue, jobId: 'wk-b9', machine: 'n', cpus: 5, priority: 0, isService: true });
  t.hold({ ...blue, jobId: 'wk-f', team: 'red', machine: 'n', cpus: 11, priority: 0, isService: true });
  t.wants([makeWant('wk-2', { team: 'free', priority: 1, cpus: 4, memoryGb: 1 })]);
  for (let i = 0; i < 10; i++) {
    t.report([]);
    t.report([], 5, { machine: 'n', address: 'n', machineType: 'big', isSpot: true });
    t.later(1000);
    t.k.flush();
  }
  expect(t.said.filter((message) => message.type === 'evict')).toEqual([]);
});

test('machines for spread replicas are not rented again and again where they may not go', () => {
  const capacity = new RentalBackoff(5000, 15000);
  for (const zone of ['a', 'b'])
    for (const type of ['small', 'big'])
      if (zone === 'b') capacity.onRefused({ machineType: type, zone, isSpot: false }, 0);
  const request = makeWant('wk-1', {
    isService: true,
    priority: 0,
    spotAllowed: false,
    cpus: 4,
    zoneAllowance: {},
    maxTasksPerZone: 4,
  });
  const input = {
    machineTypes: SHAPE.types,
    rentalBackoff: capacity,
    now: 0,
    amortizationSeconds: 60,
    serviceAmortizationSeconds: 60,
    scarceZone: 'b',
    maxCalls: 4,
  };
  const first = planRentals({ ...input, unplaced: [{ request: request, count: 8 }], expectedCapacities: [] });
  const slots = first.reduce(
    (n, rental) =>
      n +
      rental.count * (SHAPE.types.find((machineType) => machineType.name === rental.machineType)!.cpus / 4),
    0,
  );
  expect(slots).toBe(4);
  const coming = first.flatMap((rental) =>
    Array.from({ length: rental.count }, () => {
      const machineType = SHAPE.types.find((x) => x.name === rental.machineType)!;
      return {
        machineName: '',
        machineType: machineType.name,
        zone: rental.zone,
        isSpot: false,
        cpus: machineType.cpus,
        gpus: 0,
        memoryGb: machineType.memoryGb,
        totalCpus: machineType.cpus,
        images: null,
        imageFetchGbPerSecond: 1,
        penaltySeconds: 0,
        reservation: null,
        isSurplus: false,
      };
    }),
  );
  expect(
    planRentals({ ...input, unplaced: [{ request: request, count: 8 }], expectedCapacities: coming }),
  ).toEqual([]);
});

test('a large array begins within its bound while small ones keep coming', () => {
  const w = new World(11);
  w.cloud.capacity = 2;
  let n = 0;
  const small = () => {
    w.submit(job(w, { id: `wk-s${++n}`, taskCount: 2, cpus: 4, estimatedRunSeconds: 6 }));
    w.sim.after(1500, small);
  };
  small();
  w.sim.run(20000);
  const large = job(w, { id: 'wk-large', taskCount: 60, cpus: 4, estimatedRunSeconds: 30 });
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
  t.wants([makeWant('wk-1', { isService: true, priority: 0, spotAllowed: false, cpus: 4, taskCount: 1 })]);
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
  const a = new ImageLocations();
  a.learn('m', 'i', 1);
  a.learn('m', 'i', 1);
  a.learn('n', 'k', 2);
  a.forget('n');
  const n = a.takeChanges();
  const b = new ImageLocations();
  b.apply([{ machine: 'n', image: 'old', sizeGb: 1 }], []);
  b.apply(n.added, n.removedMachines);
  expect([b.all(), a.all(), a.takeChanges()]).toEqual([
    [{ machine: 'm', image: 'i', sizeGb: 1 }],
    [{ machine: 'm', image: 'i', sizeGb: 1 }],
    { added: [], removedMachines: [] },
  ]);
});

test('a machine kept for the image of a service is the reserve as well', () => {
  const t = scheduler(5, { reserve_replicas: 1, idle_s: 10 });
  const n = { machine: 'n', address: 'n' };
  const replica = { ...t.held('run'), priority: 0 as const, isService: true, machine: 'n' };
  t.report([], 5, n);
  t.hold(replica);
  t.report([listed('running')], 5, n);
  t.report([{ ...listed('exited'), exitReason: 'stopped' }], 5, n);
  t.hold({ ...replica, desiredState: 'forget' });
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
  const t = scheduler(5, { reserve_batch: 4, idle_s: 1e6 }, [
    { kind: 'wait', jobClass: 'u', withinSeconds: 1 },
  ]);
  t.report([]);
  t.wants([makeWant('wk-u', { jobClass: 'u', priority: 1, cpus: 4 })]);
  t.grants();
  const low = makeWant('wk-low', { priority: 3, cpus: 4 });
  t.wants([low]);
  t.k.onShardMessage({ type: 'release', fencingToken: 5, instanceId: 'o', tasks: [], grants: [1] });
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
  const ended = { ...listed('exited'), exitReason: 'attemptListed' as const };
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
