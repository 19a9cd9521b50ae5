/** The consensus-backed key-value store, which holds all persistent state of the controllers. */

import type { ResultCallback } from './result.js';

/** A write to one key within a transaction. */
export type StoreOperation =
  /**
   * Stores a value under a key. With `leaseId`, the key is deleted when that lease ends; without it, the key
   * is detached from any lease.
   */
  { type: 'put'; key: string; value: unknown; leaseId?: number } | { type: 'delete'; key: string };

/** Requires a key to have this revision, or not to exist if it is 0, for a transaction to be executed. */
export interface Precondition {
  key: string;
  modRevision: number;
}

/** Operations that are executed atomically if all preconditions hold, and not at all otherwise. */
export interface Transaction {
  preconditions: Precondition[];
  operations: StoreOperation[];
}

/** A key with its value and revision. */
export interface StoredItem {
  key: string;
  value: unknown;
  /** Store revision of the latest change to this key. */
  modRevision: number;
  /** The lease that the key is attached to; absent: there is none, or the store did not report it. */
  leaseId?: number;
}

/** One change to a key, as reported by a watch. */
export type WatchEvent =
  | { type: 'put'; key: string; modRevision: number; value: unknown }
  | { type: 'delete'; key: string; modRevision: number };

/** The keys to list: those with the prefix that sort after `startAfter`. */
export interface ListRequest {
  prefix: string;
  startAfter: string;
  urgency: Urgency;
}

/** One page of a list of keys, in key order. */
export interface ListPage {
  items: StoredItem[];
  /** Whether more keys follow the last one on this page. */
  hasMore: boolean;
  storeRevision: number;
}

/** The changes to watch for: those to keys with the prefix, made after a store revision. */
export interface WatchRequest {
  prefix: string;
  sinceRevision: number;
  /** Maximum time to wait for a change; 0: return the changes made so far at once. */
  waitMs: number;
}

/** All matching changes up to a store revision. */
export interface WatchResponse {
  storeRevision: number;
  events: WatchEvent[];
}

/**
 * Urgency of a request to the key-value store; a lower number is more urgent.
 * - `lease`: leases, elections, owners of shards, and cancellations.
 * - `user`: submissions, listings, watches, and the reads of a write fence and of a job that is to be
 *   cancelled. They cost at most one write each, so they precede placements, whose transactions use up the
 *   write budget.
 * - `placement`: placements and counters of unfinished jobs, write fences, and machine types.
 * - `read`: reads of the final state of a job for its user.
 * - `archive`: final records of jobs.
 */
export const URGENCY = { lease: 0, user: 1, placement: 2, read: 3, archive: 4 } as const;

/** One of the values of `URGENCY`. */
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

/**
 * Operations of the key-value store. Each calls back exactly once. Preconditions that do not hold fail as
 * `conflict`; see `Failure` in result.ts for the other failures.
 */
export interface KeyValueStore {
  /** Reads a key; the result is null if the key does not exist. */
  get(key: string, urgency: Urgency, callback: ResultCallback<StoredItem | null>): void;
  /** Reads one page of a list of keys. */
  list(request: ListRequest, callback: ResultCallback<ListPage>): void;
  /**
   * Executes a transaction; the result is its store revision, which becomes the `modRevision` of the keys
   * that it wrote. Fails as `conflict` with the keys whose preconditions did not hold.
   */
  compareAndSwap(transaction: Transaction, urgency: Urgency, callback: ResultCallback<number>): void;
  /** Grants a lease; the result is its id. */
  grantLease(ttlMs: number, callback: ResultCallback<number>): void;
  /** Renews a lease. Fails as `notFound` if it has ended. */
  keepLeaseAlive(leaseId: number, callback: ResultCallback<null>): void;
  /** Ends a lease and deletes its keys. Fails as `notFound` if it had already ended. */
  revokeLease(leaseId: number, callback: ResultCallback<null>): void;
  /**
   * Requests the changes since a revision: a long poll, which responds once there is a change or after
   * `waitMs`. The caller repeats it to keep watching. Fails as `notFound` if the store no longer keeps all
   * changes since that revision; the keys must then be listed again.
   */
  watch(request: WatchRequest, callback: ResultCallback<WatchResponse>): void;
}
