/** A local copy of the keys under a prefix, kept current by watches and refreshed on demand. */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import { LinearizableReads, type ReadCallback } from './linearizable-reads.js';
import { type CachedItem, type ItemChangeCallback, PrefixCopy } from './prefix-copy.js';
import { PrefixListing } from './prefix-listing.js';

/**
 * Interval of reads while watching is disabled and no caller reads: otherwise the store might discard changes
 * that the copy still lacks.
 */
const IDLE_READ_INTERVAL_MS = 20000;
/** Pause before a failed watch is repeated or the keys are listed again. */
const WATCH_RETRY_MS = 250;

/** The settings and dependencies of a cache. */
export interface WatchCacheOptions {
  prefix: string;
  store: KeyValueStore;
  clock: Clock;
  /** Maximum time that one watch request (a long poll) waits for a change. */
  watchWaitMs: number;
  /**
   * Minimum time between two watch requests, so that not every change under a busy prefix costs a request of
   * its own.
   */
  minWatchIntervalMs: number;
  /**
   * Whether the cache watches for changes from the start; otherwise only reads refresh it until
   * `setWatchEnabled`.
   */
  isWatchEnabled: boolean;
  onChange: ItemChangeCallback;
}

/**
 * A cache of all keys under a prefix: a local copy ({@link PrefixCopy}), and the requests that fill it and
 * keep it up to date. While watching is enabled, the copy may lag by the duration of one watch;
 * `linearizableRead` brings it up to the state at the time of the call.
 */
export class WatchCache {
  private readonly copy: PrefixCopy;
  private readonly listing: PrefixListing;
  private readonly reads: LinearizableReads;
  private isWatchEnabled: boolean;
  private isWatching = false;

  constructor(private readonly options: WatchCacheOptions) {
    const { prefix, store, clock, onChange } = options;
    this.isWatchEnabled = options.isWatchEnabled;
    this.copy = new PrefixCopy(onChange);
    const shared = { prefix, store, clock, copy: this.copy };
    this.listing = new PrefixListing({ ...shared, onListed: () => this.watch() });
    this.reads = new LinearizableReads({ ...shared, listing: this.listing });
  }

  /** The cached items by key. */
  get items(): ReadonlyMap<string, CachedItem> {
    return this.copy.items;
  }

  /** Whether the copy has been filled by a complete listing. */
  get isReady(): boolean {
    return this.copy.isReady;
  }

  /** When the last successful read was sent; the copy holds everything stored by then. */
  get freshAsOf(): number {
    return this.reads.freshAsOf;
  }

  /** Whether the last read failed. Further reads then return false at once until a probe succeeds. */
  get isFailing(): boolean {
    return this.reads.isFailing;
  }

  /**
   * Starts to fill the copy. Once filled, it is kept up to date by watches while they are enabled, and by a
   * periodic read otherwise.
   */
  start(): void {
    this.listing.start();
    this.readWhileIdle();
  }

  /** Enables or disables watching for changes. */
  setWatchEnabled(isWatchEnabled: boolean): void {
    this.isWatchEnabled = isWatchEnabled;
    this.watch();
  }

  /**
   * Calls back once the copy holds everything stored before this call, or with false if that is not possible
   * now. The read that serves a call is always sent after the call, so no result is older than its call.
   */
  linearizableRead(callback: ReadCallback): void {
    this.reads.read(callback);
  }

  /** Schedules a read of the latest changes without waiting for it. */
  requestRead(): void {
    this.reads.request();
  }

  private readWhileIdle(): void {
    const { clock } = this.options;
    const isIdle = clock.now() - this.reads.lastReadAt > IDLE_READ_INTERVAL_MS;
    if (!this.isWatchEnabled && this.isReady && isIdle) this.linearizableRead(() => {});
    clock.after(IDLE_READ_INTERVAL_MS / 4, () => this.readWhileIdle());
  }

  private watch(): void {
    if (!this.isWatchEnabled || this.isWatching || this.listing.isRunning || !this.isReady) return;
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
        // The store no longer has the changes, or the response was lost: the keys are listed again.
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
