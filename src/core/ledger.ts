import { Capacity } from './autoscale.js';
import { EndedAttempts } from './ended-attempts.js';
import { type Cover, coversMachine, Horizons, windowMs } from './horizon.js';
import type { ImageFacts } from './images.js';
import { type Entry, emptySum, isUnstored, type Machine, newMachine, provenAt, sumUp } from './machine.js';
import type { Policy, PolicyInput } from './policy.js';
import { emptyRoom, type Room } from './room.js';
import type {
  Clock,
  CloudPort,
  Held,
  Logger,
  MachineType,
  Objective,
  SchedulerMsg,
  Team,
  Want,
  WorkerPort,
} from './types.js';

export interface SchedulerOptions {
  inst: string;
  token: number;
  teams: Map<string, Team>;
  workers: { reportS: number; leaseS: number; cancelS: number };
  listLagS: number;
  /** Calls a second that the cloud takes. */
  cloudRps: number;
  images: ImageFacts;
  objectives: Objective[];
  /** A first scheduler ever finds no machines of an earlier one on their way. */
  first: boolean;
  clock: Clock;
  log: Logger;
  cloud: CloudPort;
  worker: WorkerPort;
  types(): MachineType[];
  policy(i: PolicyInput): Policy;
  /** Still known to be the leader: new starts, rentals and deletions are allowed. */
  entitled(): boolean;
  send(inst: string, msg: SchedulerMsg): void;
  wake(): void;
  /** A higher token was seen: another scheduler acts. */
  deposed(token: number): void;
  /** Siblings heard from a moment ago. */
  siblings(): number;
  /** What the leader before this one had told of cancellations. */
  inherited(): Cover | null;
  /** Known here to be stored as cancelled, whatever its owner has read. */
  isCancelled(job: string): boolean;
  /** All that any user was told to be cancelled between the two times is known here. */
  told(now: number): { since: number; at: number };
  /** Nothing but this controller's own network explains what is seen. */
  resign(why: string): void;
  /** Held-back commands stand in the way of a stop: a higher token would end them. */
  raise(why: string): void;
}

export interface OwnerRef {
  inst: string;
  gen: number;
  synced: boolean;
  /** When this controller learnt of it. */
  since: number;
}

export interface WantRef {
  want: Want;
  inst: string;
}

/**
 * What the scheduler knows: machines, the entries on them, owners and what they want. Sums are kept by what changes, so
 * that nothing costs by the size of the fleet that need not.
 */
export class Ledger {
  readonly token: number;
  readonly machines = new Map<string, Machine>();
  readonly gone = new Set<string>();
  readonly owners = new Map<string, OwnerRef>();
  readonly wants = new Map<string, Want[]>();
  /** Grants not yet told to be stored, by job, and where each is. */
  readonly holds = new Map<string, Set<number>>();
  readonly grantAt = new Map<number, Machine>();
  /** Machines whose entries changed since they were last summed up. */
  private readonly touched = new Set<Machine>();
  /** Machines that are up and have something free, or something about to be free. */
  readonly withRoom = new Set<Machine>();
  readonly withStops = new Set<Machine>();
  /** Machines on which something may have to be stopped yet. */
  private readonly stopping = new Set<Machine>();
  readonly horizons: Horizons;
  private readonly window: number;
  /** Entries whose owners were asked to stop them. */
  readonly evictions = new Set<Entry>();
  private readonly used = new Map<string, { cpus: number; gpus: number }>();
  readonly total = { services: 0, serviceCpus: 0, batchTasks: 0, ranks: [0, 0, 0, 0] };
  private typeList: MachineType[] = [];
  types = new Map<string, MachineType>();
  scarce: string | null = null;
  scarceAt = Number.NEGATIVE_INFINITY;
  /** Zones most of whose machines are silent while others are heard: cut off rather than dead. */
  cutZones = new Set<string>();
  /** Ordinary machines without replicas that the reserve lies on. */
  spare = new Set<string>();
  /** Until then work is short of places. */
  shortUntil = 0;
  readonly reserved = new Set<Machine>();
  readonly endedAttempts = new EndedAttempts();
  /** Machines whose ended attempts alone keep work waiting: they are removed without waiting for others. */
  blocking: ReadonlySet<string> = new Set();
  /** Machines with places that a waiting gang has gathered: they are kept although they are empty. */
  gathered: ReadonlySet<string> = new Set();
  /** Refused rentals. */
  readonly capacity = new Capacity(5000, 15000);
  readonly startedAt: number;
  readonly serviceShapes = new Map<string, { want: Want; at: number }>();
  dirty = true;
  listed = false;
  policyNow: Policy;

  constructor(readonly o: SchedulerOptions) {
    this.token = o.token;
    this.startedAt = o.clock.now();
    this.horizons = new Horizons([...o.teams.keys()]);
    this.window = windowMs(o.workers);
    this.policyNow = o.policy(this.policyInput());
  }

  isSynced(team: string): boolean {
    return this.owners.get(team)?.synced === true;
  }

  allSynced(): boolean {
    for (const t of this.o.teams.keys()) if (!this.isSynced(t)) return false;
    return true;
  }

  heeds(inst: string, team: string): boolean {
    const r = this.owners.get(team);
    return r?.inst === inst && r.synced;
  }

  fetchS(w: { imageGb: number }): number {
    let slowest = Number.POSITIVE_INFINITY;
    for (const t of this.o.types()) slowest = Math.min(slowest, t.fetchGbPerS);
    return Number.isFinite(slowest) ? w.imageGb / Math.max(0.01, slowest) : 0;
  }

  /**
   * What services need, by image and by whether they must be spread: one kind must not hide the other, and a new
   * scheduler learns both from the replicas that run, not only from those that wait.
   */
  learnShape(w: Want): void {
    const key = `${w.image}|${w.zoneRoom !== null}`;
    if (!this.serviceShapes.has(key)) this.scarceAt = Number.NEGATIVE_INFINITY;
    this.serviceShapes.set(key, { want: w, at: this.o.clock.now() });
  }

  holdOf(id: number): Entry | undefined {
    return this.grantAt.get(id)?.entries.get(`grant#${id}`);
  }

  dropHolds(ids: number[]): void {
    for (const id of ids) {
      const m = this.grantAt.get(id);
      const e = m?.entries.get(`grant#${id}`);
      if (m && e) this.removeEntry(m, e);
    }
    this.dirty = true;
  }

  removeEntry(m: Machine, e: Entry): void {
    m.entries.delete(e.key);
    this.evictions.delete(e);
    if (e.want === 'hold') {
      this.grantAt.delete(e.grant);
      const ids = this.holds.get(e.job);
      ids?.delete(e.grant);
      if (ids?.size === 0) this.holds.delete(e.job);
    }
    this.touch(m);
  }

  touch(m: Machine): void {
    this.touched.add(m);
    this.dirty = true;
  }

  /** Sums up what has changed, so that a pass costs by the changes and not by the size of the fleet. */
  refresh(): void {
    const list = this.o.types();
    if (list !== this.typeList) {
      this.typeList = list;
      this.types = new Map(list.map((t) => [t.name, t]));
      for (const m of this.machines.values()) this.touched.add(m);
    }
    for (const m of this.touched) {
      this.count(m, -1);
      const busy = m.sum.busy;
      m.sum = this.machines.get(m.name) === m ? sumUp(m, this.types.get(m.type)) : emptySum();
      this.count(m, 1);
      const s = m.sum;
      if (busy > 0 && s.busy === 0) m.idleSince = this.o.clock.now();
      if (m.up && s.known && s.free.cpus > 1e-9) this.withRoom.add(m);
      else this.withRoom.delete(m);
      if (m.up && s.known && s.stopping.cpus > 0) this.withStops.add(m);
      else this.withStops.delete(m);
    }
    this.touched.clear();
  }

  private count(m: Machine, sign: 1 | -1): void {
    const s = m.sum;
    for (const t of s.teams) {
      const u = this.used.get(t.team) ?? { cpus: 0, gpus: 0 };
      u.cpus += sign * t.cpus;
      u.gpus += sign * t.gpus;
      this.used.set(t.team, u);
    }
    this.total.services += sign * s.services;
    this.total.serviceCpus += sign * s.serviceCpus;
    this.total.batchTasks += sign * s.batchTasks;
    for (let k = 0; k < 4; k++) this.total.ranks[k]! += sign * s.ranks[k]!;
  }

  // ---- cancellations --------------------------------------------------------------------------------

  /**
   * Before this time whatever users were told to be cancelled has become stops for a team: by what its owner has read,
   * or, from there on, by what all controllers have told one another.
   */
  private horizon(team: string, now: number): number {
    const h = this.horizons.of(team);
    const told = this.o.told(now);
    return h >= told.since ? Math.max(h, told.at) : h;
  }

  private least(now: number): number {
    let h = Number.POSITIVE_INFINITY;
    for (const t of this.o.teams.keys()) h = Math.min(h, this.horizon(t, now));
    return h;
  }

  /** All that was cancelled before some moment young enough has become stops for this team. */
  covered(team: string, now: number): boolean {
    return now - this.horizon(team, now) <= this.window;
  }

  /**
   * May this machine's lease be renewed? The answer that does it carries the stops for what was cancelled before the
   * horizon of every team with tasks there; what was cancelled later ends with this lease, in time. Before all owners
   * have told what they hold nobody knows what is there: then what the last leader told of cancellations must do.
   */
  mayRenew(m: Machine, now: number): boolean {
    if (!this.horizons.whole) {
      const c = this.o.inherited();
      const told = this.o.told(now);
      // What users were told since is known by name: its tasks are stopped wherever a report lists them.
      const at = c && c.at >= told.since ? Math.max(c.at, told.at) : (c?.at ?? 0);
      return coversMachine(c && { ...c, at }, m.name, now, this.window);
    }
    if (m.strangers.size > 0 && this.strange(m)) return now - this.least(now) <= this.window;
    const teams = new Set<string>();
    for (const e of m.entries.values()) if (e.want !== 'reap' && !isUnstored(e)) teams.add(e.team);
    for (const t of teams) if (!this.covered(t, now)) return false;
    if (teams.size > 0) return true;
    for (const t of this.o.teams.keys()) if (this.covered(t, now)) return true;
    return false;
  }

  /** An entry is to be stopped. */
  noteStop(m: Machine, e: Entry): void {
    e.want = 'stop';
    this.stopping.add(m);
  }

  /** Stored as cancelled: stopping its tasks is always right, whoever owns them. Returns where some may run. */
  cancel(job: string): Machine[] {
    const out: Machine[] = [];
    for (const m of this.machines.values())
      for (const e of m.entries.values()) {
        // Also one that is stopped to make room, and may be saving.
        if (e.job !== job || (e.want !== 'run' && e.want !== 'stop')) continue;
        e.graceS = 0;
        this.noteStop(m, e);
        this.touch(m);
        out.push(m);
      }
    return out;
  }

  /** For siblings: see `Cover`. Null as long as some owner has not told what it holds. */
  cover(): { at: number; pending: string[] } | null {
    if (!this.horizons.whole) return null;
    const pending: string[] = [];
    for (const m of this.stopping) {
      let some = false;
      if (this.machines.get(m.name) === m)
        for (const e of m.entries.values())
          if (e.want === 'stop' && !e.settled && e.listed?.phase !== 'exited') some = true;
      if (some) pending.push(m.name);
      else this.stopping.delete(m);
    }
    return { at: this.least(this.o.clock.now()), pending };
  }

  // ---- workers --------------------------------------------------------------------------------------

  machine(name: string): Machine {
    let m = this.machines.get(name);
    if (!m) {
      m = newMachine(name, this.o.clock.now());
      for (const [image, gb] of this.o.images.of(name) ?? []) m.images.set(image, gb);
      this.machines.set(name, m);
    }
    return m;
  }

  // ---- room -----------------------------------------------------------------------------------------

  /** Fit to be given work. A machine not heard of lately gets nothing new. */
  usable(m: Machine, now: number): boolean {
    if (!m.up || m.removing || m.retired || m.leaving || m.leaveAt !== null || m.probeFails > 0) return false;
    if (!m.confirmed || m.deaf > 0) return false;
    // One that only answers direct commands gets nothing new: all that is placed there dies at the end of its lease.
    return now - provenAt(m) <= this.quietMs() * 1.6 && !this.strange(m);
  }

  quietMs(): number {
    return (this.o.workers.reportS * 1.25 + 1) * 1000;
  }

  roomOf(m: Machine, now: number): Room | null {
    const t = this.types.get(m.type);
    if (!t || !m.sum.known) return null;
    const r = emptyRoom(t, m.zone, m.spot, m.name);
    r.images = m.images;
    if (m.reserved && m.reserved.until > now) r.reserved = m.reserved;
    r.penalty = (now - provenAt(m) > this.quietMs() ? 10 : 0) + (m.errors.size > 0 ? 20 : 0);
    r.surplus = this.isSurplus(m, now);
    r.cpus = m.sum.free.cpus;
    r.gpus = m.sum.free.gpus;
    r.mem = m.sum.free.mem;
    return r;
  }

  /** See `Room.surplus`. */
  isSurplus(m: Machine, now: number): boolean {
    return !m.spot && m.sum.services === 0 && !this.spare.has(m.name) && now > this.shortUntil;
  }

  /** Free room of the machines that have any. */
  rooms(now: number): Room[] {
    this.refresh();
    const out: Room[] = [];
    for (const m of this.withRoom) {
      const r = this.usable(m, now) ? this.roomOf(m, now) : null;
      if (r) out.push(r);
    }
    return out;
  }

  /** Runs something nobody claims: how much room it takes is not known. */
  private strange(m: Machine): boolean {
    for (const key of m.strangers.keys())
      if (!m.entries.has(key) && m.tasks.get(key)?.phase !== 'exited') return true;
    return false;
  }

  usage(): Map<string, { cpus: number; gpus: number }> {
    const u = new Map<string, { cpus: number; gpus: number }>();
    for (const t of this.o.teams.keys()) u.set(t, { ...(this.used.get(t) ?? { cpus: 0, gpus: 0 }) });
    return u;
  }

  within(
    u: { cpus: number; gpus: number } | undefined,
    team: string,
    more: { cpus: number; gpus: number },
  ): boolean {
    const t = this.o.teams.get(team);
    if (!t || !u || (t.cpus <= 0 && t.gpus <= 0)) return false;
    return u.cpus + more.cpus <= t.cpus + 1e-9 && (more.gpus <= 0 || u.gpus + more.gpus <= t.gpus + 1e-9);
  }

  // ---- fleet ----------------------------------------------------------------------------------------

  policyInput(): PolicyInput {
    let queued = 0;
    let queuedCpus = 0;
    for (const l of this.wants.values())
      for (const w of l) {
        queued += w.count;
        queuedCpus += w.count * w.cpus;
      }
    const boots = this.o.types().map((t) => t.bootS);
    return {
      services: this.total.services,
      service_cpus: this.total.serviceCpus,
      queued,
      queued_cpus: queuedCpus,
      batch_running: this.total.batchTasks,
      machines: this.machines.size,
      report_s: this.o.workers.reportS,
      lease_s: this.o.workers.leaseS,
      boot_s: boots.length > 0 ? Math.min(...boots) : 30,
    };
  }

  /** Room that services would find if lower work were stopped for them. */
  reserveRooms(now: number): Room[] {
    this.refresh();
    const out: Room[] = [];
    for (const m of this.machines.values()) {
      const b = m.sum.batch;
      if (m.sum.free.cpus + b.cpus <= 1e-9 || !this.usable(m, now)) continue;
      const r = this.roomOf(m, now);
      if (!r) continue;
      r.cpus += b.cpus;
      r.gpus += b.gpus;
      r.mem += b.mem;
      out.push(r);
    }
    return out;
  }

  evictAll(entries: Entry[], now: number, why: string): void {
    const stops = new Map<string, { job: string; idx: number; attempt: number }[]>();
    for (const e of entries) {
      e.evicting = now;
      this.evictions.add(e);
      const m = this.machines.get(e.machine);
      if (m) this.touch(m);
      const inst = this.owners.get(e.team)?.inst;
      if (!inst) continue;
      const l = stops.get(inst) ?? [];
      l.push({ job: e.job, idx: e.idx, attempt: e.attempt });
      stops.set(inst, l);
    }
    for (const [inst, tasks] of stops) this.o.send(inst, { type: 'evict', token: this.token, tasks, why });
  }

  baseWant(e: Omit<Held, 'want'>): Want {
    return {
      job: e.job,
      team: e.team,
      cls: '',
      rank: e.rank,
      order: 0,
      stage: 0,
      count: 1,
      whole: false,
      service: e.service,
      cpus: e.cpus,
      gpus: e.gpus,
      mem: e.mem,
      image: e.image,
      imageGb: e.imageGb,
      estimateS: e.estimateS,
      types: e.types,
      spot: false,
      zone: null,
      together: false,
      zoneRoom: null,
      zoneCap: 1,
      avoid: [],
      near: '',
      patienceS: null,
      aimS: null,
      slackS: null,
      seen: 0,
    };
  }
}
