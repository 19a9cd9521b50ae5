/** The other controllers as far as they have been heard. */

import { PeerTimestamps } from '../model/cancellation-coverage.js';
import type { PeerMessage } from '../model/peer-message.js';

/** A peer's process that was heard last under its node name. */
export interface Peer {
  readonly instanceId: string;
  /** When its last message came, on this controller's clock. */
  readonly lastHeardAt: number;
  readonly lastSequence: number;
  /** When the store last answered it, on this controller's clock as far as the delay of its message allows. */
  readonly lastStoreContactAt: number;
  /** Its timestamps, by when they came. */
  readonly timestamps: PeerTimestamps;
}

/** A controller that a peer takes for the leader. */
export interface LeaderHint {
  readonly nodeName: string;
  readonly fencingToken: number;
}

/** So long after its last message a peer counts as in touch. */
const RECENTLY_HEARD_MS = 3000;

/** Keeps what each peer's last process told of itself, and passes over late and repeated messages. */
export class PeerRegistry {
  private readonly peers = new Map<string, Peer>();
  private readonly supersededInstances = new Set<string>();
  private latestHint: LeaderHint = { nodeName: '', fencingToken: 0 };

  /** The process heard last under a node name. */
  get(nodeName: string): Peer | undefined {
    return this.peers.get(nodeName);
  }

  /** The leader with the highest token that a peer has named; it may not be known here from the store yet. */
  get leaderHint(): LeaderHint {
    return this.latestHint;
  }

  /** Takes note of a peer's leader. */
  recordLeaderHint(hint: LeaderHint): void {
    if (hint.fencingToken > this.latestHint.fencingToken) this.latestHint = hint;
  }

  /** Takes note of a message; null if it must not be handled: a later one, or a later process, was heard before. */
  record(message: PeerMessage, now: number): Peer | null {
    const known = this.peers.get(message.nodeName);
    const isSameProcess = known?.instanceId === message.instanceId;
    // A message held back on an older connection must not undo a later one.
    if (isSameProcess && message.sequence <= known.lastSequence) return null;
    if (this.supersededInstances.has(message.instanceId)) return null;
    if (known && !isSameProcess) this.supersededInstances.add(known.instanceId);
    const peer: Peer = {
      instanceId: message.instanceId,
      lastHeardAt: now,
      lastSequence: message.sequence,
      lastStoreContactAt:
        message.body.type === 'heartbeat'
          ? now - message.body.storeContactAgeMs
          : (known?.lastStoreContactAt ?? Number.NEGATIVE_INFINITY),
      timestamps: isSameProcess ? known.timestamps : new PeerTimestamps(),
    };
    this.peers.set(message.nodeName, peer);
    return peer;
  }

  /** How many peers are in touch. */
  countRecentlyHeard(now: number): number {
    let count = 0;
    for (const peer of this.peers.values()) if (now - peer.lastHeardAt < RECENTLY_HEARD_MS) count++;
    return count;
  }

  /** Whether a peer in touch was answered by the store after this time. */
  hasPeerWithStoreContactAfter(time: number, now: number): boolean {
    for (const peer of this.peers.values())
      if (now - peer.lastHeardAt < RECENTLY_HEARD_MS && peer.lastStoreContactAt > time) return true;
    return false;
  }

  /** Whether a peer was heard, and was answered by the store, within so many milliseconds. */
  hasPeerWithRecentStoreContact(withinMs: number, now: number): boolean {
    for (const peer of this.peers.values())
      if (now - peer.lastHeardAt < withinMs && now - peer.lastStoreContactAt < withinMs) return true;
    return false;
  }
}
