/** A job as its stored records have it, put together from them in any order. */

import { DependencyCounter } from '../model/dependency-counter.js';
import type { JobSpec } from '../model/job.js';
import type { StoredItem } from '../model/key-value-store.js';
import type { CounterRecord, PlacementEntry } from '../model/records.js';
import { decodeCompletionBitmap, encodeCompletionBitmap } from './completion-bitmap.js';
import { parseJobRecordKey } from './keyspace.js';
import { counterRecord, jobRecord, placementRecord } from './record-codec.js';

/** What has been read of a job; a record that was not found leaves its defaults. */
export interface StoredJob {
  /** Null: the job's own record was not found. */
  spec: JobSpec | null;
  /** Revision at which it was accepted; 0: not known. */
  acceptedRevision: number;
  /** Revisions of the job's own record and of its counter; 0: there is none. */
  jobRevision: number;
  counterRevision: number;
  cancelled: boolean;
  runningTasks: number;
  /** Null: there is no counter record, or its job has not been read. */
  counter: DependencyCounter | null;
  counterRecord: CounterRecord | null;
  placementChunks: Map<number, StoredChunk>;
}

/** The placements of one chunk of tasks, by task index. */
export interface StoredChunk {
  modRevision: number;
  tasks: Map<number, PlacementEntry>;
}

/** The counter record of a job. */
export function makeCounterRecord(counter: DependencyCounter, runningTasks: number): CounterRecord {
  return { finishedTasks: counter.count, runningTasks, finishedBitmap: encodeCompletionBitmap(counter) };
}

/** Adds one stored item to what is known of its job, in `into` by job id. Items of other kinds are passed over. */
export function mergeStoredItem(into: Map<string, StoredJob>, item: StoredItem): void {
  const key = parseJobRecordKey(item.key);
  if (!key) return;
  let stored = into.get(key.jobId);
  if (!stored) {
    stored = emptyStoredJob();
    into.set(key.jobId, stored);
  }
  switch (key.type) {
    case 'placements': {
      const { tasks } = placementRecord.decode(item.value);
      stored.placementChunks.set(key.chunk, { modRevision: item.modRevision, tasks });
      return;
    }
    case 'job':
      readJobRecord(stored, item);
      break;
    case 'counter':
      stored.counterRecord = counterRecord.decode(item.value);
      stored.counterRevision = item.modRevision;
      stored.runningTasks = stored.counterRecord.runningTasks;
      break;
  }
  if (stored.spec && stored.counterRecord && !stored.counter) {
    stored.counter = new DependencyCounter(stored.spec.taskCount);
    decodeCompletionBitmap(stored.counter, stored.counterRecord.finishedBitmap);
  }
}

function readJobRecord(stored: StoredJob, item: StoredItem): void {
  const record = jobRecord.decode(item.value);
  stored.spec = record.spec;
  stored.jobRevision = item.modRevision;
  stored.acceptedRevision = record.acceptedRevision ?? item.modRevision;
  stored.cancelled = record.cancelled === true;
}

function emptyStoredJob(): StoredJob {
  return {
    spec: null,
    acceptedRevision: 0,
    jobRevision: 0,
    counterRevision: 0,
    cancelled: false,
    runningTasks: 0,
    counter: null,
    counterRecord: null,
    placementChunks: new Map(),
  };
}
