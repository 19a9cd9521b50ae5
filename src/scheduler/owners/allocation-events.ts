/** Reports the status of placements to their shard owners. */

import type { TaskAttempt } from '../../model/job.js';
import type { AllocationEvent } from '../../model/placement.js';
import { type Allocation, isWithoutStoredPlacement } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/**
 * Collects events for each owner until the next `flush`. Owners whose full sync has not been applied (not
 * synced) get none: once it has been, the status of all their allocations is sent.
 */
export class AllocationEvents {
  private readonly unsent = new Map<string, AllocationEvent[]>();

  constructor(
    private readonly options: Pick<SchedulerOptions, 'send'>,
    private readonly state: ClusterState,
  ) {}

  /**
   * Adds an event with the allocation's status. Adds none if the status is the one last sent, if the worker
   * has not reported a status yet, if no placement is stored for the allocation, or while the owner is not
   * synced.
   */
  emitStatus(machine: Machine, allocation: Allocation): void {
    if (isWithoutStoredPlacement(allocation)) return;
    const key = statusKey(allocation);
    if (key === '' || key === allocation.lastSentStatusKey || !this.state.isSynced(allocation.team)) return;
    allocation.lastSentStatusKey = key;
    const { reportedStatus } = allocation;
    if (allocation.isFinalized) this.emitFinalized(allocation.team, allocation, machine.name);
    else if (reportedStatus)
      this.emit(allocation.team, {
        type: 'phase',
        jobId: allocation.jobId,
        taskIndex: allocation.taskIndex,
        attempt: allocation.attempt,
        machine: machine.name,
        phase: reportedStatus.phase,
        exitReason: reportedStatus.exitReason,
        checkpointSaved: reportedStatus.checkpointSaved,
      });
  }

  /** Adds an event that an attempt has ended on its machine and will never run there again. */
  emitFinalized(team: string, { jobId, taskIndex, attempt }: TaskAttempt, machine: string): void {
    this.emit(team, { type: 'finalized', jobId, taskIndex, attempt, machine });
  }

  private emit(team: string, event: AllocationEvent): void {
    const owner = this.state.owners.get(team);
    if (!owner?.isSynced) return;
    const events = this.unsent.get(owner.instanceId);
    if (events) events.push(event);
    else this.unsent.set(owner.instanceId, [event]);
  }

  /** Sends the events added since the last call. */
  flush(): void {
    for (const [instanceId, events] of this.unsent)
      this.options.send(instanceId, {
        type: 'allocationEvents',
        fencingToken: this.state.fencingToken,
        events,
      });
    this.unsent.clear();
  }
}

/** Identifies the status of an allocation that its owner may be sent; empty while there is none. */
function statusKey({ isFinalized, reportedStatus }: Allocation): string {
  if (isFinalized) return 'finalized';
  return reportedStatus ? `${reportedStatus.phase}/${reportedStatus.exitReason ?? ''}` : '';
}
