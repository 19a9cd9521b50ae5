/**
 * Decides whether workers' leases may be renewed. A lease is renewed only if all cancellations confirmed to
 * users up to a recent time have become stops, so that no task outlives its cancellation for longer than
 * promised.
 */

import {
  allowsLeaseRenewal,
  CancellationWatermarks,
  renewalWindowMs,
} from '../../model/cancellation-coverage.js';
import { type Allocation, isWithoutStoredPlacement } from '../allocation.js';
import { type Machine, runsUnknownTask } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** Tracks up to when cancellations have become stops, by team, and which leases may therefore be renewed. */
export class LeaseRenewalGuard {
  readonly watermarks: CancellationWatermarks;
  private readonly renewalWindowMs: number;
  /** Machines on which a stop may still be pending. */
  private readonly machinesWithPendingStops = new Set<Machine>();

  constructor(
    private readonly options: SchedulerOptions,
    private readonly machines: ReadonlyMap<string, Machine>,
  ) {
    this.watermarks = new CancellationWatermarks([...options.teams.keys()]);
    this.renewalWindowMs = renewalWindowMs(options.workerTiming);
  }

  /**
   * Whether the team's effective watermark, the time before which all its cancellations confirmed to users
   * have become stops, is recent enough for lease renewals and starts.
   */
  isUpToDate(team: string, now: number): boolean {
    return now - this.effectiveWatermark(team, now) <= this.renewalWindowMs;
  }

  /**
   * Whether this machine's lease may be renewed. The response that renews it also carries the stops of all
   * cancellations before the effective watermarks of the teams with tasks on the machine. Tasks cancelled
   * later end when this lease expires, at the latest, which is within `cancellationSeconds` because the
   * watermarks are recent.
   *
   * A machine that runs a task without an allocation may run tasks of any team, so all teams must be up to
   * date. For a machine without any tasks, one team that is up to date suffices. While some team has no
   * watermark yet, the coverage computed by earlier leaders decides.
   */
  canRenew(machine: Machine, now: number): boolean {
    if (!this.watermarks.hasAllTeams) return this.inheritedCoverageAllowsRenewal(machine, now);
    if (machine.unknownTasks.size > 0 && runsUnknownTask(machine))
      return now - this.lowestEffectiveWatermark(now) <= this.renewalWindowMs;
    const teams = new Set<string>();
    for (const allocation of machine.allocations.values())
      if (allocation.desiredState !== 'forget' && !isWithoutStoredPlacement(allocation))
        teams.add(allocation.team);
    for (const team of teams) if (!this.isUpToDate(team, now)) return false;
    if (teams.size > 0) return true;
    for (const team of this.options.teams.keys()) if (this.isUpToDate(team, now)) return true;
    return false;
  }

  /** Sets the desired state of an allocation to `stop`, and records its machine as having pending stops. */
  stopAllocation(machine: Machine, allocation: Allocation): void {
    allocation.desiredState = 'stop';
    this.machinesWithPendingStops.add(machine);
  }

  /**
   * The cancellation coverage to send to peers: the time up to which the cancellations of all teams have
   * become stops, and the machines where stops are pending. Null while some team has no watermark yet.
   */
  coverage(): { completeUntil: number; pendingMachines: string[] } | null {
    if (!this.watermarks.hasAllTeams) return null;
    const pendingMachines: string[] = [];
    for (const machine of this.machinesWithPendingStops) {
      if (this.machines.get(machine.name) === machine && hasPendingStop(machine))
        pendingMachines.push(machine.name);
      else this.machinesWithPendingStops.delete(machine);
    }
    return { completeUntil: this.lowestEffectiveWatermark(this.options.clock.now()), pendingMachines };
  }

  /**
   * Whether the latest coverage of any leader allows the renewal of a machine's lease. That coverage is used
   * while some team has no watermark: until all have one, the tasks on a machine are not all known, and this
   * leader computes no coverage itself.
   */
  private inheritedCoverageAllowsRenewal(machine: Machine, now: number): boolean {
    const coverage = this.options.latestCoverage();
    const knownPeriod = this.options.knownCancellationPeriod(now);
    // The jobs cancelled within the known period are known by id: their tasks are stopped when a heartbeat
    // lists them.
    const completeUntil =
      coverage && coverage.completeUntil >= knownPeriod.since
        ? Math.max(coverage.completeUntil, knownPeriod.until)
        : (coverage?.completeUntil ?? 0);
    return allowsLeaseRenewal(coverage && { ...coverage, completeUntil }, {
      machine: machine.name,
      now,
      windowMs: this.renewalWindowMs,
    });
  }

  /**
   * The time before which all cancellations of a team that were confirmed to users have become stops. The
   * owner's coverage reaches up to its watermark. If the cancellations announced between controllers are
   * known without a gap from there on, the time extends to the end of the known period.
   */
  private effectiveWatermark(team: string, now: number): number {
    const ownerWatermark = this.watermarks.watermarkOf(team);
    const knownPeriod = this.options.knownCancellationPeriod(now);
    return ownerWatermark >= knownPeriod.since ? Math.max(ownerWatermark, knownPeriod.until) : ownerWatermark;
  }

  private lowestEffectiveWatermark(now: number): number {
    let lowest = Number.POSITIVE_INFINITY;
    for (const team of this.options.teams.keys())
      lowest = Math.min(lowest, this.effectiveWatermark(team, now));
    return lowest;
  }
}

function hasPendingStop(machine: Machine): boolean {
  for (const allocation of machine.allocations.values())
    if (
      allocation.desiredState === 'stop' &&
      !allocation.isFinalized &&
      allocation.reportedStatus?.phase !== 'exited'
    )
      return true;
  return false;
}
