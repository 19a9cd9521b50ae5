import type { JobSpec } from '../../src/model/job.js';
import type { ClusterSimulation, UserJob } from './cluster-simulation.js';
import type { FakeTask, FakeWorker } from './fake-worker.js';

/** So long an accepted job may go without an answered question once the troubles are over. */
const FORGOTTEN_MS = 75_000;
/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/** The protocol's rules about tasks, checked after each step on what is on the machines. */
export class InvariantChecker {
  /** What was on the machines at the last look: task to place. */
  private before = new Map<string, string>();

  constructor(
    private readonly simulation: ClusterSimulation,
    private readonly reportViolation: (text: string) => void,
  ) {}

  check(): void {
    const { simulation } = this;
    const now = new Map<string, string>();
    const used = new Map<string, number>();
    for (const worker of simulation.workers.values()) {
      if (!worker.isAlive) continue;
      for (const task of worker.tasks) {
        const job = simulation.jobs.get(task.jobId);
        if (!job || !worker.occupies(task)) continue;
        used.set(job.spec.team, (used.get(job.spec.team) ?? 0) + job.spec.cpus);
        this.checkTask(worker, task, job, now);
      }
    }
    this.checkQuota(used);
    this.checkForgotten();
    this.before = now;
  }

  private checkTask(worker: FakeWorker, task: FakeTask, job: UserJob, now: Map<string, string>): void {
    const { simulation } = this;
    const key = `${task.jobId}/${task.taskIndex}`;
    const place = `${worker.name}#${task.attempt}#${task.incarnation}`;
    if (now.has(key)) this.reportViolation(`ran_twice: ${key} on ${now.get(key)} and ${place}`);
    now.set(key, place);
    if (
      job.cancelledAt !== null &&
      simulation.simulator.now - job.cancelledAt > simulation.config.cancellationSeconds * 1000
    )
      this.reportViolation(`ran_cancelled: ${key} on ${place}`);
    if (this.before.get(key) === place) return;
    simulation.taskStarts++;
    simulation.serviceLevel.started(task.jobId, task.taskIndex, simulation.simulator.now);
    if (job.cancelledAt !== null) simulation.serviceLevel.startsAfterCancellation++;
    this.checkPlace(worker, key, job.spec);
  }

  private checkPlace(worker: FakeWorker, key: string, spec: JobSpec): void {
    if (worker.isSpot && !spec.spotAllowed) this.reportViolation(`wrong_place: ${key} on a spot machine`);
    if (spec.machineTypes && !spec.machineTypes.includes(worker.machineType))
      this.reportViolation(`wrong_place: ${key} on ${worker.machineType}`);
    if (spec.zone !== null && spec.zone !== worker.zone)
      this.reportViolation(`wrong_place: ${key} in ${worker.zone}`);
    if (spec.zoneAffinity || spec.zoneAntiAffinity) this.checkZones(worker.zone, spec);
  }

  private checkZones(zone: string, spec: JobSpec): void {
    let here = 0;
    let other = 0;
    for (const worker of this.simulation.workers.values())
      for (const task of worker.tasks)
        if (task.jobId === spec.id && worker.occupies(task)) worker.zone === zone ? here++ : other++;
    if (spec.zoneAffinity && other > 0) this.reportViolation(`wrong_place: ${spec.id} in two zones`);
    if (spec.zoneAntiAffinity && here > Math.ceil(spec.taskCount / 2))
      this.reportViolation(`wrong_place: ${spec.id} not spread`);
  }

  private checkQuota(used: ReadonlyMap<string, number>): void {
    for (const { name, maxCpus: cpusMax } of this.simulation.config.teams)
      if (cpusMax > 0 && (used.get(name) ?? 0) > cpusMax + EPSILON)
        this.reportViolation(`quota: ${name} uses ${used.get(name)}`);
  }

  private checkForgotten(): void {
    const { jobs, simulator, faultsEndAt: quietFrom } = this.simulation;
    for (const job of jobs.values()) {
      if (!job.accepted || simulator.now - Math.max(job.answeredAt, quietFrom) <= FORGOTTEN_MS) continue;
      this.reportViolation(`forgotten: no question about ${job.spec.id} is answered`);
      job.answeredAt = simulator.now;
    }
  }
}
