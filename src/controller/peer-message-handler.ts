/** Handling of messages from peers, and of new connections to them. */

import type { Clock } from '../model/clock.js';
import type { PeerHeartbeat, PeerMessage } from '../model/peer-message.js';
import type { ShardOwner } from '../shard/shard-owner.js';
import type { CancellationCoordinator } from './cancellation-coordinator.js';
import type { ImageReplication } from './image-replication.js';
import type { Leadership } from './leadership.js';
import type { Peer, PeerRegistry } from './peer-registry.js';
import type { SystemRecords } from './system-records.js';

/** Settings and dependencies of the peer message handler. */
export interface PeerMessageHandlerOptions {
  nodeName: string;
  instanceId: string;
  clock: Clock;
  records: SystemRecords;
  leadership: Leadership;
  peerRegistry: PeerRegistry;
  cancellationCoordinator: CancellationCoordinator;
  imageReplication: ImageReplication;
  shardOwner: ShardOwner;
}

/** Passes each message to the component that is responsible for it. Stateless. */
export class PeerMessageHandler {
  constructor(private readonly options: PeerMessageHandlerOptions) {}

  /** Handles a message, unless a later message or a later process of the same peer has been heard before. */
  onMessage(message: PeerMessage): void {
    const { instanceId, leadership, cancellationCoordinator, imageReplication, shardOwner } = this.options;
    const { body } = message;
    const now = this.options.clock.now();
    const peer = this.options.peerRegistry.recordIfNew(message, now);
    if (!peer) return;
    switch (body.type) {
      case 'heartbeat':
        this.onHeartbeat({ sender: message, heartbeat: body, peer, now });
        break;
      case 'images':
        imageReplication.apply(body.added, body.removedMachines);
        break;
      case 'cancelled':
        cancellationCoordinator.onPeerCancellation(message, body, now);
        break;
      case 'toLeader':
        if (body.recipient === instanceId) leadership.scheduler?.onShardMessage(body.message);
        break;
      case 'toShardOwner':
        if (body.recipient === instanceId) shardOwner.onLeaderMessage(body.message);
        break;
    }
  }

  /**
   * Handles a new connection to a peer. Messages in transit on an earlier connection may be lost, so the
   * complete state is sent again: from this controller's shard owner to the peer if the peer leads; if this
   * controller leads, from the peer's shard owner to this controller, and the image locations to the peer.
   */
  onConnected(nodeName: string): void {
    const { records, leadership, imageReplication, shardOwner } = this.options;
    if (leadership.leader.nodeName === nodeName) shardOwner.resync();
    const { scheduler } = leadership;
    if (!scheduler) return;
    for (const [instanceId, liveNodeName] of records.liveInstances())
      if (liveNodeName === nodeName) scheduler.requestSync(instanceId);
    imageReplication.sendAll(nodeName);
  }

  private onHeartbeat(received: {
    sender: PeerMessage;
    heartbeat: PeerHeartbeat;
    peer: Peer;
    now: number;
  }): void {
    const { sender, heartbeat, peer, now } = received;
    const { leadership, peerRegistry, cancellationCoordinator } = this.options;
    this.stepDownForNewerLeader(heartbeat);
    peer.timestamps.add(heartbeat.timestamp, now);
    cancellationCoordinator.onPeerHeartbeat(sender, heartbeat, now);
    leadership.scheduler?.onMachinesRedirected(heartbeat.redirectedMachines);
    peerRegistry.recordLeaderHint({ nodeName: heartbeat.leaderName, fencingToken: heartbeat.fencingToken });
  }

  /**
   * Steps down if the peer knows a leader on another node with a higher fencing token. A higher token of this
   * node is no reason: the peer may have read the leader record of this controller's next term before this
   * controller has the response to its own campaign.
   */
  private stepDownForNewerLeader(heartbeat: PeerHeartbeat): void {
    const { nodeName, leadership } = this.options;
    if (
      leadership.scheduler &&
      heartbeat.leaderName !== nodeName &&
      heartbeat.fencingToken > leadership.leader.fencingToken &&
      heartbeat.fencingToken > leadership.scheduler.fencingToken
    )
      leadership.stepDown('a peer reports a newer leader');
  }
}
