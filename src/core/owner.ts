import { Counter, FanOut } from './graph.js';
import { Marks } from './horizon.js';
import { type QueueKey, ReleaseOrder, type TeamLoad } from './owner/release-order.js';
import {
  chunkSize,
  countRecord,
  type Placed,
  type PlaceRecord,
  placeKey,
  readJob,
  releaseWindow,
  type StoredJob,
} from './records.js';
import type {
  Clock,
  Grant,
  Held,
  JobSpec,
  Logger,
  Objective,
  OwnerMsg,
  SchedulerMsg,
  Seen,
  StateOp,
  StatePort,
  Team,
  Txn,
  Want,
} from './types.js';
import { URGENCY } from './types.js';

interface Placement {
  idx: number;
  attempt: number;
  machine: string;
  season: number;
  zone: string;
  grant: number;
  /** In the state service; before that no start may be sent. */
  stored: boolean;
  want: 'run' | 'stop';
  running: boolean;
  /** Settled: may be started elsewhere; `reap` once that is stored. */
  settled: boolean;
  listed: boolean;
}

interface Job {
  spec: JobSpec;
  order: number;
  aMark: number;
  nMark: number;
  cancelled: boolean;
  count: Counter;
  fan: FanOut;
  placed: Map<number, Placement>;
  attempts: Map<number, number>;
  chunkMarks: Map<number, number>;
  dirtyChunks: Set<number>;
  dirtyCount: boolean;
  /** When what is dirty should be written; Infinity: nothing is. */
  dueAt: number;
  /** In the transaction now in flight. */
  busy: boolean;
  /** Stored state is being read again; nothing is decided meanwhile. */
  reloading: boolean;
  holdUntil: number;
  failures: number;
  avoid: Map<string, number>;
  /** Where its last finished task ran: the next one goes there if it can. */
  near: string;
  shownRunning: number;
  storedRunning: number;
  toReap: { p: Placement; listed: boolean }[];
}

/** What follows when a job's part of a transaction is stored, or surely was not. */
interface Commit {
  done: (mark: number) => void;
  undo: () => void;
}

export interface OwnerOptions {
  inst: string;
  teams: Map<string, Team>;
  valueKb: number;
  txnOps: number;
  writeRps: number;
  /** Most tasks of one job asked for at a time: the pace of a large fan-out. */
  batch: number;
  noticeGraceS: number;
  objectives: Objective[];
  state: StatePort;
  clock: Clock;
  log: Logger;
  /** The mirrored records under `open/`. */
  openItems(): Iterable<[string, { value: unknown; version: number }]>;
  /** The sending time of the latest read of `open/` whose changes have been passed on here; and a new read, if it is due. */
  openReadAsOf(): number;
  readOpen(): void;
  send(msg: OwnerMsg): void;
  wake(): void;
}

/** Most placements told in one message. */
const SYNC_PART = 400;

/** Holds the teams assigned to this controller: release, queue, limits, one attempt per task, counters. */
export class Owner {
  private readonly jobs = new Map<string, Job>();
  private readonly teams = new Map<string, { gen: number; loaded: boolean; loading: boolean }>();
  /** What unsettled placements take, by team, and how many of them are of arrays and gangs. */
  private readonly used = new Map<string, { cpus: number; gpus: number; batch: number }>();
  /** Jobs with something to write, or over and not yet filed. */
  private readonly dirty = new Set<Job>();
  private flushTimer = 0;
  private wantsAt = 0;
  /** The newest grant taken in from this scheduler. */
  private lastGrant = 0;
  private syncs = 0;
  /** Messages with placements since the last sync. */
  private heldSent = 0;
  /** The leader's marks, and the newest told to be covered. */
  private readonly marks = new Marks();
  private coveredTold = Number.NEGATIVE_INFINITY;
  private readonly order: ReleaseOrder;
  private readonly archived = new Set<string>();
  private readonly chunk: number;
  private readonly window: number;
  private token = 0;
  private synced = false;
  private needSync = false;
  private wantsDirty = false;
  private lastWants = '';
  private readonly txnBusy = { work: false, tidy: false };
  private retryFlushAt = 0;
  private outHeld: Held[] = [];
  private outDrop: { tasks: { machine: string; key: string }[]; grants: number[] } = {
    tasks: [],
    grants: [],
  };

  constructor(private readonly o: OwnerOptions) {
    this.chunk = chunkSize(o.valueKb);
    this.order = new ReleaseOrder(o.objectives);
    this.window = releaseWindow(o.valueKb);
  }

  get ownedTeams(): string[] {
    return [...this.teams.keys()];
  }

  /** For logs and tests. */
  stats(): { jobs: number; placed: number } {
    let placed = 0;
    for (const j of this.jobs.values()) placed += j.placed.size;
    return { jobs: this.jobs.size, placed };
  }

  /** The teams whose records name this instance, by record version. */
  setTeams(now: Map<string, number>): void {
    for (const [name, t] of this.teams) {
      if (now.get(name) === t.gen) continue;
      this.teams.delete(name);
      for (const j of [...this.jobs.values()]) if (j.spec.team === name) this.letGo(j);
      this.o.log.debug({ team: name }, 'team let go');
      this.needSync = true;
    }
    for (const [name, gen] of now) {
      if (this.teams.has(name)) continue;
      this.teams.set(name, { gen, loaded: false, loading: false });
      this.o.log.debug({ team: name, gen }, 'team taken on');
    }
    this.o.wake();
  }

  private letGo(j: Job): void {
    for (let n = j.placed.size; n > 0; n--) this.use(j, -1);
    this.jobs.delete(j.spec.id);
    this.dirty.delete(j);
  }

  private use(j: Job, sign: 1 | -1): void {
    const s = j.spec;
    let u = this.used.get(s.team);
    if (!u) {
      u = { cpus: 0, gpus: 0, batch: 0 };
      this.used.set(s.team, u);
    }
    u.cpus += sign * s.cpus;
    u.gpus += sign * s.gpus;
    if (s.shape !== 'service') u.batch += sign;
  }

  private putPlaced(j: Job, p: Placement): void {
    j.placed.set(p.idx, p);
    this.use(j, 1);
  }

  private dropPlaced(j: Job, p: Placement): void {
    if (j.placed.delete(p.idx)) this.use(j, -1);
  }

  /** Something of a job is to be written within `ms`. */
  private mark(j: Job, ms: number): void {
    this.dirty.add(j);
    j.dueAt = Math.min(j.dueAt, this.o.clock.now() + ms);
  }

  /**
   * How long a count that fills nothing may wait for others of its job: longer when many jobs have such, so that they
   * take a part of the writes only.
   */
  private lazyMs(): number {
    return Math.min(5000, Math.max(1000, (this.dirty.size / (this.o.writeRps * 0.2)) * 1000));
  }

  /** A scheduler with a higher token is heeded from now on; one with a lower token never again. */
  setScheduler(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    this.marks.clear();
    this.coveredTold = Number.NEGATIVE_INFINITY;
    this.lastGrant = 0;
    this.synced = false;
    this.needSync = true;
    this.o.wake();
  }

  resync(): void {
    this.synced = false;
    this.needSync = true;
    this.o.wake();
  }

  // ---- stored state -------------------------------------------------------------------------

  private loadTeams(): void {
    const wanted = [...this.teams].filter(([, t]) => !t.loaded && !t.loading);
    if (wanted.length === 0) return;
    for (const [, t] of wanted) t.loading = true;
    const found = new Map<string, StoredJob>();
    const failed = () => {
      for (const [, t] of wanted) t.loading = false;
      this.o.clock.after(300, () => this.o.wake());
    };
    const page = (prefix: string, since: string, done: () => void) => {
      this.o.state.list(prefix, since, URGENCY.user, (r) => {
        if (!r.ok) return failed();
        for (const it of r.value.items) readJob(found, it);
        const last = r.value.items.at(-1);
        if (r.value.more && last) page(prefix, last.key, done);
        else done();
      });
    };
    // Jobs first, placements second: an owner's records can only have grown less since the team record
    // changed, and a job cancelled in between is noticed by its version.
    page('open/', 'open/', () =>
      page('place/', 'place/', () => {
        for (const [name, t] of wanted) {
          if (this.teams.get(name) !== t) continue;
          t.loading = false;
          t.loaded = true;
          let n = 0;
          for (const s of found.values()) {
            if (s.spec?.team !== name) continue;
            this.adopt(s);
            n++;
          }
          this.o.log.info({ team: name, jobs: n, gen: t.gen }, 'team loaded');
        }
        // Jobs accepted between the listing and now were shown by the watch before the team was loaded.
        for (const [key, it] of this.o.openItems()) {
          const [, id, part] = key.split('/');
          if (id && part === 'a') this.openChanged(id, part, it.value, it.version);
        }
        this.needSync = true;
        this.o.wake();
      }),
    );
  }

  private adopt(s: StoredJob): void {
    const spec = s.spec;
    if (!spec || s.order === 0) return;
    const old = this.jobs.get(spec.id);
    if (old) this.letGo(old);
    const j: Job = {
      spec,
      order: s.order,
      // Read again from before a cancellation that the watch has shown meanwhile: it is never taken back.
      aMark: Math.max(s.aMark, old?.aMark ?? 0),
      nMark: s.nMark,
      cancelled: s.cancelled || old?.cancelled === true,
      count: s.count ?? new Counter(spec.tasks),
      fan: new FanOut(spec.tasks, this.window),
      placed: new Map(),
      attempts: new Map(),
      chunkMarks: new Map(),
      dirtyChunks: new Set(),
      dirtyCount: false,
      dueAt: Number.POSITIVE_INFINITY,
      busy: false,
      reloading: false,
      holdUntil: old?.holdUntil ?? 0,
      failures: old?.failures ?? 0,
      avoid: old?.avoid ?? new Map(),
      near: old?.near ?? '',
      shownRunning: 0,
      storedRunning: s.running,
      toReap: [],
    };
    for (const [chunk, rec] of s.places) {
      j.chunkMarks.set(chunk, rec.mark);
      for (const [k, p] of Object.entries(rec.tasks)) {
        const idx = Number(k);
        j.attempts.set(idx, p[0]);
        if (p.length < 4 || j.count.has(idx)) continue;
        this.putPlaced(j, {
          idx,
          attempt: p[0],
          machine: p[1] as string,
          season: p[2] as number,
          zone: p[3] as string,
          grant: 0,
          stored: true,
          want: j.cancelled ? 'stop' : 'run',
          running: old?.placed.get(idx)?.running ?? false,
          settled: false,
          listed: false,
        });
      }
    }
    if (spec.shape === 'gang' && j.count.full) for (const p of j.placed.values()) p.want = 'stop';
    for (const p of j.placed.values()) if (p.running) j.shownRunning++;
    j.fan.skipTo((i) => j.count.has(i));
    this.jobs.set(spec.id, j);
    if (!old) this.order.learn(spec);
    if (this.isOver(j)) this.mark(j, 0);
  }

  private reload(j: Job): void {
    if (j.reloading) return;
    j.reloading = true;
    const id = j.spec.id;
    const found = new Map<string, StoredJob>();
    const again = () => this.o.clock.after(300, () => this.jobs.get(id) === j && read());
    const page = (prefix: string, since: string, done: () => void) => {
      this.o.state.list(prefix, since, URGENCY.user, (r) => {
        if (!r.ok) return void again();
        for (const it of r.value.items) readJob(found, it);
        const last = r.value.items.at(-1);
        if (r.value.more && last) page(prefix, last.key, done);
        else done();
      });
    };
    const read = () => {
      found.clear();
      page(`open/${id}/`, `open/${id}/`, () =>
        page(`place/${id}/`, `place/${id}/`, () => {
          if (this.jobs.get(id) !== j) return;
          const s = found.get(id);
          if (!s?.spec) this.forget(id);
          else this.adopt(s);
          this.o.log.debug({ job: id, found: !!s?.spec }, 'job read again');
          this.needSync = true;
          this.o.wake();
        }),
      );
    };
    read();
  }

  private forget(id: string): void {
    const j = this.jobs.get(id);
    if (j) this.letGo(j);
    this.archived.add(id);
    if (this.archived.size > 5000) for (const x of [...this.archived].slice(0, 1000)) this.archived.delete(x);
    this.wantsDirty = true;
  }

  /** A change under `open/`, from the watch. */
  openChanged(id: string, part: string, value: unknown, mark: number): void {
    const j = this.jobs.get(id);
    if (part === 'n') {
      if (j && mark > j.nMark && !j.busy && !j.reloading) this.reload(j);
      return;
    }
    if (part !== 'a') return;
    if (j) {
      // Also of a job that is being read again: that read may wait out an outage, while what runs must be stopped.
      if (mark > j.aMark) {
        const found = new Map<string, StoredJob>();
        readJob(found, { key: `open/${id}/a`, value, version: mark });
        const s = found.get(id);
        if (s?.cancelled) {
          j.aMark = mark;
          this.cancel(j);
        }
      }
      return;
    }
    if (this.archived.has(id)) return;
    const found = new Map<string, StoredJob>();
    readJob(found, { key: `open/${id}/a`, value, version: mark });
    const s = found.get(id);
    if (!s?.spec || !this.teams.get(s.spec.team)?.loaded) return;
    this.adopt(s);
    this.o.log.debug({ job: id, tasks: s.spec.tasks, team: s.spec.team }, 'released');
    this.wantsDirty = true;
    this.o.wake();
  }

  private cancel(j: Job): void {
    if (j.cancelled) return;
    j.cancelled = true;
    this.o.log.debug({ job: j.spec.id, placed: j.placed.size }, 'cancelled');
    for (const p of [...j.placed.values()]) {
      if (!p.stored && !j.busy) {
        this.outDrop.grants.push(p.grant);
        this.dropPlaced(j, p);
      } else this.stop(j, p, 0);
    }
    this.mark(j, 0);
    this.wantsDirty = true;
    this.o.wake();
  }

  // ---- scheduler ---------------------------------------------------------------------------------

  fromScheduler(m: SchedulerMsg): void {
    if (m.token !== this.token) return;
    switch (m.k) {
      case 'synced':
        this.synced = true;
        this.wantsDirty = true;
        this.lastWants = '';
        break;
      case 'resync':
        this.resync();
        break;
      case 'grants':
        this.granted(m.grants);
        break;
      case 'seen':
        for (const s of m.seen) this.saw(s);
        break;
      case 'mark':
        this.marks.add(m.at, this.o.clock.now());
        this.o.readOpen();
        break;
      case 'evict':
        for (const t of m.tasks) this.evict(t.job, t.idx, t.attempt, m.why);
        break;
    }
    this.o.wake();
  }

  private granted(grants: Grant[]): void {
    const byJob = new Map<string, Grant[]>();
    for (const g of grants) {
      this.lastGrant = Math.max(this.lastGrant, g.id);
      const l = byJob.get(g.job);
      if (l) l.push(g);
      else byJob.set(g.job, [g]);
    }
    for (const [id, l] of byJob) {
      const j = this.jobs.get(id);
      const gang = j?.spec.shape === 'gang';
      const ok = j && !j.cancelled && !j.reloading && !j.count.full && this.synced;
      if (!ok || (gang && (l.length !== j.spec.tasks || j.placed.size > 0))) {
        this.outDrop.grants.push(...l.map((g) => g.id));
        continue;
      }
      for (const g of l) if (!this.place(j, g)) this.outDrop.grants.push(g.id);
    }
    this.wantsDirty = true;
  }

  private place(j: Job, g: Grant): boolean {
    if (this.roomUnderLimit(j.spec.team, j.spec) < 1) return false;
    if (!this.zoneAllows(j, g.zone)) return false;
    const idx = j.fan.take(
      (i) => j.count.has(i) || j.placed.has(i),
      (i) => j.count.has(i),
    );
    if (idx < 0) return false;
    const attempt = j.spec.shape === 'gang' ? this.gangAttempt(j) : (j.attempts.get(idx) ?? 0) + 1;
    this.putPlaced(j, {
      idx,
      attempt,
      machine: g.machine,
      season: g.season,
      zone: g.zone,
      grant: g.id,
      stored: false,
      want: 'run',
      running: false,
      settled: false,
      listed: false,
    });
    j.dirtyChunks.add(Math.floor(idx / this.chunk));
    this.mark(j, 0);
    return true;
  }

  /** All tasks of a gang share one attempt number, above every earlier one. */
  private gangAttempt(j: Job): number {
    let top = 0;
    for (const p of j.placed.values()) if (!p.stored) return p.attempt;
    for (const a of j.attempts.values()) top = Math.max(top, a);
    return top + 1;
  }

  private zoneAllows(j: Job, zone: string): boolean {
    const s = j.spec;
    if (s.zone !== null && s.zone !== zone) return false;
    if (!s.together && !s.apart) return true;
    let there = 0;
    for (const p of j.placed.values()) {
      if (p.zone === zone) there++;
      else if (s.together) return false;
    }
    return !s.apart || there < Math.ceil(s.tasks / 2);
  }

  private usage(team: string): { cpus: number; gpus: number; batch: number } {
    return this.used.get(team) ?? { cpus: 0, gpus: 0, batch: 0 };
  }

  private load(team: string): TeamLoad {
    const limit = this.o.teams.get(team);
    return {
      runningTasks: this.usage(team).batch,
      maxParallel: (spec) => {
        const cpus = limit && limit.cpusMax > 0 && spec.cpus > 0 ? limit.cpusMax / spec.cpus : spec.tasks;
        const gpus = limit && limit.gpusMax > 0 && spec.gpus > 0 ? limit.gpusMax / spec.gpus : spec.tasks;
        return Math.floor(Math.min(cpus, gpus) + 1e-9);
      },
    };
  }

  private roomUnderLimit(team: string, s: JobSpec): number {
    const t = this.o.teams.get(team);
    if (!t) return 0;
    const u = this.usage(team);
    let n = Number.POSITIVE_INFINITY;
    if (t.cpusMax > 0 && s.cpus > 0) n = Math.min(n, Math.floor((t.cpusMax - u.cpus) / s.cpus + 1e-9));
    if (t.gpusMax > 0 && s.gpus > 0) n = Math.min(n, Math.floor((t.gpusMax - u.gpus) / s.gpus + 1e-9));
    return Math.max(0, n);
  }

  private saw(s: Seen): void {
    const j = this.jobs.get(s.job);
    const p = j?.placed.get(s.idx);
    if (!j || !p || p.attempt !== s.attempt || p.machine !== s.machine || !p.stored) {
      // Told again after its outcome was stored: the reap was lost with an earlier scheduler.
      if (s.s === 'phase' && s.phase === 'exited' && !j?.reloading) this.reapStored(j, s);
      return;
    }
    if (s.s === 'settled') {
      this.settle(j, p, 'gone');
      return;
    }
    p.listed = true;
    if (s.phase !== 'exited') {
      const running = s.phase === 'running';
      if (running !== p.running) {
        p.running = running;
        j.shownRunning += running ? 1 : -1;
        // Users are told `running` from the stored record; one write when the first task runs will do.
        if (running && j.storedRunning === 0) {
          j.storedRunning = 1;
          j.dirtyCount = true;
          this.mark(j, this.lazyMs());
        }
        if (running) this.o.log.debug({ job: s.job, idx: s.idx, machine: s.machine }, 'task runs');
      }
      return;
    }
    this.o.log.debug(
      { job: s.job, idx: s.idx, machine: s.machine, attempt: s.attempt, why: s.why },
      'task ended',
    );
    const now = this.o.clock.now();
    if (s.why === 'done' && j.spec.shape !== 'service') {
      if (j.count.add(p.idx)) j.dirtyCount = true;
      // "When one is done, all are": the rest of a gang is counted with it, and settled as it is reported.
      if (j.spec.shape === 'gang') for (let i = 0; i < j.spec.tasks; i++) j.count.add(i);
      this.mark(j, j.count.full ? 0 : this.lazyMs());
      j.failures = 0;
      j.near = p.machine;
    } else if (s.why === 'error' || s.why === 'unknown') {
      j.failures++;
      j.avoid.set(p.machine, now + 60000);
      const pause = Math.min(60000, 500 * 2 ** Math.min(7, j.failures - 1));
      j.holdUntil = now + pause;
      this.o.log.info(
        { job: s.job, idx: s.idx, machine: s.machine, why: s.why, pause_ms: pause },
        'task failed',
      );
      this.o.clock.after(pause, () => this.changed());
    } else if (s.why === 'no_room' || s.why === 'busy') {
      j.avoid.set(p.machine, now + 2000);
    }
    this.settle(j, p, s.why ?? 'exited');
  }

  private changed(): void {
    this.wantsDirty = true;
    this.o.wake();
  }

  private reapStored(j: Job | undefined, s: Seen): void {
    if (!j) return;
    if (!j.count.has(s.idx) && (j.attempts.get(s.idx) ?? 0) <= s.attempt && j.placed.has(s.idx)) return;
    if (j.busy || j.dirtyCount || j.dirtyChunks.has(Math.floor(s.idx / this.chunk))) return;
    if (j.toReap.some((r) => r.p.idx === s.idx)) return;
    this.outHeld.push(this.held(j, s.idx, s.attempt, s.machine, 0, 'reap', 0, 0));
  }

  private settle(j: Job, p: Placement, why: string): void {
    if (p.running) j.shownRunning--;
    p.settled = true;
    this.dropPlaced(j, p);
    j.attempts.set(p.idx, Math.max(p.attempt, j.attempts.get(p.idx) ?? 0));
    j.toReap.push({ p, listed: why !== 'gone' });
    if (this.isOver(j)) this.mark(j, 0);
    // What the counter holds is settled by it; its old placement needs no write of its own.
    if (!j.count.has(p.idx)) {
      j.dirtyChunks.add(Math.floor(p.idx / this.chunk));
      this.mark(j, this.lazyMs());
      j.fan.giveBack(p.idx);
      if (j.spec.shape === 'gang')
        for (const q of j.placed.values()) if (q.want === 'run') this.stopGangMate(j, q);
    }
    this.wantsDirty = true;
  }

  /** A gang that lost a task starts anew as a whole, once all its tasks are settled. */
  private stopGangMate(j: Job, p: Placement): void {
    this.stop(j, p, 0);
  }

  private stop(j: Job, p: Placement, graceS: number): void {
    p.want = 'stop';
    if (p.stored)
      this.outHeld.push(this.held(j, p.idx, p.attempt, p.machine, p.season, 'stop', graceS, p.grant));
  }

  private evict(job: string, idx: number, attempt: number, why: string): void {
    const j = this.jobs.get(job);
    const p = j?.placed.get(idx);
    if (!j || !p || p.attempt !== attempt || p.want === 'stop') return;
    this.o.log.debug({ job, idx, machine: p.machine, why }, 'task stopped to make room');
    const grace = j.spec.checkpointS > 0 ? j.spec.saveS + this.o.noticeGraceS : 0;
    if (j.spec.shape === 'gang') {
      for (const q of j.placed.values()) if (q.want === 'run') this.stop(j, q, grace);
    } else this.stop(j, p, grace);
  }

  private held(
    j: Job,
    idx: number,
    attempt: number,
    machine: string,
    season: number,
    want: Held['want'],
    graceS: number,
    grant: number,
  ): Held {
    const s = j.spec;
    return {
      job: s.id,
      idx,
      attempt,
      machine,
      season,
      want,
      graceS,
      team: s.team,
      rank: s.rank,
      gang: s.shape === 'gang',
      service: s.shape === 'service',
      cpus: s.cpus,
      gpus: s.gpus,
      mem: s.mem,
      image: s.image,
      imageGb: s.imageGb,
      estimateS: s.estimateS,
      types: s.types,
      spread: s.apart && s.tasks > 1,
      grant,
    };
  }

  // ---- work at the end of each batch of commands ------------------------------------------------

  flush(): void {
    this.loadTeams();
    this.write('work');
    this.write('tidy');
    this.tell();
  }

  private wakeAt(at: number): void {
    const now = this.o.clock.now();
    if (!Number.isFinite(at) || (this.flushTimer > now && this.flushTimer <= at)) return;
    this.flushTimer = at;
    this.o.clock.after(Math.max(1, at - now), () => this.o.wake());
  }

  private tell(): void {
    if (this.token === 0) return;
    const base = { token: this.token, inst: this.o.inst };
    if (this.needSync) {
      this.needSync = false;
      this.outHeld = [];
      this.outDrop = { tasks: [], grants: [] };
      this.dropNew();
      const held: Held[] = [];
      for (const j of this.jobs.values()) {
        for (const p of j.placed.values())
          if (p.stored) held.push(this.held(j, p.idx, p.attempt, p.machine, p.season, p.want, 0, 0));
        for (const r of j.toReap) {
          // Settled but not yet stored so: still ours, or the scheduler would reap what nobody claims.
          if (r.listed) held.push(this.held(j, r.p.idx, r.p.attempt, r.p.machine, r.p.season, 'keep', 0, 0));
        }
      }
      const gens = this.gens();
      this.synced = false;
      this.heldSent = 0;
      // In parts, so that no message is large; the scheduler takes them as one when it has the last.
      const sync = ++this.syncs;
      const parts = Math.max(1, Math.ceil(held.length / SYNC_PART));
      for (let i = 0; i < parts; i++)
        this.o.send({
          k: 'sync',
          ...base,
          sync,
          parts,
          part: i,
          gens,
          held: held.slice(i * SYNC_PART, (i + 1) * SYNC_PART),
          wants: i === parts - 1 ? this.wants() : [],
        });
      return;
    }
    if (!this.synced) return;
    if (this.outHeld.length > 0) {
      this.o.send({ k: 'held', ...base, held: this.outHeld });
      this.outHeld = [];
      this.heldSent++;
    }
    // After the stops that follow from what was read.
    const mark = this.marks.by(this.o.openReadAsOf());
    if (mark !== null && mark > this.coveredTold) {
      this.coveredTold = mark;
      const n = this.heldSent;
      this.o.send({ k: 'covered', ...base, sync: this.syncs, n, gens: this.gens(), mark });
    }
    if (this.outDrop.tasks.length + this.outDrop.grants.length > 0) {
      this.o.send({ k: 'drop', ...base, ...this.outDrop });
      this.outDrop = { tasks: [], grants: [] };
    }
    if (this.wantsDirty) {
      const now = this.o.clock.now();
      if (now < this.wantsAt) return this.wakeAt(this.wantsAt);
      this.wantsDirty = false;
      const wants = this.wants();
      // A long list is told less often: it costs both sides, and few places come free between two tellings.
      this.wantsAt = now + Math.min(300, 10 + wants.length * 3);
      const text = JSON.stringify(wants);
      if (text === this.lastWants) return;
      this.lastWants = text;
      this.o.send({ k: 'wants', ...base, wants });
    }
  }

  private gens(): Record<string, number> {
    const gens: Record<string, number> = {};
    for (const [name, t] of this.teams) if (t.loaded) gens[name] = t.gen;
    return gens;
  }

  /** Grants of an earlier scheduler are void; what was not yet sent to the state service goes back. */
  private dropNew(): void {
    for (const j of this.jobs.values()) {
      if (j.busy) continue;
      for (const p of [...j.placed.values()]) {
        if (p.stored) continue;
        this.dropPlaced(j, p);
        this.mark(j, 0);
        j.fan.giveBack(p.idx);
      }
    }
  }

  private wants(): Want[] {
    const now = this.o.clock.now();
    const queued = [...this.jobs.values()]
      .filter((j) => !j.cancelled && !j.reloading && !j.count.full)
      .map((j) => ({
        state: j,
        spec: j.spec,
        order: j.order,
        finished: j.count.n,
        placed: j.placed.size,
        failures: j.failures,
      }));
    const sorted = this.order.sort(queued, this.o.clock.wall(), (team) => this.load(team));
    const left = new Map<string, { cpus: number; gpus: number }>();
    for (const [name, t] of this.teams) {
      const lim = this.o.teams.get(name);
      if (!t.loaded || !lim) continue;
      const u = this.usage(name);
      left.set(name, {
        cpus: lim.cpusMax > 0 ? lim.cpusMax - u.cpus : Number.POSITIVE_INFINITY,
        gpus: lim.gpusMax > 0 ? lim.gpusMax - u.gpus : Number.POSITIVE_INFINITY,
      });
    }
    const out: Want[] = [];
    for (const { job, key } of sorted) {
      const j = job.state;
      const s = j.spec;
      const l = left.get(s.team);
      if (!l || j.holdUntil > now) continue;
      let open = s.tasks - j.count.n - j.placed.size;
      if (open <= 0) continue;
      if (s.shape === 'gang' && j.placed.size > 0) continue;
      let fit = Number.POSITIVE_INFINITY;
      if (s.cpus > 0) fit = Math.min(fit, Math.floor(l.cpus / s.cpus + 1e-9));
      if (s.gpus > 0) fit = Math.min(fit, Math.floor(l.gpus / s.gpus + 1e-9));
      if (s.shape === 'gang' && fit < s.tasks) continue;
      // A job that keeps failing is tried with one task at a time.
      if (j.failures >= 3 && s.shape !== 'gang') open = Math.min(open, Math.max(0, 1 - j.placed.size));
      open = Math.min(open, fit, s.shape === 'gang' ? s.tasks : this.o.batch);
      if (open <= 0) continue;
      l.cpus -= open * s.cpus;
      l.gpus -= open * s.gpus;
      out.push(this.want(j, key, open, now));
    }
    return out;
  }

  /** Its aim or deadline, and what is left until then. */
  private slack(j: Job): { aimS: number | null; slackS: number | null } {
    const s = j.spec;
    const aim = s.deadlineS ?? (s.shape === 'service' ? undefined : this.order.firstAimS(s));
    if (aim === undefined) return { aimS: null, slackS: null };
    const left = aim - (this.o.clock.wall() - s.at) / 1000;
    return left > 0 ? { aimS: aim, slackS: left } : { aimS: null, slackS: null };
  }

  private want(j: Job, key: QueueKey, open: number, now: number): Want {
    const s = j.spec;
    let zone = s.zone;
    let zoneRoom: Record<string, number> | null = null;
    const cap = Math.ceil(s.tasks / 2);
    // One task alone is spread anywhere, and must not count among those that need a second zone.
    if (s.apart && s.tasks > 1) zoneRoom = {};
    for (const p of j.placed.values()) {
      if (s.together) zone = p.zone;
      if (zoneRoom) zoneRoom[p.zone] = (zoneRoom[p.zone] ?? cap) - 1;
    }
    const avoid: string[] = [];
    for (const [m, until] of j.avoid) {
      if (until > now) avoid.push(m);
      else j.avoid.delete(m);
    }
    return {
      job: s.id,
      team: s.team,
      cls: s.cls,
      rank: s.rank,
      order: key.position,
      stage: key.stage,
      count: open,
      whole: s.shape === 'gang',
      service: s.shape === 'service',
      cpus: s.cpus,
      gpus: s.gpus,
      mem: s.mem,
      image: s.image,
      imageGb: s.imageGb,
      estimateS: s.estimateS,
      types: s.types,
      spot: s.spot,
      zone,
      together: s.together,
      zoneRoom,
      zoneCap: cap,
      avoid,
      near: j.near,
      patienceS: null,
      ...this.slack(j),
      seen: this.lastGrant,
    };
  }

  // ---- writing ----------------------------------------------------------------------------------

  /**
   * One transaction of each kind at a time: placements and counters don't wait behind tidying up, and what comes
   * meanwhile shares the next one.
   */
  private write(kind: 'work' | 'tidy'): void {
    const now = this.o.clock.now();
    if (this.txnBusy[kind] || this.dirty.size === 0) return;
    if (now < this.retryFlushAt) return this.wakeAt(this.retryFlushAt);
    const txn: Txn = { when: [], then: [] };
    const after: ((mark: number) => void)[] = [];
    const undo: (() => void)[] = [];
    const part: Job[] = [];
    const teams = new Set<string>();
    let bytes = 0;
    const jobs: Job[] = [];
    let next = Number.POSITIVE_INFINITY;
    for (const j of this.dirty) {
      if (j.reloading || j.busy) continue;
      const over = this.isOver(j);
      if (!over && !j.dirtyCount && j.dirtyChunks.size === 0) {
        j.dueAt = Number.POSITIVE_INFINITY;
        this.dirty.delete(j);
      } else if (over === (kind === 'tidy')) {
        if (j.dueAt <= now) jobs.push(j);
        else next = Math.min(next, j.dueAt);
      }
    }
    if (jobs.length === 0) return this.wakeAt(next);
    jobs.sort((a, b) => a.spec.rank - b.spec.rank || a.dueAt - b.dueAt || a.order - b.order);
    for (const j of jobs) {
      if (txn.then.length >= this.o.txnOps || bytes > 40000) break;
      const ops: StateOp[] = [];
      const commit =
        kind === 'tidy'
          ? this.archiveOps(j, this.o.txnOps - txn.then.length, ops)
          : this.jobOps(j, this.o.txnOps - txn.then.length, ops);
      if (!commit) continue;
      for (const op of ops) {
        bytes += JSON.stringify(op).length;
        const key = 'put' in op ? op.put : op.del;
        txn.when.push({ key, version: this.markOf(j, key) });
        txn.then.push(op);
      }
      if (!ops.some((op) => ('del' in op ? op.del : op.put) === `open/${j.spec.id}/a`))
        txn.when.push({ key: `open/${j.spec.id}/a`, version: j.aMark });
      if (!ops.some((op) => ('del' in op ? op.del : op.put) === `open/${j.spec.id}/n`))
        txn.when.push({ key: `open/${j.spec.id}/n`, version: j.nMark });
      teams.add(j.spec.team);
      part.push(j);
      after.push(commit.done);
      undo.push(commit.undo);
    }
    if (part.length === 0) return;
    for (const t of teams) txn.when.push({ key: `sys/team/${t}`, version: this.teams.get(t)?.gen ?? -1 });
    for (const j of part) {
      j.busy = true;
      j.dueAt = Number.POSITIVE_INFINITY;
    }
    this.txnBusy[kind] = true;
    this.o.state.txn(txn, kind === 'tidy' ? URGENCY.cleanup : URGENCY.placement, (r) => {
      this.txnBusy[kind] = false;
      for (const j of part) {
        j.busy = false;
        // Looked at again by the next write, and let go there if nothing is left to store.
        if (this.jobs.get(j.spec.id) === j) this.mark(j, j.dirtyCount && !j.count.full ? this.lazyMs() : 0);
      }
      if (r.ok) {
        for (const f of after) f(r.value);
      } else if (r.kind === 'refused') {
        // Surely not executed: what was to be stored still is.
        for (const f of undo) f();
        this.retryFlushAt = this.o.clock.now() + 100;
        this.o.clock.after(110, () => this.o.wake());
      } else {
        // Not applied, or nobody knows: the stored records decide. A late application finds its conditions
        // changed, or is seen as a conflict by the next write.
        this.o.log.debug(
          { kind: r.kind, failed: r.failed ?? [], jobs: part.map((j) => j.spec.id) },
          'write not confirmed',
        );
        if (r.kind === 'conflict' && r.failed?.every((k) => k.startsWith('sys/team/'))) {
          // Ownership moved; the watch will tell. Nothing of ours was stored.
          this.retryFlushAt = this.o.clock.now() + 200;
          this.o.clock.after(210, () => this.o.wake());
        }
        for (const j of part) if (this.jobs.get(j.spec.id) === j) this.reload(j);
      }
      this.o.wake();
    });
  }

  private markOf(j: Job, key: string): number {
    if (key === `open/${j.spec.id}/a`) return j.aMark;
    if (key === `open/${j.spec.id}/n`) return j.nMark;
    if (key.startsWith('place/')) return j.chunkMarks.get(Number(key.slice(key.lastIndexOf('/') + 1))) ?? 0;
    return 0;
  }

  private isOver(j: Job): boolean {
    return (j.cancelled || (j.count.full && !j.dirtyCount)) && j.placed.size === 0;
  }

  private jobOps(j: Job, room: number, ops: StateOp[]): Commit | null {
    const id = j.spec.id;
    const countToo = j.dirtyCount;
    const chunks = [...j.dirtyChunks].slice(0, Math.max(0, room - (countToo ? 1 : 0)));
    if (room < 1) return null;
    const news: Placement[] = [];
    const reaps = j.toReap;
    const kept: typeof reaps = [];
    const done: typeof reaps = [];
    for (const r of reaps)
      (chunks.includes(Math.floor(r.p.idx / this.chunk)) || (countToo && j.count.has(r.p.idx))
        ? done
        : kept
      ).push(r);
    if (countToo) ops.push({ put: `open/${id}/n`, value: countRecord(j.count, j.shownRunning) });
    for (const c of chunks) {
      const tasks: Record<string, Placed> = {};
      let any = false;
      for (let i = c * this.chunk; i < Math.min(j.spec.tasks, (c + 1) * this.chunk); i++) {
        const p = j.placed.get(i);
        if (p) {
          tasks[i] = [p.attempt, p.machine, p.season, p.zone];
          if (!p.stored) news.push(p);
          any = true;
        } else if (!j.count.has(i)) {
          const a = j.attempts.get(i);
          if (a) {
            tasks[i] = [a];
            any = true;
          }
        }
      }
      const key = placeKey(id, c);
      if (any) ops.push({ put: key, value: { t: tasks } satisfies PlaceRecord });
      else if (j.chunkMarks.get(c)) ops.push({ del: key });
    }
    if (ops.length === 0) {
      for (const c of chunks) j.dirtyChunks.delete(c);
      return null;
    }
    const running = j.shownRunning;
    j.dirtyCount = false;
    for (const c of chunks) j.dirtyChunks.delete(c);
    j.toReap = kept;
    const undo = () => {
      j.dirtyCount ||= countToo;
      for (const c of chunks) j.dirtyChunks.add(c);
      j.toReap.push(...done);
    };
    const commit = (mark: number) => {
      if (countToo) {
        j.nMark = mark;
        j.storedRunning = running;
        if (j.count.full) this.o.log.debug({ job: id }, 'counter full: job done');
      }
      for (const op of ops) {
        if ('put' in op && op.put.startsWith('place/'))
          j.chunkMarks.set(Number(op.put.slice(op.put.lastIndexOf('/') + 1)), mark);
        if ('del' in op) j.chunkMarks.delete(Number(op.del.slice(op.del.lastIndexOf('/') + 1)));
      }
      for (const p of news) {
        p.stored = true;
        j.attempts.set(p.idx, p.attempt);
        if (j.placed.get(p.idx) !== p) continue;
        const want = j.cancelled ? 'stop' : p.want;
        p.want = want;
        this.outHeld.push(this.held(j, p.idx, p.attempt, p.machine, p.season, want, 0, p.grant));
        this.o.log.debug({ job: id, idx: p.idx, attempt: p.attempt, machine: p.machine }, 'placement stored');
      }
      for (const r of done) this.sendReap(j, r);
    };
    return { done: commit, undo };
  }

  private sendReap(j: Job, r: { p: Placement; listed: boolean }): void {
    if (r.listed)
      this.outHeld.push(this.held(j, r.p.idx, r.p.attempt, r.p.machine, r.p.season, 'reap', 0, 0));
    else this.outDrop.tasks.push({ machine: r.p.machine, key: `${j.spec.id}/${r.p.idx}#${r.p.attempt}` });
  }

  /** A job that is over leaves one final record; its working records are dropped, placements first. */
  private archiveOps(j: Job, room: number, ops: StateOp[]): Commit | null {
    const id = j.spec.id;
    const need = 2 + (j.nMark > 0 ? 1 : 0);
    if (room < need + Math.min(1, j.chunkMarks.size)) return null;
    const chunks = [...j.chunkMarks.keys()].slice(0, Math.max(0, room - need));
    const last = chunks.length === j.chunkMarks.size;
    for (const c of chunks) ops.push({ del: placeKey(id, c) });
    if (last) {
      ops.push({ put: `end/${id}`, value: { d: j.cancelled ? 0 : 1, n: j.count.n } });
      ops.push({ del: `open/${id}/a` });
      if (j.nMark > 0) ops.push({ del: `open/${id}/n` });
    }
    const reaps = j.toReap;
    const commit = () => {
      for (const c of chunks) {
        j.chunkMarks.delete(c);
        j.dirtyChunks.delete(c);
      }
      for (const r of reaps) this.sendReap(j, r);
      j.toReap = [];
      if (last) {
        this.forget(id);
        this.o.log.debug({ job: id, cancelled: j.cancelled, done: j.count.n }, 'job filed');
      }
    };
    return { done: commit, undo: () => {} };
  }
}
