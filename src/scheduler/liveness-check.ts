/** Checks which machines are live, which answer direct commands only, and which reach other controllers. */

import type { ClusterState } from './cluster-state.js';
import { lastPossibleLeaseRenewalAt, type Machine } from './machine.js';
import type { SchedulerOptions } from './scheduler-options.js';

/** A machine is probed after one missed heartbeat, with a margin for the message delay. */
const PROBE_AFTER_INTERVALS = 1.25;
const PROBE_MARGIN_MS = 1000;
/** Minimum interval between two probes of a machine. */
const PROBE_INTERVAL_MS = 2000;
/**
 * Consecutive missed responses from which a machine counts as unresponsive although its heartbeats arrive.
 */
const MISSED_RESPONSES_THRESHOLD = 2;
/**
 * Time that a worker needs to turn to another controller after a missed response: to be redirected to a new
 * leader, or to show that it reaches a peer only.
 */
export const REDIRECT_SETTLING_MS = 6000;
/** Tolerance for the redirection of a worker by a peer just before the worker reached this controller. */
const REDIRECT_MARGIN_MS = 2000;
/**
 * Multiple of `probeAfterMs` for which the redirection of a worker to this controller by a peer is evidence
 * that the machine is alive.
 */
const REDIRECT_VALIDITY_PERIODS = 2;
/** Time after the expiry of a machine's lease in which its worker may still be ending its tasks. */
export const LEASE_EXPIRY_GRACE_MS = 5000;

/** Machines of one zone. */
export interface ZoneCount {
  /** Machines that are not live and do not answer direct commands either. */
  silent: number;
  total: number;
}

/** The result of one check of all machines. */
export interface LivenessSummary {
  readonly now: number;
  machines: number;
  /** Machines with a recent heartbeat, except those that do not receive the responses. */
  live: number;
  /** Machines without a recent heartbeat that answer direct commands. */
  answering: number;
  /** Machines without a recent heartbeat that a peer has redirected. */
  redirected: number;
  /** Live machines whose workers have reported this leader's fencing token. */
  confirmed: number;
  /** Machines that a peer has redirected since they were last known to receive responses from here. */
  reachingPeers: number;
  /** When a worker was last known to receive responses; not before workers could find this leader. */
  lastContactAt: number;
  /** Machines that have been unresponsive for longer than allowed: candidates for deletion. */
  readonly expired: Machine[];
  readonly zones: Map<string, ZoneCount>;
}

/** Checks all machines, and probes those that are overdue. Times in ms. */
export class LivenessCheck {
  /** Time without a heartbeat after which a machine is no longer live. */
  readonly probeAfterMs: number;
  private readonly heartbeatIntervalMs: number;
  private readonly leaseMs: number;

  /** `sendProbe` sends a direct command to a worker, whose response shows that it can be reached. */
  constructor(
    options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly sendProbe: (machine: Machine) => void,
  ) {
    this.heartbeatIntervalMs = options.workerTiming.heartbeatIntervalSeconds * 1000;
    this.leaseMs = options.workerTiming.leaseSeconds * 1000;
    this.probeAfterMs = this.heartbeatIntervalMs * PROBE_AFTER_INTERVALS + PROBE_MARGIN_MS;
  }

  /** Checks the machines that are up, or on which tasks may run, and are not being deleted. */
  run(now: number): LivenessSummary {
    const summary: LivenessSummary = {
      now,
      machines: 0,
      live: 0,
      answering: 0,
      redirected: 0,
      confirmed: 0,
      reachingPeers: 0,
      lastContactAt: 0,
      expired: [],
      zones: new Map(),
    };
    for (const machine of this.state.machines.values()) {
      if (machine.isBeingDeleted) continue;
      if (machine.isUp || machine.allocations.size > 0) this.checkMachine(machine, summary);
      else if (this.keepsReachingPeers(machine, now)) countReachingPeers(summary);
    }
    return summary;
  }

  /** Records that a peer has redirected the machine's worker to this leader. */
  recordRedirect(machine: Machine, now: number): void {
    if (!this.wasRedirectedRecently(machine, now)) machine.redirectedSince = now;
    machine.redirectedAt = now;
  }

  /**
   * Whether a worker that was never heard here keeps turning to peers: a new worker that is redirected once
   * reaches this leader soon after.
   */
  private keepsReachingPeers(machine: Machine, now: number): boolean {
    return (
      this.wasRedirectedRecently(machine, now) &&
      machine.redirectedAt - machine.redirectedSince >= REDIRECT_SETTLING_MS
    );
  }

  private checkMachine(machine: Machine, summary: LivenessSummary): void {
    const { now } = summary;
    const zone = countInZone(machine.zone, summary);
    // Only heartbeats renew leases: a machine that only answers direct commands loses its lease.
    const lastRenewalAt = lastPossibleLeaseRenewalAt(machine);
    const lastAliveAt = lastTwoWayContactAt(machine);
    // Workers need some time to find a new leader.
    const lastContactAt = Math.max(lastAliveAt, this.state.leaderSince + this.heartbeatIntervalMs);
    const unresponsiveMs = now - lastContactAt;
    summary.lastContactAt = Math.max(summary.lastContactAt, lastContactAt);
    if (machine.missedResponses.count === 1) this.probe(machine, now);
    if (unresponsiveMs < this.probeAfterMs) {
      countLive(machine, summary);
      return;
    }
    const isAnswering = machine.lastHeardAt > lastRenewalAt && now - machine.lastHeardAt < this.probeAfterMs;
    if (isAnswering) summary.answering++;
    else zone.silent++;
    if (!machine.directCommands.inFlight) this.probe(machine, now);
    if (this.isRedirected(machine, lastAliveAt, now)) summary.reachingPeers++;
    if (this.isRedirected(machine, lastRenewalAt, now)) {
      summary.redirected++;
      if (unresponsiveMs < this.leaseMs) return;
    }
    // A machine that answers direct commands keeps its tasks while its lease may be valid: its heartbeats may
    // arrive again before the lease expires.
    const limitMs = isAnswering
      ? this.leaseMs + LEASE_EXPIRY_GRACE_MS
      : this.state.policy.unresponsiveSeconds * 1000;
    const isUnreachable = machine.directCommands.failures > 0 || machine.address === '';
    if (unresponsiveMs > limitMs && (isAnswering || isUnreachable)) summary.expired.push(machine);
  }

  /** Whether a peer has redirected a machine recently, and since the given time of its last contact. */
  private isRedirected(machine: Machine, lastContactAt: number, now: number): boolean {
    return (
      machine.redirectedAt > lastContactAt + REDIRECT_MARGIN_MS && this.wasRedirectedRecently(machine, now)
    );
  }

  private wasRedirectedRecently(machine: Machine, now: number): boolean {
    return now - machine.redirectedAt < REDIRECT_VALIDITY_PERIODS * this.probeAfterMs;
  }

  private probe(machine: Machine, now: number): void {
    if (machine.address !== '' && now - machine.directCommands.lastSentAt > PROBE_INTERVAL_MS)
      this.sendProbe(machine);
  }
}

/**
 * When a machine's worker was last known to be alive and to receive responses: one that does not receive them
 * counts as unresponsive from the first missed response on.
 */
export function lastTwoWayContactAt(machine: Machine): number {
  const lastRenewalAt = lastPossibleLeaseRenewalAt(machine);
  return machine.missedResponses.count >= MISSED_RESPONSES_THRESHOLD
    ? Math.min(lastRenewalAt, machine.missedResponses.since)
    : lastRenewalAt;
}

/** Counts a machine whose worker reaches peers and was never heard here. */
function countReachingPeers(summary: LivenessSummary): void {
  summary.machines++;
  summary.redirected++;
  summary.reachingPeers++;
}

function countLive(machine: Machine, summary: LivenessSummary): void {
  summary.live++;
  if (machine.hasCurrentToken) summary.confirmed++;
}

/** Counts a machine in its zone and in the number of machines, and returns the counts of the zone. */
function countInZone(name: string, summary: LivenessSummary): ZoneCount {
  summary.machines++;
  let zone = summary.zones.get(name);
  if (!zone) {
    zone = { silent: 0, total: 0 };
    summary.zones.set(name, zone);
  }
  zone.total++;
  return zone;
}
