/** Reads the records of jobs from the key-value store. */

import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import { OPEN_JOBS_PREFIX, PLACEMENTS_PREFIX } from '../store/keyspace.js';
import { mergeStoredItem, type StoredJob } from '../store/stored-job.js';

/** Receives the stored jobs by id, or null if a read failed. */
export type StoredJobsCallback = (storedJobs: Map<string, StoredJob> | null) => void;

/**
 * Reads the records of one job, or of all jobs if `jobId` is null. The job and counter records are read
 * before the placement records: the caller notices a cancellation made in between by the revision of the job
 * record, and must ensure that no other process stores placements in the meantime.
 */
export function readStoredJobs(
  store: KeyValueStore,
  jobId: string | null,
  callback: StoredJobsCallback,
): void {
  const storedJobs = new Map<string, StoredJob>();
  const suffix = jobId === null ? '' : `${jobId}/`;
  const readPrefix = (prefix: string, onRead: () => void) =>
    readPages({
      store,
      prefix: `${prefix}${suffix}`,
      storedJobs,
      onFailed: () => callback(null),
      onRead,
    });
  readPrefix(OPEN_JOBS_PREFIX, () => readPrefix(PLACEMENTS_PREFIX, () => callback(storedJobs)));
}

interface PagedRead {
  store: KeyValueStore;
  prefix: string;
  storedJobs: Map<string, StoredJob>;
  onRead(): void;
  onFailed(): void;
}

function readPages({ store, prefix, storedJobs, onRead, onFailed }: PagedRead): void {
  const readPage = (startAfter: string) =>
    store.list({ prefix, startAfter, urgency: URGENCY.user }, (result) => {
      if (!result.ok) {
        onFailed();
        return;
      }
      const { items, hasMore } = result.value;
      for (const item of items) mergeStoredItem(storedJobs, item);
      const lastItem = items.at(-1);
      if (hasMore && lastItem) readPage(lastItem.key);
      else onRead();
    });
  readPage(prefix);
}
