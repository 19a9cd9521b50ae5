/** The records under `sys/` that all controllers share: leader, fencing token, live nodes, shard owners, machine types. */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { MachineType } from '../model/machine-type.js';
import type { LeaderRecord } from '../model/records.js';
import {
  FENCING_TOKEN_KEY,
  LEADER_KEY,
  MACHINE_TYPES_KEY,
  nodeOfKey,
  SYSTEM_PREFIX,
  teamOfKey,
} from '../store/keyspace.js';
import {
  leaderRecord,
  machineTypesRecord,
  nodeRecord,
  ownerRecord,
  tokenRecord,
} from '../store/record-codec.js';
import { WatchCache } from '../store/watch-cache.js';

/** How long the store may hold a watch open until something changes. */
const WATCH_WAIT_MS = 10000;

/** The controller that owns a shard; the epoch is the revision of the record that says so. */
export interface ShardOwnership {
  instanceId: string;
  shardEpoch: number;
}

/** What is called after a record has changed. */
export interface SystemRecordEvents {
  onLeaderChanged(): void;
  onShardOwnersChanged(): void;
  onMachineTypesChanged(): void;
  onNodesChanged(): void;
}

/** A watched copy of the shared records. It may lag behind the store: every write that rests on it names revisions. */
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

  /** Begins to read and to watch. */
  start(): void {
    this.cache.start();
  }

  /** Whether all records have been read once. */
  get isReady(): boolean {
    return this.cache.isReady;
  }

  /** Whether any controller is recorded as the leader. */
  get hasLeader(): boolean {
    return this.cache.items.has(LEADER_KEY);
  }

  /** The recorded leader, and the revision of the record; null if there is none. */
  leader(): { record: LeaderRecord; modRevision: number } | null {
    const item = this.cache.items.get(LEADER_KEY);
    return item ? { record: leaderRecord.decode(item.value), modRevision: item.modRevision } : null;
  }

  /** The highest fencing token given, 0 before the first election, and the revision of its record. */
  fencingToken(): { fencingToken: number; modRevision: number } {
    const item = this.cache.items.get(FENCING_TOKEN_KEY);
    return item
      ? { fencingToken: tokenRecord.decode(item.value).fencingToken, modRevision: item.modRevision }
      : { fencingToken: 0, modRevision: 0 };
  }

  /** Whether a leader has stored machine types. */
  get hasMachineTypes(): boolean {
    return this.cache.items.has(MACHINE_TYPES_KEY);
  }

  /** The stored machine types; null if there are none. */
  machineTypes(): MachineType[] | null {
    const value = this.cache.items.get(MACHINE_TYPES_KEY)?.value;
    return Array.isArray(value) ? machineTypesRecord.decode(value) : null;
  }

  /** The owner of each shard, by team. */
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

  /** Node names of the controllers that hold a lease, by instance. */
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
