/** Which tasks run as one gang. */

import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';

/** The running tasks of each gang, found when a pass first asks for them. */
export class RunningGangs {
  private tasksByJob: Map<string, Allocation[]> | null = null;

  constructor(private readonly state: ClusterState) {}

  /** Forgets what the last pass found. */
  beginPass(): void {
    this.tasksByJob = null;
  }

  /** All tasks that end when one is stopped: those of its gang, or itself. */
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
