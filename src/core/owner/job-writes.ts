import { counterRecord, finalRecord, placementRecord } from '../../wire/record-codec.js';
import { countRecord, type Placed, placeKey } from '../records.js';
import type { StateOp } from '../types.js';
import type { OwnedJob, Placement, SettledPlacement } from './job.js';

/** What follows from a write of a job. */
export interface WriteEvents {
  placementStored(job: OwnedJob, placement: Placement): void;
  /** A settled placement is stored as such: its worker may remove it. */
  outcomeStored(job: OwnedJob, settled: SettledPlacement): void;
  counterFull(job: OwnedJob): void;
  filed(job: OwnedJob): void;
}

/** A job's part of a transaction. */
export interface JobWrite {
  ops: StateOp[];
  stored(revision: number): void;
  /** Surely not executed: what was to be written still is. */
  undone(): void;
}

export function jobKey(id: string): string {
  return `open/${id}/a`;
}

export function counterKey(id: string): string {
  return `open/${id}/n`;
}

export function keyOf(op: StateOp): string {
  return 'put' in op ? op.put : op.del;
}

/** The revision under which an owner knows a record of a job; 0: it does not exist. */
export function revisionOf(job: OwnedJob, key: string): number {
  if (key === jobKey(job.spec.id)) return job.jobRevision;
  if (key === counterKey(job.spec.id)) return job.counterRevision;
  return key.startsWith('place/') ? (job.chunkRevisions.get(chunkOf(key)) ?? 0) : 0;
}

function chunkOf(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}

/** Writes the counter and the chunks of placements that have changed, in at most `room` operations. */
export function writeChanges(
  job: OwnedJob,
  room: number,
  chunkSize: number,
  events: WriteEvents,
): JobWrite | null {
  if (room < 1) return null;
  const { id } = job.spec;
  const withCounter = job.dirtyCount;
  const chunks = [...job.dirtyChunks].slice(0, Math.max(0, room - (withCounter ? 1 : 0)));
  const ops: StateOp[] = [];
  const added: Placement[] = [];
  if (withCounter)
    ops.push({ put: counterKey(id), value: counterRecord.encode(countRecord(job.count, job.shownRunning)) });
  for (const chunk of chunks) {
    const op = chunkOp(job, chunk, chunkSize, added);
    if (op) ops.push(op);
  }
  for (const chunk of chunks) job.dirtyChunks.delete(chunk);
  if (ops.length === 0) return null;
  const isWritten = ({ placement: { idx } }: SettledPlacement) =>
    chunks.includes(Math.floor(idx / chunkSize)) || (withCounter && job.count.has(idx));
  const settled = job.toReap.filter(isWritten);
  job.toReap = job.toReap.filter((reap) => !isWritten(reap));
  job.outcomesInFlight = settled;
  const running = job.shownRunning;
  job.dirtyCount = false;
  return {
    ops,
    stored: (revision) => {
      if (withCounter) {
        job.counterRevision = revision;
        job.storedRunning = running;
        if (job.count.full) events.counterFull(job);
      }
      keepRevisions(job, ops, revision);
      for (const placement of added) {
        placement.stored = true;
        job.attempts.set(placement.idx, placement.attempt);
        if (job.placed.get(placement.idx) === placement) events.placementStored(job, placement);
      }
      job.outcomesInFlight = [];
      for (const reap of settled) events.outcomeStored(job, reap);
    },
    undone: () => {
      job.outcomesInFlight = [];
      job.dirtyCount ||= withCounter;
      for (const chunk of chunks) job.dirtyChunks.add(chunk);
      job.toReap.push(...settled);
    },
  };
}

function keepRevisions(job: OwnedJob, ops: StateOp[], revision: number): void {
  for (const op of ops) {
    if ('del' in op) job.chunkRevisions.delete(chunkOf(op.del));
    else if (op.put.startsWith('place/')) job.chunkRevisions.set(chunkOf(op.put), revision);
  }
}

/** The record of a chunk of tasks, or its removal; new placements in it are added to `added`. */
function chunkOp(job: OwnedJob, chunk: number, chunkSize: number, added: Placement[]): StateOp | null {
  const tasks = new Map<number, Placed>();
  const end = Math.min(job.spec.tasks, (chunk + 1) * chunkSize);
  for (let idx = chunk * chunkSize; idx < end; idx++) {
    const placement = job.placed.get(idx);
    const attempt = job.attempts.get(idx);
    if (placement) {
      const { machine, season, zone } = placement;
      tasks.set(idx, { attempt: placement.attempt, location: { machine, season, zone } });
      if (!placement.stored) added.push(placement);
    } else if (attempt && !job.count.has(idx)) tasks.set(idx, { attempt, location: null });
  }
  const key = placeKey(job.spec.id, chunk);
  if (tasks.size > 0) return { put: key, value: placementRecord.encode({ t: tasks }) };
  return job.chunkRevisions.get(chunk) ? { del: key } : null;
}

/** A job that is over leaves one final record; its working records are dropped, placements first. */
export function writeFinal(job: OwnedJob, room: number, events: WriteEvents): JobWrite | null {
  const { id } = job.spec;
  const hasCounter = job.counterRevision > 0;
  const finalOps = 2 + (hasCounter ? 1 : 0);
  if (room < finalOps + Math.min(1, job.chunkRevisions.size)) return null;
  const chunks = [...job.chunkRevisions.keys()].slice(0, Math.max(0, room - finalOps));
  const isLast = chunks.length === job.chunkRevisions.size;
  const ops: StateOp[] = chunks.map((chunk) => ({ del: placeKey(id, chunk) }));
  if (isLast) {
    ops.push({ put: `end/${id}`, value: finalRecord.encode({ d: !job.cancelled, n: job.count.n }) });
    ops.push({ del: jobKey(id) });
    if (hasCounter) ops.push({ del: counterKey(id) });
  }
  const settled = job.toReap;
  return {
    ops,
    stored: () => {
      for (const chunk of chunks) {
        job.chunkRevisions.delete(chunk);
        job.dirtyChunks.delete(chunk);
      }
      for (const reap of settled) events.outcomeStored(job, reap);
      job.toReap = [];
      if (isLast) events.filed(job);
    },
    undone: () => {},
  };
}
