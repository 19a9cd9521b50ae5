import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import { OPEN_JOBS_PREFIX, PLACEMENTS_PREFIX } from '../store/keyspace.js';
import { readStoredItem, type StoredJob } from '../store/stored-job.js';

/** Jobs by id, as their stored records tell; null: a read failed. */
export type StoredJobsCallback = (found: Map<string, StoredJob> | null) => void;

/**
 * Reads the records of one job, or of all. Jobs come first and placements second: a job cancelled in between is noticed by its
 * version, and whoever reads knows that nobody else places its tasks meanwhile.
 */
export function readStoredJobs(state: KeyValueStore, id: string | null, then: StoredJobsCallback): void {
  const found = new Map<string, StoredJob>();
  const suffix = id === null ? '' : `${id}/`;
  readPages(state, `${OPEN_JOBS_PREFIX}${suffix}`, found, (ok) => {
    if (!ok) return then(null);
    readPages(state, `${PLACEMENTS_PREFIX}${suffix}`, found, (placesOk) => then(placesOk ? found : null));
  });
}

function readPages(
  state: KeyValueStore,
  prefix: string,
  found: Map<string, StoredJob>,
  then: (ok: boolean) => void,
): void {
  const page = (startAfter: string) =>
    state.list({ prefix, startAfter, urgency: URGENCY.user }, (result) => {
      if (!result.ok) return then(false);
      for (const item of result.value.items) readStoredItem(found, item);
      const last = result.value.items.at(-1);
      if (result.value.hasMore && last) page(last.key);
      else then(true);
    });
  page(prefix);
}
