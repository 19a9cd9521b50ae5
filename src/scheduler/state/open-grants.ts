/** Open grants: those for which the owner has not yet reported a stored placement. */

import { type Allocation, grantKey } from '../allocation.js';
import type { Machine } from '../machine.js';

/** Index of the open grants by job and by id. */
export class OpenGrants {
  /** Ids of the open grants, by job. */
  readonly byJob = new Map<string, Set<number>>();
  /** The machine of each open grant, by grant id. */
  readonly machinesByGrant = new Map<number, Machine>();

  /** The allocation of a grant; undefined if the grant is no longer open. */
  allocationOf(grantId: number): Allocation | undefined {
    return this.machinesByGrant.get(grantId)?.allocations.get(grantKey(grantId));
  }

  /** Removes a grant whose allocation was removed from its machine. */
  remove(allocation: Allocation): void {
    this.machinesByGrant.delete(allocation.grantId);
    const grantIds = this.byJob.get(allocation.jobId);
    grantIds?.delete(allocation.grantId);
    if (grantIds?.size === 0) this.byJob.delete(allocation.jobId);
  }
}
