import { Marks } from '../horizon.js';
import { LimitedLog } from '../limited-log.js';
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
import { AVOID_AFTER_REFUSAL_MS, takeGrants } from './grant-intake.js';
import {
  gangAttempt,
  heldOf,
  isInDoubt,
  isOver,
  newJob,
  type OwnedJob,
  type Placement,
  type SettledPlacement,
} from './job.js';
import { JobTransactions } from './job-transactions.js';
import type { WriteEvents } from './job-writes.js';
import { ReleaseOrder } from './release-order.js';
import { readStoredJobs } from './stored-jobs.js';
import { TeamUsage, type UsageCause } from './team-usage.js';
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
  private readonly limitedLog: LimitedLog;
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

  constructor(private readonly options: OwnerOptions) {
    this.chunk = chunkSize(options.valueKb);
    this.order = new ReleaseOrder(options.objectives);
    this.usage = new TeamUsage(options.teams);
    this.limitedLog = new LimitedLog(options.log, options.clock);
    this.usageLog = new UsageLog(this.usage, options.clock, options.log);
    this.window = releaseWindow(options.valueKb);
    this.fence = new WriteFence({
      key: `fence/${options.host}`,
      inst: options.inst,
      state: options.state,
      clock: options.clock,
      log: options.log,
      ready: () => options.wake(),
    });
    this.transactions = new JobTransactions({
      ...options,
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
    for (const job of this.jobs.values()) placed += job.placed.size;
    return { jobs: this.jobs.size, placed };
  }

  /** The teams whose records name this instance, by record version. */
  setTeams(now: Map<string, number>): void {
    for (const [name, team] of this.teams) {
      if (now.get(name) === team.gen) continue;
      this.teams.delete(name);
      for (const job of [...this.jobs.values()]) if (job.spec.team === name) this.letGo(job);
      this.options.log.debug({ team: name }, 'team let go');
      this.needSync = true;
    }
    for (const [name, gen] of now) {
      if (this.teams.has(name)) continue;
      this.teams.set(name, { gen, loaded: false, loading: false });
      this.options.log.debug({ team: name, gen }, 'team taken on');
    }
    this.options.wake();
  }

  private letGo(job: OwnedJob): void {
    this.usage.remove(job.spec, 'let_go', job.placed.size);
    this.jobs.delete(job.spec.id);
    this.transactions.drop(job);
  }

  private putPlaced(job: OwnedJob, placement: Placement, cause: UsageCause): void {
    job.placed.set(placement.idx, placement);
    this.usage.add(job.spec, cause);
  }

  private dropPlaced(job: OwnedJob, placement: Placement, cause: UsageCause): void {
    if (job.placed.delete(placement.idx)) this.usage.remove(job.spec, cause);
  }

  /** A scheduler with a higher token is heeded from now on; one with a lower token never again. */
  setScheduler(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    this.options.log.info({ token }, 'owner heeds leader');
    this.marks.clear();
    this.coveredTold = Number.NEGATIVE_INFINITY;
    this.lastGrant = 0;
    // Numbers of the last leader's grants: the next one counts anew.
    for (const job of this.jobs.values()) for (const placement of job.placed.values()) placement.grant = 0;
    this.synced = false;
    this.needSync = true;
    this.options.wake();
  }

  resync(): void {
    this.synced = false;
    this.needSync = true;
    this.options.wake();
  }

  // ---- stored state -------------------------------------------------------------------------

  private loadTeams(): void {
    const wanted = [...this.teams].filter(([, team]) => !team.loaded && !team.loading);
    if (wanted.length === 0) return;
    for (const [, team] of wanted) team.loading = true;
    this.fence.learn();
    readStoredJobs(this.options.state, null, (found) => {
      for (const [, team] of wanted) team.loading = false;
      if (!found) return void this.options.clock.after(RETRY_MS, () => this.options.wake());
      for (const [name, team] of wanted) if (this.teams.get(name) === team) this.loadTeam(name, team, found);
      // Jobs accepted between the listing and now were shown by the watch before the team was loaded.
      for (const [key, item] of this.options.openItems()) {
        const [, id, part] = key.split('/');
        if (id && part === 'a') this.openChanged(id, part, item.value, item.version);
      }
      this.needSync = true;
      this.options.wake();
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
    this.options.log.info(fields, 'team loaded');
    this.usageLog.checkLimit(name);
  }

  private adopt(stored: StoredJob): void {
    const spec = stored.spec;
    if (!spec || stored.order === 0) return;
    const old = this.jobs.get(spec.id);
    if (old) this.letGo(old);
    const job = newJob(spec, stored, old, this.window);
    for (const [chunk, record] of stored.places) {
      job.chunkRevisions.set(chunk, record.mark);
      for (const [idx, { attempt, location }] of record.tasks) {
        job.attempts.set(idx, attempt);
        if (!location || job.count.has(idx)) continue;
        this.putPlaced(
          job,
          {
            idx,
            attempt,
            ...location,
            grant: 0,
            stored: true,
            want: job.cancelled ? 'stop' : 'run',
            running: old?.placed.get(idx)?.running ?? false,
          },
          'read',
        );
      }
    }
    if (spec.shape === 'gang' && job.count.full)
      for (const placement of job.placed.values()) placement.want = 'stop';
    for (const placement of job.placed.values()) if (placement.running) job.shownRunning++;
    job.fan.skipTo((i) => job.count.has(i));
    this.jobs.set(spec.id, job);
    if (!old) this.order.learn(spec);
    if (isOver(job)) this.transactions.mark(job, 0);
  }

  /**
   * Reads the stored records of a job again. With a write of it in doubt, only once that write can no longer be carried
   * out: else what the read does not show may still be stored after it, beyond the team's limit or in another zone.
   */
  private reload(job: OwnedJob, inDoubt = false): void {
    if (job.reloading) return;
    job.reloading = true;
    const { id } = job.spec;
    const since = this.options.clock.now();
    const read = () =>
      readStoredJobs(this.options.state, id, (found) => {
        if (this.jobs.get(id) !== job) return;
        if (!found) return void this.options.clock.after(RETRY_MS, () => this.jobs.get(id) === job && read());
        this.reloaded(job, found.get(id));
        const now = this.jobs.get(id);
        if (inDoubt && now) this.usageLog.resolved(now, job, since);
      });
    if (inDoubt) this.fence.move(read);
    else read();
  }

  private reloaded(job: OwnedJob, stored: StoredJob | undefined): void {
    const { id, team } = job.spec;
    if (stored?.spec) this.adopt(stored);
    else this.forget(id);
    const { jobRevision, counterRevision, places } = stored ?? {};
    const revisions = { job: jobRevision, counter: counterRevision, places: places?.size };
    this.options.log.debug({ job: id, found: !!stored?.spec, revisions }, 'job read again');
    this.usageLog.checkLimit(team);
    this.needSync = true;
    this.options.wake();
  }

  private forget(id: string): void {
    const job = this.jobs.get(id);
    if (job) this.letGo(job);
    this.archived.add(id);
    if (this.archived.size > 5000) for (const x of [...this.archived].slice(0, 1000)) this.archived.delete(x);
    this.wantsDirty = true;
  }

  /** A change under `open/`, from the watch. */
  openChanged(id: string, part: string, value: unknown, mark: number): void {
    const job = this.jobs.get(id);
    if (part === 'n') {
      if (job && mark > job.counterRevision && !job.busy && !job.reloading) this.reload(job);
      return;
    }
    if (part !== 'a') return;
    if (job) {
      // Also of a job that is being read again: that read may wait out an outage, while what runs must be stopped.
      if (mark > job.jobRevision) {
        const found = new Map<string, StoredJob>();
        readJob(found, { key: `open/${id}/a`, value, version: mark });
        const s = found.get(id);
        if (s?.cancelled) {
          job.jobRevision = mark;
          this.cancel(job);
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
    this.options.log.debug({ job: id, tasks: s.spec.tasks, team: s.spec.team }, 'released');
    this.wantsDirty = true;
    this.options.wake();
  }

  private cancel(job: OwnedJob): void {
    if (job.cancelled) return;
    job.cancelled = true;
    this.options.log.debug({ job: job.spec.id, placed: job.placed.size }, 'cancelled');
    for (const placement of [...job.placed.values()]) {
      if (!placement.stored && !isInDoubt(job)) {
        const key = taskKey(job.spec.id, placement.idx, placement.attempt);
        this.outDrop.grants.push(placement.grant);
        this.outDrop.tasks.push({ machine: placement.machine, key });
        this.dropPlaced(job, placement, 'returned');
      } else this.stop(job, placement, 0);
    }
    this.transactions.mark(job, 0);
    this.wantsDirty = true;
    this.options.wake();
  }

  // ---- scheduler ---------------------------------------------------------------------------------

  fromScheduler(message: SchedulerMsg): void {
    if (message.token !== this.token) return;
    switch (message.type) {
      case 'synced':
        // With another telling on its way, grants sent before that one is taken in are dropped by the leader and must be here:
        // their places are granted again.
        if (message.sync !== undefined && message.sync !== this.syncs) return;
        this.synced = true;
        this.wantsDirty = true;
        this.lastWants = '';
        break;
      case 'resync':
        this.resync();
        break;
      case 'grants':
        this.granted(message.grants);
        break;
      case 'seen':
        for (const seen of message.seen) this.saw(seen);
        break;
      case 'mark':
        this.marks.add(message.at, this.options.clock.now());
        this.options.readOpen();
        break;
      case 'evict':
        for (const task of message.tasks) this.evict(task.job, task.idx, task.attempt, message.why);
        break;
    }
    this.options.wake();
  }

  private granted(grants: Grant[]): void {
    const byJob = new Map<string, Grant[]>();
    for (const grant of grants) {
      this.lastGrant = Math.max(this.lastGrant, grant.id);
      const offered = byJob.get(grant.job);
      if (offered) offered.push(grant);
      else byJob.set(grant.job, [grant]);
    }
    for (const [id, offered] of byJob) {
      const job = this.jobs.get(id);
      const ok = job && !job.cancelled && !job.reloading && !job.count.full && this.synced;
      const place = (grant: Grant, idx: number) => job && this.place(job, grant, idx);
      const now = this.options.clock.now();
      const placed = new Set(ok ? takeGrants(job, offered, this.usage, now, place) : []);
      for (const grant of offered) if (!placed.has(grant)) this.outDrop.grants.push(grant.id);
    }
    this.wantsDirty = true;
  }

  private place(job: OwnedJob, grant: Grant, idx: number): void {
    const attempt = job.spec.shape === 'gang' ? gangAttempt(job) : (job.attempts.get(idx) ?? 0) + 1;
    this.putPlaced(
      job,
      {
        idx,
        attempt,
        machine: grant.machine,
        season: grant.season,
        zone: grant.zone,
        grant: grant.id,
        stored: false,
        want: 'run',
        running: false,
      },
      'granted',
    );
    job.dirtyChunks.add(Math.floor(idx / this.chunk));
    this.transactions.mark(job, 0);
  }

  private saw(seen: Seen): void {
    const job = this.jobs.get(seen.job);
    const placement = job?.placed.get(seen.idx);
    if (
      !job ||
      !placement ||
      placement.attempt !== seen.attempt ||
      placement.machine !== seen.machine ||
      !placement.stored
    ) {
      // Told again after its outcome was stored: the reap was lost with an earlier scheduler.
      if (seen.type === 'phase' && seen.phase === 'exited' && !job?.reloading) this.reapStored(job, seen);
      return;
    }
    if (seen.type === 'settled') {
      this.settle(job, placement, 'gone');
      return;
    }
    if (seen.phase !== 'exited') {
      const running = seen.phase === 'running';
      if (running !== placement.running) {
        placement.running = running;
        job.shownRunning += running ? 1 : -1;
        // Users are told `running` from the stored record; one write when the first task runs will do.
        if (running && job.storedRunning === 0) {
          job.storedRunning = 1;
          job.dirtyCount = true;
          this.transactions.mark(job, this.transactions.lazyMs());
        }
        if (running)
          this.options.log.debug({ job: seen.job, idx: seen.idx, machine: seen.machine }, 'task runs');
      }
      return;
    }
    this.options.log.debug(
      { job: seen.job, idx: seen.idx, machine: seen.machine, attempt: seen.attempt, why: seen.why },
      'task ended',
    );
    const now = this.options.clock.now();
    if (seen.why === 'done' && job.spec.shape !== 'service') {
      if (job.count.add(placement.idx)) job.dirtyCount = true;
      // "When one is done, all are": the rest of a gang is counted with it, and settled as it is reported.
      if (job.spec.shape === 'gang') for (let i = 0; i < job.spec.tasks; i++) job.count.add(i);
      this.transactions.mark(job, job.count.full ? 0 : this.transactions.lazyMs());
      job.failures = 0;
      job.near = placement.machine;
    } else if (seen.why === 'error' || seen.why === 'unknown') {
      job.failures++;
      job.avoid.set(placement.machine, now + 60000);
      const pause = Math.min(60000, 500 * 2 ** Math.min(7, job.failures - 1));
      job.holdUntil = now + pause;
      this.options.log.info(
        { job: seen.job, idx: seen.idx, machine: seen.machine, why: seen.why, pause_ms: pause },
        'task failed',
      );
      this.options.clock.after(pause, () => this.changed());
    } else if (seen.why === 'no_room' || seen.why === 'busy') {
      job.avoid.set(placement.machine, now + AVOID_AFTER_REFUSAL_MS);
      const { idx, attempt, machine, why } = seen;
      this.limitedLog.info({ job: seen.job, idx, attempt, machine, why }, 'start refused');
    }
    this.settle(job, placement, seen.why ?? 'exited');
  }

  private changed(): void {
    this.wantsDirty = true;
    this.options.wake();
  }

  private reapStored(job: OwnedJob | undefined, seen: Seen): void {
    if (!job) return;
    if (
      !job.count.has(seen.idx) &&
      (job.attempts.get(seen.idx) ?? 0) <= seen.attempt &&
      job.placed.has(seen.idx)
    )
      return;
    if (job.busy || job.dirtyCount || job.dirtyChunks.has(Math.floor(seen.idx / this.chunk))) return;
    if (job.toReap.some((reap) => reap.placement.idx === seen.idx)) return;
    this.outHeld.push(heldOf(job, { ...seen, season: 0 }, 'reap'));
  }

  private settle(job: OwnedJob, placement: Placement, why: string): void {
    if (placement.running) job.shownRunning--;
    this.dropPlaced(job, placement, why === 'gone' ? 'gone' : 'ended');
    job.attempts.set(placement.idx, Math.max(placement.attempt, job.attempts.get(placement.idx) ?? 0));
    job.toReap.push({ placement: placement, listed: why !== 'gone' });
    if (isOver(job)) this.transactions.mark(job, 0);
    // What the counter holds is settled by it; its old placement needs no write of its own.
    if (!job.count.has(placement.idx)) {
      job.dirtyChunks.add(Math.floor(placement.idx / this.chunk));
      this.transactions.mark(job, this.transactions.lazyMs());
      job.fan.giveBack(placement.idx);
      if (job.spec.shape === 'gang')
        for (const mate of job.placed.values()) if (mate.want === 'run') this.stopGangMate(job, mate);
    }
    this.wantsDirty = true;
  }

  /** A gang that lost a task starts anew as a whole, once all its tasks are settled. */
  private stopGangMate(job: OwnedJob, placement: Placement): void {
    this.stop(job, placement, 0);
  }

  private stop(job: OwnedJob, placement: Placement, graceS: number): void {
    placement.want = 'stop';
    if (placement.stored) this.outHeld.push(heldOf(job, placement, 'stop', graceS, placement.grant));
  }

  private evict(id: string, idx: number, attempt: number, why: string): void {
    const job = this.jobs.get(id);
    const placement = job?.placed.get(idx);
    if (!job || !placement || placement.attempt !== attempt || placement.want === 'stop') return;
    this.options.log.debug({ job: id, idx, machine: placement.machine, why }, 'task stopped to make room');
    const grace = job.spec.checkpointS > 0 ? job.spec.saveS + this.options.noticeGraceS : 0;
    if (job.spec.shape === 'gang') {
      for (const mate of job.placed.values()) if (mate.want === 'run') this.stop(job, mate, grace);
    } else this.stop(job, placement, grace);
  }

  // ---- work at the end of each batch of commands ------------------------------------------------

  flush(): void {
    this.loadTeams();
    this.transactions.write();
    this.tell();
    this.usageLog.look(this.teams.keys(), this.jobs.values());
  }

  private wakeAt(at: number): void {
    const now = this.options.clock.now();
    if (!Number.isFinite(at) || (this.flushTimer > now && this.flushTimer <= at)) return;
    this.flushTimer = at;
    this.options.clock.after(Math.max(1, at - now), () => this.options.wake());
  }

  private tell(): void {
    if (this.token === 0) return;
    const base = { token: this.token, inst: this.options.inst };
    if (this.needSync) {
      this.needSync = false;
      this.outHeld = [];
      this.outDrop = { tasks: [], grants: [] };
      this.dropNew();
      const held: Held[] = [];
      for (const job of this.jobs.values()) {
        // Without its places in flight or in doubt the leader would give them to others.
        for (const placement of job.placed.values())
          held.push(heldOf(job, placement, placement.stored ? placement.want : 'pending'));
        // Settled but not yet stored so: still ours, or the scheduler would have what nobody claims removed. A write that turns
        // out not to have been carried out would then bring the attempt back as one to be started.
        for (const reap of [...job.toReap, ...job.outcomesInFlight]) {
          if (reap.listed) held.push(heldOf(job, reap.placement, 'keep'));
        }
      }
      const gens = this.gens();
      this.synced = false;
      this.heldSent = 0;
      // In parts, so that no message is large; the scheduler takes them as one when it has the last.
      const sync = ++this.syncs;
      const parts = Math.max(1, Math.ceil(held.length / SYNC_PART));
      for (let i = 0; i < parts; i++)
        this.options.send({
          type: 'sync',
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
      this.options.send({ type: 'held', ...base, held: this.outHeld });
      this.outHeld = [];
      this.heldSent++;
    }
    // After the stops that follow from what was read.
    const mark = this.marks.by(this.options.openReadAsOf());
    if (mark !== null && mark > this.coveredTold) {
      this.coveredTold = mark;
      const n = this.heldSent;
      this.options.send({ type: 'covered', ...base, sync: this.syncs, n, gens: this.gens(), mark });
    }
    if (this.outDrop.tasks.length + this.outDrop.grants.length > 0) {
      this.options.send({ type: 'drop', ...base, ...this.outDrop });
      this.outDrop = { tasks: [], grants: [] };
    }
    if (this.wantsDirty) {
      const now = this.options.clock.now();
      if (now < this.wantsAt) return this.wakeAt(this.wantsAt);
      this.wantsDirty = false;
      const wants = this.listWants();
      // A long list is told less often: it costs both sides, and few places come free between two tellings.
      this.wantsAt = now + Math.min(300, 10 + wants.length * 3);
      const text = JSON.stringify(wants);
      if (text === this.lastWants) return;
      this.lastWants = text;
      this.options.send({ type: 'wants', ...base, wants });
    }
  }

  private gens(): Record<string, number> {
    const gens: Record<string, number> = {};
    for (const [name, team] of this.teams) if (team.loaded) gens[name] = team.gen;
    return gens;
  }

  private listWants(): Want[] {
    return listWants({
      jobs: this.jobs.values(),
      teams: [...this.teams].filter(([, team]) => team.loaded).map(([name]) => name),
      order: this.order,
      usage: this.usage,
      batch: this.options.batch,
      nowMs: this.options.clock.now(),
      wallMs: this.options.clock.wall(),
      lastGrant: this.lastGrant,
    });
  }

  /**
   * Grants of an earlier scheduler are void; what was not yet sent to the state service goes back. What was sent and is
   * in doubt stays and counts: given back, its room would be granted to other jobs and the team go over its limit.
   */
  private dropNew(): void {
    for (const job of this.jobs.values()) {
      if (isInDoubt(job)) continue;
      for (const placement of [...job.placed.values()]) {
        if (placement.stored) continue;
        this.dropPlaced(job, placement, 'returned');
        this.transactions.mark(job, 0);
        job.fan.giveBack(placement.idx);
      }
    }
  }

  // ---- what follows from writes ------------------------------------------------------------------

  placementStored(job: OwnedJob, placement: Placement): void {
    if (job.cancelled) placement.want = 'stop';
    this.outHeld.push(heldOf(job, placement, placement.want, 0, placement.grant));
    this.options.log.debug(
      {
        job: job.spec.id,
        idx: placement.idx,
        attempt: placement.attempt,
        machine: placement.machine,
        team: job.spec.team,
        grant: placement.grant,
        ...this.usage.describe(job.spec.team),
      },
      'placement stored',
    );
  }

  outcomeStored(job: OwnedJob, { placement, listed }: SettledPlacement): void {
    if (listed) return void this.outHeld.push(heldOf(job, placement, 'reap'));
    const key = taskKey(job.spec.id, placement.idx, placement.attempt);
    this.outDrop.tasks.push({ machine: placement.machine, key });
  }

  counterFull(job: OwnedJob): void {
    this.options.log.debug({ job: job.spec.id }, 'counter full: job done');
  }

  filed(job: OwnedJob): void {
    this.forget(job.spec.id);
    this.options.log.debug({ job: job.spec.id, cancelled: job.cancelled, done: job.count.n }, 'job filed');
  }
}
