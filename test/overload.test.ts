import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { job } from './standin/day.js';
import { ServiceLevel } from './standin/service-level.js';
import { SHAPE, type Shape } from './standin/shape.js';
import { World } from './standin/world.js';

/** A team that may use eight CPUs, and machines enough for all of them. */
const LIMITED: Shape = {
  ...SHAPE,
  teams: [
    { name: 'red', guaranteedCpus: 8, maxCpus: 8, guaranteedGpus: 0, maxGpus: 0 },
    { name: 'free', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 },
  ],
};
const DAY_MS = 600_000;

function submitAt(w: World, ms: number, over: Partial<JobSpec>): void {
  w.sim.at(ms, () => w.submit(job(w, { acceptedAtMs: ms, ...over })));
}

test('under overload an old large array does not hold up the jobs behind it', () => {
  const w = new World(21, LIMITED);
  w.runMs = (id) => (w.jobs.get(id)?.spec.estimatedRunSeconds ?? 1) * 1000;
  // 60 tasks of 60 s take all eight places for 450 s; behind it comes twice what those places can do.
  submitAt(w, 1000, { taskCount: 60, estimatedRunSeconds: 60 });
  for (let i = 0; i < 40; i++)
    submitAt(w, 5000 + i * 10_000, { taskCount: 3 + (i % 3), estimatedRunSeconds: 25 });
  w.sim.run(DAY_MS);
  expect(w.broken).toEqual([]);
  expect(w.underServed()).toEqual([]);
});

test('under overload at least half of the largest jobs of a class begin within four minutes', () => {
  const teams = [{ name: 'red', guaranteedCpus: 24, maxCpus: 24, guaranteedGpus: 0, maxGpus: 0 }];
  const w = new World(25, { ...LIMITED, teams });
  w.runMs = (id, index) => (w.jobs.get(id)?.spec.estimatedRunSeconds ?? 1) * (600 + ((index * 7919) % 900));
  // Sizes and run times spread as those of real classes are: a few jobs have most of the work.
  for (let i = 0; i < 30; i++) {
    const tasks = Math.min(90, Math.round(12 / (1 - w.sim.random()) ** 0.9));
    submitAt(w, 1000 + i * 14_000, {
      taskCount: tasks,
      estimatedRunSeconds: 12 / (1 - w.sim.random()) ** 0.6,
    });
  }
  w.sim.run(700_000);
  expect(w.broken).toEqual([]);
  expect(w.underServed()).toEqual([]);
});

test('the many small jobs of a team begin beside its one huge array', () => {
  const w = new World(23, { ...LIMITED, capacity: 2 });
  w.runMs = () => 4000;
  submitAt(w, 1000, { team: 'free', jobClass: 'huge', priority: 3, taskCount: 6000, estimatedRunSeconds: 4 });
  for (let i = 0; i < 150; i++)
    submitAt(w, 10_000 + i * 1000, {
      team: 'free',
      jobClass: 'small',
      priority: 3,
      taskCount: 1,
      estimatedRunSeconds: 4,
    });
  w.sim.run(250_000);
  expect(w.broken).toEqual([]);
  const small = w.underServed().filter((text) => text.includes('small'));
  expect(small).toEqual([]);
});

test('the checker sees a class, a team and the largest jobs of a class of which under half is served', () => {
  const teams = LIMITED.teams;
  const level = new ServiceLevel(teams);
  const w = new World(24, LIMITED);
  const add = (id: string, over: Partial<JobSpec>) => level.submitted(job(w, { id, ...over }), 0);
  add('a', { jobClass: 'half', taskCount: 1 });
  add('b', { jobClass: 'half', taskCount: 1 });
  add('c', { jobClass: 'none', taskCount: 2, team: 'free' });
  level.started('a', 0, 1000);
  level.started('c', 0, 1000);
  const all = () => level.underServed(() => false);
  expect(all()).toEqual([
    'team free: 0 of 1 served',
    'class none: 0 of 1 served',
    'largest of none: 0 of 1 served',
  ]);
  level.started('c', 1, 250_000);
  expect(all()).toEqual(['largest of none: 0 of 1 served']);
  expect(level.underServed((id) => id === 'c')).toEqual([]);
  // More tasks than the limit of the team admits at a time need not all have begun.
  add('d', { jobClass: 'wide', taskCount: 30 });
  for (let i = 0; i < 8; i++) level.started('d', i, 5000);
  expect(all()).toEqual(['largest of none: 0 of 1 served']);
});
