/**
 * Cancellations between controllers: which ones users were told of, and up to when all of them are known to have become
 * stops. A worker's lease is renewed only by that, so that no task outlives its cancellation for longer than promised.
 */

import type { CancellationCoverage } from '../model/cancellation-coverage.js';
import type { PeerHeartbeat, PeerMessageBody } from '../model/peer-message.js';
import { CancellationLog, type PeerProcess } from './cancellation-log.js';
import type { Leadership } from './leadership.js';
import type { PeerMessenger } from './peer-messenger.js';
import type { PeerRegistry } from './peer-registry.js';
import type { SystemRecords } from './system-records.js';

/** Most machines named in one message: 200 KB, five times a fleet of 4,000 machines. */
export const MAX_MACHINES_PER_MESSAGE = 20000;

/** The leader's coverage: what was cancelled before `completeUntil`, on its clock, has ended or is being stopped on these machines. */
export interface LeaderCoverage {
  completeUntil: number;
  pendingMachines: string[];
}

/** What the coordinator needs. */
export interface CancellationCoordinatorOptions {
  instanceId: string;
  peerNames: readonly string[];
  records: SystemRecords;
  leadership: Leadership;
  peers: PeerRegistry;
  messenger: PeerMessenger;
}

/** Passes cancellations and coverage on to peers, and keeps what they pass on. */
export class CancellationCoordinator {
  private readonly log: CancellationLog;
  private latestCoverage: CancellationCoverage | null = null;

  constructor(private readonly options: CancellationCoordinatorOptions) {
    this.log = new CancellationLog(options.peerNames);
  }

  /** The newest coverage of any leader, in times of this controller's clock; it stays true whoever leads. */
  get inheritedCoverage(): CancellationCoverage | null {
    return this.latestCoverage;
  }

  /** How many cancellations this process has announced to its peers. */
  get announcedCount(): number {
    return this.log.announcedCount;
  }

  /** Whether a job is known to be stored as cancelled. */
  isCancelled(jobId: string): boolean {
    return this.log.has(jobId);
  }

  /** Any cancellation that a user was told of between the two times is known here. */
  completeInterval(now: number): { since: number; until: number } {
    return this.log.completeInterval(now);
  }

  /**
   * A user is about to be told that a job is cancelled. Whoever leads, now or next, may stop its tasks at once, before
   * their shard owner reads of it.
   */
  announce(jobId: string): void {
    if (!this.log.recordOwn(jobId)) return;
    this.options.leadership.scheduler?.onJobCancelled(jobId);
    this.options.messenger.broadcast({
      type: 'cancelled',
      jobId,
      cancellationNumber: this.log.announcedCount,
    });
  }

  /** A peer has announced a cancellation. */
  onPeerCancellation(
    process: PeerProcess,
    message: Extract<PeerMessageBody, { type: 'cancelled' }>,
    now: number,
  ): void {
    this.log.recordFromPeer(process, message, now);
    this.options.leadership.scheduler?.onJobCancelled(message.jobId);
  }

  /** Takes in what a peer's heartbeat says of cancellations. */
  onPeerHeartbeat(process: PeerProcess, heartbeat: PeerHeartbeat, now: number): void {
    const { latestTimestamp, coverage } = heartbeat;
    const { instanceId } = this.options;
    this.log.recordHeartbeat(
      process,
      {
        announced: heartbeat.cancellationsAnnounced,
        latestTimestamp: latestTimestamp?.instanceId === instanceId ? latestTimestamp.timestamp : null,
      },
      now,
    );
    // A timestamp of an earlier process here is a time on another clock.
    if (coverage?.instanceId !== instanceId) return;
    this.retainIfNewer({
      completeUntil: Math.min(now, coverage.timestamp),
      pendingMachines: coverage.pendingMachines && new Set(coverage.pendingMachines),
    });
  }

  /**
   * The leader sends its owners a timestamp, up to which they answer for cancellations, and keeps what is covered for
   * whoever leads next. Null unless this controller leads and knows all shards.
   */
  updateCoverage(now: number): LeaderCoverage | null {
    const { leadership, records, messenger } = this.options;
    const { scheduler } = leadership;
    if (!scheduler) return null;
    for (const instanceId of new Set([...records.shardOwners().values()].map((owner) => owner.instanceId)))
      messenger.sendToShardOwner(instanceId, {
        type: 'timestamp',
        fencingToken: scheduler.fencingToken,
        leaderTimestamp: now,
      });
    const coverage = scheduler.coverage();
    if (coverage) {
      const pending = pendingMachinesForMessage(coverage);
      this.retainIfNewer({
        completeUntil: coverage.completeUntil,
        pendingMachines: pending && new Set(pending),
      });
    }
    return coverage;
  }

  /** The leader's coverage in terms of a peer's own clock; null if none of its timestamps lies within. */
  coverageForPeer(nodeName: string, coverage: LeaderCoverage | null): PeerHeartbeat['coverage'] {
    const peer = this.options.peers.get(nodeName);
    if (!coverage || !peer) return null;
    const timestamp = peer.timestamps.latestReceivedBy(coverage.completeUntil);
    if (timestamp === null) return null;
    return { instanceId: peer.instanceId, timestamp, pendingMachines: pendingMachinesForMessage(coverage) };
  }

  /** The newest timestamp that has come from a peer. */
  latestTimestampFrom(nodeName: string): PeerHeartbeat['latestTimestamp'] {
    const peer = this.options.peers.get(nodeName);
    const timestamp = peer?.timestamps.latestReceivedBy(Number.POSITIVE_INFINITY) ?? null;
    return peer && timestamp !== null ? { instanceId: peer.instanceId, timestamp } : null;
  }

  private retainIfNewer(coverage: CancellationCoverage): void {
    if (!this.latestCoverage || coverage.completeUntil >= this.latestCoverage.completeUntil)
      this.latestCoverage = coverage;
  }
}

/** Null, any machine, if there are too many to name. */
function pendingMachinesForMessage({ pendingMachines }: LeaderCoverage): string[] | null {
  return pendingMachines.length > MAX_MACHINES_PER_MESSAGE ? null : pendingMachines;
}
