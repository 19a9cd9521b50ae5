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
import type { Failure, ResultCallback } from '../model/result.js';
import { parse } from '../wire/json.js';
import {
  readEvents,
  readFailed,
  readItem,
  readItems,
  readLease,
  readRev,
  writeTxn,
} from '../wire/store-messages.js';
import { HttpClient, type HttpReply } from './http-client.js';
import { RateLimiter } from './rate-limiter.js';

const DEADLINE_MS = 1500;

function failure(r: HttpReply): Failure {
  if (r.status === 0) return { ok: false, kind: r.sent ? 'indeterminate' : 'refused' };
  if (r.status === 404 || r.status === 410) return { ok: false, kind: 'notFound' };
  if (r.status === 409) return { ok: false, kind: 'conflict', failedKeys: readFailed(parse(r.text)) };
  if (r.status === 429 || r.status === 503) return { ok: false, kind: 'refused' };
  if (r.status === 400) return { ok: false, kind: 'invalid' };
  return { ok: false, kind: 'indeterminate' };
}

/** The state service over HTTP, paced under its limits; leases pass the queue. */
export class StateClient implements KeyValueStore {
  private readonly client: HttpClient;
  private readonly watches: HttpClient;
  private readonly limiter: RateLimiter;

  constructor(addr: string, limits: { rps: number; writeRps: number; nodes: number }) {
    this.client = new HttpClient(addr, 16);
    this.watches = new HttpClient(addr, 8);
    this.limiter = new RateLimiter({
      requestsPerSecond: limits.rps,
      writesPerSecond: limits.writeRps,
      controllers: limits.nodes,
    });
  }

  private run<T>(
    urgency: Urgency,
    ops: number,
    method: string,
    path: string,
    body: unknown,
    read: (v: unknown) => T | null,
    callback: ResultCallback<T>,
    on404?: () => T,
  ): void {
    let tries = 0;
    const go = () =>
      this.limiter.acquire(urgency, ops, (ok) => {
        if (!ok) return callback({ ok: false, kind: 'refused' });
        this.client.call({ method, path, body, deadlineMs: DEADLINE_MS }, (r) => {
          if (r.status === 429) {
            this.limiter.onThrottled();
            // Surely not executed: once more, a little later.
            if (++tries < 4) return void setTimeout(go, 60 * tries + Math.random() * 60);
          }
          if (r.status === 404 && on404) return callback({ ok: true, value: on404() });
          if (r.status !== 200) return callback(failure(r));
          const v = read(parse(r.text));
          callback(v === null ? { ok: false, kind: 'indeterminate' } : { ok: true, value: v });
        });
      });
    go();
  }

  get(key: string, urgency: Urgency, callback: ResultCallback<StoredItem | null>): void {
    this.run<StoredItem | null>(
      urgency,
      0,
      'GET',
      `/store/${encodeURI(key)}`,
      undefined,
      (v) => readItem(v),
      callback,
      () => null,
    );
  }

  list({ prefix, startAfter, urgency }: ListRequest, callback: ResultCallback<ListPage>): void {
    const q = `prefix=${encodeURIComponent(prefix)}&since=${encodeURIComponent(startAfter)}&page=500`;
    this.run(urgency, 0, 'GET', `/store?${q}`, undefined, readItems, callback);
  }

  compareAndSwap(transaction: Transaction, urgency: Urgency, callback: ResultCallback<number>): void {
    this.run(
      urgency,
      transaction.operations.length,
      'POST',
      '/txn',
      writeTxn(transaction),
      readRev,
      callback,
    );
  }

  grantLease(ttlMs: number, callback: ResultCallback<number>): void {
    this.run(URGENCY.lease, 0, 'POST', '/grants', { ttl_ms: Math.round(ttlMs) }, readLease, callback);
  }

  keepLeaseAlive(lease: number, callback: ResultCallback<null>): void {
    this.run<null | true>(
      URGENCY.lease,
      0,
      'POST',
      `/grants/${lease}/touch`,
      {},
      () => true,
      (result) => callback(result.ok ? { ok: true, value: null } : result),
    );
  }

  revokeLease(lease: number, callback: ResultCallback<null>): void {
    this.run<null | true>(
      URGENCY.lease,
      0,
      'DELETE',
      `/grants/${lease}`,
      undefined,
      () => true,
      (result) => callback(result.ok ? { ok: true, value: null } : result),
    );
  }

  watch({ prefix, sinceRevision, waitMs }: WatchRequest, callback: ResultCallback<WatchReply>): void {
    const q = `prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&wait_ms=${waitMs}`;
    this.limiter.acquire(URGENCY.user, 0, (ok) => {
      if (!ok) return callback({ ok: false, kind: 'refused' });
      const deadlineMs = waitMs === 0 ? DEADLINE_MS : waitMs + 3000;
      this.watches.call({ method: 'GET', path: `/watch?${q}`, deadlineMs }, (r) => {
        if (r.status === 429) this.limiter.onThrottled();
        if (r.status !== 200) return callback(failure(r));
        const v = readEvents(parse(r.text));
        callback(v === null ? { ok: false, kind: 'indeterminate' } : { ok: true, value: v });
      });
    });
  }
}
