/**
 * Fills free capacity with as many tasks of one request as fit. Gangs, of which all tasks or none are placed,
 * are handled in `fill.ts`.
 */

import type { ResourceRequest } from '../../model/placement.js';
import { fits, isAllowed, isFeasible, subtract } from './capacity-filter.js';
import { score } from './capacity-score.js';
import type { CapacityDemand, FreeCapacity } from './free-capacity.js';

/**
 * Number of machines over which the service replicas of one call are spread if there is enough capacity.
 * Replicas of the job that earlier calls placed are not considered.
 */
const TARGET_MACHINES_PER_FILL = 4;

/** Options for filling free capacity. */
export interface FillOptions {
  /**
   * Zone whose on-demand machines are kept for jobs that must be spread over zones (see `findScarceZone`);
   * null: no zone is scarce.
   */
  scarceZone: string | null;
  /** Called for each placed task, after its demand was subtracted from the capacity. */
  onPlaced?: (capacity: FreeCapacity) => void;
}

/**
 * Places up to `count` tasks, best machine first, and subtracts their demand from the capacities. Returns the
 * number of tasks that were not placed. The tasks share the zone allowance of the request, the zone of the
 * first one under zone affinity, and the limits per machine. The request itself is not changed.
 */
export function fillPartially(
  capacities: readonly FreeCapacity[],
  demand: CapacityDemand,
  options: FillOptions,
): number {
  return new PartialFill(demand, options).run(capacities);
}

class PartialFill {
  private readonly request: ResourceRequest;
  private readonly count: number;
  private readonly scarceZone: string | null;
  private readonly zoneAllowance: Record<string, number> | null;
  /**
   * The filled request with its remaining zone allowance and, under zone affinity, the zone of the first
   * task.
   */
  private readonly constrained: ResourceRequest;
  /** Number of tasks that this fill has placed on each capacity. */
  private readonly placedCounts = new Map<FreeCapacity, number>();
  /** Number of tasks of the request that this fill has not placed yet. */
  private remaining: number;

  constructor(
    { request, count }: CapacityDemand,
    private readonly options: FillOptions,
  ) {
    this.request = request;
    this.count = count;
    this.scarceZone = options.scarceZone;
    this.remaining = count;
    this.zoneAllowance = request.zoneAllowance ? { ...request.zoneAllowance } : null;
    this.constrained = { ...request, zoneAllowance: this.zoneAllowance };
  }

  run(capacities: readonly FreeCapacity[]): number {
    for (const perMachineLimit of this.perMachineLimits()) {
      if (this.remaining <= 0) break;
      if (this.remaining === 1) this.placeOneOnBest(capacities, perMachineLimit);
      else this.placeOnRanked(capacities, perMachineLimit);
    }
    return this.remaining;
  }

  /**
   * Limits on the tasks per machine, tried in turn; each limit counts the tasks placed under the earlier
   * limits too. Replicas are spread over several machines: fewer are lost with a machine, and more machines
   * hold the image for the next replicas. If they don't all fit that way, the rest is placed without a limit.
   * The service reserve, which `ServiceReserve` requests with an empty job id, is spare capacity rather than
   * replicas of one job, and is not spread.
   */
  private perMachineLimits(): number[] {
    if (!this.request.isService || this.request.jobId === '') return [this.count];
    const evenShare = Math.max(1, Math.ceil(this.count / TARGET_MACHINES_PER_FILL));
    return evenShare < this.count ? [evenShare, this.count] : [this.count];
  }

  /** Places the only remaining task on the machine with the best score, without ranking the others. */
  private placeOneOnBest(capacities: readonly FreeCapacity[], perMachineLimit: number): void {
    let best: FreeCapacity | null = null;
    let lowestScoreSeconds = Number.POSITIVE_INFINITY;
    for (const capacity of capacities) {
      if (!this.canPlaceOn(capacity, perMachineLimit)) continue;
      const scoreSeconds = score(capacity, this.constrained, this.scarceZone);
      if (scoreSeconds < lowestScoreSeconds) {
        lowestScoreSeconds = scoreSeconds;
        best = capacity;
      }
    }
    if (best) this.fillMachine(best, perMachineLimit);
  }

  /**
   * Fills the machines in the order of their scores. Ranks them only once: placing a task on one machine does
   * not change the score of another.
   */
  private placeOnRanked(capacities: readonly FreeCapacity[], perMachineLimit: number): void {
    const ranked: { capacity: FreeCapacity; scoreSeconds: number }[] = [];
    for (const capacity of capacities)
      if (this.canPlaceOn(capacity, perMachineLimit))
        ranked.push({ capacity, scoreSeconds: score(capacity, this.request, this.scarceZone) });
    ranked.sort((a, b) => a.scoreSeconds - b.scoreSeconds);
    for (const { capacity } of ranked) {
      if (this.remaining <= 0) break;
      this.fillMachine(capacity, perMachineLimit);
    }
  }

  private canPlaceOn(capacity: FreeCapacity, perMachineLimit: number): boolean {
    return (
      isFeasible(capacity, this.constrained, this.scarceZone) && this.placedCount(capacity) < perMachineLimit
    );
  }

  private placedCount(capacity: FreeCapacity): number {
    return this.placedCounts.get(capacity) ?? 0;
  }

  /**
   * Places tasks on one machine until none remains or no more may be placed there: the machine is full, or it
   * or its zone has reached its limit. A machine scores better the fuller it is, so the best stays the best.
   *
   * `canPlaceOn` held for the machine before. Of the conditions of `isFeasible`, placing tasks can only make
   * `fits` and `isAllowed` fail, so the others are not checked again.
   */
  private fillMachine(capacity: FreeCapacity, perMachineLimit: number): void {
    const { request, constrained, zoneAllowance } = this;
    while (
      this.remaining > 0 &&
      fits(capacity, request) &&
      isAllowed(capacity, constrained) &&
      this.placedCount(capacity) < perMachineLimit
    ) {
      if (constrained.zoneAffinity && constrained.zone === null) constrained.zone = capacity.zone;
      subtract(capacity, request);
      if (zoneAllowance)
        zoneAllowance[capacity.zone] = (zoneAllowance[capacity.zone] ?? request.defaultZoneAllowance) - 1;
      this.options.onPlaced?.(capacity);
      this.remaining--;
      this.placedCounts.set(capacity, this.placedCount(capacity) + 1);
    }
  }
}
