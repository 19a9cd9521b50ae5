/** What is served when there is more work than capacity. */

import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './simulation/cluster-config.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { ServiceLevelChecker } from './simulation/service-level-checker.js';

/** A team that may use eight CPUs, and machines enough for all of them. */
const LIMITED: ClusterConfig = {
  ...CLUSTER_CONFIG,
  teams: [
    { name: 'red', guaranteedCpus: 8, maxCpus: 8, guaranteedGpus: 0, maxGpus: 0 },
    { name: 'free', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 },
  ],
};
const RUN_MS = 600_000;

function submitAt(simulation: ClusterSimulation, ms: number, over: Partial<JobSpec>): void {
  simulation.simulator.scheduleAt(ms, () =>
    simulation.users.submitJob(makeJobSpec(simulation, { acceptedAtMs: ms, ...over })),
  );
}

test('under overload an old large array does not hold up the jobs behind it', () => {
  const simulation = new ClusterSimulation(21, LIMITED);
  simulation.runDurationMs = (id) => (simulation.jobs.get(id)?.spec.estimatedRunSeconds ?? 1) * 1000;
  // 60 tasks of 60 s take all eight places for 450 s; behind it comes twice what those places can do.
  submitAt(simulation, 1000, { taskCount: 60, estimatedRunSeconds: 60 });
  for (let i = 0; i < 40; i++)
    submitAt(simulation, 5000 + i * 10_000, { taskCount: 3 + (i % 3), estimatedRunSeconds: 25 });
  simulation.simulator.run(RUN_MS);
  expect(simulation.violations).toEqual([]);
  expect(simulation.underservedGroups()).toEqual([]);
});

test('under overload at least half of the largest jobs of a class begin within four minutes', () => {
  const teams = [{ name: 'red', guaranteedCpus: 24, maxCpus: 24, guaranteedGpus: 0, maxGpus: 0 }];
  const simulation = new ClusterSimulation(25, { ...LIMITED, teams });
  simulation.runDurationMs = (id, index) =>
    (simulation.jobs.get(id)?.spec.estimatedRunSeconds ?? 1) * (600 + ((index * 7919) % 900));
  // Sizes and run times spread as those of real classes are: a few jobs have most of the work.
  for (let i = 0; i < 30; i++) {
    const tasks = Math.min(90, Math.round(12 / (1 - simulation.simulator.random()) ** 0.9));
    submitAt(simulation, 1000 + i * 14_000, {
      taskCount: tasks,
      estimatedRunSeconds: 12 / (1 - simulation.simulator.random()) ** 0.6,
    });
  }
  simulation.simulator.run(700_000);
  expect(simulation.violations).toEqual([]);
  expect(simulation.underservedGroups()).toEqual([]);
});

test('the many small jobs of a team begin beside its one huge array', () => {
  const simulation = new ClusterSimulation(23, { ...LIMITED, machineCapacity: 2 });
  simulation.runDurationMs = () => 4000;
  submitAt(simulation, 1000, {
    team: 'free',
    jobClass: 'huge',
    priority: 3,
    taskCount: 6000,
    estimatedRunSeconds: 4,
  });
  for (let i = 0; i < 150; i++)
    submitAt(simulation, 10_000 + i * 1000, {
      team: 'free',
      jobClass: 'small',
      priority: 3,
      taskCount: 1,
      estimatedRunSeconds: 4,
    });
  simulation.simulator.run(250_000);
  expect(simulation.violations).toEqual([]);
  const small = simulation.underservedGroups().filter((text) => text.includes('small'));
  expect(small).toEqual([]);
});

test('the service-level checker reports a class, a team and the largest jobs of a class of which under half is served', () => {
  const teams = LIMITED.teams;
  const level = new ServiceLevelChecker(teams);
  const simulation = new ClusterSimulation(24, LIMITED);
  const add = (id: string, over: Partial<JobSpec>) =>
    level.recordSubmission(makeJobSpec(simulation, { id, ...over }), 0);
  add('a', { jobClass: 'half', taskCount: 1 });
  add('b', { jobClass: 'half', taskCount: 1 });
  add('c', { jobClass: 'none', taskCount: 2, team: 'free' });
  level.recordStart('a', 0, 1000);
  level.recordStart('c', 0, 1000);
  const all = () => level.underservedGroups(() => false);
  expect(all()).toEqual([
    'team free: 0 of 1 served',
    'class none: 0 of 1 served',
    'largest of none: 0 of 1 served',
  ]);
  level.recordStart('c', 1, 250_000);
  expect(all()).toEqual(['largest of none: 0 of 1 served']);
  expect(level.underservedGroups((id) => id === 'c')).toEqual([]);
  // More tasks than the limit of the team admits at a time need not all have begun.
  add('d', { jobClass: 'wide', taskCount: 30 });
  for (let i = 0; i < 8; i++) level.recordStart('d', i, 5000);
  expect(all()).toEqual(['largest of none: 0 of 1 served']);
});
