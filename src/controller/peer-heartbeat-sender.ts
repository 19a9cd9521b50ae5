/** Periodic heartbeats to the peers, which report liveness, the known leader and the cancellation state. */

import {
  type CancellationCoordinator,
  type LeaderCoverage,
  MAX_MACHINES_PER_MESSAGE,
} from './cancellation-coordinator.js';
import type { Leadership } from './leadership.js';
import type { PeerMessenger } from './peer-messenger.js';
import type { StoreContact } from './store-contact.js';
import type { WorkerHeartbeatHandler } from './worker-heartbeat-handler.js';

/** Settings and dependencies of the peer heartbeat sender. */
export interface PeerHeartbeatSenderOptions {
  peerNames: readonly string[];
  leadership: Leadership;
  storeContact: StoreContact;
  cancellationCoordinator: CancellationCoordinator;
  workerHeartbeatHandler: WorkerHeartbeatHandler;
  messenger: PeerMessenger;
}

/** Sends heartbeats to peers. Stateless. */
export class PeerHeartbeatSender {
  constructor(private readonly options: PeerHeartbeatSenderOptions) {}

  /**
   * Sends a heartbeat to each peer. `coverage` is the leader's coverage; null if this controller has none.
   * The machines redirected since the last call are reported to the leader only, and to nobody if no leader
   * is known.
   */
  send(now: number, coverage: LeaderCoverage | null): void {
    const { leadership, storeContact, cancellationCoordinator, workerHeartbeatHandler, messenger } =
      this.options;
    const { leader } = leadership;
    const redirectedMachines = workerHeartbeatHandler.takeRedirectedMachines(MAX_MACHINES_PER_MESSAGE);
    for (const nodeName of this.options.peerNames)
      messenger.send(nodeName, {
        type: 'heartbeat',
        leaderName: leader.nodeName,
        fencingToken: leader.fencingToken,
        storeContactAgeMs: Math.max(0, storeContact.ageMs(now)),
        redirectedMachines: nodeName === leader.nodeName ? redirectedMachines : [],
        timestamp: now,
        latestTimestamp: cancellationCoordinator.latestTimestampFrom(nodeName),
        cancellationsAnnounced: cancellationCoordinator.announcedCount,
        coverage: cancellationCoordinator.coverageForPeer(nodeName, coverage),
      });
  }
}
