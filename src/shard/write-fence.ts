/** A write fence, which prevents transactions sent before it was moved from being executed later. */

import type { Clock } from '../model/clock.js';
import {
  type KeyValueStore,
  type Precondition,
  type Transaction,
  URGENCY,
} from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { Result } from '../model/result.js';
import { ownerRecord } from '../store/record-codec.js';

/** Delay before a failed read or write of the fence record is retried. */
const RETRY_MS = 300;

/** Settings and dependencies of a `WriteFence`. */
export interface WriteFenceOptions {
  /**
   * Key of the fence record. Each controller has one, and a process restarted on the same node continues from
   * the revision stored there.
   */
  key: string;
  instanceId: string;
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** Called when `precondition` may no longer return null. */
  onReady(): void;
}

/**
 * Makes the outcome of transactions without a response final.
 *
 * A transaction without a response may already have been executed or may be executed later. Reading its
 * records again does not settle this: if its effects are missing, it can still be executed after that read,
 * as long as all of its preconditions hold. Therefore every transaction of a shard owner has a precondition
 * on the revision of one record, the fence. Moving the fence means writing that record. Once the fence has a
 * new revision, no earlier transaction can be executed, so records read from then on show the final outcome.
 * A regular transaction costs one more precondition but no additional write; an indeterminate one costs a
 * write of the fence.
 */
export class WriteFence {
  /**
   * Revision of the fence record; null if unknown, in which case the record is read before anything else is
   * written.
   */
  private revision: number | null = null;
  /** Revision of the fence before the move in progress; null if the fence is not being moved. */
  private revisionBeforeMove: number | null = null;
  private moveCallbacks: (() => void)[] = [];
  /** Whether a read or write of the fence record is in flight or waits to be retried. */
  private isRequestPending = false;

  constructor(private readonly options: WriteFenceOptions) {}

  /** Reads the fence if its revision is unknown. */
  ensureRevisionKnown(): void {
    if (this.revision === null) this.sendNextRequest();
  }

  /**
   * Returns the precondition on the fence to add to a transaction, or null while nothing may be written: the
   * revision is unknown or the fence is being moved. `onReady` is called when a precondition may be available
   * again.
   */
  precondition(): Precondition | null {
    this.ensureRevisionKnown();
    if (this.revision === null || this.moveCallbacks.length > 0) return null;
    return { key: this.options.key, modRevision: this.revision };
  }

  /**
   * Returns whether the fence was the only failed precondition of a transaction. Such a transaction was not
   * executed, and its changes can be written again unchanged. If the fence is among the failed preconditions,
   * its revision becomes unknown.
   */
  detectFenceOnlyConflict(result: Result<unknown>): boolean {
    if (result.ok || result.kind !== 'conflict' || !result.failedKeys?.includes(this.options.key))
      return false;
    this.revision = null;
    return result.failedKeys.length === 1;
  }

  /**
   * Moves the fence by writing its record, and calls back once no transaction sent before this call can be
   * executed any more. A call during a move shares that move: no transaction is sent meanwhile, as
   * `precondition` returns null.
   */
  move(callback: () => void): void {
    this.moveCallbacks.push(callback);
    this.sendNextRequest();
  }

  private sendNextRequest(): void {
    if (this.isRequestPending) return;
    if (this.revision === null) this.readRevision();
    else if (this.moveCallbacks.length > 0) this.writeNewRevision(this.revision);
  }

  private readRevision(): void {
    this.isRequestPending = true;
    this.options.store.get(this.options.key, URGENCY.user, (result) => {
      if (!result.ok) {
        this.retry();
        return;
      }
      this.isRequestPending = false;
      this.revision = result.value?.modRevision ?? 0;
      if (this.revisionBeforeMove !== null && this.revision !== this.revisionBeforeMove) this.onMoved();
      else if (this.moveCallbacks.length > 0) this.sendNextRequest();
      else this.options.onReady();
    });
  }

  private writeNewRevision(modRevision: number): void {
    this.isRequestPending = true;
    this.revisionBeforeMove = modRevision;
    const { key, instanceId, store } = this.options;
    const transaction: Transaction = {
      preconditions: [{ key, modRevision }],
      operations: [{ type: 'put', key, value: ownerRecord.encode({ instanceId }) }],
    };
    store.compareAndSwap(transaction, URGENCY.placement, (result) => {
      if (result.ok) {
        this.isRequestPending = false;
        this.revision = result.value;
        this.onMoved();
      } else if (result.kind === 'refused') this.retry();
      else {
        // The response may be lost, or an earlier write of the fence was executed late. The stored revision
        // shows both.
        this.revision = null;
        this.readRevision();
      }
    });
  }

  private onMoved(): void {
    this.revisionBeforeMove = null;
    const callbacks = this.moveCallbacks;
    this.moveCallbacks = [];
    for (const callback of callbacks) callback();
    this.options.log.debug({ fenceRevision: this.revision, waiting: callbacks.length }, 'write fence moved');
    this.options.onReady();
  }

  private retry(): void {
    this.options.clock.after(RETRY_MS, () => {
      this.isRequestPending = false;
      this.sendNextRequest();
    });
  }
}
