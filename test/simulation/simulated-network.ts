/** The network of a simulated cluster. */

import type { Simulator } from './simulated-time.js';

/**
 * Effect of cutting a link, which simulates a network partition between two nodes. `hold`: messages are held
 * back until the link is restored. `reset`: connections are reset, so that messages are lost.
 */
export type CutMode = 'hold' | 'reset';
/** The response to a call or, if none was received, whether the request may have been sent. */
export type CallResult<T> = { received: true; value: T } | { received: false; mayHaveBeenSent: boolean };

/** A one-way message. */
export interface NetworkMessage {
  from: string;
  to: string;
  deliver(): void;
  /**
   * Called if the link is cut in mode `reset` when the message is sent. Not called for a message to a node of
   * `unreachableInbound`, which is dropped silently.
   */
  onLost?(): void;
}

/** A call that expects a response. */
export interface NetworkCall<T> {
  from: string;
  to: string;
  deadlineMs: number;
  serve(reply: (value: T) => void): void;
  onResult(result: CallResult<T>): void;
}

interface CutLink {
  mode: CutMode;
  /** Functions that send the messages that the cut holds back. */
  pendingMessages: (() => void)[];
}

/** The links between nodes, with small delays. Links can be cut; nodes can be slow or unreachable. */
export class SimulatedNetwork {
  /** Nodes that no message reaches, although the messages that they send arrive. */
  readonly unreachableInbound = new Set<string>();
  /** Nodes whose calls fail, although others can reach them. One-way messages from them still arrive. */
  readonly unreachableOutbound = new Set<string>();
  /** Factor that multiplies the delay of messages from a node. */
  readonly slowdowns = new Map<string, number>();
  private readonly cutLinks = new Map<string, CutLink>();
  /** Arrival time of the last message in each direction of a link: later messages must not overtake it. */
  private readonly lastArrivals = new Map<string, number>();

  constructor(private readonly simulator: Simulator) {}

  /** Cuts the link between two nodes, in both directions. A link that is already cut keeps its mode. */
  cut(node: string, other: string, mode: CutMode): void {
    const key = linkKey(node, other);
    if (!this.cutLinks.has(key)) this.cutLinks.set(key, { mode, pendingMessages: [] });
  }

  /** Restores a link, however often it was cut, and sends the messages that it held back. */
  heal(node: string, other: string): void {
    const key = linkKey(node, other);
    const link = this.cutLinks.get(key);
    this.cutLinks.delete(key);
    for (const sendPending of link?.pendingMessages ?? []) sendPending();
  }

  /** Returns how the link between two nodes is cut; null if it is not. */
  cutModeOf(node: string, other: string): CutMode | null {
    return this.cutLinks.get(linkKey(node, other))?.mode ?? null;
  }

  /** Sends a one-way message. Messages from one node to another arrive in order. */
  send(message: NetworkMessage): void {
    const { from, to } = message;
    const link = this.cutLinks.get(linkKey(from, to));
    if (this.unreachableInbound.has(to)) return;
    if (link?.mode === 'reset') {
      message.onLost?.();
      return;
    }
    if (link) {
      link.pendingMessages.push(() => this.send(message));
      return;
    }
    const direction = `${from}>${to}`;
    const delayMs = this.simulator.between(0.3, 4) * (this.slowdowns.get(from) ?? 1);
    const arrivalTime = Math.max(
      this.simulator.now + delayMs,
      (this.lastArrivals.get(direction) ?? 0) + 0.001,
    );
    this.lastArrivals.set(direction, arrivalTime);
    this.simulator.scheduleAt(arrivalTime, message.deliver);
  }

  /** Calls a node with a deadline. A request that was sent may be executed long after the deadline. */
  call<T>({ from, to, deadlineMs, serve, onResult }: NetworkCall<T>): void {
    const { simulator } = this;
    let isComplete = false;
    const complete = (result: CallResult<T>) => {
      if (isComplete) return;
      isComplete = true;
      onResult(result);
    };
    const completeWithoutResponse = () => complete({ received: false, mayHaveBeenSent: true });
    if (this.unreachableOutbound.has(from)) {
      simulator.scheduleAfter(deadlineMs, () => complete({ received: false, mayHaveBeenSent: false }));
      return;
    }
    const cutMode = this.cutModeOf(from, to);
    // During a `hold` cut, half of the calls cannot connect and fail here. The others use a connection that
    // is already open: `send` holds them back.
    if (cutMode === 'hold' && simulator.chance(0.5)) {
      simulator.scheduleAfter(deadlineMs, () => complete({ received: false, mayHaveBeenSent: false }));
      return;
    }
    if (cutMode === 'reset') {
      simulator.scheduleAfter(2, () => complete({ received: false, mayHaveBeenSent: simulator.chance(0.3) }));
      return;
    }
    simulator.scheduleAfter(deadlineMs, completeWithoutResponse);
    const reply = (value: T) =>
      this.send({
        from: to,
        to: from,
        deliver: () => complete({ received: true, value }),
        onLost: completeWithoutResponse,
      });
    this.send({ from, to, deliver: () => serve(reply), onLost: completeWithoutResponse });
  }
}

function linkKey(node: string, other: string): string {
  return node < other ? `${node}|${other}` : `${other}|${node}`;
}
