/** The other controllers, as known from their messages. */

import { PeerTimestamps } from '../model/cancellation-coverage.js';
import type { PeerHeartbeat, PeerMessage } from '../model/peer-message.js';

/** The latest known process of a peer. */
export interface Peer {
  readonly instanceId: string;
  /** When the peer's last message was received, on this controller's clock. */
  readonly lastHeardAt: number;
  readonly lastSequence: number;
  /**
   * When the peer last had contact with the store, on this controller's clock. The estimate is too late by
   * the delay of the peer's message.
   */
  readonly lastStoreContactAt: number;
  /** Fencing token of the leader to which the peer redirects workers; 0 if it knows none. */
  readonly leaderToken: number;
  /** Timestamps issued by the peer's process, with the times at which they were received. */
  readonly timestamps: PeerTimestamps;
}

/** The leader according to a peer. */
export interface LeaderHint {
  readonly nodeName: string;
  readonly fencingToken: number;
}

/** A peer counts as recently heard for this long after its last message. */
const RECENTLY_HEARD_MS = 3000;
/**
 * A peer that was heard within this time still reports to the leader which workers reach it. Longer than
 * `RECENTLY_HEARD_MS`, so that a short pause of a peer does not make the leader hand over; shorter than the time
 * that workers need to turn to a peer.
 */
const REPORTS_WITHIN_MS = 5000;

/**
 * Keeps the state reported by the latest process of each peer, and filters out late and repeated messages.
 */
export class PeerRegistry {
  private readonly peers = new Map<string, Peer>();
  private readonly supersededInstances = new Set<string>();
  private latestHint: LeaderHint = { nodeName: '', fencingToken: 0 };

  /** Returns the latest known process of the peer with this node name. */
  get(nodeName: string): Peer | undefined {
    return this.peers.get(nodeName);
  }

  /**
   * The leader with the highest fencing token that any peer has reported. This controller may not have read
   * its leader record from the store yet.
   */
  get leaderHint(): LeaderHint {
    return this.latestHint;
  }

  /** Records the leader reported by a peer, unless one with a token at least as high has been reported. */
  recordLeaderHint(hint: LeaderHint): void {
    if (hint.fencingToken > this.latestHint.fencingToken) this.latestHint = hint;
  }

  /**
   * Records the receipt of a message and returns its sender. Returns null and records nothing if the message
   * must not be handled, because a later message or a later process of the peer has been heard before.
   */
  recordIfNew(message: PeerMessage, now: number): Peer | null {
    const known = this.peers.get(message.nodeName);
    const isSameProcess = known?.instanceId === message.instanceId;
    // A message delayed on an older connection must not override a later one.
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
      leaderToken:
        message.body.type === 'heartbeat' ? followedToken(message.body) : (known?.leaderToken ?? 0),
      timestamps: isSameProcess ? known.timestamps : new PeerTimestamps(),
    };
    this.peers.set(message.nodeName, peer);
    return peer;
  }

  /**
   * Returns whether a process reports to the leader of this fencing token which workers reach it: it redirects
   * them to that leader, and was heard lately.
   */
  reportsToLeader(
    { nodeName, instanceId }: { nodeName: string; instanceId: string },
    fencingToken: number,
    now: number,
  ): boolean {
    const peer = this.peers.get(nodeName);
    return (
      peer?.instanceId === instanceId &&
      peer.leaderToken === fencingToken &&
      now - peer.lastHeardAt < REPORTS_WITHIN_MS
    );
  }

  /** Returns the number of recently heard peers. */
  countRecentlyHeard(now: number): number {
    let count = 0;
    for (const peer of this.peers.values()) if (now - peer.lastHeardAt < RECENTLY_HEARD_MS) count++;
    return count;
  }

  /** Returns whether a recently heard peer had contact with the store after the given time. */
  hasPeerWithStoreContactAfter(time: number, now: number): boolean {
    for (const peer of this.peers.values())
      if (now - peer.lastHeardAt < RECENTLY_HEARD_MS && peer.lastStoreContactAt > time) return true;
    return false;
  }

  /** Returns whether a peer was heard and had contact with the store, both within the last `withinMs`. */
  hasPeerWithRecentStoreContact(withinMs: number, now: number): boolean {
    for (const peer of this.peers.values())
      if (now - peer.lastHeardAt < withinMs && now - peer.lastStoreContactAt < withinMs) return true;
    return false;
  }
}

/** The fencing token of the leader that a peer follows; 0 if it knows no leader. */
function followedToken({ leaderName, fencingToken }: PeerHeartbeat): number {
  return leaderName === '' ? 0 : fencingToken;
}
