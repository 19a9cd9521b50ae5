import { readFileSync } from 'node:fs';
import { compilePolicy } from '../../src/config/policy.js';
import { Controller } from '../../src/controller/controller.js';
import type { Clock } from '../../src/model/clock.js';
import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import type { JobSpec } from '../../src/model/job.js';
import { taskKey } from '../../src/model/job.js';
import type { ApiAnswer, JobState } from '../../src/model/job-answer.js';
import type { LogFields, Logger } from '../../src/model/logger.js';
import type { PeerMessage } from '../../src/model/peer-message.js';
import type { Heartbeat } from '../../src/model/worker-messages.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/wire/peer-codec.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './cluster-config.js';
import { storePort, workerPort } from './controller-ports.js';
import { FakeCloud } from './fake-cloud.js';
import { FakeStore } from './fake-store.js';
import { type FakeTask, FakeWorker, type WorkerEnvironment } from './fake-worker.js';
import { InvariantChecker } from './invariant-checker.js';
import { DEFAULT_JOB_SPEC } from './job-spec.js';
import { OutputDigest } from './output-digest.js';
import { QuotaChecker } from './quota-checker.js';
import { ServiceLevelChecker } from './service-level-checker.js';
import { SimulatedNetwork } from './simulated-network.js';
import { Simulator } from './simulated-time.js';
import { StarvationChecker } from './starvation-checker.js';

const POLICY = compilePolicy(readFileSync(new URL('../../deploy/policy.toml', import.meta.url), 'utf8'));
/** `gang_peer_s` of the protocol: all tasks of a gang are told within this time of the first. */
const GANG_PEER_MS = 6000;

export interface UserJob {
  spec: JobSpec;
  accepted: boolean;
  cancelRequested: boolean;
  cancelledAt: number | null;
  reportedState: JobState | null;
  answeredAt: number;
  /** When its user was first told that it is done or cancelled. */
  finalStateAt: number;
}

interface ControllerProcess {
  controller: Controller;
  isAlive: boolean;
  /** Stands still, with its clocks running on: what comes meanwhile waits here. */
  isPaused: boolean;
  backlog: (() => void)[];
}

const noop = () => {};
/** A deployment in simulated time: controllers as written, everything else a stand-in; the rules are checked on what the stand-ins saw. */
export class ClusterSimulation {
  readonly simulator: Simulator;
  readonly network: SimulatedNetwork;
  readonly store: FakeStore;
  readonly cloud: FakeCloud;
  readonly nodeNames: string[];
  readonly controllers = new Map<string, ControllerProcess>();
  readonly workers = new Map<string, FakeWorker>();
  readonly jobs = new Map<string, UserJob>();
  readonly completedTasks = new Set<string>();
  readonly violations: string[] = [];
  readonly faultyMachines = new Set<string>();
  /** Jobs that fail on every machine. */
  readonly failingJobs = new Set<string>();
  /** Copies of reports come late, from moments to well over a lease. */
  duplicatesMessages = false;
  /** Share of transactions that get no answer and are carried out 2 to 12 s later. */
  lateWriteShare = 0;
  /** Share of transactions that are carried out at once and get no answer. */
  lostAnswerShare = 0;
  /** Reads of stored records take up to so much longer, each by another time. */
  maxReadDelayMs = 0;
  /** From here on nothing but work is asked of the controllers. */
  faultsEndAt = Number.POSITIVE_INFINITY;
  taskStarts = 0;
  /** Starts that workers refused: another attempt of the task is listed, or there is no room. */
  readonly refusals = { busy: 0, no_room: 0 };
  /** Attempts that were started once more: one that ended must never be. */
  readonly restartedAttempts: string[] = [];
  private readonly attemptsStarted = new Set<string>();
  readonly serviceLevel: ServiceLevelChecker;
  readonly quotaChecker: QuotaChecker;
  private readonly digest: OutputDigest;
  private instances = 0;

  constructor(
    seed: number,
    readonly config: ClusterConfig = CLUSTER_CONFIG,
  ) {
    this.nodeNames = config.nodeNames;
    this.serviceLevel = new ServiceLevelChecker(config.teams);
    this.simulator = new Simulator(seed);
    this.digest = new OutputDigest(seed, () => this.simulator.now);
    this.network = new SimulatedNetwork(this.simulator);
    this.store = new FakeStore(this.simulator);
    this.cloud = new FakeCloud({
      simulator: this.simulator,
      network: this.network,
      config,
      onMachineStarted: ({ name, machineType: type, zone, isSpot: spot }) =>
        this.startWorker(name, type, zone, spot),
      onMachineDeleted: (name) => this.destroyMachine(name),
      onFaultyMachine: (name) => this.faultyMachines.add(name),
    });
    this.quotaChecker = new QuotaChecker(this, (text) => this.reportViolation(text));
    const rules = new InvariantChecker(this, (text) => this.reportViolation(text));
    this.simulator.afterEvent = () => rules.check();
    for (const nodeName of this.nodeNames) this.startController(nodeName);
    this.cloud.takeSnapshots();
    new StarvationChecker(this, (text) => this.reportViolation(text));
  }

  // ---- controllers ------------------------------------------------------------------------------------

  startController(nodeName: string): void {
    const process: ControllerProcess = {
      controller: undefined as unknown as Controller,
      isAlive: true,
      isPaused: false,
      backlog: [],
    };
    const instanceId = `${nodeName}.${++this.instances}`;
    const clock: Clock = {
      now: () => this.simulator.now,
      wall: () => this.simulator.now,
      after: (ms, callback) => {
        this.simulator.scheduleAfter(ms, () => this.deliver(process, callback));
        return noop;
      },
      soon: (callback) => this.simulator.scheduleAfter(0.2, () => this.deliver(process, callback)),
      random: () => this.simulator.random(),
    };
    process.controller = new Controller({
      nodeName,
      instanceId,
      peerNames: this.nodeNames.filter((h) => h !== nodeName),
      teams: this.config.teams,
      workerTiming: {
        heartbeatIntervalSeconds: this.config.heartbeatIntervalSeconds,
        leaseSeconds: this.config.leaseSeconds,
        cancellationSeconds: this.config.cancellationSeconds,
      },
      storeLimits: {
        maxValueKb: this.config.maxValueKb,
        maxTransactionOperations: this.config.maxTransactionOperations,
        writesPerSecond: this.config.writesPerSecond,
      },
      machineListLagSeconds: 3,
      cloudCallsPerSecond: 5,
      objectives: this.config.objectives,
      leaseTtlMs: this.config.leaseTtlMs,
      policy: POLICY,
      clock,
      log: this.logger(nodeName),
      store: this.digest.store(
        nodeName,
        storePort(this, nodeName, (handle) => this.deliver(process, handle)),
      ),
      cloud: this.digest.cloud(
        nodeName,
        this.cloud.port(nodeName, (handle) => this.deliver(process, handle)),
      ),
      workers: this.digest.workers(
        nodeName,
        workerPort(this, nodeName, (handle) => this.deliver(process, handle)),
      ),
      peers: {
        send: (to, message: PeerMessage) => {
          this.digest.peerMessage(nodeName, to, message);
          const text = JSON.stringify(encodePeerMessage(message));
          this.network.send(nodeName, to, () => {
            const peer = this.controllers.get(to);
            const received = decodePeerMessage(JSON.parse(text));
            if (!received) throw new Error(`not a peer message: ${text}`);
            if (peer)
              this.deliver(peer, () => peer.controller.push({ type: 'peerMessage', message: received }));
          });
        },
      },
    });
    this.controllers.set(nodeName, process);
    process.controller.start();
    for (const other of this.nodeNames) {
      const q = this.controllers.get(other);
      if (other === nodeName || !q?.isAlive) continue;
      q.controller.push({ type: 'peerConnection', nodeName, isUp: true });
      process.controller.push({ type: 'peerConnection', nodeName: other, isUp: true });
    }
  }

  /** Whatever comes to a process: handled at once, after its pause, or never. */
  private deliver(process: ControllerProcess, callback: () => void): void {
    if (!process.isAlive) return;
    if (process.isPaused) process.backlog.push(callback);
    else callback();
  }

  /** A controller stands still while its clocks run on. */
  pauseController(nodeName: string, forMs: number): void {
    const process = this.controllers.get(nodeName);
    if (!process?.isAlive || process.isPaused) return;
    process.isPaused = true;
    this.simulator.scheduleAfter(forMs, () => {
      process.isPaused = false;
      for (const callback of process.backlog.splice(0)) this.deliver(process, callback);
    });
  }

  /** SIMLOG=1 prints what the controllers decide, with simulated time. */
  private logger(nodeName: string): Logger {
    if (!process.env.SIMLOG) return { debug: noop, info: noop, error: noop };
    const out = (fields: LogFields, message: string) =>
      console.log(
        `${(this.simulator.now / 1000).toFixed(3)} ${nodeName} ${message} ${JSON.stringify(fields)}`,
      );
    return { debug: out, info: out, error: out };
  }

  crashController(nodeName: string, backMs: number): void {
    const process = this.controllers.get(nodeName);
    if (!process?.isAlive) return;
    process.isAlive = false;
    this.simulator.scheduleAfter(backMs, () => this.startController(nodeName));
  }

  // ---- machines ---------------------------------------------------------------------------------------

  private startWorker(name: string, type: string, zone: string, spot: boolean): FakeWorker {
    const size = this.config.machineTypes.find((known) => known.name === type)!;
    const worker = new FakeWorker(name, type, zone, spot, { ...size }, this.workerEnvironment(), {
      reportMs: this.config.heartbeatIntervalSeconds * 1000,
      leaseMs: this.config.leaseSeconds * 1000,
    });
    this.workers.set(name, worker);
    return worker;
  }

  /** A machine that is up at once, for tests of their own. */
  addMachine(type: string, zone: string, spot: boolean): FakeWorker {
    return this.startWorker(this.cloud.nextName(), type, zone, spot);
  }

  /** Deleted, or taken by the cloud. */
  destroyMachine(name: string): void {
    this.cloud.forget(name);
    this.workers.get(name)?.die();
    this.workers.delete(name);
  }

  // ---- workers ----------------------------------------------------------------------------------------

  private workerEnvironment(): WorkerEnvironment {
    return {
      simulator: this.simulator,
      network: this.network,
      jobSpec: (job: string) => this.jobs.get(job)?.spec,
      runDurationMs: (job: string, taskIndex: number) => this.runDurationMs(job, taskIndex),
      fails: (job: string, machine: string) => this.failingJobs.has(job) || this.faultyMachines.has(machine),
      nodeNames: () => this.nodeNames,
      sendHeartbeat: (nodeName: string, heartbeat: Heartbeat, reply: (a: HeartbeatResult) => void) => {
        const process = this.controllers.get(nodeName);
        const text = JSON.stringify(heartbeat);
        if (!process) return;
        this.deliver(process, () => {
          const answer = process.controller.handleHeartbeat(JSON.parse(text));
          this.digest.heartbeatAnswer(nodeName, answer);
          reply(JSON.parse(JSON.stringify(answer)));
        });
      },
      duplicateHeartbeat: (heartbeat: Heartbeat) => {
        if (!this.duplicatesMessages || !this.simulator.chance(0.3)) return;
        const text = JSON.stringify(heartbeat);
        this.simulator.scheduleAfter(this.simulator.between(500, this.config.leaseSeconds * 2500), () => {
          const process = this.controllers.get(this.pickNode());
          if (process) this.deliver(process, () => process.controller.handleHeartbeat(JSON.parse(text)));
        });
      },
      gangTasks: (job: string, attempt: number) =>
        [...this.workers.values()]
          .filter((worker) => worker.isAlive && !worker.isHung)
          .flatMap((worker) => worker.tasks.filter((task) => task.jobId === job && task.attempt === attempt)),
      onGangStop: (task: FakeTask) => this.onGangStop(task),
      onStart: (job: string, taskIndex: number, attempt: number) => {
        const key = taskKey(job, taskIndex, attempt);
        // What is done may be removed before a late repeat of its start comes: it ends at once (Scheduler.mayReap).
        if (this.attemptsStarted.has(key) && !this.completedTasks.has(`${job}/${taskIndex}`))
          this.restartedAttempts.push(`${(this.simulator.now / 1000).toFixed(3)} ${key}`);
        this.attemptsStarted.add(key);
      },
      onRefusal: (_job: string, _machine: string, reason: 'busy' | 'no_room') => void this.refusals[reason]++,
      isComplete: (job: string, taskIndex: number) => this.completedTasks.has(`${job}/${taskIndex}`),
      complete: (job: string, taskIndex: number) => {
        this.completedTasks.add(`${job}/${taskIndex}`);
        if (this.cancelsAtCompletion && this.simulator.chance(0.3))
          this.simulator.scheduleAfter(this.simulator.between(0, 30), () => this.cancelJob(job));
      },
    };
  }

  /** Running tasks of gangs that were told to stop, and those that were not within the time for it. */
  readonly gangStops = { signalled: 0, late: 0 };
  private readonly gangStopsBegun = new Set<string>();

  private onGangStop({ jobId: job, attempt }: FakeTask): void {
    this.gangStops.signalled++;
    const gang = `${job}#${attempt}`;
    if (this.gangStopsBegun.has(gang)) return;
    this.gangStopsBegun.add(gang);
    this.simulator.scheduleAfter(GANG_PEER_MS, () => {
      for (const worker of this.workers.values())
        for (const task of worker.tasks) {
          if (task.jobId !== job || task.attempt !== attempt || task.phase !== 'running') continue;
          this.gangStops.late++;
          worker.exitWithGang(task);
        }
    });
  }

  /** How long a task runs; tests may say otherwise. */
  runDurationMs = (job: string, taskIndex: number): number => {
    const spec = this.jobs.get(job)?.spec;
    if (!spec || spec.kind === 'service') return Number.POSITIVE_INFINITY;
    return spec.kind === 'gang' ? 6000 : 2000 + ((taskIndex * 7919 + job.length * 104729) % 9000);
  };

  // ---- users ------------------------------------------------------------------------------------------

  private pickNode(): string {
    return this.simulator.pick(this.nodeNames);
  }

  private sendRequest(
    run: (controller: Controller, reply: (answer: ApiAnswer) => void) => void,
    callback: (answer: ApiAnswer | null) => void,
  ): void {
    const nodeName = this.pickNode();
    const process = this.controllers.get(nodeName);
    if (!process?.isAlive) return this.simulator.scheduleAfter(5, () => callback(null));
    this.network.call<ApiAnswer>(
      'users',
      nodeName,
      5000,
      (reply) =>
        this.deliver(process, () =>
          run(process.controller, (answer) => {
            if (!process.isAlive) return;
            this.digest.userAnswer(nodeName, answer);
            reply(answer);
          }),
        ),
      (a) => callback(a.got ? a.value : null),
    );
  }

  submitJob(spec: JobSpec): void {
    const job: UserJob = {
      spec,
      accepted: false,
      cancelRequested: false,
      cancelledAt: null,
      reportedState: null,
      answeredAt: this.simulator.now,
      finalStateAt: Number.POSITIVE_INFINITY,
    };
    this.jobs.set(spec.id, job);
    this.serviceLevel.submitted(spec, this.simulator.now);
    const go = (left: number) => {
      const asked = this.simulator.now;
      this.sendRequest(
        (controller, reply) => controller.api.submitJob(spec, reply),
        (answer) => {
          if (answer?.type === 'job') this.recordAnswer(job, answer.state, answer.done, asked);
          else if (answer && (answer.type === 'rejected' || answer.type === 'notFound') && job.accepted)
            this.reportViolation(`forgotten: ${spec.id} answered ${answer.type}`);
          else if (left > 0) this.simulator.scheduleAfter(1000, () => go(left - 1));
          // A late repeat, also long after.
          if (answer?.type === 'job' && this.simulator.chance(0.2))
            this.simulator.scheduleAfter(this.simulator.between(1000, 60000), () => go(0));
        },
      );
    };
    go(60);
    const poll = () => {
      this.queryJob(job);
      this.simulator.scheduleAfter(this.simulator.between(3000, 7000), poll);
    };
    this.simulator.scheduleAfter(2000, poll);
  }

  private queryJob(job: UserJob): void {
    const accepted = job.accepted;
    const asked = this.simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.getJob(job.spec.id, reply),
      (answer) => {
        if (answer?.type === 'job') this.recordAnswer(job, answer.state, answer.done, asked);
        else if (answer?.type === 'notFound' && accepted) this.reportViolation(`forgotten: ${job.spec.id}`);
      },
    );
  }

  queryUnknownJob(): void {
    this.sendRequest(
      (controller, reply) => controller.api.getJob('wk-nobody', reply),
      (answer) => answer?.type === 'job' && this.reportViolation('invented'),
    );
  }

  cancelJob(id: string): void {
    const job = this.jobs.get(id);
    if (!job?.accepted || job.cancelRequested) return;
    job.cancelRequested = true;
    const go = (left: number) => {
      const asked = this.simulator.now;
      this.sendRequest(
        (controller, reply) => controller.api.cancelJob(id, reply),
        (answer) => {
          if (answer?.type === 'job') this.recordAnswer(job, answer.state, answer.done, asked);
          else if (left > 0) this.simulator.scheduleAfter(1000, () => go(left - 1));
        },
      );
    };
    go(60);
  }

  /** A question and a repeat at once, through any controllers; with `cancel` a cancellation between them. */
  queryAndResubmit(id: string, cancel: boolean): void {
    const job = this.jobs.get(id)!;
    this.queryJob(job);
    if (cancel) this.cancelJob(id);
    const asked = this.simulator.now;
    this.sendRequest(
      (controller, reply) => controller.api.submitJob(job.spec, reply),
      (answer) => {
        if (answer?.type === 'job') this.recordAnswer(job, answer.state, answer.done, asked);
        else if (answer && answer.type !== 'unavailable')
          this.reportViolation(`forgotten: a repeat of ${id} was answered ${answer.type}`);
      },
    );
  }

  /** Users call off that many jobs that run, at once; some of their machines hang. */
  cancelRunningJobs(n: number, hangMs: number): void {
    const runs = new Map<string, FakeWorker[]>();
    for (const worker of this.workers.values())
      for (const task of worker.tasks)
        if (worker.occupies(task)) runs.set(task.jobId, [...(runs.get(task.jobId) ?? []), worker]);
    for (const [id, on] of [...runs].slice(0, n)) {
      this.simulator.scheduleAfter(this.simulator.between(0, 200), () => this.cancelJob(id));
      const worker = on[0];
      if (hangMs === 0 || !worker || worker.isHung) continue;
      worker.isHung = true;
      this.simulator.scheduleAfter(hangMs, () => {
        worker.isHung = false;
      });
    }
  }

  /** Jobs are called off at the moment at which a task of theirs ends. */
  cancelsAtCompletion = false;

  /** Repeats with another body, cancellations of what is done, jobs that fit no machine: what was told stays true. */
  sendUnusualRequest(): void {
    const known = [...this.jobs.values()].filter((job) => job.accepted);
    const j = known.length > 0 ? this.simulator.pick(known) : undefined;
    if (!j || this.simulator.chance(0.3)) {
      const spec = { ...(j?.spec ?? DEFAULT_JOB_SPEC), id: `wk-odd${++this.unusualRequests}`, cpus: 1e6 };
      return this.sendRequest(
        (controller, reply) => controller.api.submitJob(spec, reply),
        (answer) => answer?.type === 'job' && this.reportViolation(`accepted: ${spec.id} fits no machine`),
      );
    }
    const asked = this.simulator.now;
    if (j.reportedState === 'done') {
      return this.sendRequest(
        (controller, reply) => controller.api.cancelJob(j.spec.id, reply),
        (answer) => answer?.type === 'job' && this.recordAnswer(j, answer.state, answer.done, asked),
      );
    }
    this.sendRequest(
      (controller, reply) => controller.api.submitJob({ ...j.spec, cpus: 1e6, team: 'nobody' }, reply),
      (answer) => {
        if (answer?.type === 'job') this.recordAnswer(j, answer.state, answer.done, asked);
        else if (answer && answer.type !== 'unavailable')
          this.reportViolation(`forgotten: a repeat of ${j.spec.id} was answered ${answer.type}`);
      },
    );
  }
  private unusualRequests = 0;

  /** No answer is older than its question: one asked before the user was told the end may still tell less. */
  private recordAnswer(job: UserJob, state: JobState, done: number, asked: number): void {
    const id = job.spec.id;
    job.accepted = true;
    job.answeredAt = this.simulator.now;
    if (state === 'cancelled') {
      if (!job.cancelRequested) this.reportViolation(`went_back: ${id} cancelled by nobody`);
      job.cancelledAt ??= this.simulator.now;
    }
    if (state === 'done')
      for (let i = 0; i < job.spec.taskCount; i++)
        if (!this.completedTasks.has(`${id}/${i}`)) this.reportViolation(`not_done: ${id}/${i}`);
    if (
      (job.reportedState === 'done' || job.reportedState === 'cancelled') &&
      state !== job.reportedState &&
      asked >= job.finalStateAt
    )
      this.reportViolation(`went_back: ${id} ${job.reportedState} to ${state}`);
    if (done > job.spec.taskCount) this.reportViolation(`too many done: ${id}`);
    if (job.reportedState !== 'done' && job.reportedState !== 'cancelled') {
      job.reportedState = state;
      if (state === 'done' || state === 'cancelled') job.finalStateAt = this.simulator.now;
    }
  }

  // ---- rules ------------------------------------------------------------------------------------------

  private reportViolation(text: string): void {
    this.violations.push(`${(this.simulator.now / 1000).toFixed(3)} ${text}`);
  }

  /** Groups of jobs too few of which were served; jobs that fail everywhere or were called off don't count. */
  underServed(): string[] {
    return this.serviceLevel.underServed(
      (id) => this.failingJobs.has(id) || this.jobs.get(id)?.cancelRequested === true,
    );
  }

  /** Accepted work that should be over by now. */
  unfinishedJobs(): string[] {
    return [...this.jobs.values()]
      .filter(
        (job) =>
          job.spec.kind !== 'service' &&
          !this.failingJobs.has(job.spec.id) &&
          job.reportedState !== 'done' &&
          job.reportedState !== 'cancelled',
      )
      .map((job) => job.spec.id);
  }
}
