/** Combines the writes of a shard owner's jobs into transactions and sends them to the key-value store. */

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
import { archiveWrite, type JobWrite, knownRevision, progressWrite, type WriteEvents } from './job-writes.js';
import { isReadyToArchive, type OwnedJob } from './owned-job.js';
import type { WakeTimer } from './wake-timer.js';
import type { WriteFence } from './write-fence.js';

/**
 * Maximum number of preconditions that the key-value store accepts, as a multiple of the maximum number of
 * operations.
 */
const MAX_PRECONDITIONS_PER_OPERATION = 4;
/** Preconditions of a job in addition to one per operation: on its job record, its counter and its team. */
const PRECONDITIONS_PER_JOB = 3;
/**
 * Approximate length of the operations of a transaction, in characters, above which no further job is added.
 * The last job may exceed it: a transaction may have 64 KiB, including its preconditions.
 */
const BATCH_LENGTH_THRESHOLD = 40_000;
/** Length in characters of an encoded put and of an encoded delete, without the key and the value. */
const PUT_OVERHEAD = 17;
const DELETE_OVERHEAD = 8;
/**
 * Pause of all writes after a transaction with the result `refused`, or that failed only because the write
 * fence (see `WriteFence`) had moved. The transaction was not executed, and its changes are written again by
 * new transactions.
 */
const NOT_EXECUTED_PAUSE_MS = 100;
/**
 * Pause of all writes after a transaction that failed because a team has another owner. It gives the watch
 * time to report that owner, but does not end early when the watch does.
 */
const OWNERSHIP_CHANGED_PAUSE_MS = 200;
/** Bounds of `coalescingDelayMs`. */
const MIN_COALESCING_DELAY_MS = 1000;
const MAX_COALESCING_DELAY_MS = 5000;
/** Share of the writes per second that non-urgent updates may use. */
const COALESCED_WRITES_SHARE = 0.2;

/**
 * What a transaction writes. `progress`: placement and counter records of jobs that cannot be archived yet.
 * `archive`: final records, and the deletion of the records that they replace.
 */
type WriteKind = 'progress' | 'archive';

/** Settings and dependencies of `JobTransactions`. */
export interface JobTransactionsOptions {
  store: KeyValueStore;
  clock: Clock;
  wakeTimer: WakeTimer;
  log: Logger;
  fence: WriteFence;
  events: WriteEvents;
  /** Maximum number of puts and deletes in one transaction. */
  maxTransactionOperations: number;
  /** Puts and deletes per second that the key-value store accepts from all controllers together. */
  writesPerSecond: number;
  /** Number of tasks per placement record. */
  tasksPerChunk: number;
  /** Returns the epoch of a team's shard, or undefined if this controller does not own it. */
  shardEpochOf(team: string): number | undefined;
  /** Returns whether this object is the current one for its job; see `OwnedJobs.includes`. */
  isCurrent(job: OwnedJob): boolean;
  /**
   * Called after a transaction failed for another reason than the result `refused` or a moved write fence,
   * with its jobs that are still current. Their records must be read again.
   */
  onReloadNeeded(jobs: OwnedJob[], write: FailedWrite): void;
  wake(): void;
}

/** A transaction that failed, or may have, and whose changes cannot simply be written again. */
export interface FailedWrite {
  /**
   * Whether the transaction may have been executed or may still be executed later. Otherwise it certainly was
   * not executed.
   */
  isIndeterminate: boolean;
  /** Revision of the write fence in the preconditions of the transaction. */
  fenceRevision: number;
}

/** A transaction under construction and the jobs that it writes. */
interface Batch {
  transaction: Transaction;
  fenceRevision: number;
  jobs: OwnedJob[];
  writes: JobWrite[];
  teams: Set<string>;
  /** Approximate length of the encoded operations in characters. */
  approximateLength: number;
}

/**
 * Writes the changes of a shard owner's jobs, many jobs per transaction. Preconditions require that the write
 * fence, the owner records of the teams, the job and counter records of the jobs, and all records that are
 * written still have the known revisions.
 */
export class JobTransactions {
  /**
   * Jobs with unwritten changes, and jobs to be archived. May also contain jobs with nothing left to write
   * until `collectDueJobs` removes them.
   */
  private readonly dirtyJobs = new Set<OwnedJob>();
  private readonly inFlight: Record<WriteKind, boolean> = { progress: false, archive: false };
  private pausedUntil = 0;

  constructor(private readonly options: JobTransactionsOptions) {}

  /** Schedules the write of a job's changes within `withinMs`, or earlier if that is already scheduled. */
  scheduleWrite(job: OwnedJob, withinMs: number): void {
    this.dirtyJobs.add(job);
    job.writeDueAt = Math.min(job.writeDueAt, this.options.clock.now() + withinMs);
  }

  /** Cancels the scheduled write of a job that is no longer owned. */
  unscheduleWrite(job: OwnedJob): void {
    this.dirtyJobs.delete(job);
  }

  /**
   * Returns how long a non-urgent update is delayed, such as that of a counter which is not complete yet, so
   * that several updates of a job share a write. The delay grows with the number of jobs to write, which
   * limits such updates to a share of the writes per second.
   */
  coalescingDelayMs(): number {
    const delayMs = (this.dirtyJobs.size / (this.options.writesPerSecond * COALESCED_WRITES_SHARE)) * 1000;
    return Math.min(MAX_COALESCING_DELAY_MS, Math.max(MIN_COALESCING_DELAY_MS, delayMs));
  }

  /**
   * Sends a transaction of each kind with the writes that are due, unless one of that kind is in flight.
   * Placements and counters therefore do not wait for archiving, and changes made in the meantime share the
   * next transaction.
   */
  sendDueWrites(): void {
    this.sendNextBatch('progress');
    this.sendNextBatch('archive');
  }

  private sendNextBatch(kind: WriteKind): void {
    if (this.inFlight[kind] || this.dirtyJobs.size === 0) return;
    if (this.options.clock.now() < this.pausedUntil) {
      this.options.wakeTimer.wakeAt(this.pausedUntil);
      return;
    }
    const fence = this.options.fence.precondition();
    if (!fence) return;
    const dueJobs = this.collectDueJobs(kind);
    if (dueJobs.length === 0) return;
    const batch: Batch = {
      transaction: { preconditions: [fence], operations: [] },
      fenceRevision: fence.modRevision,
      jobs: [],
      writes: [],
      teams: new Set(),
      approximateLength: 0,
    };
    for (const job of dueJobs) if (!this.addJob(batch, job, kind)) break;
    if (batch.jobs.length > 0) this.sendBatch(batch, kind);
  }

  /**
   * Returns the jobs with a write of this kind that is due, most urgent first; if there are none, requests a
   * wake-up for the next one. Also unschedules the jobs that have nothing to write.
   */
  private collectDueJobs(kind: WriteKind): OwnedJob[] {
    const now = this.options.clock.now();
    const dueJobs: OwnedJob[] = [];
    let nextDueAt = Number.POSITIVE_INFINITY;
    for (const job of this.dirtyJobs) {
      if (job.isReloading || job.isWriteInFlight) continue;
      const needsArchiving = isReadyToArchive(job);
      if (!needsArchiving && !job.isCounterDirty && job.dirtyChunks.size === 0) {
        job.writeDueAt = Number.POSITIVE_INFINITY;
        this.dirtyJobs.delete(job);
      } else if (needsArchiving === (kind === 'archive')) {
        if (job.writeDueAt <= now) dueJobs.push(job);
        else nextDueAt = Math.min(nextDueAt, job.writeDueAt);
      }
    }
    if (dueJobs.length === 0) this.options.wakeTimer.wakeAt(nextDueAt);
    return dueJobs.sort(
      (one, other) =>
        one.spec.priority - other.spec.priority ||
        one.writeDueAt - other.writeDueAt ||
        one.acceptedRevision - other.acceptedRevision,
    );
  }

  /**
   * Adds the write of a job to a batch. Returns false if the batch is full and no further job should be
   * tried; true also if this job was skipped because it has nothing to write or its write does not fit.
   */
  private addJob(batch: Batch, job: OwnedJob, kind: WriteKind): boolean {
    const { transaction } = batch;
    const { tasksPerChunk, events } = this.options;
    const remainingOperations = this.remainingOperations(batch);
    if (remainingOperations < 1 || batch.approximateLength > BATCH_LENGTH_THRESHOLD) return false;
    const writeOptions = { remainingOperations, tasksPerChunk, events };
    const write = kind === 'archive' ? archiveWrite(job, writeOptions) : progressWrite(job, writeOptions);
    if (!write) return true;
    const writtenKeys = new Set(write.operations.map(({ key }) => key));
    for (const operation of write.operations) {
      const { key } = operation;
      batch.approximateLength += encodedLength(operation);
      transaction.preconditions.push({ key, modRevision: knownRevision(job, key) });
      transaction.operations.push(operation);
    }
    for (const key of [jobKey(job.spec.id), counterKey(job.spec.id)])
      if (!writtenKeys.has(key))
        transaction.preconditions.push({ key, modRevision: knownRevision(job, key) });
    batch.teams.add(job.spec.team);
    batch.jobs.push(job);
    batch.writes.push(write);
    return true;
  }

  /**
   * Returns how many operations the next job may still add, with room left for the preconditions of one more
   * job and of the teams in the transaction.
   */
  private remainingOperations({ transaction, teams }: Batch): number {
    const { maxTransactionOperations: maxOperations } = this.options;
    const remainingPreconditions =
      maxOperations * MAX_PRECONDITIONS_PER_OPERATION - transaction.preconditions.length - teams.size;
    return Math.min(
      maxOperations - transaction.operations.length,
      remainingPreconditions - PRECONDITIONS_PER_JOB,
    );
  }

  private sendBatch(batch: Batch, kind: WriteKind): void {
    // A shard's epoch is the revision of the owner record. No record has revision -1, so a transaction for a
    // team that is not owned would fail.
    for (const team of batch.teams)
      batch.transaction.preconditions.push({
        key: teamKey(team),
        modRevision: this.options.shardEpochOf(team) ?? -1,
      });
    for (const job of batch.jobs) {
      job.isWriteInFlight = true;
      job.writeDueAt = Number.POSITIVE_INFINITY;
    }
    this.inFlight[kind] = true;
    const urgency = kind === 'archive' ? URGENCY.archive : URGENCY.placement;
    this.options.store.compareAndSwap(batch.transaction, urgency, (result) => {
      this.inFlight[kind] = false;
      this.onResult(batch, result);
      this.options.wake();
    });
  }

  private onResult(batch: Batch, result: Result<number>): void {
    for (const job of batch.jobs) {
      job.isWriteInFlight = false;
      // `collectDueJobs` examines the job again and unschedules it if nothing is left to write.
      if (this.options.isCurrent(job))
        this.scheduleWrite(job, job.isCounterDirty && !job.counter.isComplete ? this.coalescingDelayMs() : 0);
    }
    if (result.ok) {
      for (const write of batch.writes) write.onExecuted(result.value);
    } else if (result.kind === 'refused' || this.options.fence.detectFenceOnlyConflict(result)) {
      // The transaction was not executed, so its changes are still to be written, by a new transaction.
      for (const write of batch.writes) write.onNotExecuted();
      this.pause(NOT_EXECUTED_PAUSE_MS);
    } else this.requestReload(batch, result);
  }

  /** Requests that the records of the jobs be read again, as the changes cannot simply be written again. */
  private requestReload({ jobs, fenceRevision }: Batch, { kind, failedKeys = [] }: Failure): void {
    this.options.log.debug({ kind, failedKeys, jobs: jobs.map((job) => job.spec.id) }, 'write not confirmed');
    // If the failed preconditions are all on owner records, another controller owns a team now, as the watch
    // will report, and nothing of this transaction was stored. A conflict for which no failed keys are known
    // is treated in the same way.
    if (kind === 'conflict' && failedKeys.every((key) => teamOfKey(key) !== null))
      this.pause(OWNERSHIP_CHANGED_PAUSE_MS);
    const isIndeterminate = kind !== 'conflict' && kind !== 'invalid';
    const currentJobs = jobs.filter((job) => this.options.isCurrent(job));
    this.options.onReloadNeeded(currentJobs, { isIndeterminate, fenceRevision });
  }

  private pause(pauseMs: number): void {
    this.pausedUntil = this.options.clock.now() + pauseMs;
    this.options.wakeTimer.wakeAt(this.pausedUntil);
  }
}

/** Returns the approximate length of an operation in an encoded transaction. */
function encodedLength(operation: StoreOperation): number {
  const keyLength = JSON.stringify(operation.key).length;
  return operation.type === 'delete'
    ? keyLength + DELETE_OVERHEAD
    : keyLength + JSON.stringify(operation.value).length + PUT_OVERHEAD;
}
