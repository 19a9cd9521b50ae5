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
  sendHeartbeat(host: string, heartbeat: Heartbeat, reply: (a: HeartbeatResult) => void): void;
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
  occupies(t: FakeTask): boolean {
    return this.isAlive && t.phase !== 'fetching' && t.phase !== 'exited';
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
      tasks: this.tasks.map((t) => ({
        jobId: t.jobId,
        taskIndex: t.taskIndex,
        attempt: t.attempt,
        phase: t.phase,
        exitReason: t.exitReason,
        checkpointSaved: t.checkpointSaved,
      })),
    };
  }

  private loop(): void {
    if (!this.isAlive) return;
    const sim = this.environment.simulator;
    if (!this.isHung) {
      if (sim.now - this.lastAnswered > this.timing.leaseMs) {
        this.tasks = [];
        this.agentEpoch++;
        this.incarnation++;
        this.lastAnswered = sim.now;
        this.changed = true;
      }
      if (
        !this.heartbeatInFlight &&
        (sim.now >= this.nextAt ||
          (this.changed && sim.now >= this.nextAt - this.timing.reportMs * 1.25 + 500))
      )
        this.sendHeartbeat();
    }
    sim.scheduleAfter(50, () => this.loop());
  }

  private sendHeartbeat(): void {
    const sim = this.environment.simulator;
    const sent = sim.now;
    const agentEpoch = this.agentEpoch;
    const body = this.makeHeartbeat();
    this.environment.duplicateHeartbeat(body);
    this.heartbeatInFlight = true;
    this.changed = false;
    this.nextAt = sim.now + this.timing.reportMs * sim.between(0.75, 1.25);
    const host = this.target;
    this.environment.network.call<HeartbeatResult>(
      this.name,
      host,
      4000,
      (reply) => this.environment.sendHeartbeat(host, body, reply),
      (a) => {
        const handle = () => {
          if (this.isHung) return sim.scheduleAfter(100, handle);
          this.heartbeatInFlight = false;
          if (!this.isAlive) return;
          // Answers are dropped after 4 s, also by a machine that hung meanwhile.
          if (!a.got || a.value.type === 'unavailable' || sim.now - sent > 4000)
            return this.tryNextController(1000);
          if (a.value.type === 'redirected') {
            if (
              a.value.leaderName &&
              a.value.leaderName !== host &&
              this.environment.nodeNames().includes(a.value.leaderName)
            ) {
              this.target = a.value.leaderName;
              this.nextAt = sim.now + sim.between(0, 500);
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
      const t = this.tasks.find(
        (x) =>
          x.jobId === command.jobId && x.taskIndex === command.taskIndex && x.attempt === command.attempt,
      );
      if (command.type === 'start') {
        if (!t) this.start(command.jobId, command.taskIndex, command.attempt);
      } else if (command.type === 'stop') {
        if (t && t.phase !== 'exited') this.stop(t, command.gracePeriodSeconds);
      } else if (t?.phase === 'exited') this.tasks = this.tasks.filter((x) => x !== t);
    }
    this.changed ||= commands.length > 0;
  }

  private start(job: string, taskIndex: number, attempt: number): void {
    const s = this.environment.jobSpec(job);
    const t: FakeTask = {
      jobId: job,
      taskIndex: taskIndex,
      attempt,
      phase: 'fetching',
      exitReason: null,
      checkpointSaved: false,
      incarnation: this.incarnation,
    };
    const live = this.tasks.filter((x) => x.phase !== 'exited');
    if (!s) Object.assign(t, { phase: 'exited', exitReason: 'unknown' });
    else if (this.tasks.some((x) => x.jobId === job && x.taskIndex === taskIndex)) {
      this.environment.onRefusal(job, this.name, 'busy');
      Object.assign(t, { phase: 'exited', exitReason: 'busy' });
    } else {
      let cpus = s.cpus;
      let mem = s.memoryGb;
      for (const x of live) {
        cpus += this.environment.jobSpec(x.jobId)?.cpus ?? 0;
        mem += this.environment.jobSpec(x.jobId)?.memoryGb ?? 0;
      }
      if (cpus > this.size.cpus + 1e-9 || mem > this.size.memoryGb + 1e-9) {
        this.environment.onRefusal(job, this.name, 'no_room');
        Object.assign(t, { phase: 'exited', exitReason: 'no_room' });
      }
    }
    this.tasks.push(t);
    this.changed = true;
    if (t.phase === 'exited' || !s) return;
    this.environment.onStart(job, taskIndex, attempt);
    const fetch = this.images.has(s.image) ? 1 : (s.imageGb / this.size.imageFetchGbPerSecond) * 1000;
    this.runLater(t, fetch, () => {
      this.images.add(s.image);
      // "If the task is started again, it exits with `done` as soon as it has its image."
      if (this.environment.isComplete(job, taskIndex)) this.exit(t, 'done');
      else if (s.kind === 'gang') {
        t.phase = 'waiting';
        this.awaitGang(t, s);
      } else this.begin(t);
      this.changed = true;
    });
  }

  private runLater(t: FakeTask, ms: number, fn: () => void): void {
    const go = () => {
      if (
        !this.isAlive ||
        t.incarnation !== this.incarnation ||
        !this.tasks.includes(t) ||
        t.phase === 'exited'
      )
        return;
      if (this.isHung) return this.environment.simulator.scheduleAfter(100, go);
      fn();
    };
    this.environment.simulator.scheduleAfter(ms, go);
  }

  private begin(t: FakeTask): void {
    t.phase = 'running';
    this.changed = true;
    if (this.environment.fails(t.jobId, this.name)) return this.runLater(t, 300, () => this.exit(t, 'error'));
    const ms = this.environment.runDurationMs(t.jobId, t.taskIndex);
    if (Number.isFinite(ms))
      this.runLater(t, ms, () => {
        if (t.phase !== 'running') return;
        this.finish(t);
      });
  }

  /** A gang completes together: when one task is done, all are. */
  private finish(t: FakeTask): void {
    const s = this.environment.jobSpec(t.jobId);
    if (s?.kind !== 'gang') {
      this.environment.complete(t.jobId, t.taskIndex);
      return this.exit(t, 'done');
    }
    for (let i = 0; i < s.taskCount; i++) this.environment.complete(t.jobId, i);
    for (const m of this.environment.gangTasks(t.jobId, t.attempt))
      if (m.phase === 'running') Object.assign(m, { phase: 'exited', exitReason: 'done' });
    this.changed = true;
  }

  private awaitGang(t: FakeTask, s: JobSpec): void {
    const check = () => {
      if (t.phase !== 'waiting') return;
      const mates = this.environment.gangTasks(t.jobId, t.attempt);
      if (mates.length === s.taskCount && mates.every((m) => m.phase === 'waiting' || m.phase === 'running'))
        return this.begin(t);
      this.runLater(t, 200, check);
    };
    this.runLater(t, 1, check);
    this.runLater(t, 15000, () => t.phase === 'waiting' && this.exit(t, 'alone'));
    const mates = () => {
      if (t.phase !== 'running') {
        this.runLater(t, 500, mates);
        return;
      }
      const all = this.environment.gangTasks(t.jobId, t.attempt);
      const ended = all.filter((m) => m.exitReason === 'done').length;
      if (ended === 0 && all.filter((m) => m.phase !== 'exited').length < s.taskCount)
        return this.exit(t, 'peers');
      this.runLater(t, 500, mates);
    };
    this.runLater(t, 500, mates);
  }

  private stop(t: FakeTask, graceS: number): void {
    const s = this.environment.jobSpec(t.jobId);
    if (t.phase === 'running' && s?.kind === 'gang') this.environment.onGangStop(t);
    if (
      t.phase === 'running' &&
      s &&
      s.checkpointIntervalSeconds > 0 &&
      graceS >= s.checkpointSaveSeconds &&
      graceS > 0
    ) {
      t.phase = 'saving';
      this.runLater(t, s.checkpointSaveSeconds * 1000, () => {
        t.checkpointSaved = true;
        this.exit(t, 'stopped');
      });
    } else this.exit(t, 'stopped');
    this.changed = true;
  }

  /** Its gang is being stopped and it was not told in time. */
  exitWithGang(t: FakeTask): void {
    if (this.isAlive && this.tasks.includes(t) && t.phase === 'running') this.exit(t, 'peers');
  }

  private exit(t: FakeTask, reason: ExitReason): void {
    t.phase = 'exited';
    t.exitReason = reason;
    this.changed = true;
  }

  die(): void {
    this.isAlive = false;
    this.tasks = [];
  }
}
