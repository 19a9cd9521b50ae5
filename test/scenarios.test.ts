import { expect, test } from 'vitest';
import { drawClusterConfig } from './simulation/cluster-config.js';
import { runScenario } from './simulation/scenario.js';
import { Simulator } from './simulation/simulated-time.js';

// Seeded days over three controllers; SEEDS and FROM widen the search by hand.
const from = Number(process.env.FROM ?? 1);
const seeds = Number(process.env.SEEDS ?? 24);

test.each(Array.from({ length: seeds }, (_, i) => from + i))(
  'day %i keeps the rules and finishes its work',
  (seed) => {
    const simulation = runScenario(seed, seed % 6);
    expect(simulation.violations.slice(0, 5)).toEqual([]);
    expect(simulation.unfinishedJobs()).toEqual([]);
    expect(simulation.underServed()).toEqual([]);
    expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
    expect(simulation.taskStarts).toBeGreaterThan(0);
  },
  120000,
);

test.each(Array.from({ length: Math.ceil(seeds / 2) }, (_, i) => from + i))(
  'day %i on a deployment drawn by its seed keeps the rules and finishes its work',
  (seed) => {
    const simulation = runScenario(seed, seed % 5, drawClusterConfig(new Simulator(seed)));
    expect(simulation.violations.slice(0, 5)).toEqual([]);
    expect(simulation.unfinishedJobs()).toEqual([]);
    expect(simulation.underServed()).toEqual([]);
    expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
    expect(simulation.taskStarts).toBeGreaterThan(0);
  },
  120000,
);
