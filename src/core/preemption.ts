import { bootingRooms } from './booting.js';
import type { Ledger, SchedulerOptions } from './ledger.js';
import { type Entry, type Machine, takesRoom } from './machine.js';
import { avoidsAny, emptyRoom, fits, isOpen, shapeKey, take } from './room.js';
import type { Want } from './types.js';

/** So long work waits before a gang of another team is stopped for its guarantee: all tasks of a gang stop with one. */
const STOP_GANG_AFTER_MS = 30000;
/** Share of the machines that boot from which no work, and from which no gang, is stopped for a guarantee. */
const STARTING_SHARE = 0.15;
const STARTING_SHARE_FOR_GANGS = 0.05;
/** Pause after a look for work to stop that found none: it looks at every task of the fleet. */
const LOOK_AGAIN_MS = 1000;
/** Ranks up to this one look for work to stop in each pass: prod and urgent work counts by seconds. */
const MOST_URGENT_RANK = 1;
/** So long what was freed for a job is kept for it. */
const RESERVED_MS = 5000;

function isPressing(w: Want): boolean {
  return w.service || w.rank <= MOST_URGENT_RANK;
}

/** What each team uses. */
export type Usage = Map<string, { cpus: number; gpus: number }>;

/** One more task of a want counts as running. */
export function addUse(usage: Usage, w: Want): void {
  const used = usage.get(w.team);
  if (!used) return;
  used.cpus += w.cpus;
  used.gpus += w.gpus;
}

/** Tasks that may be stopped on a machine for one task of a want, and what is lost by it. */
interface Offer {
  m: Machine;
  victims: Entry[];
  cost: number;
}

/** Chooses which work is stopped to make room for other work, within what "Preemption" of the protocol allows. */
export class Preemption {
  /** When no work to stop was found for a job. */
  private readonly fruitless = new Map<string, number>();
  /** In this pass: kinds of wants that nothing can be stopped for. */
  private readonly hopeless = new Set<string>();
  private readonly stops = new Map<string | null, Machine[]>();
  /** In this pass: the tasks of each gang, and the share of machines that boot, once they were asked for. */
  private gangTasks: Map<string, Entry[]> | null = null;
  private bootingShare: number | null = null;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly ledger: Ledger,
    /** Since when a job's work has found no room. */
    private readonly unmetSince: (job: string) => number | undefined,
  ) {}

  beginPass(): void {
    this.hopeless.clear();
    this.stops.clear();
    this.gangTasks = null;
    this.bootingShare = null;
  }

  endPass(waiting: ReadonlySet<string>): void {
    for (const job of this.fruitless.keys()) if (!waiting.has(job)) this.fruitless.delete(job);
  }

  /** `less`: CPUs of the team's tasks that are chosen already. */
  private mayStop(w: Want, e: Entry, usage: Usage, less = 0): boolean {
    if (e.want !== 'run' || e.evicting || e.settled) return false;
    // Services give way to nothing below them, whatever team they belong to.
    if (e.rank === 0) return false;
    if (e.team === w.team || w.rank === 0) return e.rank > w.rank;
    const t = this.options.teams.get(e.team);
    const u = usage.get(e.team);
    const beyond = !!t && !!u && u.cpus - less > t.cpus + 1e-9;
    const within = this.ledger.within(usage.get(w.team), w.team, w);
    // A guarantee goes before rank: were it otherwise, each of two teams could stop the other for ever.
    if (e.rank > w.rank) return beyond || within;
    return beyond && within && this.mayClaimGuarantee(w, e);
  }

  /**
   * Work of no lower priority gives way to another team's guarantee, but not while most of the fleet boots: there is soon
   * room (seen on bhuj-relief-works: 1,500 tasks stopped in the first minute, most of the leader's processor time spent on
   * choosing them). A gang gives way last, since all of its tasks stop with one.
   */
  private mayClaimGuarantee(w: Want, e: Entry): boolean {
    this.bootingShare ??=
      bootingRooms(this.ledger, this.options.clock.now()).length / Math.max(1, this.ledger.machines.size);
    if (!e.gang) return this.bootingShare < STARTING_SHARE;
    const now = this.options.clock.now();
    const waitedMs = now - (this.unmetSince(w.job) ?? now);
    return this.bootingShare < STARTING_SHARE_FOR_GANGS && waitedMs >= STOP_GANG_AFTER_MS;
  }

  /** What would have to be stopped on a machine for one task of a want, and what is lost by it. */
  private offer(m: Machine, w: Want, usage: Usage, now: number): Offer | null {
    const t = this.ledger.types.get(m.type);
    if (!t) return null;
    const r = emptyRoom(t, m.zone, m.spot, m.name);
    r.surplus = this.ledger.isSurplus(m, now);
    // By the same question as placing: tasks were stopped every 5 s for services that then were not let in (inc-1fa0).
    if (!isOpen(r, w, this.ledger.scarce)) return null;
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
    for (const e of victims)
      for (const task of this.stoppedWith(e))
        cost += (task.cpus * (now - task.since)) / 1000 + (3 - e.rank) * 30;
    return { m, victims, cost };
  }

  /** All tasks that end when one is stopped: those of its gang, or itself. */
  private stoppedWith(e: Entry): readonly Entry[] {
    if (!e.gang) return [e];
    this.gangTasks ??= this.findGangTasks();
    return this.gangTasks.get(e.job) ?? [e];
  }

  private findGangTasks(): Map<string, Entry[]> {
    const tasks = new Map<string, Entry[]>();
    for (const m of this.ledger.machines.values())
      for (const e of m.entries.values()) {
        if (!e.gang || e.want !== 'run' || e.settled) continue;
        const gang = tasks.get(e.job);
        if (gang) gang.push(e);
        else tasks.set(e.job, [e]);
      }
    return tasks;
  }

  /** Machines with work that may be stopped, of this pass; with an image: those that hold it. */
  private stoppable(now: number, image: string | null): Machine[] {
    if (this.stops.size === 0) {
      const all: Machine[] = [];
      this.stops.set(null, all);
      for (const m of this.ledger.machines.values()) {
        if (m.sum.batch.cpus <= 0 || !this.ledger.usable(m, now)) continue;
        all.push(m);
        for (const name of m.images.keys()) {
          const l = this.stops.get(name);
          if (l) l.push(m);
          else this.stops.set(name, [m]);
        }
      }
    }
    return this.stops.get(image) ?? [];
  }

  /**
   * Has lower work stopped so that `count` tasks of a want find room, least lost work first. Returns for how many there will
   * be room.
   */
  preempt(w: Want, count: number, usage: Usage, now: number, warmOnly = false): number {
    const inside = this.ledger.within(usage.get(w.team), w.team, w);
    let lower = false;
    for (let k = w.rank + 1; k < 4; k++) if (this.ledger.total.ranks[k]! > 0) lower = true;
    if (!lower && !inside) return 0;
    // A pass with hundreds of replicas without room looked at every machine for each of them: half a scheduler's time at
    // two thousand machines. What one want could not be made room for, others like it can't be either.
    const key = `${shapeKey(w)}|${inside}|${warmOnly ? w.image : ''}`;
    if (this.hopeless.has(key)) return 0;
    // Where each job has a size of its own, that saves nothing: passes took 0.4 s while 300 machines came up (seen on
    // bhuj-relief-works).
    if (!isPressing(w) && now - (this.fruitless.get(w.job) ?? Number.NEGATIVE_INFINITY) < LOOK_AGAIN_MS)
      return 0;
    const offers = this.offers(w, usage, now, warmOnly);
    const victims: Entry[] = [];
    let picked = 0;
    for (; picked < count; picked++) {
      const pick = offers.pop();
      if (!pick) break;
      addUse(usage, w);
      this.reserve(pick.m, w, now);
      for (const victim of pick.victims) victims.push(...this.markStopped(victim, usage, now));
      const again = this.offer(pick.m, w, usage, now);
      if (!again) continue;
      let at = offers.length;
      while (at > 0 && offers[at - 1]!.cost < again.cost) at--;
      offers.splice(at, 0, again);
    }
    if (picked < count && !avoidsAny(w)) this.hopeless.add(key);
    if (picked === 0) this.fruitless.set(w.job, now);
    this.ask(victims, `room for ${w.job}`);
    return picked;
  }

  /** What may be stopped on each machine for one task of a want, cheapest last. */
  private offers(w: Want, usage: Usage, now: number, warmOnly: boolean): Offer[] {
    const offers: Offer[] = [];
    for (const m of this.stoppable(now, warmOnly ? w.image : null)) {
      const { batch, free } = m.sum;
      if (batch.cpus + free.cpus + 1e-9 < w.cpus || batch.mem + free.mem + 1e-9 < w.mem) continue;
      const o = this.offer(m, w, usage, now);
      if (o) offers.push(o);
    }
    return offers.sort((a, b) => b.cost - a.cost);
  }

  /** What is freed is for this want; lower work would only have to be stopped again. */
  private reserve(m: Machine, w: Want, now: number): void {
    m.reserved = { job: w.job, rank: w.rank, until: now + RESERVED_MS };
    this.ledger.reserved.add(m);
    this.ledger.touch(m);
  }

  /** Marks a task and all that stop with it; returns those that were not marked before. */
  private markStopped(victim: Entry, usage: Usage, now: number): Entry[] {
    const marked = this.stoppedWith(victim).filter((e) => !e.evicting);
    for (const e of marked) {
      e.evicting = now;
      this.ledger.evictions.add(e);
      const m = this.ledger.machines.get(e.machine);
      if (m) this.ledger.touch(m);
      const u = usage.get(e.team);
      if (u) u.cpus -= e.cpus;
    }
    return marked;
  }

  /** Asks the owners of tasks to stop them: they know whether a task may save, and with how much grace. */
  private ask(victims: Entry[], why: string): void {
    const stops = new Map<string, { job: string; idx: number; attempt: number }[]>();
    for (const { job, idx, attempt, team } of victims) {
      const inst = this.ledger.owners.get(team)?.inst;
      if (!inst) continue;
      const tasks = stops.get(inst) ?? [];
      tasks.push({ job, idx, attempt });
      stops.set(inst, tasks);
    }
    for (const [inst, tasks] of stops)
      this.options.send(inst, { type: 'evict', token: this.ledger.token, tasks, why });
  }
}
