import { AIM_MARGIN } from './autoscale.js';
import { GangGathering } from './gang-gathering.js';
import type { Ledger, SchedulerOptions, WantRef } from './ledger.js';
import { LimitedLog } from './limited-log.js';
import { type Machine, newEntry, provenAt } from './machine.js';
import { addUse, Preemption, type Usage } from './preemption.js';
import { Refusals } from './refusals.js';
import { avoidsAny, fill, type Room, shapeKey, take } from './room.js';
import type { Grant, Want } from './types.js';

/** Part of an aim on waiting after which lower work is stopped for it. */
const STOP_AFTER = 0.25;

/** So long nothing of a job may find room before it takes what is kept for others. */
const STARVED_MS = 45000;

/** What a pass knows. */
interface Pass {
  rooms: Room[];
  /** Room that stops under way will free. */
  promised: Room[];
  usage: Usage;
  now: number;
}

/** Gives room to what owners want, by rank, guarantee and order, and has lower work stopped for it. */
export class Placing {
  readonly declined = new Map<string, number>();
  /** Classes with an aim on waiting, and the mean size of their jobs. */
  private readonly waits = new Map<string, number>();
  private guaranteeS = Number.POSITIVE_INFINITY;
  /** Since when a job's work has found no room. */
  private readonly unmet = new Map<string, number>();
  /** Since when nothing at all of a job has found room. */
  private readonly nothing = new Map<string, number>();
  private readonly batchShapes = new Map<string, { want: Want; mean: number }>();
  private grants = 0;
  /** Kinds of wants that find no room in this pass. */
  private readonly full = new Set<string>();
  private readonly preemption: Preemption;
  private readonly gathering: GangGathering;
  private readonly refusals: Refusals;
  private readonly log: LimitedLog;

  constructor(
    private readonly o: SchedulerOptions,
    private readonly l: Ledger,
  ) {
    this.log = new LimitedLog(o.log, o.clock);
    this.gathering = new GangGathering(l);
    this.refusals = new Refusals(l, (why) => o.raise(why));
    this.preemption = new Preemption(o, l, (job) => this.unmet.get(job));
    for (const a of o.objectives) {
      if (a.kind === 'wait') this.waits.set(a.cls, Math.min(a.withinS, this.waits.get(a.cls) ?? a.withinS));
      if (a.kind === 'guarantee') this.guaranteeS = Math.min(this.guaranteeS, a.withinS);
    }
  }

  /** Its slack less its run, with room for estimates that are too low, and the fetch of its image. */
  private patience(w: Want): number | null {
    if (w.slackS === null || w.service || w.whole) return null;
    return Math.max(0, w.slackS - (w.aimS ?? 0) * AIM_MARGIN - 1.75 * w.estimateS - this.l.fetchS(w));
  }

  setWants(inst: string, wants: Want[]): void {
    const old = new Set(this.l.wants.get(inst)?.map((w) => w.job));
    for (const w of wants) w.patienceS = this.patience(w);
    for (const w of wants)
      if (!w.service && !w.whole && !old.has(w.job) && this.waits.has(w.cls)) {
        const b = this.batchShapes.get(w.cls);
        this.batchShapes.set(w.cls, { want: w, mean: b ? b.mean * 0.9 + w.count * 0.1 : w.count });
      }
    this.l.wants.set(inst, wants);
    for (const w of wants) if (w.service) this.l.learnShape(w);
  }

  /** The zone with the fewest types, then the least ordinary room, while jobs must be spread over zones. */
  private findScarceZone(): string | null {
    let spread = false;
    for (const s of this.l.serviceShapes.values()) if (s.want.zoneRoom) spread = true;
    if (!spread) return null;
    const room = new Map<string, { types: number; cpus: number }>();
    for (const t of this.l.types.values())
      for (const z of t.zones) {
        const r = room.get(z) ?? { types: 0, cpus: 0 };
        r.types++;
        room.set(z, r);
      }
    if (room.size < 2) return null;
    for (const m of this.l.machines.values()) {
      const r = room.get(m.zone);
      if (r && !m.spot) r.cpus += this.l.types.get(m.type)?.cpus ?? 0;
    }
    const sorted = [...room].sort((a, b) => a[1].types - b[1].types || a[1].cpus - b[1].cpus);
    return sorted[0]?.[0] ?? null;
  }

  pass(now: number): { want: Want; count: number }[] {
    this.l.refresh();
    this.full.clear();
    this.preemption.beginPass();
    this.gathering.beginPass();
    this.refusals.beginPass();
    if (now - this.l.scarceAt > 1000) {
      this.l.scarceAt = now;
      this.l.scarce = this.findScarceZone();
    }
    const left: { want: Want; count: number }[] = [];
    const refs: (WantRef & { inside: boolean })[] = [];
    const usage = this.l.usage();
    for (const [inst, wants] of this.l.wants)
      for (const want of wants)
        if (this.l.heeds(inst, want.team)) {
          const inside = this.l.within(usage.get(want.team), want.team, want);
          refs.push({ want: this.seenFrom(want, inside, now), inst, inside });
        }
    refs.sort(
      (a, b) =>
        a.want.rank - b.want.rank ||
        Number(b.inside) - Number(a.inside) ||
        a.want.stage - b.want.stage ||
        a.want.order - b.want.order,
    );
    const list = this.l.rooms(now);
    const scarce = this.l.scarce;
    const byImage = new Map<string, Room[]>();
    const warmRooms = (image: string): Room[] => {
      let l = byImage.get(image);
      if (!l) {
        l = list.filter((r) => r.images?.has(image));
        byImage.set(image, l);
      }
      return l;
    };
    const held = new Set<string>();
    for (const m of this.l.reserved) if (m.reserved) held.add(m.reserved.job);
    const grants = new Map<string, Grant[]>();
    const wanted = new Set<string>();
    const served = new Set<string>();
    const promised = this.freeing(now);
    const ready = this.o.entitled();
    const kept = [...this.batchShapes.values()].sort((a, b) => a.want.rank - b.want.rank);
    const place = ({ want, inst }: WantRef, count: number, rooms: Room[]): number => {
      if (!ready || count <= 0) return count;
      const key =
        want.whole || held.has(want.job) ? null : `${shapeKey(want)}|${rooms === list ? '' : want.image}`;
      if (key !== null && this.full.has(key)) return count;
      const give = (r: Room) => {
        const m = this.l.machines.get(r.name) as Machine;
        addUse(usage, want);
        const g = this.grant(m, want, now);
        const l = grants.get(inst);
        if (l) l.push(g);
        else grants.set(inst, [g]);
      };
      if (want.whole) return this.placeGang(rooms, want, count, give);
      const left = fill(rooms, want, count, scarce, give);
      // One that must be spread or joined may have left some for want of a zone, and not of room.
      const none = want.zoneRoom || want.together ? left === count : left > 0;
      if (key !== null && none && !avoidsAny(want)) this.full.add(key);
      return left;
    };
    const finish = (ref: WantRef & { inside: boolean }, count: number): void => {
      const { want } = ref;
      let open = count;
      if (want.service) {
        // A replica that has to fetch its image is late by far more than one that waits for a task to stop.
        const warm = (r: Room) => r.images?.has(want.image) === true;
        open = place(ref, open, warmRooms(want.image));
        if (open > 0) open = fill(promised.filter(warm), want, open, scarce, () => addUse(usage, want));
        if (open > 0 && ready) open -= this.preemption.preempt(want, open, usage, now, true);
      }
      open = place(ref, open, list);
      if (open < count) {
        this.nothing.delete(want.job);
        this.refusals.placed(want.job);
      } else {
        if (!this.nothing.has(want.job)) this.nothing.set(want.job, now);
        this.refusals.unplaced(want, count, list, now);
      }
      if (open <= 0) return void this.unmet.delete(want.job);
      if (want.whole) return void left.push(...this.gather(ref, open, { rooms: list, promised, usage, now }));
      // Room that stops already under way will free is waited for before more is stopped; what comes into it
      // counts as used, or one task's guarantee would be claimed for all.
      const key = `${shapeKey(want)}|promised`;
      let waiting = open;
      if (!this.full.has(key)) {
        waiting = fill(promised, want, open, scarce, () => addUse(usage, want));
        if (waiting === open && !avoidsAny(want)) this.full.add(key);
      }
      if (waiting <= 0) return;
      // Places come free all the time: a moment's wait often saves the work that a stop would lose.
      const since = this.unmet.get(want.job) ?? now;
      this.unmet.set(want.job, since);
      if (ready && now - since >= this.stopAfterMs(want, ref.inside))
        waiting -= this.preemption.preempt(want, waiting, usage, now);
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
      // Lower work leaves the room that the next job of a class with an aim on waiting will need; not for ever, or it would
      // wait beside free machines where the cloud has no more (seen in a seeded day).
      while (kept.length > 0 && kept[0]!.want.rank < want.rank) {
        const k = kept.shift()!;
        for (const r of refs) {
          const c = r.want.starved && r.want.rank > k.want.rank ? this.openCount(r.want, now) : 0;
          if (c > 0) finish(r, c);
          if (c > 0) served.add(r.want.job);
        }
        const free: Want = { ...k.want, avoid: [], near: '', zoneRoom: null };
        fill(list, free, Math.round(k.mean * this.l.policyNow.reserve_batch), scarce, () => {});
      }
      wanted.add(want.job);
      const count = served.has(want.job) ? 0 : this.openCount(want, now);
      if (count <= 0) continue;
      if (want.service || want.whole || (want.patienceS ?? 0) <= 0) finish(ref, count);
      else {
        cold.push({ ref, count: place(ref, count, warmRooms(want.image)) });
      }
    }
    for (const c of cold) finish(c.ref, c.count);
    for (const [inst, g] of grants) this.o.send(inst, { type: 'grants', token: this.l.token, grants: g });
    this.gathering.endPass(wanted);
    this.refusals.endPass(wanted);
    for (const job of this.unmet.keys()) if (!wanted.has(job)) this.unmet.delete(job);
    for (const job of this.nothing.keys()) if (!wanted.has(job)) this.nothing.delete(job);
    this.preemption.endPass(wanted);
    this.endReservations(wanted, now);
    return left;
  }

  /**
   * A gang without room for all of its tasks keeps what there is out of reach of what comes after it; what it lacks is
   * freed of lower work once it has waited, or rented.
   */
  private gather(
    ref: WantRef & { inside: boolean },
    count: number,
    pass: Pass,
  ): { want: Want; count: number }[] {
    const { want } = ref;
    const { rooms, promised, usage, now } = pass;
    const { task, missing } = this.gathering.reserve(rooms, want, count, now);
    let waiting = fill(promised, task, missing, this.l.scarce, () => addUse(usage, want));
    const since = this.unmet.get(want.job) ?? now;
    this.unmet.set(want.job, since);
    const mayStop = this.o.entitled() && now - since >= this.stopAfterMs(want, ref.inside);
    if (waiting > 0 && mayStop) waiting -= this.preemption.preempt(task, waiting, usage, now);
    return waiting > 0 ? [{ want: task, count: waiting }] : [];
  }

  /** Room that was freed for a job is kept no longer once the job has what it wants, or the time for it is over. */
  private endReservations(wanted: ReadonlySet<string>, now: number): void {
    for (const m of this.l.reserved) {
      const { reserved } = m;
      if (reserved && wanted.has(reserved.job) && reserved.until > now) continue;
      if (reserved && wanted.has(reserved.job))
        this.log.info({ machine: m.name, job: reserved.job }, 'freed room not used');
      m.reserved = null;
      this.l.reserved.delete(m);
    }
  }

  /** How much of a want is open: what its owner has taken in of the grants is no longer wanted by it. */
  private openCount(want: Want, now: number): number {
    let count = want.count;
    for (const id of this.l.holds.get(want.job) ?? []) if (id > want.seen) count--;
    const pause = this.declined.get(want.job);
    if (pause !== undefined) {
      if (pause > now) return 0;
      this.declined.delete(want.job);
    }
    return want.whole && count < want.count ? 0 : count;
  }

  /** A want as this pass sees it. */
  private seenFrom(want: Want, inside: boolean, now: number): Want {
    const since = this.nothing.get(want.job) ?? now;
    const starved = now - since > STARVED_MS;
    // A worker that lists an ended attempt of a task refuses the next: places taken there came back again and again, each
    // time at the cost of work stopped for it (seen in a seeded day: nothing ended any more).
    const refusedBy = this.refusals.machinesFor(want);
    if (!starved && !refusedBy && !(inside && want.patienceS)) return want;
    const w: Want = { ...want, starved };
    // A guarantee is to be had at once, whatever the aim allows.
    if (inside && w.patienceS) w.patienceS = 0;
    if (refusedBy) w.refusedBy = refusedBy;
    return w;
  }

  /** Room for all tasks of a gang, or for none. Returns how many were left. */
  private placeGang(rooms: Room[], want: Want, count: number, give: (room: Room) => void): number {
    const chosen = this.refusals.chooseForGang(rooms, want, count, this.l.scarce);
    if (!chosen) return count;
    for (const room of chosen) {
      take(room, want);
      give(room);
    }
    return 0;
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
    this.l.touch(m);
    this.l.grantAt.set(id, m);
    const ids = this.l.holds.get(w.job);
    if (ids) ids.add(id);
    else this.l.holds.set(w.job, new Set([id]));
    const endedTasks = m.endedTasks.get(w.job)?.tasks;
    return {
      id,
      job: w.job,
      team: w.team,
      machine: m.name,
      zone: m.zone,
      season: m.season,
      ...(endedTasks && { endedTasks: [...endedTasks] }),
    };
  }

  /** Room that will be free once the tasks being stopped are gone. */
  private freeing(now: number): Room[] {
    const out: Room[] = [];
    for (const m of this.l.withStops) {
      if (m.removing || m.retired || m.leaveAt !== null || now - provenAt(m) >= 10000) continue;
      const r = this.l.roomOf(m, now);
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
}
