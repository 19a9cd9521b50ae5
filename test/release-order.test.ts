import { expect, test } from 'vitest';
import { type QueuedJob, ReleaseOrder, type TeamLoad } from '../src/core/owner/release-order.js';
import type { JobSpec } from '../src/core/types.js';
import { job } from './standin/day.js';
import { World } from './standin/world.js';

const world = new World(31);
const load = (runningTasks: number, limit = 20): TeamLoad => ({
  runningTasks,
  maxParallel: () => limit,
  tasksAtLimit: () => limit,
});

function queued(
  id: string,
  atS: number,
  over: Partial<JobSpec> = {},
  state: Partial<QueuedJob> = {},
): QueuedJob {
  const spec = job(world, { id, at: atS * 1000, ...over });
  return { spec, order: atS, finished: 0, placed: 0, failures: 0, ...state };
}

function sortedIds(order: ReleaseOrder, jobs: QueuedJob[], nowS: number, running = 20): string[] {
  for (const { spec } of jobs) order.learn(spec);
  return order.sort(jobs, nowS * 1000, () => load(running)).map((entry) => entry.job.spec.id);
}

test('jobs of a queue that is not overloaded are released by acceptance, those that meet their aim first', () => {
  const aims = [{ kind: 'finished', cls: 'aimed', withinS: 30 }];
  const order = new ReleaseOrder(aims);
  const late = queued('late', 0, { cls: 'aimed', estimateS: 10 });
  const young = queued('young', 20, { cls: 'aimed', estimateS: 10 });
  expect(sortedIds(order, [young, late], 25)).toEqual(['young', 'late']);
  expect(sortedIds(order, [young, late], 21)).toEqual(['young', 'late']);
  expect(sortedIds(order, [young, late], 19)).toEqual(['late', 'young']);
});

test('an overloaded queue is released by response ratio, and a job that has begun in full yields', () => {
  const order = new ReleaseOrder([]);
  const huge = queued('huge', 0, { tasks: 500, estimateS: 60 }, { placed: 5 });
  const small = queued('small', 50, { tasks: 1, estimateS: 5 });
  expect(sortedIds(order, [huge, small], 55)).toEqual(['huge', 'small']);
  expect(sortedIds(order, [huge, small], 61)).toEqual(['small', 'huge']);
  // As many tasks as the limit of the team admits have begun: the rest of it is no reason to call the queue overloaded.
  const begun = queued('begun', 0, { tasks: 500, estimateS: 60 }, { finished: 10, placed: 10 });
  const fresh = queued('fresh', 250, { tasks: 30, estimateS: 50 });
  const waiting = queued('waiting', 150, { tasks: 2, estimateS: 50 });
  expect(sortedIds(order, [begun, fresh, waiting], 251)).toEqual(['waiting', 'fresh', 'begun']);
});

test('in an overloaded queue large jobs go first until they run their share of its tasks', () => {
  const order = new ReleaseOrder([]);
  const small = [1, 2, 3, 4].map((n) => queued(`small-${n}`, n, { tasks: 3, estimateS: 20 }));
  const large = queued('large', 10, { tasks: 40, estimateS: 20 });
  const running = queued('running', 0, { tasks: 2, estimateS: 20 }, { placed: 2 });
  const largeRunning = queued('large-running', 0, { tasks: 40, estimateS: 20 }, { placed: 40 });
  expect(sortedIds(order, [...small, large, running], 70)[0]).toBe('large');
  expect(sortedIds(order, [...small, large, running, largeRunning], 70)[0]).toBe('small-1');
});

test('jobs that fail on every machine do not make their queue overloaded', () => {
  const order = new ReleaseOrder([]);
  const failing = queued('failing', 0, { tasks: 10, estimateS: 60 }, { failures: 5 });
  const young = queued('young', 100, { tasks: 1, estimateS: 5 });
  expect(sortedIds(order, [young, failing], 119)).toEqual(['failing', 'young']);
});

test('small gangs begin before large ones of the same age, and large ones precede them once they have waited', () => {
  const order = new ReleaseOrder([]);
  const small = [1, 2, 3, 4].map((n) => queued(`small-${n}`, 4, { shape: 'gang', tasks: 3, estimateS: 100 }));
  const large = queued('large', 4, { shape: 'gang', tasks: 24, estimateS: 100 });
  expect(sortedIds(order, [large, ...small], 10).at(-1)).toBe('large');
  expect(sortedIds(order, [large, ...small], 70).at(-1)).toBe('large');
  expect(sortedIds(order, [large, ...small], 95)[0]).toBe('large');
});
