/** The workers of a simulated cluster. */

import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import type { ExitReason, JobSpec } from '../../src/model/job.js';
import type { Heartbeat, WorkerCommand } from '../../src/model/worker-messages.js';
import type { Simulator } from './simulated-time.js';
import type {
  CommandReply,
  CommandRequest,
  FakeTask,
  FakeWorkerOptions,
  MachineSize,
  RefusalReason,
  WorkerEnvironment,
} from './worker-environment.js';

/** How often a worker looks whether something is due. */
const POLL_INTERVAL_MS = 50;
const HEARTBEAT_DEADLINE_MS = 4000;
/** After an answer without a leader the next controller is asked so much later. */
const NEXT_CONTROLLER_MS = 1000;
/** Changes are sent at the earliest so long after the last heartbeat. */
const MIN_HEARTBEAT_GAP_MS = 500;
/** What comes to a hanging machine is looked at again after so long. */
const HANG_RETRY_MS = 100;
const HANG_COMMAND_RETRY_MS = 200;
const GANG_WAIT_POLL_MS = 200;
const GANG_LOSS_POLL_MS = 500;
/** A task of a gang ends if it has waited so long for the others. */
const GANG_WAIT_MS = 15_000;
const FAILURE_AFTER_MS = 300;
/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/** A worker as its protocol says, with the machine that it runs on. */
export class FakeWorker {
  readonly name: string;
  readonly machineType: string;
  readonly zone: string;
  readonly isSpot: boolean;
  readonly size: MachineSize;
  tasks: FakeTask[] = [];
  workerEpoch = 1;
  heartbeatSequence = 0;
  fencingToken = 0;
  isAlive = true;
  /** A hanging machine does nothing, but may resume. */
  isHung = false;
  /** When the cloud takes the machine back, if it has said so. */
  evictionAt: number | null = null;
  private readonly environment: WorkerEnvironment;
  private readonly simulator: Simulator;
  private readonly heartbeatIntervalMs: number;
  private readonly leaseMs: number;
  private lastAnsweredAt: number;
  private targetNode: string;
  private heartbeatInFlight = false;
  private nextHeartbeatAt = 0;
  private hasChanged = false;
  private incarnation = 0;
  private readonly images = new Set<string>();

  constructor(options: FakeWorkerOptions) {
    this.name = options.name;
    this.machineType = options.machineType;
    this.zone = options.zone;
    this.isSpot = options.isSpot;
    this.size = options.size;
    this.environment = options.environment;
    this.simulator = options.environment.simulator;
    this.heartbeatIntervalMs = options.heartbeatIntervalMs;
    this.leaseMs = options.leaseMs;
    this.lastAnsweredAt = this.simulator.now;
    this.targetNode = this.simulator.pick(this.environment.nodeNames());
    this.loop();
  }

  /** On the machine, as the invariants count it: has its image, not ended. */
  occupies(task: FakeTask): boolean {
    return this.isAlive && task.phase !== 'fetching' && task.phase !== 'exited';
  }

  private makeHeartbeat(): Heartbeat {
    return {
      machine: this.name,
      address: this.name,
      machineType: this.machineType,
      zone: this.zone,
      isSpot: this.isSpot,
      workerEpoch: this.workerEpoch,
      sequence: ++this.heartbeatSequence,
      fencingToken: this.fencingToken,
      evictionNoticeSeconds:
        this.evictionAt === null ? null : Math.max(0, (this.evictionAt - this.simulator.now) / 1000),
      tasks: this.tasks.map((task) => ({
        jobId: task.jobId,
        taskIndex: task.taskIndex,
        attempt: task.attempt,
        phase: task.phase,
        exitReason: task.exitReason,
        checkpointSaved: task.checkpointSaved,
      })),
    };
  }

  private loop(): void {
    if (!this.isAlive) return;
    if (!this.isHung) {
      if (this.simulator.now - this.lastAnsweredAt > this.leaseMs) this.restart();
      if (!this.heartbeatInFlight && this.isHeartbeatDue()) this.sendHeartbeat();
    }
    this.simulator.scheduleAfter(POLL_INTERVAL_MS, () => this.loop());
  }

  /** Its lease has run out: it ends all tasks and begins anew. */
  private restart(): void {
    this.tasks = [];
    this.workerEpoch++;
    this.incarnation++;
    this.lastAnsweredAt = this.simulator.now;
    this.hasChanged = true;
  }

  private isHeartbeatDue(): boolean {
    const { now } = this.simulator;
    if (now >= this.nextHeartbeatAt) return true;
    const earliest = this.nextHeartbeatAt - this.heartbeatIntervalMs * 1.25 + MIN_HEARTBEAT_GAP_MS;
    return this.hasChanged && now >= earliest;
  }

  private sendHeartbeat(): void {
    const { simulator } = this;
    const sentAt = simulator.now;
    const { workerEpoch, targetNode } = this;
    const heartbeat = this.makeHeartbeat();
    this.environment.duplicateHeartbeat(heartbeat);
    this.heartbeatInFlight = true;
    this.hasChanged = false;
    this.nextHeartbeatAt = simulator.now + this.heartbeatIntervalMs * simulator.between(0.75, 1.25);
    this.environment.network.call<HeartbeatResult>({
      from: this.name,
      to: targetNode,
      deadlineMs: HEARTBEAT_DEADLINE_MS,
      serve: (reply) => this.environment.sendHeartbeat(targetNode, heartbeat, reply),
      onResult: (result) => {
        const handle = () => {
          if (this.isHung) return simulator.scheduleAfter(HANG_RETRY_MS, handle);
          this.heartbeatInFlight = false;
          if (!this.isAlive) return;
          // Answers are dropped after their deadline, also by a machine that hung meanwhile.
          const isLate = simulator.now - sentAt > HEARTBEAT_DEADLINE_MS;
          if (!result.got || result.value.type === 'unavailable' || isLate) this.tryNextController();
          else this.onAnswer(result.value, { sentAt, workerEpoch, targetNode });
        };
        handle();
      },
    });
  }

  private onAnswer(
    answer: Exclude<HeartbeatResult, { type: 'unavailable' }>,
    sent: { sentAt: number; workerEpoch: number; targetNode: string },
  ): void {
    if (answer.type === 'redirected') {
      const { leaderName } = answer;
      if (leaderName && leaderName !== sent.targetNode && this.environment.nodeNames().includes(leaderName)) {
        this.targetNode = leaderName;
        this.nextHeartbeatAt = this.simulator.now + this.simulator.between(0, 500);
      } else this.tryNextController();
      return;
    }
    if (sent.workerEpoch !== this.workerEpoch || answer.fencingToken < this.fencingToken) return;
    this.noteFencingToken(answer.fencingToken);
    this.lastAnsweredAt = sent.sentAt;
    this.execute(answer.commands);
  }

  private tryNextController(): void {
    const nodeNames = this.environment.nodeNames();
    this.targetNode = nodeNames[(nodeNames.indexOf(this.targetNode) + 1) % nodeNames.length] as string;
    this.nextHeartbeatAt = this.simulator.now + NEXT_CONTROLLER_MS;
  }

  private noteFencingToken(token: number): void {
    if (token > this.fencingToken) this.hasChanged = true;
    this.fencingToken = Math.max(this.fencingToken, token);
  }

  /** Commands that a leader sent directly: refused with a lower token than it knows or for another epoch. */
  handleCommands(request: CommandRequest, reply: (commandReply: CommandReply) => void): void {
    if (!this.isAlive) return;
    if (this.isHung) {
      this.simulator.scheduleAfter(HANG_COMMAND_RETRY_MS, () => this.handleCommands(request, reply));
      return;
    }
    if (request.fencingToken < this.fencingToken || request.workerEpoch !== this.workerEpoch) {
      reply({ ok: false, heartbeat: this.makeHeartbeat() });
      return;
    }
    this.noteFencingToken(request.fencingToken);
    this.execute(request.commands);
    reply({ ok: true, heartbeat: this.makeHeartbeat() });
  }

  private execute(commands: WorkerCommand[]): void {
    for (const command of commands) {
      const { jobId, taskIndex, attempt } = command;
      const task = this.tasks.find(
        (listed) => listed.jobId === jobId && listed.taskIndex === taskIndex && listed.attempt === attempt,
      );
      if (command.type === 'start') {
        if (!task) this.start(jobId, taskIndex, attempt);
      } else if (command.type === 'stop') {
        if (task && task.phase !== 'exited') this.stop(task, command.gracePeriodSeconds);
      } else if (task?.phase === 'exited') this.tasks = this.tasks.filter((listed) => listed !== task);
    }
    this.hasChanged ||= commands.length > 0;
  }

  private start(jobId: string, taskIndex: number, attempt: number): void {
    const spec = this.environment.jobSpec(jobId);
    const exitReason = spec ? this.reasonToRefuse(spec, taskIndex) : 'unknown';
    if (exitReason !== null && exitReason !== 'unknown') this.environment.onRefusal(exitReason);
    const task: FakeTask = {
      jobId,
      taskIndex,
      attempt,
      phase: exitReason === null ? 'fetching' : 'exited',
      exitReason,
      checkpointSaved: false,
      incarnation: this.incarnation,
    };
    this.tasks.push(task);
    this.hasChanged = true;
    if (task.phase === 'exited' || !spec) return;
    this.environment.onStart(jobId, taskIndex, attempt);
    const fetchMs = this.images.has(spec.image) ? 1 : (spec.imageGb / this.size.imageFetchGbPerSecond) * 1000;
    this.runLater(task, fetchMs, () => this.onImageFetched(task, spec));
  }

  private reasonToRefuse(spec: JobSpec, taskIndex: number): RefusalReason | null {
    if (this.tasks.some((task) => task.jobId === spec.id && task.taskIndex === taskIndex))
      return 'attemptListed';
    let { cpus, memoryGb } = spec;
    for (const task of this.tasks) {
      if (task.phase === 'exited') continue;
      cpus += this.environment.jobSpec(task.jobId)?.cpus ?? 0;
      memoryGb += this.environment.jobSpec(task.jobId)?.memoryGb ?? 0;
    }
    const fits = cpus <= this.size.cpus + EPSILON && memoryGb <= this.size.memoryGb + EPSILON;
    return fits ? null : 'noCapacity';
  }

  private onImageFetched(task: FakeTask, spec: JobSpec): void {
    this.images.add(spec.image);
    // "If the task is started again, it exits with `done` as soon as it has its image."
    if (this.environment.isComplete(task.jobId, task.taskIndex)) this.exit(task, 'done');
    else if (spec.kind === 'gang') {
      task.phase = 'waiting';
      this.awaitGang(task, spec);
    } else this.begin(task);
    this.hasChanged = true;
  }

  private runLater(task: FakeTask, delayMs: number, callback: () => void): void {
    const run = () => {
      if (
        !this.isAlive ||
        task.incarnation !== this.incarnation ||
        !this.tasks.includes(task) ||
        task.phase === 'exited'
      )
        return;
      if (this.isHung) return this.simulator.scheduleAfter(HANG_RETRY_MS, run);
      callback();
    };
    this.simulator.scheduleAfter(delayMs, run);
  }

  private begin(task: FakeTask): void {
    task.phase = 'running';
    this.hasChanged = true;
    if (this.environment.fails(task.jobId, this.name)) {
      this.runLater(task, FAILURE_AFTER_MS, () => this.exit(task, 'error'));
      return;
    }
    const ms = this.environment.runDurationMs(task.jobId, task.taskIndex);
    if (Number.isFinite(ms))
      this.runLater(task, ms, () => {
        if (task.phase !== 'running') return;
        this.finish(task);
      });
  }

  /** A gang completes together: when one task is done, all are. */
  private finish(task: FakeTask): void {
    const spec = this.environment.jobSpec(task.jobId);
    if (spec?.kind !== 'gang') {
      this.environment.complete(task.jobId, task.taskIndex);
      this.exit(task, 'done');
      return;
    }
    for (let index = 0; index < spec.taskCount; index++) this.environment.complete(task.jobId, index);
    for (const other of this.environment.gangTasks(task.jobId, task.attempt))
      if (other.phase === 'running') Object.assign(other, { phase: 'exited', exitReason: 'done' });
    this.hasChanged = true;
  }

  /** A waiting task of a gang begins once all others wait or run, and ends with the first that is lost. */
  private awaitGang(task: FakeTask, spec: JobSpec): void {
    const gang = () => this.environment.gangTasks(task.jobId, task.attempt);
    const checkComplete = () => {
      if (task.phase !== 'waiting') return;
      const tasks = gang();
      const isReady = tasks.every(({ phase }) => phase === 'waiting' || phase === 'running');
      if (tasks.length === spec.taskCount && isReady) return this.begin(task);
      this.runLater(task, GANG_WAIT_POLL_MS, checkComplete);
    };
    this.runLater(task, 1, checkComplete);
    this.runLater(task, GANG_WAIT_MS, () => {
      if (task.phase === 'waiting') this.exit(task, 'gangIncomplete');
    });
    const checkLoss = () => {
      if (task.phase === 'running') {
        const tasks = gang();
        const isDone = tasks.some(({ exitReason }) => exitReason === 'done');
        const live = tasks.filter(({ phase }) => phase !== 'exited');
        if (!isDone && live.length < spec.taskCount) return this.exit(task, 'gangMemberLost');
      }
      this.runLater(task, GANG_LOSS_POLL_MS, checkLoss);
    };
    this.runLater(task, GANG_LOSS_POLL_MS, checkLoss);
  }

  private stop(task: FakeTask, graceSeconds: number): void {
    const spec = this.environment.jobSpec(task.jobId);
    if (task.phase === 'running' && spec?.kind === 'gang') this.environment.onGangStop(task);
    if (
      task.phase === 'running' &&
      spec &&
      spec.checkpointIntervalSeconds > 0 &&
      graceSeconds >= spec.checkpointSaveSeconds &&
      graceSeconds > 0
    ) {
      task.phase = 'saving';
      this.runLater(task, spec.checkpointSaveSeconds * 1000, () => {
        task.checkpointSaved = true;
        this.exit(task, 'stopped');
      });
    } else this.exit(task, 'stopped');
    this.hasChanged = true;
  }

  /** Its gang is being stopped and it was not told to stop in time. */
  exitWithGang(task: FakeTask): void {
    if (this.isAlive && this.tasks.includes(task) && task.phase === 'running')
      this.exit(task, 'gangMemberLost');
  }

  private exit(task: FakeTask, reason: ExitReason): void {
    task.phase = 'exited';
    task.exitReason = reason;
    this.hasChanged = true;
  }

  /** The machine is gone with all that is on it. */
  die(): void {
    this.isAlive = false;
    this.tasks = [];
  }
}
