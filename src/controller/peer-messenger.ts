/** Sends messages to peers, and between shard owners and the leader on any node. */

import type { PeerMessageBody, PeerTransport } from '../model/peer-message.js';
import type { LeaderMessage, ShardOwnerMessage } from '../model/shard-messages.js';
import type { EventQueue } from './event-queue.js';
import type { Leadership } from './leadership.js';
import type { SystemRecords } from './system-records.js';

/** Settings, dependencies and callbacks of the peer messenger. */
export interface PeerMessengerOptions {
  nodeName: string;
  instanceId: string;
  peerNames: readonly string[];
  transport: PeerTransport;
  queue: EventQueue;
  records: SystemRecords;
  leadership: Leadership;
  deliverToShardOwner(message: LeaderMessage): void;
}

/** Sends this controller's messages, numbered so that peers can detect late and repeated ones. */
export class PeerMessenger {
  private lastSequence = 0;

  constructor(private readonly options: PeerMessengerOptions) {}

  /** Sends one message to a peer. It may be lost or delayed. */
  send(nodeName: string, body: PeerMessageBody): void {
    this.options.transport.send(nodeName, {
      nodeName: this.options.nodeName,
      instanceId: this.options.instanceId,
      sequence: ++this.lastSequence,
      body,
    });
  }

  /** Sends a message to each peer, each time with its own sequence number. */
  broadcast(body: PeerMessageBody): void {
    for (const nodeName of this.options.peerNames) this.send(nodeName, body);
  }

  /** Sends a message from this controller's shard owner to the leader; dropped if no leader is known. */
  sendToLeader(message: ShardOwnerMessage): void {
    const { instanceId, queue, leadership } = this.options;
    const { leader } = leadership;
    if (leader.instanceId === instanceId)
      queue.push({ type: 'callback', run: () => leadership.scheduler?.onShardMessage(message) });
    else if (leader.nodeName !== '')
      this.send(leader.nodeName, { type: 'toLeader', recipient: leader.instanceId, message });
  }

  /**
   * Sends a message from this controller as the leader to a shard owner; dropped if the owner has no node
   * record.
   */
  sendToShardOwner(instanceId: string, message: LeaderMessage): void {
    const { queue, records, deliverToShardOwner } = this.options;
    if (instanceId === this.options.instanceId) {
      queue.push({ type: 'callback', run: () => deliverToShardOwner(message) });
      return;
    }
    const nodeName = records.liveInstances().get(instanceId);
    if (nodeName) this.send(nodeName, { type: 'toShardOwner', recipient: instanceId, message });
  }
}
