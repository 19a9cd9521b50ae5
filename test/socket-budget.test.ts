import { expect, test } from 'vitest';
import { computeSocketBudget } from '../src/transport/socket-budget.js';

test('the socket budget leaves enough inbound connections for all machines at every size', () => {
  for (const [fdLimit, machines, peers] of [
    [2521, 1858, 4],
    [2021, 893, 2],
    [800, 72, 2],
  ] as const) {
    const budget = computeSocketBudget(fdLimit, peers);

    expect(budget.inbound + budget.workers).toBeLessThan(fdLimit);
    expect(budget.inbound * 0.96).toBeGreaterThan(machines);
  }
});
