/** The order in which the jobs of a queue are released. */

import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { type QueuedJob, ReleaseQueue, type TeamLoad } from '../src/shard/release-queue.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';

const simulation = new ClusterSimulation(31);
const teamLoad = (runningTasks: number, limit = 20): TeamLoad => ({
  placedBatchTasks: runningTasks,
  maxParallelTasks: () => limit,
  tasksAtQuota: () => limit,
});

function queuedJob(
  id: string,
  atS: number,
  overrides: Partial<JobSpec> = {},
  state: Partial<QueuedJob> = {},
): QueuedJob {
  const spec = makeJobSpec(simulation, { id, acceptedAtMs: atS * 1000, ...overrides });
  return { spec, acceptedRevision: atS, finishedTasks: 0, placedTasks: 0, failures: 0, ...state };
}

function sortedIds(queue: ReleaseQueue, jobs: QueuedJob[], nowS: number, runningTasks = 20): string[] {
  for (const { spec } of jobs) queue.recordSize(spec);
  return queue.sort(jobs, nowS * 1000, () => teamLoad(runningTasks)).map((entry) => entry.job.spec.id);
}

test('a queue that is not overloaded is released in order of acceptance, jobs that can still meet their objective first', () => {
  const objectives = [{ kind: 'finished', jobClass: 'aimed', withinSeconds: 30 }];
  const queue = new ReleaseQueue(objectives);
  const late = queuedJob('late', 0, { jobClass: 'aimed', estimatedRunSeconds: 10 });
  const young = queuedJob('young', 20, { jobClass: 'aimed', estimatedRunSeconds: 10 });
  expect(sortedIds(queue, [young, late], 25)).toEqual(['young', 'late']);
  expect(sortedIds(queue, [young, late], 21)).toEqual(['young', 'late']);
  expect(sortedIds(queue, [young, late], 19)).toEqual(['late', 'young']);
});

test('an overloaded queue is released by response ratio, and a job with as many tasks as the quota admits goes last', () => {
  const queue = new ReleaseQueue([]);
  const huge = queuedJob('huge', 0, { taskCount: 500, estimatedRunSeconds: 60 }, { placedTasks: 5 });
  const small = queuedJob('small', 50, { taskCount: 1, estimatedRunSeconds: 5 });
  expect(sortedIds(queue, [huge, small], 55)).toEqual(['huge', 'small']);
  expect(sortedIds(queue, [huge, small], 61)).toEqual(['small', 'huge']);
  // The first job has started as many tasks as its team's quota admits: its remaining tasks do not make the
  // queue overloaded.
  const begun = queuedJob(
    'begun',
    0,
    { taskCount: 500, estimatedRunSeconds: 60 },
    { finishedTasks: 10, placedTasks: 10 },
  );
  const fresh = queuedJob('fresh', 250, { taskCount: 30, estimatedRunSeconds: 50 });
  const waiting = queuedJob('waiting', 150, { taskCount: 2, estimatedRunSeconds: 50 });
  expect(sortedIds(queue, [begun, fresh, waiting], 251)).toEqual(['waiting', 'fresh', 'begun']);
});

test('in an overloaded queue large jobs go first until they run their share of its tasks', () => {
  const queue = new ReleaseQueue([]);
  const small = [1, 2, 3, 4].map((count) =>
    queuedJob(`small-${count}`, count, { taskCount: 3, estimatedRunSeconds: 20 }),
  );
  const large = queuedJob('large', 10, { taskCount: 40, estimatedRunSeconds: 20 });
  const running = queuedJob('running', 0, { taskCount: 2, estimatedRunSeconds: 20 }, { placedTasks: 2 });
  const largeRunning = queuedJob(
    'large-running',
    0,
    { taskCount: 40, estimatedRunSeconds: 20 },
    { placedTasks: 40 },
  );
  expect(sortedIds(queue, [...small, large, running], 70)[0]).toBe('large');
  expect(sortedIds(queue, [...small, large, running, largeRunning], 70)[0]).toBe('small-1');
});

test('jobs that fail on every machine do not make their queue overloaded', () => {
  const queue = new ReleaseQueue([]);
  const failing = queuedJob('failing', 0, { taskCount: 10, estimatedRunSeconds: 60 }, { failures: 5 });
  const young = queuedJob('young', 100, { taskCount: 1, estimatedRunSeconds: 5 });
  expect(sortedIds(queue, [young, failing], 119)).toEqual(['failing', 'young']);
});

test('small gangs are released before large ones of the same age until the large ones have waited long', () => {
  const queue = new ReleaseQueue([]);
  const small = [1, 2, 3, 4].map((count) =>
    queuedJob(`small-${count}`, 4, { kind: 'gang', taskCount: 3, estimatedRunSeconds: 100 }),
  );
  const large = queuedJob('large', 4, { kind: 'gang', taskCount: 24, estimatedRunSeconds: 100 });
  expect(sortedIds(queue, [large, ...small], 10).at(-1)).toBe('large');
  expect(sortedIds(queue, [large, ...small], 70).at(-1)).toBe('large');
  expect(sortedIds(queue, [large, ...small], 95)[0]).toBe('large');
});
