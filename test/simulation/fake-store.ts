/** The key-value store of a simulated cluster. */

import type {
  ListPage,
  StoredItem,
  Transaction,
  WatchResponse as WatchBatch,
  WatchEvent,
} from '../../src/model/key-value-store.js';
import type { Simulator } from './simulated-time.js';

/** A response with the HTTP status that the key-value store would return. */
interface StoreResponse<T> {
  status: number;
  value?: T;
  /** Keys whose preconditions failed. */
  failedKeys?: string[];
}

type WatchResponse = StoreResponse<WatchBatch>;

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
  sinceRevision: number;
  nodeName: string;
  reply: (response: WatchResponse) => void;
}

/** Interval at which expired leases are removed. */
const LEASE_EXPIRY_INTERVAL_MS = 50;
/** Interval at which the end of a watch whose wait time is over is tried again while its node is refused. */
const REFUSED_WATCH_RETRY_MS = 500;
/** When the event log exceeds `MAX_EVENTS`, it is trimmed to the latest `EVENTS_AFTER_TRIM`. */
const MAX_EVENTS = 20_000;
const EVENTS_AFTER_TRIM = 10_000;

/**
 * Implements the protocol of the key-value store, including its HTTP statuses. A transaction that exceeds the
 * store's limits is a fault of the controller, and throws.
 */
export class FakeStore {
  readonly records = new Map<string, StoredRecord>();
  storeRevision = 1;
  isDown = false;
  /** Nodes whose requests are refused with 503 while those of other nodes are served. */
  readonly refusedNodes = new Set<string>();
  private readonly leases = new Map<number, Lease>();
  private nextLeaseId = 1;
  private eventLog: WatchEvent[] = [];
  private pendingWatches: PendingWatch[] = [];
  /** A watch from an earlier revision fails with 410, as its history is incomplete. */
  oldestRevision = 0;

  constructor(private readonly simulator: Simulator) {
    const expireLeases = () => {
      if (!this.isDown)
        for (const [id, lease] of this.leases) if (lease.expiresAt < this.simulator.now) this.endLease(id);
      simulator.scheduleAfter(LEASE_EXPIRY_INTERVAL_MS, expireLeases);
    };
    expireLeases();
  }

  private refuses(nodeName: string): boolean {
    return this.isDown || this.refusedNodes.has(nodeName);
  }

  /** Starts or ends an outage for all nodes. When it ends, every lease is renewed. */
  setDown(down: boolean): void {
    if (this.isDown && !down)
      for (const lease of this.leases.values()) lease.expiresAt = this.simulator.now + lease.ttlMs;
    this.isDown = down;
    if (!down) this.notifyWatches();
  }

  /** Ends the refusal of a single node. */
  clearRefusal(nodeName: string): void {
    this.refusedNodes.delete(nodeName);
    this.notifyWatches();
  }

  /** Discards the event log: a watch from an earlier revision fails from now on. */
  discardHistory(): void {
    this.oldestRevision = this.storeRevision;
    this.eventLog = [];
  }

  get(nodeName: string, key: string): StoreResponse<StoredItem | null> {
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
    { prefix, startAfter, pageSize }: { prefix: string; startAfter: string; pageSize: number },
  ): StoreResponse<ListPage> {
    if (this.refuses(nodeName)) return { status: 503 };
    const matchingKeys = [...this.records.keys()]
      .filter((key) => key.startsWith(prefix) && key > startAfter)
      .sort();
    const items = matchingKeys.slice(0, pageSize).map((key) => {
      const record = this.records.get(key)!;
      return { key, value: JSON.parse(record.value), modRevision: record.modRevision };
    });
    return {
      status: 200,
      value: { items, hasMore: matchingKeys.length > pageSize, storeRevision: this.storeRevision },
    };
  }

  compareAndSwap(
    nodeName: string,
    transaction: Transaction,
    limits: { maxTransactionOperations: number; maxValueKb: number },
  ): StoreResponse<number> {
    if (this.refuses(nodeName)) return { status: 503 };
    if (
      transaction.operations.length > limits.maxTransactionOperations ||
      transaction.preconditions.length > limits.maxTransactionOperations * 4
    )
      throw new Error('transaction over its limits');
    const failedKeys = transaction.preconditions
      .filter(({ key, modRevision }) => (this.records.get(key)?.modRevision ?? 0) !== modRevision)
      .map(({ key }) => key);
    if (failedKeys.length > 0) return { status: 409, failedKeys };
    for (const operation of transaction.operations) {
      if (operation.type === 'put' && operation.leaseId !== undefined && !this.leases.has(operation.leaseId))
        return { status: 400 };
      if (operation.type === 'put' && JSON.stringify(operation.value).length > limits.maxValueKb * 1024)
        throw new Error(`value too large: ${operation.key}`);
    }
    if (transaction.operations.length === 0) return { status: 200, value: this.storeRevision };
    this.storeRevision++;
    for (const operation of transaction.operations) this.apply(operation);
    this.notifyWatches();
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
    this.eventLog.push({ type: 'put', key, modRevision: this.storeRevision, value });
  }

  private deleteKey(key: string): void {
    const record = this.records.get(key);
    if (!record) return;
    if (record.leaseId) this.leases.get(record.leaseId)?.keys.delete(key);
    this.records.delete(key);
    this.eventLog.push({ type: 'delete', key, modRevision: this.storeRevision });
  }

  grantLease(nodeName: string, ttlMs: number): StoreResponse<number> {
    if (this.refuses(nodeName)) return { status: 503 };
    const id = this.nextLeaseId++;
    this.leases.set(id, { ttlMs, expiresAt: this.simulator.now + ttlMs, keys: new Set() });
    return { status: 200, value: id };
  }

  keepLeaseAlive(nodeName: string, id: number): StoreResponse<null> {
    if (this.refuses(nodeName)) return { status: 503 };
    const lease = this.leases.get(id);
    if (!lease) return { status: 404 };
    lease.expiresAt = this.simulator.now + lease.ttlMs;
    return { status: 200, value: null };
  }

  revokeLease(nodeName: string, id: number): StoreResponse<null> {
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
    this.notifyWatches();
  }

  watch(
    nodeName: string,
    { prefix, sinceRevision, waitMs }: { prefix: string; sinceRevision: number; waitMs: number },
    reply: (response: WatchResponse) => void,
  ): void {
    if (this.refuses(nodeName)) {
      reply({ status: 503 });
      return;
    }
    if (sinceRevision < this.oldestRevision) {
      reply({ status: 410 });
      return;
    }
    const watch = { prefix, sinceRevision, nodeName, reply };
    this.pendingWatches.push(watch);
    this.notifyWatches();
    const endWatch = () => {
      const index = this.pendingWatches.indexOf(watch);
      if (index < 0) return;
      if (this.refuses(nodeName)) return this.simulator.scheduleAfter(REFUSED_WATCH_RETRY_MS, endWatch);
      this.pendingWatches.splice(index, 1);
      reply({ status: 200, value: { storeRevision: this.storeRevision, events: [] } });
    };
    this.simulator.scheduleAfter(waitMs, endWatch);
  }

  private notifyWatches(): void {
    for (const watch of [...this.pendingWatches]) {
      if (this.refuses(watch.nodeName)) continue;
      // A response must contain every change, so a watch that missed discarded events fails.
      if (watch.sinceRevision < this.oldestRevision) {
        this.pendingWatches.splice(this.pendingWatches.indexOf(watch), 1);
        watch.reply({ status: 410 });
        continue;
      }
      const events = this.eventLog.filter(
        (event) => event.modRevision > watch.sinceRevision && event.key.startsWith(watch.prefix),
      );
      if (events.length === 0) continue;
      this.pendingWatches.splice(this.pendingWatches.indexOf(watch), 1);
      const copy = events.map((event) =>
        event.type === 'put' ? { ...event, value: JSON.parse(JSON.stringify(event.value)) } : event,
      );
      watch.reply({ status: 200, value: { storeRevision: this.storeRevision, events: copy } });
    }
    if (this.eventLog.length > MAX_EVENTS) {
      this.eventLog = this.eventLog.slice(-EVENTS_AFTER_TRIM);
      this.oldestRevision = this.eventLog[0]!.modRevision;
    }
  }
}
