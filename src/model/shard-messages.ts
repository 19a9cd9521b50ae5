/**
 * Messages between the shard owners and the leader. The shard owner of a controller manages the jobs of the
 * teams whose shards the controller owns; the leader's scheduler grants it capacity. The types are named by
 * the sender; the peer messages that carry them (peer-message.ts) are named by the recipient.
 */

import type { TaskAttempt } from './job.js';
import type { AllocationEvent, Grant, PlacementSpec, ResourceRequest } from './placement.js';

/** The placement of an attempt that its shard owner no longer needs. */
export interface ReleasedPlacement {
  machine: string;
  /** The attempt's key; see `attemptKey` in job.ts. */
  attemptKey: string;
}

/**
 * Messages from a shard owner to the leader. `fencingToken` identifies the leader that a message is meant
 * for; `shardEpochs` has, for each team, the revision of the owner record that the sender acts under.
 */
export type ShardOwnerMessage =
  /**
   * A full sync: all placements and requests of the sender, in chunks. The leader applies a sync when it has
   * received all its chunks.
   */
  | {
      type: 'fullSync';
      fencingToken: number;
      instanceId: string;
      /** Number of this full sync, the number of its chunks and the index of this chunk. */
      syncNumber: number;
      chunkCount: number;
      chunkIndex: number;
      shardEpochs: Record<string, number>;
      placements: PlacementSpec[];
      requests: ResourceRequest[];
    }
  /** The current resource requests of the sender, which replace its earlier ones. */
  | { type: 'resourceRequests'; fencingToken: number; instanceId: string; requests: ResourceRequest[] }
  /** Placements that are new or whose desired state has changed. */
  | { type: 'placements'; fencingToken: number; instanceId: string; placements: PlacementSpec[] }
  /** Placements that need no further action, and grants that were not used. */
  | {
      type: 'release';
      fencingToken: number;
      instanceId: string;
      tasks: ReleasedPlacement[];
      grants: number[];
    }
  /**
   * All cancellations of the teams in `shardEpochs` that were stored before the leader's timestamp have been
   * turned into stops, which the leader gets with that full sync and the `placementMessages` messages of type
   * `placements` sent since.
   */
  | {
      type: 'cancellationCoverage';
      fencingToken: number;
      instanceId: string;
      syncNumber: number;
      placementMessages: number;
      shardEpochs: Record<string, number>;
      leaderTimestamp: number;
    };

/** Messages from the leader to a shard owner. */
export type LeaderMessage =
  /**
   * The leader has applied the recipient's full sync with this number; without a number (from a leader of an
   * earlier version), the latest one.
   */
  | { type: 'syncAccepted'; fencingToken: number; syncNumber?: number }
  /**
   * Asks the shard owner for a full sync of its placements and requests, because the leader may have missed a
   * message.
   */
  | { type: 'syncRequested'; fencingToken: number }
  /** Grants of slots for tasks. */
  | { type: 'grants'; fencingToken: number; grants: Grant[] }
  /** A time on the leader's clock, which the shard owner returns in a `cancellationCoverage`. */
  | { type: 'timestamp'; fencingToken: number; leaderTimestamp: number }
  /** Changes to placements of the recipient that the leader has observed. */
  | { type: 'allocationEvents'; fencingToken: number; events: AllocationEvent[] }
  /** Tasks to stop, because the leader needs their resources or drains their machine. */
  | { type: 'evict'; fencingToken: number; tasks: TaskAttempt[]; reason: string };
