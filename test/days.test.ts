import { expect, test } from 'vitest';
import { playDay } from './standin/day.js';
import { drawShape } from './standin/shape.js';
import { Sim } from './standin/sim.js';

// Seeded days over three controllers; SEEDS and FROM widen the search by hand.
const from = Number(process.env.FROM ?? 1);
const seeds = Number(process.env.SEEDS ?? 24);

test.each(Array.from({ length: seeds }, (_, i) => from + i))(
  'day %i keeps the rules and finishes its work',
  (seed) => {
    const w = playDay(seed, seed % 6);
    expect(w.broken.slice(0, 5)).toEqual([]);
    expect(w.unfinished()).toEqual([]);
    expect(w.underServed()).toEqual([]);
    expect(w.service.startsAfterCancellation).toBe(0);
    expect(w.starts).toBeGreaterThan(0);
  },
  120000,
);

test.each(Array.from({ length: Math.ceil(seeds / 2) }, (_, i) => from + i))(
  'day %i on a deployment drawn by its seed keeps the rules and finishes its work',
  (seed) => {
    const w = playDay(seed, seed % 5, drawShape(new Sim(seed)));
    expect(w.broken.slice(0, 5)).toEqual([]);
    expect(w.unfinished()).toEqual([]);
    expect(w.underServed()).toEqual([]);
    expect(w.service.startsAfterCancellation).toBe(0);
    expect(w.starts).toBeGreaterThan(0);
  },
  120000,
);
