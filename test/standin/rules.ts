import type { JobSpec } from '../../src/model/job.js';
import type { Task, WorkerStandin } from './worker.js';
import type { UserJob, World } from './world.js';

/** So long an accepted job may go without an answered question once the troubles are over. */
const FORGOTTEN_MS = 75_000;
/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/** The protocol's rules about tasks, checked after each step on what is on the machines. */
export class Rules {
  /** What was on the machines at the last look: task to place. */
  private before = new Map<string, string>();

  constructor(
    private readonly world: World,
    private readonly fault: (text: string) => void,
  ) {}

  check(): void {
    const { world } = this;
    const now = new Map<string, string>();
    const used = new Map<string, number>();
    for (const worker of world.workers.values()) {
      if (!worker.alive) continue;
      for (const task of worker.tasks) {
        const job = world.jobs.get(task.job);
        if (!job || !worker.onMachine(task)) continue;
        used.set(job.spec.team, (used.get(job.spec.team) ?? 0) + job.spec.cpus);
        this.checkTask(worker, task, job, now);
      }
    }
    this.checkQuota(used);
    this.checkForgotten();
    this.before = now;
  }

  private checkTask(worker: WorkerStandin, task: Task, job: UserJob, now: Map<string, string>): void {
    const { world } = this;
    const key = `${task.job}/${task.idx}`;
    const place = `${worker.name}#${task.attempt}#${task.gen}`;
    if (now.has(key)) this.fault(`ran_twice: ${key} on ${now.get(key)} and ${place}`);
    now.set(key, place);
    if (job.cancelledAt !== null && world.sim.now - job.cancelledAt > world.shape.cancelS * 1000)
      this.fault(`ran_cancelled: ${key} on ${place}`);
    if (this.before.get(key) === place) return;
    world.starts++;
    world.service.started(task.job, task.idx, world.sim.now);
    if (job.cancelledAt !== null) world.service.startsAfterCancellation++;
    this.checkPlace(worker, key, job.spec);
  }

  private checkPlace(worker: WorkerStandin, key: string, spec: JobSpec): void {
    if (worker.spot && !spec.spotAllowed) this.fault(`wrong_place: ${key} on a spot machine`);
    if (spec.machineTypes && !spec.machineTypes.includes(worker.type))
      this.fault(`wrong_place: ${key} on ${worker.type}`);
    if (spec.zone !== null && spec.zone !== worker.zone) this.fault(`wrong_place: ${key} in ${worker.zone}`);
    if (spec.zoneAffinity || spec.zoneAntiAffinity) this.checkZones(worker.zone, spec);
  }

  private checkZones(zone: string, spec: JobSpec): void {
    let here = 0;
    let other = 0;
    for (const worker of this.world.workers.values())
      for (const task of worker.tasks)
        if (task.job === spec.id && worker.onMachine(task)) worker.zone === zone ? here++ : other++;
    if (spec.zoneAffinity && other > 0) this.fault(`wrong_place: ${spec.id} in two zones`);
    if (spec.zoneAntiAffinity && here > Math.ceil(spec.taskCount / 2))
      this.fault(`wrong_place: ${spec.id} not spread`);
  }

  private checkQuota(used: ReadonlyMap<string, number>): void {
    for (const { name, maxCpus: cpusMax } of this.world.shape.teams)
      if (cpusMax > 0 && (used.get(name) ?? 0) > cpusMax + EPSILON)
        this.fault(`quota: ${name} uses ${used.get(name)}`);
  }

  private checkForgotten(): void {
    const { jobs, sim, quietFrom } = this.world;
    for (const job of jobs.values()) {
      if (!job.accepted || sim.now - Math.max(job.answeredAt, quietFrom) <= FORGOTTEN_MS) continue;
      this.fault(`forgotten: no question about ${job.spec.id} is answered`);
      job.answeredAt = sim.now;
    }
  }
}
