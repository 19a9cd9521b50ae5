// Stand-in of the state service: one store, and one HTTP front for each controller, so that a controller can be
// refused or cut off alone. Follows the section "Controller nodes -> state service" of the protocol.
import { JSON_HEADERS, listen, readBody } from './http.mjs';

const MAX_HISTORY = 10_000;
const MAX_PAGE_ITEMS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TXN_BYTES = 64 * 1024;

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = performance.now();
  }
  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class StateService {
  constructor({ limits, latencyMs = 4, record }) {
    this.limits = limits;
    this.latencyMs = latencyMs;
    this.record = record;
    this.items = new Map();
    this.ring = 0;
    this.history = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.watchers = new Set();
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.isDown = false;
    /** Nodes that get 503 for everything, and nodes that get no answer at all. */
    this.refused = new Set();
    this.cut = new Set();
    /** Called for each transaction: may return {loseAnswer, executeAfterMs}. */
    this.onTxn = () => null;
    this.fronts = [];
    this.timer = setInterval(() => this.expireLeases(), 20);
  }

  async addFront(node) {
    const front = await listen((request, response) => void this.serve(node, request, response));
    this.fronts.push(front);
    return front.address;
  }

  close() {
    clearInterval(this.timer);
    for (const front of this.fronts) front.close();
  }

  setDown(isDown) {
    if (this.isDown && !isDown)
      for (const lease of this.leases.values()) lease.expiresAt = performance.now() + lease.ttlMs;
    this.isDown = isDown;
    this.record(`state: ${isDown ? 'outage begins' : 'outage ends'}`);
    if (!isDown) this.wakeWatchers();
  }

  expireLeases() {
    if (this.isDown) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.expiresAt <= now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.items].filter(([, item]) => item.tenure === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.ring++;
    for (const key of keys) this.applyDrop(key);
    this.afterChange();
  }

  applyDrop(key) {
    if (this.items.delete(key)) this.history.push({ drop: key, mark: this.ring });
  }

  afterChange() {
    if (this.history.length > MAX_HISTORY) this.history.splice(0, this.history.length - MAX_HISTORY);
    this.wakeWatchers();
  }

  wakeWatchers() {
    for (const watcher of [...this.watchers]) watcher.check();
  }

  async serve(node, request, response) {
    const body = await readBody(request);
    if (this.cut.has(node)) return;
    await new Promise((resolve) => setTimeout(resolve, this.latencyMs));
    if (this.cut.has(node)) return;
    const answer = (status, value) => {
      if (this.cut.has(node) || response.destroyed) return;
      response.writeHead(status, JSON_HEADERS);
      response.end(JSON.stringify(value));
    };
    const isRefused = () => this.isDown || this.refused.has(node);
    if (isRefused()) return answer(503, { error: 'unavailable' });
    if (!this.requests.take(1)) return answer(429, { error: 'too many requests' });
    const url = new URL(request.url, 'http://state');
    const path = url.pathname;
    if (request.method === 'GET' && path === '/watch') return this.watch(url.searchParams, answer, isRefused);
    if (request.method === 'GET' && path === '/store') return answer(200, this.list(url.searchParams));
    if (request.method === 'GET' && path.startsWith('/store/')) {
      const key = decodeURIComponent(path.slice('/store/'.length));
      const item = this.items.get(key);
      return item ? answer(200, { key, ...item }) : answer(404, { ring: this.ring });
    }
    let parsed;
    try {
      parsed = body === '' ? {} : JSON.parse(body);
    } catch {
      return answer(400, { error: 'malformed' });
    }
    if (request.method === 'POST' && path === '/grants') {
      const id = this.nextLease++;
      this.leases.set(id, { ttlMs: parsed.ttl_ms, expiresAt: performance.now() + parsed.ttl_ms + 50 });
      return answer(200, { tenure: id });
    }
    const lease = path.match(/^\/grants\/(\d+)(\/touch)?$/);
    if (lease) {
      const id = Number(lease[1]);
      const found = this.leases.get(id);
      if (!found) return answer(404, { error: 'no such lease' });
      if (request.method === 'DELETE') this.endLease(id);
      else found.expiresAt = performance.now() + found.ttlMs + 50;
      return answer(200, {});
    }
    if (request.method === 'POST' && path === '/txn') {
      const fault = this.onTxn(node, parsed, body);
      if (fault?.executeAfterMs !== undefined) {
        setTimeout(() => this.txn(parsed, body, node), fault.executeAfterMs);
        return;
      }
      const [status, value] = this.txn(parsed, body, node);
      if (!fault?.loseAnswer) answer(status, value);
      return;
    }
    answer(400, { error: 'malformed' });
  }

  txn({ when = [], then = [] }, body, node) {
    const { txn_ops: maxOps, value_kb: maxKb } = this.limits;
    const reject = (reason) => {
      this.record(`state: transaction of ${node} rejected with 400: ${reason}`);
      return [400, { error: reason }];
    };
    if (Buffer.byteLength(body) > MAX_TXN_BYTES) return reject(`${Buffer.byteLength(body)} bytes, over 64 KiB`);
    if (then.length > maxOps) return reject(`${then.length} changes`);
    if (when.length > 4 * maxOps) return reject(`${when.length} conditions`);
    for (const { write, value, tenure } of then) {
      if (write === undefined) continue;
      if (Buffer.byteLength(JSON.stringify(value)) > maxKb * 1024) return reject(`value of ${write} too large`);
      if (tenure !== undefined && tenure !== null && !this.leases.has(tenure))
        return [400, { error: 'no such lease' }];
    }
    if (then.length > 0 && !this.writes.take(then.length)) return [429, { error: 'too many changes' }];
    const failed = when.filter(({ key, mark }) => (this.items.get(key)?.mark ?? 0) !== mark).map(({ key }) => key);
    if (failed.length > 0) return [409, { failed, ring: this.ring }];
    if (then.length === 0) return [200, { ring: this.ring }];
    this.ring++;
    for (const { write, drop, value, tenure } of then)
      if (drop !== undefined) this.applyDrop(drop);
      else {
        this.items.set(write, { value, mark: this.ring, ...(tenure ? { tenure } : {}) });
        this.history.push({ write, value, mark: this.ring });
      }
    this.afterChange();
    return [200, { ring: this.ring }];
  }

  list(query) {
    const prefix = query.get('prefix') ?? '';
    const since = query.get('since') ?? '';
    const page = Math.min(Number(query.get('page') ?? MAX_PAGE_ITEMS), MAX_PAGE_ITEMS);
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > since).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const item = { key, ...this.items.get(key) };
      bytes += JSON.stringify(item).length;
      if (items.length >= page || bytes > MAX_PAGE_BYTES) break;
      items.push(item);
    }
    return { items, has_next: items.length < keys.length, ring: this.ring };
  }

  watch(query, answer, isRefused) {
    const prefix = query.get('prefix') ?? '';
    const since = Number(query.get('since') ?? 0);
    const until = performance.now() + Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    if (this.history.length >= MAX_HISTORY && since < this.history[0].mark)
      return answer(410, { error: 'too old' });
    const watcher = {
      check: () => {
        if (isRefused()) return;
        const log = this.history.filter(
          (event) => event.mark > since && (event.write ?? event.drop).startsWith(prefix),
        );
        if (log.length === 0 && performance.now() < until) return;
        this.watchers.delete(watcher);
        clearTimeout(timer);
        answer(200, { ring: this.ring, log });
      },
    };
    const timer = setTimeout(() => watcher.check(), Math.max(0, until - performance.now()) + 1);
    this.watchers.add(watcher);
    watcher.check();
  }
}
