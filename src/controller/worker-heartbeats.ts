/** Heartbeats of workers, by who leads: the scheduler handles them, or the worker is sent on to the leader. */

import { allowsLeaseRenewal, renewalWindowMs } from '../model/cancellation-coverage.js';
import type { Clock } from '../model/clock.js';
import type { HeartbeatResult } from '../model/heartbeat-result.js';
import type { Heartbeat } from '../model/worker-messages.js';
import type { WorkerTiming } from '../model/worker-timing.js';
import type { CancellationCoordinator } from './cancellation-coordinator.js';
import type { Leadership } from './leadership.js';
import type { PeerRegistry } from './peer-registry.js';
import type { StoreContact } from './store-contact.js';

/** So long without the store and any peer in touch with it, a controller counts as isolated. */
const ISOLATED_AFTER_MS = 2500;

/** What the handling of heartbeats needs. */
export interface WorkerHeartbeatsOptions {
  nodeName: string;
  workerTiming: WorkerTiming;
  clock: Clock;
  leadership: Leadership;
  peers: PeerRegistry;
  storeContact: StoreContact;
  coordinator: CancellationCoordinator;
}

/** Answers workers, and remembers which of them turned here instead of to the leader. */
export class WorkerHeartbeats {
  private readonly redirectedMachines = new Set<string>();

  constructor(private readonly options: WorkerHeartbeatsOptions) {}

  /** Handles a heartbeat at once: the answer carries the worker's commands. */
  handle(heartbeat: Heartbeat): HeartbeatResult {
    const { scheduler } = this.options.leadership;
    if (!scheduler) return this.answerAsFollower(heartbeat);
    const commands = scheduler.handleHeartbeat(heartbeat);
    // The heartbeat named a higher token, and this controller has stepped down.
    if (commands === null) return this.handle(heartbeat);
    if (commands === 'later') return { type: 'unavailable' };
    return { type: 'accepted', fencingToken: scheduler.fencingToken, commands };
  }

  /** The machines that were sent on since the last call; no more than so many. */
  takeRedirectedMachines(limit: number): string[] {
    const machines = [...this.redirectedMachines].slice(0, limit);
    this.redirectedMachines.clear();
    return machines;
  }

  private answerAsFollower(heartbeat: Heartbeat): HeartbeatResult {
    const { leadership, peers, nodeName, clock } = this.options;
    const { leader } = leadership;
    if (this.mayRenewWhileIsolated(heartbeat, clock.now()))
      return { type: 'accepted', fencingToken: leader.fencingToken, commands: [] };
    this.redirectedMachines.add(heartbeat.machine);
    const hint = peers.leaderHint;
    const latestLeaderName = hint.fencingToken > leader.fencingToken ? hint.nodeName : leader.nodeName;
    return {
      type: 'redirected',
      leaderName: latestLeaderName !== '' && latestLeaderName !== nodeName ? latestLeaderName : null,
    };
  }

  /**
   * Alone with its workers, without the store and the leader, a controller keeps their leases for the last leader known,
   * with its token and without commands, or a zone that is cut off would lose all it runs. Only by what that leader told
   * of cancellations, and not where it still had something to stop: the worker may have been cut off from it, and not
   * from here, long before the leader was.
   */
  private mayRenewWhileIsolated(heartbeat: Heartbeat, now: number): boolean {
    const { leadership, coordinator, workerTiming } = this.options;
    if (heartbeat.fencingToken > leadership.leader.fencingToken || !this.isIsolated(now)) return false;
    return allowsLeaseRenewal(coordinator.inheritedCoverage, {
      machine: heartbeat.machine,
      now,
      windowMs: renewalWindowMs(workerTiming),
    });
  }

  /** Out of touch with the store, with a leader that was heard before, and with every peer that is in touch with the store. */
  private isIsolated(now: number): boolean {
    const { leadership, peers, storeContact } = this.options;
    const { leader } = leadership;
    const leaderPeer = peers.get(leader.nodeName);
    if (!leaderPeer || leaderPeer.instanceId !== leader.instanceId) return false;
    if (
      peers.leaderHint.fencingToken > leader.fencingToken ||
      storeContact.ageMs(now) < ISOLATED_AFTER_MS ||
      now - leaderPeer.lastHeardAt < ISOLATED_AFTER_MS
    )
      return false;
    return !peers.hasPeerWithRecentStoreContact(ISOLATED_AFTER_MS, now);
  }
}
