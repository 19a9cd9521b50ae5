/** Finds the tasks that stop together because they belong to the same gang. */

import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';

/** Tasks of each gang that are to run and are not finalized, indexed on first use in a pass. */
export class RunningGangs {
  private tasksByJob: Map<string, Allocation[]> | null = null;

  constructor(private readonly state: ClusterState) {}

  /** Clears the index of gang tasks that the previous pass built. */
  beginPass(): void {
    this.tasksByJob = null;
  }

  /** The tasks that stop together with a task: all tasks of its gang, or only the task itself. */
  tasksStoppedWith(allocation: Allocation): readonly Allocation[] {
    if (!allocation.isGang) return [allocation];
    this.tasksByJob ??= this.indexByJob();
    return this.tasksByJob.get(allocation.jobId) ?? [allocation];
  }

  private indexByJob(): Map<string, Allocation[]> {
    const tasksByJob = new Map<string, Allocation[]>();
    for (const machine of this.state.machines.values())
      for (const allocation of machine.allocations.values()) {
        if (!allocation.isGang || allocation.desiredState !== 'run' || allocation.isFinalized) continue;
        const gang = tasksByJob.get(allocation.jobId);
        if (gang) gang.push(allocation);
        else tasksByJob.set(allocation.jobId, [allocation]);
      }
    return tasksByJob;
  }
}
