/**
 * The protocol of the state service, which provides the key-value store: items, pages, transactions, leases
 * and watches. In the protocol's terms, a `ring` is a store revision, a `mark` the revision of one key, a
 * `tenure` a lease id, and the `log` the changes reported by a watch.
 */

import type {
  ListPage,
  StoredItem,
  StoreOperation,
  Transaction,
  WatchEvent,
  WatchResponse,
} from '../model/key-value-store.js';
import { asCount, asNonEmptyString, isJsonObject } from './json.js';

/** Decodes a key with its value and revision, or returns null if it is malformed. */
export function decodeStoredItem(encoded: unknown): StoredItem | null {
  if (!isJsonObject(encoded)) return null;
  const key = asNonEmptyString(encoded.key);
  const modRevision = asCount(encoded.mark);
  if (key === null || modRevision === null) return null;
  const leaseId = asCount(encoded.tenure);
  return { key, value: encoded.value, modRevision, ...(leaseId === null ? {} : { leaseId }) };
}

/**
 * Decodes a page of a list of keys. Returns null if any item is malformed, because a missing item would be
 * taken for a deleted one.
 */
export function decodeListPage(encoded: unknown): ListPage | null {
  if (!isJsonObject(encoded) || !Array.isArray(encoded.items)) return null;
  const storeRevision = asCount(encoded.ring);
  if (storeRevision === null) return null;
  const items = decodeAll(encoded.items, decodeStoredItem);
  return items && { items, hasMore: encoded.has_next === true, storeRevision };
}

/** Decodes the store revision after a transaction, or returns null if the response is malformed. */
export function decodeStoreRevision(encoded: unknown): number | null {
  return isJsonObject(encoded) ? asCount(encoded.ring) : null;
}

/** Decodes the keys whose preconditions did not hold, as far as the response names them. */
export function decodeFailedKeys(encoded: unknown): string[] {
  return isJsonObject(encoded) && Array.isArray(encoded.failed)
    ? encoded.failed.filter((key): key is string => typeof key === 'string')
    : [];
}

/** Decodes the id of a granted lease, or returns null if the response is malformed. */
export function decodeLeaseId(encoded: unknown): number | null {
  return isJsonObject(encoded) ? asCount(encoded.tenure) : null;
}

/**
 * Decodes the changes in the response to a watch. Returns null if any change is malformed, because none may
 * be missed.
 */
export function decodeWatchResponse(encoded: unknown): WatchResponse | null {
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

/** Encodes the body of a transaction. */
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

/** Decodes all values, or returns null if any of them is malformed. */
function decodeAll<T>(encoded: readonly unknown[], decode: (value: unknown) => T | null): T[] | null {
  const decoded: T[] = [];
  for (const value of encoded) {
    const item = decode(value);
    if (item === null) return null;
    decoded.push(item);
  }
  return decoded;
}
