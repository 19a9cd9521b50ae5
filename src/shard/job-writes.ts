/**
 * Builds the writes of one job: progress writes, which store its counter and placements, and archive writes,
 * which replace all its records by its final record.
 */

import type { StoreOperation } from '../model/key-value-store.js';
import type { PlacementEntry } from '../model/records.js';
import { counterKey, finalKey, jobKey, parseJobRecordKey, placementChunkKey } from '../store/keyspace.js';
import { counterRecord, finalRecord, placementRecord } from '../store/record-codec.js';
import { makeCounterRecord } from '../store/stored-job.js';
import type { FinalizedPlacement, OwnedJob, Placement } from './owned-job.js';

/** Callbacks for executed writes of a job. */
export interface WriteEvents {
  /** A placement is stored, so its task may be started. */
  onPlacementStored(job: OwnedJob, placement: Placement): void;
  /**
   * The outcome of a finalized placement is stored (see `FinalizedPlacement`), or no longer needed because
   * the job is being archived, so its worker may remove the attempt.
   */
  onOutcomeStored(job: OwnedJob, finalized: FinalizedPlacement): void;
  /** The stored counter record marks all tasks of the job as finished. */
  onCounterComplete(job: OwnedJob): void;
  /** The job is archived: its final record is stored and all its other records are deleted. */
  onJobArchived(job: OwnedJob): void;
}

/** The part of a transaction that writes one job. */
export interface JobWrite {
  operations: StoreOperation[];
  /**
   * Called when the transaction has been executed.
   *
   * @param revision - Store revision of the transaction
   */
  onExecuted(revision: number): void;
  /**
   * Called when the transaction was certainly not executed and the same changes may be written again; marks
   * them as unwritten. Neither callback is called after any other failure: the job is then reloaded, which
   * replaces its object.
   */
  onNotExecuted(): void;
}

/** Limits and callbacks of a write of one job. */
export interface JobWriteOptions {
  /** How many more operations the transaction can hold. */
  remainingOperations: number;
  /** Tasks per placement record. */
  tasksPerChunk: number;
  events: WriteEvents;
}

/**
 * Returns the revision at which the shard owner knows a record of a job. As a precondition, 0 means that the
 * record must not exist; it is returned for placement records that are not stored and for the final record.
 */
export function knownRevision(job: OwnedJob, key: string): number {
  const record = parseJobRecordKey(key);
  switch (record?.type) {
    case 'job':
      return job.jobRevision;
    case 'counter':
      return job.counterRevision;
    case 'placements':
      return job.chunkRevisions.get(record.chunk) ?? 0;
    case undefined:
      return 0;
  }
}

/**
 * Builds a write of the job's changed counter record and of as many of its changed placement records as fit.
 * Marks them as unchanged, which `onNotExecuted` reverts. Returns null if there is nothing to write or no
 * room. Changed records that would be empty and do not exist need no write and are only marked as unchanged.
 */
export function progressWrite(job: OwnedJob, options: JobWriteOptions): JobWrite | null {
  const { remainingOperations, tasksPerChunk } = options;
  if (remainingOperations < 1) return null;
  const includesCounter = job.isCounterDirty;
  const chunks = [...job.dirtyChunks].slice(0, Math.max(0, remainingOperations - (includesCounter ? 1 : 0)));
  const operations: StoreOperation[] = includesCounter ? [counterOperation(job)] : [];
  const newPlacements: Placement[] = [];
  for (const chunk of chunks) {
    const operation = chunkOperation(job, { chunk, tasksPerChunk }, newPlacements);
    if (operation) operations.push(operation);
  }
  for (const chunk of chunks) job.dirtyChunks.delete(chunk);
  if (operations.length === 0) return null;
  const isWritten = ({ placement: { taskIndex } }: FinalizedPlacement) =>
    chunks.includes(Math.floor(taskIndex / tasksPerChunk)) || (includesCounter && job.counter.has(taskIndex));
  const outcomes = job.outcomesToStore.filter(isWritten);
  job.outcomesToStore = job.outcomesToStore.filter((outcome) => !isWritten(outcome));
  job.outcomesInFlight = outcomes;
  job.isCounterDirty = false;
  const runningTasks = includesCounter ? job.runningTasks : null;
  return {
    operations,
    onExecuted: (revision) =>
      onChangesStored(job, { operations, newPlacements, outcomes, runningTasks, revision }, options.events),
    onNotExecuted: () => {
      job.outcomesInFlight = [];
      job.isCounterDirty ||= includesCounter;
      for (const chunk of chunks) job.dirtyChunks.add(chunk);
      job.outcomesToStore.push(...outcomes);
    },
  };
}

/** Changes of a job that were stored by one executed transaction. */
interface StoredChanges {
  operations: StoreOperation[];
  newPlacements: Placement[];
  outcomes: FinalizedPlacement[];
  /** Running tasks according to the counter record; null if that record was not written. */
  runningTasks: number | null;
  revision: number;
}

function onChangesStored(job: OwnedJob, changes: StoredChanges, events: WriteEvents): void {
  const { operations, newPlacements, outcomes, runningTasks, revision } = changes;
  if (runningTasks !== null) {
    job.counterRevision = revision;
    job.storedRunningTasks = runningTasks;
    if (job.counter.isComplete) events.onCounterComplete(job);
  }
  updateChunkRevisions(job, operations, revision);
  for (const placement of newPlacements) {
    placement.isStored = true;
    job.latestAttempts.set(placement.taskIndex, placement.attempt);
    if (job.placements.get(placement.taskIndex) === placement) events.onPlacementStored(job, placement);
  }
  job.outcomesInFlight = [];
  for (const outcome of outcomes) events.onOutcomeStored(job, outcome);
}

function updateChunkRevisions(job: OwnedJob, operations: StoreOperation[], revision: number): void {
  for (const operation of operations) {
    const record = parseJobRecordKey(operation.key);
    if (record?.type !== 'placements') continue;
    if (operation.type === 'delete') job.chunkRevisions.delete(record.chunk);
    else job.chunkRevisions.set(record.chunk, revision);
  }
}

function counterOperation(job: OwnedJob): StoreOperation {
  const record = makeCounterRecord(job.counter, job.runningTasks);
  return { type: 'put', key: counterKey(job.spec.id), value: counterRecord.encode(record) };
}

/**
 * Returns the put of the placement record with the index `chunk`, its deletion if it would be empty, or null
 * if it would be empty and does not exist. Appends the placements that are not stored yet to `newPlacements`.
 */
function chunkOperation(
  job: OwnedJob,
  { chunk, tasksPerChunk }: { chunk: number; tasksPerChunk: number },
  newPlacements: Placement[],
): StoreOperation | null {
  const tasks = new Map<number, PlacementEntry>();
  const end = Math.min(job.spec.taskCount, (chunk + 1) * tasksPerChunk);
  for (let taskIndex = chunk * tasksPerChunk; taskIndex < end; taskIndex++) {
    const placement = job.placements.get(taskIndex);
    const attempt = job.latestAttempts.get(taskIndex);
    if (placement) {
      const { machine, workerEpoch, zone } = placement;
      tasks.set(taskIndex, {
        attempt: placement.attempt,
        location: { machine, workerEpoch, zone },
      });
      if (!placement.isStored) newPlacements.push(placement);
    } else if (attempt && !job.counter.has(taskIndex)) tasks.set(taskIndex, { attempt, location: null });
  }
  const key = placementChunkKey(job.spec.id, chunk);
  if (tasks.size > 0) return { type: 'put', key, value: placementRecord.encode({ tasks }) };
  return job.chunkRevisions.get(chunk) ? { type: 'delete', key } : null;
}

/**
 * Builds a write that archives a finished or cancelled job by replacing its records by its final record. If
 * not all placement records can be deleted in one transaction, earlier transactions delete some of them,
 * and the last one stores the final record. Returns null unless the operations for the final record and, if
 * there are placement records, at least one deletion fit.
 */
export function archiveWrite(
  job: OwnedJob,
  { remainingOperations, events }: Omit<JobWriteOptions, 'tasksPerChunk'>,
): JobWrite | null {
  const { id } = job.spec;
  const hasCounter = job.counterRevision > 0;
  // The put of the final record and the deletions of the job record and of the counter record.
  const finalRecordOperations = 2 + (hasCounter ? 1 : 0);
  if (remainingOperations < finalRecordOperations + Math.min(1, job.chunkRevisions.size)) return null;
  const chunks = [...job.chunkRevisions.keys()].slice(
    0,
    Math.max(0, remainingOperations - finalRecordOperations),
  );
  const isLastTransaction = chunks.length === job.chunkRevisions.size;
  const operations: StoreOperation[] = chunks.map((chunk) => ({
    type: 'delete',
    key: placementChunkKey(id, chunk),
  }));
  if (isLastTransaction) {
    const record = finalRecord.encode({ isDone: !job.cancelled, finishedTasks: job.counter.count });
    operations.push({ type: 'put', key: finalKey(id), value: record });
    operations.push({ type: 'delete', key: jobKey(id) });
    if (hasCounter) operations.push({ type: 'delete', key: counterKey(id) });
  }
  const outcomes = job.outcomesToStore;
  return {
    operations,
    onExecuted: () => {
      for (const chunk of chunks) {
        job.chunkRevisions.delete(chunk);
        job.dirtyChunks.delete(chunk);
      }
      // All outcomes count as stored, even if some placement records remain: no attempt of a finished or
      // cancelled job is started again, whatever its placement records contain.
      for (const outcome of outcomes) events.onOutcomeStored(job, outcome);
      job.outcomesToStore = [];
      if (isLastTransaction) events.onJobArchived(job);
    },
    // An archive write marks nothing as written before it is executed.
    onNotExecuted: () => {},
  };
}
