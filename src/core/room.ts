import type { MachineType, Want } from './types.js';

/** Free room of one machine, real or expected. */
export interface Room {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  gpus: number;
  mem: number;
  totalCpus: number;
  images: ReadonlyMap<string, number> | null;
  fetchGbPerS: number;
  /** Seconds added to its rank: a machine not heard lately, or slow. */
  penalty: number;
  reserved: { job: string; rank: number } | null;
  /** Ordinary, without replicas and no part of the reserve: kept only as long as work can't wait. */
  surplus: boolean;
}

const EPS = 1e-9;
/** Machines that the replicas of one job are spread over where there is a choice. */
const SPREAD = 4;

export function fits(r: Room, w: { cpus: number; gpus: number; mem: number }): boolean {
  return r.cpus + EPS >= w.cpus && r.gpus + EPS >= w.gpus && r.mem + EPS >= w.mem;
}

export function allowed(r: { type: string; zone: string; spot: boolean }, w: Want): boolean {
  if (r.spot && !w.spot) return false;
  if (w.types && !w.types.includes(r.type)) return false;
  if (w.zone !== null && w.zone !== r.zone) return false;
  return !w.zoneRoom || (w.zoneRoom[r.zone] ?? w.zoneCap) > 0;
}

/**
 * Wants of one key find room in the same places, or in none: rooms only shrink in a pass, so that what the first of
 * them did not find the others need not look for. What ties a want to itself (machines it avoids, room kept for it) is
 * not part of it.
 */
export function shapeKey(w: Want): string {
  let key = keys.get(w);
  if (key === undefined) {
    key = makeKey(w);
    keys.set(w, key);
  }
  return key;
}

const keys = new WeakMap<Want, string>();

function makeKey(w: Want): string {
  const zones = w.zoneRoom ? JSON.stringify(w.zoneRoom) : '';
  const patient = w.spot && !w.service && (w.patienceS ?? 0) > 0;
  return [
    w.team,
    w.rank,
    w.cpus,
    w.gpus,
    w.mem,
    w.types?.join() ?? '',
    w.spot,
    w.service,
    w.zone ?? '',
    zones,
    w.zoneCap,
    w.together,
    patient,
    w.starved === true,
  ].join('|');
}

export function slots(
  t: { cpus: number; gpus: number; mem: number },
  w: { cpus: number; gpus: number; mem: number },
): number {
  let n = Number.POSITIVE_INFINITY;
  if (w.cpus > 0) n = Math.min(n, Math.floor(t.cpus / w.cpus + EPS));
  if (w.gpus > 0) n = Math.min(n, Math.floor(t.gpus / w.gpus + EPS));
  if (w.mem > 0) n = Math.min(n, Math.floor(t.mem / w.mem + EPS));
  return Number.isFinite(n) ? n : 1;
}

export function take(r: Room, w: { cpus: number; gpus: number; mem: number }): void {
  r.cpus -= w.cpus;
  r.gpus -= w.gpus;
  r.mem -= w.mem;
}

/** Seconds-like rank of a room for a want, lower is better: image fetch, then packing, then kind. */
export function rankRoom(r: Room, w: Want, scarceZone: string | null): number {
  let v = r.penalty;
  if (r.images && !r.images.has(w.image)) v += w.imageGb / Math.max(0.01, r.fetchGbPerS);
  // Fullest machine first, so that others empty and can be returned.
  v += (2 * (r.cpus - w.cpus)) / Math.max(1, r.totalCpus);
  // Replicas leave the room of machines with many images to those that come next.
  if (w.service && r.images) v += 0.1 * r.images.size;
  // A small machine is given back sooner than a big one is emptied.
  if (w.near === r.name) v -= 1;
  // Work that may use cheap machines leaves the ordinary ones to work that may not.
  if (w.spot && !r.spot) v += 4;
  if (scarceZone === r.zone && !r.spot && !w.zoneRoom) v += 6;
  return v;
}

/** Whether a want passes this machine over for reasons of its own. */
export function avoids(w: Want, machine: string): boolean {
  return w.avoid.includes(machine) || w.refusedBy?.has(machine) === true;
}

/** Whether a want passes any machine over for reasons of its own: what it finds says nothing of others of its kind. */
export function avoidsAny(w: Want): boolean {
  return w.avoid.length > 0 || w.refusedBy !== undefined;
}

/** Whether a task of this want may go here now. */
export function isOpen(r: Room, w: Want, scarceZone: string | null): boolean {
  if (!fits(r, w)) return false;
  if (r.reserved && r.reserved.job !== w.job && w.rank > 0) return false;
  if (w.starved) return allowed(r, w) && !avoids(w, r.name);
  // The ordinary room of a zone that jobs which must be spread depend on is theirs; what can be stopped
  // for them may use it meanwhile.
  if (scarceZone === r.zone && !r.spot && w.service && !w.zoneRoom && w.zone === null) return false;
  // Work that has time and may use cheap machines lets it run empty, to be returned.
  if (r.surplus && w.spot && !w.service && (w.patienceS ?? 0) > 0) return false;
  return allowed(r, w) && !avoids(w, r.name);
}

export function best(
  rooms: Iterable<Room>,
  w: Want,
  scarceZone: string | null,
  full?: (r: Room) => boolean,
): Room | null {
  let found: Room | null = null;
  let rank = Number.POSITIVE_INFINITY;
  for (const r of rooms) {
    if (!isOpen(r, w, scarceZone) || full?.(r)) continue;
    const v = rankRoom(r, w, scarceZone);
    if (v < rank) {
      rank = v;
      found = r;
    }
  }
  return found;
}

/** Places up to `count` tasks of a want; calls back per task. Returns how many were left. */
export function fill(
  rooms: Room[],
  w: Want,
  count: number,
  scarceZone: string | null,
  each: (r: Room) => void,
): number {
  if (w.whole) return fillWhole(rooms, w, count, scarceZone, each);
  const zoneRoom = w.zoneRoom ? { ...w.zoneRoom } : null;
  const v: Want = { ...w, zoneRoom };
  let left = count;
  // Replicas of a job go to several machines: less is lost with one, and its image is in more places for the next.
  const per = w.service && w.job !== '' ? Math.max(1, Math.ceil(count / SPREAD)) : count;
  const here = new Map<Room, number>();
  const use = (r: Room, most: number) => {
    // The fuller a machine the better it ranks: the best one stays the best while it has room.
    while (left > 0 && fits(r, w) && allowed(r, v) && (here.get(r) ?? 0) < most) {
      if (v.together && v.zone === null) v.zone = r.zone;
      take(r, w);
      if (zoneRoom) zoneRoom[r.zone] = (zoneRoom[r.zone] ?? w.zoneCap) - 1;
      each(r);
      left--;
      here.set(r, (here.get(r) ?? 0) + 1);
    }
  };
  // Taking from one room changes the rank of no other: they are ranked once, and not for every task anew.
  for (const most of per < count ? [per, count] : [count]) {
    if (left <= 0) break;
    if (left === 1) {
      const r = best(rooms, v, scarceZone, (x) => (here.get(x) ?? 0) >= most);
      if (r) use(r, most);
      continue;
    }
    const ranked: { r: Room; rank: number }[] = [];
    for (const r of rooms)
      if (isOpen(r, v, scarceZone) && (here.get(r) ?? 0) < most)
        ranked.push({ r, rank: rankRoom(r, w, scarceZone) });
    ranked.sort((x, y) => x.rank - y.rank);
    for (const { r } of ranked) {
      if (left <= 0) break;
      use(r, most);
    }
  }
  return left;
}

/** A gang takes all its places or none. */
function fillWhole(
  rooms: Room[],
  w: Want,
  count: number,
  scarceZone: string | null,
  each: (r: Room) => void,
): number {
  const chosen = chooseWhole(rooms, w, count, scarceZone);
  if (!chosen) return count;
  for (const r of chosen) {
    take(r, w);
    each(r);
  }
  return 0;
}

/** The rooms for all tasks of a gang, one a task, or null; with one zone demanded, each zone is tried in turn. */
export function chooseWhole(rooms: Room[], w: Want, count: number, scarceZone: string | null): Room[] | null {
  const usable = rooms.filter((r) => isOpen(r, w, scarceZone));
  const zones = w.together && w.zone === null ? [...new Set(usable.map((r) => r.zone))] : [w.zone];
  for (const zone of zones) {
    const here = usable.filter((r) => zone === null || r.zone === zone);
    if (here.reduce((sum, r) => sum + slots(r, w), 0) < count) continue;
    const copies = new Map<Room, Room>();
    for (const r of here) copies.set({ ...r }, r);
    const chosen: Room[] = [];
    const left = fill([...copies.keys()], { ...w, whole: false, zone }, count, scarceZone, (copy) =>
      chosen.push(copies.get(copy)!),
    );
    if (left === 0) return chosen;
  }
  return null;
}

export function emptyRoom(t: MachineType, zone: string, spot: boolean, name: string): Room {
  return {
    name,
    type: t.name,
    zone,
    spot,
    cpus: t.cpus,
    gpus: t.gpus,
    mem: t.mem,
    totalCpus: t.cpus,
    images: null,
    fetchGbPerS: t.fetchGbPerS,
    penalty: 0,
    reserved: null,
    surplus: false,
  };
}
