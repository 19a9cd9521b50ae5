/** Keeps one controller's requests to the state service under its part of the service's limits. */

import { URGENCY, type Urgency } from '../model/key-value-store.js';

/** Limits of the state service, which all controllers share. */
export interface RateLimits {
  requestsPerSecond: number;
  /** Puts and deletions a second, counted one by one within transactions. */
  writesPerSecond: number;
  /** Controllers that share the limits. */
  controllerCount: number;
}

/** Longest wait of a request up to the urgency of placements: users give up after five seconds. */
const MAX_URGENT_WAIT_MS = 3000;
/** Longest wait of the less urgent ones. */
const MAX_WAIT_MS = 1500;

/** An equal share is this part of the whole divided by the controllers; the share never shrinks below it. */
const MIN_SHARE_TOTAL = 0.8;
/** The first share, in equal parts of the whole: the other controllers may be idle. */
const INITIAL_SHARE_FACTOR = 2;
const MAX_INITIAL_SHARE = 0.8;
const MAX_SHARE = 0.9;
const SHARE_GROWTH_PER_SECOND = 0.03;
/** Factor of the share at each request that the service throttled. */
const THROTTLED_FACTOR = 0.8;

/** Unused requests and writes are kept for so many seconds. */
const BURST_SECONDS = 0.7;
/** A transaction of more writes than come in so many seconds starts with these, and leaves the budget in debt. */
const LARGE_TRANSACTION_SECONDS = 0.5;
/** Longest time credited at once, whatever the clock says. */
const MAX_REFILL_MS = 2000;
/** Time between two looks at the queues while requests wait. */
const QUEUE_POLL_INTERVAL_MS = 10;

/** Told whether the request may go now; false: it was not let through in time and must not be sent. */
export type AcquireCallback = (acquired: boolean) => void;

interface QueuedRequest {
  writes: number;
  /** When it is given up; wall-clock ms. */
  expiresAt: number;
  onAcquire: AcquireCallback;
}

/**
 * Two token buckets, of requests and of writes, with a queue for each urgency. The share of the service's limits is
 * learnt: it starts above an equal one, shrinks whenever the service throttles and grows back slowly. Lease requests
 * never wait.
 */
export class RateLimiter {
  private readonly minShare: number;
  /** Part of the service's limits used here, 0 to 1. */
  private share: number;
  /** Tokens left; negative: in debt. */
  private requestTokens: number;
  private writeTokens: number;
  /** When the buckets were last filled; wall-clock ms. */
  private refilledAt = Date.now();
  private drainTimer: NodeJS.Timeout | null = null;
  /** Waiting requests, by urgency. */
  private readonly queues: Readonly<Record<Urgency, QueuedRequest[]>> = {
    [URGENCY.lease]: [],
    [URGENCY.user]: [],
    [URGENCY.placement]: [],
    [URGENCY.read]: [],
    [URGENCY.cleanup]: [],
  };

  constructor(private readonly limits: RateLimits) {
    const controllerCount = Math.max(1, limits.controllerCount);
    this.minShare = MIN_SHARE_TOTAL / controllerCount;
    this.share = Math.min(MAX_INITIAL_SHARE, INITIAL_SHARE_FACTOR / controllerCount);
    this.requestTokens = this.requestRate();
    this.writeTokens = this.writeRate();
  }

  /** The service has refused a request because of its rate. */
  onThrottled(): void {
    this.share = Math.max(this.minShare, this.share * THROTTLED_FACTOR);
    this.requestTokens = Math.min(this.requestTokens, 0);
    this.writeTokens = Math.min(this.writeTokens, 0);
  }

  /**
   * Asks leave for one request of so many writes. `onResult` is called once: within this call if it may go now or would
   * wait too long, otherwise from a timer.
   */
  acquire(urgency: Urgency, writes: number, onAcquire: AcquireCallback): void {
    this.refillTokens();
    const mayPass = this.countQueuedAtOrAbove(urgency) === 0 && this.canAfford(writes);
    if (urgency === URGENCY.lease || mayPass) {
      this.spendTokens(writes, onAcquire);
      return;
    }
    const maxWaitMs = urgency <= URGENCY.placement ? MAX_URGENT_WAIT_MS : MAX_WAIT_MS;
    // What would be given up in the end is refused now.
    if (this.expectedWaitMs(urgency, writes) > maxWaitMs) {
      onAcquire(false);
      return;
    }
    this.queues[urgency].push({ writes, expiresAt: Date.now() + maxWaitMs, onAcquire });
    this.scheduleDrain();
  }

  private requestRate(): number {
    return this.limits.requestsPerSecond * this.share;
  }

  private writeRate(): number {
    return this.limits.writesPerSecond * this.share;
  }

  /** How long a request of this urgency would wait, as the queues and the share stand. */
  private expectedWaitMs(urgency: Urgency, ownWrites: number): number {
    let requests = 1;
    let writes = ownWrites;
    for (const queue of this.queuesAtOrAbove(urgency))
      for (const queued of queue) {
        requests++;
        writes += queued.writes;
      }
    const seconds = Math.max(
      (requests - this.requestTokens) / this.requestRate(),
      writes > 0 ? (writes - Math.max(0, this.writeTokens)) / this.writeRate() : 0,
    );
    return seconds * 1000;
  }

  /** The queues of this urgency and of higher ones, the most urgent first. */
  private queuesAtOrAbove(urgency: Urgency): QueuedRequest[][] {
    return Object.values(this.queues).slice(0, urgency + 1);
  }

  /** Requests that wait with this urgency or a higher one. */
  private countQueuedAtOrAbove(urgency: Urgency): number {
    let total = 0;
    for (const queue of this.queuesAtOrAbove(urgency)) total += queue.length;
    return total;
  }

  private canAfford(writes: number): boolean {
    if (this.requestTokens < 1) return false;
    return writes === 0 || this.writeTokens >= Math.min(writes, this.writeRate() * LARGE_TRANSACTION_SECONDS);
  }

  private spendTokens(writes: number, onAcquire: AcquireCallback): void {
    this.requestTokens -= 1;
    this.writeTokens -= writes;
    onAcquire(true);
  }

  private refillTokens(): void {
    const now = Date.now();
    const seconds = Math.max(0, Math.min(MAX_REFILL_MS, now - this.refilledAt)) / 1000;
    this.refilledAt = now;
    this.share = Math.min(MAX_SHARE, this.share + SHARE_GROWTH_PER_SECOND * seconds);
    const requestRate = this.requestRate();
    const writeRate = this.writeRate();
    this.requestTokens = Math.min(requestRate * BURST_SECONDS, this.requestTokens + requestRate * seconds);
    this.writeTokens = Math.min(writeRate * BURST_SECONDS, this.writeTokens + writeRate * seconds);
  }

  private scheduleDrain(): void {
    if (this.drainTimer) return;
    this.drainTimer = setTimeout(() => {
      this.drainTimer = null;
      this.drainQueues();
    }, QUEUE_POLL_INTERVAL_MS);
  }

  /** Lets requests through, the most urgent first, until one can't be afforded. */
  private drainQueues(): void {
    this.refillTokens();
    const now = Date.now();
    for (const queue of Object.values(this.queues)) {
      for (let next = queue[0]; next; next = queue[0]) {
        if (next.expiresAt < now) {
          queue.shift();
          next.onAcquire(false);
          continue;
        }
        if (!this.canAfford(next.writes)) {
          this.scheduleDrain();
          return;
        }
        queue.shift();
        this.spendTokens(next.writes, next.onAcquire);
      }
    }
  }
}
