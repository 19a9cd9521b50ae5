/**
 * When the leader last heard the workers. A leader that raises its fencing token starts a new term, in which
 * it goes on to count the time without heartbeats: no other leader can have renewed a lease in between.
 */

import { lastPossibleLeaseRenewalAt, type Machine } from './machine.js';

/** The last contact with one worker. */
export type WorkerContact = Pick<Machine, 'address' | 'lastHeardAt' | 'lastHeartbeatAt'>;

/** What a leader knows of the workers when its term ends. */
export interface WorkerContacts {
  /** When the first term began of those that this controller has led without another leader in between. */
  leaderSince: number;
  /** Contacts with the workers, by machine. */
  byMachine: ReadonlyMap<string, WorkerContact>;
}

/** Returns the contacts with the workers of the given machines. */
export function workerContacts(machines: Iterable<Machine>, leaderSince: number): WorkerContacts {
  const byMachine = new Map<string, WorkerContact>();
  for (const machine of machines)
    byMachine.set(machine.name, {
      address: machine.address,
      lastHeardAt: machine.lastHeardAt,
      lastHeartbeatAt: lastPossibleLeaseRenewalAt(machine),
    });
  return { leaderSince, byMachine };
}

/** Sets the last contact of a machine to one of an earlier term. */
export function restoreContact(machine: Machine, contact: WorkerContact): void {
  machine.address = contact.address;
  machine.lastHeardAt = contact.lastHeardAt;
  machine.lastHeartbeatAt = contact.lastHeartbeatAt;
}
