/** Simulated time and seeded random numbers. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

interface ScheduledEvent {
  at: number;
  /** Orders events with the same time: they run in the order in which they were scheduled. */
  sequence: number;
  callback(): void;
}

/**
 * A discrete-event simulator with one heap of events and one seeded random number generator, so that a run
 * can be reproduced from its seed. Times are in milliseconds.
 */
export class Simulator {
  now = 0;
  /** Called after each event. */
  afterEvent: () => void = () => {};
  private readonly heap: ScheduledEvent[] = [];
  private scheduledEventCount = 0;
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a random number from 0 (included) to 1 (excluded). */
  random(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }

  /** Returns a random number from `low` (included) to `high` (excluded). */
  between(low: number, high: number): number {
    return low + (high - low) * this.random();
  }

  pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)] as T;
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.random() < probability;
  }

  /** Schedules a callback at a time, or now if that time has passed. */
  scheduleAt(time: number, callback: () => void): void {
    const { heap } = this;
    heap.push({ at: Math.max(this.now, time), sequence: this.scheduledEventCount++, callback });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) break;
      [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
      index = parent;
    }
  }

  scheduleAfter(delayMs: number, callback: () => void): void {
    this.scheduleAt(this.now + delayMs, callback);
  }

  /** Runs all events up to `endTime` and sets `now` to it. */
  run(endTime: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at <= endTime) {
      const event = this.popNextEvent();
      this.now = event.at;
      event.callback();
      this.afterEvent();
    }
    this.now = endTime;
  }

  private popNextEvent(): ScheduledEvent {
    const { heap } = this;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= heap.length) return first;
      const child = left + 1 < heap.length && isBefore(heap[left + 1]!, heap[left]!) ? left + 1 : left;
      if (!isBefore(heap[child]!, heap[index]!)) return first;
      [heap[index], heap[child]] = [heap[child]!, heap[index]!];
      index = child;
    }
  }
}

function isBefore(event: ScheduledEvent, other: ScheduledEvent): boolean {
  return event.at < other.at || (event.at === other.at && event.sequence < other.sequence);
}
