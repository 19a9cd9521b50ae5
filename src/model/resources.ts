/** Amounts of machine resources, and how many tasks fit into them. */

/** Tolerance of comparisons: amounts are sums and differences of fractions of CPUs and gigabytes. */
export const EPSILON = 1e-9;

/** An amount of each resource, of a machine or of a task. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Tasks with this demand that fit into what is available; 1 for a task that demands nothing. */
export function slotsIn(available: Resources, demand: Resources): number {
  let slots = Number.POSITIVE_INFINITY;
  if (demand.cpus > 0) slots = Math.min(slots, Math.floor(available.cpus / demand.cpus + EPSILON));
  if (demand.gpus > 0) slots = Math.min(slots, Math.floor(available.gpus / demand.gpus + EPSILON));
  if (demand.memoryGb > 0)
    slots = Math.min(slots, Math.floor(available.memoryGb / demand.memoryGb + EPSILON));
  return Number.isFinite(slots) ? slots : 1;
}
