/** Messages between controllers. */

import type { ImageFact } from './image-fact.js';
import type { LeaderMessage, ShardMessage } from './shard-messages.js';

/** What controllers say to one another. */
export type PeerMessageBody =
  | {
      type: 'heartbeat';
      leader: string;
      fencingToken: number;
      storeContactAgeMs: number;
      redirectedMachines: string[];
      /** A time on the sender's clock. */
      timestamp: number;
      /** The newest mark that the sender had from an instance, and how many cancellations it has told users of. */
      latestTimestamp: { instanceId: string; timestamp: number } | null;
      cancellationsTold: number;
      /** The leader's `Cover`, as of the newest mark of that instance that it reaches. */
      coverage: { instanceId: string; timestamp: number; pendingMachines: string[] | null } | null;
    }
  /** The n-th cancellation that a user was told of by the sender. */
  | { type: 'cancelled'; jobId: string; cancellationNumber: number }
  | { type: 'images'; added: ImageFact[]; removedMachines: string[] }
  | { type: 'toLeader'; recipient: string; message: ShardMessage }
  | { type: 'toShardOwner'; recipient: string; message: LeaderMessage };

export interface PeerMessage {
  nodeName: string;
  instanceId: string;
  sequence: number;
  body: PeerMessageBody;
}

export interface PeerTransport {
  send(host: string, message: PeerMessage): void;
}
