/** Assembles full syncs, which shard owners send in chunks: one message each. */

import type { PlacementSpec } from '../../model/placement.js';
import type { ShardOwnerMessage } from '../../model/shard-messages.js';

/** One chunk of a shard owner's full sync: a message with part of its placements. */
export type SyncChunk = Extract<ShardOwnerMessage, { type: 'fullSync' }>;

/** The result of adding a chunk: the sync is complete, still partial, or void because a chunk was lost. */
export type AssemblyResult =
  | { kind: 'complete'; placements: PlacementSpec[] }
  | { kind: 'partial' }
  | { kind: 'chunkLost' };

interface SyncInProgress {
  syncNumber: number;
  nextChunkIndex: number;
  placements: PlacementSpec[];
}

/** Keeps the incomplete full sync of each owner. */
export class SyncAssembly {
  private readonly inProgress = new Map<string, SyncInProgress>();

  /**
   * Adds the next chunk of an owner's sync. Chunks can be lost if the connection is re-established between
   * them. A sync with a lost chunk is void: if it were applied, the tasks in that chunk would count as
   * unknown and be stopped.
   */
  add(chunk: SyncChunk): AssemblyResult {
    const { instanceId, syncNumber, chunkIndex, chunkCount } = chunk;
    const pending = this.inProgress.get(instanceId);
    this.inProgress.delete(instanceId);
    let placements: PlacementSpec[];
    if (chunkIndex === 0) placements = [...chunk.placements];
    else if (pending?.syncNumber === syncNumber && pending.nextChunkIndex === chunkIndex)
      placements = [...pending.placements, ...chunk.placements];
    else return { kind: 'chunkLost' };
    if (chunkIndex === chunkCount - 1) return { kind: 'complete', placements };
    this.inProgress.set(instanceId, { syncNumber, nextChunkIndex: chunkIndex + 1, placements });
    return { kind: 'partial' };
  }
}
