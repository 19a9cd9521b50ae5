/** The records under `sys/` that all controllers share: leader, fencing token, live nodes, shard owners, machine types. */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { MachineType } from '../model/machine-type.js';
import type { LeaderRecord } from '../model/records.js';
import {
  leaderRecord,
  machineTypesRecord,
  nodeRecord,
  teamRecord,
  tokenRecord,
} from '../store/record-codec.js';
import { WatchCache } from '../store/watch-cache.js';

/** Key of the leader record; it hangs on the leader's lease. */
export const LEADER_KEY = 'sys/leader';
/** Key of the highest fencing token ever given. */
export const FENCING_TOKEN_KEY = 'sys/token';
/** Key of the machine types that the cloud last listed. */
export const MACHINE_TYPES_KEY = 'sys/types';

const NODE_PREFIX = 'sys/node/';
const TEAM_PREFIX = 'sys/team/';

/** How long the store may hold a watch open until something changes. */
const WATCH_WAIT_MS = 10000;

/** Key of the record of a live controller. */
export function nodeKey(nodeName: string): string {
  return `${NODE_PREFIX}${nodeName}`;
}

/** Key of the record that names the owner of a team's shard. */
export function teamKey(team: string): string {
  return `${TEAM_PREFIX}${team}`;
}

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
    this.cache = new WatchCache('sys/', WATCH_WAIT_MS, 0, store, clock, (key) => this.onChanged(key));
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
      if (!key.startsWith(TEAM_PREFIX)) continue;
      owners.set(key.slice(TEAM_PREFIX.length), {
        instanceId: teamRecord.decode(item.value).instanceId,
        shardEpoch: item.modRevision,
      });
    }
    return owners;
  }

  /** Node names of the controllers that hold a lease, by instance. */
  liveInstances(): Map<string, string> {
    const nodeNames = new Map<string, string>();
    for (const [key, item] of this.cache.items)
      if (key.startsWith(NODE_PREFIX))
        nodeNames.set(nodeRecord.decode(item.value).instanceId, key.slice(NODE_PREFIX.length));
    return nodeNames;
  }

  private onChanged(key: string): void {
    if (key === LEADER_KEY) this.events.onLeaderChanged();
    else if (key.startsWith(TEAM_PREFIX)) this.events.onShardOwnersChanged();
    else if (key === MACHINE_TYPES_KEY) this.events.onMachineTypesChanged();
    else if (key.startsWith(NODE_PREFIX)) this.events.onNodesChanged();
  }
}
