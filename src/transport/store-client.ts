/** The state service over HTTP. */

import {
  type KeyValueStore,
  type ListPage,
  type ListRequest,
  type StoredItem,
  type Transaction,
  URGENCY,
  type Urgency,
  type WatchReply,
  type WatchRequest,
} from '../model/key-value-store.js';
import type { Failure, Result, ResultCallback } from '../model/result.js';
import { parseJson } from '../wire/json.js';
import {
  decodeFailedKeys,
  decodeLeaseId,
  decodeListPage,
  decodeStoredItem,
  decodeStoreRevision,
  decodeWatchReply,
  encodeTransaction,
} from '../wire/store-messages.js';
import { type HttpCall, HttpClient, type HttpReply } from './http-client.js';
import { RateLimiter, type RateLimits } from './rate-limiter.js';

const MAX_REQUEST_SOCKETS = 16;
/** A watch occupies its connection for as long as it waits. */
const MAX_WATCH_SOCKETS = 8;
const DEADLINE_MS = 1500;
/** Added to the time that a watch waits, for its response to come. */
const WATCH_RESPONSE_MS = 3000;
const PAGE_ITEMS = 500;
/** A throttled request is sent again so often, after a pause that grows by so much each time, plus a random part of it. */
const MAX_THROTTLED_RETRIES = 3;
const THROTTLED_RETRY_STEP_MS = 60;

/** A request, and how its response is read. */
interface StoreRequest<T> {
  urgency: Urgency;
  /** Puts and deletions in it. */
  writes: number;
  call: Omit<HttpCall, 'deadlineMs'>;
  /** Reads the body of a response with status 200; null: it is malformed, and the outcome unknown. */
  decode: (body: unknown) => T | null;
  /** The result where the service answers that there is no such thing; absent: that is a failure. */
  ifMissing?: T;
}

/**
 * The state service over HTTP, paced to stay under this controller's part of its limits; lease requests pass the queue.
 * Requests fail as
 * - `refused` if they were surely not executed;
 * - `notFound` if there is no such lease, or the changes asked for are no longer kept;
 * - `conflict`, with the keys, if a transaction's conditions did not hold;
 * - `invalid` if the service rejected them, as it does a write with an expired lease;
 * - `indeterminate` if they may have been executed, or may yet be.
 */
export class StoreClient implements KeyValueStore {
  private readonly requests: HttpClient;
  private readonly watches: HttpClient;
  private readonly limiter: RateLimiter;

  /** @param address `HOST:PORT` of the service */
  constructor(address: string, limits: RateLimits) {
    this.requests = new HttpClient(address, MAX_REQUEST_SOCKETS);
    this.watches = new HttpClient(address, MAX_WATCH_SOCKETS);
    this.limiter = new RateLimiter(limits);
  }

  /** A key's item; null: there is none. */
  get(key: string, urgency: Urgency, callback: ResultCallback<StoredItem | null>): void {
    this.run<StoredItem | null>(
      {
        urgency,
        writes: 0,
        call: { method: 'GET', path: `/store/${encodeURI(key)}` },
        decode: decodeStoredItem,
        ifMissing: null,
      },
      callback,
    );
  }

  /** One page of the keys with a prefix, in their order, starting after `startAfter`. */
  list({ prefix, startAfter, urgency }: ListRequest, callback: ResultCallback<ListPage>): void {
    const query = `prefix=${encodeURIComponent(prefix)}&since=${encodeURIComponent(startAfter)}&page=${PAGE_ITEMS}`;
    this.run(
      { urgency, writes: 0, call: { method: 'GET', path: `/store?${query}` }, decode: decodeListPage },
      callback,
    );
  }

  /** Carries out a transaction; its result is the store's revision after it. */
  compareAndSwap(transaction: Transaction, urgency: Urgency, callback: ResultCallback<number>): void {
    this.run(
      {
        urgency,
        writes: transaction.operations.length,
        call: { method: 'POST', path: '/txn', body: encodeTransaction(transaction) },
        decode: decodeStoreRevision,
      },
      callback,
    );
  }

  /** Takes a lease of a time to live in ms, rounded; its result is the lease's id. */
  grantLease(ttlMs: number, callback: ResultCallback<number>): void {
    const call = { method: 'POST', path: '/grants', body: { ttl_ms: Math.round(ttlMs) } };
    this.run({ urgency: URGENCY.lease, writes: 0, call, decode: decodeLeaseId }, callback);
  }

  /** Renews a lease for its full time. */
  keepLeaseAlive(leaseId: number, callback: ResultCallback<null>): void {
    this.runOnLease({ method: 'POST', path: `/grants/${leaseId}/touch`, body: {} }, callback);
  }

  /** Ends a lease; the keys attached to it go. */
  revokeLease(leaseId: number, callback: ResultCallback<null>): void {
    this.runOnLease({ method: 'DELETE', path: `/grants/${leaseId}` }, callback);
  }

  /** Waits for changes after the revision `sinceRevision`, for up to `waitMs`; 0: only asks for those there are. */
  watch({ prefix, sinceRevision, waitMs }: WatchRequest, callback: ResultCallback<WatchReply>): void {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&wait_ms=${waitMs}`;
    const deadlineMs = waitMs === 0 ? DEADLINE_MS : waitMs + WATCH_RESPONSE_MS;
    this.limiter.acquire(URGENCY.user, 0, (acquired) => {
      if (!acquired) {
        callback({ ok: false, kind: 'refused' });
        return;
      }
      this.watches.call({ method: 'GET', path, deadlineMs }, (reply) => {
        if (reply.status === 429) this.limiter.onThrottled();
        callback(resultOf(reply, decodeWatchReply));
      });
    });
  }

  private runOnLease(call: StoreRequest<true>['call'], callback: ResultCallback<null>): void {
    const request = { urgency: URGENCY.lease, writes: 0, call, decode: () => true as const };
    this.run(request, (result) => callback(result.ok ? { ok: true, value: null } : result));
  }

  private run<T>(request: StoreRequest<T>, callback: ResultCallback<T>, throttledBefore = 0): void {
    this.limiter.acquire(request.urgency, request.writes, (acquired) => {
      if (!acquired) {
        callback({ ok: false, kind: 'refused' });
        return;
      }
      this.requests.call({ ...request.call, deadlineMs: DEADLINE_MS }, (reply) => {
        if (reply.status === 429) this.limiter.onThrottled();
        // A throttled request was not executed.
        if (reply.status === 429 && throttledBefore < MAX_THROTTLED_RETRIES)
          this.retry(request, callback, throttledBefore + 1);
        else if (reply.status === 404 && request.ifMissing !== undefined)
          callback({ ok: true, value: request.ifMissing });
        else callback(resultOf(reply, request.decode));
      });
    });
  }

  private retry<T>(request: StoreRequest<T>, callback: ResultCallback<T>, throttled: number): void {
    const delayMs = THROTTLED_RETRY_STEP_MS * (throttled + Math.random());
    setTimeout(() => this.run(request, callback, throttled), delayMs);
  }
}

function resultOf<T>(reply: HttpReply, decode: (body: unknown) => T | null): Result<T> {
  if (reply.status !== 200) return failureOf(reply);
  const value = decode(parseJson(reply.text));
  return value === null ? { ok: false, kind: 'indeterminate' } : { ok: true, value };
}

function failureOf(reply: HttpReply): Failure {
  switch (reply.status) {
    case 0:
      return { ok: false, kind: reply.sent ? 'indeterminate' : 'refused' };
    case 400:
      return { ok: false, kind: 'invalid' };
    case 404:
    case 410:
      return { ok: false, kind: 'notFound' };
    case 409:
      return { ok: false, kind: 'conflict', failedKeys: decodeFailedKeys(parseJson(reply.text)) };
    case 429:
    case 503:
      return { ok: false, kind: 'refused' };
    default:
      return { ok: false, kind: 'indeterminate' };
  }
}
