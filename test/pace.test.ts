import { expect, test } from 'vitest';
import { URGENCY, type Urgency } from '../src/core/types.js';
import { RateLimiter } from '../src/io/rate-limiter.js';

test('what would wait longer than its sender does is refused at once, and the urgent never waits', async () => {
  const limiter = new RateLimiter({ requestsPerSecond: 100, writesPerSecond: 20, controllers: 1 });
  const told: string[] = [];
  const enter = (u: Urgency, ops: number, name: string) =>
    limiter.acquire(u, ops, (ok) => told.push(`${name} ${ok}`));
  enter(URGENCY.placement, 12, 'first');
  // Sixteen changes a second: a second's worth waits, five seconds' worth would not be served in time.
  enter(URGENCY.placement, 16, 'waits');
  enter(URGENCY.placement, 80, 'too much');
  enter(URGENCY.lease, 5, 'lease');
  expect(told).toEqual(['first true', 'too much false', 'lease true']);
  await new Promise((r) => setTimeout(r, 2500));
  expect(told.slice(3)).toEqual(['waits true']);
});

test('submissions and reads for users do not wait behind the placements that use up the budget of writes', async () => {
  const limiter = new RateLimiter({ requestsPerSecond: 100, writesPerSecond: 20, controllers: 1 });
  const told: string[] = [];
  const enter = (u: Urgency, ops: number, name: string) => limiter.acquire(u, ops, () => told.push(name));
  enter(URGENCY.placement, 14, 'placements');
  enter(URGENCY.placement, 14, 'more placements');
  enter(URGENCY.user, 0, 'read');
  expect(told).toEqual(['placements', 'read']);
  enter(URGENCY.user, 1, 'submission');
  await new Promise((r) => setTimeout(r, 400));
  expect(told).toEqual(['placements', 'read', 'submission']);
});
