/** Messages between the shard owners and the leader. */

import type { TaskAttempt } from './job.js';
import type { AllocationEvent, Grant, PlacementSpec, ResourceRequest } from './placement.js';

/** Owner to scheduler. `gens` names the version of each team record the sender acts under. */
export type ShardMessage =
  | {
      type: 'fullSync';
      fencingToken: number;
      instanceId: string;
      /** Number of this telling, and which of its parts this is. */
      syncNumber: number;
      chunkCount: number;
      chunkIndex: number;
      shardEpochs: Record<string, number>;
      placements: PlacementSpec[];
      requests: ResourceRequest[];
    }
  | { type: 'resourceRequests'; fencingToken: number; instanceId: string; requests: ResourceRequest[] }
  | { type: 'placements'; fencingToken: number; instanceId: string; placements: PlacementSpec[] }
  | {
      type: 'release';
      fencingToken: number;
      instanceId: string;
      tasks: { machine: string; taskKey: string }[];
      grants: number[];
    }
  /** Whatever was cancelled before the leader's `mark` has been told, in `n` messages of placements since that sync. */
  | {
      type: 'cancellationCoverage';
      fencingToken: number;
      instanceId: string;
      syncNumber: number;
      placementMessages: number;
      shardEpochs: Record<string, number>;
      leaderTimestamp: number;
    };

export type LeaderMessage =
  /** The full telling of this number has been taken in. Without it (from a leader of an earlier version): the last one. */
  | { type: 'syncAccepted'; fencingToken: number; syncNumber?: number }
  | { type: 'syncRequested'; fencingToken: number }
  | { type: 'grants'; fencingToken: number; grants: Grant[] }
  /** A time on the leader's clock. */
  | { type: 'timestamp'; fencingToken: number; leaderTimestamp: number }
  | { type: 'allocationEvents'; fencingToken: number; events: AllocationEvent[] }
  | { type: 'evict'; fencingToken: number; tasks: TaskAttempt[]; reason: string };
