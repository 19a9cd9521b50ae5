/** Fills the local copy of a prefix by listing all its keys, starting over after each failure. */

import type { Clock } from '../model/clock.js';
import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import type { PrefixCopy } from './prefix-copy.js';

/** Pause before a failed listing is restarted. */
const RETRY_MS = 300;

/** Dependencies of a listing, shared with the cache whose copy it fills. */
export interface PrefixListingOptions {
  prefix: string;
  store: KeyValueStore;
  clock: Clock;
  copy: PrefixCopy;
  /** Called when the copy holds all listed keys. */
  onListed(): void;
}

/** Lists all keys under a prefix into the local copy; at most one listing runs at a time. */
export class PrefixListing {
  isRunning = false;
  /** Number of listings started. A response to a watch sent before a listing is not applied after it. */
  epoch = 0;

  constructor(private readonly options: PrefixListingOptions) {}

  /** Starts a listing unless one is running. */
  start(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.epoch++;
    this.readPage({ startAfter: this.options.prefix, listedKeys: new Set(), firstRevision: 0 });
  }

  private readPage(progress: { startAfter: string; listedKeys: Set<string>; firstRevision: number }): void {
    const { prefix, store, copy } = this.options;
    const { startAfter, listedKeys } = progress;
    store.list({ prefix, startAfter, urgency: URGENCY.user }, (result) => {
      if (!result.ok) {
        this.retry();
        return;
      }
      const { items, hasMore, storeRevision } = result.value;
      const firstRevision = progress.firstRevision === 0 ? storeRevision : progress.firstRevision;
      for (const item of items) {
        listedKeys.add(item.key);
        copy.put(item);
      }
      const last = items.at(-1);
      if (hasMore && last) {
        this.readPage({ startAfter: last.key, listedKeys, firstRevision });
        return;
      }
      copy.finishListing(listedKeys, firstRevision);
      this.isRunning = false;
      this.options.onListed();
    });
  }

  private retry(): void {
    this.options.clock.after(RETRY_MS, () => {
      this.isRunning = false;
      this.start();
    });
  }
}
