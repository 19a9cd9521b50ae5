/** The users of a simulated cluster: they submit, question and cancel jobs, and judge whether the answers agree. */

import type { Controller } from '../../src/controller/controller.js';
import type { ApiResponse, JobState } from '../../src/model/api-response.js';
import type { JobSpec } from '../../src/model/job.js';
import type { FakeWorker } from './fake-worker.js';
import { DEFAULT_JOB_SPEC } from './job-spec.js';
import type { SimulatedCluster, UserJob } from './simulated-cluster.js';
import type { SimulatedControllers } from './simulated-controllers.js';

const REQUEST_DEADLINE_MS = 5000;
/** A request that finds no controller has failed after so long. */
const CONNECTION_REFUSED_MS = 5;
/** A request without an answer is repeated after so long, so many times. */
const RETRY_MS = 1000;
const RETRIES = 60;
/** More CPUs than any machine has. */
const TOO_MANY_CPUS = 1e6;

type Request = (controller: Controller, reply: (answer: ApiResponse) => void) => void;

/** An answer about a job. */
type JobAnswer = Extract<ApiResponse, { type: 'job' }>;

const isFinal = (state: JobState | null) => state === 'done' || state === 'cancelled';

/** Sends users' requests to any controllers; answers that contradict one another are violations. */
export class SimulatedUsers {
  private unusualRequests = 0;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly controllers: SimulatedControllers,
  ) {}

  /** Submits a job until it is answered, and asks about it from then on. */
  submitJob(spec: JobSpec): void {
    const { simulator, jobs, serviceLevel } = this.cluster;
    const job: UserJob = {
      spec,
      accepted: false,
      cancelRequested: false,
      cancelledAt: null,
      reportedState: null,
      answeredAt: simulator.now,
      finalStateAt: Number.POSITIVE_INFINITY,
    };
    jobs.set(spec.id, job);
    serviceLevel.submitted(spec, simulator.now);
    this.sendSubmission(job, RETRIES);
    const poll = () => {
      this.queryJob(job);
      simulator.scheduleAfter(simulator.between(3000, 7000), poll);
    };
    simulator.scheduleAfter(2000, poll);
  }

  /** Asks about a job that nobody has submitted. */
  queryUnknownJob(): void {
    this.sendRequest(
      (controller, reply) => controller.api.getJob('wk-nobody', reply),
      (answer) => {
        if (answer?.type === 'job') this.cluster.reportViolation('invented');
      },
    );
  }

  /** Cancels a job that was accepted, until that is answered. */
  cancelJob(id: string): void {
    const job = this.cluster.jobs.get(id);
    if (!job?.accepted || job.cancelRequested) return;
    job.cancelRequested = true;
    this.sendCancellation(job, RETRIES);
  }

  /** A question and a repeat at once, through any controllers; with `cancel` a cancellation between them. */
  queryAndResubmit(id: string, cancel: boolean): void {
    const job = this.cluster.jobs.get(id)!;
    this.queryJob(job);
    if (cancel) this.cancelJob(id);
    this.resubmit(job, job.spec);
  }

  /** Users cancel so many jobs that run, at once; the first machine of each hangs for a while. */
  cancelRunningJobs(count: number, hangMs: number): void {
    const { simulator, workers } = this.cluster;
    const workersOfJobs = new Map<string, FakeWorker[]>();
    for (const worker of workers.values())
      for (const task of worker.tasks)
        if (worker.occupies(task))
          workersOfJobs.set(task.jobId, [...(workersOfJobs.get(task.jobId) ?? []), worker]);
    for (const [id, [worker]] of [...workersOfJobs].slice(0, count)) {
      simulator.scheduleAfter(simulator.between(0, 200), () => this.cancelJob(id));
      if (hangMs === 0 || !worker || worker.isHung) continue;
      worker.isHung = true;
      simulator.scheduleAfter(hangMs, () => {
        worker.isHung = false;
      });
    }
  }

  /** Repeats with another body, cancellations of what is done, jobs that fit no machine: what was reported stays true. */
  sendUnusualRequest(): void {
    const { simulator, jobs } = this.cluster;
    const known = [...jobs.values()].filter((job) => job.accepted);
    const job = known.length > 0 ? simulator.pick(known) : undefined;
    if (!job || simulator.chance(0.3)) this.submitTooLarge(job?.spec ?? DEFAULT_JOB_SPEC);
    else if (job.reportedState === 'done') this.cancelDone(job);
    else this.resubmit(job, { ...job.spec, cpus: TOO_MANY_CPUS, team: 'nobody' });
  }

  private sendRequest(request: Request, onAnswer: (answer: ApiResponse | null) => void): void {
    const { simulator, network, digest } = this.cluster;
    const nodeName = this.cluster.pickNode();
    const process = this.controllers.get(nodeName);
    if (!process?.isAlive) {
      simulator.scheduleAfter(CONNECTION_REFUSED_MS, () => onAnswer(null));
      return;
    }
    network.call<ApiResponse>({
      from: 'users',
      to: nodeName,
      deadlineMs: REQUEST_DEADLINE_MS,
      serve: (reply) =>
        this.controllers.deliver(process, () =>
          request(process.controller, (answer) => {
            if (!process.isAlive) return;
            digest.userAnswer(nodeName, answer);
            reply(answer);
          }),
        ),
      onResult: (result) => onAnswer(result.got ? result.value : null),
    });
  }

  private sendSubmission(job: UserJob, retriesLeft: number): void {
    const { simulator } = this.cluster;
    const { spec } = job;
    const askedAt = simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.submitJob(spec, reply),
      (answer) => {
        if (answer?.type === 'job') this.recordAnswer(job, answer, askedAt);
        else if (answer && (answer.type === 'rejected' || answer.type === 'notFound') && job.accepted)
          this.cluster.reportViolation(`forgotten: ${spec.id} answered ${answer.type}`);
        else if (retriesLeft > 0)
          simulator.scheduleAfter(RETRY_MS, () => this.sendSubmission(job, retriesLeft - 1));
        // A late repeat, also long after.
        if (answer?.type === 'job' && simulator.chance(0.2))
          simulator.scheduleAfter(simulator.between(1000, 60000), () => this.sendSubmission(job, 0));
      },
    );
  }

  private sendCancellation(job: UserJob, retriesLeft: number): void {
    const { simulator } = this.cluster;
    const askedAt = simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.cancelJob(job.spec.id, reply),
      (answer) => {
        if (answer?.type === 'job') this.recordAnswer(job, answer, askedAt);
        else if (retriesLeft > 0)
          simulator.scheduleAfter(RETRY_MS, () => this.sendCancellation(job, retriesLeft - 1));
      },
    );
  }

  private queryJob(job: UserJob): void {
    const { id } = job.spec;
    const wasAccepted = job.accepted;
    const askedAt = this.cluster.simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.getJob(id, reply),
      (answer) => {
        if (answer?.type === 'job') this.recordAnswer(job, answer, askedAt);
        else if (answer?.type === 'notFound' && wasAccepted) this.cluster.reportViolation(`forgotten: ${id}`);
      },
    );
  }

  /** Submits a job that was accepted once more, perhaps with another body. */
  private resubmit(job: UserJob, spec: JobSpec): void {
    const askedAt = this.cluster.simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.submitJob(spec, reply),
      (answer) => {
        if (answer?.type === 'job') this.recordAnswer(job, answer, askedAt);
        else if (answer && answer.type !== 'unavailable')
          this.cluster.reportViolation(`forgotten: a repeat of ${job.spec.id} was answered ${answer.type}`);
      },
    );
  }

  private submitTooLarge(template: JobSpec): void {
    const spec = { ...template, id: `wk-odd${++this.unusualRequests}`, cpus: TOO_MANY_CPUS };
    this.sendRequest(
      (controller, reply) => controller.api.submitJob(spec, reply),
      (answer) => {
        if (answer?.type === 'job') this.cluster.reportViolation(`accepted: ${spec.id} fits no machine`);
      },
    );
  }

  private cancelDone(job: UserJob): void {
    const askedAt = this.cluster.simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.cancelJob(job.spec.id, reply),
      (answer) => {
        if (answer?.type === 'job') this.recordAnswer(job, answer, askedAt);
      },
    );
  }

  /** No answer is older than its question: one asked before the user was told the end may still report less. */
  private recordAnswer(job: UserJob, { state, finishedTasks: done }: JobAnswer, askedAt: number): void {
    const { cluster } = this;
    const { id, taskCount } = job.spec;
    job.accepted = true;
    job.answeredAt = cluster.simulator.now;
    if (state === 'cancelled') {
      if (!job.cancelRequested) cluster.reportViolation(`went_back: ${id} cancelled by nobody`);
      job.cancelledAt ??= cluster.simulator.now;
    }
    if (state === 'done')
      for (let index = 0; index < taskCount; index++)
        if (!cluster.completedTasks.has(`${id}/${index}`))
          cluster.reportViolation(`not_done: ${id}/${index}`);
    if (isFinal(job.reportedState) && state !== job.reportedState && askedAt >= job.finalStateAt)
      cluster.reportViolation(`went_back: ${id} ${job.reportedState} to ${state}`);
    if (done > taskCount) cluster.reportViolation(`too many done: ${id}`);
    if (isFinal(job.reportedState)) return;
    job.reportedState = state;
    if (isFinal(state)) job.finalStateAt = cluster.simulator.now;
  }
}
