/** Counts the tasks of a request that still need a grant. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ClusterState } from '../cluster-state.js';

/**
 * Counts the tasks of a request minus those covered by open grants, that is, grants whose placements are not
 * stored yet as far as the leader knows. Jobs whose shard owner has declined grants get no new grants for a
 * while.
 */
export class UngrantedTasks {
  constructor(
    private readonly state: ClusterState,
    /** Until when jobs whose shard owner has declined grants get no new ones. */
    private readonly declinedUntil: Map<string, number>,
  ) {}

  /**
   * The number of tasks to grant now; 0 while the job gets no grants because its owner has declined some.
   * Open grants up to `lastProcessedGrantId` are not subtracted: the shard owner no longer requests what they
   * cover. A gang with open grants needs no others, since all of its tasks are granted together.
   */
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
