/**
 * Records under `sys/` shared by all controllers: leader, fencing token, handover, nodes, shard owners, machine
 * types.
 */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { MachineType } from '../model/machine-type.js';
import type { HandoverRecord, LeaderRecord } from '../model/records.js';
import {
  FENCING_TOKEN_KEY,
  HANDOVER_KEY,
  LEADER_KEY,
  MACHINE_TYPES_KEY,
  nodeOfKey,
  SYSTEM_PREFIX,
  teamOfKey,
} from '../store/keyspace.js';
import {
  handoverRecord,
  leaderRecord,
  machineTypesRecord,
  nodeRecord,
  ownerRecord,
  tokenRecord,
} from '../store/record-codec.js';
import { WatchCache } from '../store/watch-cache.js';

/** Maximum time that one watch request (a long poll) waits for a change. */
const WATCH_WAIT_MS = 10000;

/** The controller that owns a shard. `shardEpoch` is the revision of the owner record that names it. */
export interface ShardOwnership {
  instanceId: string;
  shardEpoch: number;
}

/** Callbacks for changed records. */
export interface SystemRecordEvents {
  onLeaderChanged(): void;
  onShardOwnersChanged(): void;
  onMachineTypesChanged(): void;
  onNodesChanged(): void;
}

/**
 * A cache of the shared records, kept current by watches. It may lag behind the store, so every write that is
 * based on it has revisions as preconditions.
 */
export class SystemRecords {
  private readonly cache: WatchCache;

  constructor(
    store: KeyValueStore,
    clock: Clock,
    private readonly events: SystemRecordEvents,
  ) {
    this.cache = new WatchCache({
      prefix: SYSTEM_PREFIX,
      store,
      clock,
      watchWaitMs: WATCH_WAIT_MS,
      minWatchIntervalMs: 0,
      isWatchEnabled: true,
      onChange: (key) => this.onChanged(key),
    });
  }

  /** Starts to read and to watch the records. */
  start(): void {
    this.cache.start();
  }

  /** Whether all records have been read at least once. */
  get isReady(): boolean {
    return this.cache.isReady;
  }

  /** Whether a leader record exists. */
  get hasLeader(): boolean {
    return this.cache.items.has(LEADER_KEY);
  }

  /** Returns the leader record and its revision, or null if there is none. */
  leader(): { record: LeaderRecord; modRevision: number } | null {
    const item = this.cache.items.get(LEADER_KEY);
    return item ? { record: leaderRecord.decode(item.value), modRevision: item.modRevision } : null;
  }

  /** Returns the highest fencing token issued, 0 before the first election, and its record's revision. */
  fencingToken(): { fencingToken: number; modRevision: number } {
    const item = this.cache.items.get(FENCING_TOKEN_KEY);
    return item
      ? { fencingToken: tokenRecord.decode(item.value).fencingToken, modRevision: item.modRevision }
      : { fencingToken: 0, modRevision: 0 };
  }

  /** Returns the last handover by a leader that heard no workers, or null if there was none. */
  handover(): HandoverRecord | null {
    const item = this.cache.items.get(HANDOVER_KEY);
    return item ? handoverRecord.decode(item.value) : null;
  }

  /** Whether a leader has stored machine types. */
  get hasMachineTypes(): boolean {
    return this.cache.items.has(MACHINE_TYPES_KEY);
  }

  /** Returns the stored machine types, or null if there are none. */
  machineTypes(): MachineType[] | null {
    const value = this.cache.items.get(MACHINE_TYPES_KEY)?.value;
    return Array.isArray(value) ? machineTypesRecord.decode(value) : null;
  }

  /** Returns the owner of each shard, by team. */
  shardOwners(): Map<string, ShardOwnership> {
    const owners = new Map<string, ShardOwnership>();
    for (const [key, item] of this.cache.items) {
      const team = teamOfKey(key);
      if (team === null) continue;
      owners.set(team, {
        instanceId: ownerRecord.decode(item.value).instanceId,
        shardEpoch: item.modRevision,
      });
    }
    return owners;
  }

  /**
   * Returns the node names of the live controllers by instance: those whose node record exists. The record of
   * a failed controller exists until its lease ends.
   */
  liveInstances(): Map<string, string> {
    const nodeNames = new Map<string, string>();
    for (const [key, item] of this.cache.items) {
      const nodeName = nodeOfKey(key);
      if (nodeName !== null) nodeNames.set(nodeRecord.decode(item.value).instanceId, nodeName);
    }
    return nodeNames;
  }

  private onChanged(key: string): void {
    if (key === LEADER_KEY) this.events.onLeaderChanged();
    else if (teamOfKey(key) !== null) this.events.onShardOwnersChanged();
    else if (key === MACHINE_TYPES_KEY) this.events.onMachineTypesChanged();
    else if (nodeOfKey(key) !== null) this.events.onNodesChanged();
  }
}
