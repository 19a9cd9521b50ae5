/** When the key-value store last answered this controller. */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { ResultCallback } from '../model/result.js';
import type { EventQueue } from './event-queue.js';

/** Long before any time that counts: until the first answer the store counts as out of reach. */
const INITIAL_CONTACT_AGE_MS = 1e6;

/** Observes the answers of the store; each that proves it in reach counts from when its request was sent. */
export class StoreContact {
  private lastContactAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly queue: EventQueue,
  ) {
    this.lastContactAtMs = clock.now() - INITIAL_CONTACT_AGE_MS;
  }

  /** Sending time, on this controller's clock, of the latest request that the store has answered. */
  get lastContactAt(): number {
    return this.lastContactAtMs;
  }

  /** Milliseconds since the latest request that the store has answered. */
  ageMs(now: number): number {
    return now - this.lastContactAtMs;
  }

  /** The store with answers that run as commands and are observed here. */
  observe(store: KeyValueStore): KeyValueStore {
    return {
      get: (key, urgency, callback) => store.get(key, urgency, this.recordingContact(callback)),
      list: (request, callback) => store.list(request, this.recordingContact(callback)),
      compareAndSwap: (transaction, urgency, callback) =>
        store.compareAndSwap(transaction, urgency, this.recordingContact(callback)),
      grantLease: (ttlMs, callback) => store.grantLease(ttlMs, this.recordingContact(callback)),
      keepLeaseAlive: (leaseId, callback) => store.keepLeaseAlive(leaseId, this.recordingContact(callback)),
      revokeLease: (leaseId, callback) => store.revokeLease(leaseId, this.recordingContact(callback)),
      // A watch that waits may be answered long after it was sent, and so proves nothing about now.
      watch: (request, callback) =>
        store.watch(
          request,
          request.waitMs === 0 ? this.recordingContact(callback) : this.queue.asEvent(callback),
        ),
    };
  }

  private recordingContact<T>(callback: ResultCallback<T>): ResultCallback<T> {
    const sentAt = this.clock.now();
    return this.queue.asEvent((result) => {
      if (result.ok || result.kind === 'conflict' || result.kind === 'notFound')
        this.lastContactAtMs = Math.max(this.lastContactAtMs, sentAt);
      callback(result);
    });
  }
}
