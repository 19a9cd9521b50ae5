/** A local copy of the keys under a prefix, kept by watching and brought up to date on demand. */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import { LinearizableReads, type ReadCallback } from './linearizable-reads.js';
import { type CachedItem, type OnItemChanged, PrefixCopy } from './prefix-copy.js';
import { PrefixListing } from './prefix-listing.js';

/** A copy nobody asks about is caught up now and then, or the service would forget the changes it lacks. */
const IDLE_READ_INTERVAL_MS = 20000;
/** Pause before a watch that failed is repeated, or the keys are listed anew. */
const WATCH_RETRY_MS = 250;

/** Settings of a cache, and what it works with. */
export interface WatchCacheOptions {
  prefix: string;
  store: KeyValueStore;
  clock: Clock;
  /** Longest time that a watch waits for a change. */
  watchWaitMs: number;
  /** Least time between two watches: each change of a busy prefix must not cost a request of its own. */
  minWatchIntervalMs: number;
  /** Whether it watches from the start; else only reads bring it up to date, until `setFollowed`. */
  isFollowed: boolean;
  onChange: OnItemChanged;
}

/** While followed the copy may lag by a watch; `linearizableRead` brings it up to what was stored when it was called. */
export class WatchCache {
  private readonly copy: PrefixCopy;
  private readonly listing: PrefixListing;
  private readonly reads: LinearizableReads;
  private isFollowed: boolean;
  private isWatching = false;

  constructor(private readonly options: WatchCacheOptions) {
    const { prefix, store, clock, onChange } = options;
    this.isFollowed = options.isFollowed;
    this.copy = new PrefixCopy(onChange);
    const shared = { prefix, store, clock, copy: this.copy };
    this.listing = new PrefixListing({ ...shared, onListed: () => this.watch() });
    this.reads = new LinearizableReads({ ...shared, listing: this.listing });
  }

  /** The copy by key. */
  get items(): ReadonlyMap<string, CachedItem> {
    return this.copy.items;
  }

  /** Whether the copy has been filled once. */
  get isReady(): boolean {
    return this.copy.isReady;
  }

  /** When the last read that was answered had been sent: all that was stored by then is in the copy. */
  get freshAsOf(): number {
    return this.reads.freshAsOf;
  }

  /** Whether the last read failed: the next ones are answered with false at once, until a probe succeeds. */
  get isFailing(): boolean {
    return this.reads.isFailing;
  }

  /** Fills the copy, and keeps it from then on. */
  start(): void {
    this.listing.start();
    this.readWhileIdle();
  }

  /** Whether the copy is kept by watching from now on. */
  setFollowed(isFollowed: boolean): void {
    this.isFollowed = isFollowed;
    this.watch();
  }

  /**
   * Calls back once the copy holds everything stored before this call, or with false if that can't be had now. The read that
   * serves a call is always sent after it came: no answer is older than its question.
   */
  linearizableRead(callback: ReadCallback): void {
    this.reads.read(callback);
  }

  /** Brings the copy up to date soon, for nobody in particular. */
  requestRead(): void {
    this.reads.request();
  }

  private readWhileIdle(): void {
    const { clock } = this.options;
    const isIdle = clock.now() - this.reads.lastReadAt > IDLE_READ_INTERVAL_MS;
    if (!this.isFollowed && this.isReady && isIdle) this.linearizableRead(() => {});
    clock.after(IDLE_READ_INTERVAL_MS / 4, () => this.readWhileIdle());
  }

  private watch(): void {
    if (!this.isFollowed || this.isWatching || this.listing.isRunning || !this.isReady) return;
    this.isWatching = true;
    const { prefix, store, clock, watchWaitMs, minWatchIntervalMs } = this.options;
    const sentAt = clock.now();
    const { epoch } = this.listing;
    store.watch({ prefix, sinceRevision: this.copy.storeRevision, waitMs: watchWaitMs }, (result) => {
      if (result.ok) {
        if (epoch === this.listing.epoch) this.copy.apply(result.value);
        this.watchAgainAfter(Math.max(0, sentAt + minWatchIntervalMs - clock.now()));
      } else if (result.kind === 'refused') this.watchAgainAfter(WATCH_RETRY_MS);
      else {
        // The history of changes is lost, or the answer is: the keys are listed again.
        this.isWatching = false;
        if (result.kind === 'notFound') this.listing.start();
        else clock.after(WATCH_RETRY_MS, () => this.listing.start());
      }
    });
  }

  private watchAgainAfter(pauseMs: number): void {
    this.options.clock.after(pauseMs, () => {
      this.isWatching = false;
      this.watch();
    });
  }
}
