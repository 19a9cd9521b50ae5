import type { StoredItem, Transaction, WatchEvent } from '../../src/model/key-value-store.js';
import type { Simulator } from './simulated-time.js';

type StoreReply<T> = { status: number; value?: T; failed?: string[] };

interface StoredRecord {
  value: string;
  modRevision: number;
  leaseId: number;
}

/** Stand-in for the state service, from its protocol. */
export class FakeStore {
  readonly records = new Map<string, StoredRecord>();
  storeRevision = 1;
  isDown = false;
  /** Hosts refused with 503 although the others are served. */
  readonly refusedNodes = new Set<string>();
  private readonly leases = new Map<number, { ttl: number; revokeLease: number; records: Set<string> }>();
  private nextLease = 1;
  private log: (WatchEvent & { value: unknown })[] = [];
  private pendingWatches: {
    prefix: string;
    since: number;
    host: string;
    reply: (reply: StoreReply<{ storeRevision: number; events: WatchEvent[] }>) => void;
  }[] = [];
  oldestRevision = 0;
  writes = 0;

  constructor(private readonly sim: Simulator) {
    const sweep = () => {
      if (!this.isDown)
        for (const [id, l] of this.leases) if (l.revokeLease < this.sim.now) this.endLease(id);
      sim.scheduleAfter(50, sweep);
    };
    sweep();
  }

  private refuses(nodeName: string): boolean {
    return this.isDown || this.refusedNodes.has(nodeName);
  }

  setDown(down: boolean): void {
    if (this.isDown && !down) for (const l of this.leases.values()) l.revokeLease = this.sim.now + l.ttl;
    this.isDown = down;
    if (!down) this.wakeWatches();
  }
  readmit(nodeName: string): void {
    this.refusedNodes.delete(nodeName);
    this.wakeWatches();
  }
  loseHistory(): void {
    this.oldestRevision = this.storeRevision;
    this.log = [];
  }

  get(nodeName: string, key: string): StoreReply<StoredItem | null> {
    if (this.refuses(nodeName)) return { status: 503 };
    const record = this.records.get(key);
    return {
      status: 200,
      value: record
        ? { key, value: JSON.parse(record.value), modRevision: record.modRevision, leaseId: record.leaseId }
        : null,
    };
  }

  list(
    nodeName: string,
    prefix: string,
    since: string,
    page: number,
  ): StoreReply<{ items: StoredItem[]; more: boolean; storeRevision: number }> {
    if (this.refuses(nodeName)) return { status: 503 };
    const names = [...this.records.keys()].filter((k) => k.startsWith(prefix) && k > since).sort();
    const items = names.slice(0, page).map((key) => {
      const record = this.records.get(key)!;
      return { key, value: JSON.parse(record.value), modRevision: record.modRevision };
    });
    return { status: 200, value: { items, more: names.length > page, storeRevision: this.storeRevision } };
  }

  compareAndSwap(
    nodeName: string,
    transaction: Transaction,
    limits: { maxTransactionOperations: number; maxValueKb: number },
  ): StoreReply<number> {
    if (this.refuses(nodeName)) return { status: 503 };
    if (
      transaction.operations.length > limits.maxTransactionOperations ||
      transaction.preconditions.length > limits.maxTransactionOperations * 4
    )
      throw new Error('transaction over its limits');
    const failed = transaction.preconditions
      .filter((w) => (this.records.get(w.key)?.modRevision ?? 0) !== w.modRevision)
      .map((w) => w.key);
    if (failed.length > 0) return { status: 409, failed };
    for (const operation of transaction.operations) {
      if ('put' in operation && operation.lease !== undefined && !this.leases.has(operation.lease))
        return { status: 400 };
      if ('put' in operation && JSON.stringify(operation.value).length > limits.maxValueKb * 1024)
        throw new Error(`value too large: ${operation.put}`);
    }
    if (transaction.operations.length === 0) return { status: 200, value: this.storeRevision };
    this.storeRevision++;
    this.writes += transaction.operations.length;
    for (const operation of transaction.operations) {
      if ('del' in operation) this.deleteKey(operation.del);
      else {
        const previous = this.records.get(operation.put);
        if (previous?.leaseId) this.leases.get(previous.leaseId)?.records.delete(operation.put);
        this.records.set(operation.put, {
          value: JSON.stringify(operation.value),
          modRevision: this.storeRevision,
          leaseId: operation.lease ?? 0,
        });
        if (operation.lease !== undefined) this.leases.get(operation.lease)!.records.add(operation.put);
        this.log.push({
          key: operation.put,
          modRevision: this.storeRevision,
          value: operation.value,
          deleted: false,
        });
      }
    }
    this.wakeWatches();
    return { status: 200, value: this.storeRevision };
  }

  private deleteKey(key: string): void {
    const record = this.records.get(key);
    if (!record) return;
    if (record.leaseId) this.leases.get(record.leaseId)?.records.delete(key);
    this.records.delete(key);
    this.log.push({ key, modRevision: this.storeRevision, value: undefined, deleted: true });
  }

  grantLease(nodeName: string, ttl: number): StoreReply<number> {
    if (this.refuses(nodeName)) return { status: 503 };
    const id = this.nextLease++;
    this.leases.set(id, { ttl, revokeLease: this.sim.now + ttl, records: new Set() });
    return { status: 200, value: id };
  }
  keepLeaseAlive(nodeName: string, id: number): StoreReply<null> {
    if (this.refuses(nodeName)) return { status: 503 };
    const l = this.leases.get(id);
    if (!l) return { status: 404 };
    l.revokeLease = this.sim.now + l.ttl;
    return { status: 200, value: null };
  }
  revokeLease(nodeName: string, id: number): StoreReply<null> {
    if (this.refuses(nodeName)) return { status: 503 };
    if (!this.leases.has(id)) return { status: 404 };
    this.endLease(id);
    return { status: 200, value: null };
  }
  private endLease(id: number): void {
    const l = this.leases.get(id);
    this.leases.delete(id);
    if (!l || l.records.size === 0) return;
    this.storeRevision++;
    for (const k of [...l.records]) this.deleteKey(k);
    this.wakeWatches();
  }

  watch(
    nodeName: string,
    prefix: string,
    since: number,
    waitMs: number,
    reply: (reply: StoreReply<{ storeRevision: number; events: WatchEvent[] }>) => void,
  ): void {
    if (this.refuses(nodeName)) return reply({ status: 503 });
    if (since < this.oldestRevision) return reply({ status: 410 });
    const w = { prefix, since, host: nodeName, reply };
    this.pendingWatches.push(w);
    this.wakeWatches();
    const end = () => {
      const i = this.pendingWatches.indexOf(w);
      if (i < 0) return;
      if (this.refuses(nodeName)) return this.sim.scheduleAfter(500, end);
      this.pendingWatches.splice(i, 1);
      reply({ status: 200, value: { storeRevision: this.storeRevision, events: [] } });
    };
    this.sim.scheduleAfter(waitMs, end);
  }

  private wakeWatches(): void {
    for (const w of [...this.pendingWatches]) {
      if (this.refuses(w.host)) continue;
      // A response holds every change: a watch held back while its history was lost can't be answered.
      if (w.since < this.oldestRevision) {
        this.pendingWatches.splice(this.pendingWatches.indexOf(w), 1);
        w.reply({ status: 410 });
        continue;
      }
      const events = this.log.filter((e) => e.modRevision > w.since && e.key.startsWith(w.prefix));
      if (events.length === 0) continue;
      this.pendingWatches.splice(this.pendingWatches.indexOf(w), 1);
      const copy = events.map((e) => ({
        ...e,
        value: e.value === undefined ? undefined : JSON.parse(JSON.stringify(e.value)),
      }));
      w.reply({ status: 200, value: { storeRevision: this.storeRevision, events: copy } });
    }
    if (this.log.length > 20000) {
      this.log = this.log.slice(-10000);
      this.oldestRevision = this.log[0]!.modRevision;
    }
  }
}
