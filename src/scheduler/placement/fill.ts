/** Fills free capacity with tasks of one request: as many as fit, or all or none for a gang. */

import { slotsIn } from '../../model/resources.js';
import { isFeasible, subtract } from './capacity-filter.js';
import type { CapacityDemand, FreeCapacity } from './free-capacity.js';
import { type FillOptions, fillPartially } from './partial-fill.js';

/**
 * Places up to `count` tasks, all or none for a gang, and subtracts their demand from the capacities. Returns
 * the number of tasks that were not placed.
 */
export function fill(
  capacities: readonly FreeCapacity[],
  demand: CapacityDemand,
  options: FillOptions,
): number {
  if (!demand.request.isGang) return fillPartially(capacities, demand, options);
  const chosen = chooseForGang(capacities, demand, options.scarceZone);
  if (!chosen) return demand.count;
  for (const capacity of chosen) {
    subtract(capacity, demand.request);
    options.onPlaced?.(capacity);
  }
  return 0;
}

/**
 * Chooses a capacity for each task of a gang; several tasks may share one. Null: not all tasks fit. Under
 * zone affinity without a given zone, tries each zone in turn and chooses the first in which they all fit.
 * Leaves the capacities unchanged.
 */
export function chooseForGang(
  capacities: readonly FreeCapacity[],
  { request, count }: CapacityDemand,
  scarceZone: string | null,
): FreeCapacity[] | null {
  const feasible = capacities.filter((capacity) => isFeasible(capacity, request, scarceZone));
  const zones =
    request.zoneAffinity && request.zone === null
      ? new Set(feasible.map((capacity) => capacity.zone))
      : [request.zone];
  for (const zone of zones) {
    const inZone = feasible.filter((capacity) => zone === null || capacity.zone === zone);
    if (inZone.reduce((sum, capacity) => sum + slotsIn(capacity, request), 0) < count) continue;
    const originals = new Map(inZone.map((capacity) => [{ ...capacity }, capacity]));
    const chosen: FreeCapacity[] = [];
    const taskRequest = { ...request, isGang: false, zone };
    const remaining = fillPartially(
      [...originals.keys()],
      { request: taskRequest, count },
      {
        scarceZone,
        onPlaced: (copy) => {
          const original = originals.get(copy);
          if (original) chosen.push(original);
        },
      },
    );
    if (remaining === 0) return chosen;
  }
  return null;
}
