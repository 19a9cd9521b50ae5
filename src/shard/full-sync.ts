/** The full state of an owner for the leader, which takes it as one when it has all chunks. */

import type { PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { ShardMessage } from '../model/shard-messages.js';
import { type OwnedJob, toPlacementSpec } from './owned-job.js';

/** Most placements in one message, so that none is large. */
const MAX_PLACEMENTS_PER_CHUNK = 400;

/** What a full sync says, and who says it to which leader. */
export interface FullSync {
  fencingToken: number;
  instanceId: string;
  syncNumber: number;
  shardEpochs: Record<string, number>;
  placements: PlacementSpec[];
  requests: ResourceRequest[];
}

/** All placements that the leader must know of, in the order of the jobs. */
export function placementsToSync(jobs: Iterable<OwnedJob>): PlacementSpec[] {
  const placements: PlacementSpec[] = [];
  for (const job of jobs) {
    // Without the places whose write is in flight or indeterminate the leader would give them to others.
    for (const placement of job.placements.values()) {
      const desiredState = placement.isStored ? placement.desiredState : 'pending';
      placements.push(toPlacementSpec(job, placement, { desiredState }));
    }
    // Finalized but not yet stored so: still ours, or the leader would have what nobody claims removed. A write that turns
    // out not to have been executed would then bring the attempt back as one to be started.
    for (const { placement, isListed } of [...job.outcomesToStore, ...job.outcomesInFlight])
      if (isListed) placements.push(toPlacementSpec(job, placement, { desiredState: 'keep' }));
  }
  return placements;
}

/** The messages of a full sync; the requests come with the last one. */
export function fullSyncChunks({ placements, requests, ...sync }: FullSync): ShardMessage[] {
  const chunkCount = Math.max(1, Math.ceil(placements.length / MAX_PLACEMENTS_PER_CHUNK));
  return Array.from({ length: chunkCount }, (_, chunkIndex) => {
    const from = chunkIndex * MAX_PLACEMENTS_PER_CHUNK;
    return {
      type: 'fullSync',
      ...sync,
      chunkCount,
      chunkIndex,
      placements: placements.slice(from, from + MAX_PLACEMENTS_PER_CHUNK),
      requests: chunkIndex === chunkCount - 1 ? requests : [],
    };
  });
}
