/** Checks the protocol's invariants about tasks. */

import type { JobSpec } from '../../src/model/job.js';
import type { FakeWorker } from './fake-worker.js';
import type { SimulatedCluster, UserJob } from './simulated-cluster.js';
import type { FakeTask } from './worker-environment.js';

/** Once the faults are over, requests about an accepted job must be answered at least this often. */
const MAX_UNANSWERED_MS = 75_000;
/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/** A task that occupies a machine, with its job. */
interface PlacedTask {
  worker: FakeWorker;
  task: FakeTask;
  job: UserJob;
}

/** Checks the protocol's invariants after each event, against the tasks that are actually on the machines. */
export class InvariantChecker {
  /** Location of each task that occupied a machine at the previous check, by `job/index`. */
  private previousLocations = new Map<string, string>();

  constructor(private readonly cluster: SimulatedCluster) {}

  /** Checks all invariants against the current state. */
  check(): void {
    const { cluster } = this;
    const currentLocations = new Map<string, string>();
    const cpusByTeam = new Map<string, number>();
    for (const worker of cluster.workers.values()) {
      if (!worker.isAlive) continue;
      for (const task of worker.tasks) {
        const job = cluster.jobs.get(task.jobId);
        if (!job || !worker.occupies(task)) continue;
        cpusByTeam.set(job.spec.team, (cpusByTeam.get(job.spec.team) ?? 0) + job.spec.cpus);
        this.checkTask({ worker, task, job }, currentLocations);
      }
    }
    this.checkQuota(cpusByTeam);
    this.checkUserRequestsAnswered();
    this.previousLocations = currentLocations;
  }

  private checkTask({ worker, task, job }: PlacedTask, currentLocations: Map<string, string>): void {
    const { cluster } = this;
    const key = `${task.jobId}/${task.taskIndex}`;
    const location = `${worker.name}#${task.attempt}#${task.incarnation}`;
    if (currentLocations.has(key))
      this.cluster.reportViolation(`ran_twice: ${key} on ${currentLocations.get(key)} and ${location}`);
    currentLocations.set(key, location);
    if (
      job.cancelledAt !== null &&
      cluster.simulator.now - job.cancelledAt > cluster.config.cancellationSeconds * 1000
    )
      this.cluster.reportViolation(`ran_cancelled: ${key} on ${location}`);
    if (this.previousLocations.get(key) === location) return;
    cluster.taskStarts++;
    cluster.serviceLevel.recordStart(task.jobId, task.taskIndex, cluster.simulator.now);
    if (job.cancelledAt !== null) cluster.serviceLevel.startsAfterCancellation++;
    this.checkPlacement(worker, key, job.spec);
  }

  private checkPlacement(worker: FakeWorker, key: string, spec: JobSpec): void {
    if (worker.isSpot && !spec.spotAllowed)
      this.cluster.reportViolation(`wrong_place: ${key} on a spot machine`);
    if (spec.machineTypes && !spec.machineTypes.includes(worker.machineType))
      this.cluster.reportViolation(`wrong_place: ${key} on ${worker.machineType}`);
    if (spec.zone !== null && spec.zone !== worker.zone)
      this.cluster.reportViolation(`wrong_place: ${key} in ${worker.zone}`);
    if (spec.zoneAffinity || spec.zoneAntiAffinity) this.checkZones(worker.zone, spec);
  }

  private checkZones(zone: string, spec: JobSpec): void {
    let tasksInZone = 0;
    let tasksInOtherZones = 0;
    for (const worker of this.cluster.workers.values())
      for (const task of worker.tasks)
        if (task.jobId === spec.id && worker.occupies(task))
          worker.zone === zone ? tasksInZone++ : tasksInOtherZones++;
    if (spec.zoneAffinity && tasksInOtherZones > 0)
      this.cluster.reportViolation(`wrong_place: ${spec.id} in two zones`);
    if (spec.zoneAntiAffinity && tasksInZone > Math.ceil(spec.taskCount / 2))
      this.cluster.reportViolation(`wrong_place: ${spec.id} not spread`);
  }

  /** Checks the CPU quotas of the teams; other resources are not checked. */
  private checkQuota(cpusByTeam: ReadonlyMap<string, number>): void {
    for (const { name, maxCpus } of this.cluster.config.teams)
      if (maxCpus > 0 && (cpusByTeam.get(name) ?? 0) > maxCpus + EPSILON)
        this.cluster.reportViolation(`quota: ${name} uses ${cpusByTeam.get(name)}`);
  }

  private checkUserRequestsAnswered(): void {
    const { jobs, simulator, faultsEndAt } = this.cluster;
    for (const job of jobs.values()) {
      if (!job.accepted || simulator.now - Math.max(job.lastAnsweredAt, faultsEndAt) <= MAX_UNANSWERED_MS)
        continue;
      this.cluster.reportViolation(`forgotten: requests about ${job.spec.id} are not answered`);
      job.lastAnsweredAt = simulator.now;
    }
  }
}
