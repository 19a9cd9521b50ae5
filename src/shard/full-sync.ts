/**
 * Builds full syncs: the placements and requests of a shard owner, divided into messages. The leader applies
 * a sync once it has all of its messages.
 */

import type { PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { ShardOwnerMessage } from '../model/shard-messages.js';
import { type OwnedJob, toPlacementSpec } from './owned-job.js';

/** Maximum number of placements in one message of a full sync, which limits its size. */
const MAX_PLACEMENTS_PER_MESSAGE = 400;

/** The content of a full sync from `instanceId` to the leader that holds `fencingToken`. */
export interface FullSync {
  fencingToken: number;
  instanceId: string;
  syncNumber: number;
  shardEpochs: Record<string, number>;
  placements: PlacementSpec[];
  requests: ResourceRequest[];
}

/**
 * Returns all placements that the leader must know, grouped by job. The caller must have discarded the
 * placements for which no write can have been sent (`GrantHandler.discardUnsentPlacements`).
 */
export function placementsToSync(jobs: Iterable<OwnedJob>): PlacementSpec[] {
  const placements: PlacementSpec[] = [];
  for (const job of jobs) {
    // Placements that may be stored without this owner knowing it are included as `pending`: the leader
    // would otherwise grant their capacity to others. Unstored placements of other jobs have been discarded.
    for (const placement of job.placements.values()) {
      const desiredState = placement.isStored ? placement.desiredState : 'pending';
      placements.push(toPlacementSpec(job, placement, { desiredState }));
    }
    // Finalized placements whose outcome is not stored yet are included if their worker still lists them: the
    // leader would otherwise have the worker remove them. If the write of the outcome then turned out not to
    // have been executed, the reloaded placement would have the desired state `run`, and the leader would
    // start the same attempt again. Where no worker lists the attempt, there is nothing to keep.
    for (const { placement, isListed } of [...job.outcomesToStore, ...job.outcomesInFlight])
      if (isListed) placements.push(toPlacementSpec(job, placement, { desiredState: 'keep' }));
  }
  return placements;
}

/** Returns the messages of a full sync, at least one; the last one contains the requests. */
export function fullSyncMessages({ placements, requests, ...sync }: FullSync): ShardOwnerMessage[] {
  const chunkCount = Math.max(1, Math.ceil(placements.length / MAX_PLACEMENTS_PER_MESSAGE));
  return Array.from({ length: chunkCount }, (_, chunkIndex) => {
    const start = chunkIndex * MAX_PLACEMENTS_PER_MESSAGE;
    return {
      type: 'fullSync',
      ...sync,
      chunkCount,
      chunkIndex,
      placements: placements.slice(start, start + MAX_PLACEMENTS_PER_MESSAGE),
      requests: chunkIndex === chunkCount - 1 ? requests : [],
    };
  });
}
