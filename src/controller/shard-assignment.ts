/** Assignment of shards by the leader. A shard is the jobs of one team, owned by one controller. */

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

/** A controller that has not been heard for this long gets no shards and loses those it owns. */
const MAX_PEER_SILENCE_MS = 3500;
/** Time from the start of a term as leader to the next rebalancing of shards. */
const FIRST_REBALANCE_DELAY_MS = 5000;
/**
 * Maximum time that a shard owner may report no cancellation coverage (the time up to which all stored
 * cancellations have become stops) while the store responds.
 */
const MAX_COVERAGE_SILENCE_MS = 10000;
/** How long a shard owner that was found unreachable gets no shards. */
const UNREACHABLE_EXCLUSION_MS = 60000;
/** Maximum age of the last contact with the store for the store to count as responding. */
const MAX_STORE_CONTACT_AGE_MS = 1000;

/** Settings and dependencies of the shard assignment. */
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
  peerRegistry: PeerRegistry;
  storeContact: StoreContact;
}

/** Number of shards by instance, for the instances that are eligible as owners. */
type ShardCounts = Map<string, number>;

interface ShardCount {
  instanceId: string;
  shards: number;
}

/** Assigns shards to the live controllers that the leader can reach, and balances their number. */
export class ShardAssignment {
  private writeInFlight = false;
  private nextRebalanceAt = 0;
  private readonly unreachableUntil = new Map<string, number>();

  constructor(private readonly options: ShardAssignmentOptions) {}

  /**
   * Assigns the shards whose owner is missing or not eligible, or else moves one shard if rebalancing is due.
   * Does nothing unless this controller leads, may still hold its lease and is eligible as an owner itself,
   * and while an earlier assignment is being written.
   */
  assign(now: number): void {
    const { leadership, records, lease, instanceId } = this.options;
    const { scheduler } = leadership;
    if (!scheduler || this.writeInFlight || !records.isReady || lease.hasExpired(now)) return;
    const counts = this.eligibleOwners(scheduler, now);
    if (!counts.has(instanceId)) return;
    const owners = records.shardOwners();
    let moves = this.assignUnownedShards(owners, counts);
    if (moves.size === 0 && now >= this.nextRebalanceAt) {
      this.nextRebalanceAt = now + scheduler.policy.rebalanceIntervalSeconds * 1000;
      moves = this.rebalance(owners, counts);
    }
    if (moves.size > 0) this.writeOwners(scheduler, owners, moves);
  }

  /** Called when a term of this controller has started: assigns shards, then delays the next rebalancing. */
  onTermStarted(): void {
    this.assign(this.options.clock.now());
    this.nextRebalanceAt = this.options.leadership.latestTermStartedAt + FIRST_REBALANCE_DELAY_MS;
  }

  /** Returns the instances that are eligible as owners, each with a count of 0. */
  private eligibleOwners(scheduler: Scheduler, now: number): ShardCounts {
    const { instanceId: self, records, peerRegistry, leadership } = this.options;
    const counts: ShardCounts = new Map();
    for (const [instanceId, nodeName] of records.liveInstances()) {
      const peer = peerRegistry.get(nodeName);
      // A new leader has heard no peers yet; a node record shows that its controller was alive recently.
      const isPresumedAlive =
        instanceId === self || now - leadership.latestTermStartedAt < MAX_PEER_SILENCE_MS;
      if (
        isPresumedAlive ||
        (peer?.instanceId === instanceId &&
          now - peer.lastHeardAt < MAX_PEER_SILENCE_MS &&
          !this.isUnreachable(scheduler, instanceId, now))
      )
        counts.set(instanceId, 0);
    }
    return counts;
  }

  /**
   * Returns whether a shard owner has reported no cancellation coverage for too long although the store
   * responds and this controller has led for long enough; it then counts as unreachable for a while. Such an
   * owner may still be heard, but messages to it may not arrive. Its teams cannot start any task, and their
   * workers' leases are eventually not renewed, so its shards are moved to other controllers.
   */
  private isUnreachable(scheduler: Scheduler, instanceId: string, now: number): boolean {
    const { records, leadership, storeContact, teams, log } = this.options;
    if (now < (this.unreachableUntil.get(instanceId) ?? 0)) return true;
    if (
      storeContact.ageMs(now) > MAX_STORE_CONTACT_AGE_MS ||
      now - leadership.latestTermStartedAt < MAX_COVERAGE_SILENCE_MS
    )
      return false;
    for (const [team, owner] of records.shardOwners()) {
      if (owner.instanceId !== instanceId || !teams.has(team)) continue;
      if (scheduler.coverageAgeMs(team, now) <= MAX_COVERAGE_SILENCE_MS) continue;
      log.info({ instanceId, team }, 'shard owner reports no cancellation coverage');
      this.unreachableUntil.set(instanceId, now + UNREACHABLE_EXCLUSION_MS);
      return true;
    }
    return false;
  }

  /** Counts the shards of eligible owners, and distributes the others. Returns the new owners by team. */
  private assignUnownedShards(owners: Map<string, ShardOwnership>, counts: ShardCounts): Map<string, string> {
    const unownedTeams: string[] = [];
    for (const team of [...this.options.teams.keys()].sort()) {
      const owner = owners.get(team);
      if (owner && counts.has(owner.instanceId)) incrementCount(counts, owner.instanceId);
      else unownedTeams.push(team);
    }
    const moves = new Map<string, string>();
    for (const team of unownedTeams) {
      const { instanceId } = this.leastLoaded(counts);
      moves.set(team, instanceId);
      incrementCount(counts, instanceId);
    }
    return moves;
  }

  /**
   * Moves one shard if the counts of two controllers differ by two or more. Returns its new owner by team.
   */
  private rebalance(owners: Map<string, ShardOwnership>, counts: ShardCounts): Map<string, string> {
    const least = this.leastLoaded(counts);
    const most = mostLoaded(counts, least);
    if (most.shards - least.shards < 2) return new Map();
    for (const [team, owner] of owners)
      if (owner.instanceId === most.instanceId && this.options.teams.has(team))
        return new Map([[team, least.instanceId]]);
    return new Map();
  }

  /**
   * Returns the controller with the fewest shards: on a tie the leader, or else the first one. The leader
   * itself is always eligible.
   */
  private leastLoaded(counts: ShardCounts): ShardCount {
    const self = this.options.instanceId;
    let least = { instanceId: self, shards: counts.get(self) ?? 0 };
    for (const [instanceId, shards] of counts) if (shards < least.shards) least = { instanceId, shards };
    return least;
  }

  /**
   * Writes the new owners, at most as many as one transaction may contain. Their present owners are suspended
   * before; if the write fails, full syncs of all owners are requested, which end the suspension.
   */
  private writeOwners(
    scheduler: Scheduler,
    owners: Map<string, ShardOwnership>,
    moves: Map<string, string>,
  ): void {
    const { store, leadership, log, maxTransactionOperations } = this.options;
    const batch = [...moves].slice(0, maxTransactionOperations);
    for (const [team] of batch) scheduler.suspendOwner(team);
    this.writeInFlight = true;
    store.compareAndSwap(
      {
        preconditions: [
          { key: LEADER_KEY, modRevision: leadership.leaderRecordRevision },
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

function incrementCount(counts: ShardCounts, instanceId: string): void {
  counts.set(instanceId, (counts.get(instanceId) ?? 0) + 1);
}

/** Returns the controller with the most shards; on a tie the first one. */
function mostLoaded(counts: ShardCounts, least: ShardCount): ShardCount {
  let most: ShardCount | null = null;
  for (const [instanceId, shards] of counts)
    if (most === null || shards > most.shards) most = { instanceId, shards };
  return most ?? least;
}
