/** Checks that no accepted job is left waiting while it could run. */

import type { JobSpec } from '../../src/model/job.js';
import type { FakeWorker } from './fake-worker.js';
import type { SimulatedCluster, UserJob } from './simulated-cluster.js';

/** Maximum time, once the faults are over, that a job may wait while machines and its quota have room. */
const MAX_WAIT_MS = 90_000;
const CHECK_INTERVAL_MS = 1000;
/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/** Counts the tasks on all machines, for one check. */
class MachineUsage {
  /** Tasks that any worker lists as not exited, as `job/index`. */
  readonly listedTasks = new Set<string>();
  /** CPUs of the listed tasks by team. */
  readonly cpusByTeam = new Map<string, number>();
  /** Number of listed tasks by job and zone. */
  readonly tasksByZone = new Map<string, Map<string, number>>();

  constructor(cluster: SimulatedCluster) {
    for (const worker of cluster.workers.values())
      for (const task of worker.tasks) {
        const spec = cluster.jobs.get(task.jobId)?.spec;
        if (task.phase !== 'exited' && spec) this.add(spec, task.taskIndex, worker.zone);
      }
  }

  private add(spec: JobSpec, taskIndex: number, zone: string): void {
    this.listedTasks.add(`${spec.id}/${taskIndex}`);
    this.cpusByTeam.set(spec.team, (this.cpusByTeam.get(spec.team) ?? 0) + spec.cpus);
    const zones = this.tasksByZone.get(spec.id) ?? new Map<string, number>();
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
    this.tasksByZone.set(spec.id, zones);
  }
}

/**
 * Reports accepted jobs with tasks that have been waiting for more than `MAX_WAIT_MS` although they could
 * run.
 */
export class StarvationChecker {
  /** Time since which each job has been waiting although it could run. */
  private readonly waitingSince = new Map<string, number>();

  constructor(private readonly cluster: SimulatedCluster) {}

  /** Checks now and then once a second. */
  start(): void {
    this.check();
    this.cluster.simulator.scheduleAfter(CHECK_INTERVAL_MS, () => this.start());
  }

  private check(): void {
    const { cluster, waitingSince } = this;
    const { now } = cluster.simulator;
    const usage = new MachineUsage(cluster);
    for (const job of cluster.jobs.values()) {
      const { spec } = job;
      const waitingTasks = this.waitingTasks(spec, usage);
      if (!this.couldRun(job, waitingTasks, usage)) {
        waitingSince.delete(spec.id);
        continue;
      }
      const since = waitingSince.get(spec.id) ?? now;
      waitingSince.set(spec.id, since);
      if (now - Math.max(since, cluster.faultsEndAt) <= MAX_WAIT_MS) continue;
      cluster.reportViolation(
        `left waiting: ${spec.id} of ${spec.team}, ${waitingTasks} of ${spec.taskCount} tasks`,
      );
      waitingSince.delete(spec.id);
    }
  }

  private waitingTasks(spec: JobSpec, { listedTasks }: MachineUsage): number {
    const { completedTasks } = this.cluster;
    let waiting = 0;
    for (let index = 0; index < spec.taskCount; index++) {
      const task = `${spec.id}/${index}`;
      if (!completedTasks.has(task) && !listedTasks.has(task)) waiting++;
    }
    return waiting;
  }

  /** Whether a task of the job, or all tasks of a gang, could start now within quota and free capacity. */
  private couldRun(job: UserJob, waitingTasks: number, usage: MachineUsage): boolean {
    const { spec } = job;
    const isFinal = job.reportedState === 'done' || job.reportedState === 'cancelled';
    if (!job.accepted || isFinal || job.cancelRequested || this.cluster.failingJobs.has(spec.id))
      return false;
    const neededTasks = spec.kind === 'gang' ? spec.taskCount : 1;
    if (waitingTasks < neededTasks) return false;
    const maxCpus = this.cluster.config.teams.find((team) => team.name === spec.team)?.maxCpus ?? 0;
    const usedCpus = (usage.cpusByTeam.get(spec.team) ?? 0) + spec.cpus * neededTasks;
    if (maxCpus !== 0 && usedCpus > maxCpus + EPSILON) return false;
    return this.freeSlots(spec, usage.tasksByZone.get(spec.id)) >= neededTasks;
  }

  /** Number of slots for tasks of a job on machines that every controller can reach. */
  private freeSlots(spec: JobSpec, tasksByZone: ReadonlyMap<string, number> | undefined): number {
    let slots = 0;
    for (const worker of this.cluster.workers.values()) {
      if (!this.isReachable(worker) || !isMachineAllowed(spec, worker)) continue;
      if (!isZoneAllowed(spec, worker.zone, tasksByZone)) continue;
      let { cpus, memoryGb } = worker.resources;
      for (const task of worker.tasks) {
        if (task.phase === 'exited') continue;
        cpus -= this.cluster.jobs.get(task.jobId)?.spec.cpus ?? 0;
        memoryGb -= this.cluster.jobs.get(task.jobId)?.spec.memoryGb ?? 0;
      }
      slots += Math.max(0, Math.floor(Math.min(cpus / spec.cpus, memoryGb / spec.memoryGb) + EPSILON));
    }
    return slots;
  }

  private isReachable(worker: FakeWorker): boolean {
    const { network, nodeNames, faultyMachines } = this.cluster;
    if (!worker.isAlive || worker.isHung || worker.evictionAt !== null) return false;
    if (faultyMachines.has(worker.name)) return false;
    if (network.unreachableOutbound.has(worker.name) || network.unreachableInbound.has(worker.name))
      return false;
    return nodeNames.every((nodeName) => network.cutModeOf(nodeName, worker.name) === null);
  }
}

function isMachineAllowed(spec: JobSpec, worker: FakeWorker): boolean {
  if (worker.isSpot && !spec.spotAllowed) return false;
  return !spec.machineTypes || spec.machineTypes.includes(worker.machineType);
}

function isZoneAllowed(
  spec: JobSpec,
  zone: string,
  tasksByZone: ReadonlyMap<string, number> | undefined,
): boolean {
  if (spec.zone !== null && spec.zone !== zone) return false;
  const tasksInZone = tasksByZone?.get(zone) ?? 0;
  if (spec.zoneAntiAffinity && spec.taskCount > 1 && tasksInZone >= Math.ceil(spec.taskCount / 2))
    return false;
  return !spec.zoneAffinity || !tasksByZone || tasksByZone.size === 0 || tasksByZone.has(zone);
}
