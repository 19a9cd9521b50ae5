/** Seeded scenarios over a whole cluster; SEEDS and FROM widen the search by hand. */

import { expect, test } from 'vitest';
import { randomClusterConfig } from './simulation/cluster-config.js';
import { runScenario } from './simulation/scenario.js';
import { Simulator } from './simulation/simulated-time.js';

const from = Number(process.env.FROM ?? 1);
const seeds = Number(process.env.SEEDS ?? 24);

test.each(Array.from({ length: seeds }, (_, i) => from + i))(
  'seed %i: invariants hold and all work finishes',
  (seed) => {
    const simulation = runScenario(seed, seed % 6);
    expect(simulation.violations.slice(0, 5)).toEqual([]);
    expect(simulation.unfinishedJobs()).toEqual([]);
    expect(simulation.underservedGroups()).toEqual([]);
    expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
    expect(simulation.taskStarts).toBeGreaterThan(0);
  },
  120000,
);

test.each(Array.from({ length: Math.ceil(seeds / 2) }, (_, i) => from + i))(
  'seed %i: invariants hold and all work finishes on a deployment drawn by the seed',
  (seed) => {
    const simulation = runScenario(seed, seed % 5, randomClusterConfig(new Simulator(seed)));
    expect(simulation.violations.slice(0, 5)).toEqual([]);
    expect(simulation.unfinishedJobs()).toEqual([]);
    expect(simulation.underservedGroups()).toEqual([]);
    expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
    expect(simulation.taskStarts).toBeGreaterThan(0);
  },
  120000,
);
