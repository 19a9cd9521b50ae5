/** Builds full syncs: an owner's whole state in chunks, which the leader applies once it has all of them. */

import type { PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { ShardOwnerMessage } from '../model/shard-messages.js';
import { type OwnedJob, toPlacementSpec } from './owned-job.js';

/** The most placements in one chunk, which limits the size of a message. */
const MAX_PLACEMENTS_PER_CHUNK = 400;

/** The content of a full sync from `instanceId` to the leader that holds `fencingToken`. */
export interface FullSync {
  fencingToken: number;
  instanceId: string;
  syncNumber: number;
  shardEpochs: Record<string, number>;
  placements: PlacementSpec[];
  requests: ResourceRequest[];
}

/** All placements that the leader must know, grouped by job. */
export function placementsToSync(jobs: Iterable<OwnedJob>): PlacementSpec[] {
  const placements: PlacementSpec[] = [];
  for (const job of jobs) {
    // Placements whose write is in flight or indeterminate are included: the leader would otherwise grant
    // their capacity to others.
    for (const placement of job.placements.values()) {
      const desiredState = placement.isStored ? placement.desiredState : 'pending';
      placements.push(toPlacementSpec(job, placement, { desiredState }));
    }
    // Finalized placements whose outcome is not stored yet are included too: otherwise the leader would have
    // their workers remove them. If the write of the outcome then turned out not to have been executed, the
    // attempt would come back as one to be started.
    for (const { placement, isListed } of [...job.outcomesToStore, ...job.outcomesInFlight])
      if (isListed) placements.push(toPlacementSpec(job, placement, { desiredState: 'keep' }));
  }
  return placements;
}

/** The messages of a full sync; the last chunk contains the requests. */
export function fullSyncChunks({ placements, requests, ...sync }: FullSync): ShardOwnerMessage[] {
  const chunkCount = Math.max(1, Math.ceil(placements.length / MAX_PLACEMENTS_PER_CHUNK));
  return Array.from({ length: chunkCount }, (_, chunkIndex) => {
    const start = chunkIndex * MAX_PLACEMENTS_PER_CHUNK;
    return {
      type: 'fullSync',
      ...sync,
      chunkCount,
      chunkIndex,
      placements: placements.slice(start, start + MAX_PLACEMENTS_PER_CHUNK),
      requests: chunkIndex === chunkCount - 1 ? requests : [],
    };
  });
}
