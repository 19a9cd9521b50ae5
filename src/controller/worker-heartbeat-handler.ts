/**
 * Responses to workers' heartbeats: from the scheduler on the leader, elsewhere a redirect to the leader or,
 * on a controller that is isolated together with its workers, a lease renewal.
 */

import { allowsLeaseRenewal, renewalWindowMs } from '../model/cancellation-coverage.js';
import type { Clock } from '../model/clock.js';
import type { HeartbeatResult } from '../model/heartbeat-result.js';
import type { Heartbeat } from '../model/worker-messages.js';
import type { WorkerTiming } from '../model/worker-timing.js';
import type { CancellationCoordinator } from './cancellation-coordinator.js';
import type { Leadership } from './leadership.js';
import type { PeerRegistry } from './peer-registry.js';
import type { StoreContact } from './store-contact.js';

/** A controller is isolated after this long without the store, the leader and any peer with store contact. */
const ISOLATED_AFTER_MS = 2500;

/** Settings and dependencies of the handling of workers' heartbeats. */
export interface WorkerHeartbeatHandlerOptions {
  nodeName: string;
  workerTiming: WorkerTiming;
  clock: Clock;
  leadership: Leadership;
  peerRegistry: PeerRegistry;
  storeContact: StoreContact;
  cancellationCoordinator: CancellationCoordinator;
}

/** Responds to workers, and records which machines were redirected to the leader. */
export class WorkerHeartbeatHandler {
  private readonly redirectedMachines = new Set<string>();

  constructor(private readonly options: WorkerHeartbeatHandlerOptions) {}

  /** Handles a heartbeat synchronously, because the response contains the worker's commands. */
  handle(heartbeat: Heartbeat): HeartbeatResult {
    const { scheduler } = this.options.leadership;
    if (!scheduler) return this.respondAsFollower(heartbeat);
    const commands = scheduler.handleHeartbeat(heartbeat);
    // The heartbeat contained a higher fencing token, so this controller has stepped down.
    if (commands === null) return this.handle(heartbeat);
    if (commands === 'unavailable') return { type: 'unavailable' };
    return { type: 'accepted', fencingToken: scheduler.fencingToken, commands };
  }

  /**
   * Returns the machines whose workers were redirected to the leader since the last call. Those beyond
   * `limit` are dropped.
   */
  takeRedirectedMachines(limit: number): string[] {
    const machines = [...this.redirectedMachines].slice(0, limit);
    this.redirectedMachines.clear();
    return machines;
  }

  private respondAsFollower(heartbeat: Heartbeat): HeartbeatResult {
    const { leadership, peerRegistry, nodeName, clock } = this.options;
    const { leader } = leadership;
    if (this.mayRenewWhileIsolated(heartbeat, clock.now()))
      return { type: 'accepted', fencingToken: leader.fencingToken, commands: [] };
    this.redirectedMachines.add(heartbeat.machine);
    const hint = peerRegistry.leaderHint;
    const latestLeaderName = hint.fencingToken > leader.fencingToken ? hint.nodeName : leader.nodeName;
    return {
      type: 'redirected',
      leaderName: latestLeaderName !== '' && latestLeaderName !== nodeName ? latestLeaderName : null,
    };
  }

  /**
   * Returns whether this controller, isolated together with its workers, may renew a worker's lease on behalf
   * of the last known leader, with that leader's fencing token and without commands. Otherwise a partitioned
   * zone would lose all of its tasks. Renewal requires recent cancellation coverage (the time up to which all
   * stored cancellations have become stops) from the leader, and is refused for machines on which the leader
   * still had tasks to stop: such a worker may have lost the leader, but not this controller, long before
   * this controller lost the leader.
   */
  private mayRenewWhileIsolated(heartbeat: Heartbeat, now: number): boolean {
    const { leadership, cancellationCoordinator, workerTiming } = this.options;
    if (heartbeat.fencingToken > leadership.leader.fencingToken || !this.isIsolated(now)) return false;
    return allowsLeaseRenewal(cancellationCoordinator.latestCoverage, {
      machine: heartbeat.machine,
      now,
      windowMs: renewalWindowMs(workerTiming),
    });
  }

  /**
   * Returns whether this controller has lost contact with the store, with the known leader, and with every
   * peer that has contact with the store. It is not isolated if it has never heard the leader, or if a peer
   * has reported a newer one.
   */
  private isIsolated(now: number): boolean {
    const { leadership, peerRegistry, storeContact } = this.options;
    const { leader } = leadership;
    const leaderPeer = peerRegistry.get(leader.nodeName);
    if (!leaderPeer || leaderPeer.instanceId !== leader.instanceId) return false;
    if (
      peerRegistry.leaderHint.fencingToken > leader.fencingToken ||
      storeContact.ageMs(now) < ISOLATED_AFTER_MS ||
      now - leaderPeer.lastHeardAt < ISOLATED_AFTER_MS
    )
      return false;
    return !peerRegistry.hasPeerWithRecentStoreContact(ISOLATED_AFTER_MS, now);
  }
}
