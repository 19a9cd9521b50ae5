/** The network of a simulated cluster. */

import type { Simulator } from './simulated-time.js';

/** What a cut link does with packets: holds them back until it heals, or resets the connection. */
export type CutMode = 'hold' | 'reset';
/** The answer of a call, or that there was none and whether the request may have been sent. */
export type CallResult<T> = { got: true; value: T } | { got: false; sent: boolean };

/** One message. */
export interface NetworkMessage {
  from: string;
  to: string;
  deliver(): void;
  /** The connection was reset before it arrived. */
  onLost?(): void;
}

/** One call that expects an answer. */
export interface NetworkCall<T> {
  from: string;
  to: string;
  deadlineMs: number;
  serve(reply: (value: T) => void): void;
  onResult(result: CallResult<T>): void;
}

interface CutLink {
  mode: CutMode;
  waiting: (() => void)[];
}

/** Links between nodes: small delays, cuts that hold packets back or reset, and messages that come minutes late. */
export class SimulatedNetwork {
  /** Nodes that nothing reaches, although what they send arrives. */
  readonly unreachableInbound = new Set<string>();
  /** Nodes that can't open a connection to anybody, although others reach them. */
  readonly unreachableOutbound = new Set<string>();
  /** Nodes whose answers take so many times as long. */
  readonly slowdowns = new Map<string, number>();
  private readonly cuts = new Map<string, CutLink>();
  /** By direction, when the last message arrives: later ones must not overtake it. */
  private readonly lastArrivals = new Map<string, number>();

  constructor(private readonly simulator: Simulator) {}

  /** Cuts the link between two nodes, in both directions. */
  cut(node: string, other: string, mode: CutMode): void {
    const key = linkKey(node, other);
    if (!this.cuts.has(key)) this.cuts.set(key, { mode, waiting: [] });
  }

  /** Ends a cut; what it held back goes out now. */
  heal(node: string, other: string): void {
    const key = linkKey(node, other);
    const link = this.cuts.get(key);
    this.cuts.delete(key);
    for (const resend of link?.waiting ?? []) resend();
  }

  /** How the link between two nodes is cut; null if it is not. */
  isCut(node: string, other: string): CutMode | null {
    return this.cuts.get(linkKey(node, other))?.mode ?? null;
  }

  /** One way, in order per pair of nodes. */
  send(message: NetworkMessage): void {
    const { from, to } = message;
    const link = this.cuts.get(linkKey(from, to));
    if (this.unreachableInbound.has(to)) return;
    if (link?.mode === 'reset') {
      message.onLost?.();
      return;
    }
    if (link) {
      link.waiting.push(() => this.send(message));
      return;
    }
    const direction = `${from}>${to}`;
    const delayMs = this.simulator.between(0.3, 4) * (this.slowdowns.get(from) ?? 1);
    const arrival = Math.max(this.simulator.now + delayMs, (this.lastArrivals.get(direction) ?? 0) + 0.001);
    this.lastArrivals.set(direction, arrival);
    this.simulator.scheduleAt(arrival, message.deliver);
  }

  /** A call with a deadline. What was sent may be executed long after the caller gave up. */
  call<T>({ from, to, deadlineMs, serve, onResult }: NetworkCall<T>): void {
    const { simulator } = this;
    let isOver = false;
    const end = (result: CallResult<T>) => {
      if (isOver) return;
      isOver = true;
      onResult(result);
    };
    const onLost = () => end({ got: false, sent: true });
    if (this.unreachableOutbound.has(from)) {
      simulator.scheduleAfter(deadlineMs, () => end({ got: false, sent: false }));
      return;
    }
    const cutMode = this.isCut(from, to);
    // Half the calls under a cut go out on a kept connection and are held; the others never connect.
    if (cutMode === 'hold' && simulator.chance(0.5)) {
      simulator.scheduleAfter(deadlineMs, () => end({ got: false, sent: false }));
      return;
    }
    if (cutMode === 'reset') {
      simulator.scheduleAfter(2, () => end({ got: false, sent: simulator.chance(0.3) }));
      return;
    }
    simulator.scheduleAfter(deadlineMs, onLost);
    const reply = (value: T) =>
      this.send({ from: to, to: from, deliver: () => end({ got: true, value }), onLost });
    this.send({ from, to, deliver: () => serve(reply), onLost });
  }
}

function linkKey(node: string, other: string): string {
  return node < other ? `${node}|${other}` : `${other}|${node}`;
}
