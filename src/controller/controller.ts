/** One controller process: what it does at each command, each tick and each heartbeat of a worker. */

import type { JobApi } from '../api/job-api.js';
import type { ControllerService } from '../model/controller-service.js';
import type { HeartbeatResult } from '../model/heartbeat-result.js';
import type { LeaderRecord } from '../model/records.js';
import type { Heartbeat } from '../model/worker-messages.js';
import type { ControllerOptions } from './controller-options.js';
import { ControllerParts } from './controller-parts.js';
import type { ControllerEvent } from './event-queue.js';

/** What a controller is doing, for logs and tests. */
export interface ControllerStatus {
  leader: LeaderRecord;
  /** Null unless this controller leads. */
  scheduler: Record<string, number> | null;
  /** Teams whose shard this controller owns. */
  teams: string[];
  shardOwner: { jobs: number; placed: number };
  machineTypeCount: number;
}

const TICK_INTERVAL_MS = 500;
/** Lag behind a peer's contact with the store from which users that can't be served are sent on. */
const USER_REDIRECT_LAG_MS = 700;
/** The same, as a share of the lease, from which this controller is not ready. */
const READINESS_LAG_SHARE = 0.6;

/** Composed of parts, each with one job. All changes come through the command queue, but for heartbeats of workers, which are answered at once. */
export class Controller implements ControllerService {
  private readonly parts: ControllerParts;

  constructor(private readonly options: ControllerOptions) {
    this.parts = new ControllerParts(options, {
      handleEvent: (event) => this.handleEvent(event),
      onBatchEnd: () => this.flush(),
    });
  }

  /** Users' requests. */
  get api(): JobApi {
    return this.parts.api;
  }

  /** Begins to read the store and to tick. */
  start(): void {
    this.parts.records.start();
    this.parts.openJobs.start();
    const tick = () => {
      this.push({ type: 'tick' });
      this.options.clock.after(TICK_INTERVAL_MS, tick);
    };
    tick();
  }

  /** Takes a command into the next batch. */
  push(event: ControllerEvent): void {
    this.parts.queue.push(event);
  }

  /** Answers a worker at once. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResult {
    return this.parts.workerHeartbeats.handle(heartbeat);
  }

  /** Ready unless this controller alone is without the store. */
  isReady(): boolean {
    if (!this.parts.records.isReady || !this.parts.openJobs.isReady) return false;
    // In an outage for all nobody was answered much later than another: that must not take every controller out.
    return !this.lagsBehindPeers(this.options.leaseTtlMs * READINESS_LAG_SHARE);
  }

  /** Whether a user who can't be served here had better ask another: sooner known than that this one is not ready. */
  shouldRedirectUsers(): boolean {
    return !this.isReady() || this.lagsBehindPeers(USER_REDIRECT_LAG_MS);
  }

  /** For logs and tests. */
  status(): ControllerStatus {
    const { leadership, shardOwner, machineTypes } = this.parts;
    return {
      leader: leadership.leader,
      scheduler: leadership.scheduler?.stats() ?? null,
      teams: shardOwner.ownedTeams,
      shardOwner: shardOwner.stats(),
      machineTypeCount: machineTypes.machineTypes.length,
    };
  }

  private handleEvent(event: ControllerEvent): void {
    switch (event.type) {
      case 'callback':
        event.run();
        break;
      case 'tick':
        this.tick();
        break;
      case 'peerMessage':
        this.parts.peerMessages.onMessage(event.message);
        break;
      case 'peerConnection':
        if (event.isUp) this.parts.peerMessages.onConnected(event.nodeName);
        break;
    }
  }

  private flush(): void {
    this.parts.shardOwner.flush();
    this.parts.leadership.scheduler?.flush();
  }

  private tick(): void {
    const now = this.options.clock.now();
    const { lease, election, assignment, machineTypes, leadership } = this.parts;
    const { coordinator, images, peerHeartbeats } = this.parts;
    lease.renew(now);
    election.campaignIfVacant(now);
    election.deleteStaleRecord(now);
    assignment.assign(now);
    machineTypes.refresh(now);
    leadership.scheduler?.tick();
    const coverage = coordinator.updateCoverage(now);
    images.sendChanges();
    peerHeartbeats.send(now, coverage);
  }

  /** A peer in touch was answered by the store, by so much later than this controller. */
  private lagsBehindPeers(lagMs: number): boolean {
    const { peers, storeContact } = this.parts;
    return peers.hasPeerWithStoreContactAfter(storeContact.lastContactAt + lagMs, this.options.clock.now());
  }
}
