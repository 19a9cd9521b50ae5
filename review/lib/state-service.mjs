/** Stand-in of the state service, as the page PROTOCOL describes it. */

import { serveJson } from './http.mjs';

const KEPT_CHANGES = 10_000;
const MAX_PAGE_ITEMS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TRANSACTION_BYTES = 64 * 1024;

/** A bucket that allows bursts of one second's worth. */
class Bucket {
  constructor(perSecond) {
    this.setRate(perSecond);
    this.tokens = perSecond;
    this.at = performance.now();
  }

  setRate(perSecond) {
    this.perSecond = perSecond;
    this.tokens = Math.min(this.tokens ?? perSecond, perSecond);
  }

  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class StateService {
  /** @param limits - `rps`, `write_rps`, `value_kb`, `txn_ops`, as in the settings */
  constructor(limits, record) {
    this.limits = { ...limits };
    this.record = record;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.items = new Map();
    this.leases = new Map();
    this.changes = [];
    this.watches = new Set();
    this.ring = 1;
    this.oldest = 0;
    this.lastLease = 0;
    /** Answers that are not 200, by status and reason. */
    this.refusals = new Map();
  }

  async start() {
    this.server = await serveJson((request, answer) => {
      // Responses take a few milliseconds.
      setTimeout(() => this.handle(request, answer), 3);
    });
    this.address = this.server.address;
    this.timer = setInterval(() => this.expireLeases(), 50);
  }

  stop() {
    clearInterval(this.timer);
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.server.close();
  }

  /** From now on the service has these limits. What is stored stays readable. */
  setLimits(limits) {
    Object.assign(this.limits, limits);
    this.requests.setRate(this.limits.rps);
    this.writes.setRate(this.limits.write_rps);
    this.record.line('state', `limits from now on: ${JSON.stringify(this.limits)}`);
  }

  refuse(answer, status, error, detail = '') {
    const key = `${status} ${error}`;
    const count = (this.refusals.get(key) ?? 0) + 1;
    this.refusals.set(key, count);
    if (count <= 40) this.record.line('state', `answered ${status} ${error} ${detail}`);
    answer(status, { error });
  }

  handle({ method, url, body, bytes }, answer) {
    const { pathname: path, searchParams: query } = url;
    if (!this.requests.take(1)) return this.refuse(answer, 429, 'too many requests');
    if (method === 'GET' && path.startsWith('/store/')) {
      const key = decodeURI(path.slice('/store/'.length));
      const item = this.items.get(key);
      return item ? answer(200, this.shown(key, item)) : answer(404, { ring: this.ring });
    }
    if (method === 'GET' && path === '/store') return this.list(query, answer);
    if (method === 'GET' && path === '/watch') return this.watch(query, answer);
    if (method === 'POST' && path === '/txn') return this.transact(body, bytes, answer);
    if (method === 'POST' && path === '/grants') return this.grant(body, answer);
    const lease = /^\/grants\/(\d+)(\/touch)?$/.exec(path);
    if (lease && method === 'POST' && lease[2]) return this.touch(Number(lease[1]), answer);
    if (lease && method === 'DELETE' && !lease[2]) return this.endGrant(Number(lease[1]), answer);
    return this.refuse(answer, 400, 'malformed');
  }

  shown(key, item) {
    return { key, value: item.value, mark: item.mark, ...(item.tenure ? { tenure: item.tenure } : {}) };
  }

  list(query, answer) {
    const prefix = query.get('prefix') ?? '';
    const since = query.get('since') ?? '';
    const page = Math.min(MAX_PAGE_ITEMS, Number(query.get('page') ?? MAX_PAGE_ITEMS));
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > since).sort();
    const items = [];
    let size = 0;
    for (const key of keys) {
      const item = this.shown(key, this.items.get(key));
      size += JSON.stringify(item).length + 1;
      if (items.length >= page || size > MAX_PAGE_BYTES - 1000) break;
      items.push(item);
    }
    answer(200, { items, has_next: items.length < keys.length, ring: this.ring });
  }

  watch(query, answer) {
    const watch = {
      prefix: query.get('prefix') ?? '',
      since: Number(query.get('since') ?? 0),
      answer,
      timer: null,
    };
    if (watch.since < this.oldest) return this.refuse(answer, 410, 'too old');
    const waitMs = Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    if (this.answerWatch(watch, waitMs === 0)) return;
    this.watches.add(watch);
    watch.timer = setTimeout(() => {
      this.watches.delete(watch);
      this.answerWatch(watch, true);
    }, waitMs);
  }

  answerWatch(watch, evenIfEmpty) {
    const log = [];
    for (let index = this.changes.length - 1; index >= 0 && this.changes[index].mark > watch.since; index--)
      if ((this.changes[index].write ?? this.changes[index].drop).startsWith(watch.prefix))
        log.unshift(this.changes[index]);
    if (log.length === 0 && !evenIfEmpty) return false;
    watch.answer(200, { ring: this.ring, log });
    return true;
  }

  notify() {
    if (this.changes.length > KEPT_CHANGES) {
      this.changes = this.changes.slice(-KEPT_CHANGES);
      this.oldest = this.changes[0].mark;
    }
    for (const watch of [...this.watches])
      if (this.answerWatch(watch, false)) {
        clearTimeout(watch.timer);
        this.watches.delete(watch);
      }
  }

  transact(body, bytes, answer) {
    const when = body?.when ?? [];
    const then = body?.then ?? [];
    const { txn_ops: maxOperations, value_kb: maxValueKb } = this.limits;
    if (!Array.isArray(when) || !Array.isArray(then)) return this.refuse(answer, 400, 'malformed');
    if (then.length > maxOperations || when.length > 4 * maxOperations)
      return this.refuse(answer, 400, 'too many changes or conditions', `changes ${then.length}, conditions ${when.length}`);
    if (bytes > MAX_TRANSACTION_BYTES)
      return this.refuse(answer, 400, 'transaction too large', `bytes ${bytes}, changes ${then.length}: ${keysOf(then)}`);
    for (const { write, value } of then)
      if (write !== undefined && Buffer.byteLength(JSON.stringify(value ?? null)) > maxValueKb * 1024)
        return this.refuse(answer, 400, 'value too large', `${write}, bytes ${Buffer.byteLength(JSON.stringify(value))}`);
    if (!this.writes.take(then.length)) return this.refuse(answer, 429, 'too many changes');
    for (const { write, tenure } of then)
      if (write !== undefined && tenure !== undefined && !this.leases.has(tenure))
        return this.refuse(answer, 400, 'no such lease');
    const failed = when.filter(({ key, mark }) => (this.items.get(key)?.mark ?? 0) !== mark).map(({ key }) => key);
    if (failed.length > 0) return answer(409, { failed, ring: this.ring });
    if (then.length > 0) {
      this.ring++;
      for (const { write, value, tenure, drop } of then)
        if (write !== undefined) this.write(write, value, tenure);
        else this.drop(drop);
      this.notify();
    }
    answer(200, { ring: this.ring });
  }

  write(key, value, tenure) {
    this.detach(key);
    this.items.set(key, { value, mark: this.ring, tenure });
    if (tenure !== undefined) this.leases.get(tenure).keys.add(key);
    this.changes.push({ write: key, value, mark: this.ring });
  }

  drop(key) {
    if (!this.items.has(key)) return;
    this.detach(key);
    this.items.delete(key);
    this.changes.push({ drop: key, mark: this.ring });
  }

  detach(key) {
    const tenure = this.items.get(key)?.tenure;
    if (tenure !== undefined) this.leases.get(tenure)?.keys.delete(key);
  }

  grant(body, answer) {
    const ttlMs = body?.ttl_ms;
    if (!(ttlMs >= 100 && ttlMs <= 600_000)) return this.refuse(answer, 400, 'malformed');
    const tenure = ++this.lastLease;
    this.leases.set(tenure, { ttlMs, endsAt: performance.now() + ttlMs, keys: new Set() });
    answer(200, { tenure });
  }

  touch(tenure, answer) {
    const lease = this.leases.get(tenure);
    if (!lease) return this.refuse(answer, 404, 'no such lease');
    lease.endsAt = performance.now() + lease.ttlMs;
    answer(200, { tenure });
  }

  endGrant(tenure, answer) {
    if (!this.leases.has(tenure)) return this.refuse(answer, 404, 'no such lease');
    this.end(tenure);
    answer(200, {});
  }

  expireLeases() {
    const now = performance.now();
    for (const [tenure, lease] of this.leases) if (lease.endsAt < now) this.end(tenure);
  }

  end(tenure) {
    const { keys } = this.leases.get(tenure);
    this.leases.delete(tenure);
    if (keys.size === 0) return;
    this.ring++;
    for (const key of [...keys]) this.drop(key);
    this.notify();
  }
}

function keysOf(then) {
  const keys = then.map(({ write, drop }) => write ?? `-${drop}`);
  return keys.length > 6 ? `${keys.slice(0, 6).join(' ')} ...` : keys.join(' ');
}
