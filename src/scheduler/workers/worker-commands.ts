/** Determines the commands for a machine's worker: starts, stops and the forgetting of exited attempts. */

import type { TaskStatus, WorkerCommand } from '../../model/worker-messages.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/**
 * Number of commands in a message from which no further starts, and no further commands for unknown tasks,
 * are added. Stops are not limited, and `forget` commands for allocations are not counted.
 */
const SOFT_COMMAND_LIMIT = 200;
/**
 * Number of exited attempts of a machine that are forgotten together, and how long one of them waits for
 * others.
 */
const FORGET_BATCH_SIZE = 4;
const MAX_FORGET_DELAY_MS = 20_000;
/**
 * Number of attempts listed by a worker, whether exited or not, above which the fencing token is raised, so
 * that exited ones can be forgotten: a heartbeat holds about 600 attempts.
 */
const LISTED_ATTEMPTS_THRESHOLD = 300;
/**
 * Grace period before a task that a worker lists without an allocation is stopped or forgotten as unknown: an
 * owner may still be storing its placement, or reporting the placement to a new leader.
 */
const UNKNOWN_TASK_GRACE_MS = 3000;

/** Chooses the commands that the response to a heartbeat, or a direct call, carries to a worker. */
export class WorkerCommands {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {}

  /**
   * Returns the commands for a machine, and marks their starts as sent. `heartbeatSequence`: of the heartbeat
   * that is responded to; null: for a direct call.
   */
  commandsFor(machine: Machine, heartbeatSequence: number | null): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    // Stops come first and without a limit: a response that renews a lease must carry all pending stops.
    addStops(machine, commands);
    this.addStartsAndForgets(machine, heartbeatSequence, commands);
    if (machine.unknownTasks.size > 0) this.addCommandsForUnknownTasks(machine, commands);
    return commands;
  }

  private addStartsAndForgets(
    machine: Machine,
    heartbeatSequence: number | null,
    commands: WorkerCommand[],
  ): void {
    const forgets: WorkerCommand[] = [];
    const now = this.options.clock.now();
    let oldestSince = now;
    for (const allocation of machine.allocations.values()) {
      if (commands.length >= SOFT_COMMAND_LIMIT) break;
      if (allocation.isFinalized) continue;
      if (allocation.desiredState === 'run') {
        if (this.prepareStart(machine, allocation, heartbeatSequence))
          commands.push({
            type: 'start',
            jobId: allocation.jobId,
            taskIndex: allocation.taskIndex,
            attempt: allocation.attempt,
          });
      } else if (allocation.desiredState === 'forget' && this.canForgetAllocation(machine, allocation)) {
        forgets.push(forgetCommand(allocation));
        oldestSince = Math.min(oldestSince, allocation.phaseSince);
      }
    }
    if (commands.length > 0 || this.areForgetsDue(machine, forgets.length, now - oldestSince))
      commands.push(...forgets);
  }

  /**
   * Whether exited attempts should be forgotten now. Every change to a machine's task list triggers another
   * heartbeat, so `forget` commands are batched or sent with other commands.
   */
  private areForgetsDue(machine: Machine, count: number, longestWaitMs: number): boolean {
    return (
      count >= FORGET_BATCH_SIZE ||
      this.state.blockingMachines.has(machine.name) ||
      longestWaitMs > MAX_FORGET_DELAY_MS
    );
  }

  /** Marks the allocation's start as sent if it is due; returns whether it is. */
  private prepareStart(machine: Machine, allocation: Allocation, heartbeatSequence: number | null): boolean {
    if (
      machine.tasks.has(allocation.key) ||
      allocation.isDirectStartInFlight ||
      !this.canStart(machine, allocation)
    )
      return false;
    if (heartbeatSequence === null) {
      if (allocation.startHeartbeatSequence >= 0) return false;
      allocation.isDirectStartInFlight = true;
      machine.directCommands.startedAttempts.add(allocation.key);
    } else allocation.startHeartbeatSequence = heartbeatSequence;
    allocation.isStartTimeKnown = true;
    return true;
  }

  private canStart(machine: Machine, allocation: Allocation): boolean {
    if (
      !machine.isUp ||
      machine.isBeingDeleted ||
      allocation.hasExited ||
      allocation.workerEpoch !== machine.workerEpoch ||
      !this.options.holdsLeadership()
    )
      return false;
    // The job of an owner that has been silent for long may have been cancelled in the meantime.
    return (
      this.state.isSynced(allocation.team) &&
      this.state.leaseRenewal.isUpToDate(allocation.team, this.options.clock.now())
    );
  }

  private addCommandsForUnknownTasks(machine: Machine, commands: WorkerCommand[]): void {
    const allSynced = this.state.areAllTeamsSynced();
    const holdsLeadership = this.options.holdsLeadership();
    for (const [key, since] of machine.unknownTasks) {
      if (commands.length >= SOFT_COMMAND_LIMIT) break;
      const status = machine.tasks.get(key);
      if (!status || machine.allocations.has(key)) {
        machine.unknownTasks.delete(key);
        continue;
      }
      if (!this.mayEndUnknownTask(status, since, allSynced)) continue;
      // A stop is safe without leadership: a worker that has seen a higher fencing token drops it.
      if (status.phase !== 'exited') commands.push(stopCommand(status, 0));
      else if (holdsLeadership && this.canForget(machine, status, key)) commands.push(forgetCommand(status));
    }
  }

  /**
   * Whether an unknown task may be stopped, or forgotten if it has exited. No owner claims it if it is still
   * unknown some time after all owners are synced (this leader has applied a full sync of each). A task of a
   * cancelled job may be stopped before that, and forgotten as soon as all owners are synced.
   */
  private mayEndUnknownTask(status: TaskStatus, unknownSince: number, allSynced: boolean): boolean {
    const isCancelled = this.options.isCancelled(status.jobId);
    if (!allSynced && !(isCancelled && status.phase !== 'exited')) return false;
    if (isCancelled) return true;
    const now = this.options.clock.now();
    return now - unknownSince >= UNKNOWN_TASK_GRACE_MS && now - this.state.startedAt >= UNKNOWN_TASK_GRACE_MS;
  }

  /**
   * Whether the worker may be told to forget an allocation's attempt. A start command that may still arrive
   * would run the attempt again after that.
   */
  private canForgetAllocation(machine: Machine, allocation: Allocation): boolean {
    const status = machine.tasks.get(allocation.key);
    return (
      status?.phase === 'exited' &&
      !allocation.isDirectStartInFlight &&
      allocation.startHeartbeatSequence < 0 &&
      this.canForget(machine, status, allocation.key)
    );
  }

  /**
   * Whether a worker may be told to forget an exited attempt. While the worker lists the attempt, a repeated
   * start has no effect. A late duplicate of a direct command takes effect as long as its fencing token is
   * the highest: a forgotten attempt that had been stopped would run again, possibly next to its successor.
   * An attempt that is done exits at once when it is started again.
   *
   * Raises the fencing token if too many attempts are listed, so that they can be forgotten under the next
   * one.
   */
  private canForget(machine: Machine, status: TaskStatus, key: string): boolean {
    const { indeterminateStarts, startedAttempts } = machine.directCommands;
    if (indeterminateStarts.has(key)) return false;
    if (status.exitReason === 'done' || !startedAttempts.has(key)) return true;
    // Heartbeats are limited in size. Under a higher token duplicates are dropped, and all exited
    // attempts can be forgotten.
    if (machine.tasks.size > LISTED_ATTEMPTS_THRESHOLD)
      this.options.raiseFencingToken(`${machine.name} keeps ${machine.tasks.size} ended tasks`);
    return false;
  }
}

function addStops(machine: Machine, commands: WorkerCommand[]): void {
  for (const allocation of machine.allocations.values()) {
    if (allocation.desiredState !== 'stop' || allocation.isFinalized) continue;
    const status = machine.tasks.get(allocation.key);
    if (
      !status ||
      status.phase === 'exited' ||
      (status.phase === 'saving' && allocation.gracePeriodSeconds > 0)
    )
      continue;
    commands.push(stopCommand(allocation, allocation.gracePeriodSeconds));
  }
}

function stopCommand(task: Allocation | TaskStatus, gracePeriodSeconds: number): WorkerCommand {
  return {
    type: 'stop',
    jobId: task.jobId,
    taskIndex: task.taskIndex,
    attempt: task.attempt,
    gracePeriodSeconds,
  };
}

function forgetCommand(task: Allocation | TaskStatus): WorkerCommand {
  return { type: 'forget', jobId: task.jobId, taskIndex: task.taskIndex, attempt: task.attempt };
}
