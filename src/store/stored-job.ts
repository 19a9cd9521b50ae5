import { DependencyCounter } from '../model/dependency-counter.js';
import type { JobSpec } from '../model/job.js';
import type { StoredItem } from '../model/key-value-store.js';
import type { CounterRecord, PlacementEntry } from '../model/records.js';
import { counterRecord, jobRecord, placementRecord } from './record-codec.js';

export interface StoredJob {
  spec: JobSpec | null;
  acceptedRevision: number;
  jobRevision: number;
  counterRevision: number;
  cancelled: boolean;
  runningTasks: number;
  counter: DependencyCounter | null;
  counterRecord: CounterRecord | null;
  placementChunks: Map<number, { modRevision: number; tasks: Map<number, PlacementEntry> }>;
}

/** Tasks to a placement record: about 64 bytes each must fit in a value. */
export function tasksPerChunk(valueKb: number): number {
  return Math.max(1, Math.min(128, Math.floor((valueKb * 1024) / 64)));
}

/**
 * How far release may run ahead of the first task not yet counted. It bounds the runs of a counter record
 * (at most one per two tasks, four bytes or so each), whatever the order in which tasks end.
 */
export function releaseWindow(valueKb: number): number {
  return Math.max(64, Math.floor((valueKb * 1024) / 4));
}

export function placementKey(id: string, chunk: number): string {
  return `place/${id}/${chunk}`;
}

export function makeCounterRecord(counter: DependencyCounter, running: number): CounterRecord {
  return { finishedTasks: counter.count, runningTasks: running, finishedBitmap: encodeBitmap(counter) };
}

/**
 * Bits as runs `skip,take` in base 36: tasks end roughly in release order, so a record of 100,000 tasks
 * stays small; where runs would be longer than the plain bits, the plain bits are kept.
 */
function encodeBitmap(counter: DependencyCounter): string {
  const runs: string[] = [];
  let length = 0;
  let i = 0;
  const plain = Math.ceil(counter.inputCount / 6) + 4;
  while (i < counter.inputCount) {
    const a = i;
    while (i < counter.inputCount && !counter.has(i)) i++;
    if (i >= counter.inputCount) break;
    const b = i;
    while (i < counter.inputCount && counter.has(i)) i++;
    const run = `${(b - a).toString(36)}.${(i - b).toString(36)}`;
    runs.push(run);
    length += run.length + 1;
    if (length > plain) return `=${counter.encodeBits(0, counter.bits.length)}`;
  }
  return runs.join(',');
}

export function decodeBitmap(counter: DependencyCounter, text: string): void {
  if (text.startsWith('=')) return counter.mergeBits(0, text.slice(1));
  let i = 0;
  for (const run of text.split(',')) {
    if (run === '') continue;
    const [skip, take] = run.split('.');
    i += Number.parseInt(skip ?? '0', 36);
    const n = Number.parseInt(take ?? '0', 36);
    for (let k = 0; k < n; k++) counter.add(i++);
  }
}

/** Adds one stored item to what is known of its job. Items of other kinds are passed over. */
export function readStoredItem(into: Map<string, StoredJob>, item: StoredItem): void {
  const [kind, id, part] = item.key.split('/');
  if (!id || part === undefined || (kind !== 'open' && kind !== 'place')) return;
  let stored = into.get(id);
  if (!stored) {
    stored = {
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
    into.set(id, stored);
  }
  if (kind === 'place') {
    const record = placementRecord.decode(item.value);
    stored.placementChunks.set(Number(part), { modRevision: item.modRevision, tasks: record.tasks });
    return;
  }
  if (part === 'a') {
    const record = jobRecord.decode(item.value);
    stored.spec = record.spec;
    stored.jobRevision = item.modRevision;
    stored.acceptedRevision = record.acceptedRevision ?? item.modRevision;
    stored.cancelled = record.cancelled === true;
  } else if (part === 'n') {
    stored.counterRecord = counterRecord.decode(item.value);
    stored.counterRevision = item.modRevision;
    stored.runningTasks = stored.counterRecord.runningTasks;
  }
  if (stored.spec && stored.counterRecord && !stored.counter) {
    stored.counter = new DependencyCounter(stored.spec.taskCount);
    decodeBitmap(stored.counter, stored.counterRecord.finishedBitmap);
  }
}
