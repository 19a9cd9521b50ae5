import { AIM_MARGIN, cheapest, type PriceInput, planRentals, type Rental } from './autoscale.js';
import { bootingRooms } from './booting.js';
import type { Ledger, SchedulerOptions } from './ledger.js';
import { type Entry, type Machine, provenAt, takesRoom } from './machine.js';
import { allowed, emptyRoom, fill, fits, type Room, slots } from './room.js';
import type { Want } from './types.js';

/** Moves of replicas earned at each look for machines to empty, per running replica, and most saved up. */
const MOVES_PER_REPLICA = 0.004;
const MOST_MOVES = 8;
/** Machines looked at for emptying at a time. */
const MOST_TRIES = 60;
/** So long after work was last short of places ordinary machines are still left to it. */
const SHORT_MS = 10000;
/** Others come for places that come free: part of a boot time within which one is counted on. */
const SURE = 0.7;
/** How far ahead places that come free are counted on. */
const MOST_PATIENCE_S = 120;

/** Which machines to rent, to empty and to return. */
export class Fleet {
  private rentalsOut = new Map<string, Rental>();
  private claims = 0;
  private nextMove = 0;
  private nextLog = 0;
  private moveCredit = 0;
  /** What became of the machines looked at for emptying: for the log. */
  private lastMoves: Record<string, number> = {};
  /** Replicas on silent machines that have no room elsewhere yet. */
  readonly rescue = new Map<string, Want[]>();

  constructor(
    private readonly o: SchedulerOptions,
    private readonly l: Ledger,
    private readonly remove: (m: Machine, why: string) => void,
  ) {}

  private rent(r: Rental): void {
    const claim = `${this.o.inst}-${this.l.token}-${++this.claims}`;
    this.rentalsOut.set(claim, r);
    this.o.log.info({ claim, ...r }, 'machines asked for');
    let tries = 0;
    const ask = () => {
      this.o.cloud.rent(claim, r.type, r.zone, r.spot, r.n, (res) => {
        const now = this.o.clock.now();
        if (res.ok) {
          this.rentalsOut.delete(claim);
          for (const name of res.value) {
            if (this.l.gone.has(name)) continue;
            const m = this.l.machine(name);
            if (m.type === '') {
              m.type = r.type;
              m.zone = r.zone;
              m.spot = r.spot;
              m.rentedAt = now;
            }
          }
          if (res.value.length < r.n) this.l.capacity.refused(r, now);
          else this.l.capacity.filled(r);
          this.o.log.debug({ claim, got: res.value.length }, 'machines rented');
        } else if (res.kind === 'gone') {
          this.rentalsOut.delete(claim);
          this.l.capacity.refused(r, now);
          this.o.log.debug({ claim, ...r }, 'no capacity');
        } else if (res.kind === 'bad' || ++tries >= 6) this.rentalsOut.delete(claim);
        // The same claim again: what was rented under it is answered, and nothing more is rented.
        else
          this.o.clock.after(1000 * tries, () => (this.o.entitled() ? ask() : this.rentalsOut.delete(claim)));
        this.l.dirty = true;
        this.o.wake();
      });
    };
    ask();
  }

  /** Phantom wants: room that the next replicas of services should find at once. */
  private reserve(): { want: Want; count: number }[] {
    const shapes = [...this.l.serviceShapes.values()].sort((a, b) => b.at - a.at);
    const first = shapes[0];
    if (!first || this.l.policyNow.reserve_replicas <= 0) return [];
    const n = Math.ceil(this.l.policyNow.reserve_replicas);
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
    for (const m of this.l.machines.values()) {
      if (m.sum.services === 0) continue;
      for (const e of m.entries.values())
        if (e.service && takesRoom(e)) running.set(e.image, (running.get(e.image) ?? 0) + 1);
    }
    const out: { want: Want; n: number }[] = [];
    for (const s of this.l.serviceShapes.values()) {
      if (now - s.at > 600000) continue;
      const part = (running.get(s.want.image) ?? 0) / Math.max(1, this.l.total.services);
      out.push({ want: s.want, n: Math.max(1, Math.ceil(this.l.policyNow.reserve_replicas * part)) });
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

  scale(now: number, left: { want: Want; count: number }[]): void {
    const types = this.o.types();
    if (types.length === 0 || !this.o.entitled()) return;
    const byName = this.l.types;
    const coming = bootingRooms(this.l, now);
    for (const r of this.rentalsOut.values()) {
      const t = byName.get(r.type);
      if (t) for (let k = 0; k < r.n; k++) coming.push(emptyRoom(t, r.zone, r.spot, ''));
    }
    const scarce = this.l.scarce;
    // The reserve may lie in room that lower work uses now and would be stopped for.
    const rooms = this.l.reserveRooms(now);
    // Services whose room lower work will make are not rented for; that work may be.
    const open = left
      .map((l) => (l.want.service ? { ...l, count: fill(rooms, l.want, l.count, scarce, () => {}) } : l))
      .filter((l) => l.count > 0);
    const spare = new Set<string>();
    const phantom = this.reserve()
      .map((x) => ({ want: x.want, count: fill(rooms, x.want, x.count, scarce, (r) => spare.add(r.name)) }))
      .filter((x) => x.count > 0);
    this.l.spare = spare;
    for (const name of this.rescue.keys())
      if (!this.l.machines.has(name) || now - provenAt(this.l.machines.get(name)!) < 3000)
        this.rescue.delete(name);
    const rescued = [...this.rescue.values()].flat().map((want) => ({ want, count: 1 }));
    const short = this.afterWaiting(open, now);
    // As long as work is short of places, ordinary machines that are there are used, and not left to run empty.
    if (short.some((x) => !x.want.service && x.want.spot)) this.l.shortUntil = now + SHORT_MS;
    const need = [...short, ...rescued, ...phantom, ...this.cheaper(now)];
    // A new scheduler lets the list, the reports and the owners speak first.
    const settled = this.o.first || (this.l.listed && now - this.l.startedAt > this.o.listLagS * 1000);
    if (need.length > 0 && settled && this.l.allSynced()) {
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
    const cut = this.l.cutZones;
    const types = this.o.types();
    return {
      // What is rented in a zone that is cut off can't be reached.
      types: cut.size === 0 ? types : types.map((t) => ({ ...t, zones: t.zones.filter((z) => !cut.has(z)) })),
      capacity: this.l.capacity,
      now,
      amortizeS: this.l.policyNow.amortize_s,
      amortizeServiceS: this.l.policyNow.amortize_service_s,
      scarceZone: this.l.scarce,
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
    for (const m of this.l.machines.values()) {
      if (m.sum.batchTasks === 0 || m.removing || m.leaveAt !== null) continue;
      for (const e of m.entries.values()) {
        if (e.service || !takesRoom(e) || e.estimateS <= 0) continue;
        const running = e.listed?.phase === 'running';
        const left = running ? e.estimateS - (now - e.since) / 1000 : e.estimateS + this.l.fetchS(e) / 2;
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
        // Either way there must be time left to rent when waiting fails.
        const margin = (want.aimS ?? 0) * AIM_MARGIN;
        const last =
          at && !at.spot && want.slackS !== null
            ? want.slackS - margin / 2 - 1.2 * want.estimateS - 1.5 * boot
            : (want.patienceS ?? 0) - boot;
        const patience = Math.max(this.l.policyNow.patience_s, boot * SURE, last);
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
    for (const m of this.l.machines.values()) {
      if (m.spot || m.removing || m.sum.services > 0 || this.l.spare.has(m.name)) continue;
      if (m.up) cpus += m.sum.batch.cpus;
    }
    for (const m of this.l.withRoom) if (m.spot && this.l.usable(m, now)) cpus -= m.sum.free.cpus;
    let shape: Want | null = null;
    for (const l of this.l.wants.values())
      for (const w of l) if (w.spot && !w.service && !w.whole && (!shape || w.cpus > shape.cpus)) shape = w;
    if (!shape || cpus < shape.cpus) return [];
    const want: Want = { ...shape, job: '', avoid: [], near: '', types: null, slackS: null, spotOnly: true };
    return [{ want, count: Math.floor(cpus / shape.cpus) }];
  }

  private returnIdle(now: number, left: { want: Want; count: number }[]): void {
    if (!this.l.allSynced() || now - this.l.startedAt < 5000) return;
    this.l.refresh();
    const input = this.l.policyInput();
    const idleMs = new Map(
      [...this.l.types.values()].map((t) => [
        t.name,
        this.o.policy({ ...input, boot_s: t.bootS }).idle_s * 1000,
      ]),
    );
    const idle = new Map<string, Machine>();
    for (const m of this.l.machines.values()) {
      if (m.removing) continue;
      const t = this.l.types.get(m.type);
      if (!m.up) {
        const patience = (t?.bootS ?? 30) * 1000 * this.l.policyNow.boot_patience;
        // Up under an earlier scheduler and not heard by this one: behind a cut, or on its way here.
        if (m.listedUp && now - m.heardAt < this.o.workers.leaseS * 1000) continue;
        if (
          now - m.rentedAt > patience &&
          now - this.l.startedAt > this.o.workers.reportS * 4000 &&
          m.entries.size === 0 &&
          now - m.heardAt > 10000
        )
          this.remove(m, 'did not come up in time');
        continue;
      }
      if (m.sum.busy > 0) continue;
      if ([...m.tasks.values()].some((x) => x.phase !== 'exited')) continue;
      if (m.retired || m.leaving || m.leaveAt !== null) {
        this.remove(m, 'empty, and not used any more');
        continue;
      }
      if (this.l.gathered.has(m.name)) continue;
      const idleFor = idleMs.get(m.type) ?? 60000;
      const surplus = !m.spot && !this.l.spare.has(m.name) && now > this.l.shortUntil;
      if (now - m.idleSince >= (surplus ? idleFor / 2 : idleFor)) idle.set(m.name, m);
    }
    if (idle.size === 0) return;
    for (const m of idle.values()) {
      const t = this.l.types.get(m.type);
      const r = t ? emptyRoom(t, m.zone, m.spot, m.name) : null;
      if (r && left.some((l) => fits(r, l.want) && allowed(r, l.want))) idle.delete(m.name);
    }
    // The reserve takes idle machines last; those that it needs all the same are kept.
    const rooms = this.l.reserveRooms(now);
    for (const r of rooms) if (idle.has(r.name)) r.penalty += 1000;
    const keep = (r: Room) => void idle.delete(r.name);
    const plain = rooms.map((r) => ({ ...r }));
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
    // What is kept for its image serves the reserve as well.
    for (const r of rooms) if (r.penalty >= 1000 && !idle.has(r.name)) r.penalty -= 1000;
    for (const x of this.reserve()) fill(rooms, x.want, x.count, this.l.scarce, keep);
    for (const m of idle.values()) this.remove(m, 'idle');
  }

  /**
   * Replicas move together when that empties a machine: one at a time, to room that is free now, with their image
   * there, and only replicas that have run for a while.
   */
  consolidate(now: number): void {
    if (now < this.nextMove || !this.o.entitled() || !this.l.allSynced() || now - this.l.startedAt < 30000)
      return;
    this.nextMove = now + 3000;
    for (const wants of this.l.wants.values()) if (wants.some((w) => w.service)) return;
    const all: { m: Machine; moves: Entry[]; gain: number }[] = [];
    let going = 0;
    for (const m of this.l.machines.values()) {
      if (m.leaving) {
        if (m.sum.busy > 0) going++;
        continue;
      }
      const t = this.l.types.get(m.type);
      if (!t || m.spot || m.sum.services === 0 || m.sum.free.cpus <= 1e-9 || !this.l.usable(m, now)) continue;
      const moves = [...m.entries.values()].filter((e) => e.service && takesRoom(e));
      if (moves.some((e) => e.want !== 'run' || e.listed?.phase !== 'running' || now - e.since < 35000))
        continue;
      // One that holds many images is worth more as a place for the next replicas.
      all.push({ m, moves, gain: t.price / moves.length / (1 + m.images.size / 10) });
    }
    all.sort((a, b) => b.gain - a.gain);
    // Each move costs a replica a moment: no more of them than users would notice.
    this.moveCredit = Math.min(MOST_MOVES, this.moveCredit + this.l.total.services * MOVES_PER_REPLICA);
    if (going >= Math.ceil(this.l.machines.size / 60)) return;
    // Lower work is stopped for them if need be: it is cheaper to run elsewhere.
    let free = this.l.reserveRooms(now).filter((r) => !r.spot);
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
      if (this.reserve().some((x) => fill(after, x.want, x.count, this.l.scarce, () => {}) > 0)) {
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
      this.l.evictAll(moves, now, `${m.name} is emptied`);
      this.moveCredit -= moves.length;
      free = rooms;
      for (const name of to) taken.add(name);
    }
  }

  /**
   * An ordinary silent machine is left its lease when the replicas on it would find no room elsewhere: they may
   * well be running behind a cut, and deleting them frees nothing. Room for them is rented meanwhile.
   */
  waitFor(m: Machine, rooms: Room[], now: number): boolean {
    this.rescue.delete(m.name);
    // In a zone that is cut off replicas may be kept alive from inside, and could go nowhere else: until they are dead
    // in any case, deleting their machine only ends them (seen on rekrut-szkoly-fleet, zone).
    if (!m.spot && m.sum.services > 0 && this.l.cutZones.has(m.zone))
      return now - Math.max(provenAt(m), this.l.startedAt) <= this.o.workers.cancelS * 1000;
    if (m.spot || now - Math.max(provenAt(m), this.l.startedAt) > this.o.workers.leaseS * 1000) return false;
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
    const tied = this.l.scarce === m.zone;
    return { ...this.l.baseWant(e), zone: tied ? m.zone : null, zoneRoom: tied ? {} : null };
  }

  /** What the fleet is made of, for operators. */
  logFleet(now: number): void {
    if (now < this.nextLog) return;
    this.nextLog = now + 30000;
    const kinds: Record<
      string,
      { machines: number; up: number; cpus: number; services: number; batch: number }
    > = {};
    for (const m of this.l.machines.values()) {
      const key = `${m.type}/${m.zone}${m.spot ? '/spot' : ''}`;
      kinds[key] ??= { machines: 0, up: 0, cpus: 0, services: 0, batch: 0 };
      const k = kinds[key];
      k.machines++;
      if (!m.up) continue;
      k.up++;
      k.cpus += this.l.types.get(m.type)?.cpus ?? 0;
      k.services += m.sum.serviceCpus;
      k.batch += m.sum.batch.cpus;
    }
    this.o.log.info(
      { kinds, moves: this.lastMoves, wants: [...this.l.wants.values()].reduce((n, l) => n + l.length, 0) },
      'fleet',
    );
  }
}
