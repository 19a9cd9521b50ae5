/** The users of a simulated cluster: they submit, poll and cancel jobs, and check the responses. */

import type { Controller } from '../../src/controller/controller.js';
import type { ApiResponse, JobState } from '../../src/model/api-response.js';
import type { JobSpec } from '../../src/model/job.js';
import type { FakeWorker } from './fake-worker.js';
import { DEFAULT_JOB_SPEC } from './job-spec.js';
import type { SimulatedCluster, UserJob } from './simulated-cluster.js';
import type { SimulatedControllers } from './simulated-controllers.js';

const REQUEST_DEADLINE_MS = 5000;
/** Time until a request to a node without a running controller fails. */
const CONNECTION_REFUSED_MS = 5;
/**
 * A submission or cancellation that is not answered is repeated at this interval, up to `MAX_RETRIES` times.
 */
const RETRY_INTERVAL_MS = 1000;
const MAX_RETRIES = 60;
/** More CPUs than any machine has. */
const OVERSIZED_CPUS = 1e6;

type Request = (controller: Controller, reply: (response: ApiResponse) => void) => void;

/** A response with the status of a job. */
type JobResponse = Extract<ApiResponse, { type: 'job' }>;

const isFinal = (state: JobState | null) => state === 'done' || state === 'cancelled';

/** Sends users' requests to random controllers; responses that contradict one another are violations. */
export class SimulatedUsers {
  private oversizedJobCount = 0;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly controllers: SimulatedControllers,
  ) {}

  /** Submits a job, with retries until it is answered, and polls it every few seconds. */
  submitJob(spec: JobSpec): void {
    const { simulator, jobs, serviceLevel } = this.cluster;
    const job: UserJob = {
      spec,
      accepted: false,
      cancelRequested: false,
      cancelledAt: null,
      reportedState: null,
      lastAnsweredAt: simulator.now,
      finalStateAt: Number.POSITIVE_INFINITY,
    };
    jobs.set(spec.id, job);
    serviceLevel.recordSubmission(spec, simulator.now);
    this.sendSubmission(job, MAX_RETRIES);
    const poll = () => {
      this.pollJob(job);
      simulator.scheduleAfter(simulator.between(3000, 7000), poll);
    };
    simulator.scheduleAfter(2000, poll);
  }

  /** Polls a job that nobody has submitted. */
  pollUnknownJob(): void {
    this.sendRequest(
      (controller, reply) => controller.api.getJob('wk-nobody', reply),
      (response) => {
        if (response?.type === 'job') this.cluster.reportViolation('invented: wk-nobody was never submitted');
      },
    );
  }

  /** Cancels an accepted job, once, with retries until the cancellation is answered. */
  cancelJob(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (!job?.accepted || job.cancelRequested) return;
    job.cancelRequested = true;
    this.sendCancellation(job, MAX_RETRIES);
  }

  /** Polls and resubmits a job through random controllers; with `cancel`, cancels it in between. */
  pollAndResubmit(id: string, cancel: boolean): void {
    const job = this.cluster.jobs.get(id)!;
    this.pollJob(job);
    if (cancel) this.cancelJob(id);
    this.resubmit(job, job.spec);
  }

  /** Cancels up to `count` running jobs within 200 ms; the first machine of each hangs for `hangMs`. */
  cancelRunningJobs(count: number, hangMs: number): void {
    const { simulator, workers } = this.cluster;
    const workersByJob = new Map<string, FakeWorker[]>();
    for (const worker of workers.values())
      for (const task of worker.tasks)
        if (worker.occupies(task))
          workersByJob.set(task.jobId, [...(workersByJob.get(task.jobId) ?? []), worker]);
    for (const [id, [worker]] of [...workersByJob].slice(0, count)) {
      simulator.scheduleAfter(simulator.between(0, 200), () => this.cancelJob(id));
      if (hangMs === 0 || !worker || worker.isHung) continue;
      worker.isHung = true;
      simulator.scheduleAfter(hangMs, () => {
        worker.isHung = false;
      });
    }
  }

  /**
   * Sends a random unusual request: a job that fits no machine, a cancellation of a job that is done, or a
   * resubmission with other fields. None of them may change what was reported about an accepted job.
   */
  sendUnusualRequest(): void {
    const { simulator, jobs } = this.cluster;
    const acceptedJobs = [...jobs.values()].filter((job) => job.accepted);
    const job = acceptedJobs.length > 0 ? simulator.pick(acceptedJobs) : undefined;
    if (!job || simulator.chance(0.3)) this.submitOversizedJob(job?.spec ?? DEFAULT_JOB_SPEC);
    else if (job.reportedState === 'done') this.cancelDoneJob(job);
    else this.resubmit(job, { ...job.spec, cpus: OVERSIZED_CPUS, team: 'nobody' });
  }

  private sendRequest(request: Request, onResponse: (response: ApiResponse | null) => void): void {
    const { simulator, network, digest } = this.cluster;
    const nodeName = this.cluster.pickNode();
    const process = this.controllers.get(nodeName);
    if (!process?.isAlive) {
      simulator.scheduleAfter(CONNECTION_REFUSED_MS, () => onResponse(null));
      return;
    }
    network.call<ApiResponse>({
      from: 'users',
      to: nodeName,
      deadlineMs: REQUEST_DEADLINE_MS,
      serve: (reply) =>
        this.controllers.deliver(process, () =>
          request(process.controller, (response) => {
            if (!process.isAlive) return;
            digest.userResponse(nodeName, response);
            reply(response);
          }),
        ),
      onResult: (result) => onResponse(result.received ? result.value : null),
    });
  }

  private sendSubmission(job: UserJob, retriesLeft: number): void {
    const { simulator } = this.cluster;
    const { spec } = job;
    const requestedAt = simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.submitJob(spec, reply),
      (response) => {
        if (response?.type === 'job') this.recordResponse(job, response, requestedAt);
        else if (response && (response.type === 'rejected' || response.type === 'notFound') && job.accepted)
          this.cluster.reportViolation(`forgotten: ${spec.id} answered ${response.type}`);
        else if (retriesLeft > 0)
          simulator.scheduleAfter(RETRY_INTERVAL_MS, () => this.sendSubmission(job, retriesLeft - 1));
        // Some users resubmit the job later.
        if (response?.type === 'job' && simulator.chance(0.2))
          simulator.scheduleAfter(simulator.between(1000, 60000), () => this.sendSubmission(job, 0));
      },
    );
  }

  private sendCancellation(job: UserJob, retriesLeft: number): void {
    const { simulator } = this.cluster;
    const requestedAt = simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.cancelJob(job.spec.id, reply),
      (response) => {
        if (response?.type === 'job') this.recordResponse(job, response, requestedAt);
        else if (retriesLeft > 0)
          simulator.scheduleAfter(RETRY_INTERVAL_MS, () => this.sendCancellation(job, retriesLeft - 1));
      },
    );
  }

  private pollJob(job: UserJob): void {
    const { id } = job.spec;
    const wasAccepted = job.accepted;
    const requestedAt = this.cluster.simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.getJob(id, reply),
      (response) => {
        if (response?.type === 'job') this.recordResponse(job, response, requestedAt);
        else if (response?.type === 'notFound' && wasAccepted)
          this.cluster.reportViolation(`forgotten: ${id}`);
      },
    );
  }

  /** Resubmits a job, possibly with other fields: an accepted job must be found again. */
  private resubmit(job: UserJob, spec: JobSpec): void {
    const requestedAt = this.cluster.simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.submitJob(spec, reply),
      (response) => {
        if (response?.type === 'job') this.recordResponse(job, response, requestedAt);
        else if (response && response.type !== 'unavailable')
          this.cluster.reportViolation(`forgotten: resubmission of ${job.spec.id} answered ${response.type}`);
      },
    );
  }

  private submitOversizedJob(template: JobSpec): void {
    const spec = { ...template, id: `wk-odd${++this.oversizedJobCount}`, cpus: OVERSIZED_CPUS };
    this.sendRequest(
      (controller, reply) => controller.api.submitJob(spec, reply),
      (response) => {
        if (response?.type === 'job') this.cluster.reportViolation(`accepted: ${spec.id} fits no machine`);
      },
    );
  }

  private cancelDoneJob(job: UserJob): void {
    const requestedAt = this.cluster.simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.cancelJob(job.spec.id, reply),
      (response) => {
        if (response?.type === 'job') this.recordResponse(job, response, requestedAt);
      },
    );
  }

  /**
   * Checks a response against earlier ones. A request sent before its user was told of the final state may
   * still be answered with an earlier state.
   */
  private recordResponse(job: UserJob, { state, finishedTasks }: JobResponse, requestedAt: number): void {
    const { cluster } = this;
    const { id, taskCount } = job.spec;
    job.accepted = true;
    job.lastAnsweredAt = cluster.simulator.now;
    if (state === 'cancelled') {
      if (!job.cancelRequested) cluster.reportViolation(`went_back: ${id} cancelled without a request`);
      job.cancelledAt ??= cluster.simulator.now;
    }
    if (state === 'done')
      for (let index = 0; index < taskCount; index++)
        if (!cluster.completedTasks.has(`${id}/${index}`))
          cluster.reportViolation(`not_done: ${id}/${index}`);
    if (isFinal(job.reportedState) && state !== job.reportedState && requestedAt >= job.finalStateAt)
      cluster.reportViolation(`went_back: ${id} ${job.reportedState} to ${state}`);
    if (finishedTasks > taskCount) cluster.reportViolation(`too many done: ${id}`);
    if (isFinal(job.reportedState)) return;
    job.reportedState = state;
    if (isFinal(state)) job.finalStateAt = cluster.simulator.now;
  }
}
