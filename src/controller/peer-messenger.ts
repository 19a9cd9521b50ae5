/**
 * Sends this controller's messages: to peers, and between its shard owner or scheduler and their counterparts
 * on any controller, including this one.
 */

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
  /** Passes a message to this controller's shard owner, which is created after the messenger. */
  deliverToShardOwner(message: LeaderMessage): void;
}

/**
 * Sends messages to peers, numbered so that they can detect late and repeated ones. Messages to this
 * controller itself are queued as events without a number.
 */
export class PeerMessenger {
  private lastSequence = 0;

  constructor(private readonly options: PeerMessengerOptions) {}

  /**
   * Sends one message to a peer. It is dropped if the peer is not reachable now, and may be lost or delayed.
   */
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

  /**
   * Sends a message from this controller's shard owner to the leader. It is dropped if no leader is known, or
   * if the recipient no longer leads when it arrives.
   */
  sendToLeader(message: ShardOwnerMessage): void {
    const { instanceId, queue, leadership } = this.options;
    const { leader } = leadership;
    if (leader.instanceId === instanceId)
      queue.push({ type: 'callback', run: () => leadership.scheduler?.onShardMessage(message) });
    else if (leader.nodeName !== '')
      this.send(leader.nodeName, { type: 'toLeader', recipient: leader.instanceId, message });
  }

  /**
   * Sends a message from this controller as the leader to the shard owner of an instance. It is dropped if no
   * live node record names the instance.
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
