/** HTTP client for the key-value store. */

import {
  type KeyValueStore,
  type ListPage,
  type ListRequest,
  type StoredItem,
  type Transaction,
  URGENCY,
  type Urgency,
  type WatchRequest,
  type WatchResponse,
} from '../model/key-value-store.js';
import type { Failure, Result, ResultCallback } from '../model/result.js';
import { parseJson } from '../wire/json.js';
import {
  decodeFailedKeys,
  decodeLeaseId,
  decodeListPage,
  decodeStoredItem,
  decodeStoreRevision,
  decodeWatchResponse,
  encodeTransaction,
} from '../wire/store-messages.js';
import { type HttpCall, HttpClient, type HttpReply } from './http-client.js';
import { RateLimiter, type RateLimits } from './rate-limiter.js';

const MAX_REQUEST_CONNECTIONS = 16;
/**
 * Maximum number of connections for watches, which is separate: a watch is a long-poll request, which
 * occupies its connection until its response.
 */
const MAX_WATCH_CONNECTIONS = 8;
const CALL_TIMEOUT_MS = 1500;
/** Time added to the wait time of a watch to allow for the transfer of its response. */
const WATCH_RESPONSE_MARGIN_MS = 3000;
const PAGE_SIZE = 500;
/**
 * A throttled request is retried up to this many times. The delay grows by {@link THROTTLED_RETRY_STEP_MS}
 * with each retry, plus a random part of one step.
 */
const MAX_THROTTLED_RETRIES = 3;
const THROTTLED_RETRY_STEP_MS = 60;

/** A request and the decoding of its response. */
interface StoreRequest<T> {
  urgency: Urgency;
  /** Number of put and delete operations. */
  writes: number;
  call: Omit<HttpCall, 'timeoutMs'>;
  /** Decodes the body of a response with status 200. Null: it is malformed, and the outcome indeterminate. */
  decode: (body: unknown) => T | null;
  /** Result for a response with status 404. Absent: such a response is a failure. */
  valueIfMissing?: T;
}

/**
 * Accesses the key-value store over HTTP, rate-limited to this controller's share of its limits. Lease
 * requests bypass the rate limiter's queues. Requests fail as
 * - `refused` if they were certainly not executed;
 * - `notFound` if the lease does not exist or the requested watch history has been discarded;
 * - `conflict`, with the failed keys, if a precondition of a transaction did not hold;
 * - `invalid` if the store rejected them, for example a write with an expired lease;
 * - `indeterminate` if they may have been executed or may still be executed.
 */
export class StoreClient implements KeyValueStore {
  private readonly requestClient: HttpClient;
  private readonly watchClient: HttpClient;
  private readonly rateLimiter: RateLimiter;

  /** @param address - `HOST:PORT` of the store */
  constructor(address: string, limits: RateLimits) {
    this.requestClient = new HttpClient(address, MAX_REQUEST_CONNECTIONS);
    this.watchClient = new HttpClient(address, MAX_WATCH_CONNECTIONS);
    this.rateLimiter = new RateLimiter(limits);
  }

  /** Reads the item of a key; null if the key does not exist. */
  get(key: string, urgency: Urgency, callback: ResultCallback<StoredItem | null>): void {
    this.execute<StoredItem | null>(
      {
        urgency,
        writes: 0,
        call: { method: 'GET', path: `/store/${encodeURI(key)}` },
        decode: decodeStoredItem,
        valueIfMissing: null,
      },
      callback,
    );
  }

  /** Lists one page of the items with a prefix, in key order, starting after the key `startAfter`. */
  list({ prefix, startAfter, urgency }: ListRequest, callback: ResultCallback<ListPage>): void {
    const query = `prefix=${encodeURIComponent(prefix)}&since=${encodeURIComponent(startAfter)}&page=${PAGE_SIZE}`;
    this.execute(
      { urgency, writes: 0, call: { method: 'GET', path: `/store?${query}` }, decode: decodeListPage },
      callback,
    );
  }

  /** Executes a transaction and returns the store revision after it. */
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

  /** Creates a lease and returns its id. The time to live is rounded to whole milliseconds. */
  grantLease(ttlMs: number, callback: ResultCallback<number>): void {
    const call = { method: 'POST', path: '/grants', body: { ttl_ms: Math.round(ttlMs) } };
    this.execute({ urgency: URGENCY.lease, writes: 0, call, decode: decodeLeaseId }, callback);
  }

  /** Renews a lease for its full time to live. */
  keepLeaseAlive(leaseId: number, callback: ResultCallback<null>): void {
    this.executeOnLease({ method: 'POST', path: `/grants/${leaseId}/touch`, body: {} }, callback);
  }

  /** Revokes a lease, which deletes the keys attached to it. */
  revokeLease(leaseId: number, callback: ResultCallback<null>): void {
    this.executeOnLease({ method: 'DELETE', path: `/grants/${leaseId}` }, callback);
  }

  /**
   * Waits up to `waitMs` for changes after `sinceRevision`; 0 returns existing changes without waiting. A
   * watch has the urgency of user requests, and is not retried when it is throttled.
   */
  watch({ prefix, sinceRevision, waitMs }: WatchRequest, callback: ResultCallback<WatchResponse>): void {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs === 0 ? CALL_TIMEOUT_MS : waitMs + WATCH_RESPONSE_MARGIN_MS;
    this.rateLimiter.acquire(URGENCY.user, 0, (acquired) => {
      if (!acquired) {
        callback({ ok: false, kind: 'refused' });
        return;
      }
      this.watchClient.call({ method: 'GET', path, timeoutMs }, (reply) => {
        if (reply.status === 429) this.rateLimiter.onThrottled();
        callback(toResult(reply, decodeWatchResponse));
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
        // Retrying is safe: a throttled request was not executed.
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
