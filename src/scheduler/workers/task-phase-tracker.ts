/**
 * Updates an allocation and its machine when the task changes phase: start time, cached images, failed jobs
 * and measured run times. Quarantines machines on which several jobs fail.
 */

import type { TaskStatus } from '../../model/worker-messages.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { SlowMachineDetector } from './slow-machine-detector.js';

/**
 * Number of different jobs that must fail on a machine before the fault is attributed to the machine rather
 * than to the jobs. Failures do not expire: a job counts until one of its tasks is done on the machine.
 */
const FAILED_JOBS_TO_QUARANTINE = 2;

/** Tracks phase changes of tasks. */
export class TaskPhaseTracker {
  private readonly slowMachineDetector: SlowMachineDetector;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {
    this.slowMachineDetector = new SlowMachineDetector(options, state);
  }

  /** Handles a status whose phase differs from the phase last reported for this allocation. */
  onPhaseChange(machine: Machine, allocation: Allocation, status: TaskStatus): void {
    const { phase } = status;
    // A task waits for its gang only once its image is fetched.
    if (phase === 'running' || phase === 'waiting') this.recordImage(machine, allocation);
    if (phase === 'running') allocation.phaseSince = this.options.clock.now();
    if (phase === 'fetching' || phase === 'waiting') allocation.isStartTimeKnown = true;
    if (phase !== 'exited') return;
    if (status.exitReason === 'error') this.onTaskFailed(machine, allocation);
    else if (status.exitReason === 'done') this.onTaskDone(machine, allocation);
  }

  private recordImage(machine: Machine, allocation: Allocation): void {
    // The image is deleted before it is set, so that it becomes the last entry, which is the most recently
    // used one.
    machine.images.delete(allocation.image);
    machine.images.set(allocation.image, allocation.imageGb);
    this.options.imageLocations.add(machine.name, allocation.image, allocation.imageGb);
    this.trimImageCache(machine);
  }

  /**
   * Mirrors the worker's image cache, which drops the least recently used images once it is full. The image
   * locations that are sent to peers keep them.
   */
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
    // A task that was already running when this leader took over would look much too fast, and machines with
    // complete measurements would look slow in comparison. A gang runs at the speed of its slowest machine:
    // its run time says nothing about its other machines.
    if (allocation.estimatedRunSeconds <= 0 || !allocation.isStartTimeKnown || allocation.isGang) return;
    const runSeconds = (this.options.clock.now() - allocation.phaseSince) / 1000;
    this.slowMachineDetector.record(machine, runSeconds / allocation.estimatedRunSeconds);
  }
}
