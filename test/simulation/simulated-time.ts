/** Simulated time and chance. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

interface ScheduledEvent {
  at: number;
  /** Events of one moment run in the order in which they were scheduled. */
  order: number;
  run(): void;
}

/** One heap of events and one seeded generator: what a seed draws happens again with that seed. Times in milliseconds. */
export class Simulator {
  now = 0;
  /** Called after each event. */
  afterEvent: () => void = () => {};
  private readonly heap: ScheduledEvent[] = [];
  private scheduledEvents = 0;
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 up to 1, without 1. */
  random(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }

  between(low: number, high: number): number {
    return low + (high - low) * this.random();
  }

  pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)] as T;
  }

  /** True with this probability. */
  chance(probability: number): boolean {
    return this.random() < probability;
  }

  /** Runs a callback at a time, or now if that has passed. */
  scheduleAt(time: number, run: () => void): void {
    const { heap } = this;
    heap.push({ at: Math.max(this.now, time), order: this.scheduledEvents++, run });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) break;
      [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
      index = parent;
    }
  }

  scheduleAfter(delayMs: number, run: () => void): void {
    this.scheduleAt(this.now + delayMs, run);
  }

  /** Runs all events up to a time, which is then now. */
  run(until: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at <= until) {
      const event = this.takeFirst();
      this.now = event.at;
      event.run();
      this.afterEvent();
    }
    this.now = until;
  }

  private takeFirst(): ScheduledEvent {
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
  return event.at < other.at || (event.at === other.at && event.order < other.order);
}
