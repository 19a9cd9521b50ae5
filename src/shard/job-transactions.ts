/** Puts the writes of an owner's jobs together into transactions, and sends them. */

import type { Clock } from '../model/clock.js';
import {
  type KeyValueStore,
  type StoreOperation,
  type Transaction,
  URGENCY,
} from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { Failure, Result } from '../model/result.js';
import { counterKey, jobKey, teamKey, teamOfKey } from '../store/keyspace.js';
import { type JobWrite, revisionOf, type WriteEvents, writeChanges, writeFinal } from './job-writes.js';
import { isOver, type OwnedJob } from './owned-job.js';
import type { WakeTimer } from './wake-timer.js';
import type { WriteFence } from './write-fence.js';

/** The key-value store takes so many times as many preconditions as operations in a transaction. */
const PRECONDITIONS_PER_OPERATION = 4;
/** Preconditions that a job adds beside those on what it changes: its record, its counter and its team. */
const PRECONDITIONS_PER_JOB = 3;
/** Operations in one transaction, of the 64 KiB that it may have in all with its preconditions. */
const MAX_BATCH_BYTES = 40_000;
/** Characters of a put and of a delete beside the encoded key and value. */
const PUT_OVERHEAD = 17;
const DELETE_OVERHEAD = 8;
/** Pause after a transaction that was surely not executed. */
const REFUSED_PAUSE_MS = 100;
/** Pause after one that failed since a team has another owner: the watch tells which. */
const OWNERSHIP_MOVED_PAUSE_MS = 200;
/** Bounds of how long a count that fills nothing waits for others of its job. */
const MIN_LAZY_MS = 1000;
const MAX_LAZY_MS = 5000;
/** Part of the writes per second that such counts may take. */
const LAZY_SHARE = 0.2;

/** `progress`: placements and counters. `cleanup`: final records. */
type WriteKind = 'progress' | 'cleanup';

/** Settings of the transactions, and what they work with. */
export interface JobTransactionsOptions {
  store: KeyValueStore;
  clock: Clock;
  wakeTimer: WakeTimer;
  log: Logger;
  fence: WriteFence;
  events: WriteEvents;
  /** Most puts and deletes of one transaction. */
  maxTransactionOperations: number;
  /** Puts and deletes that the key-value store takes from all controllers. */
  writesPerSecond: number;
  /** Tasks to a placement record. */
  tasksPerChunk: number;
  /** Undefined: the team's shard is not owned here. */
  shardEpochOf(team: string): number | undefined;
  /** Whether the owner still holds this very job. */
  isOwned(job: OwnedJob): boolean;
  /** Jobs whose stored records decide now. */
  onUnconfirmed(jobs: OwnedJob[], write: UnconfirmedWrite): void;
  wake(): void;
}

/** A transaction that is not known to have been executed. */
export interface UnconfirmedWrite {
  /** It may have been executed, or may yet be; else it surely was not. */
  isIndeterminate: boolean;
  /** The revision of the fence that it was conditioned on. */
  fenceRevision: number;
}

/** A transaction being put together, and the jobs that it is of. */
interface Batch {
  transaction: Transaction;
  fenceRevision: number;
  jobs: OwnedJob[];
  writes: JobWrite[];
  teams: Set<string>;
  bytes: number;
}

/** Writes what has changed of an owner's jobs, many in one transaction, each change conditioned on what it replaces. */
export class JobTransactions {
  /** Jobs with something to write, or over and without their final record. */
  private readonly dirty = new Set<OwnedJob>();
  private readonly inFlight: Record<WriteKind, boolean> = { progress: false, cleanup: false };
  private pausedUntil = 0;

  constructor(private readonly options: JobTransactionsOptions) {}

  /** Something of a job is to be written within that time. */
  scheduleWrite(job: OwnedJob, withinMs: number): void {
    this.dirty.add(job);
    job.dueAt = Math.min(job.dueAt, this.options.clock.now() + withinMs);
  }

  /** The owner holds this job no longer. */
  forget(job: OwnedJob): void {
    this.dirty.delete(job);
  }

  /**
   * How long a count that fills nothing may wait for others of its job: longer when many jobs have such, so that they
   * take a part of the writes only.
   */
  lazyDelayMs(): number {
    const wait = (this.dirty.size / (this.options.writesPerSecond * LAZY_SHARE)) * 1000;
    return Math.min(MAX_LAZY_MS, Math.max(MIN_LAZY_MS, wait));
  }

  /**
   * Sends what is due. One transaction of each kind at a time: placements and counters don't wait behind cleaning up, and
   * what comes meanwhile shares the next one.
   */
  write(): void {
    this.writeKind('progress');
    this.writeKind('cleanup');
  }

  private writeKind(kind: WriteKind): void {
    if (this.inFlight[kind] || this.dirty.size === 0) return;
    if (this.options.clock.now() < this.pausedUntil) {
      this.options.wakeTimer.wakeAt(this.pausedUntil);
      return;
    }
    const fence = this.options.fence.precondition();
    if (!fence) return;
    const due = this.due(kind);
    if (due.length === 0) return;
    const batch: Batch = {
      transaction: { preconditions: [fence], operations: [] },
      fenceRevision: fence.modRevision,
      jobs: [],
      writes: [],
      teams: new Set(),
      bytes: 0,
    };
    for (const job of due) if (!this.add(batch, job, kind)) break;
    if (batch.jobs.length > 0) this.send(batch, kind);
  }

  /** Jobs with something to write now, most urgent first. */
  private due(kind: WriteKind): OwnedJob[] {
    const now = this.options.clock.now();
    const due: OwnedJob[] = [];
    let nextDueAt = Number.POSITIVE_INFINITY;
    for (const job of this.dirty) {
      if (job.isReloading || job.writeInFlight) continue;
      const isFinal = isOver(job);
      if (!isFinal && !job.counterDirty && job.dirtyChunks.size === 0) {
        job.dueAt = Number.POSITIVE_INFINITY;
        this.dirty.delete(job);
      } else if (isFinal === (kind === 'cleanup')) {
        if (job.dueAt <= now) due.push(job);
        else nextDueAt = Math.min(nextDueAt, job.dueAt);
      }
    }
    if (due.length === 0) this.options.wakeTimer.wakeAt(nextDueAt);
    return due.sort(
      (one, other) =>
        one.spec.priority - other.spec.priority ||
        one.dueAt - other.dueAt ||
        one.acceptedRevision - other.acceptedRevision,
    );
  }

  /** False: the transaction is full. */
  private add(batch: Batch, job: OwnedJob, kind: WriteKind): boolean {
    const { transaction } = batch;
    const { tasksPerChunk, events } = this.options;
    const maxOperations = this.operationsLeft(batch);
    if (maxOperations < 1 || batch.bytes > MAX_BATCH_BYTES) return false;
    const limits = { maxOperations, tasksPerChunk, events };
    const write = kind === 'cleanup' ? writeFinal(job, limits) : writeChanges(job, limits);
    if (!write) return true;
    const written = new Set(write.operations.map(({ key }) => key));
    for (const operation of write.operations) {
      const { key } = operation;
      batch.bytes += encodedLength(operation);
      transaction.preconditions.push({ key, modRevision: revisionOf(job, key) });
      transaction.operations.push(operation);
    }
    for (const key of [jobKey(job.spec.id), counterKey(job.spec.id)])
      if (!written.has(key)) transaction.preconditions.push({ key, modRevision: revisionOf(job, key) });
    batch.teams.add(job.spec.team);
    batch.jobs.push(job);
    batch.writes.push(write);
    return true;
  }

  /** Operations that may still be added, with the preconditions of one more job and of the teams in the transaction. */
  private operationsLeft({ transaction, teams }: Batch): number {
    const { maxTransactionOperations: maxOperations } = this.options;
    const preconditionsLeft =
      maxOperations * PRECONDITIONS_PER_OPERATION - transaction.preconditions.length - teams.size;
    return Math.min(maxOperations - transaction.operations.length, preconditionsLeft - PRECONDITIONS_PER_JOB);
  }

  private send(batch: Batch, kind: WriteKind): void {
    for (const team of batch.teams)
      batch.transaction.preconditions.push({
        key: teamKey(team),
        modRevision: this.options.shardEpochOf(team) ?? -1,
      });
    for (const job of batch.jobs) {
      job.writeInFlight = true;
      job.dueAt = Number.POSITIVE_INFINITY;
    }
    this.inFlight[kind] = true;
    const urgency = kind === 'cleanup' ? URGENCY.cleanup : URGENCY.placement;
    this.options.store.compareAndSwap(batch.transaction, urgency, (result) => {
      this.inFlight[kind] = false;
      this.onAnswered(batch, result);
      this.options.wake();
    });
  }

  private onAnswered(batch: Batch, result: Result<number>): void {
    for (const job of batch.jobs) {
      job.writeInFlight = false;
      // Looked at again by the next write, and forgotten there if nothing is left to store.
      if (this.options.isOwned(job))
        this.scheduleWrite(job, job.counterDirty && !job.counter.isComplete ? this.lazyDelayMs() : 0);
    }
    if (result.ok) {
      for (const write of batch.writes) write.onStored(result.value);
    } else if (result.kind === 'refused' || this.options.fence.isOnlyConflict(result)) {
      // Surely not executed: what was to be stored still is.
      for (const write of batch.writes) write.onNotExecuted();
      this.pause(REFUSED_PAUSE_MS);
    } else this.onUnconfirmed(batch, result);
  }

  /** Not executed, or nobody knows: the stored records decide. */
  private onUnconfirmed({ jobs, fenceRevision }: Batch, { kind, failedKeys = [] }: Failure): void {
    this.options.log.debug({ kind, failedKeys, jobs: jobs.map((job) => job.spec.id) }, 'write not confirmed');
    // Ownership moved; the watch will tell. Nothing of ours was stored.
    if (kind === 'conflict' && failedKeys.every((key) => teamOfKey(key) !== null))
      this.pause(OWNERSHIP_MOVED_PAUSE_MS);
    const isIndeterminate = kind !== 'conflict' && kind !== 'invalid';
    const owned = jobs.filter((job) => this.options.isOwned(job));
    this.options.onUnconfirmed(owned, { isIndeterminate, fenceRevision });
  }

  private pause(pauseMs: number): void {
    this.pausedUntil = this.options.clock.now() + pauseMs;
    this.options.wakeTimer.wakeAt(this.pausedUntil);
  }
}

/** How long an operation is in the text of a transaction, nearly. */
function encodedLength(operation: StoreOperation): number {
  const keyLength = JSON.stringify(operation.key).length;
  return operation.type === 'delete'
    ? keyLength + DELETE_OVERHEAD
    : keyLength + JSON.stringify(operation.value).length + PUT_OVERHEAD;
}
