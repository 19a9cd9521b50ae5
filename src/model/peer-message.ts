/** Messages between controllers. */

import type { ImageLocation } from './image-location.js';
import type { LeaderMessage, ShardMessage } from './shard-messages.js';

/** The regular message of a controller to each of its peers. */
export interface PeerHeartbeat {
  type: 'heartbeat';
  /** Node name of the controller that the sender takes for the leader; empty if it knows none. */
  leaderName: string;
  fencingToken: number;
  /** Milliseconds since the latest request of the sender that the store has answered. */
  storeContactAgeMs: number;
  /** To the leader: machines that turned to the sender since its last heartbeat. */
  redirectedMachines: string[];
  /** A time on the sender's clock. */
  timestamp: number;
  /** The newest timestamp that the sender had from an instance of the recipient. */
  latestTimestamp: { instanceId: string; timestamp: number } | null;
  /** How many cancellations the sender has announced so far. */
  cancellationsAnnounced: number;
  /** From the leader: its coverage, as of the newest timestamp of that instance that lies within it. */
  coverage: { instanceId: string; timestamp: number; pendingMachines: string[] | null } | null;
}

/** What controllers tell one another. */
export type PeerMessageBody =
  | PeerHeartbeat
  /** The n-th cancellation that the sender announces: a user is being told of it. */
  | { type: 'cancelled'; jobId: string; cancellationNumber: number }
  /** From the leader: what it has learnt of images, and the machines that are gone with theirs. */
  | { type: 'images'; added: ImageLocation[]; removedMachines: string[] }
  /** From a shard owner to the leader, if the recipient's instance still leads. */
  | { type: 'toLeader'; recipient: string; message: ShardMessage }
  /** From the leader to a shard owner's instance. */
  | { type: 'toShardOwner'; recipient: string; message: LeaderMessage };

/** A message and its sender: one process, which numbers its messages to all peers together. */
export interface PeerMessage {
  nodeName: string;
  /** Names the sender's process: another one after each start. */
  instanceId: string;
  /** Increases with each message of an instance; one that comes after a later one is dropped. */
  sequence: number;
  body: PeerMessageBody;
}

/** Sends messages to other controllers: each may be lost, those that arrive keep their order. */
export interface PeerTransport {
  /** Sends a message to the controller of that node name, if it can be reached now. */
  send(nodeName: string, message: PeerMessage): void;
}
