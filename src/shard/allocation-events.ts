/** What the leader reports of placements: tasks that run, that have exited, and placements that are finalized otherwise. */

import type { Clock } from '../model/clock.js';
import type { Logger } from '../model/logger.js';
import type { AllocationEvent } from '../model/placement.js';
import { RateLimitedLog } from '../model/rate-limited-log.js';
import { AVOID_AFTER_REFUSAL_MS } from './grant-assignment.js';
import type { JobStops } from './job-stops.js';
import type { JobTransactions } from './job-transactions.js';
import type { LeaderUpdates } from './leader-updates.js';
import { isOver, type OwnedJob, type Placement, placementSpecOf } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';

/** So long a machine gets none of a job's tasks after one has failed there. */
const AVOID_AFTER_FAILURE_MS = 60_000;
/** Pause of a job after a failure; each further one in a row doubles it, up to the longest. */
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 60_000;
const MAX_BACKOFF_DOUBLINGS = 7;

type PhaseEvent = Extract<AllocationEvent, { type: 'phase' }>;

/** What the handler works with. */
export interface AllocationEventHandlerOptions {
  jobs: OwnedJobs;
  transactions: JobTransactions;
  stops: JobStops;
  updates: LeaderUpdates;
  clock: Clock;
  log: Logger;
  tasksPerChunk: number;
  wake(): void;
}

/** Counts finished tasks, lets failed jobs back off and gives open tasks back to the release queue. */
export class AllocationEventHandler {
  private readonly limitedLog: RateLimitedLog;

  constructor(private readonly options: AllocationEventHandlerOptions) {
    this.limitedLog = new RateLimitedLog(options.log, options.clock);
  }

  /** One event; those of placements that are not known here as stored change nothing. */
  handle(event: AllocationEvent): void {
    const job = this.options.jobs.get(event.jobId);
    const placement = job?.placements.get(event.taskIndex);
    if (!job || !placement || !isOfPlacement(event, placement)) {
      if (job && event.type === 'phase') this.onRepeatedEvent(job, event);
      return;
    }
    if (event.type === 'finalized') this.finalize(job, placement, { isListed: false });
    else if (event.phase === 'exited') this.onExited(job, placement, event);
    else this.onPhase(job, placement, event);
  }

  private onPhase(job: OwnedJob, placement: Placement, event: PhaseEvent): void {
    const { transactions, log } = this.options;
    const isRunning = event.phase === 'running';
    if (isRunning === placement.isRunning) return;
    placement.isRunning = isRunning;
    job.runningTasks += isRunning ? 1 : -1;
    if (!isRunning) return;
    // Users see `running` from the stored record; one write when the first task runs will do.
    if (job.storedRunningTasks === 0) {
      job.storedRunningTasks = 1;
      job.counterDirty = true;
      transactions.scheduleWrite(job, transactions.lazyDelayMs());
    }
    const { jobId, taskIndex, machine } = event;
    log.debug({ jobId, taskIndex, machine }, 'task running');
  }

  private onExited(job: OwnedJob, placement: Placement, event: PhaseEvent): void {
    const { jobId, taskIndex, machine, attempt, exitReason: reason } = event;
    this.options.log.debug({ jobId, taskIndex, machine, attempt, reason }, 'task exited');
    switch (reason) {
      case 'done':
        if (job.spec.kind !== 'service') this.countFinished(job, placement);
        break;
      case 'error':
      case 'unknown':
        this.backOff(job, placement, event);
        break;
      case 'noCapacity':
      case 'attemptListed':
        job.avoidedMachines.set(placement.machine, this.options.clock.now() + AVOID_AFTER_REFUSAL_MS);
        this.limitedLog.info({ jobId, taskIndex, attempt, machine, reason }, 'start refused');
        break;
      case 'stopped':
      case 'gangMemberLost':
      case 'gangIncomplete':
      case null:
        break;
    }
    this.finalize(job, placement, { isListed: true });
  }

  private countFinished(job: OwnedJob, placement: Placement): void {
    const { transactions } = this.options;
    if (job.counter.add(placement.taskIndex)) job.counterDirty = true;
    // "When one is done, all are": the rest of a gang is counted with it, and finalized as it is reported.
    if (job.spec.kind === 'gang') for (let task = 0; task < job.spec.taskCount; task++) job.counter.add(task);
    transactions.scheduleWrite(job, job.counter.isComplete ? 0 : transactions.lazyDelayMs());
    job.failures = 0;
    job.preferredMachine = placement.machine;
  }

  private backOff(job: OwnedJob, placement: Placement, event: PhaseEvent): void {
    const { clock, updates, log } = this.options;
    const now = clock.now();
    job.failures++;
    job.avoidedMachines.set(placement.machine, now + AVOID_AFTER_FAILURE_MS);
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, job.failures - 1);
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
    job.holdUntil = now + backoffMs;
    const { jobId, taskIndex, machine, exitReason: reason } = event;
    log.info({ jobId, taskIndex, machine, reason, backoffMs }, 'task failed');
    clock.after(backoffMs, () => {
      updates.requestsChanged();
      this.options.wake();
    });
  }

  /** `isListed`: its worker lists it, and may remove it once the outcome is stored. */
  private finalize(job: OwnedJob, placement: Placement, { isListed }: { isListed: boolean }): void {
    const { jobs, transactions, stops, updates, tasksPerChunk } = this.options;
    const { taskIndex, attempt } = placement;
    if (placement.isRunning) job.runningTasks--;
    jobs.removePlacement(job, placement, isListed ? 'exited' : 'lost');
    job.attempts.set(taskIndex, Math.max(attempt, job.attempts.get(taskIndex) ?? 0));
    job.outcomesToStore.push({ placement, isListed });
    if (isOver(job)) transactions.scheduleWrite(job, 0);
    // What the counter has is final by it; its old placement needs no write of its own.
    if (!job.counter.has(taskIndex)) {
      job.dirtyChunks.add(Math.floor(taskIndex / tasksPerChunk));
      transactions.scheduleWrite(job, transactions.lazyDelayMs());
      job.fanOut.putBack(taskIndex);
      if (job.spec.kind === 'gang') stops.stopGang(job, 0);
    }
    updates.requestsChanged();
  }

  /** Reported again after its outcome was stored: the order to remove it was lost with an earlier leader. */
  private onRepeatedEvent(job: OwnedJob, event: PhaseEvent): void {
    if (event.phase !== 'exited' || job.isReloading || !this.isOutcomeStored(job, event)) return;
    this.options.updates.placementChanged(
      placementSpecOf(job, { ...event, workerEpoch: 0 }, { desiredState: 'forget' }),
    );
  }

  private isOutcomeStored(job: OwnedJob, { taskIndex, attempt }: PhaseEvent): boolean {
    const isLatestAttempt = (job.attempts.get(taskIndex) ?? 0) <= attempt;
    if (!job.counter.has(taskIndex) && isLatestAttempt && job.placements.has(taskIndex)) return false;
    const chunk = Math.floor(taskIndex / this.options.tasksPerChunk);
    if (job.writeInFlight || job.counterDirty || job.dirtyChunks.has(chunk)) return false;
    return !job.outcomesToStore.some(({ placement }) => placement.taskIndex === taskIndex);
  }
}

function isOfPlacement(event: AllocationEvent, placement: Placement): boolean {
  return placement.attempt === event.attempt && placement.machine === event.machine && placement.isStored;
}
