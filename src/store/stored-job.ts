/** Assembles a job from its stored records, in any order. */

import { DependencyCounter } from '../model/dependency-counter.js';
import type { JobSpec } from '../model/job.js';
import type { StoredItem } from '../model/key-value-store.js';
import type { CounterRecord, PlacementEntry } from '../model/records.js';
import { decodeCompletionBitmap, encodeCompletionBitmap } from './completion-bitmap.js';
import { parseJobRecordKey } from './keyspace.js';
import { counterRecord, jobRecord, placementRecord } from './record-codec.js';

/** The data read from a job's records. A record that was not found leaves default values. */
export interface StoredJob {
  /** Null: the job record was not found. */
  spec: JobSpec | null;
  /** Store revision at which the job was accepted; 0: not known. */
  acceptedRevision: number;
  /** Revisions of the job record and of the counter record; 0: the record was not found. */
  jobRevision: number;
  counterRevision: number;
  cancelled: boolean;
  runningTasks: number;
  /** The job's finished tasks; null until both the job record and the counter record have been read. */
  counter: DependencyCounter | null;
  counterRecord: CounterRecord | null;
  placementChunks: Map<number, StoredChunk>;
}

/** The placements of one chunk of tasks, by task index. */
export interface StoredChunk {
  modRevision: number;
  tasks: Map<number, PlacementEntry>;
}

/** Creates the counter record of a job. */
export function makeCounterRecord(counter: DependencyCounter, runningTasks: number): CounterRecord {
  return { finishedTasks: counter.count, runningTasks, finishedBitmap: encodeCompletionBitmap(counter) };
}

/**
 * Merges a stored item into its job in `into`, which is keyed by job id. Items of other kinds are ignored.
 */
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
