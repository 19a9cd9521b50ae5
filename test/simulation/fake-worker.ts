/** The workers of a simulated cluster. */

import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import type { ExitReason, JobSpec } from '../../src/model/job.js';
import type { Heartbeat, WorkerCommand } from '../../src/model/worker-messages.js';
import type { Simulator } from './simulated-time.js';
import type {
  CommandRequest,
  CommandResponse,
  FakeTask,
  FakeWorkerOptions,
  MachineResources,
  RefusalReason,
  WorkerEnvironment,
} from './worker-environment.js';

/** Interval at which a worker checks its lease and whether a heartbeat is due. */
const POLL_INTERVAL_MS = 50;
const HEARTBEAT_DEADLINE_MS = 4000;
/** Delay before a worker sends its heartbeat to the next controller when one has not accepted it. */
const NEXT_CONTROLLER_DELAY_MS = 1000;
/** Minimum time between a heartbeat and an early one that reports changes. */
const MIN_HEARTBEAT_GAP_MS = 500;
/** Interval at which timers and responses that come due on a hung machine are tried again. */
const HANG_RETRY_MS = 100;
/** Interval at which direct commands to a hung machine are tried again. */
const HANG_COMMAND_RETRY_MS = 200;
/** Interval at which a waiting task of a gang checks whether the other tasks are ready. */
const GANG_WAIT_POLL_MS = 200;
/** Interval at which a running task of a gang checks whether another task is lost. */
const GANG_LOSS_POLL_MS = 500;
/** A task of a gang exits if the other tasks are not ready within this time. */
const GANG_WAIT_TIMEOUT_MS = 15_000;
/** Run time of a task that fails. */
const FAILURE_DELAY_MS = 300;
/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/** Implements the worker protocol, and simulates the machine that the worker runs on. */
export class FakeWorker {
  readonly name: string;
  readonly machineType: string;
  readonly zone: string;
  readonly isSpot: boolean;
  readonly resources: MachineResources;
  tasks: FakeTask[] = [];
  workerEpoch = 1;
  heartbeatSequence = 0;
  fencingToken = 0;
  isAlive = true;
  /** A hung machine does nothing, but may resume. */
  isHung = false;
  /** When the cloud will reclaim the machine; null: no eviction notice. */
  evictionAt: number | null = null;
  private readonly environment: WorkerEnvironment;
  private readonly simulator: Simulator;
  private readonly heartbeatIntervalMs: number;
  private readonly leaseMs: number;
  private leaseRenewedAt: number;
  private targetNode: string;
  private heartbeatInFlight = false;
  private nextHeartbeatAt = 0;
  private hasUnreportedChanges = false;
  private incarnation = 0;
  private readonly cachedImages = new Set<string>();

  constructor(options: FakeWorkerOptions) {
    this.name = options.name;
    this.machineType = options.machineType;
    this.zone = options.zone;
    this.isSpot = options.isSpot;
    this.resources = options.resources;
    this.environment = options.environment;
    this.simulator = options.environment.simulator;
    this.heartbeatIntervalMs = options.heartbeatIntervalMs;
    this.leaseMs = options.leaseMs;
    this.leaseRenewedAt = this.simulator.now;
    this.targetNode = this.simulator.pick(this.environment.nodeNames());
    this.poll();
  }

  /** Whether a task occupies the machine, for the invariants: its image is fetched, and it has not exited. */
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

  private poll(): void {
    if (!this.isAlive) return;
    if (!this.isHung) {
      if (this.simulator.now - this.leaseRenewedAt > this.leaseMs) this.restart();
      if (!this.heartbeatInFlight && this.isHeartbeatDue()) this.sendHeartbeat();
    }
    this.simulator.scheduleAfter(POLL_INTERVAL_MS, () => this.poll());
  }

  /** Drops all tasks and starts a new epoch, because the lease has expired. */
  private restart(): void {
    this.tasks = [];
    this.workerEpoch++;
    this.incarnation++;
    this.leaseRenewedAt = this.simulator.now;
    this.hasUnreportedChanges = true;
  }

  private isHeartbeatDue(): boolean {
    const { now } = this.simulator;
    if (now >= this.nextHeartbeatAt) return true;
    const earliest = this.nextHeartbeatAt - this.heartbeatIntervalMs * 1.25 + MIN_HEARTBEAT_GAP_MS;
    return this.hasUnreportedChanges && now >= earliest;
  }

  private sendHeartbeat(): void {
    const { simulator } = this;
    const sentAt = simulator.now;
    const { workerEpoch, targetNode } = this;
    const heartbeat = this.makeHeartbeat();
    this.environment.duplicateHeartbeat(heartbeat);
    this.heartbeatInFlight = true;
    this.hasUnreportedChanges = false;
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
          // A response after the deadline is dropped, even if it arrived in time at a machine that was hung.
          const isPastDeadline = simulator.now - sentAt > HEARTBEAT_DEADLINE_MS;
          if (!result.received || result.value.type === 'unavailable' || isPastDeadline)
            this.tryNextController();
          else this.onHeartbeatResponse(result.value, { sentAt, workerEpoch, targetNode });
        };
        handle();
      },
    });
  }

  private onHeartbeatResponse(
    response: Exclude<HeartbeatResult, { type: 'unavailable' }>,
    request: { sentAt: number; workerEpoch: number; targetNode: string },
  ): void {
    if (response.type === 'redirected') {
      const { leaderName } = response;
      if (
        leaderName &&
        leaderName !== request.targetNode &&
        this.environment.nodeNames().includes(leaderName)
      ) {
        this.targetNode = leaderName;
        this.nextHeartbeatAt = this.simulator.now + this.simulator.between(0, 500);
      } else this.tryNextController();
      return;
    }
    if (request.workerEpoch !== this.workerEpoch || response.fencingToken < this.fencingToken) return;
    this.raiseFencingToken(response.fencingToken);
    this.leaseRenewedAt = request.sentAt;
    this.execute(response.commands);
  }

  private tryNextController(): void {
    const nodeNames = this.environment.nodeNames();
    this.targetNode = nodeNames[(nodeNames.indexOf(this.targetNode) + 1) % nodeNames.length] as string;
    this.nextHeartbeatAt = this.simulator.now + NEXT_CONTROLLER_DELAY_MS;
  }

  private raiseFencingToken(token: number): void {
    if (token > this.fencingToken) this.hasUnreportedChanges = true;
    this.fencingToken = Math.max(this.fencingToken, token);
  }

  /**
   * Handles direct commands from a leader; refuses them if their token is outdated or their epoch differs.
   */
  handleCommands(request: CommandRequest, respond: (response: CommandResponse) => void): void {
    if (!this.isAlive) return;
    if (this.isHung) {
      this.simulator.scheduleAfter(HANG_COMMAND_RETRY_MS, () => this.handleCommands(request, respond));
      return;
    }
    if (request.fencingToken < this.fencingToken || request.workerEpoch !== this.workerEpoch) {
      respond({ ok: false, heartbeat: this.makeHeartbeat() });
      return;
    }
    this.raiseFencingToken(request.fencingToken);
    this.execute(request.commands);
    respond({ ok: true, heartbeat: this.makeHeartbeat() });
  }

  private execute(commands: WorkerCommand[]): void {
    for (const command of commands) {
      const { jobId, taskIndex, attempt } = command;
      const task = this.tasks.find(
        (candidate) =>
          candidate.jobId === jobId && candidate.taskIndex === taskIndex && candidate.attempt === attempt,
      );
      if (command.type === 'start') {
        if (!task) this.start(jobId, taskIndex, attempt);
      } else if (command.type === 'stop') {
        if (task && task.phase !== 'exited') this.stop(task, command.gracePeriodSeconds);
      } else if (task?.phase === 'exited') this.tasks = this.tasks.filter((candidate) => candidate !== task);
    }
    this.hasUnreportedChanges ||= commands.length > 0;
  }

  private start(jobId: string, taskIndex: number, attempt: number): void {
    const spec = this.environment.jobSpec(jobId);
    const exitReason = spec ? this.refusalReason(spec, taskIndex) : 'unknown';
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
    this.hasUnreportedChanges = true;
    if (task.phase === 'exited' || !spec) return;
    this.environment.onStart(jobId, taskIndex, attempt);
    const fetchMs = this.cachedImages.has(spec.image)
      ? 1
      : (spec.imageGb / this.resources.imageFetchGbPerSecond) * 1000;
    this.runLater(task, fetchMs, () => this.onImageFetched(task, spec));
  }

  private refusalReason(spec: JobSpec, taskIndex: number): RefusalReason | null {
    if (this.tasks.some((task) => task.jobId === spec.id && task.taskIndex === taskIndex))
      return 'attemptListed';
    let { cpus, memoryGb } = spec;
    for (const task of this.tasks) {
      if (task.phase === 'exited') continue;
      cpus += this.environment.jobSpec(task.jobId)?.cpus ?? 0;
      memoryGb += this.environment.jobSpec(task.jobId)?.memoryGb ?? 0;
    }
    const fits = cpus <= this.resources.cpus + EPSILON && memoryGb <= this.resources.memoryGb + EPSILON;
    return fits ? null : 'noCapacity';
  }

  private onImageFetched(task: FakeTask, spec: JobSpec): void {
    this.cachedImages.add(spec.image);
    // Worker protocol: a completed task that is started again exits with `done` once its image is fetched.
    if (this.environment.isComplete(task.jobId, task.taskIndex)) this.exit(task, 'done');
    else if (spec.kind === 'gang') {
      task.phase = 'waiting';
      this.awaitGang(task, spec);
    } else this.startRunning(task);
    this.hasUnreportedChanges = true;
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

  private startRunning(task: FakeTask): void {
    task.phase = 'running';
    this.hasUnreportedChanges = true;
    if (this.environment.taskFails(task.jobId, this.name)) {
      this.runLater(task, FAILURE_DELAY_MS, () => this.exit(task, 'error'));
      return;
    }
    const durationMs = this.environment.runDurationMs(task.jobId, task.taskIndex);
    if (Number.isFinite(durationMs))
      this.runLater(task, durationMs, () => {
        if (task.phase !== 'running') return;
        this.finish(task);
      });
  }

  /** Completes a task. When one task of a gang completes, all its tasks do. */
  private finish(task: FakeTask): void {
    const spec = this.environment.jobSpec(task.jobId);
    if (spec?.kind !== 'gang') {
      this.environment.recordCompletion(task.jobId, task.taskIndex);
      this.exit(task, 'done');
      return;
    }
    for (let index = 0; index < spec.taskCount; index++) this.environment.recordCompletion(task.jobId, index);
    for (const other of this.environment.gangTasks(task.jobId, task.attempt))
      if (other.phase === 'running') Object.assign(other, { phase: 'exited', exitReason: 'done' });
    this.hasUnreportedChanges = true;
  }

  /**
   * Starts a waiting task of a gang once all other tasks are waiting or running. Ends it if they are not
   * ready in time or, after it has started, when one of them is lost.
   */
  private awaitGang(task: FakeTask, spec: JobSpec): void {
    const gangTasks = () => this.environment.gangTasks(task.jobId, task.attempt);
    const checkAllReady = () => {
      if (task.phase !== 'waiting') return;
      const tasks = gangTasks();
      const isReady = tasks.every(({ phase }) => phase === 'waiting' || phase === 'running');
      if (tasks.length === spec.taskCount && isReady) return this.startRunning(task);
      this.runLater(task, GANG_WAIT_POLL_MS, checkAllReady);
    };
    this.runLater(task, 1, checkAllReady);
    this.runLater(task, GANG_WAIT_TIMEOUT_MS, () => {
      if (task.phase === 'waiting') this.exit(task, 'gangIncomplete');
    });
    const checkAllAlive = () => {
      if (task.phase === 'running') {
        const tasks = gangTasks();
        const isDone = tasks.some(({ exitReason }) => exitReason === 'done');
        const live = tasks.filter(({ phase }) => phase !== 'exited');
        if (!isDone && live.length < spec.taskCount) return this.exit(task, 'gangMemberLost');
      }
      this.runLater(task, GANG_LOSS_POLL_MS, checkAllAlive);
    };
    this.runLater(task, GANG_LOSS_POLL_MS, checkAllAlive);
  }

  private stop(task: FakeTask, gracePeriodSeconds: number): void {
    const spec = this.environment.jobSpec(task.jobId);
    if (task.phase === 'running' && spec?.kind === 'gang') this.environment.onGangStop(task);
    if (
      task.phase === 'running' &&
      spec &&
      spec.checkpointIntervalSeconds > 0 &&
      gracePeriodSeconds >= spec.checkpointSaveSeconds &&
      gracePeriodSeconds > 0
    ) {
      task.phase = 'saving';
      this.runLater(task, spec.checkpointSaveSeconds * 1000, () => {
        task.checkpointSaved = true;
        this.exit(task, 'stopped');
      });
    } else this.exit(task, 'stopped');
    this.hasUnreportedChanges = true;
  }

  /** Ends a running task whose gang is being stopped, because it was not told to stop in time itself. */
  exitOnGangStop(task: FakeTask): void {
    if (this.isAlive && this.tasks.includes(task) && task.phase === 'running')
      this.exit(task, 'gangMemberLost');
  }

  private exit(task: FakeTask, reason: ExitReason): void {
    task.phase = 'exited';
    task.exitReason = reason;
    this.hasUnreportedChanges = true;
  }

  /** Removes the machine with all its tasks. */
  terminate(): void {
    this.isAlive = false;
    this.tasks = [];
  }
}
