/** A controller process: dispatches events, runs the periodic work and handles workers' heartbeats. */

import type { JobApi } from '../api/job-api.js';
import type { ControllerService } from '../model/controller-service.js';
import type { HeartbeatResult } from '../model/heartbeat-result.js';
import type { LeaderRecord } from '../model/records.js';
import type { Heartbeat } from '../model/worker-messages.js';
import { ControllerComponents } from './controller-components.js';
import type { ControllerOptions } from './controller-options.js';
import type { ControllerEvent } from './event-queue.js';

/** Snapshot of a controller's state, for tests. */
export interface ControllerStatus {
  leader: LeaderRecord;
  /** Statistics of the scheduler by name; null unless this controller leads. */
  scheduler: Record<string, number> | null;
  /** Teams whose shard this controller owns. */
  teams: string[];
  shardOwner: { jobs: number; placed: number };
  machineTypeCount: number;
}

const TICK_INTERVAL_MS = 500;
/**
 * Users that cannot be served here are directed to another controller if this one's last store contact is
 * older than a peer's by more than this.
 */
const USER_REDIRECT_LAG_MS = 700;
/**
 * A controller is not ready if its last store contact is older than a peer's by more than this share of its
 * lease's time to live.
 */
const READINESS_LAG_SHARE = 0.6;

/**
 * A controller, composed of components with one responsibility each. All state changes go through the event
 * queue, except for workers' heartbeats, which are handled synchronously.
 */
export class Controller implements ControllerService {
  private readonly components: ControllerComponents;

  constructor(private readonly options: ControllerOptions) {
    this.components = new ControllerComponents(options, {
      handleEvent: (event) => this.handleEvent(event),
      onBatchEnd: () => this.flush(),
    });
  }

  /** Serves users' requests. */
  get api(): JobApi {
    return this.components.api;
  }

  /** Starts to read the store, and starts the periodic tick. */
  start(): void {
    this.components.records.start();
    this.components.openJobs.start();
    const tick = () => {
      this.push({ type: 'tick' });
      this.options.clock.after(TICK_INTERVAL_MS, tick);
    };
    tick();
  }

  /** Queues an event for the next batch. */
  push(event: ControllerEvent): void {
    this.components.queue.push(event);
  }

  /** Handles a worker's heartbeat synchronously. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResult {
    return this.components.workerHeartbeatHandler.handle(heartbeat);
  }

  /**
   * Returns whether the shared records and the open jobs have been read and this controller does not lag
   * behind its peers in contact with the store.
   */
  isReady(): boolean {
    if (!this.components.records.isReady || !this.components.openJobs.isReady) return false;
    // In a store outage that affects all controllers their last store contacts differ little, so none becomes
    // unready.
    return !this.lagsBehindPeers(this.options.leaseTtlMs * READINESS_LAG_SHARE);
  }

  /**
   * Returns whether users that cannot be served here should ask another controller: this one is not ready, or
   * it lags behind a peer in contact with the store. The lag that causes such a redirect is shorter than the
   * one that makes this controller unready.
   */
  shouldRedirectUsers(): boolean {
    return !this.isReady() || this.lagsBehindPeers(USER_REDIRECT_LAG_MS);
  }

  /** Returns a snapshot of the state, for tests. */
  status(): ControllerStatus {
    const { leadership, shardOwner, machineTypes } = this.components;
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
        this.components.peerMessageHandler.onMessage(event.message);
        break;
      case 'peerConnection':
        if (event.isUp) this.components.peerMessageHandler.onConnected(event.nodeName);
        break;
    }
  }

  private flush(): void {
    this.components.shardOwner.flush();
    this.components.leadership.scheduler?.flush();
  }

  private tick(): void {
    const now = this.options.clock.now();
    const { lease, election, assignment, machineTypes, leadership } = this.components;
    const { cancellationCoordinator, imageReplication, peerHeartbeatSender } = this.components;
    lease.renew(now);
    election.campaignIfVacant(now);
    election.deleteStaleRecord(now);
    assignment.assign(now);
    machineTypes.refresh(now);
    leadership.scheduler?.tick();
    const coverage = cancellationCoordinator.updateCoverage(now);
    imageReplication.sendChanges();
    peerHeartbeatSender.send(now, coverage);
  }

  /**
   * Returns whether a recently heard peer's last store contact is over `lagMs` newer than this controller's.
   */
  private lagsBehindPeers(lagMs: number): boolean {
    const { peerRegistry, storeContact } = this.components;
    return peerRegistry.hasPeerWithStoreContactAfter(
      storeContact.lastContactAt + lagMs,
      this.options.clock.now(),
    );
  }
}
