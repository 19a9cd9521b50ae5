/** Messages between controllers. */

import type { ImageFact } from './image-fact.js';
import type { LeaderMessage, ShardMessage } from './shard-messages.js';

/** What controllers say to one another. */
export type PeerMessageBody =
  /** Sent regularly by every controller to every other one. */
  | {
      type: 'heartbeat';
      /** Node name and token of the latest leader the sender knows of; empty and 0: none. */
      leader: string;
      fencingToken: number;
      /** Time since the state service last answered the sender, in ms. */
      storeContactAgeMs: number;
      /** Machines whose workers the sender has sent on to the leader since it last said so. */
      redirectedMachines: string[];
      /** A time on the sender's clock. */
      timestamp: number;
      /** The newest timestamp that the sender had from an instance, and how many cancellations it has told users of. */
      latestTimestamp: { instanceId: string; timestamp: number } | null;
      cancellationsTold: number;
      /** The leader's `CancellationCoverage`, as of the newest timestamp of that instance that it reaches. */
      coverage: { instanceId: string; timestamp: number; pendingMachines: string[] | null } | null;
    }
  /** The n-th cancellation that a user was told of by the sender. */
  | { type: 'cancelled'; jobId: string; cancellationNumber: number }
  /** Images that the leader has learnt machines to hold, and machines that are gone. */
  | { type: 'images'; added: ImageFact[]; removedMachines: string[] }
  /** From a shard owner to the leader, if the recipient's instance still leads. */
  | { type: 'toLeader'; recipient: string; message: ShardMessage }
  /** From the leader to a shard owner's instance. */
  | { type: 'toShardOwner'; recipient: string; message: LeaderMessage };

/** A message with its sender. */
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
