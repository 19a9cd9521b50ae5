/** Messages between controllers. */

import type { ImageLocation } from './image-location.js';
import type { LeaderMessage, ShardOwnerMessage } from './shard-messages.js';

/** The message that a controller sends to each peer at regular intervals. */
export interface PeerHeartbeat {
  type: 'heartbeat';
  /** Node name of the leader as known to the sender; empty if it knows none. */
  leaderName: string;
  fencingToken: number;
  /** Milliseconds since the sender made the latest of its requests to which the store has responded. */
  storeContactAgeMs: number;
  /**
   * To the leader: machines whose heartbeats the sender has redirected since its last peer heartbeat; empty
   * to any other peer.
   */
  redirectedMachines: string[];
  /** The time of sending on the sender's clock. */
  timestamp: number;
  /** The newest timestamp that the sender has received from the recipient, and the instance that sent it. */
  latestTimestamp: { instanceId: string; timestamp: number } | null;
  /** Number of cancellations that the sender has announced. */
  cancellationsAnnounced: number;
  /**
   * From the leader: its cancellation coverage; null from other controllers, and while there is none. It is
   * expressed as the newest timestamp of the recipient's instance within it; see `CancellationCoverage` in
   * cancellation-coverage.ts. `pendingMachines` is null if there are too many to list, which stands for any
   * machine.
   */
  coverage: { instanceId: string; timestamp: number; pendingMachines: string[] | null } | null;
}

/** The bodies of messages between controllers. */
export type PeerMessageBody =
  | PeerHeartbeat
  /**
   * A cancellation that is being confirmed to a user; `cancellationNumber` counts the sender's announcements.
   */
  | { type: 'cancelled'; jobId: string; cancellationNumber: number }
  /** From the leader: newly learned image locations, and machines that were removed with their images. */
  | { type: 'images'; added: ImageLocation[]; removedMachines: string[] }
  /** From a shard owner to the leader's instance, `recipient`; ignored unless that instance still leads. */
  | { type: 'toLeader'; recipient: string; message: ShardOwnerMessage }
  /** From the leader to the shard owner of the instance `recipient`. */
  | { type: 'toShardOwner'; recipient: string; message: LeaderMessage };

/**
 * A message with its sender. The sender is one process, which numbers its messages to all peers in one
 * sequence.
 */
export interface PeerMessage {
  nodeName: string;
  /** Identifies the sender's process; it changes with every restart. */
  instanceId: string;
  /** Increases with each message of an instance; a message that arrives after a later one is dropped. */
  sequence: number;
  body: PeerMessageBody;
}

/** Sends messages to other controllers. Messages may be lost, but those that arrive stay in order. */
export interface PeerTransport {
  /** Sends a message to the controller with that node name if it is reachable now. */
  send(nodeName: string, message: PeerMessage): void;
}
