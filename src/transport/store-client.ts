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
  decodeItem,
  decodeItemPage,
  decodeLeaseId,
  decodeStoreRevision,
  decodeWatchBatch,
  encodeTransaction,
} from '../wire/store-messages.js';
import { type HttpCall, HttpClient, type HttpReply } from './http-client.js';
import { RateLimiter, type RateLimits } from './rate-limiter.js';

const MAX_REQUEST_CONNECTIONS = 16;
/** A watch occupies its connection for as long as it waits. */
const MAX_WATCH_CONNECTIONS = 8;
const CALL_TIMEOUT_MS = 1500;
/** Added to the time that a watch waits, for its response to come. */
const WATCH_RESPONSE_MARGIN_MS = 3000;
const PAGE_SIZE = 500;
/** A throttled request is sent again so often, after a pause that grows by so much each time, plus a random part of it. */
const MAX_THROTTLED_RETRIES = 3;
const THROTTLED_RETRY_STEP_MS = 60;

/** A request, and how its response is read. */
interface StoreRequest<T> {
  urgency: Urgency;
  /** Puts and deletions in it. */
  writes: number;
  call: Omit<HttpCall, 'timeoutMs'>;
  /** Reads the body of a response with status 200; null: it is malformed, and the outcome unknown. */
  decode: (body: unknown) => T | null;
  /** The result where the service answers that there is no such thing; absent: that is a failure. */
  valueIfMissing?: T;
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
  private readonly requestClient: HttpClient;
  private readonly watchClient: HttpClient;
  private readonly rateLimiter: RateLimiter;

  /** @param address `HOST:PORT` of the service */
  constructor(address: string, limits: RateLimits) {
    this.requestClient = new HttpClient(address, MAX_REQUEST_CONNECTIONS);
    this.watchClient = new HttpClient(address, MAX_WATCH_CONNECTIONS);
    this.rateLimiter = new RateLimiter(limits);
  }

  /** A key's item; null: there is none. */
  get(key: string, urgency: Urgency, callback: ResultCallback<StoredItem | null>): void {
    this.execute<StoredItem | null>(
      {
        urgency,
        writes: 0,
        call: { method: 'GET', path: `/store/${encodeURI(key)}` },
        decode: decodeItem,
        valueIfMissing: null,
      },
      callback,
    );
  }

  /** One page of the keys with a prefix, in their order, starting after `startAfter`. */
  list({ prefix, startAfter, urgency }: ListRequest, callback: ResultCallback<ListPage>): void {
    const query = `prefix=${encodeURIComponent(prefix)}&since=${encodeURIComponent(startAfter)}&page=${PAGE_SIZE}`;
    this.execute(
      { urgency, writes: 0, call: { method: 'GET', path: `/store?${query}` }, decode: decodeItemPage },
      callback,
    );
  }

  /** Carries out a transaction; its result is the store's revision after it. */
  compareAndSwap(transaction: Transaction, urgency: Urgency, callback: ResultCallback<number>): void {
    this.execute(
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
    this.execute({ urgency: URGENCY.lease, writes: 0, call, decode: decodeLeaseId }, callback);
  }

  /** Renews a lease for its full time. */
  keepLeaseAlive(leaseId: number, callback: ResultCallback<null>): void {
    this.executeOnLease({ method: 'POST', path: `/grants/${leaseId}/touch`, body: {} }, callback);
  }

  /** Ends a lease; the keys attached to it go. */
  revokeLease(leaseId: number, callback: ResultCallback<null>): void {
    this.executeOnLease({ method: 'DELETE', path: `/grants/${leaseId}` }, callback);
  }

  /** Waits for changes after the revision `sinceRevision`, for up to `waitMs`; 0: only asks for those there are. */
  watch({ prefix, sinceRevision, waitMs }: WatchRequest, callback: ResultCallback<WatchReply>): void {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs === 0 ? CALL_TIMEOUT_MS : waitMs + WATCH_RESPONSE_MARGIN_MS;
    this.rateLimiter.acquire(URGENCY.user, 0, (acquired) => {
      if (!acquired) {
        callback({ ok: false, kind: 'refused' });
        return;
      }
      this.watchClient.call({ method: 'GET', path, timeoutMs }, (reply) => {
        if (reply.status === 429) this.rateLimiter.onThrottled();
        callback(toResult(reply, decodeWatchBatch));
      });
    });
  }

  private executeOnLease(call: StoreRequest<true>['call'], callback: ResultCallback<null>): void {
    const request = { urgency: URGENCY.lease, writes: 0, call, decode: () => true as const };
    this.execute(request, (result) => callback(result.ok ? { ok: true, value: null } : result));
  }

  private execute<T>(request: StoreRequest<T>, callback: ResultCallback<T>, throttledCount = 0): void {
    this.rateLimiter.acquire(request.urgency, request.writes, (acquired) => {
      if (!acquired) {
        callback({ ok: false, kind: 'refused' });
        return;
      }
      this.requestClient.call({ ...request.call, timeoutMs: CALL_TIMEOUT_MS }, (reply) => {
        if (reply.status === 429) this.rateLimiter.onThrottled();
        // A throttled request was not executed.
        if (reply.status === 429 && throttledCount < MAX_THROTTLED_RETRIES)
          this.retry(request, callback, throttledCount + 1);
        else if (reply.status === 404 && request.valueIfMissing !== undefined)
          callback({ ok: true, value: request.valueIfMissing });
        else callback(toResult(reply, request.decode));
      });
    });
  }

  private retry<T>(request: StoreRequest<T>, callback: ResultCallback<T>, throttledCount: number): void {
    const delayMs = THROTTLED_RETRY_STEP_MS * (throttledCount + Math.random());
    setTimeout(() => this.execute(request, callback, throttledCount), delayMs);
  }
}

function toResult<T>(reply: HttpReply, decode: (body: unknown) => T | null): Result<T> {
  if (reply.status !== 200) return toFailure(reply);
  const value = decode(parseJson(reply.body));
  return value === null ? { ok: false, kind: 'indeterminate' } : { ok: true, value };
}

function toFailure(reply: HttpReply): Failure {
  switch (reply.status) {
    case 0:
      return { ok: false, kind: reply.sent ? 'indeterminate' : 'refused' };
    case 400:
      return { ok: false, kind: 'invalid' };
    case 404:
    case 410:
      return { ok: false, kind: 'notFound' };
    case 409:
      return { ok: false, kind: 'conflict', failedKeys: decodeFailedKeys(parseJson(reply.body)) };
    case 429:
    case 503:
      return { ok: false, kind: 'refused' };
    default:
      return { ok: false, kind: 'indeterminate' };
  }
}
