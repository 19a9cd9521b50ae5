/** The consensus-backed key-value store, the only place where controllers keep state. */

import type { ResultCallback } from './result.js';

/** A change of one key, part of a transaction. */
export type StoreOperation =
  /** Stores the value. With a lease the key is removed when that lease ends; without one it is detached from any lease. */
  { type: 'put'; key: string; value: unknown; leaseId?: number } | { type: 'delete'; key: string };

/** A key must have this revision, or not exist (0), for a transaction to be executed. */
export interface Precondition {
  key: string;
  modRevision: number;
}

/** Changes that are executed together if all preconditions hold, and not at all if one does not. */
export interface Transaction {
  preconditions: Precondition[];
  operations: StoreOperation[];
}

/** A key with its value. */
export interface StoredItem {
  key: string;
  value: unknown;
  /** Store revision of the latest change of this key. */
  modRevision: number;
  /** Absent: the key belongs to no lease, or the store has not said. */
  leaseId?: number;
}

/** One change of a key, as a watch reports it. */
export type WatchEvent =
  | { type: 'put'; key: string; modRevision: number; value: unknown }
  | { type: 'delete'; key: string; modRevision: number };

/** Which part of the keys is listed: those with the prefix that follow `startAfter` in their order. */
export interface ListRequest {
  prefix: string;
  startAfter: string;
  urgency: Urgency;
}

/** One page of a list, in the order of the keys. */
export interface ListPage {
  items: StoredItem[];
  /** Whether keys follow after the last one here. */
  hasMore: boolean;
  storeRevision: number;
}

/** Which changes are watched for: those of keys with the prefix, after a revision of the store. */
export interface WatchRequest {
  prefix: string;
  sinceRevision: number;
  /** Longest time until the answer if nothing changes; 0: what has changed until now is answered at once. */
  waitMs: number;
}

/** All changes up to a revision of the store. */
export interface WatchReply {
  storeRevision: number;
  events: WatchEvent[];
}

/**
 * Urgency of a request to the key-value store, most urgent first. Submissions and the reads that answer users cost one put
 * or none each, so they go before the placements, whose transactions use up the budget of writes.
 */
export const URGENCY = { lease: 0, user: 1, placement: 2, read: 3, cleanup: 4 } as const;

/** One of `URGENCY`. */
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

/** Calls of the key-value store. Each calls back exactly once. */
export interface KeyValueStore {
  /** Null: there is no such key. */
  get(key: string, urgency: Urgency, callback: ResultCallback<StoredItem | null>): void;
  list(request: ListRequest, callback: ResultCallback<ListPage>): void;
  /** The revision of the changes; `conflict` with the keys whose preconditions failed. */
  compareAndSwap(transaction: Transaction, urgency: Urgency, callback: ResultCallback<number>): void;
  /** The id of a new lease. */
  grantLease(ttlMs: number, callback: ResultCallback<number>): void;
  /** `notFound`: the lease has ended. */
  keepLeaseAlive(leaseId: number, callback: ResultCallback<null>): void;
  /** Ends a lease and removes its keys; `notFound`: it had ended. */
  revokeLease(leaseId: number, callback: ResultCallback<null>): void;
  /** `notFound`: the store no longer knows all changes since then; the keys must be listed again. */
  watch(request: WatchRequest, callback: ResultCallback<WatchReply>): void;
}
