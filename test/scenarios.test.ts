/** Seeded scenarios on simulated clusters. SEEDS and FROM set the number of seeds and the first seed. */

import { expect, test } from 'vitest';
import { randomClusterConfig } from './simulation/cluster-config.js';
import { runScenario } from './simulation/scenario.js';
import { Simulator } from './simulation/simulated-time.js';

const firstSeed = Number(process.env.FROM ?? 1);
const seedCount = Number(process.env.SEEDS ?? 24);

test.each(Array.from({ length: seedCount }, (_, i) => firstSeed + i))(
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

test.each(Array.from({ length: Math.ceil(seedCount / 2) }, (_, i) => firstSeed + i))(
  'seed %i: invariants hold and all work finishes on a cluster generated from the seed',
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
