/**
 * Detects failed machines, and distinguishes them from machines that are only unreachable. Missing heartbeats
 * alone are no proof of a failure: whether peers hear from a machine, whether its whole zone is silent, and
 * how many machines are unresponsive at once decide if a machine is deleted, if it is kept until its lease
 * expires, or if this controller is the one that is partitioned.
 */

import type { ClusterState } from './cluster-state.js';
import { lastPossibleLeaseRenewalAt, type Machine } from './machine.js';
import type { FreeCapacity } from './placement/free-capacity.js';
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
/** Time after the expiry of a machine's lease in which its worker may still be ending its tasks. */
const LEASE_EXPIRY_GRACE_MS = 5000;
/** Tolerance for the redirection of a worker by a peer just before the worker reached this controller. */
const REDIRECT_MARGIN_MS = 2000;
/**
 * Multiple of `probeAfterMs` for which the redirection of a worker to this controller by a peer is evidence
 * that the machine is alive.
 */
const REDIRECT_VALIDITY_PERIODS = 2;
/** Time that workers need, after a change of leader, to be redirected to the new one. */
const REDIRECT_SETTLING_MS = 6000;
/** Share of silent machines above which a zone counts as partitioned, and its minimum number of machines. */
const PARTITIONED_ZONE_SHARE = 0.6;
const MIN_MACHINES_OF_PARTITIONED_ZONE = 3;
/**
 * Number of machines that may be unresponsive or redirected at once without this controller being suspected.
 */
const MAX_INDEPENDENT_FAILURES = 2;
/** Share of the unresponsive machines that peers may have redirected if the machines are at fault. */
const MAX_REDIRECTED_SHARE = 0.1;

/** Actions of the failure detector, which other components of the scheduler implement. */
export interface FailureActions {
  /** Sends a direct command to a worker, whose response shows that it can be reached. */
  probe(machine: Machine): void;
  deleteMachine(machine: Machine, reason: string): void;
  /**
   * Whether an unreachable machine is kept for now, because its replicas would find no capacity elsewhere or
   * its zone is partitioned.
   */
  shouldKeepUnreachable(machine: Machine, capacities: FreeCapacity[], now: number): boolean;
}

/** Machines of one zone. */
interface ZoneCount {
  /** Machines that are not live and do not answer direct commands either. */
  silent: number;
  total: number;
}

/** The result of one check of all machines. */
interface LivenessSummary {
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
  /** Machines that have been unresponsive for longer than allowed: candidates for deletion. */
  readonly expired: Machine[];
  readonly zones: Map<string, ZoneCount>;
}

/** Decides whether machines, zones or this controller itself are at fault. Times in ms. */
export class FailureDetector {
  /**
   * Start of the time in which this controller is suspected of being at fault itself; 0: it is not suspected.
   */
  private selfSuspectedSince = 0;
  private readonly heartbeatIntervalMs: number;
  private readonly leaseMs: number;
  private readonly probeAfterMs: number;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly actions: FailureActions,
  ) {
    this.heartbeatIntervalMs = options.workerTiming.heartbeatIntervalSeconds * 1000;
    this.leaseMs = options.workerTiming.leaseSeconds * 1000;
    this.probeAfterMs = this.heartbeatIntervalMs * PROBE_AFTER_INTERVALS + PROBE_MARGIN_MS;
  }

  /**
   * Records machines whose workers a peer has redirected to the leader: they are alive even if their
   * heartbeats do not arrive here.
   */
  onMachinesRedirected(names: readonly string[]): void {
    const now = this.options.clock.now();
    for (const name of names) {
      const machine = this.state.machines.get(name);
      if (machine) machine.redirectedAt = now;
    }
  }

  /**
   * Probes unresponsive machines and later deletes them, unless this controller may be at fault or
   * {@link FailureActions.shouldKeepUnreachable} applies to them.
   */
  check(now: number): void {
    const summary: LivenessSummary = {
      now,
      machines: 0,
      live: 0,
      answering: 0,
      redirected: 0,
      confirmed: 0,
      reachingPeers: 0,
      expired: [],
      zones: new Map(),
    };
    for (const machine of this.state.machines.values())
      if (!machine.isBeingDeleted && (machine.isUp || machine.allocations.size > 0))
        this.checkMachine(machine, summary);
    if (summary.confirmed * 2 > summary.machines) this.options.onWorkersHeard();
    this.detectPartitionedZones(summary.zones);
    this.handleUnresponsive(summary);
  }

  private checkMachine(machine: Machine, summary: LivenessSummary): void {
    const { now } = summary;
    const zone = countInZone(machine.zone, summary);
    // Only heartbeats renew leases: a machine that only answers direct commands loses its lease.
    const lastRenewalAt = lastPossibleLeaseRenewalAt(machine);
    const lastAliveAt = lastTwoWayContactAt(machine);
    // Workers need some time to find a new leader.
    const unresponsiveMs = now - Math.max(lastAliveAt, this.state.leaderSince + this.heartbeatIntervalMs);
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
      machine.redirectedAt > lastContactAt + REDIRECT_MARGIN_MS &&
      now - machine.redirectedAt < REDIRECT_VALIDITY_PERIODS * this.probeAfterMs
    );
  }

  private probe(machine: Machine, now: number): void {
    if (machine.address !== '' && now - machine.directCommands.lastSentAt > PROBE_INTERVAL_MS)
      this.actions.probe(machine);
  }

  private handleUnresponsive(summary: LivenessSummary): void {
    const { now, expired } = summary;
    if (this.doWorkersReachPeersOnly(summary) && this.options.handoverCandidates().total > 0) {
      this.options.resign('workers reach peers only');
      return;
    }
    if (expired.length > 0 && !this.areMachinesAtFault(summary)) {
      this.suspectSelf(summary);
      return;
    }
    this.selfSuspectedSince = 0;
    this.deleteUnlessKept(expired, now);
  }

  /**
   * Whether more workers reach peers than this controller, so that this controller is partitioned from them. If
   * it waited, one machine after the other would expire, and all of them would be deleted.
   */
  private doWorkersReachPeersOnly({ now, machines, live, redirected }: LivenessSummary): boolean {
    if (now - this.state.leaderSince <= this.probeAfterMs + REDIRECT_SETTLING_MS) return false;
    // Of a few machines, one or two that reach peers are evidence if no other is heard.
    if (live === 0 && redirected > 0 && redirected * 2 >= machines) return true;
    return redirected > Math.max(MAX_INDEPENDENT_FAILURES, live);
  }

  private areMachinesAtFault(summary: LivenessSummary): boolean {
    const { machines, live, redirected } = summary;
    const overdue = machines - live;
    if (live >= overdue) return true;
    const isMany =
      overdue > Math.max(MAX_INDEPENDENT_FAILURES, machines * this.state.policy.maxUnresponsiveShare);
    // Of many machines, the few that are left once others were deleted are no independent failures.
    if (!isMany && this.selfSuspectedSince === 0)
      return live > 0 || !this.couldAnotherLeaderHearMore(summary);
    // This controller still receives heartbeats, and recently heard peers have redirected hardly any of the
    // unresponsive machines, so the machines are at fault.
    return live > 0 && this.options.recentPeerCount() > 0 && redirected < overdue * MAX_REDIRECTED_SHARE;
  }

  private deleteUnlessKept(machines: readonly Machine[], now: number): void {
    if (machines.length === 0) return;
    const capacities = this.state.preemptibleCapacities(now);
    for (const machine of machines)
      if (!this.actions.shouldKeepUnreachable(machine, capacities, now))
        this.actions.deleteMachine(machine, 'unresponsive');
  }

  private suspectSelf(summary: LivenessSummary): void {
    const { now, expired } = summary;
    if (this.selfSuspectedSince === 0) {
      this.selfSuspectedSince = now;
      this.logSuspicion(summary);
    }
    if (
      now - this.selfSuspectedSince > this.heartbeatIntervalMs &&
      this.couldAnotherLeaderHearMore(summary)
    ) {
      this.selfSuspectedSince = now;
      this.options.resign('no heartbeats from any machine');
      return;
    }
    // Machines whose lease has expired are deleted all the same: their tasks have ended in any case.
    for (const machine of expired)
      if (now > this.leaseOverAt(machine)) this.actions.deleteMachine(machine, 'unresponsive past its lease');
  }

  /**
   * Whether to hand over because no heartbeats arrive. If another leader would receive none either, handing
   * over only delays the end of the unresponsive machines: each leader waits for their leases anew.
   */
  private couldAnotherLeaderHearMore({ machines, live, answering, reachingPeers }: LivenessSummary): boolean {
    if (live > 0) return false;
    // If at least half of the machines answer direct commands, their workers cannot reach any controller.
    if (answering * 2 >= machines) return false;
    // Peers report the workers that reach them. Whether any reach the other controllers is not known.
    const { total, reporting } = this.options.handoverCandidates();
    return total > 0 && (reachingPeers > 0 || reporting < total);
  }

  /**
   * When a machine's worker has certainly ended its tasks. An earlier leader may have renewed the lease until
   * this controller became the leader.
   */
  private leaseOverAt(machine: Machine): number {
    const lastAliveAt = Math.max(lastPossibleLeaseRenewalAt(machine), this.state.leaderSince);
    return lastAliveAt + this.leaseMs + LEASE_EXPIRY_GRACE_MS;
  }

  private logSuspicion({ now, machines, live, answering, redirected, expired }: LivenessSummary): void {
    const { total, reporting } = this.options.handoverCandidates();
    const firstLeaseOverAt = Math.min(...expired.map((machine) => this.leaseOverAt(machine)));
    this.options.log.info(
      {
        machines,
        unresponsive: expired.length,
        heard: live,
        answering,
        redirected,
        otherControllers: total,
        reportingControllers: reporting,
        leaderForMs: Math.round(now - this.state.leaderSince),
        firstLeaseOverInMs: Math.round(firstLeaseOverAt - now),
      },
      'many machines unresponsive at once: suspecting this controller',
    );
  }

  /**
   * Finds the zones in which most machines are silent, unless that holds for all zones. Such a zone is
   * probably partitioned, and tasks in it may continue to run.
   */
  private detectPartitionedZones(zones: Map<string, ZoneCount>): void {
    // The zone of a machine is empty until a heartbeat or the cloud's list names it.
    zones.delete('');
    const silentZones: string[] = [];
    for (const [zone, { silent, total }] of zones)
      if (total >= MIN_MACHINES_OF_PARTITIONED_ZONE && silent > total * PARTITIONED_ZONE_SHARE)
        silentZones.push(zone);
    const partitionedZones = silentZones.length < zones.size ? silentZones : [];
    for (const zone of partitionedZones)
      if (!this.state.partitionedZones.has(zone))
        this.options.log.info({ zone }, 'zone appears to be partitioned');
    this.state.partitionedZones = new Set(partitionedZones);
  }
}

/**
 * When a machine's worker was last known to be alive and to receive responses: one that does not receive them
 * counts as unresponsive from the first missed response on.
 */
function lastTwoWayContactAt(machine: Machine): number {
  const lastRenewalAt = lastPossibleLeaseRenewalAt(machine);
  return machine.missedResponses.count >= MISSED_RESPONSES_THRESHOLD
    ? Math.min(lastRenewalAt, machine.missedResponses.since)
    : lastRenewalAt;
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
