/** Tracks the last contact with the key-value store: when the latest request with a response was sent. */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { ResultCallback } from '../model/result.js';
import type { EventQueue } from './event-queue.js';

/** Initial age of the last contact, so that the store counts as unreachable until its first response. */
const INITIAL_CONTACT_AGE_MS = 1e6;

/**
 * Observes the store's responses. A response that shows the store to be reachable counts from when its
 * request was sent, not from its arrival.
 */
export class StoreContact {
  private lastContactAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly queue: EventQueue,
  ) {
    this.lastContactAtMs = clock.now() - INITIAL_CONTACT_AGE_MS;
  }

  /** When the latest request to which the store has responded was sent, on this controller's clock. */
  get lastContactAt(): number {
    return this.lastContactAtMs;
  }

  /** Returns the age of the last contact, in ms. */
  ageMs(now: number): number {
    return now - this.lastContactAtMs;
  }

  /** Wraps the store so that its responses are recorded here and handled as events. */
  observe(store: KeyValueStore): KeyValueStore {
    return {
      get: (key, urgency, callback) => store.get(key, urgency, this.recordingContact(callback)),
      list: (request, callback) => store.list(request, this.recordingContact(callback)),
      compareAndSwap: (transaction, urgency, callback) =>
        store.compareAndSwap(transaction, urgency, this.recordingContact(callback)),
      grantLease: (ttlMs, callback) => store.grantLease(ttlMs, this.recordingContact(callback)),
      keepLeaseAlive: (leaseId, callback) => store.keepLeaseAlive(leaseId, this.recordingContact(callback)),
      revokeLease: (leaseId, callback) => store.revokeLease(leaseId, this.recordingContact(callback)),
      // The response to a watch that waits may arrive long after the watch was sent, which does not prove
      // recent contact.
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
