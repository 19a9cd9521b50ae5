/** Prepares the requests of a placement pass and puts them in the order in which they are served. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState, OwnerRequest } from '../cluster-state.js';
import type { AttemptConflicts } from './attempt-conflicts.js';
import type { JobConditionTimes } from './job-condition-times.js';
import type { UsageByTeam } from './usage-by-team.js';

/** How long a job may find no capacity at all before it may use withheld capacity (see `isFeasible`). */
const STARVED_AFTER_MS = 45_000;

/** A queued request, adjusted for one placement pass. */
export interface PassRequest extends OwnerRequest {
  /** Whether one more task stays within the guaranteed share of its team at the start of the pass. */
  isWithinGuarantee: boolean;
}

/**
 * Unsuccessful placements in earlier passes: since when jobs have found no capacity, and which machines
 * refuse their tasks. The requests of a pass are adjusted by them.
 */
export interface RequestHistory {
  /** Start times of the periods in which no task of a job has found capacity. */
  nothingPlacedSince: JobConditionTimes;
  attemptConflicts: AttemptConflicts;
}

/**
 * Requests of current shard owners, by priority (0 first), guaranteed share (requests within it first),
 * missed objectives (fewest first) and queue position.
 */
export function orderedRequests(
  state: ClusterState,
  history: RequestHistory,
  { usage, now }: { usage: UsageByTeam; now: number },
): PassRequest[] {
  const ordered: PassRequest[] = [];
  for (const [instanceId, requests] of state.requests)
    for (const request of requests) {
      if (!state.isSyncedOwner(instanceId, request.team)) continue;
      const isWithinGuarantee = state.isWithinGuarantee(usage.get(request.team), request.team, request);
      const adjusted = adjustForPass({ request, instanceId, isWithinGuarantee }, history, now);
      ordered.push({ request: adjusted, instanceId, isWithinGuarantee });
    }
  return ordered.sort(
    (left, right) =>
      left.request.priority - right.request.priority ||
      Number(right.isWithinGuarantee) - Number(left.isWithinGuarantee) ||
      left.request.missedObjectives - right.request.missedObjectives ||
      left.request.queuePosition - right.request.queuePosition,
  );
}

/**
 * A copy of the request with the properties that the leader determines for this pass; the request itself if
 * none of these properties differs.
 */
function adjustForPass(
  { request, isWithinGuarantee }: PassRequest,
  { nothingPlacedSince, attemptConflicts }: RequestHistory,
  now: number,
): ResourceRequest {
  const since = nothingPlacedSince.get(request.jobId) ?? now;
  const isStarved = now - since > STARVED_AFTER_MS;
  // A worker that lists an exited attempt of a task refuses the next attempt: slots granted there would be
  // released again and again, each time after other work may have been preempted for them.
  const refusingMachines = attemptConflicts.refusingMachines(request);
  if (!isStarved && !refusingMachines && !(isWithinGuarantee && request.maxWaitSeconds)) return request;
  const adjusted: ResourceRequest = { ...request, isStarved };
  // A team gets its guaranteed share at once, even where the objective leaves time to wait.
  if (isWithinGuarantee && adjusted.maxWaitSeconds) adjusted.maxWaitSeconds = 0;
  if (refusingMachines) adjusted.refusingMachines = refusingMachines;
  return adjusted;
}
