/** Amounts of machine resources, and how many tasks fit into them. */

export const EPSILON = 1e-9;

export function slotsIn(
  available: { cpus: number; gpus: number; memoryGb: number },
  demand: { cpus: number; gpus: number; memoryGb: number },
): number {
  let n = Number.POSITIVE_INFINITY;
  if (demand.cpus > 0) n = Math.min(n, Math.floor(available.cpus / demand.cpus + EPSILON));
  if (demand.gpus > 0) n = Math.min(n, Math.floor(available.gpus / demand.gpus + EPSILON));
  if (demand.memoryGb > 0) n = Math.min(n, Math.floor(available.memoryGb / demand.memoryGb + EPSILON));
  return Number.isFinite(n) ? n : 1;
}

export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}
