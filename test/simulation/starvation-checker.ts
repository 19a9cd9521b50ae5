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
    const { simulation: w } = this;
    const now = w.simulator.now;
    const used = new Map<string, number>();
    const zones = new Map<string, Map<string, number>>();
    const listed = new Set<string>();
    for (const m of w.workers.values())
      for (const t of m.tasks) {
        if (t.phase === 'exited') continue;
        const s = w.jobs.get(t.jobId)?.spec;
        if (!s) continue;
        listed.add(`${t.jobId}/${t.taskIndex}`);
        used.set(s.team, (used.get(s.team) ?? 0) + s.cpus);
        const z = zones.get(t.jobId) ?? new Map<string, number>();
        z.set(m.zone, (z.get(m.zone) ?? 0) + 1);
        zones.set(t.jobId, z);
      }
    for (const job of w.jobs.values()) {
      const s = job.spec;
      const over = job.reportedState === 'done' || job.reportedState === 'cancelled';
      let open = 0;
      for (let i = 0; i < s.taskCount; i++)
        if (!w.completedTasks.has(`${s.id}/${i}`) && !listed.has(`${s.id}/${i}`)) open++;
      const needed = s.kind === 'gang' ? s.taskCount : 1;
      const limit = w.config.teams.find((team) => team.name === s.team)?.maxCpus ?? 0;
      const allowed = limit === 0 || (used.get(s.team) ?? 0) + s.cpus * needed <= limit + 1e-9;
      const waits =
        job.accepted &&
        !over &&
        !job.cancelRequested &&
        !w.failingJobs.has(s.id) &&
        open >= needed &&
        allowed;
      if (!waits || this.freeTaskSlots(s.id, zones.get(s.id)) < needed) {
        this.since.delete(s.id);
        continue;
      }
      const from = this.since.get(s.id) ?? now;
      this.since.set(s.id, from);
      if (now - Math.max(from, w.faultsEndAt) <= MAX_WAIT_MS) continue;
      this.reportViolation(`left waiting: ${s.id} of ${s.team}, ${open} of ${s.taskCount} tasks`);
      this.since.delete(s.id);
    }
  }

  /** Tasks of a job that machines in reach could take now. */
  private freeTaskSlots(id: string, zones: Map<string, number> | undefined): number {
    const s = this.simulation.jobs.get(id)!.spec;
    let n = 0;
    for (const m of this.simulation.workers.values()) {
      if (
        !this.isReachable(m) ||
        (m.isSpot && !s.spotAllowed) ||
        (s.machineTypes && !s.machineTypes.includes(m.machineType))
      )
        continue;
      if (s.zone !== null && s.zone !== m.zone) continue;
      if (s.zoneAntiAffinity && s.taskCount > 1 && (zones?.get(m.zone) ?? 0) >= Math.ceil(s.taskCount / 2))
        continue;
      if (s.zoneAffinity && zones && zones.size > 0 && !zones.has(m.zone)) continue;
      let cpus = m.size.cpus;
      let memoryGb = m.size.memoryGb;
      for (const t of m.tasks) {
        if (t.phase === 'exited') continue;
        cpus -= this.simulation.jobs.get(t.jobId)?.spec.cpus ?? 0;
        memoryGb -= this.simulation.jobs.get(t.jobId)?.spec.memoryGb ?? 0;
      }
      n += Math.max(0, Math.floor(Math.min(cpus / s.cpus, memoryGb / s.memoryGb) + 1e-9));
    }
    return n;
  }

  private isReachable(m: FakeWorker): boolean {
    const { simulation: w } = this;
    if (!m.isAlive || m.isHung || m.evictionAt !== null || w.faultyMachines.has(m.name)) return false;
    if (w.network.unreachableOutbound.has(m.name) || w.network.unreachableInbound.has(m.name)) return false;
    return w.nodeNames.every((h) => w.network.isCut(h, m.name) === null);
  }
}
