/** Which jobs are served when demand exceeds capacity. */

import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './simulation/cluster-config.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { ServiceLevelChecker } from './simulation/service-level-checker.js';

/** A cluster in which team red may use eight CPUs and there are enough machines for all of them. */
const QUOTA_CONFIG: ClusterConfig = {
  ...CLUSTER_CONFIG,
  teams: [
    { name: 'red', guaranteedCpus: 8, maxCpus: 8, guaranteedGpus: 0, maxGpus: 0 },
    { name: 'free', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 },
  ],
};
const RUN_MS = 600_000;

function submitAt(simulation: ClusterSimulation, ms: number, overrides: Partial<JobSpec>): void {
  simulation.simulator.scheduleAt(ms, () =>
    simulation.users.submitJob(makeJobSpec(simulation, { acceptedAtMs: ms, ...overrides })),
  );
}

test('under overload an old large array does not delay the jobs queued behind it', () => {
  const simulation = new ClusterSimulation(21, QUOTA_CONFIG);
  simulation.runDurationMs = (id) => (simulation.jobs.get(id)?.spec.estimatedRunSeconds ?? 1) * 1000;
  // 60 tasks of 60 s fill all eight slots for 450 s; behind them comes twice the work that these can do.
  submitAt(simulation, 1000, { taskCount: 60, estimatedRunSeconds: 60 });
  for (let i = 0; i < 40; i++)
    submitAt(simulation, 5000 + i * 10_000, { taskCount: 3 + (i % 3), estimatedRunSeconds: 25 });
  simulation.simulator.run(RUN_MS);
  expect(simulation.violations).toEqual([]);
  expect(simulation.underservedGroups()).toEqual([]);
});

test('under overload at least half of the largest jobs of a class start within four minutes', () => {
  const teams = [{ name: 'red', guaranteedCpus: 24, maxCpus: 24, guaranteedGpus: 0, maxGpus: 0 }];
  const simulation = new ClusterSimulation(25, { ...QUOTA_CONFIG, teams });
  simulation.runDurationMs = (id, taskIndex) =>
    (simulation.jobs.get(id)?.spec.estimatedRunSeconds ?? 1) * (600 + ((taskIndex * 7919) % 900));
  // Sizes and run times are heavy-tailed as in real job classes: a few jobs have most of the work.
  for (let i = 0; i < 30; i++) {
    const taskCount = Math.min(90, Math.round(12 / (1 - simulation.simulator.random()) ** 0.9));
    submitAt(simulation, 1000 + i * 14_000, {
      taskCount,
      estimatedRunSeconds: 12 / (1 - simulation.simulator.random()) ** 0.6,
    });
  }
  simulation.simulator.run(700_000);
  expect(simulation.violations).toEqual([]);
  expect(simulation.underservedGroups()).toEqual([]);
});

test('many small jobs of a team start while it also runs one huge array', () => {
  const simulation = new ClusterSimulation(23, { ...QUOTA_CONFIG, machineCapacity: 2 });
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
  const underServedSmall = simulation.underservedGroups().filter((text) => text.includes('small'));
  expect(underServedSmall).toEqual([]);
});

test('the service-level checker reports a class, a team or the largest jobs of a class if under half of them is served', () => {
  const teams = QUOTA_CONFIG.teams;
  const checker = new ServiceLevelChecker(teams);
  const simulation = new ClusterSimulation(24, QUOTA_CONFIG);
  const submitJob = (id: string, overrides: Partial<JobSpec>) =>
    checker.recordSubmission(makeJobSpec(simulation, { id, ...overrides }), 0);
  submitJob('a', { jobClass: 'half', taskCount: 1 });
  submitJob('b', { jobClass: 'half', taskCount: 1 });
  submitJob('c', { jobClass: 'none', taskCount: 2, team: 'free' });
  checker.recordStart('a', 0, 1000);
  checker.recordStart('c', 0, 1000);
  const underServed = () => checker.underservedGroups(() => false);
  expect(underServed()).toEqual([
    'team free: 0 of 1 served',
    'class none: 0 of 1 served',
    'largest of none: 0 of 1 served',
  ]);
  checker.recordStart('c', 1, 250_000);
  expect(underServed()).toEqual(['largest of none: 0 of 1 served']);
  expect(checker.underservedGroups((id) => id === 'c')).toEqual([]);
  // A job with more tasks than its team's quota admits at a time is served before all of them start.
  submitJob('d', { jobClass: 'wide', taskCount: 30 });
  for (let i = 0; i < 8; i++) checker.recordStart('d', i, 5000);
  expect(underServed()).toEqual(['largest of none: 0 of 1 served']);
});
