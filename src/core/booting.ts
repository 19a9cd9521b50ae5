import type { Ledger } from './ledger.js';
import { emptyRoom, type Room } from './room.js';

/** Multiple of a type's boot time after which a machine that is not up is no longer counted on: it may never come. */
const LATE_BOOT = 1.6;

/** Rooms of the machines that were rented and are about to come up. */
export function bootingRooms(ledger: Ledger, now: number): Room[] {
  const rooms: Room[] = [];
  for (const machine of ledger.machines.values()) {
    const type = ledger.types.get(machine.type);
    if (machine.up || machine.removing || !type) continue;
    if (now - machine.rentedAt > type.bootS * LATE_BOOT * 1000) continue;
    rooms.push(emptyRoom(type, machine.zone, machine.spot, machine.name));
  }
  return rooms;
}
