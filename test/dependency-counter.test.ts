/** The dependency counter of a job, its stored record, and the order in which inputs are released. */

import fc from 'fast-check';
import { expect, test } from 'vitest';
import { DependencyCounter, FanOut } from '../src/model/dependency-counter.js';
import { decodeCompletionBitmap } from '../src/store/completion-bitmap.js';
import { releaseWindow } from '../src/store/record-sizes.js';
import { makeCounterRecord } from '../src/store/stored-job.js';

test('a counter counts each input once and is restored from its record', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 400 }), fc.array(fc.nat(450)), (size, inputs) => {
      const counter = new DependencyCounter(size);
      const addedInputs = new Set<number>();
      for (const input of inputs) {
        expect(counter.add(input)).toBe(input < size && !addedInputs.has(input));
        if (input < size) addedInputs.add(input);
      }
      expect(counter.count).toBe(addedInputs.size);
      expect(counter.isComplete).toBe(addedInputs.size === size);
      const decoded = new DependencyCounter(size);
      decodeCompletionBitmap(decoded, makeCounterRecord(counter, 0).finishedBitmap);
      expect([...decoded.bits]).toEqual([...counter.bits]);
    }),
  );
});

test('the counter record of 100,000 tasks fits in a value of 8 KiB in whatever order the tasks finish', () => {
  const window = releaseWindow(8);
  const counter = new DependencyCounter(100000);
  const fanOut = new FanOut(100000, window);
  // The worst case: every second task of the release window never finishes.
  for (;;) {
    const input = fanOut.takeNext(
      () => false,
      (candidate) => counter.has(candidate),
    );
    if (input < 0) break;
    if (input % 2 === 1) counter.add(input);
  }
  expect(counter.count).toBeGreaterThan(window / 2 - 2);
  expect(JSON.stringify(makeCounterRecord(counter, 99999)).length).toBeLessThan(8 * 1024);
});

test('inputs are released in order, returned inputs first, and none twice', () => {
  const fanOut = new FanOut(6, 100);
  const finished = new Set<number>();
  const takeNext = () =>
    fanOut.takeNext(
      (input) => finished.has(input),
      (input) => finished.has(input),
    );
  expect([takeNext(), takeNext(), takeNext()]).toEqual([0, 1, 2]);
  fanOut.putBack(1);
  fanOut.putBack(1);
  expect([takeNext(), takeNext()]).toEqual([1, 3]);
  finished.add(4);
  expect([takeNext(), takeNext()]).toEqual([5, -1]);
});
