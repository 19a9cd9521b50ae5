import type { ClusterSimulation } from './cluster-simulation.js';
import type { FakeWorker } from './fake-worker.js';

/** So long a job may wait once the troubles are over, while a machine that fits has room and its team may use it. */
const MAX_WAIT_MS = 90000;
const CHECK_INTERVAL_MS = 1000;

/** Watches for jobs that are left waiting, and for what is accepted and never begins. */
export class StarvationChecker {
  private readonly since = new Map<string, number>();

  constructor(
    private readonly simulation: ClusterSimulation,
    private readonly reportViolation: (text: string) => void,
  ) {
    const look = () => {
      this.check();
      simulation.simulator.scheduleAfter(CHECK_INTERVAL_MS, look);
    };
    look();
  }

  private check(): void {
    const { simulation } = this;
    const now = simulation.simulator.now;
    const used = new Map<string, number>();
    const zones = new Map<string, Map<string, number>>();
    const listed = new Set<string>();
    for (const worker of simulation.workers.values())
      for (const task of worker.tasks) {
        if (task.phase === 'exited') continue;
        const spec = simulation.jobs.get(task.jobId)?.spec;
        if (!spec) continue;
        listed.add(`${task.jobId}/${task.taskIndex}`);
        used.set(spec.team, (used.get(spec.team) ?? 0) + spec.cpus);
        const z = zones.get(task.jobId) ?? new Map<string, number>();
        z.set(worker.zone, (z.get(worker.zone) ?? 0) + 1);
        zones.set(task.jobId, z);
      }
    for (const job of simulation.jobs.values()) {
      const spec = job.spec;
      const over = job.reportedState === 'done' || job.reportedState === 'cancelled';
      let open = 0;
      for (let i = 0; i < spec.taskCount; i++)
        if (!simulation.completedTasks.has(`${spec.id}/${i}`) && !listed.has(`${spec.id}/${i}`)) open++;
      const needed = spec.kind === 'gang' ? spec.taskCount : 1;
      const limit = simulation.config.teams.find((team) => team.name === spec.team)?.maxCpus ?? 0;
      const allowed = limit === 0 || (used.get(spec.team) ?? 0) + spec.cpus * needed <= limit + 1e-9;
      const waits =
        job.accepted &&
        !over &&
        !job.cancelRequested &&
        !simulation.failingJobs.has(spec.id) &&
        open >= needed &&
        allowed;
      if (!waits || this.freeTaskSlots(spec.id, zones.get(spec.id)) < needed) {
        this.since.delete(spec.id);
        continue;
      }
      const from = this.since.get(spec.id) ?? now;
      this.since.set(spec.id, from);
      if (now - Math.max(from, simulation.faultsEndAt) <= MAX_WAIT_MS) continue;
      this.reportViolation(`left waiting: ${spec.id} of ${spec.team}, ${open} of ${spec.taskCount} tasks`);
      this.since.delete(spec.id);
    }
  }

  /** Tasks of a job that machines in reach could take now. */
  private freeTaskSlots(id: string, zones: Map<string, number> | undefined): number {
    const spec = this.simulation.jobs.get(id)!.spec;
    let n = 0;
    for (const worker of this.simulation.workers.values()) {
      if (
        !this.isReachable(worker) ||
        (worker.isSpot && !spec.spotAllowed) ||
        (spec.machineTypes && !spec.machineTypes.includes(worker.machineType))
      )
        continue;
      if (spec.zone !== null && spec.zone !== worker.zone) continue;
      if (
        spec.zoneAntiAffinity &&
        spec.taskCount > 1 &&
        (zones?.get(worker.zone) ?? 0) >= Math.ceil(spec.taskCount / 2)
      )
        continue;
      if (spec.zoneAffinity && zones && zones.size > 0 && !zones.has(worker.zone)) continue;
      let cpus = worker.size.cpus;
      let memoryGb = worker.size.memoryGb;
      for (const task of worker.tasks) {
        if (task.phase === 'exited') continue;
        cpus -= this.simulation.jobs.get(task.jobId)?.spec.cpus ?? 0;
        memoryGb -= this.simulation.jobs.get(task.jobId)?.spec.memoryGb ?? 0;
      }
      n += Math.max(0, Math.floor(Math.min(cpus / spec.cpus, memoryGb / spec.memoryGb) + 1e-9));
    }
    return n;
  }

  private isReachable(worker: FakeWorker): boolean {
    const { simulation } = this;
    if (
      !worker.isAlive ||
      worker.isHung ||
      worker.evictionAt !== null ||
      simulation.faultyMachines.has(worker.name)
    )
      return false;
    if (
      simulation.network.unreachableOutbound.has(worker.name) ||
      simulation.network.unreachableInbound.has(worker.name)
    )
      return false;
    return simulation.nodeNames.every((nodeName) => simulation.network.isCut(nodeName, worker.name) === null);
  }
}
