import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Simulated time and chance for the stand-ins: one heap of events, one seeded generator. */
export class Sim {
  now = 0;
  private readonly heap: { at: number; n: number; fn: () => void }[] = [];
  private n = 0;
  private readonly rng: ReturnType<typeof xoroshiro128plus>;
  afterStep: () => void = () => {};

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

  at(ms: number, fn: () => void): void {
    const h = this.heap;
    h.push({ at: Math.max(this.now, ms), n: this.n++, fn });
    let i = h.length - 1;
    while (i > 0) {
      const p = (i - 1) >> 1;
      if (!before(h[i]!, h[p]!)) break;
      [h[i], h[p]] = [h[p]!, h[i]!];
      i = p;
    }
  }
  after(ms: number, fn: () => void): void {
    this.at(this.now + ms, fn);
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
      this.afterStep();
    }
    this.now = until;
  }
}

function before(a: { at: number; n: number }, b: { at: number; n: number }): boolean {
  return a.at < b.at || (a.at === b.at && a.n < b.n);
}

export type Mode = 'hold' | 'reset';
export type Answer<T> = { got: true; value: T } | { got: false; sent: boolean };

/** Links among hosts: small delays, cuts that hold packets back or reset, and messages that come minutes late. */
export class Net {
  private readonly cuts = new Map<string, { mode: Mode; held: (() => void)[] }>();

  constructor(private readonly sim: Sim) {}

  private key(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
  }
  cut(a: string, b: string, mode: Mode): void {
    if (!this.cuts.has(this.key(a, b))) this.cuts.set(this.key(a, b), { mode, held: [] });
  }
  heal(a: string, b: string): void {
    const c = this.cuts.get(this.key(a, b));
    this.cuts.delete(this.key(a, b));
    for (const fn of c?.held ?? []) fn();
  }
  isCut(a: string, b: string): Mode | null {
    return this.cuts.get(this.key(a, b))?.mode ?? null;
  }

  /** Hosts that nothing reaches, although what they send arrives. */
  readonly deaf = new Set<string>();
  /** Hosts that can't open a connection to anybody, although others reach them. */
  readonly mute = new Set<string>();
  /** Hosts whose answers take so many times as long. */
  readonly slow = new Map<string, number>();

  /** One way, in order per pair of hosts. */
  private last = new Map<string, number>();
  send(from: string, to: string, fn: () => void, lost: () => void = () => {}): void {
    const c = this.cuts.get(this.key(from, to));
    if (this.deaf.has(to)) return;
    if (c?.mode === 'reset') return lost();
    if (c) {
      c.held.push(() => this.send(from, to, fn, lost));
      return;
    }
    const k = `${from}>${to}`;
    const delay = this.sim.between(0.3, 4) * (this.slow.get(from) ?? 1);
    const at = Math.max(this.sim.now + delay, (this.last.get(k) ?? 0) + 0.001);
    this.last.set(k, at);
    this.sim.at(at, fn);
  }

  /** A call with a deadline. What was sent may be executed long after the caller gave up. */
  call<T>(
    from: string,
    to: string,
    deadlineMs: number,
    serve: (reply: (v: T) => void) => void,
    callback: (a: Answer<T>) => void,
  ): void {
    let over = false;
    const end = (a: Answer<T>) => {
      if (over) return;
      over = true;
      callback(a);
    };
    if (this.mute.has(from)) return this.sim.after(deadlineMs, () => end({ got: false, sent: false }));
    const fresh = this.isCut(from, to);
    // Half the calls under a cut go out on a kept connection and are held; the others never connect.
    if (fresh === 'hold' && this.sim.chance(0.5))
      return this.sim.after(deadlineMs, () => end({ got: false, sent: false }));
    if (fresh === 'reset') return this.sim.after(2, () => end({ got: false, sent: this.sim.chance(0.3) }));
    this.sim.after(deadlineMs, () => end({ got: false, sent: true }));
    this.send(
      from,
      to,
      () =>
        serve((v) =>
          this.send(
            to,
            from,
            () => end({ got: true, value: v }),
            () => end({ got: false, sent: true }),
          ),
        ),
      () => end({ got: false, sent: true }),
    );
  }
}
