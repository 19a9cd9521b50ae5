/** Brings the local copy of a prefix up to date on demand, with one read for all waiting callers. */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { PrefixCopy } from './prefix-copy.js';
import type { PrefixListing } from './prefix-listing.js';

/** Minimum time between two reads for callers; all calls made in between share the next read. */
const MIN_READ_INTERVAL_MS = 150;

/** Dependencies of linearizable reads, shared with the cache whose copy they bring up to date. */
export interface LinearizableReadsOptions {
  prefix: string;
  store: KeyValueStore;
  clock: Clock;
  copy: PrefixCopy;
  listing: PrefixListing;
}

/**
 * Receives the outcome of a read: whether the local copy holds everything that was stored before the call.
 */
export type ReadCallback = (isFresh: boolean) => void;

/**
 * Makes linearizable reads by watches that return at once. A watch is always sent after the calls that it
 * serves.
 */
export class LinearizableReads {
  /** When the last successful read was sent; the copy holds everything stored by then. */
  freshAsOf = Number.NEGATIVE_INFINITY;
  /** When the last read was sent. */
  lastReadAt = Number.NEGATIVE_INFINITY;
  /** Whether the last read failed. */
  isFailing = false;
  private isReading = false;
  private isTimerSet = false;
  private waiting: ReadCallback[] = [];

  constructor(private readonly options: LinearizableReadsOptions) {}

  /**
   * Calls back once the copy holds everything stored before this call, or with false if that is not possible
   * now.
   */
  read(callback: ReadCallback): void {
    // After a read has failed or timed out, no caller waits for the next one: the next read only probes the
    // store, and calls made in the meantime fail at once.
    if (this.isFailing) {
      this.request();
      callback(false);
      return;
    }
    this.waiting.push(callback);
    this.readWhenDue();
  }

  /**
   * Schedules a read without a caller, unless one is in flight or scheduled. The request is dropped while the
   * copy is being listed.
   */
  request(): void {
    if (this.waiting.length > 0 || this.isReading) return;
    this.waiting.push(() => {});
    this.readWhenDue();
  }

  private readWhenDue(): void {
    if (this.isReading || this.isTimerSet || this.waiting.length === 0) return;
    const { clock, copy, listing } = this.options;
    if (!copy.isReady || listing.isRunning) {
      for (const callback of this.waiting.splice(0)) callback(false);
      return;
    }
    const now = clock.now();
    const waitMs = this.lastReadAt + MIN_READ_INTERVAL_MS - now;
    if (waitMs <= 0) {
      this.send(now);
      return;
    }
    this.isTimerSet = true;
    clock.after(waitMs, () => {
      this.isTimerSet = false;
      this.readWhenDue();
    });
  }

  private send(now: number): void {
    const { prefix, store, copy, listing } = this.options;
    this.lastReadAt = now;
    this.isReading = true;
    const callbacks = this.waiting.splice(0);
    const { epoch } = listing;
    store.watch({ prefix, sinceRevision: copy.storeRevision, waitMs: 0 }, (result) => {
      this.isReading = false;
      this.isFailing = !result.ok;
      const isFresh = result.ok && epoch === listing.epoch;
      if (isFresh) {
        copy.apply(result.value);
        this.freshAsOf = now;
      } else if (!result.ok && result.kind === 'notFound') listing.start();
      for (const callback of callbacks) callback(isFresh);
      this.readWhenDue();
    });
  }
}
