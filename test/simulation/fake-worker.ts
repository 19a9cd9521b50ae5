import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import type { ExitReason, JobSpec, TaskPhase } from '../../src/model/job.js';
import type { Heartbeat, WorkerCommand } from '../../src/model/worker-messages.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { Simulator } from './simulated-time.js';

export interface FakeTask {
  jobId: string;
  taskIndex: number;
  attempt: number;
  phase: TaskPhase;
  exitReason: ExitReason | null;
  checkpointSaved: boolean;
  incarnation: number;
}

export interface WorkerEnvironment {
  simulator: Simulator;
  network: SimulatedNetwork;
  jobSpec(job: string): JobSpec | undefined;
  runDurationMs(job: string, taskIndex: number): number;
  fails(job: string, machine: string): boolean;
  nodeNames(): string[];
  sendHeartbeat(nodeName: string, heartbeat: Heartbeat, reply: (a: HeartbeatResult) => void): void;
  /** Sends a copy of a report later, if copies come late today. */
  duplicateHeartbeat(heartbeat: Heartbeat): void;
  gangTasks(job: string, attempt: number): FakeTask[];
  /** A running task of a gang was told to stop. */
  onGangStop(task: FakeTask): void;
  /** An attempt was started. */
  onStart(job: string, taskIndex: number, attempt: number): void;
  /** A start was refused. */
  onRefusal(job: string, machine: string, reason: 'busy' | 'no_room'): void;
  isComplete(job: string, taskIndex: number): boolean;
  complete(job: string, taskIndex: number): void;
}

export interface MachineSize {
  cpus: number;
  memoryGb: number;
  imageFetchGbPerSecond: number;
}

/** Stand-in for a worker, from its protocol. */
export class FakeWorker {
  tasks: FakeTask[] = [];
  agentEpoch = 1;
  heartbeatSequence = 0;
  fencingToken = 0;
  isAlive = true;
  /** A hanging machine does nothing, but may resume. */
  isHung = false;
  evictionAt: number | null = null;
  private lastAnswered: number;
  private target: string;
  private heartbeatInFlight = false;
  private nextAt = 0;
  private changed = false;
  private incarnation = 0;
  private readonly images = new Set<string>();

  constructor(
    readonly name: string,
    readonly machineType: string,
    readonly zone: string,
    readonly isSpot: boolean,
    readonly size: MachineSize,
    private readonly environment: WorkerEnvironment,
    private readonly timing: { reportMs: number; leaseMs: number },
  ) {
    this.lastAnswered = environment.simulator.now;
    this.target = environment.simulator.pick(environment.nodeNames());
    this.loop();
  }

  /** On the machine, as the rules count it: has its image, not ended. */
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
      agentEpoch: this.agentEpoch,
      sequence: ++this.heartbeatSequence,
      fencingToken: this.fencingToken,
      evictionNoticeSeconds:
        this.evictionAt === null
          ? null
          : Math.max(0, (this.evictionAt - this.environment.simulator.now) / 1000),
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
    const simulator = this.environment.simulator;
    if (!this.isHung) {
      if (simulator.now - this.lastAnswered > this.timing.leaseMs) {
        this.tasks = [];
        this.agentEpoch++;
        this.incarnation++;
        this.lastAnswered = simulator.now;
        this.changed = true;
      }
      if (
        !this.heartbeatInFlight &&
        (simulator.now >= this.nextAt ||
          (this.changed && simulator.now >= this.nextAt - this.timing.reportMs * 1.25 + 500))
      )
        this.sendHeartbeat();
    }
    simulator.scheduleAfter(50, () => this.loop());
  }

  private sendHeartbeat(): void {
    const simulator = this.environment.simulator;
    const sent = simulator.now;
    const agentEpoch = this.agentEpoch;
    const body = this.makeHeartbeat();
    this.environment.duplicateHeartbeat(body);
    this.heartbeatInFlight = true;
    this.changed = false;
    this.nextAt = simulator.now + this.timing.reportMs * simulator.between(0.75, 1.25);
    const nodeName = this.target;
    this.environment.network.call<HeartbeatResult>(
      this.name,
      nodeName,
      4000,
      (reply) => this.environment.sendHeartbeat(nodeName, body, reply),
      (a) => {
        const handle = () => {
          if (this.isHung) return simulator.scheduleAfter(100, handle);
          this.heartbeatInFlight = false;
          if (!this.isAlive) return;
          // Answers are dropped after 4 s, also by a machine that hung meanwhile.
          if (!a.got || a.value.type === 'unavailable' || simulator.now - sent > 4000)
            return this.tryNextController(1000);
          if (a.value.type === 'redirected') {
            if (
              a.value.leaderName &&
              a.value.leaderName !== nodeName &&
              this.environment.nodeNames().includes(a.value.leaderName)
            ) {
              this.target = a.value.leaderName;
              this.nextAt = simulator.now + simulator.between(0, 500);
            } else this.tryNextController(1000);
            return;
          }
          if (agentEpoch !== this.agentEpoch || a.value.fencingToken < this.fencingToken) return;
          this.noteFencingToken(a.value.fencingToken);
          this.lastAnswered = sent;
          this.execute(a.value.commands);
        };
        handle();
      },
    );
  }

  private tryNextController(ms: number): void {
    const all = this.environment.nodeNames();
    this.target = all[(all.indexOf(this.target) + 1) % all.length] as string;
    this.nextAt = this.environment.simulator.now + ms;
  }

  private noteFencingToken(token: number): void {
    if (token > this.fencingToken) this.changed = true;
    this.fencingToken = Math.max(this.fencingToken, token);
  }

  handleCommands(
    token: number,
    agentEpoch: number,
    commands: WorkerCommand[],
    reply: (r: { ok: boolean; heartbeat: Heartbeat }) => void,
  ): void {
    if (!this.isAlive) return;
    if (this.isHung)
      return this.environment.simulator.scheduleAfter(200, () =>
        this.handleCommands(token, agentEpoch, commands, reply),
      );
    if (token < this.fencingToken || agentEpoch !== this.agentEpoch)
      return reply({ ok: false, heartbeat: this.makeHeartbeat() });
    this.noteFencingToken(token);
    this.execute(commands);
    reply({ ok: true, heartbeat: this.makeHeartbeat() });
  }

  private execute(commands: WorkerCommand[]): void {
    for (const command of commands) {
      const task = this.tasks.find(
        (x) =>
          x.jobId === command.jobId && x.taskIndex === command.taskIndex && x.attempt === command.attempt,
      );
      if (command.type === 'start') {
        if (!task) this.start(command.jobId, command.taskIndex, command.attempt);
      } else if (command.type === 'stop') {
        if (task && task.phase !== 'exited') this.stop(task, command.gracePeriodSeconds);
      } else if (task?.phase === 'exited') this.tasks = this.tasks.filter((x) => x !== task);
    }
    this.changed ||= commands.length > 0;
  }

  private start(job: string, taskIndex: number, attempt: number): void {
    const spec = this.environment.jobSpec(job);
    const task: FakeTask = {
      jobId: job,
      taskIndex,
      attempt,
      phase: 'fetching',
      exitReason: null,
      checkpointSaved: false,
      incarnation: this.incarnation,
    };
    const live = this.tasks.filter((x) => x.phase !== 'exited');
    if (!spec) Object.assign(task, { phase: 'exited', exitReason: 'unknown' });
    else if (this.tasks.some((x) => x.jobId === job && x.taskIndex === taskIndex)) {
      this.environment.onRefusal(job, this.name, 'busy');
      Object.assign(task, { phase: 'exited', exitReason: 'busy' });
    } else {
      let cpus = spec.cpus;
      let mem = spec.memoryGb;
      for (const x of live) {
        cpus += this.environment.jobSpec(x.jobId)?.cpus ?? 0;
        mem += this.environment.jobSpec(x.jobId)?.memoryGb ?? 0;
      }
      if (cpus > this.size.cpus + 1e-9 || mem > this.size.memoryGb + 1e-9) {
        this.environment.onRefusal(job, this.name, 'no_room');
        Object.assign(task, { phase: 'exited', exitReason: 'no_room' });
      }
    }
    this.tasks.push(task);
    this.changed = true;
    if (task.phase === 'exited' || !spec) return;
    this.environment.onStart(job, taskIndex, attempt);
    const fetch = this.images.has(spec.image) ? 1 : (spec.imageGb / this.size.imageFetchGbPerSecond) * 1000;
    this.runLater(task, fetch, () => {
      this.images.add(spec.image);
      // "If the task is started again, it exits with `done` as soon as it has its image."
      if (this.environment.isComplete(job, taskIndex)) this.exit(task, 'done');
      else if (spec.kind === 'gang') {
        task.phase = 'waiting';
        this.awaitGang(task, spec);
      } else this.begin(task);
      this.changed = true;
    });
  }

  private runLater(task: FakeTask, ms: number, callback: () => void): void {
    const go = () => {
      if (
        !this.isAlive ||
        task.incarnation !== this.incarnation ||
        !this.tasks.includes(task) ||
        task.phase === 'exited'
      )
        return;
      if (this.isHung) return this.environment.simulator.scheduleAfter(100, go);
      callback();
    };
    this.environment.simulator.scheduleAfter(ms, go);
  }

  private begin(task: FakeTask): void {
    task.phase = 'running';
    this.changed = true;
    if (this.environment.fails(task.jobId, this.name))
      return this.runLater(task, 300, () => this.exit(task, 'error'));
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
      return this.exit(task, 'done');
    }
    for (let i = 0; i < spec.taskCount; i++) this.environment.complete(task.jobId, i);
    for (const m of this.environment.gangTasks(task.jobId, task.attempt))
      if (m.phase === 'running') Object.assign(m, { phase: 'exited', exitReason: 'done' });
    this.changed = true;
  }

  private awaitGang(task: FakeTask, spec: JobSpec): void {
    const check = () => {
      if (task.phase !== 'waiting') return;
      const mates = this.environment.gangTasks(task.jobId, task.attempt);
      if (
        mates.length === spec.taskCount &&
        mates.every((m) => m.phase === 'waiting' || m.phase === 'running')
      )
        return this.begin(task);
      this.runLater(task, 200, check);
    };
    this.runLater(task, 1, check);
    this.runLater(task, 15000, () => task.phase === 'waiting' && this.exit(task, 'alone'));
    const mates = () => {
      if (task.phase !== 'running') {
        this.runLater(task, 500, mates);
        return;
      }
      const all = this.environment.gangTasks(task.jobId, task.attempt);
      const ended = all.filter((m) => m.exitReason === 'done').length;
      if (ended === 0 && all.filter((m) => m.phase !== 'exited').length < spec.taskCount)
        return this.exit(task, 'peers');
      this.runLater(task, 500, mates);
    };
    this.runLater(task, 500, mates);
  }

  private stop(task: FakeTask, graceS: number): void {
    const spec = this.environment.jobSpec(task.jobId);
    if (task.phase === 'running' && spec?.kind === 'gang') this.environment.onGangStop(task);
    if (
      task.phase === 'running' &&
      spec &&
      spec.checkpointIntervalSeconds > 0 &&
      graceS >= spec.checkpointSaveSeconds &&
      graceS > 0
    ) {
      task.phase = 'saving';
      this.runLater(task, spec.checkpointSaveSeconds * 1000, () => {
        task.checkpointSaved = true;
        this.exit(task, 'stopped');
      });
    } else this.exit(task, 'stopped');
    this.changed = true;
  }

  /** Its gang is being stopped and it was not told in time. */
  exitWithGang(task: FakeTask): void {
    if (this.isAlive && this.tasks.includes(task) && task.phase === 'running') this.exit(task, 'peers');
  }

  private exit(task: FakeTask, reason: ExitReason): void {
    task.phase = 'exited';
    task.exitReason = reason;
    this.changed = true;
  }

  die(): void {
    this.isAlive = false;
    this.tasks = [];
  }
}
