import { expect, test } from 'vitest';
import { Pace } from '../src/io/pace.js';

test('what would wait longer than its sender does is refused at once, and the urgent never waits', async () => {
  const pace = new Pace({ rps: 100, writeRps: 20, nodes: 1 });
  const told: string[] = [];
  const enter = (u: 0 | 1 | 2 | 3, ops: number, name: string) =>
    pace.enter(u, ops, (ok) => told.push(`${name} ${ok}`));
  enter(1, 12, 'first');
  // Sixteen changes a second: a second's worth waits, five seconds' worth would not be served in time.
  enter(1, 16, 'waits');
  enter(1, 80, 'too much');
  enter(0, 5, 'lease');
  expect(told).toEqual(['first true', 'too much false', 'lease true']);
  await new Promise((r) => setTimeout(r, 2500));
  expect(told.slice(3)).toEqual(['waits true']);
});
