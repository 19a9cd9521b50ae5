import { expect, test } from 'vitest';
import { URGENCY, type Urgency } from '../src/model/key-value-store.js';
import { RateLimiter } from '../src/transport/rate-limiter.js';

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Creates the limiter of a single controller and records its results in order, as `NAME RESULT`. */
function createLimiter() {
  const limiter = new RateLimiter({ requestsPerSecond: 100, writesPerSecond: 20, controllerCount: 1 });
  const results: string[] = [];
  const acquire = (urgency: Urgency, writes: number, name: string) =>
    limiter.acquire(urgency, writes, (acquired) => results.push(`${name} ${acquired}`));
  return { acquire, results };
}

test('a request that would wait longer than its sender does is refused at once, and lease requests never wait', async () => {
  const { acquire, results } = createLimiter();

  acquire(URGENCY.placement, 12, 'first');
  // At 16 writes per second, one second's worth waits; five seconds' worth would not be sent in time.
  acquire(URGENCY.placement, 16, 'waits');
  acquire(URGENCY.placement, 80, 'too much');
  acquire(URGENCY.lease, 5, 'lease');

  expect(results).toEqual(['first true', 'too much false', 'lease true']);
  await sleep(2500);
  expect(results.slice(3)).toEqual(['waits true']);
});

test('submissions and reads of users do not wait behind placements that exhaust the write limit', async () => {
  const { acquire, results } = createLimiter();

  acquire(URGENCY.placement, 14, 'placements');
  acquire(URGENCY.placement, 14, 'more placements');
  acquire(URGENCY.user, 0, 'read');
  expect(results).toEqual(['placements true', 'read true']);

  acquire(URGENCY.user, 1, 'submission');
  await sleep(400);
  expect(results).toEqual(['placements true', 'read true', 'submission true']);
});
