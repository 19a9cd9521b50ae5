/** The requests of a pass, in the order in which they are served. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState, OwnerRequest } from '../cluster-state.js';
import type { AttemptConflicts } from './attempt-conflicts.js';
import type { JobTimes } from './job-times.js';
import type { TeamUsage } from './team-usage.js';

/** So long nothing of a job may find capacity before it takes what is kept for others. */
const STARVED_AFTER_MS = 45_000;

/** A request as a pass sees it. */
export interface PassRequest extends OwnerRequest {
  isWithinGuarantee: boolean;
}

/** What a pass needs to know of a request besides the request. */
export interface RequestHistory {
  /** Since when nothing at all of a job has found capacity. */
  nothingPlacedSince: JobTimes;
  attemptConflicts: AttemptConflicts;
}

/** Requests of current owners by priority, guarantee, missed objectives and place in the queue. */
export function orderedRequests(
  state: ClusterState,
  history: RequestHistory,
  { usage, now }: { usage: TeamUsage; now: number },
): PassRequest[] {
  const ordered: PassRequest[] = [];
  for (const [instanceId, requests] of state.requests)
    for (const request of requests) {
      if (!state.isCurrentOwner(instanceId, request.team)) continue;
      const isWithinGuarantee = state.isWithinGuarantee(usage.get(request.team), request.team, request);
      const inPass = requestInPass({ request, instanceId, isWithinGuarantee }, history, now);
      ordered.push({ request: inPass, instanceId, isWithinGuarantee });
    }
  return ordered.sort(
    (one, other) =>
      one.request.priority - other.request.priority ||
      Number(other.isWithinGuarantee) - Number(one.isWithinGuarantee) ||
      one.request.missedObjectives - other.request.missedObjectives ||
      one.request.queuePosition - other.request.queuePosition,
  );
}

function requestInPass(
  { request, isWithinGuarantee }: PassRequest,
  { nothingPlacedSince, attemptConflicts }: RequestHistory,
  now: number,
): ResourceRequest {
  const since = nothingPlacedSince.get(request.jobId) ?? now;
  const isStarved = now - since > STARVED_AFTER_MS;
  // A worker that lists an ended attempt of a task refuses the next: places taken there would come back again and again,
  // each time at the cost of work stopped for it.
  const refusingMachines = attemptConflicts.refusingMachines(request);
  if (!isStarved && !refusingMachines && !(isWithinGuarantee && request.maxWaitSeconds)) return request;
  const inPass: ResourceRequest = { ...request, isStarved };
  // A guarantee is to be had at once, whatever the objective allows.
  if (isWithinGuarantee && inPass.maxWaitSeconds) inPass.maxWaitSeconds = 0;
  if (refusingMachines) inPass.refusingMachines = refusingMachines;
  return inPass;
}
