/** Tells shard owners what became of their placements. */

import type { TaskAttempt } from '../../model/job.js';
import type { AllocationEvent } from '../../model/placement.js';
import { type Allocation, isWithoutStoredPlacement } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** Events not yet sent, by owner. An owner that has not told all it holds gets none: its full sync asks for all of them. */
export class AllocationEvents {
  private readonly unsent = new Map<string, AllocationEvent[]>();

  constructor(
    private readonly options: Pick<SchedulerOptions, 'send'>,
    private readonly state: ClusterState,
  ) {}

  /** Its status, if that was not told before. */
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

  /** This attempt does not run there, and never will. */
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

  /** Sends what has come up since the last call. */
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

/** Tells apart what an owner may be told of an allocation; empty: nothing yet. */
function statusKey({ isFinalized, reportedStatus }: Allocation): string {
  if (isFinalized) return 'finalized';
  return reportedStatus ? `${reportedStatus.phase}/${reportedStatus.exitReason ?? ''}` : '';
}
