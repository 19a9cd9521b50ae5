import { Marks } from '../horizon.js';
import { chunkSize, readJob, releaseWindow, type StoredJob } from '../records.js';
import {
  type Clock,
  type Grant,
  type Held,
  type Logger,
  type Objective,
  type OwnerMsg,
  type SchedulerMsg,
  type Seen,
  type StatePort,
  type Team,
  taskKey,
  type Want,
} from '../types.js';
import {
  gangAttempt,
  heldOf,
  isInDoubt,
  isOver,
  newJob,
  type OwnedJob,
  type Placement,
  type SettledPlacement,
  zoneAllows,
} from './job.js';
import { JobTransactions } from './job-transactions.js';
import type { WriteEvents } from './job-writes.js';
import { ReleaseOrder } from './release-order.js';
import { readStoredJobs } from './stored-jobs.js';
import { TeamUsage, tasksWithin, type UsageCause } from './team-usage.js';
import { UsageLog } from './usage-log.js';
import { listWants } from './wants.js';
import { WriteFence } from './write-fence.js';

export interface OwnerOptions {
  host: string;
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

/** Pause before a read that failed is repeated. */
const RETRY_MS = 300;

/** Most placements told in one message. */
const SYNC_PART = 400;

/** Holds the teams assigned to this controller: release, queue, limits, one attempt per task, counters. */
export class Owner implements WriteEvents {
  private readonly jobs = new Map<string, OwnedJob>();
  private readonly teams = new Map<string, { gen: number; loaded: boolean; loading: boolean }>();
  private readonly usage: TeamUsage;
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
  private readonly fence: WriteFence;
  private readonly transactions: JobTransactions;
  private readonly usageLog: UsageLog;
  private readonly archived = new Set<string>();
  private readonly chunk: number;
  private readonly window: number;
  private token = 0;
  private synced = false;
  private needSync = false;
  private wantsDirty = false;
  private lastWants = '';
  private outHeld: Held[] = [];
  private outDrop: { tasks: { machine: string; key: string }[]; grants: number[] } = {
    tasks: [],
    grants: [],
  };

  constructor(private readonly o: OwnerOptions) {
    this.chunk = chunkSize(o.valueKb);
    this.order = new ReleaseOrder(o.objectives);
    this.usage = new TeamUsage(o.teams);
    this.usageLog = new UsageLog(this.usage, o.clock, o.log);
    this.window = releaseWindow(o.valueKb);
    this.fence = new WriteFence({
      key: `fence/${o.host}`,
      inst: o.inst,
      state: o.state,
      clock: o.clock,
      log: o.log,
      ready: () => o.wake(),
    });
    this.transactions = new JobTransactions({
      ...o,
      fence: this.fence,
      events: this,
      chunk: this.chunk,
      teamRevision: (team) => this.teams.get(team)?.gen,
      holds: (job) => this.jobs.get(job.spec.id) === job,
      unconfirmed: (jobs, inDoubt, fence) => {
        if (inDoubt) this.usageLog.inDoubt(jobs, fence);
        for (const job of jobs) this.reload(job, inDoubt);
      },
      wakeAt: (at) => this.wakeAt(at),
    });
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

  private letGo(j: OwnedJob): void {
    this.usage.remove(j.spec, 'let_go', j.placed.size);
    this.jobs.delete(j.spec.id);
    this.transactions.drop(j);
  }

  private putPlaced(j: OwnedJob, p: Placement, cause: UsageCause): void {
    j.placed.set(p.idx, p);
    this.usage.add(j.spec, cause);
  }

  private dropPlaced(j: OwnedJob, p: Placement, cause: UsageCause): void {
    if (j.placed.delete(p.idx)) this.usage.remove(j.spec, cause);
  }

  /** A scheduler with a higher token is heeded from now on; one with a lower token never again. */
  setScheduler(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    this.o.log.info({ token }, 'owner heeds leader');
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
    this.fence.learn();
    readStoredJobs(this.o.state, null, (found) => {
      for (const [, t] of wanted) t.loading = false;
      if (!found) return void this.o.clock.after(RETRY_MS, () => this.o.wake());
      for (const [name, t] of wanted) if (this.teams.get(name) === t) this.loadTeam(name, t, found);
      // Jobs accepted between the listing and now were shown by the watch before the team was loaded.
      for (const [key, it] of this.o.openItems()) {
        const [, id, part] = key.split('/');
        if (id && part === 'a') this.openChanged(id, part, it.value, it.version);
      }
      this.needSync = true;
      this.o.wake();
    });
  }

  private loadTeam(
    name: string,
    team: { gen: number; loaded: boolean },
    found: Map<string, StoredJob>,
  ): void {
    team.loaded = true;
    const jobs = [...found.values()].filter(({ spec }) => spec?.team === name);
    for (const job of jobs) this.adopt(job);
    const fields = { team: name, jobs: jobs.length, gen: team.gen, ...this.usage.describe(name) };
    this.o.log.info(fields, 'team loaded');
    this.usageLog.checkLimit(name);
  }

  private adopt(s: StoredJob): void {
    const spec = s.spec;
    if (!spec || s.order === 0) return;
    const old = this.jobs.get(spec.id);
    if (old) this.letGo(old);
    const j = newJob(spec, s, old, this.window);
    for (const [chunk, rec] of s.places) {
      j.chunkRevisions.set(chunk, rec.mark);
      for (const [k, p] of Object.entries(rec.tasks)) {
        const idx = Number(k);
        j.attempts.set(idx, p[0]);
        if (p.length < 4 || j.count.has(idx)) continue;
        this.putPlaced(
          j,
          {
            idx,
            attempt: p[0],
            machine: p[1] as string,
            season: p[2] as number,
            zone: p[3] as string,
            grant: 0,
            stored: true,
            want: j.cancelled ? 'stop' : 'run',
            running: old?.placed.get(idx)?.running ?? false,
          },
          'read',
        );
      }
    }
    if (spec.shape === 'gang' && j.count.full) for (const p of j.placed.values()) p.want = 'stop';
    for (const p of j.placed.values()) if (p.running) j.shownRunning++;
    j.fan.skipTo((i) => j.count.has(i));
    this.jobs.set(spec.id, j);
    if (!old) this.order.learn(spec);
    if (isOver(j)) this.transactions.mark(j, 0);
  }

  /**
   * Reads the stored records of a job again. With a write of it in doubt, only once that write can no longer be carried
   * out: else what the read does not show may still be stored after it, beyond the team's limit or in another zone.
   */
  private reload(j: OwnedJob, inDoubt = false): void {
    if (j.reloading) return;
    j.reloading = true;
    const { id } = j.spec;
    const since = this.o.clock.now();
    const read = () =>
      readStoredJobs(this.o.state, id, (found) => {
        if (this.jobs.get(id) !== j) return;
        if (!found) return void this.o.clock.after(RETRY_MS, () => this.jobs.get(id) === j && read());
        this.reloaded(j, found.get(id));
        const now = this.jobs.get(id);
        if (inDoubt && now) this.usageLog.resolved(now, j, since);
      });
    if (inDoubt) this.fence.move(read);
    else read();
  }

  private reloaded(j: OwnedJob, stored: StoredJob | undefined): void {
    const { id, team } = j.spec;
    if (stored?.spec) this.adopt(stored);
    else this.forget(id);
    const { jobRevision, counterRevision, places } = stored ?? {};
    const revisions = { job: jobRevision, counter: counterRevision, places: places?.size };
    this.o.log.debug({ job: id, found: !!stored?.spec, revisions }, 'job read again');
    this.usageLog.checkLimit(team);
    this.needSync = true;
    this.o.wake();
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
      if (j && mark > j.counterRevision && !j.busy && !j.reloading) this.reload(j);
      return;
    }
    if (part !== 'a') return;
    if (j) {
      // Also of a job that is being read again: that read may wait out an outage, while what runs must be stopped.
      if (mark > j.jobRevision) {
        const found = new Map<string, StoredJob>();
        readJob(found, { key: `open/${id}/a`, value, version: mark });
        const s = found.get(id);
        if (s?.cancelled) {
          j.jobRevision = mark;
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

  private cancel(j: OwnedJob): void {
    if (j.cancelled) return;
    j.cancelled = true;
    this.o.log.debug({ job: j.spec.id, placed: j.placed.size }, 'cancelled');
    for (const p of [...j.placed.values()]) {
      if (!p.stored && !isInDoubt(j)) {
        this.outDrop.grants.push(p.grant);
        this.dropPlaced(j, p, 'returned');
      } else this.stop(j, p, 0);
    }
    this.transactions.mark(j, 0);
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
      if (!ok || (gang && !this.admitsGang(j, l))) {
        this.outDrop.grants.push(...l.map((g) => g.id));
        continue;
      }
      for (const g of l) if (!this.place(j, g)) this.outDrop.grants.push(g.id);
    }
    this.wantsDirty = true;
  }

  /**
   * Places for a gang are taken all or none: one with a part of its tasks placed would hold them until it gives up
   * waiting for the others (seen on bhuj-relief-works: 1 of 12 placed at a team's limit, ended after `gang_wait_s`).
   */
  private admitsGang(j: OwnedJob, grants: Grant[]): boolean {
    const { spec } = j;
    if (grants.length !== spec.tasks || j.placed.size > 0) return false;
    const left = this.usage.remaining(spec.team);
    if (left === null || tasksWithin(left, spec) < spec.tasks) return false;
    const zones = new Set(grants.map((grant) => grant.zone));
    return !spec.together || zones.size === 1;
  }

  private place(j: OwnedJob, g: Grant): boolean {
    if (!this.usage.admits(j.spec)) return false;
    if (!zoneAllows(j, g.zone)) return false;
    const idx = j.fan.take(
      (i) => j.count.has(i) || j.placed.has(i),
      (i) => j.count.has(i),
    );
    if (idx < 0) return false;
    const attempt = j.spec.shape === 'gang' ? gangAttempt(j) : (j.attempts.get(idx) ?? 0) + 1;
    this.putPlaced(
      j,
      {
        idx,
        attempt,
        machine: g.machine,
        season: g.season,
        zone: g.zone,
        grant: g.id,
        stored: false,
        want: 'run',
        running: false,
      },
      'granted',
    );
    j.dirtyChunks.add(Math.floor(idx / this.chunk));
    this.transactions.mark(j, 0);
    return true;
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
    if (s.phase !== 'exited') {
      const running = s.phase === 'running';
      if (running !== p.running) {
        p.running = running;
        j.shownRunning += running ? 1 : -1;
        // Users are told `running` from the stored record; one write when the first task runs will do.
        if (running && j.storedRunning === 0) {
          j.storedRunning = 1;
          j.dirtyCount = true;
          this.transactions.mark(j, this.transactions.lazyMs());
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
      this.transactions.mark(j, j.count.full ? 0 : this.transactions.lazyMs());
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

  private reapStored(j: OwnedJob | undefined, s: Seen): void {
    if (!j) return;
    if (!j.count.has(s.idx) && (j.attempts.get(s.idx) ?? 0) <= s.attempt && j.placed.has(s.idx)) return;
    if (j.busy || j.dirtyCount || j.dirtyChunks.has(Math.floor(s.idx / this.chunk))) return;
    if (j.toReap.some((r) => r.placement.idx === s.idx)) return;
    this.outHeld.push(heldOf(j, { ...s, season: 0 }, 'reap'));
  }

  private settle(j: OwnedJob, p: Placement, why: string): void {
    if (p.running) j.shownRunning--;
    this.dropPlaced(j, p, why === 'gone' ? 'gone' : 'ended');
    j.attempts.set(p.idx, Math.max(p.attempt, j.attempts.get(p.idx) ?? 0));
    j.toReap.push({ placement: p, listed: why !== 'gone' });
    if (isOver(j)) this.transactions.mark(j, 0);
    // What the counter holds is settled by it; its old placement needs no write of its own.
    if (!j.count.has(p.idx)) {
      j.dirtyChunks.add(Math.floor(p.idx / this.chunk));
      this.transactions.mark(j, this.transactions.lazyMs());
      j.fan.giveBack(p.idx);
      if (j.spec.shape === 'gang')
        for (const q of j.placed.values()) if (q.want === 'run') this.stopGangMate(j, q);
    }
    this.wantsDirty = true;
  }

  /** A gang that lost a task starts anew as a whole, once all its tasks are settled. */
  private stopGangMate(j: OwnedJob, p: Placement): void {
    this.stop(j, p, 0);
  }

  private stop(j: OwnedJob, p: Placement, graceS: number): void {
    p.want = 'stop';
    if (p.stored) this.outHeld.push(heldOf(j, p, 'stop', graceS, p.grant));
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

  // ---- work at the end of each batch of commands ------------------------------------------------

  flush(): void {
    this.loadTeams();
    this.transactions.write();
    this.tell();
    this.usageLog.look(this.teams.keys(), this.jobs.values());
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
        for (const p of j.placed.values()) if (p.stored) held.push(heldOf(j, p, p.want));
        for (const r of j.toReap) {
          // Settled but not yet stored so: still ours, or the scheduler would reap what nobody claims.
          if (r.listed) held.push(heldOf(j, r.placement, 'keep'));
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
          wants: i === parts - 1 ? this.listWants() : [],
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
      const wants = this.listWants();
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

  private listWants(): Want[] {
    return listWants({
      jobs: this.jobs.values(),
      teams: [...this.teams].filter(([, team]) => team.loaded).map(([name]) => name),
      order: this.order,
      usage: this.usage,
      batch: this.o.batch,
      nowMs: this.o.clock.now(),
      wallMs: this.o.clock.wall(),
      lastGrant: this.lastGrant,
    });
  }

  /**
   * Grants of an earlier scheduler are void; what was not yet sent to the state service goes back. What was sent and is
   * in doubt stays and counts: given back, its room would be granted to other jobs and the team go over its limit.
   */
  private dropNew(): void {
    for (const j of this.jobs.values()) {
      if (isInDoubt(j)) continue;
      for (const p of [...j.placed.values()]) {
        if (p.stored) continue;
        this.dropPlaced(j, p, 'returned');
        this.transactions.mark(j, 0);
        j.fan.giveBack(p.idx);
      }
    }
  }

  // ---- what follows from writes ------------------------------------------------------------------

  placementStored(j: OwnedJob, p: Placement): void {
    if (j.cancelled) p.want = 'stop';
    this.outHeld.push(heldOf(j, p, p.want, 0, p.grant));
    this.o.log.debug(
      {
        job: j.spec.id,
        idx: p.idx,
        attempt: p.attempt,
        machine: p.machine,
        team: j.spec.team,
        grant: p.grant,
        ...this.usage.describe(j.spec.team),
      },
      'placement stored',
    );
  }

  outcomeStored(j: OwnedJob, { placement, listed }: SettledPlacement): void {
    if (listed) return void this.outHeld.push(heldOf(j, placement, 'reap'));
    const key = taskKey(j.spec.id, placement.idx, placement.attempt);
    this.outDrop.tasks.push({ machine: placement.machine, key });
  }

  counterFull(j: OwnedJob): void {
    this.o.log.debug({ job: j.spec.id }, 'counter full: job done');
  }

  filed(j: OwnedJob): void {
    this.forget(j.spec.id);
    this.o.log.debug({ job: j.spec.id, cancelled: j.cancelled, done: j.count.n }, 'job filed');
  }
}
