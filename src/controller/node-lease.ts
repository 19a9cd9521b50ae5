/** Cluster membership of a controller: its node record, and the lease that the record is attached to. */

import type { Clock } from '../model/clock.js';
import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import { nodeKey } from '../store/keyspace.js';
import { nodeRecord } from '../store/record-codec.js';

/** Settings, dependencies and callbacks of a node lease. */
export interface NodeLeaseOptions {
  nodeName: string;
  instanceId: string;
  ttlMs: number;
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** Returns whether the shared records have been read. */
  isReady(): boolean;
  /** Called each time a lease has been granted and the node record has been written. */
  onJoined(): void;
  /**
   * Called when the store no longer knows the lease and has removed all records attached to it. A new lease
   * is acquired afterwards.
   */
  onLost(): void;
}

/** Acquires this process's lease, renews it, and acquires a new one if it is lost. */
export class NodeLease {
  /** The store's id of the lease; 0 while there is no lease. */
  private leaseId = 0;
  private renewedAt = 0;
  private requestInFlight = false;
  private predecessorLeaseRevoked = false;

  constructor(private readonly options: NodeLeaseOptions) {}

  /** The store's id of the lease, used to attach records to it; 0 while there is no lease. */
  get id(): number {
    return this.leaseId;
  }

  /** Whether a lease was granted and has not been found lost since. It may have expired unnoticed. */
  get isGranted(): boolean {
    return this.leaseId !== 0;
  }

  /** Returns whether the store certainly holds the lease, counted from when the last renewal was sent. */
  isCertainlyValid(now: number): boolean {
    return now - this.renewedAt < this.options.ttlMs;
  }

  /** Returns whether the lease has expired, unless a renewal without a response has reached the store. */
  hasExpired(now: number): boolean {
    return now - this.renewedAt > this.options.ttlMs;
  }

  /** Joins the cluster, or renews the lease once a third of its time to live has passed. */
  renew(now: number): void {
    if (this.requestInFlight || !this.options.isReady()) return;
    if (!this.isGranted) {
      this.join();
      return;
    }
    if (now - this.renewedAt < this.options.ttlMs / 3) return;
    this.requestInFlight = true;
    this.options.store.keepLeaseAlive(this.leaseId, (result) => {
      this.requestInFlight = false;
      if (result.ok) this.renewedAt = now;
      else if (result.kind === 'notFound') this.onLeaseNotFound();
    });
  }

  private onLeaseNotFound(): void {
    this.options.log.info({}, 'lease lost');
    this.leaseId = 0;
    this.options.onLost();
    this.join();
  }

  /**
   * Acquires a lease. The first time, the lease of this node's previous process is revoked before that, if
   * there was one; no other lease is ever revoked.
   */
  private join(): void {
    const { nodeName, instanceId, store } = this.options;
    this.requestInFlight = true;
    store.get(nodeKey(nodeName), URGENCY.lease, (result) => {
      if (!result.ok) {
        this.requestInFlight = false;
        return;
      }
      const predecessor = result.value ? nodeRecord.decode(result.value.value) : undefined;
      const acquireLease = () => this.acquireLease(result.value?.modRevision ?? 0);
      if (predecessor && predecessor.instanceId !== instanceId && !this.predecessorLeaseRevoked) {
        this.predecessorLeaseRevoked = true;
        store.revokeLease(predecessor.leaseId, acquireLease);
      } else acquireLease();
    });
  }

  /**
   * Acquires a lease and writes the node record, on condition that the record is unchanged since it was read.
   * Otherwise a delayed write could restore an older lease's record, which would disappear with that lease.
   */
  private acquireLease(nodeRecordRevision: number): void {
    const sentAt = this.options.clock.now();
    this.options.store.grantLease(this.options.ttlMs, (result) => {
      if (result.ok) this.writeNodeRecord(nodeRecordRevision, { leaseId: result.value, sentAt });
      else this.requestInFlight = false;
    });
  }

  private writeNodeRecord(nodeRecordRevision: number, granted: { leaseId: number; sentAt: number }): void {
    const { nodeName, instanceId, store, log, onJoined } = this.options;
    const key = nodeKey(nodeName);
    const { leaseId, sentAt } = granted;
    store.compareAndSwap(
      {
        preconditions: [{ key, modRevision: nodeRecordRevision }],
        operations: [{ type: 'put', key, value: nodeRecord.encode({ instanceId, leaseId }), leaseId }],
      },
      URGENCY.lease,
      (result) => {
        this.requestInFlight = false;
        if (!result.ok) return;
        this.leaseId = leaseId;
        this.renewedAt = sentAt;
        log.info({ instanceId }, 'joined the cluster');
        onJoined();
      },
    );
  }
}
