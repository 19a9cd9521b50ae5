/** What each team uses, as a pass counts it: running tasks, and what it has placed or freed so far. */

import type { ResourceRequest } from '../../model/placement.js';

/** CPUs and GPUs by team. */
export type UsageByTeam = Map<string, { cpus: number; gpus: number }>;

/** One more task of a request counts as running. */
export function addUsage(usage: UsageByTeam, request: ResourceRequest): void {
  const used = usage.get(request.team);
  if (!used) return;
  used.cpus += request.cpus;
  used.gpus += request.gpus;
}
