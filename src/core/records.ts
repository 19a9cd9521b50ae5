import { counterRecord, jobRecord, placementRecord } from '../wire/record-codec.js';
import { Counter } from './graph.js';
import type { Item, JobSpec } from './types.js';

/**
 * Records in the state service:
 *   open/<id>/a   the job as accepted, `x` once cancelled     open/<id>/n   its counter
 *   place/<id>/k  last placements of its k-th chunk of tasks  end/<id>      its final answer
 *   sys/leader, sys/token, sys/node/<host>, sys/team/<name>, sys/types
 */
export interface OpenRecord {
  j: JobSpec;
  /** Revision of acceptance, known only after it; kept when the record is written again. */
  o?: number;
  x?: true;
}
export interface CountRecord {
  n: number;
  r: number;
  b: string;
}
export interface EndRecord {
  d: boolean;
  n: number;
}
/** The last attempt of a task, and where it is; null once it is settled. */
export interface Placed {
  attempt: number;
  location: { machine: string; season: number; zone: string } | null;
}
export interface PlaceRecord {
  t: Map<number, Placed>;
}

export interface StoredJob {
  spec: JobSpec | null;
  order: number;
  jobRevision: number;
  counterRevision: number;
  cancelled: boolean;
  running: number;
  count: Counter | null;
  countRaw: CountRecord | null;
  places: Map<number, { mark: number; tasks: Map<number, Placed> }>;
}

/** Tasks to a placement record: about 64 bytes each must fit in a value. */
export function chunkSize(valueKb: number): number {
  return Math.max(1, Math.min(128, Math.floor((valueKb * 1024) / 64)));
}

/**
 * How far release may run ahead of the first task not yet counted. It bounds the runs of a counter record
 * (at most one per two tasks, four bytes or so each), whatever the order in which tasks end.
 */
export function releaseWindow(valueKb: number): number {
  return Math.max(64, Math.floor((valueKb * 1024) / 4));
}

export function placeKey(id: string, chunk: number): string {
  return `place/${id}/${chunk}`;
}

export function countRecord(c: Counter, running: number): CountRecord {
  return { n: c.n, r: running, b: encodeBits(c) };
}

/**
 * Bits as runs `skip,take` in base 36: tasks end roughly in release order, so a record of 100,000 tasks
 * stays small; where runs would be longer than the plain bits, the plain bits are kept.
 */
function encodeBits(c: Counter): string {
  const runs: string[] = [];
  let length = 0;
  let i = 0;
  const plain = Math.ceil(c.inputs / 6) + 4;
  while (i < c.inputs) {
    const a = i;
    while (i < c.inputs && !c.has(i)) i++;
    if (i >= c.inputs) break;
    const b = i;
    while (i < c.inputs && c.has(i)) i++;
    const run = `${(b - a).toString(36)}.${(i - b).toString(36)}`;
    runs.push(run);
    length += run.length + 1;
    if (length > plain) return `=${c.encode(0, c.bits.length)}`;
  }
  return runs.join(',');
}

export function decodeBits(c: Counter, text: string): void {
  if (text.startsWith('=')) return c.merge(0, text.slice(1));
  let i = 0;
  for (const run of text.split(',')) {
    if (run === '') continue;
    const [skip, take] = run.split('.');
    i += Number.parseInt(skip ?? '0', 36);
    const n = Number.parseInt(take ?? '0', 36);
    for (let k = 0; k < n; k++) c.add(i++);
  }
}

/** Adds one stored item to what is known of its job. Items of other kinds are passed over. */
export function readJob(into: Map<string, StoredJob>, it: Item): void {
  const [kind, id, part] = it.key.split('/');
  if (!id || part === undefined || (kind !== 'open' && kind !== 'place')) return;
  let s = into.get(id);
  if (!s) {
    s = {
      spec: null,
      order: 0,
      jobRevision: 0,
      counterRevision: 0,
      cancelled: false,
      running: 0,
      count: null,
      countRaw: null,
      places: new Map(),
    };
    into.set(id, s);
  }
  if (kind === 'place') {
    const rec = placementRecord.decode(it.value);
    s.places.set(Number(part), { mark: it.version, tasks: rec.t });
    return;
  }
  if (part === 'a') {
    const rec = jobRecord.decode(it.value);
    s.spec = rec.j;
    s.jobRevision = it.version;
    s.order = rec.o ?? it.version;
    s.cancelled = rec.x === true;
  } else if (part === 'n') {
    s.countRaw = counterRecord.decode(it.value);
    s.counterRevision = it.version;
    s.running = s.countRaw.r;
  }
  if (s.spec && s.countRaw && !s.count) {
    s.count = new Counter(s.spec.tasks);
    decodeBits(s.count, s.countRaw.b);
  }
}
