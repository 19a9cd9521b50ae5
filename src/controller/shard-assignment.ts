/** The leader's assignment of shards: the jobs of one team, owned by one controller. */

import type { Clock } from '../model/clock.js';
import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { Team } from '../model/team.js';
import type { Scheduler } from '../scheduler/scheduler.js';
import { LEADER_KEY, teamKey } from '../store/keyspace.js';
import { ownerRecord } from '../store/record-codec.js';
import type { Leadership } from './leadership.js';
import type { NodeLease } from './node-lease.js';
import type { PeerRegistry } from './peer-registry.js';
import type { StoreContact } from './store-contact.js';
import type { ShardOwnership, SystemRecords } from './system-records.js';

/** A controller not heard for so long gets no shards and loses those that it has. */
const OUT_OF_TOUCH_MS = 3500;
/** A new leader moves no shard for the sake of balance so long. */
const REBALANCE_AFTER_START_MS = 5000;
/** So long an owner may report no cancellation coverage while the store answers. */
const UNREACHABLE_AFTER_MS = 10000;
/** So long an owner that was found unreachable gets no shard. */
const UNREACHABLE_PAUSE_MS = 60000;
/** The store counts as answering for so long after its last answer. */
const STORE_ANSWERS_WITHIN_MS = 1000;

/** What the assignment needs. */
export interface ShardAssignmentOptions {
  instanceId: string;
  teams: ReadonlyMap<string, Team>;
  maxTransactionOperations: number;
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  records: SystemRecords;
  lease: NodeLease;
  leadership: Leadership;
  peers: PeerRegistry;
  storeContact: StoreContact;
}

/** Number of shards by instance, for those that may own any. */
type ShardCounts = Map<string, number>;

interface ShardCount {
  instanceId: string;
  shards: number;
}

/** Assigns shards to the controllers that are alive and that the leader can reach, and levels their number. */
export class ShardAssignment {
  private writeInFlight = false;
  private nextRebalanceAt = 0;
  private readonly unreachableUntil = new Map<string, number>();

  constructor(private readonly options: ShardAssignmentOptions) {}

  /** Moves what has to be moved, if this controller leads. */
  assign(now: number): void {
    const { leadership, records, lease, instanceId } = this.options;
    const { scheduler } = leadership;
    if (!scheduler || this.writeInFlight || !records.isReady || lease.hasExpired(now)) return;
    const counts = this.eligibleOwners(scheduler, now);
    if (!counts.has(instanceId)) return;
    const owners = records.shardOwners();
    let moves = this.assignOrphans(owners, counts);
    if (moves.size === 0 && now >= this.nextRebalanceAt) {
      this.nextRebalanceAt = now + scheduler.policy.rebalanceIntervalSeconds * 1000;
      moves = this.rebalance(owners, counts);
    }
    if (moves.size > 0) this.write(scheduler, owners, moves);
  }

  /** A term of this controller has begun: shards without a reachable owner are assigned at once, others later. */
  onLeadingStarted(): void {
    this.assign(this.options.clock.now());
    this.nextRebalanceAt = this.options.leadership.leadingSince + REBALANCE_AFTER_START_MS;
  }

  private eligibleOwners(scheduler: Scheduler, now: number): ShardCounts {
    const { instanceId: self, records, peers, leadership } = this.options;
    const counts: ShardCounts = new Map();
    for (const [instanceId, nodeName] of records.liveInstances()) {
      const peer = peers.get(nodeName);
      // A new leader has heard nobody yet, and a record names who was alive a moment ago.
      const isTrusted = instanceId === self || now - leadership.leadingSince < OUT_OF_TOUCH_MS;
      if (
        isTrusted ||
        (peer?.instanceId === instanceId &&
          now - peer.heardAt < OUT_OF_TOUCH_MS &&
          !this.isUnreachable(scheduler, instanceId, now))
      )
        counts.set(instanceId, 0);
    }
    return counts;
  }

  /**
   * An owner that is heard, but has reported no cancellation coverage for long although the store answers: what is sent
   * to it may not arrive. Its teams can't start anything and lose their leases in time, so others get them.
   */
  private isUnreachable(scheduler: Scheduler, instanceId: string, now: number): boolean {
    const { records, leadership, storeContact, teams, log } = this.options;
    if (now < (this.unreachableUntil.get(instanceId) ?? 0)) return true;
    if (
      storeContact.ageMs(now) > STORE_ANSWERS_WITHIN_MS ||
      now - leadership.leadingSince < UNREACHABLE_AFTER_MS
    )
      return false;
    for (const [team, owner] of records.shardOwners()) {
      if (owner.instanceId !== instanceId || !teams.has(team)) continue;
      if (scheduler.coverageSilenceMs(team, now) <= UNREACHABLE_AFTER_MS) continue;
      log.info({ instanceId, team }, 'shard owner reports no cancellation coverage');
      this.unreachableUntil.set(instanceId, now + UNREACHABLE_PAUSE_MS);
      return true;
    }
    return false;
  }

  /** Counts the shards that stay, and spreads the others. */
  private assignOrphans(owners: Map<string, ShardOwnership>, counts: ShardCounts): Map<string, string> {
    const orphans: string[] = [];
    for (const team of [...this.options.teams.keys()].sort()) {
      const owner = owners.get(team);
      if (owner && counts.has(owner.instanceId)) addShard(counts, owner.instanceId);
      else orphans.push(team);
    }
    const moves = new Map<string, string>();
    for (const team of orphans) {
      const { instanceId } = this.leastLoaded(counts);
      moves.set(team, instanceId);
      addShard(counts, instanceId);
    }
    return moves;
  }

  /** One shard, if two controllers differ by two or more; else none. */
  private rebalance(owners: Map<string, ShardOwnership>, counts: ShardCounts): Map<string, string> {
    const least = this.leastLoaded(counts);
    const most = mostLoaded(counts, least);
    if (most.shards - least.shards < 2) return new Map();
    for (const [team, owner] of owners)
      if (owner.instanceId === most.instanceId && this.options.teams.has(team))
        return new Map([[team, least.instanceId]]);
    return new Map();
  }

  /** Of several with equally few shards the leader itself, else the first. It is always among them. */
  private leastLoaded(counts: ShardCounts): ShardCount {
    const self = this.options.instanceId;
    let least = { instanceId: self, shards: counts.get(self) ?? 0 };
    for (const [instanceId, shards] of counts) if (shards < least.shards) least = { instanceId, shards };
    return least;
  }

  private write(scheduler: Scheduler, owners: Map<string, ShardOwnership>, moves: Map<string, string>): void {
    const { store, leadership, log, maxTransactionOperations } = this.options;
    const batch = [...moves].slice(0, maxTransactionOperations);
    for (const [team] of batch) scheduler.suspendOwner(team);
    this.writeInFlight = true;
    store.compareAndSwap(
      {
        preconditions: [
          { key: LEADER_KEY, modRevision: leadership.leaderRevision },
          ...batch.map(([team]) => ({
            key: teamKey(team),
            modRevision: owners.get(team)?.shardEpoch ?? 0,
          })),
        ],
        operations: batch.map(([team, instanceId]) => ({
          type: 'put',
          key: teamKey(team),
          value: ownerRecord.encode({ instanceId }),
        })),
      },
      URGENCY.lease,
      (result) => {
        this.writeInFlight = false;
        log.debug({ owners: Object.fromEntries(batch), succeeded: result.ok }, 'shards assigned');
        if (!result.ok) for (const owner of owners.values()) scheduler.requestSync(owner.instanceId);
      },
    );
  }
}

function addShard(counts: ShardCounts, instanceId: string): void {
  counts.set(instanceId, (counts.get(instanceId) ?? 0) + 1);
}

/** Of several with equally many shards the first. */
function mostLoaded(counts: ShardCounts, least: ShardCount): ShardCount {
  let most: ShardCount | null = null;
  for (const [instanceId, shards] of counts)
    if (most === null || shards > most.shards) most = { instanceId, shards };
  return most ?? least;
}
