/**
 * Exchanges job cancellations and cancellation coverage between controllers. Coverage states up to which time
 * all cancellations have been turned into stop commands. A worker's lease is renewed only as far as the
 * coverage allows, so no task runs for longer than `cancellationSeconds` after the cancellation of its job
 * was confirmed to the user.
 */

import type { CancellationCoverage } from '../model/cancellation-coverage.js';
import type { PeerHeartbeat, PeerMessageBody } from '../model/peer-message.js';
import { CancellationLog, type PeerProcess } from './cancellation-log.js';
import type { Leadership } from './leadership.js';
import type { PeerMessenger } from './peer-messenger.js';
import type { PeerRegistry } from './peer-registry.js';
import type { SystemRecords } from './system-records.js';

/** Maximum number of machine names in one message: about 200 KB, and five times a fleet of 4,000 machines. */
export const MAX_MACHINES_PER_MESSAGE = 20000;

/**
 * Cancellation coverage computed by the leader: the tasks of every job cancelled before `completeUntil`, on
 * the leader's clock, have ended or are being stopped on one of the `pendingMachines`.
 */
export interface LeaderCoverage {
  completeUntil: number;
  pendingMachines: string[];
}

/** Settings and dependencies of the cancellation coordinator. */
export interface CancellationCoordinatorOptions {
  instanceId: string;
  peerNames: readonly string[];
  records: SystemRecords;
  leadership: Leadership;
  peerRegistry: PeerRegistry;
  messenger: PeerMessenger;
}

/** Sends cancellations and coverage to peers, and stores those received from them. */
export class CancellationCoordinator {
  private readonly log: CancellationLog;
  private retainedCoverage: CancellationCoverage | null = null;

  constructor(private readonly options: CancellationCoordinatorOptions) {
    this.log = new CancellationLog(options.peerNames);
  }

  /**
   * The latest coverage computed by any leader, in times of this controller's clock; null if there is none.
   * It remains valid after the leader changes.
   */
  get latestCoverage(): CancellationCoverage | null {
    return this.retainedCoverage;
  }

  /** Number of cancellations that this process has announced to its peers. */
  get announcedCount(): number {
    return this.log.announcedCount;
  }

  /** Returns whether a job is known to be stored as cancelled. */
  isCancelled(jobId: string): boolean {
    return this.log.has(jobId);
  }

  /** Returns a period: every cancellation confirmed to a user within it is known to this controller. */
  knownCancellationPeriod(now: number): { since: number; until: number } {
    return this.log.knownCancellationPeriod(now);
  }

  /**
   * Announces a cancellation that is about to be confirmed to a user, unless it was known before. The current
   * leader and any later one can then stop the job's tasks at once, before the shard owner has read the
   * cancellation from the store.
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

  /** Records a cancellation announced by a peer, and stops the job's tasks if this controller leads. */
  onPeerCancellation(
    process: PeerProcess,
    message: Extract<PeerMessageBody, { type: 'cancelled' }>,
    now: number,
  ): void {
    this.log.recordFromPeer(process, message, now);
    this.options.leadership.scheduler?.onJobCancelled(message.jobId);
  }

  /** Applies the cancellation state contained in a peer's heartbeat. */
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
    // A timestamp issued by an earlier process on this node refers to a different clock.
    if (coverage?.instanceId !== instanceId) return;
    this.retainIfNewer({
      completeUntil: Math.min(now, coverage.timestamp),
      pendingMachines: coverage.pendingMachines && new Set(coverage.pendingMachines),
    });
  }

  /**
   * On the leader, sends the current time to every shard owner, which responds with a `cancellationCoverage`
   * message once all cancellations stored before that time have become stops. Also retains the current
   * coverage for use after a change of leader, and returns it; null unless this controller leads and has a
   * cancellation watermark (the time up to which a team's stored cancellations have become stops) for every
   * team.
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

  /**
   * Converts the leader's coverage to a peer's own clock, as the newest timestamp that had been received from
   * the peer by `completeUntil`. Returns null if there is no such timestamp, if no message of the peer has
   * been received, or if `coverage` is null.
   */
  coverageForPeer(nodeName: string, coverage: LeaderCoverage | null): PeerHeartbeat['coverage'] {
    const peer = this.options.peerRegistry.get(nodeName);
    if (!coverage || !peer) return null;
    const timestamp = peer.timestamps.latestReceivedBy(coverage.completeUntil);
    if (timestamp === null) return null;
    return { instanceId: peer.instanceId, timestamp, pendingMachines: pendingMachinesForMessage(coverage) };
  }

  /** Returns the newest timestamp received from a peer, or null if there is none. */
  latestTimestampFrom(nodeName: string): PeerHeartbeat['latestTimestamp'] {
    const peer = this.options.peerRegistry.get(nodeName);
    const timestamp = peer?.timestamps.latestReceivedBy(Number.POSITIVE_INFINITY) ?? null;
    return peer && timestamp !== null ? { instanceId: peer.instanceId, timestamp } : null;
  }

  /**
   * Keeps a coverage as the latest one unless the kept one reaches further; one that reaches equally far
   * replaces it, because its pending machines are more recent.
   */
  private retainIfNewer(coverage: CancellationCoverage): void {
    if (!this.retainedCoverage || coverage.completeUntil >= this.retainedCoverage.completeUntil)
      this.retainedCoverage = coverage;
  }
}

/**
 * Returns the pending machines of a coverage (those with tasks being stopped) as a message names them: null,
 * which stands for any machine, if there are too many.
 */
function pendingMachinesForMessage({ pendingMachines }: LeaderCoverage): string[] | null {
  return pendingMachines.length > MAX_MACHINES_PER_MESSAGE ? null : pendingMachines;
}
