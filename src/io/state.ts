import {
  type Failure,
  type Item,
  type StateEvent,
  type StatePort,
  type Then,
  type Txn,
  URGENCY,
  type Urgency,
} from '../core/types.js';
import { parse } from '../wire/json.js';
import { readEvents, readFailed, readItem, readItems, readLease, readRev, writeTxn } from '../wire/state.js';
import { HttpClient, type HttpReply } from './http-client.js';
import { RateLimiter } from './rate-limiter.js';

const DEADLINE_MS = 1500;

function failure(r: HttpReply): Failure {
  if (r.status === 0) return { ok: false, kind: r.sent ? 'unknown' : 'refused' };
  if (r.status === 404 || r.status === 410) return { ok: false, kind: 'gone' };
  if (r.status === 409) return { ok: false, kind: 'conflict', failed: readFailed(parse(r.text)) };
  if (r.status === 429 || r.status === 503) return { ok: false, kind: 'refused' };
  if (r.status === 400) return { ok: false, kind: 'bad' };
  return { ok: false, kind: 'unknown' };
}

/** The state service over HTTP, paced under its limits; leases pass the queue. */
export class StateClient implements StatePort {
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
    u: Urgency,
    ops: number,
    method: string,
    path: string,
    body: unknown,
    read: (v: unknown) => T | null,
    cb: Then<T>,
    on404?: () => T,
  ): void {
    let tries = 0;
    const go = () =>
      this.limiter.acquire(u, ops, (ok) => {
        if (!ok) return cb({ ok: false, kind: 'refused' });
        this.client.call({ method, path, body, deadlineMs: DEADLINE_MS }, (r) => {
          if (r.status === 429) {
            this.limiter.onThrottled();
            // Surely not executed: once more, a little later.
            if (++tries < 4) return void setTimeout(go, 60 * tries + Math.random() * 60);
          }
          if (r.status === 404 && on404) return cb({ ok: true, value: on404() });
          if (r.status !== 200) return cb(failure(r));
          const v = read(parse(r.text));
          cb(v === null ? { ok: false, kind: 'unknown' } : { ok: true, value: v });
        });
      });
    go();
  }

  get(key: string, u: Urgency, cb: Then<Item | null>): void {
    this.run<Item | null>(
      u,
      0,
      'GET',
      `/store/${encodeURI(key)}`,
      undefined,
      (v) => readItem(v),
      cb,
      () => null,
    );
  }

  list(
    prefix: string,
    since: string,
    u: Urgency,
    cb: Then<{ items: Item[]; more: boolean; rev: number }>,
  ): void {
    const q = `prefix=${encodeURIComponent(prefix)}&since=${encodeURIComponent(since)}&page=500`;
    this.run(u, 0, 'GET', `/store?${q}`, undefined, readItems, cb);
  }

  txn(t: Txn, u: Urgency, cb: Then<number>): void {
    this.run(u, t.then.length, 'POST', '/txn', writeTxn(t), readRev, cb);
  }

  grant(ttlMs: number, cb: Then<number>): void {
    this.run(URGENCY.lease, 0, 'POST', '/grants', { ttl_ms: Math.round(ttlMs) }, readLease, cb);
  }

  touch(lease: number, cb: Then<null>): void {
    this.run<null | true>(
      URGENCY.lease,
      0,
      'POST',
      `/grants/${lease}/touch`,
      {},
      () => true,
      (r) => cb(r.ok ? { ok: true, value: null } : r),
    );
  }

  end(lease: number, cb: Then<null>): void {
    this.run<null | true>(
      URGENCY.lease,
      0,
      'DELETE',
      `/grants/${lease}`,
      undefined,
      () => true,
      (r) => cb(r.ok ? { ok: true, value: null } : r),
    );
  }

  watch(
    prefix: string,
    since: number,
    waitMs: number,
    cb: Then<{ rev: number; events: StateEvent[] }>,
  ): void {
    const q = `prefix=${encodeURIComponent(prefix)}&since=${since}&wait_ms=${waitMs}`;
    this.limiter.acquire(URGENCY.user, 0, (ok) => {
      if (!ok) return cb({ ok: false, kind: 'refused' });
      const deadlineMs = waitMs === 0 ? DEADLINE_MS : waitMs + 3000;
      this.watches.call({ method: 'GET', path: `/watch?${q}`, deadlineMs }, (r) => {
        if (r.status === 429) this.limiter.onThrottled();
        if (r.status !== 200) return cb(failure(r));
        const v = readEvents(parse(r.text));
        cb(v === null ? { ok: false, kind: 'unknown' } : { ok: true, value: v });
      });
    });
  }
}
