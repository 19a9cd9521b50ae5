/** The protocol's invariants about tasks. */

import type { JobSpec } from '../../src/model/job.js';
import type { FakeWorker } from './fake-worker.js';
import type { SimulatedCluster, UserJob } from './simulated-cluster.js';
import type { FakeTask } from './worker-environment.js';

/** So long an accepted job may go without an answered question once the faults are over. */
const FORGOTTEN_MS = 75_000;
/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/** A task of a known job that is on a machine. */
interface PlacedTask {
  worker: FakeWorker;
  task: FakeTask;
  job: UserJob;
}

/** The protocol's invariants about tasks, checked after each step on what is on the machines. */
export class InvariantChecker {
  /** What was on the machines at the last check: task to place. */
  private before = new Map<string, string>();

  constructor(private readonly cluster: SimulatedCluster) {}

  /** Checks all invariants on the state as it is now. */
  check(): void {
    const { cluster } = this;
    const now = new Map<string, string>();
    const used = new Map<string, number>();
    for (const worker of cluster.workers.values()) {
      if (!worker.isAlive) continue;
      for (const task of worker.tasks) {
        const job = cluster.jobs.get(task.jobId);
        if (!job || !worker.occupies(task)) continue;
        used.set(job.spec.team, (used.get(job.spec.team) ?? 0) + job.spec.cpus);
        this.checkTask({ worker, task, job }, now);
      }
    }
    this.checkQuota(used);
    this.checkForgotten();
    this.before = now;
  }

  private checkTask({ worker, task, job }: PlacedTask, now: Map<string, string>): void {
    const { cluster } = this;
    const key = `${task.jobId}/${task.taskIndex}`;
    const place = `${worker.name}#${task.attempt}#${task.incarnation}`;
    if (now.has(key)) this.cluster.reportViolation(`ran_twice: ${key} on ${now.get(key)} and ${place}`);
    now.set(key, place);
    if (
      job.cancelledAt !== null &&
      cluster.simulator.now - job.cancelledAt > cluster.config.cancellationSeconds * 1000
    )
      this.cluster.reportViolation(`ran_cancelled: ${key} on ${place}`);
    if (this.before.get(key) === place) return;
    cluster.taskStarts++;
    cluster.serviceLevel.started(task.jobId, task.taskIndex, cluster.simulator.now);
    if (job.cancelledAt !== null) cluster.serviceLevel.startsAfterCancellation++;
    this.checkPlace(worker, key, job.spec);
  }

  private checkPlace(worker: FakeWorker, key: string, spec: JobSpec): void {
    if (worker.isSpot && !spec.spotAllowed)
      this.cluster.reportViolation(`wrong_place: ${key} on a spot machine`);
    if (spec.machineTypes && !spec.machineTypes.includes(worker.machineType))
      this.cluster.reportViolation(`wrong_place: ${key} on ${worker.machineType}`);
    if (spec.zone !== null && spec.zone !== worker.zone)
      this.cluster.reportViolation(`wrong_place: ${key} in ${worker.zone}`);
    if (spec.zoneAffinity || spec.zoneAntiAffinity) this.checkZones(worker.zone, spec);
  }

  private checkZones(zone: string, spec: JobSpec): void {
    let here = 0;
    let other = 0;
    for (const worker of this.cluster.workers.values())
      for (const task of worker.tasks)
        if (task.jobId === spec.id && worker.occupies(task)) worker.zone === zone ? here++ : other++;
    if (spec.zoneAffinity && other > 0) this.cluster.reportViolation(`wrong_place: ${spec.id} in two zones`);
    if (spec.zoneAntiAffinity && here > Math.ceil(spec.taskCount / 2))
      this.cluster.reportViolation(`wrong_place: ${spec.id} not spread`);
  }

  private checkQuota(used: ReadonlyMap<string, number>): void {
    for (const { name, maxCpus } of this.cluster.config.teams)
      if (maxCpus > 0 && (used.get(name) ?? 0) > maxCpus + EPSILON)
        this.cluster.reportViolation(`quota: ${name} uses ${used.get(name)}`);
  }

  private checkForgotten(): void {
    const { jobs, simulator, faultsEndAt: quietFrom } = this.cluster;
    for (const job of jobs.values()) {
      if (!job.accepted || simulator.now - Math.max(job.answeredAt, quietFrom) <= FORGOTTEN_MS) continue;
      this.cluster.reportViolation(`forgotten: no question about ${job.spec.id} is answered`);
      job.answeredAt = simulator.now;
    }
  }
}
