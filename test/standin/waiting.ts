import type { WorkerStandin } from './worker.js';
import type { World } from './world.js';

/** So long a job may wait once the troubles are over, while a machine that fits has room and its team may use it. */
const MOST_WAIT_MS = 90000;
const EVERY_MS = 1000;

/** Watches for jobs that are left waiting, and for what is accepted and never begins. */
export class Waiting {
  private readonly since = new Map<string, number>();

  constructor(
    private readonly w: World,
    private readonly fault: (text: string) => void,
  ) {
    const look = () => {
      this.look();
      w.sim.after(EVERY_MS, look);
    };
    look();
  }

  private look(): void {
    const { w } = this;
    const now = w.sim.now;
    const used = new Map<string, number>();
    const zones = new Map<string, Map<string, number>>();
    const listed = new Set<string>();
    for (const m of w.workers.values())
      for (const t of m.tasks) {
        if (t.phase === 'exited') continue;
        const s = w.jobs.get(t.job)?.spec;
        if (!s) continue;
        listed.add(`${t.job}/${t.idx}`);
        used.set(s.team, (used.get(s.team) ?? 0) + s.cpus);
        const z = zones.get(t.job) ?? new Map<string, number>();
        z.set(m.zone, (z.get(m.zone) ?? 0) + 1);
        zones.set(t.job, z);
      }
    for (const job of w.jobs.values()) {
      const s = job.spec;
      const over = job.told === 'done' || job.told === 'cancelled';
      let open = 0;
      for (let i = 0; i < s.taskCount; i++)
        if (!w.done.has(`${s.id}/${i}`) && !listed.has(`${s.id}/${i}`)) open++;
      const needed = s.kind === 'gang' ? s.taskCount : 1;
      const limit = w.shape.teams.find((team) => team.name === s.team)?.maxCpus ?? 0;
      const allowed = limit === 0 || (used.get(s.team) ?? 0) + s.cpus * needed <= limit + 1e-9;
      const waits =
        job.accepted && !over && !job.askedCancel && !w.doomed.has(s.id) && open >= needed && allowed;
      if (!waits || this.room(s.id, zones.get(s.id)) < needed) {
        this.since.delete(s.id);
        continue;
      }
      const from = this.since.get(s.id) ?? now;
      this.since.set(s.id, from);
      if (now - Math.max(from, w.quietFrom) <= MOST_WAIT_MS) continue;
      this.fault(`left waiting: ${s.id} of ${s.team}, ${open} of ${s.taskCount} tasks`);
      this.since.delete(s.id);
    }
  }

  /** Tasks of a job that machines in reach could take now. */
  private room(id: string, zones: Map<string, number> | undefined): number {
    const s = this.w.jobs.get(id)!.spec;
    let n = 0;
    for (const m of this.w.workers.values()) {
      if (
        !this.inReach(m) ||
        (m.spot && !s.spotAllowed) ||
        (s.machineTypes && !s.machineTypes.includes(m.type))
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
        cpus -= this.w.jobs.get(t.job)?.spec.cpus ?? 0;
        memoryGb -= this.w.jobs.get(t.job)?.spec.memoryGb ?? 0;
      }
      n += Math.max(0, Math.floor(Math.min(cpus / s.cpus, memoryGb / s.memoryGb) + 1e-9));
    }
    return n;
  }

  private inReach(m: WorkerStandin): boolean {
    const { w } = this;
    if (!m.alive || m.hung || m.noticeAt !== null || w.faulty.has(m.name)) return false;
    if (w.net.mute.has(m.name) || w.net.deaf.has(m.name)) return false;
    return w.hosts.every((h) => w.net.isCut(h, m.name) === null);
  }
}
