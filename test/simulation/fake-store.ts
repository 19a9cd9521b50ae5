/** The state service of a simulated cluster. */

import type {
  ListPage,
  StoredItem,
  Transaction,
  WatchResponse as WatchBatch,
  WatchEvent,
} from '../../src/model/key-value-store.js';
import type { Simulator } from './simulated-time.js';

/** An answer with the status that the state service would give. */
interface StoreReply<T> {
  status: number;
  value?: T;
  /** Keys whose precondition did not hold. */
  failed?: string[];
}

type WatchReply = StoreReply<WatchBatch>;

interface StoredRecord {
  value: string;
  modRevision: number;
  leaseId: number;
}

interface Lease {
  ttlMs: number;
  expiresAt: number;
  keys: Set<string>;
}

interface PendingWatch {
  prefix: string;
  since: number;
  nodeName: string;
  reply: (reply: WatchReply) => void;
}

/** Leases that have run out end within this time. */
const LEASE_SWEEP_MS = 50;
/** A watch that ends while its node is refused is answered once it is served, looked at this often. */
const REFUSED_WATCH_MS = 500;
/** So many events are kept for watches, and this many are left when the oldest are dropped. */
const MAX_EVENTS = 20_000;
const KEPT_EVENTS = 10_000;

/** The state service as its protocol says, with the statuses that it answers. */
export class FakeStore {
  readonly records = new Map<string, StoredRecord>();
  storeRevision = 1;
  isDown = false;
  /** Nodes refused with 503 although the others are served. */
  readonly refusedNodes = new Set<string>();
  private readonly leases = new Map<number, Lease>();
  private nextLease = 1;
  private log: WatchEvent[] = [];
  private pendingWatches: PendingWatch[] = [];
  /** A watch from before this revision can't be answered. */
  oldestRevision = 0;

  constructor(private readonly simulator: Simulator) {
    const sweep = () => {
      if (!this.isDown)
        for (const [id, lease] of this.leases) if (lease.expiresAt < this.simulator.now) this.endLease(id);
      simulator.scheduleAfter(LEASE_SWEEP_MS, sweep);
    };
    sweep();
  }

  private refuses(nodeName: string): boolean {
    return this.isDown || this.refusedNodes.has(nodeName);
  }

  /** An outage for all begins or ends; after it every lease has its full time again. */
  setDown(down: boolean): void {
    if (this.isDown && !down)
      for (const lease of this.leases.values()) lease.expiresAt = this.simulator.now + lease.ttlMs;
    this.isDown = down;
    if (!down) this.wakeWatches();
  }

  /** A node that was refused alone is served again. */
  readmit(nodeName: string): void {
    this.refusedNodes.delete(nodeName);
    this.wakeWatches();
  }

  /** Watches that go on from before now can't be answered. */
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
    { prefix, since, pageSize }: { prefix: string; since: string; pageSize: number },
  ): StoreReply<ListPage> {
    if (this.refuses(nodeName)) return { status: 503 };
    const names = [...this.records.keys()].filter((key) => key.startsWith(prefix) && key > since).sort();
    const items = names.slice(0, pageSize).map((key) => {
      const record = this.records.get(key)!;
      return { key, value: JSON.parse(record.value), modRevision: record.modRevision };
    });
    return {
      status: 200,
      value: { items, hasMore: names.length > pageSize, storeRevision: this.storeRevision },
    };
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
      .filter(({ key, modRevision }) => (this.records.get(key)?.modRevision ?? 0) !== modRevision)
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, failed };
    for (const operation of transaction.operations) {
      if (operation.type === 'put' && operation.leaseId !== undefined && !this.leases.has(operation.leaseId))
        return { status: 400 };
      if (operation.type === 'put' && JSON.stringify(operation.value).length > limits.maxValueKb * 1024)
        throw new Error(`value too large: ${operation.key}`);
    }
    if (transaction.operations.length === 0) return { status: 200, value: this.storeRevision };
    this.storeRevision++;
    for (const operation of transaction.operations) this.apply(operation);
    this.wakeWatches();
    return { status: 200, value: this.storeRevision };
  }

  private apply(operation: Transaction['operations'][number]): void {
    if (operation.type === 'delete') {
      this.deleteKey(operation.key);
      return;
    }
    const { key, value, leaseId } = operation;
    const previous = this.records.get(key);
    if (previous?.leaseId) this.leases.get(previous.leaseId)?.keys.delete(key);
    this.records.set(key, {
      value: JSON.stringify(value),
      modRevision: this.storeRevision,
      leaseId: leaseId ?? 0,
    });
    if (leaseId !== undefined) this.leases.get(leaseId)!.keys.add(key);
    this.log.push({ type: 'put', key, modRevision: this.storeRevision, value });
  }

  private deleteKey(key: string): void {
    const record = this.records.get(key);
    if (!record) return;
    if (record.leaseId) this.leases.get(record.leaseId)?.keys.delete(key);
    this.records.delete(key);
    this.log.push({ type: 'delete', key, modRevision: this.storeRevision });
  }

  grantLease(nodeName: string, ttlMs: number): StoreReply<number> {
    if (this.refuses(nodeName)) return { status: 503 };
    const id = this.nextLease++;
    this.leases.set(id, { ttlMs, expiresAt: this.simulator.now + ttlMs, keys: new Set() });
    return { status: 200, value: id };
  }

  keepLeaseAlive(nodeName: string, id: number): StoreReply<null> {
    if (this.refuses(nodeName)) return { status: 503 };
    const lease = this.leases.get(id);
    if (!lease) return { status: 404 };
    lease.expiresAt = this.simulator.now + lease.ttlMs;
    return { status: 200, value: null };
  }

  revokeLease(nodeName: string, id: number): StoreReply<null> {
    if (this.refuses(nodeName)) return { status: 503 };
    if (!this.leases.has(id)) return { status: 404 };
    this.endLease(id);
    return { status: 200, value: null };
  }

  private endLease(id: number): void {
    const lease = this.leases.get(id);
    this.leases.delete(id);
    if (!lease || lease.keys.size === 0) return;
    this.storeRevision++;
    for (const key of [...lease.keys]) this.deleteKey(key);
    this.wakeWatches();
  }

  watch(
    nodeName: string,
    { prefix, since, waitMs }: { prefix: string; since: number; waitMs: number },
    reply: (reply: WatchReply) => void,
  ): void {
    if (this.refuses(nodeName)) {
      reply({ status: 503 });
      return;
    }
    if (since < this.oldestRevision) {
      reply({ status: 410 });
      return;
    }
    const watch = { prefix, since, nodeName, reply };
    this.pendingWatches.push(watch);
    this.wakeWatches();
    const end = () => {
      const index = this.pendingWatches.indexOf(watch);
      if (index < 0) return;
      if (this.refuses(nodeName)) return this.simulator.scheduleAfter(REFUSED_WATCH_MS, end);
      this.pendingWatches.splice(index, 1);
      reply({ status: 200, value: { storeRevision: this.storeRevision, events: [] } });
    };
    this.simulator.scheduleAfter(waitMs, end);
  }

  private wakeWatches(): void {
    for (const watch of [...this.pendingWatches]) {
      if (this.refuses(watch.nodeName)) continue;
      // A response holds every change: a watch held back while its history was lost can't be answered.
      if (watch.since < this.oldestRevision) {
        this.pendingWatches.splice(this.pendingWatches.indexOf(watch), 1);
        watch.reply({ status: 410 });
        continue;
      }
      const events = this.log.filter(
        (event) => event.modRevision > watch.since && event.key.startsWith(watch.prefix),
      );
      if (events.length === 0) continue;
      this.pendingWatches.splice(this.pendingWatches.indexOf(watch), 1);
      const copy = events.map((event) =>
        event.type === 'put' ? { ...event, value: JSON.parse(JSON.stringify(event.value)) } : event,
      );
      watch.reply({ status: 200, value: { storeRevision: this.storeRevision, events: copy } });
    }
    if (this.log.length > MAX_EVENTS) {
      this.log = this.log.slice(-KEPT_EVENTS);
      this.oldestRevision = this.log[0]!.modRevision;
    }
  }
}
