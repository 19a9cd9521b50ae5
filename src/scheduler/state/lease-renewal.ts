/** Whether workers' leases may be renewed: only as far as all that users were told to be cancelled has become stops. */

import {
  allowsLeaseRenewal,
  CancellationWatermarks,
  renewalWindowMs,
} from '../../model/cancellation-coverage.js';
import { type Allocation, isWithoutStoredPlacement } from '../allocation.js';
import { type Machine, runsUnknownTask } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** How far cancellations have become stops, by team, and which leases may be renewed by it. */
export class LeaseRenewal {
  readonly watermarks: CancellationWatermarks;
  private readonly renewalWindowMs: number;
  /** Machines on which something may have to be stopped yet. */
  private readonly machinesStopping = new Set<Machine>();

  constructor(
    private readonly options: SchedulerOptions,
    private readonly machines: ReadonlyMap<string, Machine>,
  ) {
    this.watermarks = new CancellationWatermarks([...options.teams.keys()]);
    this.renewalWindowMs = renewalWindowMs(options.workerTiming);
  }

  /** All that was cancelled before some moment young enough has become stops for this team. */
  isUpToDate(team: string, now: number): boolean {
    return now - this.watermark(team, now) <= this.renewalWindowMs;
  }

  /**
   * May this machine's lease be renewed? The answer that does it carries the stops for what was cancelled before the
   * watermark of every team with tasks there; what was cancelled later ends with this lease, in time.
   */
  canRenew(machine: Machine, now: number): boolean {
    if (!this.watermarks.hasAllTeams) return this.inheritedCoverageSuffices(machine, now);
    if (machine.unknownTasks.size > 0 && runsUnknownTask(machine))
      return now - this.lowestWatermark(now) <= this.renewalWindowMs;
    const teams = new Set<string>();
    for (const allocation of machine.allocations.values())
      if (allocation.desiredState !== 'forget' && !isWithoutStoredPlacement(allocation))
        teams.add(allocation.team);
    for (const team of teams) if (!this.isUpToDate(team, now)) return false;
    if (teams.size > 0) return true;
    for (const team of this.options.teams.keys()) if (this.isUpToDate(team, now)) return true;
    return false;
  }

  /** Is to be stopped. */
  noteStop(machine: Machine, allocation: Allocation): void {
    allocation.desiredState = 'stop';
    this.machinesStopping.add(machine);
  }

  /** For peers: see `CancellationCoverage`. Null as long as some owner has not told what it holds. */
  coverage(): { completeUntil: number; pendingMachines: string[] } | null {
    if (!this.watermarks.hasAllTeams) return null;
    const pendingMachines: string[] = [];
    for (const machine of this.machinesStopping) {
      if (this.machines.get(machine.name) === machine && hasPendingStop(machine))
        pendingMachines.push(machine.name);
      else this.machinesStopping.delete(machine);
    }
    return { completeUntil: this.lowestWatermark(this.options.clock.now()), pendingMachines };
  }

  /**
   * Before all owners have told what they hold nobody knows what is on a machine: then what the last leader told of
   * cancellations must do.
   */
  private inheritedCoverageSuffices(machine: Machine, now: number): boolean {
    const coverage = this.options.inheritedCoverage();
    const known = this.options.cancellationsKnown(now);
    // What users were told since is known by name: its tasks are stopped wherever a heartbeat lists them.
    const completeUntil =
      coverage && coverage.completeUntil >= known.since
        ? Math.max(coverage.completeUntil, known.until)
        : (coverage?.completeUntil ?? 0);
    return allowsLeaseRenewal(coverage && { ...coverage, completeUntil }, {
      machine: machine.name,
      now,
      windowMs: this.renewalWindowMs,
    });
  }

  /**
   * Before this time whatever users were told to be cancelled has become stops for a team: by what its owner has read,
   * or, from there on, by what all controllers have told one another.
   */
  private watermark(team: string, now: number): number {
    const ofOwner = this.watermarks.watermarkOf(team);
    const known = this.options.cancellationsKnown(now);
    return ofOwner >= known.since ? Math.max(ofOwner, known.until) : ofOwner;
  }

  private lowestWatermark(now: number): number {
    let lowest = Number.POSITIVE_INFINITY;
    for (const team of this.options.teams.keys()) lowest = Math.min(lowest, this.watermark(team, now));
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
