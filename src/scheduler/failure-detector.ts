/**
 * Tells machines that have failed from those that can't be reached. Silence alone is no proof: peers that hear of a
 * machine, zones that fall silent as a whole, and how many are silent at once decide whether a machine is deleted, left
 * its lease, or whether this controller is the one that is cut off.
 */

import type { ClusterState } from './cluster-state.js';
import { lastPossibleLeaseRenewalAt, type Machine } from './machine.js';
import type { FreeCapacity } from './placement/free-capacity.js';
import type { SchedulerOptions } from './scheduler-options.js';

/** One missed heartbeat with room for its way: then a machine is probed. */
const PROBE_AFTER_INTERVALS = 1.25;
const PROBE_MARGIN_MS = 1000;
/** Between two probes of one machine. */
const PROBE_INTERVAL_MS = 2000;
/** A machine from which two answers in a row got lost is not heard of any more than one that is silent. */
const MISSED_ANSWERS_THRESHOLD = 2;
/** So long after its lease a machine that answers but does not report is kept: it may lag in ending its tasks. */
const LEASE_EXPIRY_GRACE_MS = 5000;
/** A machine may have asked a peer just before it found this controller. */
const REDIRECT_MARGIN_MS = 2000;
/** Multiple of the time without a heartbeat for which it counts that a machine asked a peer. */
const REDIRECT_VALIDITY_PERIODS = 2;
/** Workers need so long, after a change of leader, to be redirected and to arrive. */
const REDIRECT_SETTLING_MS = 6000;
/** Part of a zone's machines that are silent when the zone is taken for cut off, and how many it must have. */
const PARTITIONED_ZONE_SHARE = 0.6;
const MIN_MACHINES_OF_PARTITIONED_ZONE = 3;
/** So few machines fall silent or go astray without this controller being at fault. */
const MAX_INDEPENDENT_FAILURES = 2;
/** Part of the silent machines that may have asked peers while these still bear out that the machines are at fault. */
const MAX_REDIRECTED_SHARE = 0.1;

/** What follows from a suspicion; carried out by the scheduler. */
export interface FailureActions {
  /** Calls a worker directly. */
  probe(machine: Machine): void;
  remove(machine: Machine, reason: string): void;
  /** Whether a silent machine is left its lease, since its replicas would find no room elsewhere. */
  keepsUnreachable(machine: Machine, capacities: FreeCapacity[], now: number): boolean;
}

interface ZoneCount {
  silent: number;
  total: number;
}

/** Counts of one look at all machines. */
interface LivenessSummary {
  readonly now: number;
  machines: number;
  /** With a heartbeat of late. */
  responsive: number;
  /** Without one, but they answer direct commands. */
  answering: number;
  /** Without one, but they have asked a peer. */
  redirected: number;
  /** Silent for so long that they would be deleted. */
  readonly expired: Machine[];
  readonly zones: Map<string, ZoneCount>;
}

/** Suspects machines, zones and this controller itself. Times in ms. */
export class FailureDetector {
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

  /** Machines that asked peers, as those tell: alive, whatever this controller hears of them. */
  onMachinesRedirected(names: readonly string[]): void {
    const now = this.options.clock.now();
    for (const name of names) {
      const machine = this.state.machines.get(name);
      if (machine) machine.redirectedAt = now;
    }
  }

  /** Silent machines: called directly, then deleted, unless the fault may be here or a whole zone is cut off. */
  check(now: number): void {
    const summary: LivenessSummary = {
      now,
      machines: 0,
      responsive: 0,
      answering: 0,
      redirected: 0,
      expired: [],
      zones: new Map(),
    };
    for (const machine of this.state.machines.values())
      if (!machine.isBeingDeleted && (machine.isUp || machine.allocations.size > 0))
        this.checkMachine(machine, summary);
    this.detectPartitionedZones(summary.zones);
    this.handleUnresponsive(summary);
  }

  private checkMachine(machine: Machine, summary: LivenessSummary): void {
    const { now } = summary;
    const zone = countInZone(machine.zone, summary);
    // Heartbeats alone renew leases: a machine that only answers dies of its lease.
    const lastRenewalAt = lastPossibleLeaseRenewalAt(machine);
    const unresponsiveMs = this.unresponsiveMs(machine, lastRenewalAt, now);
    if (machine.missedAnswers.count === 1) this.probe(machine, now);
    if (unresponsiveMs < this.probeAfterMs) {
      summary.responsive++;
      return;
    }
    const isAnswering = machine.lastHeardAt > lastRenewalAt && now - machine.lastHeardAt < this.probeAfterMs;
    if (isAnswering) summary.answering++;
    else zone.silent++;
    if (!machine.directCommands.inFlight) this.probe(machine, now);
    if (this.isRedirected(machine, lastRenewalAt, now)) {
      summary.redirected++;
      if (unresponsiveMs < this.leaseMs) return;
    }
    // A machine that answers is left its tasks as long as they may live: the trouble may end before its lease does.
    const limitMs = isAnswering
      ? this.leaseMs + LEASE_EXPIRY_GRACE_MS
      : this.state.policy.unresponsiveSeconds * 1000;
    const isUnreachable = machine.directCommands.failures > 0 || machine.address === '';
    if (unresponsiveMs > limitMs && (isAnswering || isUnreachable)) summary.expired.push(machine);
  }

  private unresponsiveMs(machine: Machine, lastRenewalAt: number, now: number): number {
    // One that is heard but does not hear counts as silent from when that began.
    const lastAliveAt =
      machine.missedAnswers.count >= MISSED_ANSWERS_THRESHOLD
        ? Math.min(lastRenewalAt, machine.missedAnswers.since)
        : lastRenewalAt;
    // Workers need some time to find a new leader.
    return now - Math.max(lastAliveAt, this.state.startedAt + this.heartbeatIntervalMs);
  }

  private isRedirected(machine: Machine, lastRenewalAt: number, now: number): boolean {
    return (
      machine.redirectedAt > lastRenewalAt + REDIRECT_MARGIN_MS &&
      now - machine.redirectedAt < REDIRECT_VALIDITY_PERIODS * this.probeAfterMs
    );
  }

  private probe(machine: Machine, now: number): void {
    if (machine.address !== '' && now - machine.directCommands.lastSentAt > PROBE_INTERVAL_MS)
      this.actions.probe(machine);
  }

  private handleUnresponsive(summary: LivenessSummary): void {
    const { now, responsive, redirected, expired } = summary;
    // They reach peers and not this controller: it was cut off from its workers, and to wait for them to fall silent one
    // after the other would delete them all.
    if (
      redirected > Math.max(MAX_INDEPENDENT_FAILURES, responsive) &&
      now - this.state.startedAt > this.probeAfterMs + REDIRECT_SETTLING_MS
    ) {
      this.options.resign('workers reach siblings only');
      return;
    }
    if (expired.length === 0) {
      this.selfSuspectedSince = 0;
      return;
    }
    if (this.areMachinesAtFault(summary)) this.removeUnlessKept(expired, now);
    else this.suspectSelf(summary);
  }

  private areMachinesAtFault({ machines, responsive, redirected }: LivenessSummary): boolean {
    const unresponsive = machines - responsive;
    const isMany =
      unresponsive > Math.max(MAX_INDEPENDENT_FAILURES, machines * this.state.policy.maxUnresponsiveShare) &&
      responsive < unresponsive;
    if (!isMany) return true;
    // Peers in reach to whom none of them has turned bear out that it is the machines.
    return (
      responsive > 0 &&
      this.options.reachablePeerCount() > 0 &&
      redirected < unresponsive * MAX_REDIRECTED_SHARE
    );
  }

  private removeUnlessKept(machines: readonly Machine[], now: number): void {
    const capacities = this.state.preemptibleCapacities(now);
    for (const machine of machines)
      if (!this.actions.keepsUnreachable(machine, capacities, now)) this.actions.remove(machine, 'silent');
  }

  private suspectSelf({ now, machines, responsive, answering, redirected, expired }: LivenessSummary): void {
    const unresponsive = machines - responsive;
    if (this.selfSuspectedSince === 0) {
      this.selfSuspectedSince = now;
      this.options.log.info(
        { unresponsive: expired.length, heard: responsive, redirected },
        'many machines unresponsive at once: suspecting this controller',
      );
    }
    // What answers is in reach: then it is the workers that reach nobody, and another leader would hear no more.
    if (
      responsive === 0 &&
      answering * 2 < unresponsive &&
      now - this.selfSuspectedSince > this.heartbeatIntervalMs
    ) {
      this.selfSuspectedSince = now;
      this.options.resign('no machine can be heard');
      return;
    }
    // Past their lease their tasks are dead in any case.
    for (const machine of expired) {
      const lastAliveAt = Math.max(lastPossibleLeaseRenewalAt(machine), this.state.startedAt);
      if (now - lastAliveAt > this.leaseMs + LEASE_EXPIRY_GRACE_MS)
        this.actions.remove(machine, 'silent past its lease');
    }
  }

  /** A zone that falls silent as a whole while others are heard is cut off, and may well go on working inside. */
  private detectPartitionedZones(zones: Map<string, ZoneCount>): void {
    // What no list has told of yet has no zone.
    zones.delete('');
    const silentZones: string[] = [];
    for (const [zone, { silent, total }] of zones)
      if (total >= MIN_MACHINES_OF_PARTITIONED_ZONE && silent > total * PARTITIONED_ZONE_SHARE)
        silentZones.push(zone);
    const partitionedZones = silentZones.length < zones.size ? silentZones : [];
    for (const zone of partitionedZones)
      if (!this.state.partitionedZones.has(zone)) this.options.log.info({ zone }, 'zone seems to be cut off');
    this.state.partitionedZones = new Set(partitionedZones);
  }
}

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
