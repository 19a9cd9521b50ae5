/** Users' requests about their jobs: submission, question, cancellation. */

import type { ApiResponse, JobState } from '../model/api-response.js';
import type { ApiResponseCallback, JobService } from '../model/controller-service.js';
import { DependencyCounter } from '../model/dependency-counter.js';
import type { JobSpec } from '../model/job.js';
import { type KeyValueStore, URGENCY, type Urgency } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { MachineType } from '../model/machine-type.js';
import type { CounterRecord, FinalRecord, JobRecord } from '../model/records.js';
import { slotsIn } from '../model/resources.js';
import type { ResultCallback } from '../model/result.js';
import type { Team } from '../model/team.js';
import { decodeCompletionBitmap } from '../store/completion-bitmap.js';
import { counterKey, finalKey, jobKey } from '../store/keyspace.js';
import { counterRecord, finalRecord, jobRecord } from '../store/record-codec.js';
import type { WatchCache } from '../store/watch-cache.js';

/** What the API needs. */
export interface JobApiOptions {
  store: KeyValueStore;
  /** A copy of the records under `open/`. */
  openJobs: WatchCache;
  teams: ReadonlyMap<string, Team>;
  /** The machine types that the cloud offers; empty until they are known. */
  machineTypes(): MachineType[];
  log: Logger;
  /** A user is about to be told that a job is cancelled. */
  onCancelled(jobId: string): void;
}

interface OpenJob {
  job: JobRecord;
  jobRevision: number;
  /** Null until the first of its tasks is placed. */
  counter: CounterRecord | null;
  /** 0 while there is no counter. */
  counterRevision: number;
}

/** What the store holds of a job. */
type JobLookup =
  | ({ type: 'open' } & OpenJob)
  | { type: 'final'; final: FinalRecord }
  | { type: 'missing' }
  | { type: 'storeUnreachable' };

/** Most final answers kept, and how many of the oldest go at a time. */
const MAX_FINAL_RECORDS = 20000;
const EVICTED_FINAL_RECORDS = 5000;
/** A submission without an answer is sent again so often; the store takes only one of them. */
const SUBMIT_RETRIES = 1;
/** A cancellation that other writes came before is tried again so often. */
const CANCEL_RETRIES = 6;
/** Sums of resources may be off by rounding. */
const ROUNDING_TOLERANCE = 1e-9;

const STORE_UNREACHABLE: ApiResponse = { type: 'unavailable', reason: 'state service not reached' };
const TYPES_UNKNOWN: ApiResponse = { type: 'unavailable', reason: 'machine types not known yet' };
const STATE_CHANGED: ApiResponse = { type: 'unavailable', reason: 'state changed meanwhile' };

/**
 * Answers users from what the store holds when they ask, on any controller. Only final answers are kept here: they never
 * change. A request that can't be answered truthfully gets `unavailable`, never a guess.
 */
export class JobApi implements JobService {
  private readonly finalRecords = new Map<string, FinalRecord>();

  constructor(private readonly options: JobApiOptions) {}

  /** Accepts a job once its record is stored; a repeat gets the present state of the job accepted first. */
  submitJob(spec: JobSpec, callback: ApiResponseCallback): void {
    const { teams, openJobs } = this.options;
    const areTypesKnown = this.options.machineTypes().length > 0;
    const rejection = areTypesKnown || !teams.has(spec.team) ? this.rejectionReason(spec) : null;
    if (rejection !== null) {
      this.answerUnlessMissing(spec.id, { type: 'rejected', reason: rejection }, callback);
      return;
    }
    if (!areTypesKnown) {
      this.answerUnlessMissing(spec.id, TYPES_UNKNOWN, callback);
      return;
    }
    if (openJobs.isFailing) {
      openJobs.requestRead();
      callback(STORE_UNREACHABLE);
      return;
    }
    this.storeJob(spec, SUBMIT_RETRIES, callback);
  }

  /** The present state of a job, also for a submission that is malformed but names one. */
  getJob(jobId: string, callback: ApiResponseCallback): void {
    this.lookUp(jobId, URGENCY.read, (lookup) => callback(this.answerFor(jobId, lookup)));
  }

  /** Cancels a job, unless it is final; the answer tells what it is then. */
  cancelJob(jobId: string, callback: ApiResponseCallback): void {
    this.tryCancel(jobId, CANCEL_RETRIES, callback);
  }

  /** Why the job can never run; null: some allowed machine type holds a task. */
  private rejectionReason(spec: JobSpec): string | null {
    const team = this.options.teams.get(spec.team);
    if (!team) return `unknown team ${spec.team}`;
    const tasksAtOnce = spec.kind === 'array' ? 1 : spec.taskCount;
    if (exceedsQuota(spec.cpus * tasksAtOnce, team.maxCpus)) return 'needs more CPUs than its team may use';
    if (exceedsQuota(spec.gpus * tasksAtOnce, team.maxGpus)) return 'needs more GPUs than its team may use';
    const fits = this.options
      .machineTypes()
      .some((type) => isAllowedOn(spec, type) && slotsIn(type, spec) >= 1);
    return fits ? null : 'no allowed machine type has room for a task';
  }

  private storeJob(spec: JobSpec, retriesLeft: number, callback: ApiResponseCallback): void {
    const { store, log } = this.options;
    store.compareAndSwap(
      {
        preconditions: [
          { key: jobKey(spec.id), modRevision: 0 },
          { key: finalKey(spec.id), modRevision: 0 },
        ],
        operations: [{ type: 'put', key: jobKey(spec.id), value: jobRecord.encode({ spec }) }],
      },
      URGENCY.user,
      (result) => {
        if (result.ok) {
          log.debug({ jobId: spec.id, team: spec.team, taskCount: spec.taskCount }, 'job accepted');
          callback({ type: 'job', created: true, state: 'queued', finishedTasks: 0, runningTasks: 0 });
        } else if (result.kind === 'indeterminate' && retriesLeft > 0) {
          this.storeJob(spec, retriesLeft - 1, callback);
        } else if (result.kind === 'conflict') {
          this.answerUnlessMissing(spec.id, STATE_CHANGED, callback);
        } else callback(STORE_UNREACHABLE);
      },
    );
  }

  /** The state of a job once accepted, whatever its repeat holds; for a job that was never accepted the given answer. */
  private answerUnlessMissing(jobId: string, otherwise: ApiResponse, callback: ApiResponseCallback): void {
    this.lookUp(jobId, URGENCY.read, (lookup) =>
      callback(lookup.type === 'missing' ? otherwise : this.answerFor(jobId, lookup)),
    );
  }

  private tryCancel(jobId: string, retriesLeft: number, callback: ApiResponseCallback): void {
    this.lookUp(jobId, URGENCY.user, (lookup) => {
      const answer = this.answerFor(jobId, lookup);
      if (lookup.type !== 'open' || answer.type !== 'job' || isFinal(answer.state)) {
        callback(answer);
        return;
      }
      this.storeCancellation(jobId, lookup, (result) => {
        if (result.ok) {
          this.options.log.debug({ jobId }, 'job cancelled');
          callback(this.rememberFinal(jobId, { isDone: false, finishedTasks: answer.finishedTasks }));
        } else if ((result.kind === 'conflict' || result.kind === 'indeterminate') && retriesLeft > 0) {
          this.tryCancel(jobId, retriesLeft - 1, callback);
        } else callback(STORE_UNREACHABLE);
      });
    });
  }

  /** Fails if the job or its counter has changed since: it may be done by now, and users never see that taken back. */
  private storeCancellation(jobId: string, open: OpenJob, callback: ResultCallback<number>): void {
    const cancelled: JobRecord = {
      spec: open.job.spec,
      acceptedRevision: open.job.acceptedRevision ?? open.jobRevision,
      cancelled: true,
    };
    this.options.store.compareAndSwap(
      {
        preconditions: [
          { key: jobKey(jobId), modRevision: open.jobRevision },
          { key: counterKey(jobId), modRevision: open.counterRevision },
        ],
        operations: [{ type: 'put', key: jobKey(jobId), value: jobRecord.encode(cancelled) }],
      },
      URGENCY.lease,
      callback,
    );
  }

  private lookUp(jobId: string, urgency: Urgency, callback: (lookup: JobLookup) => void): void {
    const final = this.finalRecords.get(jobId);
    if (final) {
      callback({ type: 'final', final });
      return;
    }
    // One read of what has changed answers all questions that came before it was sent.
    this.options.openJobs.linearizableRead((ok) => {
      if (!ok) {
        callback({ type: 'storeUnreachable' });
        return;
      }
      const lookup = this.lookUpInCopy(jobId);
      if (lookup) callback(lookup);
      else this.lookUpFinal(jobId, urgency, callback);
    });
  }

  /** Right after a read of the open jobs; null: not among them. */
  private lookUpInCopy(jobId: string): JobLookup | null {
    // Final here meanwhile: a cancellation may have been answered while the read was on its way.
    const final = this.finalRecords.get(jobId);
    if (final) return { type: 'final', final };
    const { items } = this.options.openJobs;
    const job = items.get(jobKey(jobId));
    if (!job) return null;
    const counter = items.get(counterKey(jobId));
    return {
      type: 'open',
      job: jobRecord.decode(job.value),
      jobRevision: job.modRevision,
      counter: counter ? counterRecord.decode(counter.value) : null,
      counterRevision: counter?.modRevision ?? 0,
    };
  }

  /** Moved to its final record in one transaction: not open (any more), then it is there or was never. */
  private lookUpFinal(jobId: string, urgency: Urgency, callback: (lookup: JobLookup) => void): void {
    this.options.store.get(finalKey(jobId), urgency, (result) => {
      if (!result.ok) callback({ type: 'storeUnreachable' });
      else if (!result.value) callback({ type: 'missing' });
      else {
        const final = finalRecord.decode(result.value.value);
        this.rememberFinal(jobId, final);
        callback({ type: 'final', final });
      }
    });
  }

  private answerFor(jobId: string, lookup: JobLookup): ApiResponse {
    switch (lookup.type) {
      case 'storeUnreachable':
        return STORE_UNREACHABLE;
      case 'missing':
        return { type: 'notFound' };
      case 'final':
        return finalAnswer(lookup.final);
      case 'open':
        return this.answerForOpenJob(jobId, lookup);
    }
  }

  private answerForOpenJob(jobId: string, { job, counter }: OpenJob): ApiResponse {
    const finishedTasks = counter?.finishedTasks ?? 0;
    if (job.cancelled === true) return this.rememberFinal(jobId, { isDone: false, finishedTasks });
    if (counter && isComplete(job.spec, counter))
      return this.rememberFinal(jobId, { isDone: true, finishedTasks });
    const running = counter?.runningTasks ?? 0;
    const state = finishedTasks + running > 0 ? 'running' : 'queued';
    return { type: 'job', created: false, state, finishedTasks, runningTasks: running };
  }

  private rememberFinal(jobId: string, final: FinalRecord): ApiResponse {
    this.finalRecords.set(jobId, final);
    if (!final.isDone) this.options.onCancelled(jobId);
    if (this.finalRecords.size > MAX_FINAL_RECORDS)
      for (const oldest of [...this.finalRecords.keys()].slice(0, EVICTED_FINAL_RECORDS))
        this.finalRecords.delete(oldest);
    return finalAnswer(final);
  }
}

/** A quota of 0 is none. */
function exceedsQuota(needed: number, quota: number): boolean {
  return quota > 0 && needed > quota + ROUNDING_TOLERANCE;
}

function isAllowedOn(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
    (spec.zone === null || type.zones.includes(spec.zone))
  );
}

/** Whether all tasks are counted as done; the bitmap decides, the number only spares reading it. */
function isComplete(spec: JobSpec, counter: CounterRecord): boolean {
  if (spec.kind === 'service' || counter.finishedTasks < spec.taskCount) return false;
  const finished = new DependencyCounter(spec.taskCount);
  decodeCompletionBitmap(finished, counter.finishedBitmap);
  return finished.isComplete;
}

function isFinal(state: JobState): boolean {
  return state === 'done' || state === 'cancelled';
}

function finalAnswer({ isDone, finishedTasks }: FinalRecord): ApiResponse {
  const state = isDone ? 'done' : 'cancelled';
  return { type: 'job', created: false, state, finishedTasks, runningTasks: 0 };
}
