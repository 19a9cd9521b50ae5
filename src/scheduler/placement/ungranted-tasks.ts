/** How many tasks of a request are still to be granted a place. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState } from '../cluster-state.js';

/** Counts a request's tasks without those granted whose placement is not stored yet, as far as the leader knows. */
export class UngrantedTasks {
  constructor(
    private readonly state: ClusterState,
    /** Jobs whose owner has declined grants: until when they get none. */
    private readonly declinedUntil: Map<string, number>,
  ) {}

  /** What its owner has taken in of the grants is no longer part of the request. */
  countOf(request: ResourceRequest, now: number): number {
    let count = request.taskCount;
    for (const id of this.state.openGrants.get(request.jobId) ?? [])
      if (id > request.lastProcessedGrantId) count--;
    if (this.isInDeclineBackoff(request.jobId, now)) return 0;
    return request.isGang && count < request.taskCount ? 0 : count;
  }

  private isInDeclineBackoff(jobId: string, now: number): boolean {
    const until = this.declinedUntil.get(jobId);
    if (until === undefined) return false;
    if (until > now) return true;
    this.declinedUntil.delete(jobId);
    return false;
  }
}
