import { allowed, avoids, emptyRoom, fill, fits, type Room, slots, take } from './room.js';
import type { MachineType, Want } from './types.js';

export interface Rental {
  type: string;
  zone: string;
  spot: boolean;
  n: number;
}

/** Refused rentals are remembered per type, zone and kind, with growing pauses. */
export class Capacity {
  private readonly blocked = new Map<string, { until: number; pause: number }>();

  constructor(
    private readonly firstMs: number,
    private readonly mostMs: number,
  ) {}

  static key(r: { type: string; zone: string; spot: boolean }): string {
    return `${r.type}|${r.zone}|${r.spot ? 's' : 'o'}`;
  }

  open(r: { type: string; zone: string; spot: boolean }, now: number): boolean {
    const b = this.blocked.get(Capacity.key(r));
    return !b || b.until <= now;
  }

  refused(r: { type: string; zone: string; spot: boolean }, now: number): void {
    const k = Capacity.key(r);
    const pause = Math.min(this.mostMs, (this.blocked.get(k)?.pause ?? this.firstMs / 2) * 2);
    this.blocked.set(k, { until: now + pause, pause });
  }

  filled(r: { type: string; zone: string; spot: boolean }): void {
    this.blocked.delete(Capacity.key(r));
  }

  /** A machine came free again. */
  freed(r: { type: string; zone: string; spot: boolean }): void {
    const b = this.blocked.get(Capacity.key(r));
    if (b) b.until = 0;
  }
}

export interface PriceInput {
  types: MachineType[];
  capacity: Capacity;
  now: number;
  /** Span over which boot and image fetch are paid off. */
  amortizeS: number;
  amortizeServiceS: number;
  scarceZone: string | null;
}

export interface ScaleInput extends PriceInput {
  /** Wants that found no room, in order of rank, with the number of tasks left. */
  left: { want: Want; count: number }[];
  /** Rooms of machines that are rented and not yet up. */
  coming: Room[];
  /** Calls to the cloud that may be made now, each for up to `MOST_A_CALL` machines of one kind. */
  maxCalls: number;
}

const MOST_A_CALL = 50;
/** Part of an aim kept in hand. */
export const AIM_MARGIN = 0.2;

/** Chooses rentals for work without room: the cheapest place per task, boot and image fetch included. */
export function planRentals(i: ScaleInput): Rental[] {
  const rooms = [...i.coming];
  const out = new Map<string, Rental>();
  // A want of its own each: what is planned in a zone counts against what may still go there, or machines would be
  // rented again and again for replicas that may not use them.
  const rest = i.left.map((l) => {
    const want: Want = { ...l.want, zoneRoom: l.want.zoneRoom ? { ...l.want.zoneRoom } : null };
    return { want, count: plan(i, rooms, want, l.count) };
  });
  const calls = () => [...out.values()].reduce((n, r) => n + Math.ceil(r.n / MOST_A_CALL), 0);
  for (let k = 0; k < rest.length && calls() < i.maxCalls; k++) {
    const { want } = rest[k]!;
    // Room rented for an earlier want may have space for this one.
    let count = plan(i, rooms, want, rest[k]!.count);
    let guard = 64;
    while (count > 0 && calls() < i.maxCalls && guard-- > 0) {
      const c = cheapest(i, want, Math.max(count, similar(rest, k)));
      if (!c) break;
      const key = Capacity.key({ type: c.type.name, zone: c.zone, spot: c.spot });
      const r = out.get(key) ?? { type: c.type.name, zone: c.zone, spot: c.spot, n: 0 };
      // As many as this want fills, in one go; spread and joined jobs choose their zones machine by machine.
      const alone = want.whole || want.zoneRoom !== null || want.together;
      const each = Math.max(1, slots(c.type, want)) * runsEach(c.type, want);
      const n = alone ? 1 : Math.max(1, Math.floor(count / each));
      const more = Math.min(
        n,
        MOST_A_CALL * (i.maxCalls - calls()) + ((MOST_A_CALL - (r.n % MOST_A_CALL)) % MOST_A_CALL),
      );
      r.n += more;
      out.set(key, r);
      const fresh: Room[] = [];
      for (let x = 0; x < more; x++) fresh.push(emptyRoom(c.type, c.zone, c.spot, ''));
      const before = count;
      count = plan(i, fresh, want, count);
      for (const x of fresh) if (x.cpus > 1e-9) rooms.push(x);
      if (count === before && !want.whole) break;
      if (want.whole) count = plan(i, rooms, want, count);
    }
  }
  return [...out.values()].flatMap((r) => {
    const parts: Rental[] = [];
    for (let left = r.n; left > 0; left -= MOST_A_CALL) parts.push({ ...r, n: Math.min(MOST_A_CALL, left) });
    return parts;
  });
}

/** Takes room for tasks of a want; returns how many are left without. */
function plan(i: ScaleInput, rooms: Room[], w: Want, count: number): number {
  if (w.slackS !== null && !w.service && !w.whole && !w.zoneRoom && !w.together)
    return planRuns(i, rooms, w, count);
  const used: string[] = [];
  const left = fill(rooms, w, count, i.scarceZone, (r) => used.push(r.zone));
  if (w.zoneRoom) for (const z of used) w.zoneRoom[z] = (w.zoneRoom[z] ?? w.zoneCap) - 1;
  return left;
}

/** The same for work with time before its aim: a place takes as many of its tasks as it can run one after another. */
function planRuns(i: ScaleInput, rooms: Room[], w: Want, count: number): number {
  const types = new Map(i.types.map((t) => [t.name, t]));
  let left = count;
  for (const r of rooms) {
    if (left <= 0) break;
    const t = types.get(r.type);
    if (!t || !fits(r, w) || !allowed(r, w) || avoids(w, r.name)) continue;
    if (w.spotOnly && !r.spot) continue;
    const each = runsEach(t, w);
    const n = Math.min(slots(r, w), Math.ceil(left / each));
    for (let k = 0; k < n; k++) take(r, w);
    left -= n * each;
  }
  return Math.max(0, left);
}

function runsEach(t: MachineType, w: Want): number {
  if (w.slackS === null || w.service || w.whole || w.estimateS <= 0) return 1;
  const wait = t.bootS + w.imageGb / Math.max(0.01, t.fetchGbPerS);
  const left = w.slackS - (w.aimS ?? 0) * AIM_MARGIN - wait;
  return Math.max(1, Math.min(8, Math.floor(left / (w.estimateS * 1.3))));
}

/** Tasks of this and later wants that could share a machine rented for this one. */
function similar(rest: { want: Want; count: number }[], from: number): number {
  const w = rest[from]!.want;
  let n = 0;
  for (let k = from; k < rest.length; k++) {
    const o = rest[k]!;
    if (o.want.spot === w.spot && o.want.types === null) n += (o.count * o.want.cpus) / Math.max(0.1, w.cpus);
  }
  return Math.ceil(n);
}

export function cheapest(
  i: PriceInput,
  w: Want,
  count: number,
): { type: MachineType; zone: string; spot: boolean } | null {
  let found: { type: MachineType; zone: string; spot: boolean } | null = null;
  let cost = Number.POSITIVE_INFINITY;
  for (const type of i.types) {
    const per = slots(type, w);
    if (per < 1) continue;
    for (const zone of type.zones) {
      for (const spot of w.spotOnly ? [true] : w.spot ? [true, false] : [false]) {
        const at = { type: type.name, zone, spot };
        if (!allowed(at, w) || !i.capacity.open(at, i.now)) continue;
        const wait = type.bootS + w.imageGb / Math.max(0.01, type.fetchGbPerS);
        const span = w.service ? i.amortizeServiceS : i.amortizeS;
        const c = ((spot ? type.spotPrice : type.price) / Math.min(per, count)) * (1 + wait / span);
        if (zone === i.scarceZone && !spot && !w.zoneRoom && w.zone !== zone) continue;
        if (c < cost) {
          cost = c;
          found = { type, zone, spot };
        }
      }
    }
  }
  return found;
}
