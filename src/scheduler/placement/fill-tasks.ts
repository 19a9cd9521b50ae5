/** Fills free capacity with tasks of one request, each placed independently of the others. */

import type { ResourceRequest } from '../../model/placement.js';
import { fits, isAllowed, isFeasible, subtract } from './capacity-filter.js';
import { score } from './capacity-score.js';
import type { CapacityDemand, FreeCapacity } from './free-capacity.js';

/** Number of machines over which the replicas of one job are spread if there is enough capacity. */
const TARGET_MACHINES_PER_SERVICE = 4;

/** Options for filling free capacity. */
export interface FillOptions {
  /** Zone whose on-demand machines are left to jobs that must be spread over zones; null: none. */
  scarceZone: string | null;
  /** Called for each placed task, after its demand was subtracted from the capacity. */
  onPlaced?: (capacity: FreeCapacity) => void;
}

/**
 * Places up to `count` tasks, best machine first, and subtracts their demand from the capacities. Returns the
 * number of tasks left.
 */
export function fillTasks(
  capacities: readonly FreeCapacity[],
  demand: CapacityDemand,
  options: FillOptions,
): number {
  return new TaskFill(demand, options).run(capacities);
}

class TaskFill {
  private readonly request: ResourceRequest;
  private readonly count: number;
  private readonly scarceZone: string | null;
  private readonly zoneAllowance: Record<string, number> | null;
  /** The request with its remaining zone allowance and, under zone affinity, the zone of its first task. */
  private readonly constrained: ResourceRequest;
  private readonly placedCounts = new Map<FreeCapacity, number>();
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
    for (const maxPerMachine of this.limitsPerMachine()) {
      if (this.remaining <= 0) break;
      if (this.remaining === 1) this.placeOne(capacities, maxPerMachine);
      else this.placeRanked(capacities, maxPerMachine);
    }
    return this.remaining;
  }

  /**
   * Limits on the tasks per machine, tried in turn. Replicas of a job are spread over several machines: fewer
   * are lost with a machine, and more machines hold the image for the next replicas. The service reserve,
   * which has no job id, is not spread.
   */
  private limitsPerMachine(): number[] {
    if (!this.request.isService || this.request.jobId === '') return [this.count];
    const evenShare = Math.max(1, Math.ceil(this.count / TARGET_MACHINES_PER_SERVICE));
    return evenShare < this.count ? [evenShare, this.count] : [this.count];
  }

  private placeOne(capacities: readonly FreeCapacity[], maxPerMachine: number): void {
    let best: FreeCapacity | null = null;
    let lowestScore = Number.POSITIVE_INFINITY;
    for (const capacity of capacities) {
      if (!this.canPlaceOn(capacity, maxPerMachine)) continue;
      const seconds = score(capacity, this.constrained, this.scarceZone);
      if (seconds < lowestScore) {
        lowestScore = seconds;
        best = capacity;
      }
    }
    if (best) this.placeOn(best, maxPerMachine);
  }

  /** Ranks the machines only once: placing a task on one machine does not change the score of another. */
  private placeRanked(capacities: readonly FreeCapacity[], maxPerMachine: number): void {
    const ranked: { capacity: FreeCapacity; seconds: number }[] = [];
    for (const capacity of capacities)
      if (this.canPlaceOn(capacity, maxPerMachine))
        ranked.push({ capacity, seconds: score(capacity, this.request, this.scarceZone) });
    ranked.sort((a, b) => a.seconds - b.seconds);
    for (const { capacity } of ranked) {
      if (this.remaining <= 0) break;
      this.placeOn(capacity, maxPerMachine);
    }
  }

  private canPlaceOn(capacity: FreeCapacity, maxPerMachine: number): boolean {
    return (
      isFeasible(capacity, this.constrained, this.scarceZone) && this.placedCount(capacity) < maxPerMachine
    );
  }

  private placedCount(capacity: FreeCapacity): number {
    return this.placedCounts.get(capacity) ?? 0;
  }

  /** Places as many tasks as fit: a machine scores better the fuller it is, so the best stays the best. */
  private placeOn(capacity: FreeCapacity, maxPerMachine: number): void {
    const { request, constrained, zoneAllowance } = this;
    while (
      this.remaining > 0 &&
      fits(capacity, request) &&
      isAllowed(capacity, constrained) &&
      this.placedCount(capacity) < maxPerMachine
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
