import { bootingRooms } from './booting.js';
import type { Ledger } from './ledger.js';
import { fill, type Room, slots } from './room.js';
import type { Want } from './types.js';

/** So long a gang that waits for machines keeps to the zone in which it began to gather them. */
const KEEP_ZONE_MS = 20_000;

/** What a waiting gang still lacks. */
export interface GangNeed {
  /** One task of the gang, tied to the zone in which it gathers: what is rented or freed for it must lie there. */
  task: Want;
  missing: number;
}

interface ZoneChoice {
  zone: string | null;
  since: number;
}

/**
 * Reserves machines for gangs that wait.
 *
 * A gang starts only once it has places for all of its tasks. Without reservations, smaller work takes each place as it
 * comes free, and a large gang may wait for ever. So a gang that finds too little room takes what there is out of the
 * pass, in the order of the queue, and only what it lacks is rented or freed. Reservations last for one pass and are
 * made anew by the next one in the order of then: two gangs can't hold half of what each needs for good.
 */
export class GangGathering {
  private readonly chosen = new Map<string, ZoneChoice>();
  private readonly held = new Set<string>();
  private booting: Room[] | null = null;

  constructor(private readonly ledger: Ledger) {}

  beginPass(): void {
    this.held.clear();
    this.booting = null;
  }

  /** Forgets gangs that no longer wait, and keeps the machines held in this pass from being returned as idle. */
  endPass(waiting: ReadonlySet<string>): void {
    for (const job of this.chosen.keys()) if (!waiting.has(job)) this.chosen.delete(job);
    this.ledger.gathered = new Set(this.held);
  }

  /** Takes the free rooms that a gang can use out of `rooms`, in one zone if it must be in one. */
  reserve(rooms: Room[], want: Want, count: number, now: number): GangNeed {
    const zone = this.zoneOf(rooms, want, count, now);
    const task: Want = { ...want, whole: false, together: false, zone, slackS: null, aimS: null };
    const missing = fill(rooms, task, count, this.ledger.scarce, (room) => this.held.add(room.name));
    return { task, missing };
  }

  private zoneOf(rooms: Room[], want: Want, count: number, now: number): string | null {
    if (!want.together || want.zone !== null) return want.zone;
    const before = this.chosen.get(want.job);
    if (before && now - before.since < KEEP_ZONE_MS) return before.zone;
    const zone = this.bestZone(rooms, want, count, now);
    this.chosen.set(want.job, { zone, since: now });
    return zone;
  }

  /** The zone in which the gang lacks least: by what is free, then by what is booting, then by what may be rented. */
  private bestZone(rooms: Room[], want: Want, count: number, now: number): string | null {
    let best: { zone: string; score: number } | null = null;
    for (const zone of this.zones(want)) {
      const pinned: Want = { ...want, whole: false, together: false, zone };
      const free = count - fill(copyOf(rooms), pinned, count, null, () => {});
      const booting = Math.min(count - free, this.bootingSlots(pinned, now));
      const rest = this.mayRent(pinned, now) ? count - free - booting : 0;
      const score = free + 0.75 * booting + 0.5 * rest;
      if (!best || score > best.score) best = { zone, score };
    }
    return best?.zone ?? null;
  }

  private zones(want: Want): Set<string> {
    const zones = new Set<string>();
    for (const type of this.ledger.types.values())
      if (!want.types || want.types.includes(type.name)) for (const zone of type.zones) zones.add(zone);
    return zones;
  }

  private bootingSlots(want: Want, now: number): number {
    this.booting ??= bootingRooms(this.ledger, now);
    return this.booting
      .filter((room) => room.zone === want.zone && (want.spot || !room.spot))
      .reduce((sum, room) => sum + slots(room, want), 0);
  }

  private mayRent(want: Want, now: number): boolean {
    for (const type of this.ledger.types.values()) {
      if (slots(type, want) < 1 || !type.zones.includes(want.zone ?? '')) continue;
      if (this.ledger.capacity.open({ type: type.name, zone: want.zone ?? '', spot: false }, now))
        return true;
    }
    return false;
  }
}

function copyOf(rooms: Room[]): Room[] {
  return rooms.map((room) => ({ ...room }));
}
