import type {
  ListPage,
  StoredItem,
  Transaction,
  WatchEvent,
  WatchReply,
} from '../../src/model/key-value-store.js';
import type { Sim } from './sim.js';

type Reply<T> = { status: number; value?: T; failed?: string[] };

interface Key {
  value: string;
  version: number;
  lease: number;
}

/** Stand-in for the state service, from its protocol. */
export class StateStandin {
  readonly keys = new Map<string, Key>();
  rev = 1;
  down = false;
  /** Hosts refused with 503 although the others are served. */
  readonly refused = new Set<string>();
  private readonly leases = new Map<number, { ttl: number; end: number; keys: Set<string> }>();
  private nextLease = 1;
  private log: WatchEvent[] = [];
  private waiting: {
    prefix: string;
    since: number;
    host: string;
    reply: (reply: Reply<WatchReply>) => void;
  }[] = [];
  historyFrom = 0;
  writes = 0;

  constructor(private readonly sim: Sim) {
    const sweep = () => {
      if (!this.down) for (const [id, l] of this.leases) if (l.end < this.sim.now) this.endLease(id);
      sim.after(50, sweep);
    };
    sweep();
  }

  private closed(host: string): boolean {
    return this.down || this.refused.has(host);
  }

  setDown(down: boolean): void {
    if (this.down && !down) for (const l of this.leases.values()) l.end = this.sim.now + l.ttl;
    this.down = down;
    if (!down) this.wakeWatches();
  }
  allow(host: string): void {
    this.refused.delete(host);
    this.wakeWatches();
  }
  loseHistory(): void {
    this.historyFrom = this.rev;
    this.log = [];
  }

  get(host: string, key: string): Reply<StoredItem | null> {
    if (this.closed(host)) return { status: 503 };
    const k = this.keys.get(key);
    return {
      status: 200,
      value: k ? { key, value: JSON.parse(k.value), modRevision: k.version, leaseId: k.lease } : null,
    };
  }

  list(host: string, prefix: string, since: string, page: number): Reply<ListPage> {
    if (this.closed(host)) return { status: 503 };
    const names = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const items = names.slice(0, page).map((key) => {
      const k = this.keys.get(key)!;
      return { key, value: JSON.parse(k.value), modRevision: k.version };
    });
    return { status: 200, value: { items, hasMore: names.length > page, storeRevision: this.rev } };
  }

  txn(host: string, transaction: Transaction, limits: { ops: number; valueKb: number }): Reply<number> {
    if (this.closed(host)) return { status: 503 };
    if (transaction.operations.length > limits.ops || transaction.preconditions.length > limits.ops * 4)
      throw new Error('transaction over its limits');
    const failed = transaction.preconditions
      .filter((w) => (this.keys.get(w.key)?.version ?? 0) !== w.modRevision)
      .map((w) => w.key);
    if (failed.length > 0) return { status: 409, failed };
    for (const op of transaction.operations) {
      if (op.type === 'put' && op.leaseId !== undefined && !this.leases.has(op.leaseId))
        return { status: 400 };
      if (op.type === 'put' && JSON.stringify(op.value).length > limits.valueKb * 1024)
        throw new Error(`value too large: ${op.key}`);
    }
    if (transaction.operations.length === 0) return { status: 200, value: this.rev };
    this.rev++;
    this.writes += transaction.operations.length;
    for (const op of transaction.operations) {
      if (op.type === 'delete') this.drop(op.key);
      else {
        const old = this.keys.get(op.key);
        if (old?.lease) this.leases.get(old.lease)?.keys.delete(op.key);
        this.keys.set(op.key, { value: JSON.stringify(op.value), version: this.rev, lease: op.leaseId ?? 0 });
        if (op.leaseId !== undefined) this.leases.get(op.leaseId)!.keys.add(op.key);
        this.log.push({ type: 'put', key: op.key, modRevision: this.rev, value: op.value });
      }
    }
    this.wakeWatches();
    return { status: 200, value: this.rev };
  }

  private drop(key: string): void {
    const k = this.keys.get(key);
    if (!k) return;
    if (k.lease) this.leases.get(k.lease)?.keys.delete(key);
    this.keys.delete(key);
    this.log.push({ type: 'delete', key, modRevision: this.rev });
  }

  grant(host: string, ttl: number): Reply<number> {
    if (this.closed(host)) return { status: 503 };
    const id = this.nextLease++;
    this.leases.set(id, { ttl, end: this.sim.now + ttl, keys: new Set() });
    return { status: 200, value: id };
  }
  touch(host: string, id: number): Reply<null> {
    if (this.closed(host)) return { status: 503 };
    const l = this.leases.get(id);
    if (!l) return { status: 404 };
    l.end = this.sim.now + l.ttl;
    return { status: 200, value: null };
  }
  end(host: string, id: number): Reply<null> {
    if (this.closed(host)) return { status: 503 };
    if (!this.leases.has(id)) return { status: 404 };
    this.endLease(id);
    return { status: 200, value: null };
  }
  private endLease(id: number): void {
    const l = this.leases.get(id);
    this.leases.delete(id);
    if (!l || l.keys.size === 0) return;
    this.rev++;
    for (const k of [...l.keys]) this.drop(k);
    this.wakeWatches();
  }

  watch(
    host: string,
    prefix: string,
    since: number,
    waitMs: number,
    reply: (reply: Reply<WatchReply>) => void,
  ): void {
    if (this.closed(host)) return reply({ status: 503 });
    if (since < this.historyFrom) return reply({ status: 410 });
    const w = { prefix, since, host, reply };
    this.waiting.push(w);
    this.wakeWatches();
    const end = () => {
      const i = this.waiting.indexOf(w);
      if (i < 0) return;
      if (this.closed(host)) return this.sim.after(500, end);
      this.waiting.splice(i, 1);
      reply({ status: 200, value: { storeRevision: this.rev, events: [] } });
    };
    this.sim.after(waitMs, end);
  }

  private wakeWatches(): void {
    for (const w of [...this.waiting]) {
      if (this.closed(w.host)) continue;
      // A response holds every change: a watch held back while its history was lost can't be answered.
      if (w.since < this.historyFrom) {
        this.waiting.splice(this.waiting.indexOf(w), 1);
        w.reply({ status: 410 });
        continue;
      }
      const events = this.log.filter((e) => e.modRevision > w.since && e.key.startsWith(w.prefix));
      if (events.length === 0) continue;
      this.waiting.splice(this.waiting.indexOf(w), 1);
      const copy = events.map((e) =>
        e.type === 'put' ? { ...e, value: JSON.parse(JSON.stringify(e.value)) } : e,
      );
      w.reply({ status: 200, value: { storeRevision: this.rev, events: copy } });
    }
    if (this.log.length > 20000) {
      this.log = this.log.slice(-10000);
      this.historyFrom = this.log[0]!.modRevision;
    }
  }
}
