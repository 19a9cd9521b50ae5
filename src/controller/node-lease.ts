/** A controller's membership: its node record, and the lease that it hangs on. */

import type { Clock } from '../model/clock.js';
import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import { nodeKey } from '../store/keyspace.js';
import { nodeRecord } from '../store/record-codec.js';

/** What a node lease needs. */
export interface NodeLeaseOptions {
  nodeName: string;
  instanceId: string;
  ttlMs: number;
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** Whether the shared records have been read. */
  isReady(): boolean;
  onJoined(): void;
  /** The store no longer knows the lease; all that hung on it is gone. A new one is taken afterwards. */
  onLost(): void;
}

/** Takes the lease of this process, renews it, and takes another if it is lost. */
export class NodeLease {
  /** 0: none. */
  private leaseId = 0;
  private renewedAt = 0;
  private requestInFlight = false;
  private predecessorLeaseRevoked = false;

  constructor(private readonly options: NodeLeaseOptions) {}

  /** Identifier that records are attached to the lease by; 0 while there is none. */
  get id(): number {
    return this.leaseId;
  }

  /** Whether a lease was granted and not found lost since. It may have expired unnoticed. */
  get isGranted(): boolean {
    return this.leaseId !== 0;
  }

  /** Whether the store keeps the lease in any case: counted from when its last renewal was sent. */
  isCertainlyValid(now: number): boolean {
    return now - this.renewedAt < this.options.ttlMs;
  }

  /** Whether the lease has run out unless a renewal without an answer has reached the store. */
  hasExpired(now: number): boolean {
    return now - this.renewedAt > this.options.ttlMs;
  }

  /** Joins, or renews the lease once a third of it has passed. */
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

  /** A new instance revokes its predecessor's lease, and no other; then it takes one of its own. */
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

  /** The write names the record that was read: carried out late it would bring back an older lease, and go with it. */
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
        log.info({ instanceId }, 'joined');
        onJoined();
      },
    );
  }
}
