/**
 * What the owner sends the leader: its full state at first and whenever something may be lost, else what changes. Nothing but
 * full syncs is sent until the leader has accepted the latest one.
 */

import type { Clock } from '../model/clock.js';
import type { PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { ReleasedTask, ShardMessage } from '../model/shard-messages.js';
import { CancellationProgress } from './cancellation-progress.js';
import { fullSyncChunks, placementsToSync } from './full-sync.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { OwnedShards } from './owned-shards.js';
import type { WakeTimer } from './wake-timer.js';

/** Least time between two lists of requests, and what each request in a list adds to it. */
const MIN_REQUESTS_INTERVAL_MS = 10;
const REQUESTS_INTERVAL_MS_PER_REQUEST = 3;
const MAX_REQUESTS_INTERVAL_MS = 300;

/** What the updates are made of, and where they go. */
export interface LeaderUpdatesOptions {
  instanceId: string;
  jobs: OwnedJobs;
  shards: OwnedShards;
  clock: Clock;
  wakeTimer: WakeTimer;
  /** The sending time of the latest read of the unfinished jobs whose changes have been passed on here. */
  openJobsFreshAsOf(): number;
  /** The resource requests of all jobs; `lastProcessedGrantId`: the newest grant of this leader that they take into account. */
  listRequests(lastProcessedGrantId: number): ResourceRequest[];
  /** Gives back the placements that no write has been sent for: a full sync voids their grants. */
  returnUnsentPlacements(): void;
  send(message: ShardMessage): void;
}

/** Collects what changes, and sends it at the end of each batch of commands. */
export class LeaderUpdates {
  /** The token of the leader followed; 0: none is known. */
  fencingToken = 0;
  /** The leader has accepted the latest full sync. */
  isSynced = false;
  private needsFullSync = false;
  private haveRequestsChanged = false;
  private lastRequestsSent = '';
  private nextRequestsAt = 0;
  /** The newest grant of this leader that has been taken in. */
  private lastProcessedGrantId = 0;
  private syncNumber = 0;
  /** Messages with placements since the last full sync. */
  private placementMessagesSent = 0;
  private placementsToSend: PlacementSpec[] = [];
  private tasksToRelease: ReleasedTask[] = [];
  private grantsToRelease: number[] = [];
  private readonly cancellations = new CancellationProgress();

  constructor(private readonly options: LeaderUpdatesOptions) {}

  /** A leader with a higher token is followed from now on, and knows nothing yet. */
  setLeader(fencingToken: number): void {
    this.fencingToken = fencingToken;
    this.cancellations.reset();
    this.lastProcessedGrantId = 0;
    this.resync();
  }

  /** Begins with the next send: a full sync, with nothing else until it is accepted. */
  resync(): void {
    this.isSynced = false;
    this.needsFullSync = true;
  }

  /** The next send is a full sync; until then the latest accepted one counts. */
  requestFullSync(): void {
    this.needsFullSync = true;
  }

  /** The leader has taken in a full sync, the latest one if it does not say which. False: an earlier one. */
  onSyncAccepted(syncNumber: number | undefined): boolean {
    // With another sync on its way, grants sent before that one is taken in are discarded by the leader and must be here:
    // their places are granted again.
    if (syncNumber !== undefined && syncNumber !== this.syncNumber) return false;
    this.isSynced = true;
    this.haveRequestsChanged = true;
    this.lastRequestsSent = '';
    return true;
  }

  /** A time on the leader's clock: it is sent back once all cancellations stored before it have become stops. */
  onTimestamp(leaderTimestamp: number): void {
    this.cancellations.add(leaderTimestamp, this.options.clock.now());
  }

  onGrantTaken(grantId: number): void {
    this.lastProcessedGrantId = Math.max(this.lastProcessedGrantId, grantId);
  }

  placementChanged(placement: PlacementSpec): void {
    this.placementsToSend.push(placement);
  }

  /** A grant is not used. */
  releaseGrant(grantId: number): void {
    this.grantsToRelease.push(grantId);
  }

  /** A placement is finalized, and its worker has nothing to remove. */
  releaseTask(task: ReleasedTask): void {
    this.tasksToRelease.push(task);
  }

  /** The resource requests may have changed. */
  requestsChanged(): void {
    this.haveRequestsChanged = true;
  }

  /** Sends what has come together. */
  send(): void {
    if (this.fencingToken === 0) return;
    if (this.needsFullSync) {
      this.sendFullSync();
      return;
    }
    if (!this.isSynced) return;
    this.sendPlacements();
    // After the stops that follow from what was read.
    this.sendCancellationCoverage();
    this.sendReleases();
    this.sendRequests();
  }

  private get sender(): { fencingToken: number; instanceId: string } {
    return { fencingToken: this.fencingToken, instanceId: this.options.instanceId };
  }

  private sendFullSync(): void {
    const { jobs, shards } = this.options;
    this.needsFullSync = false;
    this.placementsToSend = [];
    this.clearReleases();
    this.options.returnUnsentPlacements();
    this.isSynced = false;
    this.placementMessagesSent = 0;
    this.syncNumber++;
    const chunks = fullSyncChunks({
      ...this.sender,
      syncNumber: this.syncNumber,
      shardEpochs: shards.loadedEpochs,
      placements: placementsToSync(jobs.values()),
      requests: this.options.listRequests(this.lastProcessedGrantId),
    });
    for (const chunk of chunks) this.options.send(chunk);
  }

  private sendPlacements(): void {
    if (this.placementsToSend.length === 0) return;
    this.options.send({ type: 'placements', ...this.sender, placements: this.placementsToSend });
    this.placementsToSend = [];
    this.placementMessagesSent++;
  }

  private sendCancellationCoverage(): void {
    const leaderTimestamp = this.cancellations.takeReached(this.options.openJobsFreshAsOf());
    if (leaderTimestamp === null) return;
    this.options.send({
      type: 'cancellationCoverage',
      ...this.sender,
      syncNumber: this.syncNumber,
      placementMessages: this.placementMessagesSent,
      shardEpochs: this.options.shards.loadedEpochs,
      leaderTimestamp,
    });
  }

  private sendReleases(): void {
    if (this.tasksToRelease.length + this.grantsToRelease.length === 0) return;
    const released = { tasks: this.tasksToRelease, grants: this.grantsToRelease };
    this.options.send({ type: 'release', ...this.sender, ...released });
    this.clearReleases();
  }

  private clearReleases(): void {
    this.tasksToRelease = [];
    this.grantsToRelease = [];
  }

  private sendRequests(): void {
    if (!this.haveRequestsChanged) return;
    const now = this.options.clock.now();
    if (now < this.nextRequestsAt) {
      this.options.wakeTimer.wakeAt(this.nextRequestsAt);
      return;
    }
    this.haveRequestsChanged = false;
    const requests = this.options.listRequests(this.lastProcessedGrantId);
    // A long list is sent less often: it costs both sides, and few places come free between two of them.
    const intervalMs = MIN_REQUESTS_INTERVAL_MS + requests.length * REQUESTS_INTERVAL_MS_PER_REQUEST;
    this.nextRequestsAt = now + Math.min(MAX_REQUESTS_INTERVAL_MS, intervalMs);
    const text = JSON.stringify(requests);
    if (text === this.lastRequestsSent) return;
    this.lastRequestsSent = text;
    this.options.send({ type: 'resourceRequests', ...this.sender, requests });
  }
}
