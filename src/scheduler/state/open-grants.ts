/** Grants whose owners have not told yet that a placement is stored for them. */

import { type Allocation, grantKey } from '../allocation.js';
import type { Machine } from '../machine.js';

/** Open grants by job and by number. */
export class OpenGrants {
  readonly byJob = new Map<string, Set<number>>();
  readonly machinesByGrant = new Map<number, Machine>();

  /** The allocation that holds the grant's capacity; undefined: the grant is no longer open. */
  allocationOf(grantId: number): Allocation | undefined {
    return this.machinesByGrant.get(grantId)?.allocations.get(grantKey(grantId));
  }

  /** Its allocation is gone. */
  remove(allocation: Allocation): void {
    this.machinesByGrant.delete(allocation.grantId);
    const grantIds = this.byJob.get(allocation.jobId);
    grantIds?.delete(allocation.grantId);
    if (grantIds?.size === 0) this.byJob.delete(allocation.jobId);
  }
}
