/** The order in which the jobs of a queue are released. */

import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { type QueuedJob, ReleaseQueue, type TeamLoad } from '../src/shard/release-queue.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';

const simulation = new ClusterSimulation(31);
const load = (runningTasks: number, limit = 20): TeamLoad => ({
  runningTasks,
  maxParallelTasks: () => limit,
  tasksAtQuota: () => limit,
});

function queued(
  id: string,
  atS: number,
  over: Partial<JobSpec> = {},
  state: Partial<QueuedJob> = {},
): QueuedJob {
  const spec = makeJobSpec(simulation, { id, acceptedAtMs: atS * 1000, ...over });
  return { spec, acceptedRevision: atS, finishedTasks: 0, placedTasks: 0, failures: 0, ...state };
}

function sortedIds(order: ReleaseQueue, jobs: QueuedJob[], nowS: number, running = 20): string[] {
  for (const { spec } of jobs) order.recordSize(spec);
  return order.sort(jobs, nowS * 1000, () => load(running)).map((entry) => entry.job.spec.id);
}

test('jobs of a queue that is not overloaded are released by acceptance, those that meet their objective first', () => {
  const aims = [{ kind: 'finished', jobClass: 'aimed', withinSeconds: 30 }];
  const order = new ReleaseQueue(aims);
  const late = queued('late', 0, { jobClass: 'aimed', estimatedRunSeconds: 10 });
  const young = queued('young', 20, { jobClass: 'aimed', estimatedRunSeconds: 10 });
  expect(sortedIds(order, [young, late], 25)).toEqual(['young', 'late']);
  expect(sortedIds(order, [young, late], 21)).toEqual(['young', 'late']);
  expect(sortedIds(order, [young, late], 19)).toEqual(['late', 'young']);
});

test('an overloaded queue is released by response ratio, and a job that has begun in full yields', () => {
  const order = new ReleaseQueue([]);
  const huge = queued('huge', 0, { taskCount: 500, estimatedRunSeconds: 60 }, { placedTasks: 5 });
  const small = queued('small', 50, { taskCount: 1, estimatedRunSeconds: 5 });
  expect(sortedIds(order, [huge, small], 55)).toEqual(['huge', 'small']);
  expect(sortedIds(order, [huge, small], 61)).toEqual(['small', 'huge']);
  // As many tasks as the limit of the team admits have begun: the rest of it is no reason to call the queue overloaded.
  const begun = queued(
    'begun',
    0,
    { taskCount: 500, estimatedRunSeconds: 60 },
    { finishedTasks: 10, placedTasks: 10 },
  );
  const fresh = queued('fresh', 250, { taskCount: 30, estimatedRunSeconds: 50 });
  const waiting = queued('waiting', 150, { taskCount: 2, estimatedRunSeconds: 50 });
  expect(sortedIds(order, [begun, fresh, waiting], 251)).toEqual(['waiting', 'fresh', 'begun']);
});

test('in an overloaded queue large jobs go first until they run their share of its tasks', () => {
  const order = new ReleaseQueue([]);
  const small = [1, 2, 3, 4].map((count) =>
    queued(`small-${count}`, count, { taskCount: 3, estimatedRunSeconds: 20 }),
  );
  const large = queued('large', 10, { taskCount: 40, estimatedRunSeconds: 20 });
  const running = queued('running', 0, { taskCount: 2, estimatedRunSeconds: 20 }, { placedTasks: 2 });
  const largeRunning = queued(
    'large-running',
    0,
    { taskCount: 40, estimatedRunSeconds: 20 },
    { placedTasks: 40 },
  );
  expect(sortedIds(order, [...small, large, running], 70)[0]).toBe('large');
  expect(sortedIds(order, [...small, large, running, largeRunning], 70)[0]).toBe('small-1');
});

test('jobs that fail on every machine do not make their queue overloaded', () => {
  const order = new ReleaseQueue([]);
  const failing = queued('failing', 0, { taskCount: 10, estimatedRunSeconds: 60 }, { failures: 5 });
  const young = queued('young', 100, { taskCount: 1, estimatedRunSeconds: 5 });
  expect(sortedIds(order, [young, failing], 119)).toEqual(['failing', 'young']);
});

test('small gangs begin before large ones of the same age, and large ones precede them once they have waited', () => {
  const order = new ReleaseQueue([]);
  const small = [1, 2, 3, 4].map((count) =>
    queued(`small-${count}`, 4, { kind: 'gang', taskCount: 3, estimatedRunSeconds: 100 }),
  );
  const large = queued('large', 4, { kind: 'gang', taskCount: 24, estimatedRunSeconds: 100 });
  expect(sortedIds(order, [large, ...small], 10).at(-1)).toBe('large');
  expect(sortedIds(order, [large, ...small], 70).at(-1)).toBe('large');
  expect(sortedIds(order, [large, ...small], 95)[0]).toBe('large');
});
