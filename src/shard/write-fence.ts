/** Bars late writes: what was sent before the fence moved can no longer be executed. */

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

/** Pause before a request that failed is sent again. */
const RETRY_MS = 300;

/** What a fence needs of its controller. */
export interface WriteFenceOptions {
  /** One record a controller: a process that follows on the same node goes on from the revision it finds. */
  key: string;
  instanceId: string;
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** Something can be written again. */
  onReady(): void;
}

/**
 * Resolves transactions without an answer.
 *
 * "No response: the request may have been executed, or may yet be executed later." Reading the records again is no
 * barrier: a transaction that was not found may be executed after that read, as long as nothing it is conditioned on has
 * changed. So every transaction of an owner is conditioned on one record of its own, the fence. Once the fence is seen at
 * another revision, no earlier transaction can be executed any more, and what is read from then on is final. The ordinary
 * path costs a precondition and no write; an indeterminate write costs one more write.
 */
export class WriteFence {
  /** Null: not known, and to be read before anything is written. */
  private revision: number | null = null;
  /** The revision that is to be left behind; null: the fence is not being moved. */
  private revisionToLeave: number | null = null;
  private waitingForMove: (() => void)[] = [];
  private requestInFlight = false;

  constructor(private readonly options: WriteFenceOptions) {}

  /** Reads the fence if it is not known. */
  learn(): void {
    if (this.revision === null) this.proceed();
  }

  /** The precondition of a transaction; null: nothing may be written yet, `onReady` tells when. */
  precondition(): Precondition | null {
    this.learn();
    if (this.revision === null || this.waitingForMove.length > 0) return null;
    return { key: this.options.key, modRevision: this.revision };
  }

  /** Whether a transaction failed for nothing but its fence, and so was surely not executed. It is read anew. */
  isOnlyConflict(result: Result<unknown>): boolean {
    if (result.ok || result.kind !== 'conflict' || !result.failedKeys?.includes(this.options.key))
      return false;
    this.revision = null;
    return result.failedKeys.length === 1;
  }

  /** Calls back once no transaction sent until now can be executed any more. */
  move(moved: () => void): void {
    this.waitingForMove.push(moved);
    this.proceed();
  }

  private proceed(): void {
    if (this.requestInFlight) return;
    if (this.revision === null) this.read();
    else if (this.waitingForMove.length > 0) this.write(this.revision);
  }

  private read(): void {
    this.requestInFlight = true;
    this.options.store.get(this.options.key, URGENCY.user, (result) => {
      if (!result.ok) {
        this.retry();
        return;
      }
      this.requestInFlight = false;
      this.revision = result.value?.modRevision ?? 0;
      if (this.revisionToLeave !== null && this.revision !== this.revisionToLeave) this.onMoved();
      else if (this.waitingForMove.length > 0) this.proceed();
      else this.options.onReady();
    });
  }

  private write(modRevision: number): void {
    this.requestInFlight = true;
    this.revisionToLeave = modRevision;
    const { key, instanceId, store } = this.options;
    const transaction: Transaction = {
      preconditions: [{ key, modRevision }],
      operations: [{ type: 'put', key, value: ownerRecord.encode({ instanceId }) }],
    };
    store.compareAndSwap(transaction, URGENCY.placement, (result) => {
      if (result.ok) {
        this.requestInFlight = false;
        this.revision = result.value;
        this.onMoved();
      } else if (result.kind === 'refused') this.retry();
      else {
        // Its own answer may be lost, or an earlier write of it executed late: its revision tells.
        this.revision = null;
        this.read();
      }
    });
  }

  private onMoved(): void {
    this.revisionToLeave = null;
    const moved = this.waitingForMove;
    this.waitingForMove = [];
    for (const done of moved) done();
    this.options.log.debug({ fenceRevision: this.revision, waiting: moved.length }, 'write fence moved');
    this.options.onReady();
  }

  private retry(): void {
    this.options.clock.after(RETRY_MS, () => {
      this.requestInFlight = false;
      this.proceed();
    });
  }
}
