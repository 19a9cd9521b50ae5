import type { EndedTasks } from './ended-attempts.js';
import type { Ledger } from './ledger.js';
import { chooseWhole, isOpen, type Room } from './room.js';
import { assignTasks } from './task-assignment.js';
import type { Want } from './types.js';

/** Work that ended attempts alone have kept waiting for so long asks for a higher token, under which they are removed. */
const BLOCKED_MS = 15_000;
/** Choices of machines tried for a gang before all machines are passed over that list any ended attempt of it. */
const MOST_CHOICES = 8;

/**
 * Keeps work from machines that would refuse it, since they list ended attempts of the same tasks (`EndedAttempts`).
 *
 * A gang gives its tasks to machines such that none meets its own ended attempt: one refusal ends the attempt of all of
 * them. A machine is passed over only if it would refuse each task that is left.
 */
export class Refusals {
  private readonly blockedSince = new Map<string, number>();
  private blocking = new Set<string>();

  constructor(
    private readonly ledger: Ledger,
    private readonly raise: (why: string) => void,
  ) {}

  beginPass(): void {
    this.blocking = new Set();
  }

  endPass(waiting: ReadonlySet<string>): void {
    for (const job of this.blockedSince.keys()) if (!waiting.has(job)) this.blockedSince.delete(job);
    this.ledger.blocking = this.blocking;
  }

  /** Machines that would refuse each task that a want still has; null: none. */
  machinesFor(want: Want): ReadonlySet<string> | null {
    const names = new Set<string>();
    for (const machine of this.ledger.endedAttempts.machinesOf(want.job))
      if (refusesAll(machine.endedTasks.get(want.job), want)) names.add(machine.name);
    return names.size > 0 ? names : null;
  }

  /** Rooms for all tasks of a gang, none of which meets its own ended attempt; null: there are none. */
  chooseForGang(rooms: Room[], want: Want, count: number, scarceZone: string | null): Room[] | null {
    const passedOver = new Set(want.refusedBy);
    const choose = () => chooseWhole(rooms, { ...want, refusedBy: passedOver }, count, scarceZone);
    if (!this.ledger.endedAttempts.has(want.job)) return choose();
    for (let choices = 0; choices < MOST_CHOICES; choices++) {
      const chosen = choose();
      if (!chosen) return null;
      const { without } = assignTasks(indices(count), this.refusedAt(chosen, want.job));
      if (without.length === 0) return chosen;
      for (const place of without) passedOver.add(chosen[place]!.name);
    }
    for (const machine of this.ledger.endedAttempts.machinesOf(want.job)) passedOver.add(machine.name);
    return choose();
  }

  /** The tasks of a job that each of these rooms refuses. */
  private refusedAt(rooms: Room[], job: string): (ReadonlySet<number> | undefined)[] {
    return rooms.map((room) => this.ledger.machines.get(room.name)?.endedTasks.get(job)?.tasks);
  }

  /** Nothing of a want was placed in this pass: notes whether it would have been but for ended attempts. */
  unplaced(want: Want, count: number, rooms: Room[], now: number): void {
    const blockers = this.blockersOf(want, count, rooms);
    if (blockers.length === 0) return this.placed(want.job);
    for (const name of blockers) this.blocking.add(name);
    const since = this.blockedSince.get(want.job) ?? now;
    this.blockedSince.set(want.job, since);
    if (now - since > BLOCKED_MS)
      this.raise(`ended attempts of ${want.job} on ${blockers.length} machines stand in its way`);
  }

  /** Something of a job was placed. */
  placed(job: string): void {
    this.blockedSince.delete(job);
  }

  private blockersOf(want: Want, count: number, rooms: Room[]): string[] {
    if (!this.ledger.endedAttempts.has(want.job)) return [];
    const freely: Want = { ...want, refusedBy: undefined };
    if (!want.whole) {
      const { refusedBy } = want;
      if (!refusedBy) return [];
      return rooms
        .filter((room) => refusedBy.has(room.name) && isOpen(room, freely, this.ledger.scarce))
        .map((room) => room.name);
    }
    const chosen = chooseWhole(rooms, freely, count, this.ledger.scarce) ?? [];
    const refused = this.refusedAt(chosen, want.job);
    return [...new Set(chosen.filter((_, place) => refused[place]).map((room) => room.name))];
  }
}

function refusesAll(ended: EndedTasks | undefined, want: Want): boolean {
  if (!ended) return false;
  if (want.whole) return indices(want.count).every((task) => ended.tasks.has(task));
  // Which tasks are left is not told: a machine that has refused one would refuse the next.
  if (!want.tasksLeft) return ended.refused;
  return want.tasksLeft.every((task) => ended.tasks.has(task));
}

function indices(count: number): number[] {
  return Array.from({ length: count }, (_, task) => task);
}
