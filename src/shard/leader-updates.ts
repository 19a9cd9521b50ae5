/**
 * Sends the shard owner's state (placements, resource requests) to the leader: a full sync first and whenever
 * messages may have been lost, otherwise only changes. Until the leader has accepted the latest full sync,
 * nothing but full syncs is sent.
 */

import type { Clock } from '../model/clock.js';
import type { PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { ReleasedPlacement, ShardOwnerMessage } from '../model/shard-messages.js';
import { CancellationCoverageTracker } from './cancellation-coverage-tracker.js';
import { fullSyncMessages, placementsToSync } from './full-sync.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { OwnedShards } from './owned-shards.js';
import type { WakeTimer } from './wake-timer.js';

/** Minimum time between two request lists; each request in the list adds to it, up to the maximum. */
const MIN_REQUESTS_INTERVAL_MS = 10;
const REQUESTS_INTERVAL_MS_PER_REQUEST = 3;
const MAX_REQUESTS_INTERVAL_MS = 300;

/** Sources of the updates, and how they are sent. */
export interface LeaderUpdatesOptions {
  instanceId: string;
  jobs: OwnedJobs;
  shards: OwnedShards;
  clock: Clock;
  wakeTimer: WakeTimer;
  /**
   * Returns when the latest read of the open jobs was sent whose changes have been delivered to this owner.
   */
  openJobsFreshAsOf(): number;
  /** Builds the requests of all jobs. All grants up to `lastProcessedGrantId` are taken into account. */
  listRequests(lastProcessedGrantId: number): ResourceRequest[];
  /** Removes placements that cannot have been stored, because a full sync voids their grants. */
  discardUnsentPlacements(): void;
  send(message: ShardOwnerMessage): void;
}

/** Collects changes and sends them to the leader at the end of each batch of events. */
export class LeaderUpdates {
  /** Fencing token of the current leader; 0: no leader is known. */
  fencingToken = 0;
  /**
   * Whether the leader has accepted this owner's latest full sync, and `resync` has not been called since.
   */
  isSynced = false;
  private needsFullSync = false;
  /** Whether the resource requests may have changed since they were last built. */
  private needsRequestRebuild = false;
  private lastRequestsJson = '';
  private nextRequestsAt = 0;
  /** The newest grant of the current leader that has been processed. */
  private lastProcessedGrantId = 0;
  private syncNumber = 0;
  /** Number of `placements` messages sent since the last full sync. */
  private placementMessagesSent = 0;
  private placementsToSend: PlacementSpec[] = [];
  private placementsToRelease: ReleasedPlacement[] = [];
  private grantsToRelease: number[] = [];
  private readonly coverageTracker = new CancellationCoverageTracker();

  constructor(private readonly options: LeaderUpdatesOptions) {}

  /** Switches to the leader with this higher token, which has no state of this owner yet. */
  setLeader(fencingToken: number): void {
    this.fencingToken = fencingToken;
    this.coverageTracker.reset();
    this.lastProcessedGrantId = 0;
    this.resync();
  }

  /** Makes the next send a full sync and blocks all other messages until it is accepted. */
  resync(): void {
    this.isSynced = false;
    this.needsFullSync = true;
  }

  /** Makes the next send a full sync. Until it is sent, the latest accepted sync stays valid. */
  requestFullSync(): void {
    this.needsFullSync = true;
  }

  /**
   * Handles the leader's acceptance of a full sync; without a number, it refers to the latest one. Returns
   * false and changes nothing if it refers to an earlier sync.
   */
  onSyncAccepted(syncNumber: number | undefined): boolean {
    // If the leader accepted an earlier sync, a newer one is on its way. When it applies that one, it
    // discards all grants that it sent before and grants their capacity again, so they must not be used here
    // either.
    if (syncNumber !== undefined && syncNumber !== this.syncNumber) return false;
    this.isSynced = true;
    this.needsRequestRebuild = true;
    this.lastRequestsJson = '';
    return true;
  }

  /**
   * Records a timestamp of the leader's clock. The timestamp is sent back to the leader once every
   * cancellation that was stored before it has been turned into stops.
   */
  onTimestamp(leaderTimestamp: number): void {
    this.coverageTracker.add(leaderTimestamp, this.options.clock.now());
  }

  /** Records a received grant, on which a task is placed or which is released before the next requests. */
  onGrantProcessed(grantId: number): void {
    this.lastProcessedGrantId = Math.max(this.lastProcessedGrantId, grantId);
  }

  /** Adds a new or changed placement to the next `placements` message. */
  queuePlacement(placement: PlacementSpec): void {
    this.placementsToSend.push(placement);
  }

  /** Releases an unused grant with the next `release` message: the leader may grant its slot again. */
  releaseGrant(grantId: number): void {
    this.grantsToRelease.push(grantId);
  }

  /** Releases a placement that its worker does not list, so that the leader drops it. */
  releasePlacement(placement: ReleasedPlacement): void {
    this.placementsToRelease.push(placement);
  }

  /** Has the resource requests rebuilt, since they may have changed. */
  invalidateRequests(): void {
    this.needsRequestRebuild = true;
  }

  /** Sends the collected changes, or a full sync if one is due. */
  send(): void {
    if (this.fencingToken === 0) return;
    if (this.needsFullSync) {
      this.sendFullSync();
      return;
    }
    if (!this.isSynced) return;
    this.sendPlacements();
    // The coverage (the time up to which all cancellations have become stops) is sent after the placements,
    // which include the stops that the coverage refers to.
    this.sendCancellationCoverage();
    this.sendReleases();
    this.sendRequests();
  }

  private get senderFields(): { fencingToken: number; instanceId: string } {
    return { fencingToken: this.fencingToken, instanceId: this.options.instanceId };
  }

  /** Sends a full sync, which replaces all changes that have been collected. */
  private sendFullSync(): void {
    const { jobs, shards } = this.options;
    this.needsFullSync = false;
    this.placementsToSend = [];
    this.clearReleases();
    this.options.discardUnsentPlacements();
    this.isSynced = false;
    this.placementMessagesSent = 0;
    this.syncNumber++;
    const messages = fullSyncMessages({
      ...this.senderFields,
      syncNumber: this.syncNumber,
      shardEpochs: shards.loadedEpochs,
      placements: placementsToSync(jobs.values()),
      requests: this.options.listRequests(this.lastProcessedGrantId),
    });
    for (const message of messages) this.options.send(message);
  }

  private sendPlacements(): void {
    if (this.placementsToSend.length === 0) return;
    this.options.send({ type: 'placements', ...this.senderFields, placements: this.placementsToSend });
    this.placementsToSend = [];
    this.placementMessagesSent++;
  }

  private sendCancellationCoverage(): void {
    const leaderTimestamp = this.coverageTracker.takeLatest(this.options.openJobsFreshAsOf());
    if (leaderTimestamp === null) return;
    this.options.send({
      type: 'cancellationCoverage',
      ...this.senderFields,
      syncNumber: this.syncNumber,
      placementMessages: this.placementMessagesSent,
      shardEpochs: this.options.shards.loadedEpochs,
      leaderTimestamp,
    });
  }

  private sendReleases(): void {
    if (this.placementsToRelease.length + this.grantsToRelease.length === 0) return;
    const released = { tasks: this.placementsToRelease, grants: this.grantsToRelease };
    this.options.send({ type: 'release', ...this.senderFields, ...released });
    this.clearReleases();
  }

  private clearReleases(): void {
    this.placementsToRelease = [];
    this.grantsToRelease = [];
  }

  private sendRequests(): void {
    if (!this.needsRequestRebuild) return;
    const now = this.options.clock.now();
    if (now < this.nextRequestsAt) {
      this.options.wakeTimer.wakeAt(this.nextRequestsAt);
      return;
    }
    this.needsRequestRebuild = false;
    const requests = this.options.listRequests(this.lastProcessedGrantId);
    // A long list is sent less often: it is costly for both sides, and little capacity is freed in between.
    const intervalMs = MIN_REQUESTS_INTERVAL_MS + requests.length * REQUESTS_INTERVAL_MS_PER_REQUEST;
    this.nextRequestsAt = now + Math.min(MAX_REQUESTS_INTERVAL_MS, intervalMs);
    const requestsJson = JSON.stringify(requests);
    if (requestsJson === this.lastRequestsJson) return;
    this.lastRequestsJson = requestsJson;
    this.options.send({ type: 'resourceRequests', ...this.senderFields, requests });
  }
}
