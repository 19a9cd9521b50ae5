/** Keeps one controller's requests to the state service under its part of the service's limits. */

import { URGENCY, type Urgency } from '../model/key-value-store.js';

/** Limits of the state service, which all controllers share. */
export interface RateLimits {
  requestsPerSecond: number;
  /** Puts and deletions a second, counted one by one within transactions. */
  writesPerSecond: number;
  /** Controllers that share the limits. */
  controllers: number;
}

/** Longest wait of a request up to the urgency of placements: users give up after five seconds. */
const MAX_URGENT_WAIT_MS = 3000;
/** Longest wait of the less urgent ones. */
const MAX_WAIT_MS = 1500;

/** An equal share is this part of the whole divided by the controllers; the share never shrinks below it. */
const EQUAL_SHARE_TOTAL = 0.8;
/** The first share, in equal parts of the whole: the other controllers may be idle. */
const INITIAL_EQUAL_PARTS = 2;
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
const QUEUE_INTERVAL_MS = 10;

/** Told whether the request may go now; false: it was not let through in time and must not be sent. */
export type AcquireCallback = (acquired: boolean) => void;

interface QueuedRequest {
  writes: number;
  /** When it is given up; wall-clock ms. */
  expiresAt: number;
  onResult: AcquireCallback;
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
  private requests: number;
  private writes: number;
  /** When the buckets were last filled; wall-clock ms. */
  private filledAt = Date.now();
  private timer: NodeJS.Timeout | null = null;
  /** Waiting requests, by urgency. */
  private readonly queues: Readonly<Record<Urgency, QueuedRequest[]>> = {
    [URGENCY.lease]: [],
    [URGENCY.user]: [],
    [URGENCY.placement]: [],
    [URGENCY.read]: [],
    [URGENCY.cleanup]: [],
  };

  constructor(private readonly limits: RateLimits) {
    const controllers = Math.max(1, limits.controllers);
    this.minShare = EQUAL_SHARE_TOTAL / controllers;
    this.share = Math.min(MAX_INITIAL_SHARE, INITIAL_EQUAL_PARTS / controllers);
    this.requests = this.requestRate();
    this.writes = this.writeRate();
  }

  /** The service has refused a request because of its rate. */
  onThrottled(): void {
    this.share = Math.max(this.minShare, this.share * THROTTLED_FACTOR);
    this.requests = Math.min(this.requests, 0);
    this.writes = Math.min(this.writes, 0);
  }

  /**
   * Asks leave for one request of so many writes. `onResult` is called once: within this call if it may go now or would
   * wait too long, otherwise from a timer.
   */
  acquire(urgency: Urgency, writes: number, onResult: AcquireCallback): void {
    this.refill();
    const mayPass = this.queuedUpTo(urgency) === 0 && this.canAfford(writes);
    if (urgency === URGENCY.lease || mayPass) {
      this.spend(writes, onResult);
      return;
    }
    const maxWaitMs = urgency <= URGENCY.placement ? MAX_URGENT_WAIT_MS : MAX_WAIT_MS;
    // What would be given up in the end is refused now.
    if (this.expectedWaitMs(urgency, writes) > maxWaitMs) {
      onResult(false);
      return;
    }
    this.queues[urgency].push({ writes, expiresAt: Date.now() + maxWaitMs, onResult });
    this.schedule();
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
    for (const queue of this.queuesUpTo(urgency))
      for (const queued of queue) {
        requests++;
        writes += queued.writes;
      }
    const seconds = Math.max(
      (requests - this.requests) / this.requestRate(),
      writes > 0 ? (writes - Math.max(0, this.writes)) / this.writeRate() : 0,
    );
    return seconds * 1000;
  }

  /** The queues of this urgency and of higher ones, the most urgent first. */
  private queuesUpTo(urgency: Urgency): QueuedRequest[][] {
    return Object.values(this.queues).slice(0, urgency + 1);
  }

  /** Requests that wait with this urgency or a higher one. */
  private queuedUpTo(urgency: Urgency): number {
    let total = 0;
    for (const queue of this.queuesUpTo(urgency)) total += queue.length;
    return total;
  }

  private canAfford(writes: number): boolean {
    if (this.requests < 1) return false;
    return writes === 0 || this.writes >= Math.min(writes, this.writeRate() * LARGE_TRANSACTION_SECONDS);
  }

  private spend(writes: number, onResult: AcquireCallback): void {
    this.requests -= 1;
    this.writes -= writes;
    onResult(true);
  }

  private refill(): void {
    const now = Date.now();
    const seconds = Math.max(0, Math.min(MAX_REFILL_MS, now - this.filledAt)) / 1000;
    this.filledAt = now;
    this.share = Math.min(MAX_SHARE, this.share + SHARE_GROWTH_PER_SECOND * seconds);
    const requestRate = this.requestRate();
    const writeRate = this.writeRate();
    this.requests = Math.min(requestRate * BURST_SECONDS, this.requests + requestRate * seconds);
    this.writes = Math.min(writeRate * BURST_SECONDS, this.writes + writeRate * seconds);
  }

  private schedule(): void {
    if (this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = null;
      this.drainQueues();
    }, QUEUE_INTERVAL_MS);
  }

  /** Lets requests through, the most urgent first, until one can't be afforded. */
  private drainQueues(): void {
    this.refill();
    const now = Date.now();
    for (const queue of Object.values(this.queues)) {
      for (let next = queue[0]; next; next = queue[0]) {
        if (next.expiresAt < now) {
          queue.shift();
          next.onResult(false);
          continue;
        }
        if (!this.canAfford(next.writes)) {
          this.schedule();
          return;
        }
        queue.shift();
        this.spend(next.writes, next.onResult);
      }
    }
  }
}
