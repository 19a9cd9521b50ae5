import type { Simulator } from './simulated-time.js';

export type CutMode = 'hold' | 'reset';
export type CallResult<T> = { got: true; value: T } | { got: false; sent: boolean };

/** Links among hosts: small delays, cuts that hold packets back or reset, and messages that come minutes late. */
export class SimulatedNetwork {
  private readonly cuts = new Map<string, { mode: CutMode; held: (() => void)[] }>();

  constructor(private readonly sim: Simulator) {}

  private key(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
  }
  cut(a: string, b: string, mode: CutMode): void {
    if (!this.cuts.has(this.key(a, b))) this.cuts.set(this.key(a, b), { mode, held: [] });
  }
  heal(a: string, b: string): void {
    const c = this.cuts.get(this.key(a, b));
    this.cuts.delete(this.key(a, b));
    for (const callback of c?.held ?? []) callback();
  }
  isCut(a: string, b: string): CutMode | null {
    return this.cuts.get(this.key(a, b))?.mode ?? null;
  }

  /** Hosts that nothing reaches, although what they send arrives. */
  readonly unreachableInbound = new Set<string>();
  /** Hosts that can't open a connection to anybody, although others reach them. */
  readonly unreachableOutbound = new Set<string>();
  /** Hosts whose answers take so many times as long. */
  readonly slowdowns = new Map<string, number>();

  /** One way, in order per pair of hosts. */
  private last = new Map<string, number>();
  send(from: string, to: string, callback: () => void, lost: () => void = () => {}): void {
    const c = this.cuts.get(this.key(from, to));
    if (this.unreachableInbound.has(to)) return;
    if (c?.mode === 'reset') return lost();
    if (c) {
      c.held.push(() => this.send(from, to, callback, lost));
      return;
    }
    const k = `${from}>${to}`;
    const delay = this.sim.between(0.3, 4) * (this.slowdowns.get(from) ?? 1);
    const at = Math.max(this.sim.now + delay, (this.last.get(k) ?? 0) + 0.001);
    this.last.set(k, at);
    this.sim.scheduleAt(at, callback);
  }

  /** A call with a deadline. What was sent may be executed long after the caller gave up. */
  call<T>(
    from: string,
    to: string,
    deadlineMs: number,
    serve: (reply: (v: T) => void) => void,
    callback: (a: CallResult<T>) => void,
  ): void {
    let over = false;
    const end = (a: CallResult<T>) => {
      if (over) return;
      over = true;
      callback(a);
    };
    if (this.unreachableOutbound.has(from))
      return this.sim.scheduleAfter(deadlineMs, () => end({ got: false, sent: false }));
    const fresh = this.isCut(from, to);
    // Half the calls under a cut go out on a kept connection and are held; the others never connect.
    if (fresh === 'hold' && this.sim.chance(0.5))
      return this.sim.scheduleAfter(deadlineMs, () => end({ got: false, sent: false }));
    if (fresh === 'reset')
      return this.sim.scheduleAfter(2, () => end({ got: false, sent: this.sim.chance(0.3) }));
    this.sim.scheduleAfter(deadlineMs, () => end({ got: false, sent: true }));
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
