import { DependencyCounter } from '../model/dependency-counter.js';
import type { JobSpec } from '../model/job.js';
import type { ApiAnswer } from '../model/job-answer.js';
import { type KeyValueStore, URGENCY, type Urgency } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { MachineType } from '../model/machine-type.js';
import type { CounterRecord, FinalRecord, JobRecord } from '../model/records.js';
import { slotsIn } from '../model/resources.js';
import type { Team } from '../model/team.js';
import { decodeCompletionBitmap } from '../store/completion-bitmap.js';
import { counterRecord, finalRecord, jobRecord } from '../store/record-codec.js';
import type { WatchCache } from '../store/watch-cache.js';
export type AnswerCallback = (answer: ApiAnswer) => void;

interface StoredAnswer {
  job: { record: JobRecord; modRevision: number } | null;
  counter: { record: CounterRecord; modRevision: number } | null;
  final: FinalRecord | null;
}

/** Answers users from what the state service holds when they ask; only final answers are kept here. */
export class JobApi {
  private readonly finalRecords = new Map<string, FinalRecord>();

  constructor(
    private readonly store: KeyValueStore,
    private readonly openJobs: WatchCache,
    private readonly teams: Map<string, Team>,
    private readonly machineTypes: () => MachineType[],
    private readonly log: Logger,
    private readonly wallTime: () => number,
    /** A user is about to be told that a job is cancelled. */
    private readonly onCancelled: (id: string) => void,
  ) {}

  /** Null: some allowed type holds a task. */
  private rejectionReason(s: JobSpec): string | null {
    const team = this.teams.get(s.team);
    if (!team) return `unknown team ${s.team}`;
    const n = s.kind === 'array' ? 1 : s.taskCount;
    if (team.maxCpus > 0 && s.cpus * n > team.maxCpus + 1e-9) return 'needs more CPUs than its team may use';
    if (team.maxGpus > 0 && s.gpus * n > team.maxGpus + 1e-9) return 'needs more GPUs than its team may use';
    const fit = this.machineTypes().some(
      (machineType) =>
        (s.machineTypes === null || s.machineTypes.includes(machineType.name)) &&
        (s.zone === null || machineType.zones.includes(s.zone)) &&
        slotsIn(machineType, s) >= 1,
    );
    return fit ? null : 'no allowed machine type has room for a task';
  }

  submitJob(spec: JobSpec, callback: AnswerCallback): void {
    const known = this.machineTypes().length > 0;
    const never = known || !this.teams.has(spec.team) ? this.rejectionReason(spec) : null;
    if (never !== null || !known) {
      // A job once accepted is never refused, whatever its repeat holds.
      return this.find(spec.id, URGENCY.read, (found) => {
        if (found === null) return callback({ type: 'unavailable', reason: 'state service not reached' });
        const answer = this.answer(spec.id, found, false);
        if (answer.type !== 'notFound') return callback(answer);
        callback(
          never !== null
            ? { type: 'rejected', reason: never }
            : { type: 'unavailable', reason: 'machine types not known yet' },
        );
      });
    }
    if (this.openJobs.isFailing) {
      this.openJobs.requestRead();
      return callback({ type: 'unavailable', reason: 'state service not reached' });
    }
    const record: JobRecord = { spec: spec };
    const attempt = (left: number) => {
      this.store.compareAndSwap(
        {
          preconditions: [
            { key: `open/${spec.id}/a`, modRevision: 0 },
            { key: `end/${spec.id}`, modRevision: 0 },
          ],
          operations: [{ type: 'put', key: `open/${spec.id}/a`, value: jobRecord.encode(record) }],
        },
        URGENCY.user,
        (result) => {
          if (result.ok) {
            this.log.debug({ job: spec.id, team: spec.team, tasks: spec.taskCount }, 'accepted');
            return callback({ type: 'job', created: true, state: 'queued', done: 0, running: 0 });
          }
          if (result.kind === 'indeterminate' && left > 0) return attempt(left - 1);
          if (result.kind !== 'conflict')
            return callback({ type: 'unavailable', reason: 'state service not reached' });
          this.find(spec.id, URGENCY.read, (found) => {
            if (found === null) return callback({ type: 'unavailable', reason: 'state service not reached' });
            const answer = this.answer(spec.id, found, false);
            callback(
              answer.type === 'notFound'
                ? { type: 'unavailable', reason: 'state changed meanwhile' }
                : answer,
            );
          });
        },
      );
    };
    attempt(1);
  }

  /** For a submission that is malformed but names a job. */
  getJob(id: string, callback: AnswerCallback): void {
    this.find(id, URGENCY.read, (found) =>
      callback(
        found === null
          ? { type: 'unavailable', reason: 'state service not reached' }
          : this.answer(id, found, false),
      ),
    );
  }

  cancelJob(id: string, callback: AnswerCallback): void {
    const attempt = (left: number) => {
      this.find(id, URGENCY.user, (found) => {
        if (found === null) return callback({ type: 'unavailable', reason: 'state service not reached' });
        const answer = this.answer(id, found, false);
        if (answer.type !== 'job' || answer.state === 'done' || answer.state === 'cancelled' || !found.job)
          return callback(answer);
        const record: JobRecord = {
          spec: found.job.record.spec,
          acceptedRevision: found.job.record.acceptedRevision ?? found.job.modRevision,
          cancelled: true,
        };
        this.store.compareAndSwap(
          {
            preconditions: [
              { key: `open/${id}/a`, modRevision: found.job.modRevision },
              { key: `open/${id}/n`, modRevision: found.counter?.modRevision ?? 0 },
            ],
            operations: [{ type: 'put', key: `open/${id}/a`, value: jobRecord.encode(record) }],
          },
          URGENCY.lease,
          (result) => {
            if (result.ok) {
              this.log.debug({ job: id }, 'cancelled by its user');
              this.rememberFinal(id, { isDone: false, finishedTasks: answer.done });
              return callback({
                type: 'job',
                created: false,
                state: 'cancelled',
                done: answer.done,
                running: 0,
              });
            }
            if ((result.kind === 'conflict' || result.kind === 'indeterminate') && left > 0)
              return attempt(left - 1);
            callback({ type: 'unavailable', reason: 'state service not reached' });
          },
        );
      });
    };
    attempt(6);
  }

  private find(id: string, urgency: Urgency, callback: (found: StoredAnswer | null) => void): void {
    const final = this.finalRecords.get(id);
    if (final) return callback({ job: null, counter: null, final: final });
    // One read of what has changed answers all questions that came before it was sent.
    this.openJobs.linearizableRead((ok) => {
      if (!ok) return callback(null);
      const a = this.openJobs.items.get(`open/${id}/a`);
      const n = this.openJobs.items.get(`open/${id}/n`);
      const found: StoredAnswer = { job: null, counter: null, final: null };
      // Final here meanwhile: an abort may have been answered while the read was on its way.
      const over = this.finalRecords.get(id);
      if (over) return callback({ ...found, final: over });
      if (a) found.job = { record: jobRecord.decode(a.value), modRevision: a.modRevision };
      if (n) found.counter = { record: counterRecord.decode(n.value), modRevision: n.modRevision };
      if (found.job) return callback(found);
      // Moved to its final record in one transaction: not open (any more), then it is there or was never.
      this.store.get(`end/${id}`, urgency, (e) => {
        if (!e.ok) return callback(null);
        if (e.value) {
          found.final = finalRecord.decode(e.value.value);
          this.rememberFinal(id, found.final);
        }
        callback(found);
      });
    });
  }

  private rememberFinal(id: string, record: FinalRecord): void {
    this.finalRecords.set(id, record);
    if (!record.isDone) this.onCancelled(id);
    if (this.finalRecords.size > 20000)
      for (const k of [...this.finalRecords.keys()].slice(0, 5000)) this.finalRecords.delete(k);
  }

  private answer(id: string, found: StoredAnswer, created: boolean): ApiAnswer {
    if (found.final) {
      return {
        type: 'job',
        created,
        state: found.final.isDone ? 'done' : 'cancelled',
        done: found.final.finishedTasks,
        running: 0,
      };
    }
    if (!found.job) return { type: 'notFound' };
    const spec = found.job.record.spec;
    const n = found.counter?.record.finishedTasks ?? 0;
    if (found.job.record.cancelled === true) {
      this.rememberFinal(id, { isDone: false, finishedTasks: n });
      return { type: 'job', created, state: 'cancelled', done: n, running: 0 };
    }
    if (found.counter && n >= spec.taskCount && spec.kind !== 'service') {
      const counter = new DependencyCounter(spec.taskCount);
      decodeCompletionBitmap(counter, found.counter.record.finishedBitmap);
      if (counter.isFull) {
        this.rememberFinal(id, { isDone: true, finishedTasks: n });
        return { type: 'job', created, state: 'done', done: n, running: 0 };
      }
    }
    const running = found.counter?.record.runningTasks ?? 0;
    return { type: 'job', created, state: n + running > 0 ? 'running' : 'queued', done: n, running };
  }

  nowMs(): number {
    return this.wallTime();
  }
}
