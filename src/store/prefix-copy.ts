/** A local copy of all keys under one prefix, built from listings and watches. */

import type { StoredItem, WatchEvent, WatchResponse } from '../model/key-value-store.js';

/** A key's latest known value. */
export interface CachedItem {
  value: unknown;
  modRevision: number;
  /** The lease that the key is attached to; known only from listings, since watches don't report it. */
  leaseId: number | undefined;
}

/** Called when a key has changed; a value of undefined means that the key was deleted. */
export type ItemChangeCallback = (key: string, value: unknown, modRevision: number) => void;

/**
 * A local copy of the keys under a prefix. It applies listings and watches in any order and never reverts a
 * key to an older revision.
 */
export class PrefixCopy {
  readonly items = new Map<string, CachedItem>();
  /** The copy holds all changes up to this store revision. */
  storeRevision = 0;
  /** Whether a listing has been completed. */
  isReady = false;

  constructor(private readonly onChange: ItemChangeCallback) {}

  /** Stores a key unless the copy has the same or a newer revision. */
  put({ key, value, modRevision, leaseId }: StoredItem): void {
    const known = this.items.get(key);
    if (known && known.modRevision >= modRevision) return;
    this.items.set(key, { value, modRevision, leaseId });
    this.onChange(key, value, modRevision);
  }

  /**
   * Applies the changes of a watch. Two watches may be in flight at once: changes that an earlier response
   * already brought are skipped, because otherwise a key deleted since would reappear. Of several changes to
   * one key, only the last is applied.
   */
  apply({ storeRevision, events }: WatchResponse): void {
    if (storeRevision <= this.storeRevision) return;
    const latest = new Map<string, WatchEvent>();
    for (const event of events) if (event.modRevision > this.storeRevision) latest.set(event.key, event);
    this.storeRevision = storeRevision;
    for (const event of latest.values()) {
      if (event.type === 'delete') this.delete(event.key, event.modRevision);
      else this.put(event);
    }
  }

  /**
   * Completes a listing after all its pages have been stored: keys that were not listed are deleted as of the
   * first page's revision.
   */
  finishListing(listedKeys: ReadonlySet<string>, storeRevision: number): void {
    for (const key of [...this.items.keys()]) if (!listedKeys.has(key)) this.delete(key, storeRevision);
    this.storeRevision = storeRevision;
    this.isReady = true;
  }

  private delete(key: string, modRevision: number): void {
    const known = this.items.get(key);
    if (!known || known.modRevision > modRevision) return;
    this.items.delete(key);
    this.onChange(key, undefined, modRevision);
  }
}
