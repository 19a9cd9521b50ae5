/** Amounts of machine resources, and the number of tasks that fit into them. */

/**
 * Tolerance for comparing amounts of resources, which are sums and differences of fractional CPUs and
 * gigabytes.
 */
export const EPSILON = 1e-9;

/** An amount of each resource, provided by a machine or required by a task. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * Returns the number of tasks with this demand that fit into the available resources; 1 for a task without
 * any demand.
 */
export function slotsIn(available: Resources, demand: Resources): number {
  let slots = Number.POSITIVE_INFINITY;
  if (demand.cpus > 0) slots = Math.min(slots, Math.floor(available.cpus / demand.cpus + EPSILON));
  if (demand.gpus > 0) slots = Math.min(slots, Math.floor(available.gpus / demand.gpus + EPSILON));
  if (demand.memoryGb > 0)
    slots = Math.min(slots, Math.floor(available.memoryGb / demand.memoryGb + EPSILON));
  return Number.isFinite(slots) ? slots : 1;
}
