/** What the leader learns from a task's change of phase: images on machines, failing machines, run times. */

import type { TaskStatus } from '../../model/worker-messages.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { SpeedComparison } from './speed-measurement.js';

/** So many different jobs must fail on a machine before the machine, and not the jobs, is taken to be at fault. */
const FAILED_JOBS_TO_QUARANTINE = 2;

/** Follows tasks from phase to phase. */
export class TaskProgress {
  private readonly speeds: SpeedComparison;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {
    this.speeds = new SpeedComparison(options, state);
  }

  /** The status has another phase than the one last reported of this allocation. */
  onPhaseChange(machine: Machine, allocation: Allocation, status: TaskStatus): void {
    const { phase } = status;
    if (phase === 'running' || phase === 'waiting') this.noteImage(machine, allocation);
    if (phase === 'running') allocation.phaseSince = this.options.clock.now();
    if (phase === 'fetching' || phase === 'waiting') allocation.isStartTimeKnown = true;
    if (phase !== 'exited') return;
    if (status.exitReason === 'error') this.onTaskFailed(machine, allocation);
    else if (status.exitReason === 'done') this.onTaskDone(machine, allocation);
  }

  private noteImage(machine: Machine, allocation: Allocation): void {
    machine.images.delete(allocation.image);
    machine.images.set(allocation.image, allocation.imageGb);
    this.options.images.add(machine.name, allocation.image, allocation.imageGb);
    this.trimImageCache(machine);
  }

  /** A worker drops the images used longest ago once its cache is full. */
  private trimImageCache(machine: Machine): void {
    const cacheGb =
      this.state.machineTypes.get(machine.machineType)?.imageCacheGb ?? Number.POSITIVE_INFINITY;
    let totalGb = 0;
    for (const sizeGb of machine.images.values()) totalGb += sizeGb;
    for (const [image, sizeGb] of machine.images) {
      if (totalGb <= cacheGb) break;
      machine.images.delete(image);
      totalGb -= sizeGb;
    }
  }

  private onTaskFailed(machine: Machine, allocation: Allocation): void {
    machine.failedJobs.set(allocation.jobId, this.options.clock.now());
    if (machine.failedJobs.size < FAILED_JOBS_TO_QUARANTINE || machine.isQuarantined) return;
    machine.isQuarantined = true;
    this.options.log.info(
      { machine: machine.name, jobIds: [...machine.failedJobs.keys()] },
      'machine quarantined: several jobs fail on it',
    );
  }

  private onTaskDone(machine: Machine, allocation: Allocation): void {
    machine.failedJobs.delete(allocation.jobId);
    // What ran before this leader looks much too fast, and machines measured in full would look slow beside it. A gang
    // runs at the speed of its slowest machine: its run time tells nothing of the others.
    if (allocation.estimatedRunSeconds <= 0 || !allocation.isStartTimeKnown || allocation.isGang) return;
    const runSeconds = (this.options.clock.now() - allocation.phaseSince) / 1000;
    this.speeds.record(machine, runSeconds / allocation.estimatedRunSeconds);
  }
}
