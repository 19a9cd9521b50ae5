/** Reads the records of jobs from the key-value store. */

import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import { OPEN_JOBS_PREFIX, PLACEMENTS_PREFIX } from '../store/keyspace.js';
import { mergeStoredItem, type StoredJob } from '../store/stored-job.js';

/** Jobs by id, as their stored records have them; null: a read failed. */
export type StoredJobsCallback = (found: Map<string, StoredJob> | null) => void;

/**
 * Reads the records of one job, or of all with an id of null. Jobs come first and placements second: a job cancelled in between
 * is noticed by its revision, and whoever reads knows that nobody else places its tasks meanwhile.
 */
export function readStoredJobs(
  store: KeyValueStore,
  jobId: string | null,
  callback: StoredJobsCallback,
): void {
  const found = new Map<string, StoredJob>();
  const suffix = jobId === null ? '' : `${jobId}/`;
  const readPrefix = (prefix: string, onRead: () => void) =>
    readPages({ store, prefix: `${prefix}${suffix}`, found, onFailed: () => callback(null), onRead });
  readPrefix(OPEN_JOBS_PREFIX, () => readPrefix(PLACEMENTS_PREFIX, () => callback(found)));
}

interface PagedRead {
  store: KeyValueStore;
  prefix: string;
  found: Map<string, StoredJob>;
  onRead(): void;
  onFailed(): void;
}

function readPages({ store, prefix, found, onRead, onFailed }: PagedRead): void {
  const readPage = (startAfter: string) =>
    store.list({ prefix, startAfter, urgency: URGENCY.user }, (result) => {
      if (!result.ok) {
        onFailed();
        return;
      }
      const { items, hasMore } = result.value;
      for (const item of items) mergeStoredItem(found, item);
      const last = items.at(-1);
      if (hasMore && last) readPage(last.key);
      else onRead();
    });
  readPage(prefix);
}
