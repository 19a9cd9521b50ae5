import { expect, test } from 'vitest';
import type { PlacementSpec } from '../src/model/placement.js';
import { SyncAssembly, type SyncChunk } from '../src/scheduler/owners/sync-assembly.js';
import { SchedulerHarness } from './simulation/scheduler-harness.js';

const placement = (jobId: string): PlacementSpec => ({
  ...new SchedulerHarness(5).placementSpec('run'),
  jobId,
});

function chunk(chunkIndex: number, overrides: Partial<SyncChunk> = {}): SyncChunk {
  return {
    type: 'fullSync',
    fencingToken: 5,
    instanceId: 'o',
    syncNumber: 1,
    chunkCount: 3,
    chunkIndex,
    shardEpochs: { red: 1 },
    placements: [placement(`wk-${chunkIndex}`)],
    requests: [],
    ...overrides,
  };
}

/** Adds the chunks in order; returns for each the jobs of the completed sync or the kind of the result. */
function assemble(...chunks: SyncChunk[]): (string | string[])[] {
  const assembly = new SyncAssembly();
  return chunks.map((syncChunk) => {
    const result = assembly.add(syncChunk);
    return result.kind === 'complete' ? result.placements.map((spec) => spec.jobId) : result.kind;
  });
}

test('a full sync in one chunk is complete at once', () => {
  expect(assemble(chunk(0, { chunkCount: 1 }))).toEqual([['wk-0']]);
});

test('the placements of all chunks are combined in order', () => {
  expect(assemble(chunk(0), chunk(1), chunk(2))).toEqual(['partial', 'partial', ['wk-0', 'wk-1', 'wk-2']]);
});

test('a lost chunk invalidates the sync, and its later chunks are rejected', () => {
  expect(assemble(chunk(0), chunk(2))).toEqual(['partial', 'chunkLost']);
  expect(assemble(chunk(1), chunk(2))).toEqual(['chunkLost', 'chunkLost']);
  expect(assemble(chunk(0), chunk(2), chunk(1), chunk(2))).toEqual([
    'partial',
    'chunkLost',
    'chunkLost',
    'chunkLost',
  ]);
});

test('chunks of two syncs are not mixed, and a new sync replaces the previous one', () => {
  expect(assemble(chunk(0), chunk(1, { syncNumber: 2 }))).toEqual(['partial', 'chunkLost']);
  expect(assemble(chunk(0), chunk(0, { syncNumber: 2, chunkCount: 1 }), chunk(1))).toEqual([
    'partial',
    ['wk-0'],
    'chunkLost',
  ]);
});

test('the syncs of two shard owners are assembled independently', () => {
  const otherOwner = { instanceId: 'p', chunkCount: 2 };
  expect(assemble(chunk(0), chunk(0, otherOwner), chunk(1), chunk(1, otherOwner), chunk(2))).toEqual([
    'partial',
    'partial',
    'partial',
    ['wk-0', 'wk-1'],
    ['wk-0', 'wk-1', 'wk-2'],
  ]);
});
