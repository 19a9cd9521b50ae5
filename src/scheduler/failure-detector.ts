/**
 * Detects failed machines, and distinguishes them from machines that are only unreachable. Missing heartbeats
 * alone are no proof of a failure: whether peers hear from a machine, whether its whole zone is silent, and
 * how many machines are unresponsive at once decide if a machine is deleted, if it is kept until its lease
 * expires, or if this controller is the one that is partitioned.
 */

import type { ClusterState } from './cluster-state.js';
import {
  LEASE_EXPIRY_GRACE_MS,
  LivenessCheck,
  type LivenessSummary,
  lastTwoWayContactAt,
  REDIRECT_SETTLING_MS,
} from './liveness-check.js';
import type { Machine } from './machine.js';
import { findPartitionedZones } from './partitioned-zones.js';
import type { FreeCapacity } from './placement/free-capacity.js';
import type { SchedulerOptions } from './scheduler-options.js';

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

/** The suspicion that this controller itself is at fault. */
interface SelfSuspicion {
  since: number;
  /** Number of machines that were overdue at its start. */
  readonly overdue: number;
}

/** Decides whether machines, zones or this controller itself are at fault. Times in ms. */
export class FailureDetector {
  private selfSuspicion: SelfSuspicion | null = null;
  private readonly liveness: LivenessCheck;
  private readonly heartbeatIntervalMs: number;
  private readonly leaseMs: number;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly actions: FailureActions,
  ) {
    this.liveness = new LivenessCheck(options, state, (machine) => actions.probe(machine));
    this.heartbeatIntervalMs = options.workerTiming.heartbeatIntervalSeconds * 1000;
    this.leaseMs = options.workerTiming.leaseSeconds * 1000;
  }

  /**
   * Records machines whose workers a peer has redirected to the leader: they are alive even if their
   * heartbeats do not arrive here.
   */
  onMachinesRedirected(names: readonly string[]): void {
    const now = this.options.clock.now();
    for (const name of names) {
      const machine = this.state.machines.get(name);
      if (machine) this.liveness.recordRedirect(machine, now);
    }
  }

  /**
   * Probes unresponsive machines and later deletes them, unless this controller may be at fault or
   * {@link FailureActions.shouldKeepUnreachable} applies to them.
   */
  check(now: number): void {
    const summary = this.liveness.run(now);
    if (this.areHandoversOutdated(summary)) this.options.forgetHandovers();
    this.updatePartitionedZones(findPartitionedZones(summary.zones));
    this.handleUnresponsive(summary);
  }

  /**
   * Whether it no longer matters which controllers handed over before: workers are heard again, or the machines
   * of that time have been given up.
   */
  private areHandoversOutdated({ now, confirmed, machines }: LivenessSummary): boolean {
    return confirmed * 2 > machines || now - this.state.leaderSince > this.leaseMs + LEASE_EXPIRY_GRACE_MS;
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
    this.selfSuspicion = null;
    this.deleteUnlessKept(
      expired.filter((machine) => summary.live === 0 || this.wereOthersHeardSince(machine, summary)),
      now,
    );
  }

  /**
   * Whether more workers reach peers than this controller, so that this controller is partitioned from them. If
   * it waited, one machine after the other would expire, and all of them would be deleted.
   */
  private doWorkersReachPeersOnly({ now, machines, live, redirected }: LivenessSummary): boolean {
    if (!this.haveWorkersTurnedToPeers(now, this.state.leaderSince)) return false;
    // Of a few machines, one or two that reach peers are evidence if no other is heard.
    if (live === 0 && redirected > 0 && redirected * 2 >= machines) return true;
    return redirected > Math.max(MAX_INDEPENDENT_FAILURES, live);
  }

  private areMachinesAtFault(summary: LivenessSummary): boolean {
    const { machines, live, redirected } = summary;
    const overdue = machines - live;
    if (live >= overdue) return true;
    // Of many machines, the few that are left once others were deleted are no independent failures.
    const isMany =
      Math.max(overdue, this.selfSuspicion?.overdue ?? 0) >
      Math.max(MAX_INDEPENDENT_FAILURES, machines * this.state.policy.maxUnresponsiveShare);
    if (!isMany) return live > 0 || this.doPeersConfirmSilence(summary);
    // This controller still receives heartbeats, and recently heard peers have redirected hardly any of the
    // unresponsive machines, so the machines are at fault.
    return live > 0 && this.options.recentPeerCount() > 0 && redirected < overdue * MAX_REDIRECTED_SHARE;
  }

  /**
   * Whether another machine was heard when this one was overdue already. Before that, all may be silent: the
   * heartbeats of the others may only be due later.
   */
  private wereOthersHeardSince(machine: Machine, { lastContactAt }: LivenessSummary): boolean {
    return lastContactAt > lastTwoWayContactAt(machine) + this.liveness.probeAfterMs;
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
    if (!this.selfSuspicion) {
      this.selfSuspicion = { since: now, overdue: summary.machines - summary.live };
      this.logSuspicion(summary);
    }
    // Machines whose lease has expired are deleted all the same: their tasks have ended in any case.
    const pastLease = expired.filter((machine) => now > this.leaseOverAt(machine));
    for (const machine of pastLease) this.actions.deleteMachine(machine, 'unresponsive past its lease');
    if (
      pastLease.length === 0 &&
      now - this.selfSuspicion.since > this.heartbeatIntervalMs &&
      this.couldAnotherLeaderHearMore(summary)
    ) {
      this.selfSuspicion.since = now;
      this.options.resign('no heartbeats from any machine');
    }
  }

  /** Whether no machine reaches any other controller either, after enough time to turn to one. */
  private doPeersConfirmSilence(summary: LivenessSummary): boolean {
    return (
      this.haveWorkersTurnedToPeers(summary.now, summary.lastContactAt) &&
      !this.couldAnotherLeaderHearMore(summary)
    );
  }

  private haveWorkersTurnedToPeers(now: number, since: number): boolean {
    return now - since > this.liveness.probeAfterMs + REDIRECT_SETTLING_MS;
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

  /** When a machine's worker has certainly ended its tasks. */
  private leaseOverAt(machine: Machine): number {
    return this.state.latestLeaseRenewalAt(machine) + this.leaseMs + LEASE_EXPIRY_GRACE_MS;
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

  private updatePartitionedZones(zones: readonly string[]): void {
    for (const zone of zones)
      if (!this.state.partitionedZones.has(zone))
        this.options.log.info({ zone }, 'zone appears to be partitioned');
    this.state.partitionedZones = new Set(zones);
  }
}
