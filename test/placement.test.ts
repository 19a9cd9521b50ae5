/** Where tasks are placed, and which machines are rented for them. */

import { expect, test } from 'vitest';
import { RentalBackoff } from '../src/scheduler/fleet/rental-backoff.js';
import { planRentals } from '../src/scheduler/fleet/rental-planner.js';
import { ImageLocations } from '../src/scheduler/image-locations.js';
import { CLUSTER_CONFIG } from './simulation/cluster-config.js';
import { runFor } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

test('a guaranteed share preempts no more than what another team uses beyond its own guarantee', () => {
  const harness = new SchedulerHarness(5);
  // Blue (8 CPUs guaranteed) runs 9 CPUs: only one of them may be preempted, which is not enough.
  harness.sendHeartbeat([], 5, { machine: 'n', address: 'n', machineType: 'big', isSpot: true });
  harness.sendHeartbeat([]);
  const bluePlacement = {
    ...harness.placementSpec('run'),
    team: 'blue',
    priority: 3 as const,
    cpus: 1,
    memoryGb: 0.5,
  };
  for (let i = 0; i < 4; i++) harness.sendPlacement({ ...bluePlacement, jobId: `wk-b${i}` });
  harness.sendPlacement({
    ...bluePlacement,
    jobId: 'wk-b9',
    machine: 'n',
    cpus: 5,
    priority: 0,
    isService: true,
  });
  harness.sendPlacement({
    ...bluePlacement,
    jobId: 'wk-f',
    team: 'red',
    machine: 'n',
    cpus: 11,
    priority: 0,
    isService: true,
  });
  harness.sendRequests([makeResourceRequest('wk-2', { team: 'free', priority: 1, cpus: 4, memoryGb: 1 })]);
  for (let i = 0; i < 10; i++) {
    harness.sendHeartbeat([]);
    harness.sendHeartbeat([], 5, { machine: 'n', address: 'n', machineType: 'big', isSpot: true });
    harness.advance(1000);
    harness.scheduler.flush();
  }
  expect(harness.sentMessages.filter((message) => message.type === 'evict')).toEqual([]);
});

test('no more machines are rented for spread replicas than their zone may take', () => {
  const rentalBackoff = new RentalBackoff(5000, 15000);
  for (const zone of ['a', 'b'])
    for (const type of ['small', 'big'])
      if (zone === 'b') rentalBackoff.onNotFulfilled({ machineType: type, zone, isSpot: false }, 0);
  const request = makeResourceRequest('wk-1', {
    isService: true,
    priority: 0,
    spotAllowed: false,
    cpus: 4,
    zoneAllowance: {},
    defaultZoneAllowance: 4,
  });
  const input = {
    machineTypes: CLUSTER_CONFIG.machineTypes,
    rentalBackoff,
    now: 0,
    amortizationSeconds: 60,
    serviceAmortizationSeconds: 60,
    scarceZone: 'b',
    maxCalls: 4,
  };
  const first = planRentals({ ...input, unplaced: [{ request, count: 8 }], expectedCapacities: [] });
  const slots = first.reduce(
    (count, rental) =>
      count +
      rental.count *
        (CLUSTER_CONFIG.machineTypes.find((machineType) => machineType.name === rental.machineType)!.cpus /
          4),
    0,
  );
  expect(slots).toBe(4);
  const expectedCapacities = first.flatMap((rental) =>
    Array.from({ length: rental.count }, () => {
      const machineType = CLUSTER_CONFIG.machineTypes.find(
        (candidate) => candidate.name === rental.machineType,
      )!;
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
  expect(planRentals({ ...input, unplaced: [{ request, count: 8 }], expectedCapacities })).toEqual([]);
});

test('a large array starts within its time limit while small arrays keep arriving', () => {
  const simulation = new ClusterSimulation(11);
  simulation.cloud.capacity = 2;
  let submittedCount = 0;
  const submitSmallArray = () => {
    simulation.users.submitJob(
      makeJobSpec(simulation, {
        id: `wk-s${++submittedCount}`,
        taskCount: 2,
        cpus: 4,
        estimatedRunSeconds: 6,
      }),
    );
    simulation.simulator.scheduleAfter(1500, submitSmallArray);
  };
  submitSmallArray();
  simulation.simulator.run(20000);
  const large = makeJobSpec(simulation, { id: 'wk-large', taskCount: 60, cpus: 4, estimatedRunSeconds: 30 });
  simulation.users.submitJob(large);
  const submittedAt = simulation.simulator.now;
  const hasStarted = () =>
    [...simulation.workers.values()].some((worker) => worker.tasks.some((task) => task.jobId === large.id)) ||
    simulation.completedTasks.has('wk-large/0');
  while (!hasStarted() && simulation.simulator.now < submittedAt + 240000) runFor(simulation, 500);
  expect((simulation.simulator.now - submittedAt) / 1000).toBeLessThan(180);
  expect(simulation.violations).toEqual([]);
}, 60000);

test('more machines are rented for waiting work when those on order are overdue', () => {
  const harness = new SchedulerHarness(5);
  harness.rentals.isAnswered = true;
  harness.sendRequests([
    makeResourceRequest('wk-1', { isService: true, priority: 0, spotAllowed: false, cpus: 4, taskCount: 1 }),
  ]);
  const runSeconds = (seconds: number) => {
    for (let i = 0; i < seconds; i++) {
      harness.advance(1000);
      harness.scheduler.flush();
    }
  };
  runSeconds(7);
  expect(harness.rentals.count).toBe(1);
  runSeconds(13);
  expect(harness.rentals.count).toBeGreaterThan(1);
});

test('image locations learned by one leader are passed on to the next', () => {
  const locations = new ImageLocations();
  locations.add('m', 'i', 1);
  locations.add('m', 'i', 1);
  locations.add('n', 'k', 2);
  locations.removeMachine('n');
  const changes = locations.takeChanges();
  const nextLocations = new ImageLocations();
  nextLocations.apply([{ machine: 'n', image: 'old', sizeGb: 1 }], []);
  nextLocations.apply(changes.added, changes.removedMachines);
  expect([nextLocations.all(), locations.all(), locations.takeChanges()]).toEqual([
    [{ machine: 'm', image: 'i', sizeGb: 1 }],
    [{ machine: 'm', image: 'i', sizeGb: 1 }],
    { added: [], removedMachines: [] },
  ]);
});

test('a machine kept for the image of a service also counts as reserve', () => {
  const harness = new SchedulerHarness(5, { reserveReplicas: 1, maxIdleSeconds: 10 });
  const otherMachine = { machine: 'n', address: 'n' };
  const replica = { ...harness.placementSpec('run'), priority: 0 as const, isService: true, machine: 'n' };
  harness.sendHeartbeat([], 5, otherMachine);
  harness.sendPlacement(replica);
  harness.sendHeartbeat([taskStatus('running')], 5, otherMachine);
  harness.sendHeartbeat([{ ...taskStatus('exited'), exitReason: 'stopped' }], 5, otherMachine);
  harness.sendPlacement({ ...replica, desiredState: 'forget' });
  for (let i = 0; i < 30; i++) {
    harness.sendHeartbeat([], 5, otherMachine);
    harness.sendHeartbeat([]);
    harness.advance(1000);
    harness.scheduler.flush();
    for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  }
  expect(harness.deletedMachines).toEqual(['m']);
});

test('capacity reserved for urgent work is given to lower-priority work that has waited long', () => {
  const harness = new SchedulerHarness(5, { reserveBatchJobs: 4, maxIdleSeconds: 1e6 }, [
    { kind: 'wait', jobClass: 'u', withinSeconds: 1 },
  ]);
  harness.sendHeartbeat([]);
  harness.sendRequests([makeResourceRequest('wk-u', { jobClass: 'u', priority: 1, cpus: 4 })]);
  harness.grantedJobs();
  const lowPriority = makeResourceRequest('wk-low', { priority: 3, cpus: 4 });
  harness.sendRequests([lowPriority]);
  harness.scheduler.onShardMessage({
    type: 'release',
    fencingToken: 5,
    instanceId: 'o',
    tasks: [],
    grants: [1],
  });
  const runSeconds = (seconds: number) => {
    for (let i = 0; i < seconds; i++) {
      harness.sendHeartbeat([]);
      harness.advance(1000);
      harness.scheduler.flush();
    }
  };
  runSeconds(40);
  expect(harness.grantedJobs()).toEqual(['wk-u']);
  runSeconds(20);
  expect(harness.grantedJobs()).toEqual(['wk-u', 'wk-low']);
});

test('a machine that refused an attempt of a job as listed gets no further one; a higher fencing token is requested if only such are left', () => {
  const harness = new SchedulerHarness(5, { maxIdleSeconds: 1e6 });
  harness.sendHeartbeat([]);
  const endedTask = { ...taskStatus('exited'), exitReason: 'attemptListed' as const };
  harness.sendHeartbeat([endedTask]);
  harness.sendRequests([makeResourceRequest('wk-1'), makeResourceRequest('wk-2')]);
  expect(harness.grantedJobs()).toEqual(['wk-2']);
  for (let i = 0; i < 20; i++) {
    harness.sendHeartbeat([endedTask]);
    harness.advance(1000);
    harness.scheduler.flush();
  }
  expect(harness.grantedJobs()).toEqual(['wk-2']);
  expect(harness.tokenRaiseReasons.length).toBeGreaterThan(0);
  harness.sendHeartbeat([]);
  harness.advance(1000);
  expect(harness.grantedJobs()).toEqual(['wk-2', 'wk-1']);
});
