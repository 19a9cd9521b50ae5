/** The consensus-backed key-value store, the only place where controllers keep state. */

import type { ResultCallback } from './result.js';

export type StoreOperation = { put: string; value: unknown; lease?: number } | { del: string };

export interface Transaction {
  preconditions: { key: string; modRevision: number }[];
  operations: StoreOperation[];
}

export interface StoredItem {
  key: string;
  value: unknown;
  modRevision: number;
  leaseId?: number;
}

export type WatchEvent = { key: string; modRevision: number; value: unknown; deleted: boolean };

/**
 * Urgency of a request to the state service, most urgent first. Submissions and the reads that answer users cost one put
 * or none each, so they go before the placements, whose transactions use up the budget of writes.
 */
export const URGENCY = { lease: 0, user: 1, placement: 2, read: 3, cleanup: 4 } as const;

export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

export interface KeyValueStore {
  get(key: string, urgency: Urgency, callback: ResultCallback<StoredItem | null>): void;
  list(
    prefix: string,
    since: string,
    urgency: Urgency,
    callback: ResultCallback<{ items: StoredItem[]; more: boolean; storeRevision: number }>,
  ): void;
  compareAndSwap(transaction: Transaction, urgency: Urgency, callback: ResultCallback<number>): void;
  grantLease(ttlMs: number, callback: ResultCallback<number>): void;
  keepLeaseAlive(lease: number, callback: ResultCallback<null>): void;
  revokeLease(lease: number, callback: ResultCallback<null>): void;
  watch(
    prefix: string,
    since: number,
    waitMs: number,
    callback: ResultCallback<{ storeRevision: number; events: WatchEvent[] }>,
  ): void;
}
