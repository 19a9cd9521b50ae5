/** The dependency counter of a job, its record, and the release of its inputs. */

import fc from 'fast-check';
import { expect, test } from 'vitest';
import { DependencyCounter, FanOut } from '../src/model/dependency-counter.js';
import { decodeCompletionBitmap } from '../src/store/completion-bitmap.js';
import { releaseWindow } from '../src/store/record-sizes.js';
import { makeCounterRecord } from '../src/store/stored-job.js';

test('a counter counts each input once, and its record brings it back', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 400 }), fc.array(fc.nat(450)), (size, adds) => {
      const counter = new DependencyCounter(size);
      const seen = new Set<number>();
      for (const i of adds) {
        expect(counter.add(i)).toBe(i < size && !seen.has(i));
        if (i < size) seen.add(i);
      }
      expect(counter.count).toBe(seen.size);
      expect(counter.isComplete).toBe(seen.size === size);
      const back = new DependencyCounter(size);
      decodeCompletionBitmap(back, makeCounterRecord(counter, 0).finishedBitmap);
      expect([...back.bits]).toEqual([...counter.bits]);
    }),
  );
});

test('the counter record of 100,000 tasks fits a value of 8 KiB whatever order they end in', () => {
  const window = releaseWindow(8);
  const counter = new DependencyCounter(100000);
  const fan = new FanOut(100000, window);
  // The worst case: every second task of the window never ends.
  for (;;) {
    const i = fan.takeNext(
      () => false,
      (k) => counter.has(k),
    );
    if (i < 0) break;
    if (i % 2 === 1) counter.add(i);
  }
  expect(counter.count).toBeGreaterThan(window / 2 - 2);
  expect(JSON.stringify(makeCounterRecord(counter, 99999)).length).toBeLessThan(8 * 1024);
});

test('release goes in order, returned inputs first, none twice', () => {
  const fan = new FanOut(6, 100);
  const counted = new Set<number>();
  const take = () =>
    fan.takeNext(
      (i) => counted.has(i),
      (i) => counted.has(i),
    );
  expect([take(), take(), take()]).toEqual([0, 1, 2]);
  fan.putBack(1);
  fan.putBack(1);
  expect([take(), take()]).toEqual([1, 3]);
  counted.add(4);
  expect([take(), take()]).toEqual([5, -1]);
});
