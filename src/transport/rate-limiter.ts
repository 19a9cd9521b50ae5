/** Rate limiter for one controller's requests to the key-value store, whose limits all controllers share. */

import { URGENCY, type Urgency } from '../model/key-value-store.js';

/** Rate limits of the key-value store for all controllers together. */
export interface RateLimits {
  requestsPerSecond: number;
  /** Puts and deletes per second; each operation of a transaction counts. */
  writesPerSecond: number;
  /** Number of controllers that share the limits. */
  controllerCount: number;
}

/** Maximum wait of requests with urgency `user` or `placement`. Users give up after five seconds. */
const MAX_URGENT_WAIT_MS = 3000;
/** Maximum wait of requests with urgency `read` or `archive`. */
const MAX_NON_URGENT_WAIT_MS = 1500;

/** Sum of the minimum shares of all controllers: no share falls below an equal part of this sum. */
const MIN_SHARE_TOTAL = 0.8;
/**
 * Initial share as a multiple of an equal split of the limits, because the other controllers may be idle. It
 * is capped at `MAX_INITIAL_SHARE`.
 */
const INITIAL_SHARE_FACTOR = 2;
const MAX_INITIAL_SHARE = 0.8;
const MAX_SHARE = 0.9;
const SHARE_GROWTH_PER_SECOND = 0.03;
/** Factor applied to the share for each request that the store throttled. */
const THROTTLED_FACTOR = 0.8;

/** Burst size of both token buckets, in seconds of their refill rate. */
const BURST_SECONDS = 0.7;
/**
 * A transaction needs at most the write tokens that accrue in this time; a larger one is sent with these and
 * leaves a negative balance.
 */
const LARGE_TRANSACTION_SECONDS = 0.5;
/** Maximum time for which one refill adds tokens, so that a jump of the wall clock has a bounded effect. */
const MAX_REFILL_MS = 2000;
/** Interval at which the queues are drained while requests are waiting. */
const QUEUE_POLL_INTERVAL_MS = 10;

/** Receives true if the request may be sent now, and false if it was rejected and must not be sent. */
export type AcquireCallback = (acquired: boolean) => void;

interface QueuedRequest {
  writes: number;
  /** When the request is rejected if it is still queued; wall-clock ms. */
  expiresAt: number;
  onAcquire: AcquireCallback;
}

/**
 * Token buckets for requests and for writes, with one queue per urgency. The share of the store's limits is
 * adaptive: it starts at `INITIAL_SHARE_FACTOR` times an equal split but at most at `MAX_INITIAL_SHARE`,
 * shrinks whenever the store throttles a request, and otherwise grows slowly up to `MAX_SHARE`. Lease
 * requests never wait.
 */
export class RateLimiter {
  private readonly minShare: number;
  /** Share of the store's limits that this controller uses, from 0 to 1. */
  private share: number;
  /** Remaining tokens for requests and for writes; negative after a large transaction or lease requests. */
  private requestTokens: number;
  private writeTokens: number;
  /** When the buckets were last refilled; wall-clock ms. */
  private refilledAt = Date.now();
  private drainTimer: NodeJS.Timeout | null = null;
  /** Waiting requests by urgency, most urgent first. The queue of lease requests is always empty. */
  private readonly queues: Readonly<Record<Urgency, QueuedRequest[]>> = {
    [URGENCY.lease]: [],
    [URGENCY.user]: [],
    [URGENCY.placement]: [],
    [URGENCY.read]: [],
    [URGENCY.archive]: [],
  };

  constructor(private readonly limits: RateLimits) {
    const controllerCount = Math.max(1, limits.controllerCount);
    this.minShare = MIN_SHARE_TOTAL / controllerCount;
    this.share = Math.min(MAX_INITIAL_SHARE, INITIAL_SHARE_FACTOR / controllerCount);
    this.requestTokens = this.requestRate();
    this.writeTokens = this.writeRate();
  }

  /** Must be called when the store has throttled a request. Shrinks the share and drops unused tokens. */
  onThrottled(): void {
    this.share = Math.max(this.minShare, this.share * THROTTLED_FACTOR);
    this.requestTokens = Math.min(this.requestTokens, 0);
    this.writeTokens = Math.min(this.writeTokens, 0);
  }

  /**
   * Acquires the tokens for one request with `writes` put and delete operations. `onAcquire` is called
   * exactly once: synchronously if the request may be sent now or is expected to wait too long, otherwise
   * from a timer.
   */
  acquire(urgency: Urgency, writes: number, onAcquire: AcquireCallback): void {
    this.refillTokens();
    const canSendNow = this.countQueuedAtLeastAsUrgent(urgency) === 0 && this.canAfford(writes);
    if (urgency === URGENCY.lease || canSendNow) {
      this.grantTokens(writes, onAcquire);
      return;
    }
    const maxWaitMs = urgency <= URGENCY.placement ? MAX_URGENT_WAIT_MS : MAX_NON_URGENT_WAIT_MS;
    // Rejects a request early if it is expected to exceed its maximum wait.
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

  /**
   * Estimates the wait in ms of a new request of this urgency from the current queues, tokens and share. A
   * negative balance lengthens the estimate if it is one of request tokens, but not if it is one of write
   * tokens.
   */
  private expectedWaitMs(urgency: Urgency, ownWrites: number): number {
    let requests = 1;
    let writes = ownWrites;
    for (const queue of this.queuesAtLeastAsUrgent(urgency))
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

  /**
   * Returns the queues of this urgency and of all more urgent ones, most urgent first. Urgencies are numbered
   * from 0, the most urgent, and `Object.values` returns the values of integer keys in ascending order.
   */
  private queuesAtLeastAsUrgent(urgency: Urgency): QueuedRequest[][] {
    return Object.values(this.queues).slice(0, urgency + 1);
  }

  /** Counts the waiting requests of this urgency and of all more urgent ones. */
  private countQueuedAtLeastAsUrgent(urgency: Urgency): number {
    let total = 0;
    for (const queue of this.queuesAtLeastAsUrgent(urgency)) total += queue.length;
    return total;
  }

  private canAfford(writes: number): boolean {
    if (this.requestTokens < 1) return false;
    return writes === 0 || this.writeTokens >= Math.min(writes, this.writeRate() * LARGE_TRANSACTION_SECONDS);
  }

  /** Takes the tokens for a request, even if that leaves a negative balance, and lets it be sent. */
  private grantTokens(writes: number, onAcquire: AcquireCallback): void {
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

  /**
   * Grants tokens to queued requests, most urgent first, until they do not suffice for the next one. Rejects
   * the expired requests that it comes to; those behind a request that must wait are rejected in a later
   * call.
   */
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
        this.grantTokens(next.writes, next.onAcquire);
      }
    }
  }
}
