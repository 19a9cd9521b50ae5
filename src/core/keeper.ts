import { AIM_MARGIN, Capacity, cheapest, type PriceInput, planRentals, type Rental } from './autoscale.js';
import type { ImageFacts } from './images.js';
import {
  type Entry,
  emptySum,
  isNewer,
  type Machine,
  newEntry,
  newMachine,
  sumUp,
  takesRoom,
} from './machine.js';
import type { Policy, PolicyInput } from './policy.js';
import { allowed, emptyRoom, fill, fits, type Room, slots, take } from './room.js';
import type {
  Clock,
  CloudPort,
  Grant,
  Held,
  KeeperMsg,
  ListedMachine,
  Logger,
  MachineType,
  Objective,
  OwnerMsg,
  Seen,
  Team,
  Want,
  WorkerCommand,
  WorkerPort,
  WorkerReport,
} from './types.js';
import { taskKey } from './types.js';

export interface KeeperOptions {
  inst: string;
  token: number;
  teams: Map<string, Team>;
  workers: { reportS: number; leaseS: number; cancelS: number };
  listLagS: number;
  /** Calls a second that the cloud takes. */
  cloudRps: number;
  images: ImageFacts;
  objectives: Objective[];
  /** A first keeper ever finds no machines of an earlier one on their way. */
  first: boolean;
  clock: Clock;
  log: Logger;
  cloud: CloudPort;
  worker: WorkerPort;
  types(): MachineType[];
  policy(i: PolicyInput): Policy;
  /** Still known to be the leader: new starts, rentals and deletions are allowed. */
  entitled(): boolean;
  send(inst: string, msg: KeeperMsg): void;
  wake(): void;
  /** A higher token was seen: another keeper acts. */
  deposed(token: number): void;
  /** Nothing but this controller's own network explains what is seen. */
  resign(why: string): void;
  /** Held-back commands stand in the way of a stop: a higher token would end them. */
  raise(why: string): void;
}

interface OwnerRef {
  inst: string;
  gen: number;
  synced: boolean;
}

interface WantRef {
  want: Want;
  inst: string;
}

const COMMANDS_AT_ONCE = 200;
/** Moves of replicas earned at each look for machines to empty, per running replica, and most saved up. */
const MOVES_PER_REPLICA = 0.004;
const MOST_MOVES = 8;
/** Machines looked at for emptying at a time. */
const MOST_TRIES = 60;
/** Part of an aim on waiting after which lower work is stopped for it. */
const STOP_AFTER = 0.25;
/** How far ahead places that come free are counted on. */
const MOST_PATIENCE_S = 120;

/** The elected leader's part: machines, reports, room. It stores nothing; owners and workers tell it all. */
export class Keeper {
  readonly token: number;
  private readonly machines = new Map<string, Machine>();
  private readonly gone = new Set<string>();
  private readonly owners = new Map<string, OwnerRef>();
  private readonly wants = new Map<string, Want[]>();
  /** Grants not yet told to be stored, by job, and where each is. */
  private readonly holds = new Map<string, Set<number>>();
  private readonly grantAt = new Map<number, Machine>();
  /** Machines whose entries changed since they were last summed up. */
  private readonly touched = new Set<Machine>();
  /** Machines that are up and have something free, or something about to be free. */
  private readonly withRoom = new Set<Machine>();
  private readonly withStops = new Set<Machine>();
  /** Machines to which something may have to be sent. */
  private readonly toDirect = new Set<Machine>();
  private readonly used = new Map<string, { cpus: number; gpus: number }>();
  private readonly total = { services: 0, serviceCpus: 0, batchTasks: 0, ranks: [0, 0, 0, 0] };
  private typeList: MachineType[] = [];
  private types = new Map<string, MachineType>();
  private readonly parts = new Map<string, { sync: number; held: Held[] }>();
  private scarce: string | null = null;
  private scarceAt = Number.NEGATIVE_INFINITY;
  /** Ordinary machines without replicas that the reserve lies on. */
  private spare = new Set<string>();
  private readonly reserved = new Set<Machine>();
  private median = { at: Number.NEGATIVE_INFINITY, value: 0 };
  private readonly declined = new Map<string, number>();
  private readonly capacity = new Capacity(5000, 15000);
  private readonly outbox = new Map<string, Seen[]>();
  private readonly startedAt: number;
  private readonly serviceShapes = new Map<string, { want: Want; at: number }>();
  /** Classes with an aim on waiting, and the mean size of their jobs. */
  private readonly waits = new Map<string, number>();
  private guaranteeS = Number.POSITIVE_INFINITY;
  /** Since when a job's work has found no room. */
  private readonly unmet = new Map<string, number>();
  private readonly batchShapes = new Map<string, { want: Want; mean: number }>();
  private rentalsOut = new Map<string, Rental>();
  private claims = 0;
  private grants = 0;
  private dirty = true;
  private nextPass = 0;
  private passTimer = false;
  private nextScale = 0;
  private nextList = 0;
  private nextAsk = 0;
  private nextMove = 0;
  private nextLog = 0;
  private moveCredit = 0;
  /** What became of the machines looked at for emptying: for the log. */
  private lastMoves: Record<string, number> = {};
  private listed = false;
  private listing = false;
  private removeBusy = false;
  private removeRetryAt = 0;
  private suspectSince = 0;
  /** Replicas on silent machines that have no room elsewhere yet. */
  private readonly rescue = new Map<string, Want[]>();
  private readonly removeQueue = new Set<string>();
  policyNow: Policy;

  constructor(private readonly o: KeeperOptions) {
    this.token = o.token;
    this.startedAt = o.clock.now();
    for (const a of o.objectives) {
      if (a.kind === 'wait') this.waits.set(a.cls, Math.min(a.withinS, this.waits.get(a.cls) ?? a.withinS));
      if (a.kind === 'guarantee') this.guaranteeS = Math.min(this.guaranteeS, a.withinS);
    }
    this.policyNow = o.policy(this.policyInput());
  }

  // ---- owners ---------------------------------------------------------------------------------------

  setOwners(records: Map<string, { inst: string; gen: number }>): void {
    for (const [team, r] of records) {
      const cur = this.owners.get(team);
      if (cur && cur.inst === r.inst && cur.gen === r.gen) continue;
      this.owners.set(team, { inst: r.inst, gen: r.gen, synced: false });
      this.dropHolds([...this.grantAt.keys()].filter((id) => this.holdOf(id)?.team === team));
      // Its owner may have learnt of the record, and told all it holds, before this keeper did.
      this.o.send(r.inst, { k: 'resync', token: this.token });
    }
  }

  /** Before a team's record is changed: what its present owner says no longer counts. */
  suspend(team: string): void {
    const cur = this.owners.get(team);
    if (cur) cur.synced = false;
  }

  isSynced(team: string): boolean {
    return this.owners.get(team)?.synced === true;
  }

  unsync(inst: string): void {
    for (const r of this.owners.values()) if (r.inst === inst) r.synced = false;
    this.o.send(inst, { k: 'resync', token: this.token });
  }

  private allSynced(): boolean {
    for (const t of this.o.teams.keys()) if (!this.isSynced(t)) return false;
    return true;
  }

  fromOwner(m: OwnerMsg): void {
    if (m.token !== this.token) return;
    switch (m.k) {
      case 'sync': {
        const old = this.parts.get(m.inst);
        const all = old?.sync === m.sync ? old.held : [];
        for (const h of m.held) all.push(h);
        if (m.part < m.parts - 1) {
          this.parts.set(m.inst, { sync: m.sync, held: all });
          return;
        }
        this.parts.delete(m.inst);
        // The connection was made anew in between: a part is missing, and all is asked for again.
        if (m.part > 0 && old?.sync !== m.sync) return;
        this.sync(m.inst, m.gens, all);
        this.setWants(m.inst, m.wants);
        break;
      }
      case 'wants':
        this.setWants(m.inst, m.wants);
        break;
      case 'held':
        for (const h of m.held) if (this.heeds(m.inst, h.team)) this.hold(h);
        break;
      case 'drop':
        this.drop(m.inst, m.tasks, m.grants);
        break;
    }
    this.dirty = true;
    this.o.wake();
  }

  private heeds(inst: string, team: string): boolean {
    const r = this.owners.get(team);
    return r?.inst === inst && r.synced;
  }

  private sync(inst: string, gens: Record<string, number>, held: Held[]): void {
    const teams = new Set<string>();
    for (const [team, gen] of Object.entries(gens)) {
      const r = this.owners.get(team);
      if (r?.inst !== inst || r.gen !== gen) continue;
      r.synced = true;
      teams.add(team);
    }
    this.o.log.debug({ inst, teams: [...teams], held: held.length }, 'owner synced');
    const keep = new Set<string>();
    for (const h of held) if (teams.has(h.team)) keep.add(taskKey(h.job, h.idx, h.attempt));
    for (const m of this.machines.values())
      for (const e of m.entries.values())
        if (teams.has(e.team) && (e.want === 'hold' || !keep.has(e.key))) this.removeEntry(m, e);
    for (const h of held) {
      if (!teams.has(h.team)) continue;
      const e = this.hold(h);
      if (e) e.told = '';
    }
    this.o.send(inst, { k: 'synced', token: this.token });
    for (const m of this.machines.values())
      for (const e of m.entries.values()) if (teams.has(e.team)) this.tell(m, e);
  }

  /** Its slack less its run, with room for estimates that are too low, and the fetch of its image. */
  private patience(w: Want): number | null {
    if (w.slackS === null || w.service || w.whole) return null;
    return Math.max(0, w.slackS - (w.aimS ?? 0) * AIM_MARGIN - 1.75 * w.estimateS - this.fetchS(w));
  }

  private fetchS(w: { imageGb: number }): number {
    let slowest = Number.POSITIVE_INFINITY;
    for (const t of this.o.types()) slowest = Math.min(slowest, t.fetchGbPerS);
    return Number.isFinite(slowest) ? w.imageGb / Math.max(0.01, slowest) : 0;
  }

  private setWants(inst: string, wants: Want[]): void {
    const old = new Set(this.wants.get(inst)?.map((w) => w.job));
    for (const w of wants) w.patienceS = this.patience(w);
    for (const w of wants)
      if (!w.service && !w.whole && !old.has(w.job) && this.waits.has(w.cls)) {
        const b = this.batchShapes.get(w.cls);
        this.batchShapes.set(w.cls, { want: w, mean: b ? b.mean * 0.9 + w.count * 0.1 : w.count });
      }
    this.wants.set(inst, wants);
    for (const w of wants) if (w.service) this.learnShape(w);
  }

  /**
   * What services need, by image and by whether they must be spread: one kind must not hide the other, and a new
   * keeper learns both from the replicas that run, not only from those that wait.
   */
  private learnShape(w: Want): void {
    const key = `${w.image}|${w.zoneRoom !== null}`;
    if (!this.serviceShapes.has(key)) this.scarceAt = Number.NEGATIVE_INFINITY;
    this.serviceShapes.set(key, { want: w, at: this.o.clock.now() });
  }

  private hold(h: Held): Entry | null {
    if (h.service) this.learnShape({ ...this.baseWant(h), zoneRoom: h.spread ? {} : null });
    const key = taskKey(h.job, h.idx, h.attempt);
    if (this.gone.has(h.machine)) {
      this.say(h.team, { s: 'settled', job: h.job, idx: h.idx, attempt: h.attempt, machine: h.machine });
      return null;
    }
    const m = this.machine(h.machine);
    this.touch(m);
    if (h.grant > 0) {
      const g = m.entries.get(`grant#${h.grant}`);
      if (g) this.removeEntry(m, g);
    }
    let e = m.entries.get(key);
    if (!e) {
      // A reap of what this keeper never knew: only the worker's list matters.
      e = newEntry(h, this.o.clock.now());
      m.entries.set(key, e);
      e.listed = m.tasks.get(key) ?? null;
    } else {
      // A stop is not taken back.
      if (!(e.want === 'stop' && h.want === 'run')) e.want = h.want;
      e.graceS = h.graceS;
      e.season = h.season > 0 ? h.season : e.season;
    }
    if (e.want === 'reap' && m.up && !m.tasks.has(key) && !e.direct && e.sentWith < 0) {
      this.removeEntry(m, e);
      return null;
    }
    if (m.up && m.season > e.season && e.want !== 'reap') e.settled = true;
    this.judgeAbsent(m, e);
    this.tell(m, e);
    this.toDirect.add(m);
    return e;
  }

  private drop(inst: string, tasks: { machine: string; key: string }[], grants: number[]): void {
    for (const t of tasks) {
      const m = this.machines.get(t.machine);
      const e = m?.entries.get(t.key);
      if (m && e && this.heeds(inst, e.team) && e.settled) this.removeEntry(m, e);
    }
    // A grant its owner can't use is not offered again at once.
    const until = this.o.clock.now() + 300;
    for (const id of grants) {
      const e = this.holdOf(id);
      if (e) this.declined.set(e.job, until);
    }
    this.dropHolds(grants);
  }

  private holdOf(id: number): Entry | undefined {
    return this.grantAt.get(id)?.entries.get(`grant#${id}`);
  }

  private dropHolds(ids: number[]): void {
    for (const id of ids) {
      const m = this.grantAt.get(id);
      const e = m?.entries.get(`grant#${id}`);
      if (m && e) this.removeEntry(m, e);
    }
    this.dirty = true;
  }

  private removeEntry(m: Machine, e: Entry): void {
    m.entries.delete(e.key);
    if (e.want === 'hold') {
      this.grantAt.delete(e.grant);
      const ids = this.holds.get(e.job);
      ids?.delete(e.grant);
      if (ids?.size === 0) this.holds.delete(e.job);
    }
    if (m.entries.size === 0) m.idleSince = this.o.clock.now();
    this.touch(m);
  }

  private touch(m: Machine): void {
    this.touched.add(m);
    this.dirty = true;
  }

  /** Sums up what has changed, so that a pass costs by the changes and not by the size of the fleet. */
  private refresh(): void {
    const list = this.o.types();
    if (list !== this.typeList) {
      this.typeList = list;
      this.types = new Map(list.map((t) => [t.name, t]));
      for (const m of this.machines.values()) this.touched.add(m);
    }
    for (const m of this.touched) {
      this.count(m, -1);
      m.sum = this.machines.get(m.name) === m ? sumUp(m, this.types.get(m.type)) : emptySum();
      this.count(m, 1);
      const s = m.sum;
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

  private say(team: string, s: Seen): void {
    const r = this.owners.get(team);
    if (!r?.synced) return;
    const l = this.outbox.get(r.inst);
    if (l) l.push(s);
    else this.outbox.set(r.inst, [s]);
  }

  private tell(m: Machine, e: Entry): void {
    if (e.want === 'hold') return;
    const text = e.settled ? 'settled' : e.listed ? `${e.listed.phase}/${e.listed.why ?? ''}` : '';
    if (text === '' || text === e.told || !this.isSynced(e.team)) return;
    e.told = text;
    const id = { job: e.job, idx: e.idx, attempt: e.attempt, machine: m.name };
    if (e.settled) this.say(e.team, { s: 'settled', ...id });
    else if (e.listed)
      this.say(e.team, {
        s: 'phase',
        ...id,
        phase: e.listed.phase,
        why: e.listed.why,
        saved: e.listed.saved,
      });
  }

  // ---- workers --------------------------------------------------------------------------------------

  private machine(name: string): Machine {
    let m = this.machines.get(name);
    if (!m) {
      m = newMachine(name, this.o.clock.now());
      for (const [image, gb] of this.o.images.of(name) ?? []) m.images.set(image, gb);
      this.machines.set(name, m);
    }
    return m;
  }

  /** A report. Null: answer that this controller is not entitled. */
  report(r: WorkerReport): WorkerCommand[] | null {
    if (r.token > this.token) {
      this.o.deposed(r.token);
      return null;
    }
    if (this.gone.has(r.machine)) return [];
    const m = this.machine(r.machine);
    const now = this.o.clock.now();
    const late = r.season < m.season || (r.season === m.season && r.tally <= m.reportTally);
    // A late copy proves no life. Of an old report only this stays true for ever: the season it names had begun, and
    // a task it lists as ended had ended; neither is taken from it where something newer was heard.
    if (late) return [];
    this.judgeHearing(m, r, now);
    m.heardAt = now;
    if (m.deaf === 0) m.probeFails = 0;
    m.reportAt = now;
    const fresh = isNewer(m, r);
    const before = m.reportTally;
    m.reportTally = r.tally;
    if (fresh) this.take(m, r, true);
    else if (before < 0 || r.season === m.season) {
      // Overtaken by the answer to a direct command: its list is old, but it is still waiting for an answer.
      for (const e of m.entries.values()) if (e.sentWith >= 0 && r.tally > e.sentWith) e.sentWith = -1;
    }
    const cmds = this.commands(m, r.tally);
    this.o.wake();
    return cmds;
  }

  /**
   * A machine whose reports arrive while nothing told to it does looks alive. It shows by what it does not do: its
   * next report is without the token or the starts of the last answer, or its lease ran out although it was answered.
   */
  private judgeHearing(m: Machine, r: WorkerReport, now: number): void {
    if (m.reportTally < 0) return;
    let missed = false;
    let heard = false;
    if (r.season > m.season) missed = now - m.heardAt < this.o.workers.leaseS * 500;
    else if (r.token < this.token) missed = true;
    else
      for (const e of m.entries.values()) {
        if (e.want !== 'run' || e.sentWith < 0 || r.tally <= e.sentWith) continue;
        if (r.tasks.some((t) => t.job === e.job && t.idx === e.idx && t.attempt === e.attempt)) heard = true;
        else missed = true;
      }
    if (missed) {
      if (m.deaf++ === 0) m.deafSince = now;
      if (m.deaf === 2) this.o.log.info({ machine: m.name }, 'machine is heard but seems not to hear');
    } else if (heard || (r.token === this.token && m.token < this.token)) m.deaf = 0;
  }

  private take(m: Machine, r: WorkerReport, asReport: boolean): void {
    const now = this.o.clock.now();
    const known = m.up;
    if (r.season > m.season) {
      m.doubt.clear();
      for (const e of m.entries.values()) e.sentWith = -1;
    }
    m.addr = r.addr;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    m.season = r.season;
    m.tally = r.tally;
    m.token = Math.max(m.token, r.token);
    if (r.token === this.token) m.confirmed = true;
    m.heardAt = now;
    m.up = true;
    m.leaveAt = r.noticeS === null ? null : now + r.noticeS * 1000;
    for (const [key, token] of m.doubt) if (r.token > token) m.doubt.delete(key);
    if (!known) {
      m.idleSince = now;
      this.o.log.debug({ machine: m.name, type: m.type, zone: m.zone, spot: m.spot }, 'machine up');
    }
    this.touch(m);
    this.toDirect.add(m);
    m.tasks.clear();
    for (const t of r.tasks) m.tasks.set(taskKey(t.job, t.idx, t.attempt), t);
    for (const e of [...m.entries.values()]) {
      if (e.want === 'hold') {
        if (e.season !== m.season) this.removeEntry(m, e);
        continue;
      }
      const t = m.tasks.get(e.key) ?? null;
      if (t) {
        // The answer that carried its start has been handled, or was dropped.
        if (asReport && r.tally > e.sentWith) e.sentWith = -1;
        if (t.phase !== e.listed?.phase) this.phase(m, e, t, now);
        e.listed = t;
        e.settled = false;
      } else {
        if (m.season > e.season) {
          if (e.want === 'reap') {
            this.removeEntry(m, e);
            continue;
          }
          e.settled = true;
          e.listed = null;
        } else {
          if (asReport && e.sentWith >= 0 && r.tally > e.sentWith) e.sentWith = -1;
          if (e.want === 'reap' && !e.direct && e.sentWith < 0) {
            this.removeEntry(m, e);
            continue;
          }
          e.listed = null;
          this.judgeAbsent(m, e);
        }
      }
      this.tell(m, e);
    }
    for (const key of m.strangers.keys()) if (!m.tasks.has(key)) m.strangers.delete(key);
    for (const key of m.tasks.keys())
      if (!m.entries.has(key) && !m.strangers.has(key)) m.strangers.set(key, now);
  }

  private phase(m: Machine, e: Entry, t: { phase: string; why: string | null }, now: number): void {
    if (t.phase === 'running' || t.phase === 'waiting') {
      m.images.delete(e.image);
      m.images.set(e.image, e.imageGb);
      this.o.images.learn(m.name, e.image, e.imageGb);
      this.trimImages(m);
      if (t.phase === 'running') e.since = now;
    }
    if (t.phase !== 'exited') return;
    if (t.why === 'error') {
      m.errors.set(e.job, now);
      if (m.errors.size >= 2 && !m.retired) {
        m.retired = true;
        this.o.log.info(
          { machine: m.name, jobs: [...m.errors.keys()] },
          'machine retired: several jobs fail on it',
        );
      }
    } else if (t.why === 'done') {
      m.errors.delete(e.job);
      if (e.estimateS > 0) this.speed(m, (now - e.since) / 1000 / e.estimateS);
    }
  }

  /** A task's run time against its estimate, as a moving mean; compared with the other machines' means. */
  private speed(m: Machine, ratio: number): void {
    m.runs++;
    m.slow = m.runs === 1 ? ratio : m.slow * 0.7 + ratio * 0.3;
    if (m.runs < 4 || m.retired) return;
    const now = this.o.clock.now();
    if (now - this.median.at > 3000) {
      const all = [...this.machines.values()].filter((x) => x.runs >= 3).map((x) => x.slow);
      all.sort((a, b) => a - b);
      this.median = { at: now, value: all.length > 3 ? (all[all.length >> 1] ?? 0) : 0 };
    }
    const median = this.median.value;
    if (median <= 0) return;
    if (m.slow > median * 2.5) {
      m.retired = true;
      this.o.log.info(
        { machine: m.name, ratio: m.slow, median },
        'machine retired: far slower than its peers',
      );
    }
  }

  private trimImages(m: Machine): void {
    const cache = this.types.get(m.type)?.cacheGb ?? Number.POSITIVE_INFINITY;
    let sum = 0;
    for (const gb of m.images.values()) sum += gb;
    for (const [name, gb] of m.images) {
      if (sum <= cache) break;
      m.images.delete(name);
      sum -= gb;
    }
  }

  /**
   * Settled by absence: the worker has seen the current token, so starts under older ones are void; it does
   * not list the attempt; and no start of it under this token is on its way or in doubt.
   */
  private judgeAbsent(m: Machine, e: Entry): void {
    if (e.want !== 'stop' || e.settled || e.listed || !m.up || e.season !== m.season) return;
    if (m.token !== this.token || m.tasks.has(e.key)) return;
    if (e.direct || m.directBusy || e.sentWith >= 0 || m.doubt.has(e.key)) return;
    e.settled = true;
    this.touch(m);
  }

  private canStart(m: Machine, e: Entry): boolean {
    return this.o.entitled() && this.isSynced(e.team) && m.up && !m.removing && e.season === m.season;
  }

  /** What this machine should do now. With `tally`: carried by the answer to that report. */
  private commands(m: Machine, tally: number | null): WorkerCommand[] {
    const out: WorkerCommand[] = [];
    const now = this.o.clock.now();
    for (const e of m.entries.values()) {
      if (out.length >= COMMANDS_AT_ONCE) break;
      if (e.want === 'hold' || e.settled) continue;
      const id = { job: e.job, idx: e.idx, attempt: e.attempt };
      const t = m.tasks.get(e.key);
      if (e.want === 'run') {
        if (t || e.direct || !this.canStart(m, e)) continue;
        if (tally === null) {
          if (e.sentWith >= 0) continue;
          e.direct = true;
        } else e.sentWith = tally;
        out.push({ op: 'start', ...id });
      } else if (e.want === 'stop') {
        if (!t || t.phase === 'exited' || (t.phase === 'saving' && e.graceS > 0)) continue;
        out.push({ op: 'stop', ...id, graceS: e.graceS });
      } else if (e.want === 'reap') {
        // A start that may still arrive would run the task again once it is forgotten.
        if (t?.phase === 'exited' && !m.doubt.has(e.key) && !e.direct && e.sentWith < 0)
          out.push({ op: 'reap', ...id });
      }
    }
    if (m.strangers.size > 0 && this.o.entitled() && this.allSynced()) {
      for (const [key, since] of m.strangers) {
        if (out.length >= COMMANDS_AT_ONCE) break;
        const t = m.tasks.get(key);
        if (!t || m.entries.has(key)) {
          m.strangers.delete(key);
          continue;
        }
        if (now - since < 3000 || now - this.startedAt < 3000) continue;
        const id = { job: t.job, idx: t.idx, attempt: t.attempt };
        if (t.phase !== 'exited') out.push({ op: 'stop', ...id, graceS: 0 });
        else if (!m.doubt.has(key)) out.push({ op: 'reap', ...id });
      }
    }
    return out;
  }

  /** Sends what there is straight to the worker, one call at a time. */
  private direct(m: Machine, probe = false): void {
    if (m.directBusy || m.addr === '' || m.removing || !this.o.entitled()) return;
    if (!probe && m.probeFails > 0) return;
    let cmds = m.up ? this.commands(m, null) : [];
    // Ended tasks take no room: their removal rides with the next answer or command.
    if (!probe && cmds.every((c) => c.op === 'reap')) cmds = [];
    if (cmds.length === 0 && !probe) return;
    m.directBusy = true;
    m.probeAt = this.o.clock.now();
    const season = m.season;
    const starts = cmds.filter((c) => c.op === 'start').map((c) => taskKey(c.job, c.idx, c.attempt));
    this.o.worker.commands(m.addr, this.token, season, cmds, (res) => {
      m.directBusy = false;
      const maybe = !res.ok && res.kind === 'unknown';
      for (const key of starts) {
        const e = m.entries.get(key);
        if (e) e.direct = false;
        if (maybe && m.season === season) {
          if (m.doubt.size === 0) m.doubtSince = this.o.clock.now();
          m.doubt.set(key, this.token);
        }
      }
      if (this.gone.has(m.name)) return;
      const r = res.ok ? res.value : res.report;
      if (!r) {
        m.probeFails++;
        if (starts.length > 0 && !res.ok)
          this.o.log.debug(
            { machine: m.name, kind: res.kind, starts: starts.length },
            'direct command failed',
          );
      } else {
        if (r.token > this.token) return this.o.deposed(r.token);
        m.probeFails = 0;
        m.deaf = 0;
        m.heardAt = this.o.clock.now();
        if (r.machine === m.name && isNewer(m, r)) this.take(m, r, false);
      }
      this.dirty = true;
      this.direct(m);
      this.o.wake();
    });
  }

  // ---- cloud ----------------------------------------------------------------------------------------

  private pollList(now: number): void {
    if (this.listing || now < this.nextList || !this.o.entitled()) return;
    this.listing = true;
    const all: ListedMachine[] = [];
    const page = (since: string) => {
      this.o.cloud.list(since, (r) => {
        if (!r.ok) {
          this.listing = false;
          this.nextList = this.o.clock.now() + 2000;
          return;
        }
        all.push(...r.value.machines);
        const last = r.value.machines.at(-1);
        if (r.value.more && last) return page(last.name);
        this.listing = false;
        this.nextList = this.o.clock.now() + Math.max(3000, this.o.listLagS * 500);
        this.takeList(all);
        this.o.wake();
      });
    };
    page('');
  }

  private takeList(all: ListedMachine[]): void {
    const now = this.o.clock.now();
    for (const l of all) {
      if (this.gone.has(l.name)) continue;
      let m = this.machines.get(l.name);
      if (!m) {
        m = this.machine(l.name);
        m.rentedAt = now - l.ageS * 1000;
        this.o.log.debug({ machine: l.name, type: l.type, phase: l.phase }, 'machine found in the list');
      }
      if (!m.up) {
        m.type = l.type;
        m.zone = l.zone;
        m.spot = l.spot;
        m.addr = l.addr;
      }
      m.listedUp = l.phase === 'running';
      if (l.phase === 'failed') this.remove(m, 'failed');
      // Our token ends whatever an earlier keeper has on its way, and makes the worker report.
      if (!m.up && l.phase === 'running' && l.addr !== '' && now - m.probeAt > 2000) this.direct(m, true);
    }
    this.listed = true;
  }

  private remove(m: Machine, why: string): void {
    if (m.removing) return;
    m.removing = true;
    this.removeQueue.add(m.name);
    for (const e of m.entries.values()) if (e.want === 'hold') this.removeEntry(m, e);
    this.o.log.info(
      { machine: m.name, type: m.type, spot: m.spot, why, tasks: m.entries.size },
      'machine returned',
    );
  }

  private pollRemove(now: number): void {
    if (this.removeBusy || this.removeQueue.size === 0 || now < this.removeRetryAt || !this.o.entitled())
      return;
    const names = [...this.removeQueue].slice(0, 100);
    this.removeBusy = true;
    this.o.cloud.remove(names, (r) => {
      this.removeBusy = false;
      if (!r.ok) {
        this.removeRetryAt = this.o.clock.now() + 1000;
        return;
      }
      for (const n of names) {
        this.removeQueue.delete(n);
        this.machineGone(n);
      }
      this.o.wake();
    });
  }

  /** The cloud answered the deletion: the machine and all on it are gone. */
  private machineGone(name: string): void {
    this.gone.add(name);
    this.o.images.forget(name);
    if (this.gone.size > 20000) for (const x of [...this.gone].slice(0, 5000)) this.gone.delete(x);
    const m = this.machines.get(name);
    if (!m) return;
    for (const e of [...m.entries.values()]) {
      if (e.want !== 'hold' && e.want !== 'reap')
        this.say(e.team, { s: 'settled', job: e.job, idx: e.idx, attempt: e.attempt, machine: name });
      this.removeEntry(m, e);
    }
    this.machines.delete(name);
    this.touch(m);
    this.capacity.freed(m);
  }

  private rent(r: Rental): void {
    const claim = `${this.o.inst}-${this.token}-${++this.claims}`;
    this.rentalsOut.set(claim, r);
    this.o.log.info({ claim, ...r }, 'machines asked for');
    let tries = 0;
    const ask = () => {
      this.o.cloud.rent(claim, r.type, r.zone, r.spot, r.n, (res) => {
        const now = this.o.clock.now();
        if (res.ok) {
          this.rentalsOut.delete(claim);
          for (const name of res.value) {
            if (this.gone.has(name)) continue;
            const m = this.machine(name);
            if (m.type === '') {
              m.type = r.type;
              m.zone = r.zone;
              m.spot = r.spot;
              m.rentedAt = now;
            }
          }
          if (res.value.length < r.n) this.capacity.refused(r, now);
          else this.capacity.filled(r);
          this.o.log.debug({ claim, got: res.value.length }, 'machines rented');
        } else if (res.kind === 'gone') {
          this.rentalsOut.delete(claim);
          this.capacity.refused(r, now);
          this.o.log.debug({ claim, ...r }, 'no capacity');
        } else if (res.kind === 'bad' || ++tries >= 6) this.rentalsOut.delete(claim);
        // The same claim again: what was rented under it is answered, and nothing more is rented.
        else
          this.o.clock.after(1000 * tries, () => (this.o.entitled() ? ask() : this.rentalsOut.delete(claim)));
        this.dirty = true;
        this.o.wake();
      });
    };
    ask();
  }

  // ---- room -----------------------------------------------------------------------------------------

  /** Fit to be given work. A machine not heard of lately gets nothing new. */
  private usable(m: Machine, now: number): boolean {
    if (!m.up || m.removing || m.retired || m.leaving || m.leaveAt !== null || m.probeFails > 0) return false;
    if (!m.confirmed || m.deaf > 0) return false;
    return now - m.heardAt <= this.quietMs() * 1.6 && !this.strange(m);
  }

  private quietMs(): number {
    return (this.o.workers.reportS * 1.25 + 1) * 1000;
  }

  private roomOf(m: Machine, now: number): Room | null {
    const t = this.types.get(m.type);
    if (!t || !m.sum.known) return null;
    const r = emptyRoom(t, m.zone, m.spot, m.name);
    r.images = m.images;
    if (m.reserved && m.reserved.until > now) r.reserved = m.reserved;
    r.penalty = (now - m.heardAt > this.quietMs() ? 10 : 0) + (m.errors.size > 0 ? 20 : 0);
    r.surplus = !m.spot && m.sum.services === 0 && !this.spare.has(m.name);
    r.cpus = m.sum.free.cpus;
    r.gpus = m.sum.free.gpus;
    r.mem = m.sum.free.mem;
    return r;
  }

  /** Free room of the machines that have any. */
  private rooms(now: number): Room[] {
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

  private usage(): Map<string, { cpus: number; gpus: number }> {
    const u = new Map<string, { cpus: number; gpus: number }>();
    for (const t of this.o.teams.keys()) u.set(t, { ...(this.used.get(t) ?? { cpus: 0, gpus: 0 }) });
    return u;
  }

  private addUse(usage: Map<string, { cpus: number; gpus: number }>, w: Want): void {
    const u = usage.get(w.team);
    if (!u) return;
    u.cpus += w.cpus;
    u.gpus += w.gpus;
  }

  private within(
    u: { cpus: number; gpus: number } | undefined,
    team: string,
    more: { cpus: number; gpus: number },
  ): boolean {
    const t = this.o.teams.get(team);
    if (!t || !u || (t.cpus <= 0 && t.gpus <= 0)) return false;
    return u.cpus + more.cpus <= t.cpus + 1e-9 && (more.gpus <= 0 || u.gpus + more.gpus <= t.gpus + 1e-9);
  }

  /** The zone with the fewest types, then the least ordinary room, while jobs must be spread over zones. */
  private findScarceZone(): string | null {
    let spread = false;
    for (const s of this.serviceShapes.values()) if (s.want.zoneRoom) spread = true;
    if (!spread) return null;
    const room = new Map<string, { types: number; cpus: number }>();
    for (const t of this.types.values())
      for (const z of t.zones) {
        const r = room.get(z) ?? { types: 0, cpus: 0 };
        r.types++;
        room.set(z, r);
      }
    if (room.size < 2) return null;
    for (const m of this.machines.values()) {
      const r = room.get(m.zone);
      if (r && !m.spot) r.cpus += this.types.get(m.type)?.cpus ?? 0;
    }
    const sorted = [...room].sort((a, b) => a[1].types - b[1].types || a[1].cpus - b[1].cpus);
    return sorted[0]?.[0] ?? null;
  }

  private pass(now: number): { want: Want; count: number }[] {
    this.refresh();
    if (now - this.scarceAt > 1000) {
      this.scarceAt = now;
      this.scarce = this.findScarceZone();
    }
    const left: { want: Want; count: number }[] = [];
    const refs: (WantRef & { inside: boolean })[] = [];
    const usage = this.usage();
    for (const [inst, wants] of this.wants)
      for (const want of wants)
        if (this.heeds(inst, want.team)) {
          const inside = this.within(usage.get(want.team), want.team, want);
          // A guarantee is to be had at once, whatever the aim allows.
          refs.push({ want: inside && want.patienceS ? { ...want, patienceS: 0 } : want, inst, inside });
        }
    refs.sort(
      (a, b) =>
        a.want.rank - b.want.rank ||
        Number(b.inside) - Number(a.inside) ||
        a.want.stage - b.want.stage ||
        a.want.order - b.want.order,
    );
    const list = this.rooms(now);
    const scarce = this.scarce;
    const grants = new Map<string, Grant[]>();
    const wanted = new Set<string>();
    const promised = this.freeing(now);
    const ready = this.o.entitled();
    const kept = [...this.batchShapes.values()].sort((a, b) => a.want.rank - b.want.rank);
    const place = ({ want, inst }: WantRef, count: number, rooms: Room[]): number => {
      if (!ready || count <= 0) return count;
      return fill(rooms, want, count, scarce, (r) => {
        const m = this.machines.get(r.name) as Machine;
        this.addUse(usage, want);
        const g = this.grant(m, want, now);
        const l = grants.get(inst);
        if (l) l.push(g);
        else grants.set(inst, [g]);
      });
    };
    const finish = (ref: WantRef & { inside: boolean }, count: number): void => {
      const { want } = ref;
      let open = count;
      if (want.service) {
        // A replica that has to fetch its image is late by far more than one that waits for a task to stop.
        const warm = (r: Room) => r.images?.has(want.image) === true;
        open = place(ref, open, list.filter(warm));
        if (open > 0) open = fill(promised.filter(warm), want, open, scarce, () => this.addUse(usage, want));
        if (open > 0 && ready) open -= this.preempt(want, open, usage, now, true);
      }
      open = place(ref, open, list);
      if (open <= 0) return void this.unmet.delete(want.job);
      // Room that stops already under way will free is waited for before more is stopped; what comes into it
      // counts as used, or one task's guarantee would be claimed for all.
      let waiting = fill(promised, want, open, scarce, () => this.addUse(usage, want));
      if (waiting <= 0) return;
      // Places come free all the time: a moment's wait often saves the work that a stop would lose.
      const since = this.unmet.get(want.job) ?? now;
      this.unmet.set(want.job, since);
      if (ready && now - since >= this.stopAfterMs(want, ref.inside))
        waiting -= this.preempt(want, waiting, usage, now);
      // What room is being freed for needs no machine.
      if (waiting > 0) left.push({ want, count: waiting });
    };
    // Work that can wait goes first where its image is, as long as nothing that can't wait is before it: a fetch keeps
    // a place about as long as a task does. What finds none takes its turn after the others like it.
    let cold: { ref: WantRef & { inside: boolean }; count: number }[] = [];
    let group = '';
    for (const ref of refs) {
      const { want } = ref;
      const next = `${want.rank}${ref.inside}`;
      if (next !== group) {
        for (const c of cold) finish(c.ref, c.count);
        cold = [];
        group = next;
      }
      // Lower work leaves the room that the next job of a class with an aim on waiting will need.
      while (kept.length > 0 && kept[0]!.want.rank < want.rank) {
        const k = kept.shift()!;
        const free: Want = { ...k.want, avoid: [], near: '', zoneRoom: null };
        fill(list, free, Math.round(k.mean * this.policyNow.reserve_batch), scarce, () => {});
      }
      // What its owner has taken in of the grants is no longer wanted by it.
      let count = want.count;
      for (const id of this.holds.get(want.job) ?? []) if (id > want.seen) count--;
      wanted.add(want.job);
      const pause = this.declined.get(want.job);
      if (pause !== undefined) {
        if (pause > now) continue;
        this.declined.delete(want.job);
      }
      if (count <= 0 || (want.whole && count < want.count)) continue;
      if (want.service || want.whole || (want.patienceS ?? 0) <= 0) finish(ref, count);
      else {
        const warm = list.filter((r) => r.images?.has(want.image));
        cold.push({ ref, count: place(ref, count, warm) });
      }
    }
    for (const c of cold) finish(c.ref, c.count);
    for (const [inst, g] of grants) this.o.send(inst, { k: 'grants', token: this.token, grants: g });
    for (const job of this.unmet.keys()) if (!wanted.has(job)) this.unmet.delete(job);
    for (const m of this.reserved)
      if (!m.reserved || !wanted.has(m.reserved.job)) {
        m.reserved = null;
        this.reserved.delete(m);
      }
    return left;
  }

  private grant(m: Machine, w: Want, now: number): Grant {
    const id = ++this.grants;
    const e = newEntry(
      {
        job: w.job,
        idx: -1,
        attempt: 0,
        machine: m.name,
        season: m.season,
        want: 'run',
        graceS: 0,
        team: w.team,
        rank: w.rank,
        gang: w.whole,
        service: w.service,
        cpus: w.cpus,
        gpus: w.gpus,
        mem: w.mem,
        image: w.image,
        imageGb: w.imageGb,
        estimateS: w.estimateS,
        types: w.types,
        spread: w.zoneRoom !== null,
        grant: id,
      },
      now,
    );
    e.key = `grant#${id}`;
    e.want = 'hold';
    m.entries.set(e.key, e);
    this.touch(m);
    this.grantAt.set(id, m);
    const ids = this.holds.get(w.job);
    if (ids) ids.add(id);
    else this.holds.set(w.job, new Set([id]));
    return { id, job: w.job, team: w.team, machine: m.name, zone: m.zone, season: m.season };
  }

  /** Room that will be free once the tasks being stopped are gone. */
  private freeing(now: number): Room[] {
    const out: Room[] = [];
    for (const m of this.withStops) {
      if (m.removing || m.retired || m.leaveAt !== null || now - m.heardAt >= 10000) continue;
      const r = this.roomOf(m, now);
      if (!r) continue;
      const s = m.sum.stopping;
      r.cpus += s.cpus;
      r.gpus += s.gpus;
      r.mem += s.mem;
      r.penalty = 0;
      r.reserved = null;
      out.push(r);
    }
    return out;
  }

  /** How long work waits for places to come free by themselves before others are stopped for it. */
  private stopAfterMs(w: Want, inside: boolean): number {
    if (w.service) return 0;
    const aims = [this.waits.get(w.cls) ?? Number.POSITIVE_INFINITY];
    if (inside) aims.push(this.guaranteeS);
    const aim = Math.min(...aims);
    if (Number.isFinite(aim)) return aim * 1000 * STOP_AFTER;
    return Math.min(5, w.patienceS ?? 0) * 1000;
  }

  /** `less`: CPUs of the team's tasks that are chosen already. */
  private mayStop(w: Want, e: Entry, usage: Map<string, { cpus: number; gpus: number }>, less = 0): boolean {
    if (e.want !== 'run' || e.evicting || e.settled) return false;
    // Services give way to nothing below them, whatever team they belong to.
    if (e.rank === 0) return false;
    if (e.team === w.team || w.rank === 0) return e.rank > w.rank;
    const t = this.o.teams.get(e.team);
    const u = usage.get(e.team);
    const beyond = !!t && !!u && u.cpus - less > t.cpus + 1e-9;
    const within = this.within(usage.get(w.team), w.team, w);
    // A guarantee goes before rank: were it otherwise, each of two teams could stop the other for ever.
    if (e.rank > w.rank) return beyond || within;
    return beyond && within;
  }

  /** What would have to be stopped on a machine for one task of a want, and what is lost by it. */
  private offer(
    m: Machine,
    w: Want,
    usage: Map<string, { cpus: number; gpus: number }>,
    now: number,
  ): { m: Machine; victims: Entry[]; cost: number } | null {
    const t = this.types.get(m.type);
    if (!t) return null;
    const r = emptyRoom(t, m.zone, m.spot, m.name);
    if (!allowed(r, w) || w.avoid.includes(m.name)) return null;
    const may: Entry[] = [];
    for (const e of m.entries.values()) {
      // Room that is being freed was promised before.
      if (!takesRoom(e)) continue;
      take(r, e);
      if (!e.evicting && e.want !== 'stop' && this.mayStop(w, e, usage)) may.push(e);
    }
    may.sort((a, b) => b.rank - a.rank || b.since - a.since);
    const victims: Entry[] = [];
    const less = new Map<string, number>();
    for (const e of may) {
      if (fits(r, w)) break;
      // A team a little beyond its guarantee must not lose more than that: it would claim it back, and so for ever.
      const gone = less.get(e.team) ?? 0;
      if (!this.mayStop(w, e, usage, gone)) continue;
      less.set(e.team, gone + e.cpus);
      victims.push(e);
      r.cpus += e.cpus;
      r.gpus += e.gpus;
      r.mem += e.mem;
    }
    if (!fits(r, w) || victims.length === 0) return null;
    let cost = m.images.has(w.image) ? 0 : w.imageGb * 20;
    for (const e of victims) cost += (e.cpus * (now - e.since)) / 1000 + (3 - e.rank) * 30;
    return { m, victims, cost };
  }

  /** Stops lower work so that `count` tasks of a want find room; least lost work first. */
  private preempt(
    w: Want,
    count: number,
    usage: Map<string, { cpus: number; gpus: number }>,
    now: number,
    warmOnly = false,
  ): number {
    if (w.whole) return 0;
    const inside = this.within(usage.get(w.team), w.team, w);
    let lower = false;
    for (let k = w.rank + 1; k < 4; k++) if (this.total.ranks[k]! > 0) lower = true;
    if (!lower && !inside) return 0;
    const stops = new Map<string, { job: string; idx: number; attempt: number }[]>();
    type Pick = { m: Machine; victims: Entry[]; cost: number };
    const offers: Pick[] = [];
    for (const m of this.machines.values()) {
      if (m.sum.batch.cpus <= 0 || (warmOnly && !m.images.has(w.image)) || !this.usable(m, now)) continue;
      const o = this.offer(m, w, usage, now);
      if (o) offers.push(o);
    }
    let picked = 0;
    for (; picked < count; picked++) {
      let pick: Pick | null = null;
      for (const o of offers) if (!pick || o.cost < pick.cost) pick = o;
      if (!pick) break;
      this.addUse(usage, w);
      // What is freed is for this want; lower work would only have to be stopped again.
      pick.m.reserved = { job: w.job, rank: w.rank, until: now + 5000 };
      this.reserved.add(pick.m);
      this.touch(pick.m);
      for (const e of pick.victims) {
        e.evicting = now;
        const u = usage.get(e.team);
        if (u) u.cpus -= e.cpus;
        const inst = this.owners.get(e.team)?.inst;
        if (!inst) continue;
        const l = stops.get(inst) ?? [];
        l.push({ job: e.job, idx: e.idx, attempt: e.attempt });
        stops.set(inst, l);
      }
      const again = this.offer(pick.m, w, usage, now);
      if (again) Object.assign(pick, again);
      else offers.splice(offers.indexOf(pick), 1);
    }
    for (const [inst, tasks] of stops)
      this.o.send(inst, { k: 'evict', token: this.token, tasks, why: `room for ${w.job}` });
    return picked;
  }

  // ---- fleet ----------------------------------------------------------------------------------------

  private policyInput(): PolicyInput {
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

  /** Phantom wants: room that the next replicas of services should find at once. */
  private reserve(): { want: Want; count: number }[] {
    const shapes = [...this.serviceShapes.values()].sort((a, b) => b.at - a.at);
    const first = shapes[0];
    if (!first || this.policyNow.reserve_replicas <= 0) return [];
    const n = Math.ceil(this.policyNow.reserve_replicas);
    const base: Want = {
      ...first.want,
      job: '',
      zone: null,
      types: null,
      avoid: [],
      near: '',
      image: '',
      imageGb: 0,
    };
    const spread = shapes.find((s) => s.want.zoneRoom)?.want;
    if (!spread) return [{ want: { ...base, zoneRoom: null }, count: n }];
    const zones = new Set<string>();
    for (const t of this.o.types()) for (const z of t.zones) zones.add(z);
    const per = Math.max(1, Math.ceil(n / Math.max(1, zones.size)));
    return [...zones].map((zone) => ({ want: { ...base, zone, zoneRoom: {}, zoneCap: per }, count: per }));
  }

  /** Places with their image that the replicas of services will want next: their part of the reserve. */
  private warmWanted(now: number): { want: Want; n: number }[] {
    const running = new Map<string, number>();
    for (const m of this.machines.values()) {
      if (m.sum.services === 0) continue;
      for (const e of m.entries.values())
        if (e.service && takesRoom(e)) running.set(e.image, (running.get(e.image) ?? 0) + 1);
    }
    const out: { want: Want; n: number }[] = [];
    for (const s of this.serviceShapes.values()) {
      if (now - s.at > 600000) continue;
      const part = (running.get(s.want.image) ?? 0) / Math.max(1, this.total.services);
      out.push({ want: s.want, n: Math.max(1, Math.ceil(this.policyNow.reserve_replicas * part)) });
    }
    return out;
  }

  /** How many of them no room has: such replicas would wait for a fetch. */
  private coldPlaces(rooms: Room[], wanted: { want: Want; n: number }[]): number {
    let cold = 0;
    for (const { want, n } of wanted) {
      let warm = 0;
      for (const r of rooms) {
        if (!r.spot && r.images?.has(want.image)) warm += slots(r, want);
        if (warm >= n) break;
      }
      cold += Math.max(0, n - warm);
    }
    return cold;
  }

  private scale(now: number, left: { want: Want; count: number }[]): void {
    const types = this.o.types();
    if (types.length === 0 || !this.o.entitled()) return;
    const byName = this.types;
    const coming: Room[] = [];
    for (const m of this.machines.values()) {
      const t = byName.get(m.type);
      if (m.up || m.removing || !t) continue;
      coming.push(emptyRoom(t, m.zone, m.spot, m.name));
    }
    for (const r of this.rentalsOut.values()) {
      const t = byName.get(r.type);
      if (t) for (let k = 0; k < r.n; k++) coming.push(emptyRoom(t, r.zone, r.spot, ''));
    }
    const scarce = this.scarce;
    // The reserve may lie in room that lower work uses now and would be stopped for.
    const rooms = this.reserveRooms(now);
    // Services whose room lower work will make are not rented for; that work may be.
    const open = left
      .map((l) => (l.want.service ? { ...l, count: fill(rooms, l.want, l.count, scarce, () => {}) } : l))
      .filter((l) => l.count > 0);
    const spare = new Set<string>();
    const phantom = this.reserve()
      .map((x) => ({ want: x.want, count: fill(rooms, x.want, x.count, scarce, (r) => spare.add(r.name)) }))
      .filter((x) => x.count > 0);
    this.spare = spare;
    for (const name of this.rescue.keys())
      if (!this.machines.has(name) || now - this.machines.get(name)!.heardAt < 3000) this.rescue.delete(name);
    const rescued = [...this.rescue.values()].flat().map((want) => ({ want, count: 1 }));
    const need = [...this.afterWaiting(open, now), ...rescued, ...phantom, ...this.cheaper(now)];
    // A new keeper lets the list, the reports and the owners speak first.
    const settled = this.o.first || (this.listed && now - this.startedAt > this.o.listLagS * 1000);
    if (need.length > 0 && settled && this.allSynced()) {
      const plan = planRentals({
        left: need,
        coming,
        ...this.prices(now),
        maxCalls: Math.max(2, Math.floor(this.o.cloudRps)),
      });
      for (const r of plan) this.rent(r);
    }
    this.returnIdle(now, left);
  }

  private prices(now: number): PriceInput {
    return {
      types: this.o.types(),
      capacity: this.capacity,
      now,
      amortizeS: this.policyNow.amortize_s,
      amortizeServiceS: this.policyNow.amortize_service_s,
      scarceZone: this.scarce,
    };
  }

  /**
   * Work that running tasks will make room for soon enough needs no machine. Places come free as estimates say, each is
   * taken by the first want that can wait for it, and comes free again when that one's task has run.
   */
  private afterWaiting(left: { want: Want; count: number }[], now: number): { want: Want; count: number }[] {
    // By rank: what higher work frees will be taken by its own next.
    const freed = [0, 1, 2, 3].map(() => new Float64Array(MOST_PATIENCE_S + 1));
    const put = (rank: number, inS: number, cpus: number) => {
      const k = Math.max(0, Math.ceil(inS));
      if (k <= MOST_PATIENCE_S) freed[rank]![k]! += cpus;
    };
    for (const m of this.machines.values()) {
      if (m.sum.batchTasks === 0 || m.removing || m.leaveAt !== null) continue;
      for (const e of m.entries.values()) {
        if (e.service || !takesRoom(e) || e.estimateS <= 0) continue;
        const running = e.listed?.phase === 'running';
        const left = running ? e.estimateS - (now - e.since) / 1000 : e.estimateS + this.fetchS(e) / 2;
        // One that has outrun its estimate is likely to go on for a part of it.
        put(e.rank, Math.max(left, e.estimateS * 0.3), e.cpus);
      }
    }
    const out: { want: Want; count: number }[] = [];
    for (const { want, count } of left) {
      let open = count;
      if (!want.service && !want.whole && want.cpus > 0 && want.spot) {
        // A place that comes free before a machine rented now would be up is as good as that machine.
        const at = cheapest(this.prices(now), want, open);
        const boot = at ? at.type.bootS + want.imageGb / Math.max(0.01, at.type.fetchGbPerS) : 0;
        // An ordinary machine costs several times a cheap one: not before the aim itself is in danger.
        const last = at && !at.spot && want.slackS !== null ? want.slackS - 1.2 * want.estimateS - boot : 0;
        const patience = Math.max(this.policyNow.patience_s, want.patienceS ?? 0, boot, last);
        const until = Math.min(MOST_PATIENCE_S, patience);
        for (let k = 0; k <= until && open > 0; k++)
          for (let rank = 3; rank >= want.rank && open > 0; rank--) {
            const f = freed[rank]!;
            const n = Math.min(open, Math.floor(f[k]! / want.cpus + 1e-9));
            if (n <= 0) continue;
            open -= n;
            f[k]! -= n * want.cpus;
            put(want.rank, k + Math.max(1, want.estimateS), n * want.cpus);
          }
      }
      if (open > 0) out.push({ want, count: open });
    }
    return out;
  }

  /**
   * Work on ordinary machines that are there for it alone, as a want that only cheap ones serve: when some are to be
   * had, it moves there task by task and the ordinary ones run empty.
   */
  private cheaper(now: number): { want: Want; count: number }[] {
    let cpus = 0;
    for (const m of this.machines.values()) {
      if (m.spot || m.removing || m.sum.services > 0 || this.spare.has(m.name)) continue;
      if (m.up) cpus += m.sum.batch.cpus;
    }
    for (const m of this.withRoom) if (m.spot && this.usable(m, now)) cpus -= m.sum.free.cpus;
    let shape: Want | null = null;
    for (const l of this.wants.values())
      for (const w of l) if (w.spot && !w.service && !w.whole && (!shape || w.cpus > shape.cpus)) shape = w;
    if (!shape || cpus < shape.cpus) return [];
    const want: Want = { ...shape, job: '', avoid: [], near: '', types: null, slackS: null, spotOnly: true };
    return [{ want, count: Math.floor(cpus / shape.cpus) }];
  }

  /** Room that services would find if lower work were stopped for them. */
  private reserveRooms(now: number): Room[] {
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

  private returnIdle(now: number, left: { want: Want; count: number }[]): void {
    if (!this.allSynced() || now - this.startedAt < 5000) return;
    const input = this.policyInput();
    const idleMs = new Map(
      [...this.types.values()].map((t) => [
        t.name,
        this.o.policy({ ...input, boot_s: t.bootS }).idle_s * 1000,
      ]),
    );
    const idle = new Map<string, Machine>();
    for (const m of this.machines.values()) {
      if (m.removing) continue;
      const t = this.types.get(m.type);
      if (!m.up) {
        const patience = (t?.bootS ?? 30) * 1000 * this.policyNow.boot_patience;
        // Up under an earlier keeper and not heard by this one: behind a cut, or on its way here.
        if (m.listedUp && now - m.heardAt < this.o.workers.leaseS * 1000) continue;
        if (
          now - m.rentedAt > patience &&
          now - this.startedAt > this.o.workers.reportS * 4000 &&
          m.entries.size === 0 &&
          now - m.heardAt > 10000
        )
          this.remove(m, 'did not come up in time');
        continue;
      }
      if (m.entries.size > 0 || m.tasks.size > m.strangers.size) continue;
      if ([...m.tasks.values()].some((x) => x.phase !== 'exited')) continue;
      if (m.retired || m.leaving || m.leaveAt !== null) {
        this.remove(m, 'empty, and not used any more');
        continue;
      }
      const idleFor = idleMs.get(m.type) ?? 60000;
      const surplus = !m.spot && !this.spare.has(m.name);
      if (now - m.idleSince >= (surplus ? idleFor / 2 : idleFor)) idle.set(m.name, m);
    }
    if (idle.size === 0) return;
    for (const m of idle.values()) {
      const t = this.types.get(m.type);
      const r = t ? emptyRoom(t, m.zone, m.spot, m.name) : null;
      if (r && left.some((l) => fits(r, l.want) && allowed(r, l.want))) idle.delete(m.name);
    }
    // The reserve takes idle machines last; those that it needs all the same are kept.
    const rooms = this.reserveRooms(now);
    for (const r of rooms) if (idle.has(r.name)) r.penalty += 1000;
    const keep = (r: Room) => void idle.delete(r.name);
    const plain = rooms.map((r) => ({ ...r }));
    for (const x of this.reserve()) fill(rooms, x.want, x.count, this.scarce, keep);
    for (const { want, n } of this.warmWanted(now)) {
      const warm = plain.filter((r) => !r.spot && r.images?.has(want.image) && fits(r, want));
      let have = 0;
      for (const r of warm) if (!idle.has(r.name)) have += slots(r, want);
      for (const r of warm) {
        if (have >= n) break;
        if (!idle.has(r.name)) continue;
        have += slots(r, want);
        keep(r);
      }
    }
    for (const m of idle.values()) this.remove(m, 'idle');
  }

  /** Messages may be lost with a connection: who has not told all it holds is asked again. */
  private askUnsynced(now: number): void {
    if (now < this.nextAsk) return;
    this.nextAsk = now + 1500;
    const asked = new Set<string>();
    for (const r of this.owners.values()) if (!r.synced) asked.add(r.inst);
    for (const inst of asked) this.o.send(inst, { k: 'resync', token: this.token });
  }

  /** A stop that its owner did not act on is asked for again. */
  private forgetEvictions(now: number): void {
    for (const m of this.machines.values())
      for (const e of m.entries.values())
        if (e.evicting > 0 && e.want === 'run' && now - e.evicting > 5000) {
          e.evicting = 0;
          this.touch(m);
        }
  }

  /**
   * Replicas move together when that empties a machine: one at a time, to room that is free now, with their image
   * there, and only replicas that have run for a while.
   */
  private consolidate(now: number): void {
    if (now < this.nextMove || !this.o.entitled() || !this.allSynced() || now - this.startedAt < 30000)
      return;
    this.nextMove = now + 3000;
    for (const wants of this.wants.values()) if (wants.some((w) => w.service)) return;
    const all: { m: Machine; moves: Entry[]; gain: number }[] = [];
    let going = 0;
    for (const m of this.machines.values()) {
      if (m.leaving) {
        if (m.entries.size > 0) going++;
        continue;
      }
      const t = this.types.get(m.type);
      if (!t || m.spot || m.sum.services === 0 || m.sum.free.cpus <= 1e-9 || !this.usable(m, now)) continue;
      const moves = [...m.entries.values()].filter((e) => e.service && takesRoom(e));
      if (moves.some((e) => e.want !== 'run' || e.listed?.phase !== 'running' || now - e.since < 35000))
        continue;
      // One that holds many images is worth more as a place for the next replicas.
      all.push({ m, moves, gain: t.price / moves.length / (1 + m.images.size / 10) });
    }
    all.sort((a, b) => b.gain - a.gain);
    // Each move costs a replica a moment: no more of them than users would notice.
    this.moveCredit = Math.min(MOST_MOVES, this.moveCredit + this.total.services * MOVES_PER_REPLICA);
    if (going >= Math.ceil(this.machines.size / 60)) return;
    // Lower work is stopped for them if need be: it is cheaper to run elsewhere.
    let free = this.reserveRooms(now).filter((r) => !r.spot);
    const wanted = this.warmWanted(now);
    let cold = this.coldPlaces(free, wanted);
    const taken = new Set<string>();
    const why = { machines: all.length, room: 0, reserve: 0, cold: 0, moved: 0 };
    this.lastMoves = why;
    for (const { m, moves } of all.slice(0, MOST_TRIES)) {
      if (taken.has(m.name) || moves.length > this.moveCredit) continue;
      const rooms = free.filter((r) => r.name !== m.name).map((r) => ({ ...r }));
      const to: string[] = [];
      const fit = moves.every((e) => {
        const here = rooms.filter(
          (r) => r.zone === m.zone && r.images?.has(e.image) && (!e.types || e.types.includes(r.type)),
        );
        const w: Want = { ...this.wantOf(e, m), zone: m.zone, zoneRoom: {} };
        return fill(here, w, 1, null, (r) => to.push(r.name)) === 0;
      });
      if (!fit) {
        why.room++;
        continue;
      }
      const after = rooms.map((r) => ({ ...r }));
      if (this.reserve().some((x) => fill(after, x.want, x.count, this.scarce, () => {}) > 0)) {
        why.reserve++;
        continue;
      }
      const then = this.coldPlaces(rooms, wanted);
      if (then > cold) {
        why.cold++;
        continue;
      }
      cold = then;
      why.moved++;
      m.leaving = true;
      this.o.log.info(
        { machine: m.name, type: m.type, replicas: moves.length },
        'replicas move to empty a machine',
      );
      this.evictAll(moves, now, `${m.name} is emptied`);
      this.moveCredit -= moves.length;
      free = rooms;
      for (const name of to) taken.add(name);
    }
  }

  private evictAll(entries: Entry[], now: number, why: string): void {
    const stops = new Map<string, { job: string; idx: number; attempt: number }[]>();
    for (const e of entries) {
      e.evicting = now;
      const m = this.machines.get(e.machine);
      if (m) this.touch(m);
      const inst = this.owners.get(e.team)?.inst;
      if (!inst) continue;
      const l = stops.get(inst) ?? [];
      l.push({ job: e.job, idx: e.idx, attempt: e.attempt });
      stops.set(inst, l);
    }
    for (const [inst, tasks] of stops) this.o.send(inst, { k: 'evict', token: this.token, tasks, why });
  }

  /** Tasks on a machine about to be taken, or retired, move while there is time. */
  private drain(now: number): void {
    for (const m of this.machines.values()) {
      if (m.removing || (m.leaveAt === null && !m.retired)) continue;
      const moves: Entry[] = [];
      for (const e of m.entries.values()) {
        if (e.want !== 'run' || e.evicting) continue;
        if (m.leaveAt !== null && !e.service && e.estimateS > 0 && e.listed?.phase === 'running') {
          // What will be finished before the machine goes is left to finish.
          if (e.estimateS * 0.8 - (now - e.since) / 1000 < (m.leaveAt - now) / 1000) continue;
        } else if (m.retired && m.leaveAt === null && !e.service) continue;
        moves.push(e);
      }
      this.evictAll(moves, now, `${m.name} leaves`);
    }
  }

  /** Silent machines: asked directly, then deleted, unless so many are silent that the fault may be here. */
  private watchSilence(now: number): void {
    const report = this.o.workers.reportS * 1000;
    const probeAfter = report * 1.25 + 1000;
    const silentMs = this.policyNow.silent_s * 1000;
    const silent: Machine[] = [];
    let heard = 0;
    let counted = 0;
    for (const m of this.machines.values()) {
      if (m.removing || (!m.up && m.entries.size === 0)) continue;
      counted++;
      // Workers need some time to find a new keeper.
      // One that is heard but does not hear counts as silent from when that began.
      const alive = m.deaf >= 2 ? Math.min(m.heardAt, m.deafSince) : m.heardAt;
      const quiet = now - Math.max(alive, this.startedAt + report);
      if (m.deaf === 1 && m.addr !== '' && now - m.probeAt > 2000) this.direct(m, true);
      if (quiet < probeAfter) {
        heard++;
        continue;
      }
      if (m.addr !== '' && now - m.probeAt > 2000 && !m.directBusy) this.direct(m, true);
      if (quiet > silentMs && (m.probeFails > 0 || m.addr === '')) silent.push(m);
    }
    if (silent.length === 0) {
      this.suspectSince = 0;
      return;
    }
    const many = silent.length > Math.max(2, counted * this.policyNow.silent_share);
    if (!many || heard >= silent.length) {
      const rooms = this.reserveRooms(now);
      for (const m of silent) if (!this.waitFor(m, rooms, now)) this.remove(m, 'silent');
      return;
    }
    if (this.suspectSince === 0) {
      this.suspectSince = now;
      this.o.log.info(
        { silent: silent.length, heard },
        'many machines silent at once: suspecting this controller',
      );
    }
    if (heard === 0 && now - this.suspectSince > report) {
      this.suspectSince = now;
      this.o.resign('no machine can be heard');
      return;
    }
    // Past their lease their tasks are dead in any case.
    for (const m of silent)
      if (now - Math.max(m.heardAt, this.startedAt) > this.o.workers.leaseS * 1000 + 5000)
        this.remove(m, 'silent past its lease');
  }

  /**
   * An ordinary silent machine is left its lease when the replicas on it would find no room elsewhere: they may
   * well be running behind a cut, and deleting them frees nothing. Room for them is rented meanwhile.
   */
  private waitFor(m: Machine, rooms: Room[], now: number): boolean {
    this.rescue.delete(m.name);
    if (m.spot || now - Math.max(m.heardAt, this.startedAt) > this.o.workers.leaseS * 1000) return false;
    const wants = [...m.entries.values()]
      .filter((e) => e.service && takesRoom(e))
      .map((e) => this.wantOf(e, m));
    const without = wants.filter((w) => fill(rooms, w, 1, null, () => {}) > 0);
    if (without.length === 0) return false;
    this.rescue.set(m.name, without);
    return true;
  }

  /** A running replica as a want of its own, in its zone if that zone is the scarce one. */
  private wantOf(e: Entry, m: Machine): Want {
    const tied = this.scarce === m.zone;
    return { ...this.baseWant(e), zone: tied ? m.zone : null, zoneRoom: tied ? {} : null };
  }

  private baseWant(e: Omit<Held, 'want'>): Want {
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

  private watchDoubt(now: number): void {
    for (const m of this.machines.values()) {
      if (m.doubt.size === 0 || m.removing || now - m.doubtSince < 10000) continue;
      for (const e of m.entries.values()) {
        if (e.want !== 'stop' || e.listed || e.settled || !m.doubt.has(e.key)) continue;
        this.o.raise(`start of ${e.key} on ${m.name} may still arrive`);
        return;
      }
    }
  }

  // ---- work at the end of each batch of commands ----------------------------------------------------------

  flush(): void {
    const now = this.o.clock.now();
    for (const [inst, seen] of this.outbox) this.o.send(inst, { k: 'seen', token: this.token, seen });
    this.outbox.clear();
    for (const m of this.toDirect) this.direct(m);
    this.toDirect.clear();
    if (!this.dirty) return;
    if (now < this.nextPass) {
      if (!this.passTimer) {
        this.passTimer = true;
        this.o.clock.after(Math.max(1, this.nextPass - now), () => {
          this.passTimer = false;
          this.o.wake();
        });
      }
      return;
    }
    this.dirty = false;
    const left = this.pass(now);
    if (now >= this.nextScale) {
      this.nextScale = now + 1000;
      this.scale(now, left);
    }
    this.pollRemove(now);
    // A pass that takes long is made less often: what comes meanwhile shares the next one.
    const after = this.o.clock.now();
    this.nextPass = after + Math.min(500, Math.max(30, (after - now) * 5));
  }

  /** What the fleet is made of, for operators. */
  private logFleet(now: number): void {
    if (now < this.nextLog) return;
    this.nextLog = now + 30000;
    const kinds: Record<
      string,
      { machines: number; up: number; cpus: number; services: number; batch: number }
    > = {};
    for (const m of this.machines.values()) {
      const key = `${m.type}/${m.zone}${m.spot ? '/spot' : ''}`;
      kinds[key] ??= { machines: 0, up: 0, cpus: 0, services: 0, batch: 0 };
      const k = kinds[key];
      k.machines++;
      if (!m.up) continue;
      k.up++;
      k.cpus += this.types.get(m.type)?.cpus ?? 0;
      k.services += m.sum.serviceCpus;
      k.batch += m.sum.batch.cpus;
    }
    this.o.log.info(
      { kinds, moves: this.lastMoves, wants: [...this.wants.values()].reduce((n, l) => n + l.length, 0) },
      'fleet',
    );
  }

  tick(): void {
    const now = this.o.clock.now();
    this.logFleet(now);
    this.refresh();
    this.policyNow = this.o.policy(this.policyInput());
    for (const m of this.machines.values()) if (m.entries.size > 0) this.toDirect.add(m);
    this.pollList(now);
    this.watchSilence(now);
    this.watchDoubt(now);
    this.forgetEvictions(now);
    this.askUnsynced(now);
    this.drain(now);
    this.consolidate(now);
    this.pollRemove(now);
    this.dirty = true;
    this.o.wake();
  }

  /** For logs and tests. */
  stats(): Record<string, number> {
    let up = 0;
    let entries = 0;
    for (const m of this.machines.values()) {
      if (m.up) up++;
      entries += m.entries.size;
    }
    return { machines: this.machines.size, up, entries, holds: this.holds.size };
  }
}
