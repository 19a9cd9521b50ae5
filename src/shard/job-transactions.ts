import type { Clock } from '../model/clock.js';
import {
  type KeyValueStore,
  type StoreOperation,
  type Transaction,
  URGENCY,
} from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { Result } from '../model/result.js';
import { counterKey, jobKey, teamKey, teamOfKey } from '../store/keyspace.js';
import { type JobWrite, revisionOf, type WriteEvents, writeChanges, writeFinal } from './job-writes.js';
import { isOver, type OwnedJob } from './owned-job.js';
import type { WriteFence } from './write-fence.js';

/** The state service takes so many times as many conditions as changes in a transaction. */
const CONDITIONS_PER_CHANGE = 4;
/** Conditions that a job adds beside those on what it changes: its record, its counter and its team. */
const CONDITIONS_PER_JOB = 3;
/** Values in one transaction, of the 64 KiB that it may have in all. */
const MAX_BATCH_BYTES = 40_000;
/** Characters of a put and of a delete beside the encoded key and value. */
const PUT_OVERHEAD = 17;
const DELETE_OVERHEAD = 8;
/** Pause after a transaction that was surely not carried out. */
const REFUSED_PAUSE_MS = 100;
/** Pause after one that failed since a team has another owner: the watch tells which. */
const OWNERSHIP_MOVED_PAUSE_MS = 200;
/** Bounds of how long a count that fills nothing waits for others of its job. */
const MIN_LAZY_MS = 1000;
const MAX_LAZY_MS = 5000;
/** Part of the writes that such counts may take. */
const LAZY_SHARE = 0.2;

/** `work`: placements and counters. `tidy`: final records. */
type Kind = 'work' | 'tidy';

export interface JobTransactionsOptions {
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  fence: WriteFence;
  events: WriteEvents;
  maxTransactionOperations: number;
  writesPerSecond: number;
  /** Tasks to a placement record. */
  tasksPerChunk: number;
  /** Version of the record that makes this owner the team's; undefined: it is not. */
  teamRevision(team: string): number | undefined;
  /** Whether the owner still holds this very job. */
  isOwned(job: OwnedJob): boolean;
  /** Jobs whose stored records decide now. `inDoubt`: nobody knows yet whether their transaction is carried out. */
  onUnconfirmed(jobs: OwnedJob[], isIndeterminate: boolean, fence: number): void;
  wake(): void;
  wakeAt(at: number): void;
}

/** A transaction being put together: its conditions and changes, and the jobs that they are of. */
interface Batch {
  transaction: Transaction;
  fence: number;
  jobs: OwnedJob[];
  writes: JobWrite[];
  teams: Set<string>;
  bytes: number;
}

/** Writes what has changed of an owner's jobs, many in one transaction, each change conditioned on what it replaces. */
export class JobTransactions {
  /** Jobs with something to write, or over and not yet filed. */
  private readonly dirty = new Set<OwnedJob>();
  private readonly inFlight: Record<Kind, boolean> = { work: false, tidy: false };
  private pausedUntil = 0;

  constructor(private readonly options: JobTransactionsOptions) {}

  /** Something of a job is to be written within `ms`. */
  markDirty(job: OwnedJob, ms: number): void {
    this.dirty.add(job);
    job.dueAt = Math.min(job.dueAt, this.options.clock.now() + ms);
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
   * One transaction of each kind at a time: placements and counters don't wait behind tidying up, and what comes
   * meanwhile shares the next one.
   */
  write(): void {
    this.writeKind('work');
    this.writeKind('tidy');
  }

  private writeKind(kind: Kind): void {
    if (this.inFlight[kind] || this.dirty.size === 0) return;
    if (this.options.clock.now() < this.pausedUntil) return this.options.wakeAt(this.pausedUntil);
    const fence = this.options.fence.precondition();
    if (!fence) return;
    const due = this.due(kind);
    if (due.length === 0) return;
    const batch: Batch = {
      transaction: { preconditions: [fence], operations: [] },
      fence: fence.modRevision,
      jobs: [],
      writes: [],
      teams: new Set(),
      bytes: 0,
    };
    for (const job of due) if (!this.add(batch, job, kind)) break;
    if (batch.jobs.length > 0) this.send(batch, kind);
  }

  /** Jobs with something to write now, most urgent first. */
  private due(kind: Kind): OwnedJob[] {
    const now = this.options.clock.now();
    const due: OwnedJob[] = [];
    let next = Number.POSITIVE_INFINITY;
    for (const job of this.dirty) {
      if (job.isReloading || job.writeInFlight) continue;
      const over = isOver(job);
      if (!over && !job.counterDirty && job.dirtyChunks.size === 0) {
        job.dueAt = Number.POSITIVE_INFINITY;
        this.dirty.delete(job);
      } else if (over === (kind === 'tidy')) {
        if (job.dueAt <= now) due.push(job);
        else next = Math.min(next, job.dueAt);
      }
    }
    if (due.length === 0) this.options.wakeAt(next);
    return due.sort(
      (a, b) =>
        a.spec.priority - b.spec.priority || a.dueAt - b.dueAt || a.acceptedRevision - b.acceptedRevision,
    );
  }

  /** False: the transaction is full. */
  private add(batch: Batch, job: OwnedJob, kind: Kind): boolean {
    const { transaction } = batch;
    const { tasksPerChunk: chunk, events } = this.options;
    const room = this.changesLeft(batch);
    if (room < 1 || batch.bytes > MAX_BATCH_BYTES) return false;
    const write = kind === 'tidy' ? writeFinal(job, room, events) : writeChanges(job, room, chunk, events);
    if (!write) return true;
    const written = new Set(write.operations.map(({ key }) => key));
    for (const op of write.operations) {
      batch.bytes += encodedLength(op);
      transaction.preconditions.push({
        key: op.key,
        modRevision: revisionOf(job, op.key),
      });
      transaction.operations.push(op);
    }
    for (const key of [jobKey(job.spec.id), counterKey(job.spec.id)])
      if (!written.has(key)) transaction.preconditions.push({ key, modRevision: revisionOf(job, key) });
    batch.teams.add(job.spec.team);
    batch.jobs.push(job);
    batch.writes.push(write);
    return true;
  }

  /** Changes that a transaction has room for, with the conditions of one more job and of the teams in it. */
  private changesLeft({ transaction, teams }: Batch): number {
    const { maxTransactionOperations: txnOps } = this.options;
    const conditions =
      txnOps * CONDITIONS_PER_CHANGE - transaction.preconditions.length - teams.size - CONDITIONS_PER_JOB;
    return Math.min(txnOps - transaction.operations.length, conditions);
  }

  private send(batch: Batch, kind: Kind): void {
    for (const team of batch.teams)
      batch.transaction.preconditions.push({
        key: teamKey(team),
        modRevision: this.options.teamRevision(team) ?? -1,
      });
    for (const job of batch.jobs) {
      job.writeInFlight = true;
      job.dueAt = Number.POSITIVE_INFINITY;
    }
    this.inFlight[kind] = true;
    const urgency = kind === 'tidy' ? URGENCY.cleanup : URGENCY.placement;
    this.options.store.compareAndSwap(batch.transaction, urgency, (result) => {
      this.inFlight[kind] = false;
      this.answered(batch, result);
      this.options.wake();
    });
  }

  private answered(batch: Batch, result: Result<number>): void {
    for (const job of batch.jobs) {
      job.writeInFlight = false;
      // Looked at again by the next write, and let go there if nothing is left to store.
      if (this.options.isOwned(job))
        this.markDirty(job, job.counterDirty && !job.counter.isFull ? this.lazyDelayMs() : 0);
    }
    if (result.ok) {
      for (const write of batch.writes) write.onStored(result.value);
    } else if (result.kind === 'refused' || this.options.fence.isOnlyConflict(result)) {
      // Surely not executed: what was to be stored still is.
      for (const write of batch.writes) write.onNotExecuted();
      this.pause(REFUSED_PAUSE_MS);
    } else this.notConfirmed(batch, result);
  }

  /** Not applied, or nobody knows: the stored records decide. */
  private notConfirmed({ jobs, fence }: Batch, result: Result<number> & { ok: false }): void {
    const { kind, failedKeys: failed = [] } = result;
    this.options.log.debug({ kind, failed, jobs: jobs.map((job) => job.spec.id) }, 'write not confirmed');
    // Ownership moved; the watch will tell. Nothing of ours was stored.
    if (kind === 'conflict' && failed.every((key) => teamOfKey(key) !== null))
      this.pause(OWNERSHIP_MOVED_PAUSE_MS);
    const inDoubt = kind !== 'conflict' && kind !== 'invalid';
    this.options.onUnconfirmed(
      jobs.filter((job) => this.options.isOwned(job)),
      inDoubt,
      fence,
    );
  }

  private pause(ms: number): void {
    this.pausedUntil = this.options.clock.now() + ms;
    this.options.wakeAt(this.pausedUntil);
  }
}

/** How long an operation is in the text of a transaction, nearly. */
function encodedLength(operation: StoreOperation): number {
  const keyLength = JSON.stringify(operation.key).length;
  return operation.type === 'delete'
    ? keyLength + DELETE_OVERHEAD
    : keyLength + JSON.stringify(operation.value).length + PUT_OVERHEAD;
}
