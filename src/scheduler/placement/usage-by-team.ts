/**
 * Usage of the teams during a pass: tasks that use capacity, plus tasks that were granted a slot or found
 * capacity being freed or preempted, minus the CPUs of preempted tasks.
 */

import type { ResourceRequest } from '../../model/placement.js';

/** CPUs and GPUs that each team uses. */
export type UsageByTeam = Map<string, { cpus: number; gpus: number }>;

/** Adds one task of a request to its team's usage; does nothing for an unknown team. */
export function addUsage(usage: UsageByTeam, request: ResourceRequest): void {
  const used = usage.get(request.team);
  if (!used) return;
  used.cpus += request.cpus;
  used.gpus += request.gpus;
}
