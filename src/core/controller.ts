import {
  leaderRecord,
  machineTypesRecord,
  nodeRecord,
  teamRecord,
  tokenRecord,
} from '../wire/record-codec.js';
import { Api } from './api.js';
import { type Cover, coversMachine, Marks, readGapMs, windowMs } from './horizon.js';
import { type ImageFact, ImageFacts } from './images.js';
import { Mirror } from './mirror.js';
import { Owner } from './owner/owner.js';
import type { PolicyFn } from './policy.js';
import { Scheduler } from './scheduler.js';
import { Told } from './told.js';
import type {
  Clock,
  CloudPort,
  Logger,
  MachineType,
  Objective,
  OwnerMsg,
  SchedulerMsg,
  StatePort,
  Team,
  Then,
  WorkerCommand,
  WorkerPort,
  WorkerReport,
} from './types.js';
import { URGENCY } from './types.js';

/** What controllers say to one another. */
export type MeshBody =
  | {
      type: 'ping';
      leader: string;
      token: number;
      okAgeMs: number;
      strays: string[];
      /** A time on the sender's clock. */
      mark: number;
      /** The newest mark that the sender had from an instance, and how many cancellations it has told users of. */
      had: { inst: string; mark: number } | null;
      told: number;
      /** The leader's `Cover`, as of the newest mark of that instance that it reaches. */
      cover: { inst: string; mark: number; pending: string[] | null } | null;
    }
  /** The n-th cancellation that a user was told of by the sender. */
  | { type: 'cancelled'; job: string; n: number }
  | { type: 'images'; add: ImageFact[]; gone: string[] }
  | { type: 'owner'; to: string; m: OwnerMsg }
  | { type: 'scheduler'; to: string; m: SchedulerMsg };
export interface MeshMsg {
  host: string;
  inst: string;
  seq: number;
  body: MeshBody;
}
export interface MeshPort {
  send(host: string, m: MeshMsg): void;
}

export interface ControllerOptions {
  host: string;
  inst: string;
  peers: string[];
  teams: Team[];
  workers: { reportS: number; leaseS: number; cancelS: number };
  state: { valueKb: number; txnOps: number; writeRps: number };
  listLagS: number;
  cloudRps: number;
  objectives: Objective[];
  /** Lease of a controller's record, in ms. */
  ttlMs: number;
  policy: PolicyFn;
  clock: Clock;
  log: Logger;
  statePort: StatePort;
  cloud: CloudPort;
  worker: WorkerPort;
  mesh: MeshPort;
}

export interface NodeRecord {
  inst: string;
  lease: number;
}
export interface LeaderRecord {
  inst: string;
  host: string;
  token: number;
}

export interface TokenRecord {
  n: number;
}
export interface TeamRecord {
  inst: string;
}

type Command =
  | { type: 'mesh'; m: MeshMsg }
  | { type: 'link'; host: string; up: boolean }
  | { type: 'reply'; run: () => void }
  | { type: 'tick' };

/** Least time between two watches of the open jobs, which change several times a second. */
const OPEN_GAP_MS = 100;

/** Most facts about images in one message. */
const IMAGES_PART = 2000;
/** Lag behind a sibling's last answer from the state service from which users that can't be served are sent on. */
const BEHIND_MS = 700;
/** So long nobody in touch is heard before a controller takes itself for alone. */
const ALONE_MS = 2500;
/** So long an owner may tell nothing of cancellations while the state service answers; so long it gets no team then. */
const DEAF_MS = 10000;
const DEAF_PAUSE_MS = 60000;
/** Most machines named in one message: 200 KB, five times a fleet of 4,000 machines. */
const MOST_MACHINES_NAMED = 20000;
/** Part of a lease by which a sibling's last answer from the state service must be later than this one's own. */
const ALONE = 0.6;

export type ReportAnswer =
  | { s: 'ok'; token: number; cmds: WorkerCommand[] }
  | { s: 'other'; leader: string | null }
  | { s: 'later' };

/** One process's state: its lease, owner, scheduler and API. All changes come through one queue. */
export class Controller {
  readonly api: Api;
  private readonly owner: Owner;
  private scheduler: Scheduler | null = null;
  private readonly sys: Mirror;
  private readonly open: Mirror;
  private readonly state: StatePort;
  private readonly queue: Command[] = [];
  private scheduled = false;
  private seq = 0;
  private lease = 0;
  private leaseAt = 0;
  private leaseBusy = false;
  private predecessorDone = false;
  private leaderMark = 0;
  private electing = false;
  private noElectUntil = 0;
  private electAt = 0;
  private assigning = false;
  private rebalanceAt = 0;
  private ledToken = 0;
  private ledAt = 0;
  private readonly superseded = new Set<string>();
  private raiseAt = 0;
  private giveUpAt = 0;
  private givingUp = false;
  private stateOkAt: number;
  private leader: LeaderRecord = { inst: '', host: '', token: 0 };
  private heard = new Map<string, { inst: string; at: number; seq: number; okAt: number; marks: Marks }>();
  private inherited: Cover | null = null;
  private readonly told: Told;
  private readonly deafUntil = new Map<string, number>();
  private types: MachineType[] = [];
  private typesAt = Number.NEGATIVE_INFINITY;
  private typesBusy = false;
  private readonly teams: Map<string, Team>;

  constructor(private readonly o: ControllerOptions) {
    this.teams = new Map(o.teams.map((t) => [t.name, t]));
    this.told = new Told(o.peers);
    this.stateOkAt = o.clock.now() - 1e6;
    this.state = this.watched(o.statePort);
    const cloud = this.queuedCloud(o.cloud);
    this.owner = new Owner({
      host: o.host,
      inst: o.inst,
      teams: this.teams,
      valueKb: o.state.valueKb,
      txnOps: o.state.txnOps,
      writeRps: o.state.writeRps,
      batch: Math.max(1, Math.round(o.policy(NO_INPUT).batch_tasks)),
      noticeGraceS: 1,
      objectives: o.objectives,
      openItems: () => this.open.items,
      openReadAsOf: () => this.open.readAsOf,
      readOpen: () => {
        if (o.clock.now() - this.open.readAsOf >= readGapMs(o.workers)) this.open.probe();
      },
      state: this.state,
      clock: o.clock,
      log: o.log,
      send: (m) => this.toScheduler(m),
      wake: () => this.wake(),
    });
    this.cloud = cloud;
    this.sys = new Mirror('sys/', 10000, 0, this.state, o.clock, (key) => this.sysChanged(key));
    // Followed while this controller owns a team; the API alone catches up when it is asked.
    this.open = new Mirror(
      'open/',
      10000,
      OPEN_GAP_MS,
      this.state,
      o.clock,
      (key, value, version) => {
        if (value === undefined) return;
        const [, id, part] = key.split('/');
        if (id && part) this.owner.openChanged(id, part, value, version);
      },
      false,
    );
    this.api = new Api(
      this.state,
      this.open,
      this.teams,
      () => this.types,
      o.log,
      () => o.clock.wall(),
      (id) => this.tellCancelled(id),
    );
  }

  private readonly cloud: CloudPort;

  start(): void {
    this.sys.start();
    this.open.start();
    const beat = () => {
      this.push({ type: 'tick' });
      this.o.clock.after(500, beat);
    };
    beat();
  }

  // ---- the queue --------------------------------------------------------------------------------------

  push(c: Command): void {
    this.queue.push(c);
    this.wake();
  }

  private wake(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.o.clock.soon(() => this.run());
  }

  private run(): void {
    this.scheduled = false;
    for (const c of this.queue.splice(0)) this.handle(c);
    this.owner.flush();
    this.scheduler?.flush();
  }

  private handle(c: Command): void {
    switch (c.type) {
      case 'reply':
        return c.run();
      case 'tick':
        return this.tick();
      case 'mesh':
        return this.fromMesh(c.m);
      case 'link':
        return this.link(c.host, c.up);
    }
  }

  private reply<T>(cb: Then<T>): Then<T> {
    return (r) => this.push({ type: 'reply', run: () => cb(r) });
  }

  /** Replies come through the queue, and each success tells that the state service is in reach. */
  private watched(s: StatePort): StatePort {
    const cb = <T>(then: Then<T>): Then<T> => {
      const sent = this.o.clock.now();
      return this.reply((r) => {
        if (r.ok || r.kind === 'conflict' || r.kind === 'gone')
          this.stateOkAt = Math.max(this.stateOkAt, sent);
        then(r);
      });
    };
    return {
      get: (k, u, t) => s.get(k, u, cb(t)),
      list: (p, a, u, t) => s.list(p, a, u, cb(t)),
      txn: (x, u, t) => s.txn(x, u, cb(t)),
      grant: (ms, t) => s.grant(ms, cb(t)),
      touch: (l, t) => s.touch(l, cb(t)),
      end: (l, t) => s.end(l, cb(t)),
      // A watch that waits may be answered long after; one that doesn't tells as much as any read.
      watch: (p, a, w, t) => s.watch(p, a, w, w === 0 ? cb(t) : this.reply(t)),
    };
  }

  private queuedCloud(c: CloudPort): CloudPort {
    return {
      types: (t) => c.types(this.reply(t)),
      rent: (a, b, d, e, f, t) => c.rent(a, b, d, e, f, this.reply(t)),
      remove: (n, t) => c.remove(n, this.reply(t)),
      list: (a, t) => c.list(a, this.reply(t)),
    };
  }

  // ---- ticks --------------------------------------------------------------------------------------------

  private tick(): void {
    const now = this.o.clock.now();
    this.keepLease(now);
    this.elect(now);
    this.giveUp(now);
    this.assignTeams(now);
    this.learnTypes(now);
    this.scheduler?.tick();
    const cover = this.keepCover(now);
    const news = this.images.news();
    if (this.scheduler && news.add.length + news.gone.length > 0)
      for (const p of this.o.peers) this.meshSend(p, { type: 'images', ...news });
    const strays = [...this.strays].slice(0, MOST_MACHINES_NAMED);
    this.strays.clear();
    for (const p of this.o.peers)
      this.meshSend(p, {
        type: 'ping',
        leader: this.leader.host,
        token: this.leader.token,
        okAgeMs: Math.max(0, now - this.stateOkAt),
        strays: p === this.leader.host ? strays : [],
        mark: now,
        had: this.hadFrom(p),
        told: this.told.n,
        cover: this.coverFor(p, cover),
      });
  }

  /** The leader marks a moment for its owners, and takes down what is covered for whoever leads next. */
  private keepCover(now: number): { at: number; pending: string[] } | null {
    const k = this.scheduler;
    if (!k) return null;
    for (const inst of new Set([...this.teamRecords().values()].map((r) => r.inst)))
      this.toOwner(inst, { type: 'mark', token: k.token, at: now });
    const c = k.cover();
    if (c)
      this.inherit({ at: c.at, pending: c.pending.length > MOST_MACHINES_NAMED ? null : new Set(c.pending) });
    return c;
  }

  private coverFor(
    host: string,
    c: { at: number; pending: string[] } | null,
  ): { inst: string; mark: number; pending: string[] | null } | null {
    const h = this.heard.get(host);
    const mark = c && h ? h.marks.by(c.at) : null;
    if (!c || !h || mark === null) return null;
    return { inst: h.inst, mark, pending: c.pending.length > MOST_MACHINES_NAMED ? null : c.pending };
  }

  private hadFrom(host: string): { inst: string; mark: number } | null {
    const h = this.heard.get(host);
    const mark = h?.marks.by(Number.POSITIVE_INFINITY) ?? null;
    return h && mark !== null ? { inst: h.inst, mark } : null;
  }

  private inherit(c: Cover): void {
    if (!this.inherited || c.at >= this.inherited.at) this.inherited = c;
  }

  /**
   * A user is about to be told that a job is cancelled. Whoever leads, now or next, may stop its tasks at once, before
   * their owner reads of it.
   */
  private tellCancelled(job: string): void {
    if (!this.told.here(job)) return;
    this.scheduler?.cancelled(job);
    for (const p of this.o.peers) this.meshSend(p, { type: 'cancelled', job, n: this.told.n });
  }

  /** Ready unless this controller alone is without the state service. */
  ready(): boolean {
    const now = this.o.clock.now();
    if (!this.sys.ready || !this.open.ready) return false;
    // In an outage for all nobody was answered much later than another: that must not take every controller out.
    return !this.behind(now, this.o.ttlMs * ALONE);
  }

  /** A sibling has lately been answered by the state service, by so much later than this controller. */
  private behind(now: number, ms: number): boolean {
    for (const h of this.heard.values()) if (now - h.at < 3000 && h.okAt > this.stateOkAt + ms) return true;
    return false;
  }

  /** Whether a user who can't be served here had better ask another: sooner known than that this one is not ready. */
  elsewhere(): boolean {
    return !this.ready() || this.behind(this.o.clock.now(), BEHIND_MS);
  }

  private learnTypes(now: number): void {
    if (this.typesBusy || now - this.typesAt < (this.types.length > 0 ? 30000 : 1500)) return;
    // The leader asks the cloud and stores the answer; the others read it there, also while the cloud is down.
    if (!this.scheduler && this.types.length > 0) return;
    if (!this.scheduler && now - this.stateOkAt > 1e5) return;
    this.typesBusy = true;
    this.typesAt = now;
    this.cloud.types((r) => {
      this.typesBusy = false;
      if (!r.ok || r.value.length === 0) return;
      const text = JSON.stringify(r.value.map((t) => ({ ...t, price: 0, spotPrice: 0 })));
      const old = JSON.stringify(this.types.map((t) => ({ ...t, price: 0, spotPrice: 0 })));
      this.types = r.value;
      if (this.scheduler && (text !== old || !this.sys.items.has('sys/types')))
        this.state.txn(
          {
            when: [{ key: 'sys/leader', version: this.leaderMark }],
            then: [{ put: 'sys/types', value: machineTypesRecord.encode(r.value) }],
          },
          URGENCY.placement,
          () => {},
        );
    });
  }

  // ---- lease and election ---------------------------------------------------------------------------------

  private keepLease(now: number): void {
    if (this.leaseBusy || !this.sys.ready) return;
    if (this.lease === 0) return this.join();
    if (now - this.leaseAt < this.o.ttlMs / 3) return;
    this.leaseBusy = true;
    this.state.touch(this.lease, (r) => {
      this.leaseBusy = false;
      if (r.ok) this.leaseAt = now;
      else if (r.kind === 'gone') {
        this.o.log.info({}, 'lease lost');
        this.lease = 0;
        this.stepDown('lease lost');
        this.join();
      }
    });
  }

  /** A new instance ends its predecessor's lease, and no other; then it takes one of its own. */
  private join(): void {
    const key = `sys/node/${this.o.host}`;
    this.leaseBusy = true;
    const retry = () => {
      this.leaseBusy = false;
    };
    this.state.get(key, URGENCY.lease, (g) => {
      if (!g.ok) return retry();
      const rec = g.value ? nodeRecord.decode(g.value.value) : undefined;
      const next = () => this.takeLease(key, g.value?.version ?? 0, retry);
      if (rec && rec.inst !== this.o.inst && !this.predecessorDone) {
        this.predecessorDone = true;
        this.state.end(rec.lease, next);
      } else next();
    });
  }

  /** Conditioned on the record that was read: carried out late it would bring back an older lease, and go with it. */
  private takeLease(key: string, version: number, retry: () => void): void {
    const sent = this.o.clock.now();
    this.state.grant(this.o.ttlMs, (l) => {
      if (!l.ok) return retry();
      const lease = l.value;
      this.state.txn(
        {
          when: [{ key, version }],
          then: [{ put: key, value: nodeRecord.encode({ inst: this.o.inst, lease }), lease }],
        },
        URGENCY.lease,
        (r) => {
          this.leaseBusy = false;
          if (!r.ok) return;
          this.lease = lease;
          this.leaseAt = sent;
          this.o.log.info({ inst: this.o.inst }, 'joined');
          this.elect(this.o.clock.now());
        },
      );
    });
  }

  private elect(now: number): void {
    if (this.lease === 0 || !this.sys.ready || this.electing || now < this.noElectUntil || now < this.electAt)
      return;
    if (this.sys.items.has('sys/leader') || now - this.leaseAt > this.o.ttlMs) return;
    this.campaign(0, 'no leader');
  }

  private campaign(leaderVersion: number, why: string): void {
    const tok = this.sys.items.get('sys/token');
    const token = (tok ? tokenRecord.decode(tok.value).n : 0) + 1;
    this.electing = true;
    this.electAt = this.o.clock.now() + 300 + this.o.clock.random() * 300;
    const rec: LeaderRecord = { inst: this.o.inst, host: this.o.host, token };
    this.state.txn(
      {
        when: [
          { key: 'sys/leader', version: leaderVersion },
          { key: 'sys/token', version: tok?.version ?? 0 },
        ],
        then: [
          { put: 'sys/token', value: tokenRecord.encode({ n: token }) },
          { put: 'sys/leader', value: leaderRecord.encode(rec), lease: this.lease },
        ],
      },
      URGENCY.lease,
      (r) => {
        this.electing = false;
        if (r.ok) this.lead(rec, r.value, why);
      },
    );
  }

  private lead(rec: LeaderRecord, mark: number, why: string): void {
    if (this.scheduler && this.scheduler.token >= rec.token) return;
    if (rec.token < this.leader.token || rec.token <= this.ledToken) return;
    this.ledToken = rec.token;
    this.ledAt = this.o.clock.now();
    this.leaderMark = mark;
    this.o.log.info({ token: rec.token, why }, 'leading');
    this.scheduler = new Scheduler({
      inst: this.o.inst,
      token: rec.token,
      teams: this.teams,
      workers: this.o.workers,
      listLagS: this.o.listLagS,
      cloudRps: this.o.cloudRps,
      images: this.images,
      objectives: this.o.objectives,
      first: rec.token === 1,
      clock: this.o.clock,
      log: this.o.log,
      cloud: this.cloud,
      worker: {
        commands: (a, t, s, c, cb) => this.o.worker.commands(a, t, s, c, this.reply(cb)),
      },
      types: () => this.types,
      policy: this.o.policy,
      entitled: () => this.scheduler?.token === rec.token && this.o.clock.now() - this.leaseAt < this.o.ttlMs,
      send: (inst, m) => this.toOwner(inst, m),
      wake: () => this.wake(),
      deposed: (token) => {
        if (this.scheduler?.token === rec.token) this.stepDown(`token ${token} seen`);
      },
      inherited: () => this.inherited,
      isCancelled: (job) => this.told.has(job),
      told: (now) => this.told.asOf(now),
      siblings: () => [...this.heard.values()].filter((h) => this.o.clock.now() - h.at < 3000).length,
      resign: (reason) => this.resign(rec.token, reason),
      raise: (reason) => this.raise(rec.token, reason),
    });
    this.setLeader(rec);
    this.scheduler.setOwners(this.teamRecords());
    this.assignTeams(this.o.clock.now());
    this.rebalanceAt = this.ledAt + 5000;
    this.typesAt = Number.NEGATIVE_INFINITY;
    this.learnTypes(this.o.clock.now());
  }

  private stepDown(why: string): void {
    if (!this.scheduler) return;
    this.o.log.info({ token: this.scheduler.token, why }, 'no longer leading');
    this.scheduler = null;
    if (this.leader.inst === this.o.inst) this.leader = { ...this.leader, host: '' };
  }

  private resign(token: number, why: string): void {
    if (this.scheduler?.token !== token) return;
    const mark = this.leaderMark;
    this.noElectUntil = this.o.clock.now() + 20000;
    this.stepDown(why);
    this.state.txn(
      { when: [{ key: 'sys/leader', version: mark }], then: [{ del: 'sys/leader' }] },
      URGENCY.lease,
      () => {},
    );
  }

  /**
   * A leader record that still names this instance after it has resigned: its deletion was lost. As long as it stands
   * nobody can be elected, and the lease it hangs on is kept (seen in a seeded day: no leader to the end).
   */
  private giveUp(now: number): void {
    const it = this.sys.items.get('sys/leader');
    if (!it || this.scheduler || this.electing || this.givingUp || now < this.giveUpAt) return;
    const rec = leaderRecord.decode(it.value);
    if (rec.inst !== this.o.inst || rec.token > this.ledToken) return;
    this.giveUpAt = now + 1000;
    this.givingUp = true;
    this.state.txn(
      { when: [{ key: 'sys/leader', version: it.version }], then: [{ del: 'sys/leader' }] },
      URGENCY.lease,
      () => {
        this.givingUp = false;
      },
    );
  }

  private raise(token: number, why: string): void {
    const now = this.o.clock.now();
    if (this.scheduler?.token !== token || this.electing || now < this.raiseAt) return;
    this.raiseAt = now + 15000;
    this.campaign(this.leaderMark, why);
  }

  private setLeader(rec: LeaderRecord): void {
    if (rec.token < this.leader.token) return;
    this.leader = rec;
    this.owner.setScheduler(rec.token);
  }

  // ---- records under sys/ -----------------------------------------------------------------------------------

  private sysChanged(key: string): void {
    if (key === 'sys/leader') {
      const it = this.sys.items.get(key);
      if (!it) {
        if (this.scheduler) this.stepDown('leader record gone');
        this.electAt = this.o.clock.now() + this.o.clock.random() * 100;
        this.o.clock.after(110, () =>
          this.push({ type: 'reply', run: () => this.elect(this.o.clock.now()) }),
        );
        return;
      }
      const rec = leaderRecord.decode(it.value);
      if (rec.inst === this.o.inst) {
        // An election whose answer was lost.
        if (this.lease !== 0) this.lead(rec, it.version, 'found elected');
      } else {
        if (this.scheduler && rec.token > this.scheduler.token) this.stepDown('another leads');
        this.setLeader(rec);
      }
    } else if (key.startsWith('sys/team/')) {
      const mine = new Map<string, number>();
      for (const [team, r] of this.teamRecords())
        if (r.inst === this.o.inst && this.teams.has(team)) mine.set(team, r.gen);
      this.owner.setTeams(mine);
      this.open.follow(mine.size > 0);
      this.scheduler?.setOwners(this.teamRecords());
    } else if (key === 'sys/types' && !this.scheduler) {
      const v = this.sys.items.get(key)?.value;
      if (Array.isArray(v)) this.types = machineTypesRecord.decode(v);
    } else if (key.startsWith('sys/node/')) this.assignTeams(this.o.clock.now());
  }

  private teamRecords(): Map<string, { inst: string; gen: number }> {
    const out = new Map<string, { inst: string; gen: number }>();
    for (const [key, it] of this.sys.items) {
      if (!key.startsWith('sys/team/')) continue;
      out.set(key.slice(9), { inst: teamRecord.decode(it.value).inst, gen: it.version });
    }
    return out;
  }

  private nodes(): Map<string, string> {
    const out = new Map<string, string>();
    for (const [key, it] of this.sys.items)
      if (key.startsWith('sys/node/')) out.set(nodeRecord.decode(it.value).inst, key.slice(9));
    return out;
  }

  /** The leader assigns the teams to the controllers that are alive and that it can reach. */
  private assignTeams(now: number): void {
    const scheduler = this.scheduler;
    if (!scheduler || this.assigning || !this.sys.ready || now - this.leaseAt > this.o.ttlMs) return;
    const load = new Map<string, number>();
    for (const [inst, host] of this.nodes()) {
      const h = this.heard.get(host);
      // A new leader has heard nobody yet, and a record names who was alive a moment ago.
      if (inst === this.o.inst || now - this.ledAt < 3500) load.set(inst, 0);
      else if (h?.inst === inst && now - h.at < 3500 && !this.isDeaf(inst, now)) load.set(inst, 0);
    }
    if (!load.has(this.o.inst)) return;
    const records = this.teamRecords();
    const moves = new Map<string, string>();
    for (const team of [...this.teams.keys()].sort()) {
      const r = records.get(team);
      if (r && load.has(r.inst)) load.set(r.inst, (load.get(r.inst) ?? 0) + 1);
      else moves.set(team, '');
    }
    const least = () =>
      [...load].sort(
        (a, b) => a[1] - b[1] || Number(b[0] === this.o.inst) - Number(a[0] === this.o.inst),
      )[0]!;
    for (const team of moves.keys()) {
      const [inst] = least();
      moves.set(team, inst);
      load.set(inst, (load.get(inst) ?? 0) + 1);
    }
    if (moves.size === 0 && now >= this.rebalanceAt) {
      this.rebalanceAt = now + scheduler.policyNow.parting_s * 1000;
      const [to, few] = least();
      const [from, many] = [...load].sort((a, b) => b[1] - a[1])[0]!;
      const team = [...records].find(([t, r]) => r.inst === from && this.teams.has(t))?.[0];
      if (many - few >= 2 && team) moves.set(team, to);
    }
    if (moves.size === 0) return;
    const batch = [...moves].slice(0, this.o.state.txnOps);
    for (const [team] of batch) scheduler.suspend(team);
    this.assigning = true;
    this.state.txn(
      {
        when: [
          { key: 'sys/leader', version: this.leaderMark },
          ...batch.map(([team]) => ({ key: `sys/team/${team}`, version: records.get(team)?.gen ?? 0 })),
        ],
        then: batch.map(([team, inst]) => ({ put: `sys/team/${team}`, value: teamRecord.encode({ inst }) })),
      },
      URGENCY.lease,
      (r) => {
        this.assigning = false;
        this.o.log.debug({ teams: Object.fromEntries(batch), ok: r.ok }, 'teams assigned');
        if (!r.ok) for (const rec of records.values()) scheduler.unsync(rec.inst);
      },
    );
  }

  /**
   * An owner that is heard, but has told of no cancellations for long although the state service answers: what is said
   * to it may not arrive. Its teams can't start anything and lose their leases in time, so others get them.
   */
  private isDeaf(inst: string, now: number): boolean {
    if (now < (this.deafUntil.get(inst) ?? 0)) return true;
    if (now - this.stateOkAt > 1000 || now - this.ledAt < DEAF_MS) return false;
    for (const [team, r] of this.teamRecords())
      if (r.inst === inst && this.teams.has(team) && this.scheduler!.unheardFor(team, now) > DEAF_MS) {
        this.o.log.info({ inst, team }, 'owner tells of no cancellations');
        this.deafUntil.set(inst, now + DEAF_PAUSE_MS);
        return true;
      }
    return false;
  }

  // ---- messages ---------------------------------------------------------------------------------------------

  private meshSend(host: string, body: MeshBody): void {
    this.o.mesh.send(host, { host: this.o.host, inst: this.o.inst, seq: ++this.seq, body });
  }

  private toScheduler(m: OwnerMsg): void {
    if (this.leader.inst === this.o.inst)
      this.push({ type: 'reply', run: () => this.scheduler?.fromOwner(m) });
    else if (this.leader.host !== '')
      this.meshSend(this.leader.host, { type: 'owner', to: this.leader.inst, m });
  }

  private toOwner(inst: string, m: SchedulerMsg): void {
    if (inst === this.o.inst) return this.push({ type: 'reply', run: () => this.owner.fromScheduler(m) });
    const host = this.nodes().get(inst);
    if (host) this.meshSend(host, { type: 'scheduler', to: inst, m });
  }

  private fromMesh(m: MeshMsg): void {
    const now = this.o.clock.now();
    const h = this.heard.get(m.host);
    // A message held back on an older connection must not undo a later one.
    if (h?.inst === m.inst && m.seq <= h.seq) return;
    if (this.superseded.has(m.inst)) return;
    if (h && h.inst !== m.inst) this.superseded.add(h.inst);
    const okAt = m.body.type === 'ping' ? now - m.body.okAgeMs : (h?.okAt ?? Number.NEGATIVE_INFINITY);
    const marks = h?.inst === m.inst ? h.marks : new Marks();
    this.heard.set(m.host, { inst: m.inst, at: now, seq: m.seq, okAt, marks });
    switch (m.body.type) {
      case 'ping':
        if (
          m.body.token > this.leader.token &&
          m.body.leader !== this.o.host &&
          this.scheduler &&
          m.body.token > this.scheduler.token
        )
          this.stepDown('a sibling knows a later leader');
        marks.add(m.body.mark, now);
        this.told.word(
          m.host,
          m.inst,
          m.body.told,
          m.body.had?.inst === this.o.inst ? m.body.had.mark : null,
          now,
        );
        // A mark of an earlier process is a time on another clock.
        if (m.body.cover?.inst === this.o.inst) {
          const pending = m.body.cover.pending;
          this.inherit({ at: Math.min(now, m.body.cover.mark), pending: pending && new Set(pending) });
        }
        this.scheduler?.strayed(m.body.strays);
        if (m.body.token > this.hint.token) this.hint = { host: m.body.leader, token: m.body.token };
        return;
      case 'images':
        if (!this.scheduler) this.images.take(m.body.add, m.body.gone);
        return;
      case 'cancelled':
        this.told.there(m.host, m.inst, m.body.job, m.body.n, now);
        this.scheduler?.cancelled(m.body.job);
        return;
      case 'owner':
        if (m.body.to === this.o.inst) this.scheduler?.fromOwner(m.body.m);
        return;
      case 'scheduler':
        if (m.body.to === this.o.inst) this.owner.fromScheduler(m.body.m);
        return;
    }
  }

  /** The scheduler's knowledge of images, for whoever leads next. */
  private readonly images = new ImageFacts();
  private hint = { host: '', token: 0 };
  /** Machines that asked here, and not the leader, since it was last told. */
  private readonly strays = new Set<string>();

  /** Our own connection to a sibling was made anew: what was under way may be lost. */
  private link(host: string, up: boolean): void {
    if (!up) return;
    if (this.leader.host === host) this.owner.resync();
    if (!this.scheduler) return;
    for (const [inst, h] of this.nodes()) if (h === host) this.scheduler.unsync(inst);
    const all = this.images.all();
    for (let i = 0; i < all.length; i += IMAGES_PART)
      this.meshSend(host, { type: 'images', add: all.slice(i, i + IMAGES_PART), gone: [] });
  }

  // ---- workers ----------------------------------------------------------------------------------------------

  report(r: WorkerReport): ReportAnswer {
    const now = this.o.clock.now();
    const k = this.scheduler;
    if (!k) {
      if (this.standsIn(r, now)) return { s: 'ok', token: this.leader.token, cmds: [] };
      this.strays.add(r.machine);
      const known = this.hint.token > this.leader.token ? this.hint.host : this.leader.host;
      return { s: 'other', leader: known !== '' && known !== this.o.host ? known : null };
    }
    const cmds = k.report(r);
    if (cmds === null) return this.report(r);
    if (cmds === 'later') return { s: 'later' };
    return { s: 'ok', token: k.token, cmds };
  }

  /**
   * Alone with its workers, without the state service and the leader: their leases are kept for the last leader known,
   * with its token and without commands, or a zone that is cut off would lose all it runs. Only by what that leader told
   * of cancellations, and not where it still had something to stop: the worker may have been cut off from it, and not
   * from here, long before the leader was.
   */
  private standsIn(r: WorkerReport, now: number): boolean {
    const h = this.heard.get(this.leader.host);
    if (!h || h.inst !== this.leader.inst || r.token > this.leader.token) return false;
    if (this.hint.token > this.leader.token || now - this.stateOkAt < ALONE_MS || now - h.at < ALONE_MS)
      return false;
    for (const x of this.heard.values()) if (now - x.at < ALONE_MS && now - x.okAt < ALONE_MS) return false;
    return coversMachine(this.inherited, r.machine, now, windowMs(this.o.workers));
  }

  /** For logs and tests. */
  status(): Record<string, unknown> {
    return {
      leader: this.leader,
      scheduler: this.scheduler?.stats() ?? null,
      teams: this.owner.ownedTeams,
      owner: this.owner.stats(),
      types: this.types.length,
    };
  }
}

const NO_INPUT = {
  services: 0,
  service_cpus: 0,
  queued: 0,
  queued_cpus: 0,
  batch_running: 0,
  machines: 0,
  report_s: 3,
  lease_s: 30,
  boot_s: 30,
};
