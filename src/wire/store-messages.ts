/** The state service's protocol: keys, pages, transactions, leases and watches. */

import type {
  ListPage,
  StoredItem,
  StoreOperation,
  Transaction,
  WatchEvent,
  WatchReply,
} from '../model/key-value-store.js';
import { asCount, asNonEmptyString, isJsonObject } from './json.js';

/** A key with its value and revision, or null if it is malformed. */
export function decodeItem(encoded: unknown): StoredItem | null {
  if (!isJsonObject(encoded)) return null;
  const key = asNonEmptyString(encoded.key);
  const modRevision = asCount(encoded.mark);
  if (key === null || modRevision === null) return null;
  const leaseId = asCount(encoded.tenure);
  return { key, value: encoded.value, modRevision, ...(leaseId === null ? {} : { leaseId }) };
}

/** A page in a response, or null if it can't be read whole: a missing item would be taken for a deleted one. */
export function decodeItemPage(encoded: unknown): ListPage | null {
  if (!isJsonObject(encoded) || !Array.isArray(encoded.items)) return null;
  const storeRevision = asCount(encoded.ring);
  if (storeRevision === null) return null;
  const items = decodeAll(encoded.items, decodeItem);
  return items && { items, hasMore: encoded.has_next === true, storeRevision };
}

/** The store's revision after a transaction, or null if the response is malformed. */
export function decodeStoreRevision(encoded: unknown): number | null {
  return isJsonObject(encoded) ? asCount(encoded.ring) : null;
}

/** The keys whose conditions a transaction failed on, as far as the response names them. */
export function decodeFailedKeys(encoded: unknown): string[] {
  return isJsonObject(encoded) && Array.isArray(encoded.failed)
    ? encoded.failed.filter((key): key is string => typeof key === 'string')
    : [];
}

/** The id of a lease that was granted, or null if the response is malformed. */
export function decodeLeaseId(encoded: unknown): number | null {
  return isJsonObject(encoded) ? asCount(encoded.tenure) : null;
}

/** The changes in a response, or null if they can't be read whole: none may be missed. */
export function decodeWatchBatch(encoded: unknown): WatchReply | null {
  if (!isJsonObject(encoded)) return null;
  const storeRevision = asCount(encoded.ring);
  if (storeRevision === null || !Array.isArray(encoded.log)) return null;
  const events = decodeAll(encoded.log, decodeWatchEvent);
  return events && { storeRevision, events };
}

function decodeWatchEvent(encoded: unknown): WatchEvent | null {
  if (!isJsonObject(encoded)) return null;
  const modRevision = asCount(encoded.mark);
  if (modRevision === null) return null;
  const written = asNonEmptyString(encoded.write);
  if (written !== null) return { type: 'put', key: written, modRevision, value: encoded.value };
  const deleted = asNonEmptyString(encoded.drop);
  return deleted === null ? null : { type: 'delete', key: deleted, modRevision };
}

/** The body of a transaction. */
export function encodeTransaction(transaction: Transaction): Record<string, unknown> {
  return {
    when: transaction.preconditions.map(({ key, modRevision }) => ({ key, mark: modRevision })),
    then: transaction.operations.map(encodeOperation),
  };
}

function encodeOperation(operation: StoreOperation): Record<string, unknown> {
  if (operation.type === 'delete') return { drop: operation.key };
  const { key, value, leaseId } = operation;
  return leaseId === undefined ? { write: key, value } : { write: key, value, tenure: leaseId };
}

/** All values decoded, or null if one can't be. */
function decodeAll<T>(encoded: readonly unknown[], decode: (value: unknown) => T | null): T[] | null {
  const decoded: T[] = [];
  for (const value of encoded) {
    const one = decode(value);
    if (one === null) return null;
    decoded.push(one);
  }
  return decoded;
}
