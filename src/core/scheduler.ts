import { FailureDetector } from './failure-detector.js';
import { Fleet } from './fleet.js';
import { Ledger, type SchedulerOptions } from './ledger.js';
import { type Entry, isNewer, isUnstored, type Machine, newEntry } from './machine.js';
import { Placing } from './placing.js';
import type { Policy } from './policy.js';
import type {
  Held,
  ListedMachine,
  OwnerMsg,
  Seen,
  TaskReport,
  WorkerCommand,
  WorkerReport,
} from './types.js';
import { taskKey } from './types.js';

const COMMANDS_AT_ONCE = 200;
/** Ended tasks of a machine that are removed together, and how long one waits for others. */
const REAPS_TOGETHER = 4;
const REAP_MS = 20000;
/** Tasks that a machine lists from which a higher token is taken, to remove those that ended: a report holds some 600. */
const MOST_KEPT = 300;

/** The elected leader's part: machines, reports, room. It stores nothing; owners and workers tell it all. */
export class Scheduler {
  private readonly l: Ledger;
  private readonly placing: Placing;
  private readonly fleet: Fleet;
  private readonly failures: FailureDetector;
  /** Machines to which something may have to be sent. */
  private readonly toDirect = new Set<Machine>();
  private readonly parts = new Map<string, { sync: number; next: number; held: Held[] }>();
  private median = { at: Number.NEGATIVE_INFINITY, value: 0 };
  private readonly outbox = new Map<string, Seen[]>();
  private nextPass = 0;
  private passTimer = false;
  private nextScale = 0;
  private nextList = 0;
  private nextAsk = 0;
  private listing = false;
  private removeBusy = false;
  private removeRetryAt = 0;
  private readonly removeQueue = new Set<string>();

  constructor(private readonly o: SchedulerOptions) {
    this.l = new Ledger(o);
    this.placing = new Placing(o, this.l);
    this.fleet = new Fleet(o, this.l, (m, why) => this.remove(m, why));
    this.failures = new FailureDetector(o, this.l, {
      probe: (m) => this.direct(m, true),
      remove: (m, why) => this.remove(m, why),
      keeps: (m, rooms, now) => this.fleet.waitFor(m, rooms, now),
    });
  }

  get token(): number {
    return this.l.token;
  }

  get policyNow(): Policy {
    return this.l.policyNow;
  }

  isSynced(team: string): boolean {
    return this.l.isSynced(team);
  }

  // ---- owners ---------------------------------------------------------------------------------------

  setOwners(records: Map<string, { inst: string; gen: number }>): void {
    for (const [team, r] of records) {
      const cur = this.l.owners.get(team);
      if (cur && cur.inst === r.inst && cur.gen === r.gen) continue;
      this.l.owners.set(team, { inst: r.inst, gen: r.gen, synced: false, since: this.o.clock.now() });
      this.l.dropHolds([...this.l.grantAt.keys()].filter((id) => this.l.holdOf(id)?.team === team));
      // Its owner may have learnt of the record, and told all it holds, before this scheduler did.
      this.o.send(r.inst, { type: 'resync', token: this.l.token });
    }
  }

  /** Before a team's record is changed: what its present owner says no longer counts. */
  suspend(team: string): void {
    const cur = this.l.owners.get(team);
    if (cur) cur.synced = false;
  }

  unsync(inst: string): void {
    for (const r of this.l.owners.values()) if (r.inst === inst) r.synced = false;
    this.o.send(inst, { type: 'resync', token: this.l.token });
  }

  fromOwner(m: OwnerMsg): void {
    if (m.token !== this.l.token) return;
    switch (m.type) {
      case 'sync': {
        const all = this.assemble(m.inst, m);
        if (!all) return;
        this.l.horizons.synced(m.inst, m.sync);
        this.sync(m.inst, m.sync, m.gens, all);
        this.placing.setWants(m.inst, m.wants);
        break;
      }
      case 'wants':
        this.placing.setWants(m.inst, m.wants);
        break;
      case 'held':
        this.l.horizons.held(m.inst);
        for (const h of m.held) if (this.l.heeds(m.inst, h.team)) this.hold(h);
        break;
      case 'drop':
        this.drop(m.inst, m.tasks, m.grants);
        break;
      case 'covered':
        this.advance(m.inst, m.sync, m.n, m.gens, m.mark);
        return;
    }
    this.l.dirty = true;
    this.o.wake();
  }

  /**
   * All placements of a full sync once its last part has come. A connection made anew in between loses any of the parts:
   * then there is none, and the owner is asked again, or tasks in the lost part would be taken for nobody's and stopped.
   */
  private assemble(
    inst: string,
    m: { sync: number; part: number; parts: number; held: Held[] },
  ): Held[] | null {
    const begun = this.parts.get(inst);
    this.parts.delete(inst);
    if (m.part > 0 && (begun?.sync !== m.sync || begun.next !== m.part)) {
      this.unsync(inst);
      return null;
    }
    const held = m.part === 0 ? [...m.held] : [...begun!.held, ...m.held];
    if (m.part === m.parts - 1) return held;
    this.parts.set(inst, { sync: m.sync, next: m.part + 1, held });
    return null;
  }

  /** A message with a stop may be lost with its connection: then the horizon stays, and all is told again. */
  private advance(inst: string, sync: number, n: number, gens: Record<string, number>, mark: number): void {
    if (mark > this.o.clock.now()) return;
    if (!this.l.horizons.complete(inst, sync, n)) return this.unsync(inst);
    for (const [team, gen] of Object.entries(gens)) {
      const r = this.l.owners.get(team);
      if (r?.inst === inst && r.gen === gen && r.synced) this.l.horizons.advance(team, mark);
    }
  }

  /** How long a team's owner has told of no cancellations; it counts from when it got the team. */
  unheardFor(team: string, now: number): number {
    const since = this.l.owners.get(team)?.since ?? now;
    return now - Math.max(since, this.l.horizons.of(team));
  }

  /** A sibling has stored a cancellation. Also without the state service: its stops ride with answers at once. */
  cancelled(job: string): void {
    for (const m of this.l.cancel(job)) this.toDirect.add(m);
    this.o.wake();
  }

  cover(): { at: number; pending: string[] } | null {
    return this.l.cover();
  }

  private sync(inst: string, sync: number, gens: Record<string, number>, held: Held[]): void {
    const teams = new Set<string>();
    for (const [team, gen] of Object.entries(gens)) {
      const r = this.l.owners.get(team);
      if (r?.inst !== inst || r.gen !== gen) continue;
      r.synced = true;
      teams.add(team);
    }
    this.o.log.debug({ inst, teams: [...teams], held: held.length }, 'owner synced');
    const keep = new Set<string>();
    for (const h of held) if (teams.has(h.team)) keep.add(taskKey(h.job, h.idx, h.attempt));
    for (const m of this.l.machines.values())
      for (const e of m.entries.values())
        if (teams.has(e.team) && (e.want === 'hold' || !keep.has(e.key))) this.l.removeEntry(m, e);
    for (const h of held) {
      if (!teams.has(h.team)) continue;
      const e = this.hold(h);
      if (e) e.told = '';
    }
    this.o.send(inst, { type: 'synced', token: this.l.token, sync });
    this.o.send(inst, { type: 'mark', token: this.l.token, at: this.o.clock.now() });
    for (const m of this.l.machines.values())
      for (const e of m.entries.values()) if (teams.has(e.team)) this.tell(m, e);
  }

  private hold(h: Held): Entry | null {
    if (h.service) this.l.learnShape({ ...this.l.baseWant(h), zoneRoom: h.spread ? {} : null });
    const key = taskKey(h.job, h.idx, h.attempt);
    if (this.l.gone.has(h.machine)) {
      this.say(h.team, { type: 'settled', job: h.job, idx: h.idx, attempt: h.attempt, machine: h.machine });
      return null;
    }
    const m = this.l.machine(h.machine);
    this.l.touch(m);
    if (h.grant > 0) {
      const g = m.entries.get(`grant#${h.grant}`);
      if (g?.job === h.job) this.l.removeEntry(m, g);
    }
    let e = m.entries.get(key);
    if (!e) {
      // A reap of what this scheduler never knew: only the worker's list matters.
      e = newEntry(h, this.o.clock.now());
      m.entries.set(key, e);
      e.listed = m.tasks.get(key) ?? null;
      e.ended = e.listed?.phase === 'exited';
    } else {
      // A stop is not taken back.
      if (h.want === 'reap' && e.want !== 'reap') e.since = this.o.clock.now();
      if (!(e.want === 'stop' && h.want === 'run')) e.want = h.want;
      e.graceS = h.graceS;
      e.season = h.season > 0 ? h.season : e.season;
    }
    if (e.want === 'stop' || (e.want === 'run' && this.o.isCancelled(e.job))) this.l.noteStop(m, e);
    if (e.want === 'reap' && m.up && !m.tasks.has(key) && !e.direct && e.sentWith < 0) {
      this.l.removeEntry(m, e);
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
      const m = this.l.machines.get(t.machine);
      const e = m?.entries.get(t.key);
      if (m && e && this.l.heeds(inst, e.team) && (e.settled || e.want === 'pending'))
        this.l.removeEntry(m, e);
    }
    // A grant its owner can't use is not offered again at once.
    const until = this.o.clock.now() + 300;
    for (const id of grants) {
      const e = this.l.holdOf(id);
      if (e) this.placing.declined.set(e.job, until);
    }
    this.l.dropHolds(grants);
  }

  private say(team: string, s: Seen): void {
    const r = this.l.owners.get(team);
    if (!r?.synced) return;
    const l = this.outbox.get(r.inst);
    if (l) l.push(s);
    else this.outbox.set(r.inst, [s]);
  }

  private tell(m: Machine, e: Entry): void {
    if (isUnstored(e)) return;
    const text = e.settled ? 'settled' : e.listed ? `${e.listed.phase}/${e.listed.why ?? ''}` : '';
    if (text === '' || text === e.told || !this.l.isSynced(e.team)) return;
    e.told = text;
    const id = { job: e.job, idx: e.idx, attempt: e.attempt, machine: m.name };
    if (e.settled) this.say(e.team, { type: 'settled', ...id });
    else if (e.listed)
      this.say(e.team, {
        type: 'phase',
        ...id,
        phase: e.listed.phase,
        why: e.listed.why,
        saved: e.listed.saved,
      });
  }

  /** A report. Null: answer that this controller is not entitled; `later`: nothing that would renew its lease. */
  report(r: WorkerReport): WorkerCommand[] | 'later' | null {
    if (r.token > this.l.token) {
      this.o.deposed(r.token);
      return null;
    }
    if (this.l.gone.has(r.machine)) return [];
    const m = this.l.machine(r.machine);
    const now = this.o.clock.now();
    const late = r.season < m.season || (r.season === m.season && r.tally <= m.reportTally);
    // A late copy proves no life. Of an old report only this stays true for ever: the season it names had begun, and
    // a task it lists as ended had ended; neither is taken from it where something newer was heard.
    if (late) return [];
    if (m.answered) this.judgeHearing(m, r, now);
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
    this.o.wake();
    m.answered = this.l.mayRenew(m, now);
    return m.answered ? this.commands(m, r.tally) : 'later';
  }

  /**
   * A machine whose reports arrive while nothing told to it does looks alive. It shows by what it does not do: its
   * next report is without the token or the starts of the last answer, or its lease ran out although it was answered.
   */
  private judgeHearing(m: Machine, r: WorkerReport, now: number): void {
    if (m.reportTally < 0) return;
    let missed = false;
    let heard = false;
    if (r.season > m.season) missed = now - m.reportAt < this.o.workers.leaseS * 500;
    else if (r.token < this.l.token) missed = true;
    else
      for (const e of m.entries.values()) {
        if (e.want !== 'run' || e.sentWith < 0 || r.tally <= e.sentWith) continue;
        if (r.tasks.some((t) => t.job === e.job && t.idx === e.idx && t.attempt === e.attempt)) heard = true;
        else missed = true;
      }
    if (missed) {
      if (m.deaf++ === 0) m.deafSince = now;
      if (m.deaf === 2) this.o.log.info({ machine: m.name }, 'machine is heard but seems not to hear');
    } else if (heard || (r.token === this.l.token && m.token < this.l.token)) m.deaf = 0;
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
    if (r.token === this.l.token) m.confirmed = true;
    m.heardAt = now;
    m.up = true;
    if (!known) m.upAt = now;
    m.leaveAt = r.noticeS === null ? null : now + r.noticeS * 1000;
    for (const [key, token] of m.doubt) if (r.token > token) m.doubt.delete(key);
    if (!known) {
      m.idleSince = now;
      this.o.log.debug({ machine: m.name, type: m.type, zone: m.zone, spot: m.spot }, 'machine up');
    }
    this.l.touch(m);
    m.tasks.clear();
    this.l.endedAttempts.update(m, r.tasks);
    for (const t of r.tasks) m.tasks.set(taskKey(t.job, t.idx, t.attempt), t);
    for (const e of [...m.entries.values()]) {
      if (e.want === 'hold') {
        if (e.season !== m.season) this.l.removeEntry(m, e);
        continue;
      }
      const t = m.tasks.get(e.key) ?? null;
      if (e.want === 'stop' || (e.want === 'run' && !t)) this.toDirect.add(m);
      if (t) {
        // The answer that carried its start has been handled, or was dropped.
        if (asReport && r.tally > e.sentWith) e.sentWith = -1;
        if (t.phase !== e.listed?.phase) this.phase(m, e, t, now);
        e.listed = t;
        e.ended = t.phase === 'exited';
        e.settled = false;
      } else {
        if (m.season > e.season) {
          if (e.want === 'reap') {
            this.l.removeEntry(m, e);
            continue;
          }
          e.settled = true;
          e.listed = null;
        } else {
          if (asReport && e.sentWith >= 0 && r.tally > e.sentWith) e.sentWith = -1;
          if (e.want === 'reap' && !e.direct && e.sentWith < 0) {
            this.l.removeEntry(m, e);
            continue;
          }
          e.listed = null;
          this.judgeRemoved(m, e);
          this.judgeAbsent(m, e);
        }
      }
      this.tell(m, e);
    }
    for (const key of m.direct) if (!m.tasks.has(key) && !m.entries.has(key)) m.direct.delete(key);
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
    if (t.phase === 'fetching' || t.phase === 'waiting') e.timed = true;
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
      // What ran before this scheduler led looks much too fast: whoever was measured in full looked slow beside it, and
      // a new scheduler retired half its fleet (seen on rekrut-szkoly-fleet, apart).
      // A gang runs at the speed of its slowest machine: its run time tells nothing of the others (seen on
      // bhuj-relief-works: 37 healthy machines retired on a day without troubles).
      if (e.estimateS > 0 && e.timed && !e.gang) this.speed(m, (now - e.since) / 1000 / e.estimateS);
    }
  }

  /** A task's run time against its estimate, as a moving mean; compared with the other machines' means. */
  private speed(m: Machine, ratio: number): void {
    m.runs++;
    m.slow = m.runs === 1 ? ratio : m.slow * 0.7 + ratio * 0.3;
    if (m.runs < 4 || m.retired) return;
    const now = this.o.clock.now();
    if (now - this.median.at > 3000) {
      const all = [...this.l.machines.values()].filter((x) => x.runs >= 3).map((x) => x.slow);
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
    const cache = this.l.types.get(m.type)?.cacheGb ?? Number.POSITIVE_INFINITY;
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
    if (m.token !== this.l.token || m.tasks.has(e.key)) return;
    if (e.direct || m.directBusy || e.sentWith >= 0 || m.doubt.has(e.key)) return;
    e.settled = true;
    this.l.touch(m);
  }

  /**
   * Settled by having ended: the worker listed it as ended, and was told to remove it when nobody claimed it. Its owner
   * may claim it only now; a start would run it once more, beside its successor (seen in hunt-f5ff-7: ran_twice).
   */
  private judgeRemoved(m: Machine, e: Entry): void {
    if (!e.ended || e.settled || e.want === 'reap' || e.want === 'hold') return;
    e.settled = true;
    this.l.touch(m);
  }

  private canStart(m: Machine, e: Entry): boolean {
    if (!m.up || m.removing || e.ended || e.season !== m.season || !this.o.entitled()) return false;
    // What its owner told before a long silence may have been cancelled since.
    return this.l.isSynced(e.team) && this.l.covered(e.team, this.o.clock.now());
  }

  /** What this machine should do now. With `tally`: carried by the answer to that report. */
  private commands(m: Machine, tally: number | null): WorkerCommand[] {
    const out: WorkerCommand[] = [];
    const reaps: WorkerCommand[] = [];
    const now = this.o.clock.now();
    let since = now;
    // Stops first: the answer that renews a lease carries all there are.
    for (const e of m.entries.values()) {
      if (e.want !== 'stop' || e.settled) continue;
      const t = m.tasks.get(e.key);
      if (!t || t.phase === 'exited' || (t.phase === 'saving' && e.graceS > 0)) continue;
      out.push({ op: 'stop', job: e.job, idx: e.idx, attempt: e.attempt, graceS: e.graceS });
    }
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
          m.direct.add(e.key);
        } else e.sentWith = tally;
        e.timed = true;
        out.push({ op: 'start', ...id });
      } else if (e.want === 'reap') {
        // A start that may still arrive would run the task again once it is forgotten.
        if (t?.phase !== 'exited' || e.direct || e.sentWith >= 0 || !this.mayReap(m, t, e.key)) continue;
        reaps.push({ op: 'reap', ...id });
        since = Math.min(since, e.since);
      }
    }
    // Each change of a machine's tasks makes it report once more: ended ones are removed together, or with something else.
    const atOnce = this.l.blocking.has(m.name) || now - since > REAP_MS;
    if (out.length > 0 || reaps.length >= REAPS_TOGETHER || atOnce) out.push(...reaps);
    if (m.strangers.size > 0) {
      const synced = this.l.allSynced();
      const entitled = this.o.entitled();
      for (const [key, since] of m.strangers) {
        if (out.length >= COMMANDS_AT_ONCE) break;
        const t = m.tasks.get(key);
        if (!t || m.entries.has(key)) {
          m.strangers.delete(key);
          continue;
        }
        const cancelled = this.o.isCancelled(t.job);
        if (!synced && !(cancelled && t.phase !== 'exited')) continue;
        if (!cancelled && (now - since < 3000 || now - this.l.startedAt < 3000)) continue;
        const id = { job: t.job, idx: t.idx, attempt: t.attempt };
        // Nobody's, as far as all owners have told: also without entitlement, since later tokens bar it.
        if (t.phase !== 'exited') out.push({ op: 'stop', ...id, graceS: 0 });
        else if (!entitled) continue;
        else if (this.mayReap(m, t, key)) out.push({ op: 'reap', ...id });
      }
    }
    return out;
  }

  /**
   * As long as a worker lists an ended attempt, repeating its start has no effect. A direct command that was carried
   * out may be repeated late, as long as its token is the highest: one that was stopped would run again, perhaps beside
   * its successor. What is done ends at once when it is started again.
   */
  private mayReap(m: Machine, t: TaskReport, key: string): boolean {
    if (m.doubt.has(key)) return false;
    if (t.why === 'done' || !m.direct.has(key)) return true;
    // Its reports have a limit: under a higher token no repeat counts, and all may go.
    if (m.tasks.size > MOST_KEPT) this.o.raise(`${m.name} keeps ${m.tasks.size} ended tasks`);
    return false;
  }

  /** Sends what there is straight to the worker, one call at a time. */
  private direct(m: Machine, probe = false): void {
    if (m.directBusy || m.addr === '' || m.removing) return;
    if (!probe && m.probeFails > 0) return;
    const entitled = this.o.entitled();
    if (probe && !entitled) return;
    let cmds = m.up ? this.commands(m, null) : [];
    // A stop is right whoever leads now: what was started under a later token drops it.
    if (!entitled) cmds = cmds.filter((c) => c.op === 'stop');
    // Ended tasks take no room: their removal rides with the next answer or command.
    if (!probe && cmds.every((c) => c.op === 'reap')) cmds = [];
    if (cmds.length === 0 && !probe) return;
    m.directBusy = true;
    m.probeAt = this.o.clock.now();
    const season = m.season;
    const known = m.tally;
    const starts = cmds.filter((c) => c.op === 'start').map((c) => taskKey(c.job, c.idx, c.attempt));
    this.o.worker.commands(m.addr, this.l.token, season, cmds, (res) => {
      m.directBusy = false;
      const maybe = !res.ok && res.kind === 'unknown';
      for (const key of starts) {
        const e = m.entries.get(key);
        if (e) e.direct = false;
        if (maybe && m.season === season) {
          if (m.doubt.size === 0) m.doubtSince = this.o.clock.now();
          m.doubt.set(key, this.l.token);
        }
      }
      if (this.l.gone.has(m.name)) return;
      const r = res.ok ? res.value : res.report;
      if (!r) {
        m.probeFails++;
        if (starts.length > 0 && !res.ok)
          this.o.log.debug(
            { machine: m.name, kind: res.kind, starts: starts.length },
            'direct command failed',
          );
      } else {
        if (r.token > this.l.token) return this.o.deposed(r.token);
        m.probeFails = 0;
        m.deaf = 0;
        m.heardAt = this.o.clock.now();
        // An answer is newer than all that was heard before its question, or its worker began anew and knows nothing of
        // what was placed there: its reports would pass for late copies until its count has caught up.
        if (r.machine === m.name && (r.season < season || (r.season === season && r.tally <= known)))
          this.remove(m, 'its worker began anew');
        else if (r.machine === m.name && isNewer(m, r)) this.take(m, r, false);
      }
      this.l.dirty = true;
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
      if (this.l.gone.has(l.name)) continue;
      let m = this.l.machines.get(l.name);
      if (!m) {
        m = this.l.machine(l.name);
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
      // Our token ends whatever an earlier scheduler has on its way, and makes the worker report.
      if (!m.up && l.phase === 'running' && l.addr !== '' && now - m.probeAt > 2000) this.direct(m, true);
    }
    this.l.listed = true;
  }

  private remove(m: Machine, why: string): void {
    if (m.removing) return;
    m.removing = true;
    this.removeQueue.add(m.name);
    for (const e of m.entries.values()) if (e.want === 'hold') this.l.removeEntry(m, e);
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
    this.l.gone.add(name);
    this.o.images.forget(name);
    if (this.l.gone.size > 20000) for (const x of [...this.l.gone].slice(0, 5000)) this.l.gone.delete(x);
    const m = this.l.machines.get(name);
    if (!m) return;
    for (const e of [...m.entries.values()]) {
      if (!isUnstored(e) && e.want !== 'reap')
        this.say(e.team, { type: 'settled', job: e.job, idx: e.idx, attempt: e.attempt, machine: name });
      this.l.removeEntry(m, e);
    }
    this.l.machines.delete(name);
    this.l.endedAttempts.update(m, []);
    this.l.touch(m);
    this.l.capacity.freed(m);
  }

  /** Messages may be lost with a connection: who has not told all it holds is asked again. */
  private askUnsynced(now: number): void {
    if (now < this.nextAsk) return;
    this.nextAsk = now + 1500;
    const asked = new Set<string>();
    for (const r of this.l.owners.values()) if (!r.synced) asked.add(r.inst);
    for (const inst of asked) this.o.send(inst, { type: 'resync', token: this.l.token });
  }

  /** A stop that its owner did not act on is asked for again. */
  private forgetEvictions(now: number): void {
    for (const e of this.l.evictions) {
      if (e.want === 'run' && now - e.evicting <= 5000) continue;
      this.l.evictions.delete(e);
      if (e.want !== 'run') continue;
      e.evicting = 0;
      const m = this.l.machines.get(e.machine);
      if (m) this.l.touch(m);
    }
  }

  /** Tasks on a machine about to be taken, or retired, move while there is time. */
  private drain(now: number): void {
    for (const m of this.l.machines.values()) {
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
      this.l.evictAll(moves, now, `${m.name} leaves`);
    }
  }

  /** Machines that asked siblings, as those tell. */
  strayed(names: string[]): void {
    this.failures.strayed(names);
  }

  private watchDoubt(now: number): void {
    for (const m of this.l.machines.values()) {
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
    for (const [inst, seen] of this.outbox) this.o.send(inst, { type: 'seen', token: this.l.token, seen });
    this.outbox.clear();
    for (const m of this.toDirect) this.direct(m);
    this.toDirect.clear();
    if (!this.l.dirty) return;
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
    this.l.dirty = false;
    const left = this.placing.pass(now);
    if (now >= this.nextScale) {
      const from = this.o.clock.now();
      this.fleet.scale(now, left);
      // Looks at the whole fleet: less often when that takes long.
      this.nextScale = now + Math.min(3000, Math.max(1000, (this.o.clock.now() - from) * 40));
    }
    this.pollRemove(now);
    // A pass that takes long is made less often: what comes meanwhile shares the next one.
    const after = this.o.clock.now();
    this.nextPass = after + Math.min(500, Math.max(30, (after - now) * 5));
  }

  tick(): void {
    const now = this.o.clock.now();
    this.fleet.logFleet(now);
    this.l.refresh();
    this.l.policyNow = this.o.policy(this.l.policyInput());
    for (const m of this.l.machines.values())
      if (m.sum.todo || (m.strangers.size > 0 && m.up)) this.toDirect.add(m);
    this.pollList(now);
    this.failures.watch(now);
    this.watchDoubt(now);
    this.forgetEvictions(now);
    this.askUnsynced(now);
    this.drain(now);
    this.fleet.consolidate(now);
    this.pollRemove(now);
    this.l.dirty = true;
    this.o.wake();
  }

  /** For logs and tests. */
  stats(): Record<string, number> {
    let up = 0;
    let entries = 0;
    for (const m of this.l.machines.values()) {
      if (m.up) up++;
      entries += m.entries.size;
    }
    return { machines: this.l.machines.size, up, entries, holds: this.l.holds.size };
  }
}
