/** Puts the chunks of full syncs together. */

import type { PlacementSpec } from '../../model/placement.js';
import type { ShardMessage } from '../../model/shard-messages.js';

/** One chunk of a shard owner's full sync. */
export type SyncChunk = Extract<ShardMessage, { type: 'fullSync' }>;

/** What a chunk has brought: all placements, some of them, or the proof that another chunk was lost. */
export type AssemblyResult =
  | { kind: 'complete'; placements: PlacementSpec[] }
  | { kind: 'partial' }
  | { kind: 'chunkLost' };

interface SyncInProgress {
  syncNumber: number;
  nextChunkIndex: number;
  placements: PlacementSpec[];
}

/** Full syncs of which not all chunks have come, by owner. */
export class SyncAssembly {
  private readonly inProgress = new Map<string, SyncInProgress>();

  /**
   * A connection made anew between two chunks loses any of them: then the sync is void, or tasks in the lost chunk would
   * be taken for nobody's and stopped.
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
