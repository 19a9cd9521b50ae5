import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Simulated time and chance for the stand-ins: one heap of events, one seeded generator. */
export class Simulator {
  now = 0;
  private readonly heap: { at: number; n: number; fn: () => void }[] = [];
  private n = 0;
  private readonly rng: ReturnType<typeof xoroshiro128plus>;
  afterEvent: () => void = () => {};

  constructor(seed: number) {
    this.rng = xoroshiro128plus(seed);
  }

  random(): number {
    return (this.rng.next() >>> 0) / 2 ** 32;
  }
  between(a: number, b: number): number {
    return a + (b - a) * this.random();
  }
  pick<T>(l: readonly T[]): T {
    return l[Math.floor(this.random() * l.length)] as T;
  }
  chance(p: number): boolean {
    return this.random() < p;
  }

  scheduleAt(ms: number, callback: () => void): void {
    const h = this.heap;
    h.push({ at: Math.max(this.now, ms), n: this.n++, fn: callback });
    let i = h.length - 1;
    while (i > 0) {
      const p = (i - 1) >> 1;
      if (!before(h[i]!, h[p]!)) break;
      [h[i], h[p]] = [h[p]!, h[i]!];
      i = p;
    }
  }
  scheduleAfter(ms: number, callback: () => void): void {
    this.scheduleAt(this.now + ms, callback);
  }

  run(until: number): void {
    const h = this.heap;
    while (h.length > 0 && h[0]!.at <= until) {
      const top = h[0]!;
      const last = h.pop()!;
      if (h.length > 0) {
        h[0] = last;
        let i = 0;
        for (;;) {
          const l = 2 * i + 1;
          if (l >= h.length) break;
          const c = l + 1 < h.length && before(h[l + 1]!, h[l]!) ? l + 1 : l;
          if (!before(h[c]!, h[i]!)) break;
          [h[i], h[c]] = [h[c]!, h[i]!];
          i = c;
        }
      }
      this.now = top.at;
      top.fn();
      this.afterEvent();
    }
    this.now = until;
  }
}

function before(a: { at: number; n: number }, b: { at: number; n: number }): boolean {
  return a.at < b.at || (a.at === b.at && a.n < b.n);
}
