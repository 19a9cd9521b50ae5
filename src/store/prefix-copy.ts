/** A local copy of all keys under one prefix, and what has been learned into it so far. */

import type { StoredItem, WatchEvent, WatchReply } from '../model/key-value-store.js';

/** A key's value as last learned. */
export interface CachedItem {
  value: unknown;
  modRevision: number;
  /** Known from listings only: watches don't say it. */
  leaseId: number | undefined;
}

/** A key has changed; a value of undefined: it was deleted. */
export type OnItemChanged = (key: string, value: unknown, modRevision: number) => void;

/** The copy itself: it takes what lists and watches bring, in any order, and never goes back. */
export class PrefixCopy {
  readonly items = new Map<string, CachedItem>();
  /** All changes up to this revision of the store are in the copy. */
  storeRevision = 0;
  /** Listed once. */
  isReady = false;

  constructor(private readonly onChange: OnItemChanged) {}

  /** Takes one key unless it is known as new or newer. */
  put({ key, value, modRevision, leaseId }: StoredItem): void {
    const known = this.items.get(key);
    if (known && known.modRevision >= modRevision) return;
    this.items.set(key, { value, modRevision, leaseId });
    this.onChange(key, value, modRevision);
  }

  /**
   * Takes the changes of a watch. Two may be under way at once: what an earlier answer already brought is passed over, or a
   * key deleted since would come back; of several changes of a key only the last counts.
   */
  apply({ storeRevision, events }: WatchReply): void {
    if (storeRevision <= this.storeRevision) return;
    const latest = new Map<string, WatchEvent>();
    for (const event of events) if (event.modRevision > this.storeRevision) latest.set(event.key, event);
    this.storeRevision = storeRevision;
    for (const event of latest.values()) {
      if (event.type === 'delete') this.delete(event.key, event.modRevision);
      else this.put(event);
    }
  }

  /** All pages of a list have been put; keys that were not in them are gone as of the first page's revision. */
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
