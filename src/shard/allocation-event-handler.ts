/**
 * Handles the leader's reports about placements: phases of their tasks, and placements that are finalized
 * although their worker does not list the task.
 */

import type { Clock } from '../model/clock.js';
import type { Logger } from '../model/logger.js';
import type { AllocationEvent } from '../model/placement.js';
import { RateLimitedLog } from '../model/rate-limited-log.js';
import { AVOID_AFTER_REFUSAL_MS } from './grant-assignment.js';
import type { JobStops } from './job-stops.js';
import type { JobTransactions } from './job-transactions.js';
import type { LeaderUpdates } from './leader-updates.js';
import { isReadyToArchive, type OwnedJob, type Placement, toPlacementSpec } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';

/** How long a job avoids a machine on which one of its tasks has failed. */
const AVOID_AFTER_FAILURE_MS = 60_000;
/** Backoff of a job after its first failure; each further failure in a row doubles it, up to the maximum. */
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 60_000;
const MAX_BACKOFF_DOUBLINGS = 7;

type PhaseEvent = Extract<AllocationEvent, { type: 'phase' }>;

/** Settings and dependencies of an `AllocationEventHandler`. */
export interface AllocationEventHandlerOptions {
  jobs: OwnedJobs;
  transactions: JobTransactions;
  stops: JobStops;
  updates: LeaderUpdates;
  clock: Clock;
  log: Logger;
  /** Tasks per placement record. */
  tasksPerChunk: number;
  /** Schedules a flush of the shard owner. */
  wake(): void;
}

/** Counts finished tasks, makes failing jobs back off, and returns unfinished tasks to the fan-out. */
export class AllocationEventHandler {
  private readonly rateLimitedLog: RateLimitedLog;

  constructor(private readonly options: AllocationEventHandlerOptions) {
    this.rateLimitedLog = new RateLimitedLog(options.log, options.clock);
  }

  /**
   * Handles an event of a placement. An event that matches no stored placement only has an effect if it
   * repeats an exit whose outcome is stored.
   */
  handle(event: AllocationEvent): void {
    const job = this.options.jobs.get(event.jobId);
    const placement = job?.placements.get(event.taskIndex);
    if (!job || !placement || !matchesStoredPlacement(event, placement)) {
      if (job && event.type === 'phase') this.onUnmatchedEvent(job, event);
      return;
    }
    if (event.type === 'finalized') this.finalize(job, placement, { isListed: false });
    else if (event.phase === 'exited') this.onExited(job, placement, event);
    else this.onPhaseChanged(job, placement, event);
  }

  private onPhaseChanged(job: OwnedJob, placement: Placement, event: PhaseEvent): void {
    const { transactions, log } = this.options;
    const isRunning = event.phase === 'running';
    if (isRunning === placement.isRunning) return;
    placement.isRunning = isRunning;
    job.runningTasks += isRunning ? 1 : -1;
    if (!isRunning) return;
    // Users see `running` in the stored counter record: one write is enough, when the first task runs.
    if (job.storedRunningTasks === 0) {
      job.storedRunningTasks = 1;
      job.isCounterDirty = true;
      transactions.scheduleWrite(job, transactions.coalescingDelayMs());
    }
    const { jobId, taskIndex, machine } = event;
    log.debug({ jobId, taskIndex, machine }, 'task running');
  }

  private onExited(job: OwnedJob, placement: Placement, event: PhaseEvent): void {
    const { jobId, taskIndex, machine, attempt, exitReason: reason } = event;
    this.options.log.debug({ jobId, taskIndex, machine, attempt, reason }, 'task exited');
    switch (reason) {
      case 'done':
        if (job.spec.kind !== 'service') this.countFinishedTask(job, placement);
        break;
      case 'error':
      case 'unknown':
        this.startBackoff(job, placement, event);
        break;
      case 'noCapacity':
      case 'attemptListed':
        job.avoidedMachines.set(placement.machine, this.options.clock.now() + AVOID_AFTER_REFUSAL_MS);
        this.rateLimitedLog.info({ jobId, taskIndex, attempt, machine, reason }, 'start refused');
        break;
      case 'stopped':
      case 'gangMemberLost':
      case 'gangIncomplete':
      case null:
        break;
    }
    this.finalize(job, placement, { isListed: true });
  }

  private countFinishedTask(job: OwnedJob, placement: Placement): void {
    const { transactions } = this.options;
    if (job.counter.add(placement.taskIndex)) job.isCounterDirty = true;
    // A gang is finished as soon as one of its tasks is: the others are counted now and finalized when their
    // exits are reported.
    if (job.spec.kind === 'gang') for (let task = 0; task < job.spec.taskCount; task++) job.counter.add(task);
    transactions.scheduleWrite(job, job.counter.isComplete ? 0 : transactions.coalescingDelayMs());
    job.failures = 0;
    job.preferredMachine = placement.machine;
  }

  /**
   * Counts a failure of the job, keeps it from requesting capacity for a time that grows with its failures,
   * and makes it avoid the machine.
   */
  private startBackoff(job: OwnedJob, placement: Placement, event: PhaseEvent): void {
    const { clock, updates, log } = this.options;
    const now = clock.now();
    job.failures++;
    job.avoidedMachines.set(placement.machine, now + AVOID_AFTER_FAILURE_MS);
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, job.failures - 1);
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** doublings);
    job.backoffUntil = now + backoffMs;
    const { jobId, taskIndex, machine, exitReason: reason } = event;
    log.info({ jobId, taskIndex, machine, reason, backoffMs }, 'task failed');
    clock.after(backoffMs, () => {
      updates.invalidateRequests();
      this.options.wake();
    });
  }

  /**
   * Ends a placement and schedules the write of its outcome. A task that is not counted as finished is put
   * back to be placed again. If it belongs to a gang, the rest of the gang is stopped. `isListed`: the worker
   * still lists the task and may remove it once the outcome is stored.
   */
  private finalize(job: OwnedJob, placement: Placement, { isListed }: { isListed: boolean }): void {
    const { jobs, transactions, stops, updates, tasksPerChunk } = this.options;
    const { taskIndex, attempt } = placement;
    if (placement.isRunning) job.runningTasks--;
    jobs.removePlacement(job, placement, isListed ? 'exited' : 'lost');
    job.latestAttempts.set(taskIndex, Math.max(attempt, job.latestAttempts.get(taskIndex) ?? 0));
    job.outcomesToStore.push({ placement, isListed });
    if (isReadyToArchive(job)) transactions.scheduleWrite(job, 0);
    // The counter record stores the outcome of a counted task; its placement record needs no write.
    if (!job.counter.has(taskIndex)) {
      job.dirtyChunks.add(Math.floor(taskIndex / tasksPerChunk));
      transactions.scheduleWrite(job, transactions.coalescingDelayMs());
      job.fanOut.putBack(taskIndex);
      if (job.spec.kind === 'gang') stops.stopGang(job, 0);
    }
    updates.invalidateRequests();
  }

  /**
   * Repeats the `forget` for an exit that is reported again although its outcome is stored: the first
   * `forget` was lost with an earlier leader.
   */
  private onUnmatchedEvent(job: OwnedJob, event: PhaseEvent): void {
    if (event.phase !== 'exited' || job.isReloading || !this.isOutcomeStored(job, event)) return;
    this.options.updates.queuePlacement(
      toPlacementSpec(job, { ...event, workerEpoch: 0 }, { desiredState: 'forget' }),
    );
  }

  /**
   * Whether the outcome of this attempt is known to be stored: the task is finished, has no placement, or has
   * had a later attempt, and no change of its records is in flight or still to be written.
   */
  private isOutcomeStored(job: OwnedJob, { taskIndex, attempt }: PhaseEvent): boolean {
    const isLatestAttempt = (job.latestAttempts.get(taskIndex) ?? 0) <= attempt;
    if (!job.counter.has(taskIndex) && isLatestAttempt && job.placements.has(taskIndex)) return false;
    const chunk = Math.floor(taskIndex / this.options.tasksPerChunk);
    if (job.isWriteInFlight || job.isCounterDirty || job.dirtyChunks.has(chunk)) return false;
    return !job.outcomesToStore.some(({ placement }) => placement.taskIndex === taskIndex);
  }
}

function matchesStoredPlacement(event: AllocationEvent, placement: Placement): boolean {
  return placement.attempt === event.attempt && placement.machine === event.machine && placement.isStored;
}
