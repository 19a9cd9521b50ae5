/** What is written of one job: its counter and placements while it is open, and its final record. */

import type { StoreOperation } from '../model/key-value-store.js';
import type { PlacementEntry } from '../model/records.js';
import { counterKey, finalKey, jobKey, parseJobRecordKey, placementChunkKey } from '../store/keyspace.js';
import { counterRecord, finalRecord, placementRecord } from '../store/record-codec.js';
import { makeCounterRecord } from '../store/stored-job.js';
import type { FinalizedPlacement, OwnedJob, Placement } from './owned-job.js';

/** What follows from a write of a job. */
export interface WriteEvents {
  /** Its task may be started now. */
  onPlacementStored(job: OwnedJob, placement: Placement): void;
  /** A finalized placement is stored as such: its worker may remove it. */
  onOutcomeStored(job: OwnedJob, finalized: FinalizedPlacement): void;
  /** All tasks are stored as finished. */
  onCounterFull(job: OwnedJob): void;
  /** The final record has replaced all others. */
  onFinalRecordStored(job: OwnedJob): void;
}

/** A job's part of a transaction. */
export interface JobWrite {
  operations: StoreOperation[];
  /** `revision`: of the transaction. */
  onStored(revision: number): void;
  /** Surely not executed: what was to be written still is. */
  onNotExecuted(): void;
}

/** How much of a job may be written, and who learns of it. */
export interface WriteLimits {
  /** Operations left in the transaction. */
  maxOperations: number;
  tasksPerChunk: number;
  events: WriteEvents;
}

/** The revision under which an owner knows a record of a job; 0: it does not exist. */
export function revisionOf(job: OwnedJob, key: string): number {
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

/** Writes the counter and the chunks of placements that have changed, as many as fit; null: nothing. */
export function writeChanges(job: OwnedJob, limits: WriteLimits): JobWrite | null {
  const { maxOperations, tasksPerChunk } = limits;
  if (maxOperations < 1) return null;
  const withCounter = job.counterDirty;
  const chunks = [...job.dirtyChunks].slice(0, Math.max(0, maxOperations - (withCounter ? 1 : 0)));
  const operations: StoreOperation[] = withCounter ? [counterOperation(job)] : [];
  const added: Placement[] = [];
  for (const chunk of chunks) {
    const operation = chunkOperation(job, { chunk, tasksPerChunk }, added);
    if (operation) operations.push(operation);
  }
  for (const chunk of chunks) job.dirtyChunks.delete(chunk);
  if (operations.length === 0) return null;
  const isWritten = ({ placement: { taskIndex } }: FinalizedPlacement) =>
    chunks.includes(Math.floor(taskIndex / tasksPerChunk)) || (withCounter && job.counter.has(taskIndex));
  const outcomes = job.outcomesToStore.filter(isWritten);
  job.outcomesToStore = job.outcomesToStore.filter((outcome) => !isWritten(outcome));
  job.outcomesInFlight = outcomes;
  job.counterDirty = false;
  const runningTasks = withCounter ? job.runningTasks : null;
  return {
    operations,
    onStored: (revision) =>
      onChangesStored(job, { operations, added, outcomes, runningTasks, revision }, limits.events),
    onNotExecuted: () => {
      job.outcomesInFlight = [];
      job.counterDirty ||= withCounter;
      for (const chunk of chunks) job.dirtyChunks.add(chunk);
      job.outcomesToStore.push(...outcomes);
    },
  };
}

/** Changes of a job that have been stored together. */
interface StoredChanges {
  operations: StoreOperation[];
  added: Placement[];
  outcomes: FinalizedPlacement[];
  /** As the counter record says; null: it was not written. */
  runningTasks: number | null;
  revision: number;
}

function onChangesStored(job: OwnedJob, changes: StoredChanges, events: WriteEvents): void {
  const { operations, added, outcomes, runningTasks, revision } = changes;
  if (runningTasks !== null) {
    job.counterRevision = revision;
    job.storedRunningTasks = runningTasks;
    if (job.counter.isComplete) events.onCounterFull(job);
  }
  keepChunkRevisions(job, operations, revision);
  for (const placement of added) {
    placement.isStored = true;
    job.attempts.set(placement.taskIndex, placement.attempt);
    if (job.placements.get(placement.taskIndex) === placement) events.onPlacementStored(job, placement);
  }
  job.outcomesInFlight = [];
  for (const outcome of outcomes) events.onOutcomeStored(job, outcome);
}

function keepChunkRevisions(job: OwnedJob, operations: StoreOperation[], revision: number): void {
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

/** The record of a chunk of tasks, or its removal; new placements in it are added to `added`. */
function chunkOperation(
  job: OwnedJob,
  { chunk, tasksPerChunk }: { chunk: number; tasksPerChunk: number },
  added: Placement[],
): StoreOperation | null {
  const tasks = new Map<number, PlacementEntry>();
  const end = Math.min(job.spec.taskCount, (chunk + 1) * tasksPerChunk);
  for (let taskIndex = chunk * tasksPerChunk; taskIndex < end; taskIndex++) {
    const placement = job.placements.get(taskIndex);
    const attempt = job.attempts.get(taskIndex);
    if (placement) {
      const { machine, workerEpoch, zone } = placement;
      tasks.set(taskIndex, { attempt: placement.attempt, location: { machine, workerEpoch, zone } });
      if (!placement.isStored) added.push(placement);
    } else if (attempt && !job.counter.has(taskIndex)) tasks.set(taskIndex, { attempt, location: null });
  }
  const key = placementChunkKey(job.spec.id, chunk);
  if (tasks.size > 0) return { type: 'put', key, value: placementRecord.encode({ tasks }) };
  return job.chunkRevisions.get(chunk) ? { type: 'delete', key } : null;
}

/**
 * A job that is over leaves one final record; its working records are deleted, placements first, over as many transactions
 * as that takes. Null: not even a part fits.
 */
export function writeFinal(
  job: OwnedJob,
  { maxOperations, events }: Omit<WriteLimits, 'tasksPerChunk'>,
): JobWrite | null {
  const { id } = job.spec;
  const hasCounter = job.counterRevision > 0;
  const finalOperations = 2 + (hasCounter ? 1 : 0);
  if (maxOperations < finalOperations + Math.min(1, job.chunkRevisions.size)) return null;
  const chunks = [...job.chunkRevisions.keys()].slice(0, Math.max(0, maxOperations - finalOperations));
  const isLast = chunks.length === job.chunkRevisions.size;
  const operations: StoreOperation[] = chunks.map((chunk) => ({
    type: 'delete',
    key: placementChunkKey(id, chunk),
  }));
  if (isLast) {
    const record = finalRecord.encode({ isDone: !job.cancelled, finishedTasks: job.counter.count });
    operations.push({ type: 'put', key: finalKey(id), value: record });
    operations.push({ type: 'delete', key: jobKey(id) });
    if (hasCounter) operations.push({ type: 'delete', key: counterKey(id) });
  }
  const outcomes = job.outcomesToStore;
  return {
    operations,
    onStored: () => {
      for (const chunk of chunks) {
        job.chunkRevisions.delete(chunk);
        job.dirtyChunks.delete(chunk);
      }
      for (const outcome of outcomes) events.onOutcomeStored(job, outcome);
      job.outcomesToStore = [];
      if (isLast) events.onFinalRecordStored(job);
    },
    onNotExecuted: () => {},
  };
}
