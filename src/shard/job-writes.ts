import type { StoreOperation } from '../model/key-value-store.js';
import type { PlacementEntry } from '../model/records.js';
import { counterKey, finalKey, jobKey, parseJobRecordKey, placementChunkKey } from '../store/keyspace.js';
import { counterRecord, finalRecord, placementRecord } from '../store/record-codec.js';
import { makeCounterRecord } from '../store/stored-job.js';
import type { FinalizedPlacement, OwnedJob, Placement } from './owned-job.js';

/** What follows from a write of a job. */
export interface WriteEvents {
  onPlacementStored(job: OwnedJob, placement: Placement): void;
  /** A settled placement is stored as such: its worker may remove it. */
  onOutcomeStored(job: OwnedJob, settled: FinalizedPlacement): void;
  onCounterFull(job: OwnedJob): void;
  onFiled(job: OwnedJob): void;
}

/** A job's part of a transaction. */
export interface JobWrite {
  operations: StoreOperation[];
  onStored(revision: number): void;
  /** Surely not executed: what was to be written still is. */
  onNotExecuted(): void;
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

/** Writes the counter and the chunks of placements that have changed, in at most `room` operations. */
export function writeChanges(
  job: OwnedJob,
  maxOperations: number,
  chunkSize: number,
  events: WriteEvents,
): JobWrite | null {
  if (maxOperations < 1) return null;
  const { id } = job.spec;
  const withCounter = job.counterDirty;
  const chunks = [...job.dirtyChunks].slice(0, Math.max(0, maxOperations - (withCounter ? 1 : 0)));
  const ops: StoreOperation[] = [];
  const added: Placement[] = [];
  if (withCounter)
    ops.push({
      type: 'put',
      key: counterKey(id),
      value: counterRecord.encode(makeCounterRecord(job.counter, job.runningTasks)),
    });
  for (const chunk of chunks) {
    const op = chunkOperation(job, chunk, chunkSize, added);
    if (op) ops.push(op);
  }
  for (const chunk of chunks) job.dirtyChunks.delete(chunk);
  if (ops.length === 0) return null;
  const isWritten = ({ placement: { taskIndex } }: FinalizedPlacement) =>
    chunks.includes(Math.floor(taskIndex / chunkSize)) || (withCounter && job.counter.has(taskIndex));
  const settled = job.outcomesToStore.filter(isWritten);
  job.outcomesToStore = job.outcomesToStore.filter((reap) => !isWritten(reap));
  job.outcomesInFlight = settled;
  const running = job.runningTasks;
  job.counterDirty = false;
  return {
    operations: ops,
    onStored: (revision) => {
      if (withCounter) {
        job.counterRevision = revision;
        job.storedRunningTasks = running;
        if (job.counter.isFull) events.onCounterFull(job);
      }
      keepRevisions(job, ops, revision);
      for (const placement of added) {
        placement.isStored = true;
        job.attempts.set(placement.taskIndex, placement.attempt);
        if (job.placements.get(placement.taskIndex) === placement) events.onPlacementStored(job, placement);
      }
      job.outcomesInFlight = [];
      for (const reap of settled) events.onOutcomeStored(job, reap);
    },
    onNotExecuted: () => {
      job.outcomesInFlight = [];
      job.counterDirty ||= withCounter;
      for (const chunk of chunks) job.dirtyChunks.add(chunk);
      job.outcomesToStore.push(...settled);
    },
  };
}

function keepRevisions(job: OwnedJob, operations: StoreOperation[], revision: number): void {
  for (const op of operations) {
    const record = parseJobRecordKey(op.key);
    if (record?.type !== 'placements') continue;
    if (op.type === 'delete') job.chunkRevisions.delete(record.chunk);
    else job.chunkRevisions.set(record.chunk, revision);
  }
}

/** The record of a chunk of tasks, or its removal; new placements in it are added to `added`. */
function chunkOperation(
  job: OwnedJob,
  chunk: number,
  chunkSize: number,
  added: Placement[],
): StoreOperation | null {
  const tasks = new Map<number, PlacementEntry>();
  const end = Math.min(job.spec.taskCount, (chunk + 1) * chunkSize);
  for (let taskIndex = chunk * chunkSize; taskIndex < end; taskIndex++) {
    const placement = job.placements.get(taskIndex);
    const attempt = job.attempts.get(taskIndex);
    if (placement) {
      const { machine, agentEpoch, zone } = placement;
      tasks.set(taskIndex, { attempt: placement.attempt, location: { machine, agentEpoch, zone } });
      if (!placement.isStored) added.push(placement);
    } else if (attempt && !job.counter.has(taskIndex)) tasks.set(taskIndex, { attempt, location: null });
  }
  const key = placementChunkKey(job.spec.id, chunk);
  if (tasks.size > 0) return { type: 'put', key, value: placementRecord.encode({ tasks: tasks }) };
  return job.chunkRevisions.get(chunk) ? { type: 'delete', key } : null;
}

/** A job that is over leaves one final record; its working records are dropped, placements first. */
export function writeFinal(job: OwnedJob, maxOperations: number, events: WriteEvents): JobWrite | null {
  const { id } = job.spec;
  const hasCounter = job.counterRevision > 0;
  const finalOps = 2 + (hasCounter ? 1 : 0);
  if (maxOperations < finalOps + Math.min(1, job.chunkRevisions.size)) return null;
  const chunks = [...job.chunkRevisions.keys()].slice(0, Math.max(0, maxOperations - finalOps));
  const isLast = chunks.length === job.chunkRevisions.size;
  const ops: StoreOperation[] = chunks.map((chunk) => ({
    type: 'delete',
    key: placementChunkKey(id, chunk),
  }));
  if (isLast) {
    ops.push({
      type: 'put',
      key: finalKey(id),
      value: finalRecord.encode({ isDone: !job.cancelled, finishedTasks: job.counter.count }),
    });
    ops.push({ type: 'delete', key: jobKey(id) });
    if (hasCounter) ops.push({ type: 'delete', key: counterKey(id) });
  }
  const settled = job.outcomesToStore;
  return {
    operations: ops,
    onStored: () => {
      for (const chunk of chunks) {
        job.chunkRevisions.delete(chunk);
        job.dirtyChunks.delete(chunk);
      }
      for (const reap of settled) events.onOutcomeStored(job, reap);
      job.outcomesToStore = [];
      if (isLast) events.onFiled(job);
    },
    onNotExecuted: () => {},
  };
}
