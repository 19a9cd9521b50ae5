/** Messages between the shard owners and the leader. */

import type { TaskAttempt } from './job.js';
import type { AllocationEvent, Grant, PlacementSpec, ResourceRequest } from './placement.js';

/** A placement that its owner has done with. */
export interface ReleasedTask {
  machine: string;
  /** See `taskKey`. */
  taskKey: string;
}

/**
 * From a shard owner to the leader. Each names the leader it is meant for by `fencingToken`; `shardEpochs` has the revision of
 * each team's record that the sender acts under.
 */
export type ShardMessage =
  /** All that the sender holds. The leader takes the chunks of a sync as one when it has them all. */
  | {
      type: 'fullSync';
      fencingToken: number;
      instanceId: string;
      /** Number of this sync, and which of its chunks this is. */
      syncNumber: number;
      chunkCount: number;
      chunkIndex: number;
      shardEpochs: Record<string, number>;
      placements: PlacementSpec[];
      requests: ResourceRequest[];
    }
  /** Replaces the sender's earlier requests. */
  | { type: 'resourceRequests'; fencingToken: number; instanceId: string; requests: ResourceRequest[] }
  /** Placements that are new or whose desired state has changed. */
  | { type: 'placements'; fencingToken: number; instanceId: string; placements: PlacementSpec[] }
  /** Placements that need nothing more, and grants that were not used. */
  | {
      type: 'release';
      fencingToken: number;
      instanceId: string;
      tasks: ReleasedTask[];
      grants: number[];
    }
  /**
   * Whatever was stored as cancelled before the leader's timestamp has become stops, in that sync and the `placementMessages`
   * messages of type `placements` since.
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

/** From the leader to a shard owner. */
export type LeaderMessage =
  /** The full sync of this number has been taken in. Without a number (a leader of an earlier version): the latest one. */
  | { type: 'syncAccepted'; fencingToken: number; syncNumber?: number }
  /** The leader may have missed something, and asks for a full sync. */
  | { type: 'syncRequested'; fencingToken: number }
  /** Places for tasks. */
  | { type: 'grants'; fencingToken: number; grants: Grant[] }
  /** A time on the leader's clock, to be named in a `cancellationCoverage`. */
  | { type: 'timestamp'; fencingToken: number; leaderTimestamp: number }
  | { type: 'allocationEvents'; fencingToken: number; events: AllocationEvent[] }
  /** Tasks whose room the leader needs. */
  | { type: 'evict'; fencingToken: number; tasks: TaskAttempt[]; reason: string };
