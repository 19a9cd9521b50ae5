/** Users' requests about their jobs: submission, status query and cancellation. */

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

/** Dependencies and callbacks of the job API. */
export interface JobApiOptions {
  store: KeyValueStore;
  /** Cache of the records under `open/`: accepted jobs and their counters of finished tasks. */
  openJobs: WatchCache;
  teams: ReadonlyMap<string, Team>;
  /** Returns the machine types that the cloud offers; empty until they are known. */
  machineTypes(): MachineType[];
  log: Logger;
  /** Called before the cancellation of a job is confirmed to a user. */
  onCancelled(jobId: string): void;
}

/** The records of an open job, with their revisions. */
interface OpenJob {
  job: JobRecord;
  jobRevision: number;
  /** The job's counter of finished tasks; null until the first task of the job is placed. */
  counter: CounterRecord | null;
  /** Revision of the counter record; 0 while there is none. */
  counterRevision: number;
}

/** Result of looking up a job in the store. */
type JobLookup =
  | ({ type: 'open' } & OpenJob)
  | { type: 'final'; final: FinalRecord }
  | { type: 'missing' }
  | { type: 'storeUnreachable' };

/** Maximum number of cached final records, and how many of the oldest are evicted when it is exceeded. */
const MAX_CACHED_FINAL_RECORDS = 20000;
const FINAL_RECORD_EVICTION_COUNT = 5000;
/** How often a submission is repeated after an indeterminate write; at most one of the writes succeeds. */
const SUBMIT_RETRIES = 1;
/** How often a cancellation is repeated after a conflict with other writes or an indeterminate write. */
const CANCEL_RETRIES = 6;
/** Tolerance for rounding errors in sums of resources. */
const EPSILON = 1e-9;

const STORE_UNREACHABLE: ApiResponse = { type: 'unavailable', reason: 'state service not reached' };
const MACHINE_TYPES_UNKNOWN: ApiResponse = { type: 'unavailable', reason: 'machine types not known yet' };
const STATE_CHANGED: ApiResponse = { type: 'unavailable', reason: 'state changed meanwhile' };

/**
 * Responds to users on any controller, from the store's contents at the time of the request. Only final
 * records are cached, because they never change. If the state of a job is not certain, the response is
 * `unavailable`.
 */
export class JobApi implements JobService {
  private readonly finalRecords = new Map<string, FinalRecord>();

  constructor(private readonly options: JobApiOptions) {}

  /**
   * Accepts a job once its record is stored. A job that can never run is rejected, unless it was accepted
   * before: a repeated submission gets the state of the accepted job. While the machine types are unknown or
   * the store does not respond, the response is `unavailable`.
   */
  submitJob(spec: JobSpec, callback: ApiResponseCallback): void {
    const { teams, openJobs } = this.options;
    const areMachineTypesKnown = this.options.machineTypes().length > 0;
    const rejection = areMachineTypesKnown || !teams.has(spec.team) ? this.rejectionReason(spec) : null;
    if (rejection !== null) {
      this.respondWithExistingJobOr(spec.id, { type: 'rejected', reason: rejection }, callback);
      return;
    }
    if (!areMachineTypesKnown) {
      this.respondWithExistingJobOr(spec.id, MACHINE_TYPES_UNKNOWN, callback);
      return;
    }
    if (openJobs.isFailing) {
      // Probes the store, so that later submissions are accepted once it responds again.
      openJobs.requestRead();
      callback(STORE_UNREACHABLE);
      return;
    }
    this.storeJob(spec, SUBMIT_RETRIES, callback);
  }

  /** Responds with the state of a job. Also used for a malformed submission that contains a job id. */
  getJob(jobId: string, callback: ApiResponseCallback): void {
    this.lookUp(jobId, URGENCY.read, (lookup) => callback(this.responseFor(jobId, lookup)));
  }

  /** Cancels a job unless its state is final, and responds with the resulting state. */
  cancelJob(jobId: string, callback: ApiResponseCallback): void {
    this.tryCancel(jobId, CANCEL_RETRIES, callback);
  }

  /**
   * Returns why the job can never run: its team is unknown, the tasks that must run at the same time exceed
   * the team's quota (one task of an array job, all tasks of any other job), or no machine type that the job
   * allows has room for a task in a zone that it allows. Null: it can run.
   */
  private rejectionReason(spec: JobSpec): string | null {
    const team = this.options.teams.get(spec.team);
    if (!team) return `unknown team ${spec.team}`;
    const concurrentTasks = spec.kind === 'array' ? 1 : spec.taskCount;
    if (exceedsQuota(spec.cpus * concurrentTasks, team.maxCpus))
      return 'needs more CPUs than its team may use';
    if (exceedsQuota(spec.gpus * concurrentTasks, team.maxGpus))
      return 'needs more GPUs than its team may use';
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
          this.respondWithExistingJobOr(spec.id, STATE_CHANGED, callback);
        } else callback(STORE_UNREACHABLE);
      },
    );
  }

  /**
   * Responds with the state of the job if it was accepted before, whatever the repeated submission contains,
   * and with `fallback` if it was not. If that cannot be read from the store, the response is `unavailable`.
   */
  private respondWithExistingJobOr(
    jobId: string,
    fallback: ApiResponse,
    callback: ApiResponseCallback,
  ): void {
    this.lookUp(jobId, URGENCY.read, (lookup) =>
      callback(lookup.type === 'missing' ? fallback : this.responseFor(jobId, lookup)),
    );
  }

  private tryCancel(jobId: string, retriesLeft: number, callback: ApiResponseCallback): void {
    this.lookUp(jobId, URGENCY.user, (lookup) => {
      const response = this.responseFor(jobId, lookup);
      if (lookup.type !== 'open' || response.type !== 'job' || isFinal(response.state)) {
        callback(response);
        return;
      }
      this.storeCancellation(jobId, lookup, (result) => {
        if (result.ok) {
          this.options.log.debug({ jobId }, 'job cancelled');
          callback(this.cacheFinalRecord(jobId, { isDone: false, finishedTasks: response.finishedTasks }));
        } else if ((result.kind === 'conflict' || result.kind === 'indeterminate') && retriesLeft > 0) {
          this.tryCancel(jobId, retriesLeft - 1, callback);
        } else callback(STORE_UNREACHABLE);
      });
    });
  }

  /**
   * Stores a cancellation, unless the job or its counter has changed since they were read: the job may be
   * done by now, and a job that users have seen as done must never become cancelled.
   */
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
    // One read of the changed open jobs serves all requests that arrived before it was sent.
    this.options.openJobs.linearizableRead((ok) => {
      if (!ok) {
        callback({ type: 'storeUnreachable' });
        return;
      }
      const lookup = this.lookUpOpenJob(jobId);
      if (lookup) callback(lookup);
      else this.lookUpFinal(jobId, urgency, callback);
    });
  }

  /** Looks up a job in the cache of the open jobs, just after a read; null if it is not there. */
  private lookUpOpenJob(jobId: string): JobLookup | null {
    // A cancellation may have been confirmed while the read was in progress, which made the job final.
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

  /**
   * Looks up the final record of a job that is not open. One transaction replaces the open records by the
   * final record, so a job without either was never accepted.
   */
  private lookUpFinal(jobId: string, urgency: Urgency, callback: (lookup: JobLookup) => void): void {
    this.options.store.get(finalKey(jobId), urgency, (result) => {
      if (!result.ok) callback({ type: 'storeUnreachable' });
      else if (!result.value) callback({ type: 'missing' });
      else {
        const final = finalRecord.decode(result.value.value);
        this.cacheFinalRecord(jobId, final);
        callback({ type: 'final', final });
      }
    });
  }

  private responseFor(jobId: string, lookup: JobLookup): ApiResponse {
    switch (lookup.type) {
      case 'storeUnreachable':
        return STORE_UNREACHABLE;
      case 'missing':
        return { type: 'notFound' };
      case 'final':
        return finalResponse(lookup.final);
      case 'open':
        return this.responseForOpenJob(jobId, lookup);
    }
  }

  private responseForOpenJob(jobId: string, { job, counter }: OpenJob): ApiResponse {
    const finishedTasks = counter?.finishedTasks ?? 0;
    if (job.cancelled === true) return this.cacheFinalRecord(jobId, { isDone: false, finishedTasks });
    if (counter && isComplete(job.spec, counter))
      return this.cacheFinalRecord(jobId, { isDone: true, finishedTasks });
    const running = counter?.runningTasks ?? 0;
    const state = finishedTasks + running > 0 ? 'running' : 'queued';
    return { type: 'job', created: false, state, finishedTasks, runningTasks: running };
  }

  /**
   * Caches the final record of a job, announces it if it is cancelled, and returns the response to the user.
   */
  private cacheFinalRecord(jobId: string, final: FinalRecord): ApiResponse {
    this.finalRecords.set(jobId, final);
    if (!final.isDone) this.options.onCancelled(jobId);
    if (this.finalRecords.size > MAX_CACHED_FINAL_RECORDS)
      for (const oldest of [...this.finalRecords.keys()].slice(0, FINAL_RECORD_EVICTION_COUNT))
        this.finalRecords.delete(oldest);
    return finalResponse(final);
  }
}

/** Returns whether a need exceeds a quota; a quota of 0 means no limit. */
function exceedsQuota(needed: number, quota: number): boolean {
  return quota > 0 && needed > quota + EPSILON;
}

function isAllowedOn(spec: JobSpec, type: MachineType): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
    (spec.zone === null || type.zones.includes(spec.zone))
  );
}

/**
 * Returns whether all tasks are finished, which never holds for a service. The bitmap decides; the count only
 * avoids needless decoding.
 */
function isComplete(spec: JobSpec, counter: CounterRecord): boolean {
  if (spec.kind === 'service' || counter.finishedTasks < spec.taskCount) return false;
  const finished = new DependencyCounter(spec.taskCount);
  decodeCompletionBitmap(finished, counter.finishedBitmap);
  return finished.isComplete;
}

function isFinal(state: JobState): boolean {
  return state === 'done' || state === 'cancelled';
}

function finalResponse({ isDone, finishedTasks }: FinalRecord): ApiResponse {
  const state = isDone ? 'done' : 'cancelled';
  return { type: 'job', created: false, state, finishedTasks, runningTasks: 0 };
}
