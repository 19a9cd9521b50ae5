import type { ClusterState, SchedulerOptions } from './cluster-state.js';
import { lastProofOfLife, type Machine } from './machine.js';
import type { FreeCapacity } from './placement/free-capacity.js';

/** So long after its lease a machine that answers but does not report is kept: it may lag in ending its tasks. */
const RECEIVE_ONLY_GRACE_MS = 5000;
/** Part of a zone's machines that are silent when the zone is taken for cut off. */
const PARTITIONED_ZONE_SHARE = 0.6;

/** What follows from a suspicion; carried out by the scheduler. */
export interface FailureActions {
  /** Asks a machine directly. */
  probe(machine: Machine): void;
  remove(machine: Machine, reason: string): void;
  /** Whether a silent machine is left its lease, since its replicas would find no room elsewhere. */
  keepsUnreachable(machine: Machine, capacities: FreeCapacity[], now: number): boolean;
}

/**
 * Tells machines that have failed from those that can't be reached. Silence alone is no proof: siblings that hear of a
 * machine, zones that fall silent as a whole, and how many are silent at once decide whether a machine is deleted, left
 * its lease, or whether this controller is the one that is cut off.
 */
export class FailureDetector {
  private selfSuspectedSince = 0;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly actions: FailureActions,
  ) {}

  /** Machines that asked siblings, as those tell: alive, whatever this controller hears of them. */
  onRedirected(names: string[]): void {
    const now = this.options.clock.now();
    for (const name of names) {
      const machine = this.state.machines.get(name);
      if (machine) machine.redirectedAt = now;
    }
  }

  /** Silent machines: asked directly, then deleted, unless the fault may be here or a whole zone is cut off. */
  check(now: number): void {
    const report = this.options.workerTiming.heartbeatIntervalSeconds * 1000;
    const lease = this.options.workerTiming.leaseSeconds * 1000;
    const probeAfter = report * 1.25 + 1000;
    const silentMs = this.state.policy.silent_s * 1000;
    const silent: Machine[] = [];
    const zones = new Map<string, { quiet: number; all: number }>();
    let heard = 0;
    let counted = 0;
    let strays = 0;
    let answering = 0;
    for (const machine of this.state.machines.values()) {
      if (machine.isBeingDeleted || (!machine.isUp && machine.allocations.size === 0)) continue;
      counted++;
      let zone = zones.get(machine.zone);
      if (!zone) {
        zone = { quiet: 0, all: 0 };
        zones.set(machine.zone, zone);
      }
      zone.all++;
      // Workers need some time to find a new scheduler.
      // One that is heard but does not hear counts as silent from when that began.
      // Reports alone renew leases: one that only answers is mute, and dies of its lease.
      const proven = lastProofOfLife(machine);
      const alive = machine.missedAnswers.count >= 2 ? Math.min(proven, machine.missedAnswers.since) : proven;
      const quiet = now - Math.max(alive, this.state.startedAt + report);
      if (
        machine.missedAnswers.count === 1 &&
        machine.address !== '' &&
        now - machine.directCommands.lastSentAt > 2000
      )
        this.actions.probe(machine);
      if (quiet < probeAfter) {
        heard++;
        continue;
      }
      const mute = machine.heardAt > proven && now - machine.heardAt < probeAfter;
      if (mute) answering++;
      else zone.quiet++;
      if (
        machine.address !== '' &&
        now - machine.directCommands.lastSentAt > 2000 &&
        !machine.directCommands.inFlight
      )
        this.actions.probe(machine);
      if (machine.redirectedAt > proven + 2000 && now - machine.redirectedAt < 2 * probeAfter) {
        strays++;
        if (quiet < lease) continue;
      }
      // A mute machine is left its tasks as long as they may live: the trouble may end before its lease does.
      if (
        quiet > (mute ? lease + RECEIVE_ONLY_GRACE_MS : silentMs) &&
        (mute || machine.directCommands.failures > 0 || machine.address === '')
      )
        silent.push(machine);
    }
    this.judgeZones(zones);
    // They reach siblings and not this controller: it was cut off from its workers, and waiting for them to fall
    // silent one after the other cost two thirds of the fleet (seen on rekrut-szkoly-fleet, apart).
    if (strays > Math.max(2, heard) && now - this.state.startedAt > probeAfter + 6000)
      return this.options.resign('workers reach siblings only');
    if (silent.length === 0) {
      this.selfSuspectedSince = 0;
      return;
    }
    const quiet = counted - heard;
    const many = quiet > Math.max(2, counted * this.state.policy.silent_share) && heard < quiet;
    // Siblings in reach to whom none of them has turned bear out that it is the machines.
    const borneOut = heard > 0 && this.options.reachablePeers() > 0 && strays < quiet * 0.1;
    if (!many || borneOut) {
      const capacities = this.state.preemptibleCapacities(now);
      for (const machine of silent)
        if (!this.actions.keepsUnreachable(machine, capacities, now)) this.actions.remove(machine, 'silent');
      return;
    }
    if (this.selfSuspectedSince === 0) {
      this.selfSuspectedSince = now;
      this.options.log.info(
        { silent: silent.length, heard, strays },
        'many machines silent at once: suspecting this controller',
      );
    }
    // What answers is in reach: then it is the workers that reach nobody, and another leader would hear no more.
    if (heard === 0 && answering * 2 < quiet && now - this.selfSuspectedSince > report) {
      this.selfSuspectedSince = now;
      this.options.resign('no machine can be heard');
      return;
    }
    // Past their lease their tasks are dead in any case.
    for (const machine of silent)
      if (now - Math.max(lastProofOfLife(machine), this.state.startedAt) > lease + RECEIVE_ONLY_GRACE_MS)
        this.actions.remove(machine, 'silent past its lease');
  }

  /** A zone that falls silent as a whole while others are heard is cut off, and may well go on working inside. */
  private judgeZones(zones: Map<string, { quiet: number; all: number }>): void {
    // What no list has told of yet has no zone.
    zones.delete('');
    const cut = [...zones]
      .filter(([, z]) => z.all >= 3 && z.quiet > z.all * PARTITIONED_ZONE_SHARE)
      .map(([name]) => name);
    const now = cut.length < zones.size ? cut : [];
    for (const z of now)
      if (!this.state.cutZones.has(z)) this.options.log.info({ zone: z }, 'zone seems to be cut off');
    this.state.cutZones = new Set(now);
  }
}
