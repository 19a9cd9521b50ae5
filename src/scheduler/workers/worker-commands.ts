/** What a machine's worker should do now: starts, stops, and removal of ended attempts. */

import type { TaskStatus, WorkerCommand } from '../../model/worker-messages.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

const MAX_COMMANDS_PER_MESSAGE = 200;
/** Ended tasks of a machine that are removed together, and how long one waits for others. */
const FORGET_BATCH = 4;
const MAX_FORGET_DELAY_MS = 20_000;
/** Listed tasks from which a higher token is taken, to remove those that ended: a heartbeat holds some 600. */
const MAX_EXITED_TASKS_LISTED = 300;
/** An owner may just be storing a placement for it, or telling a new leader of one. */
const UNKNOWN_TASK_GRACE_MS = 3000;

/** Chooses the commands that an answer or a direct call carries. */
export class WorkerCommands {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {}

  /** Notes the starts as sent. `heartbeatSequence`: of the heartbeat that is answered; null: for a direct call. */
  commandsFor(machine: Machine, heartbeatSequence: number | null): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    // Stops first: the answer that renews a lease carries all there are.
    addStops(machine, commands);
    this.addStartsAndForgets(machine, heartbeatSequence, commands);
    if (machine.unknownTasks.size > 0) this.addForUnknownTasks(machine, commands);
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
      if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
      if (allocation.isFinalized) continue;
      if (allocation.desiredState === 'run') {
        if (this.noteStart(machine, allocation, heartbeatSequence))
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

  /** Each change of a machine's tasks makes it report once more: ended ones are removed together, or with something else. */
  private areForgetsDue(machine: Machine, count: number, waitedMs: number): boolean {
    return (
      count >= FORGET_BATCH || this.state.blockingMachines.has(machine.name) || waitedMs > MAX_FORGET_DELAY_MS
    );
  }

  /** Returns whether the start is to be sent now. */
  private noteStart(machine: Machine, allocation: Allocation, heartbeatSequence: number | null): boolean {
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
      allocation.agentEpoch !== machine.agentEpoch ||
      !this.options.holdsLeadership()
    )
      return false;
    // What its owner told before a long silence may have been cancelled since.
    return (
      this.state.isSynced(allocation.team) &&
      this.state.leaseRenewal.isUpToDate(allocation.team, this.options.clock.now())
    );
  }

  private addForUnknownTasks(machine: Machine, commands: WorkerCommand[]): void {
    const allSynced = this.state.areAllOwnersSynced();
    const holdsLeadership = this.options.holdsLeadership();
    for (const [key, since] of machine.unknownTasks) {
      if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
      const status = machine.tasks.get(key);
      if (!status || machine.allocations.has(key)) {
        machine.unknownTasks.delete(key);
        continue;
      }
      if (!this.isNobodys(status, since, allSynced)) continue;
      // Also without leadership, since later tokens bar it.
      if (status.phase !== 'exited') commands.push(stopCommand(status, 0));
      else if (holdsLeadership && this.canForget(machine, status, key)) commands.push(forgetCommand(status));
    }
  }

  /** As far as all owners have told; what is cancelled may be stopped before they have. */
  private isNobodys(status: TaskStatus, unknownSince: number, allSynced: boolean): boolean {
    const isCancelled = this.options.isCancelled(status.jobId);
    if (!allSynced && !(isCancelled && status.phase !== 'exited')) return false;
    if (isCancelled) return true;
    const now = this.options.clock.now();
    return now - unknownSince >= UNKNOWN_TASK_GRACE_MS && now - this.state.startedAt >= UNKNOWN_TASK_GRACE_MS;
  }

  /** A start that may still arrive would run the task again once it is forgotten. */
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
   * As long as a worker lists an ended attempt, repeating its start has no effect. A direct command that was carried
   * out may be repeated late, as long as its token is the highest: one that was stopped would run again, perhaps beside
   * its successor. What is done ends at once when it is started again.
   */
  private canForget(machine: Machine, status: TaskStatus, key: string): boolean {
    const { indeterminateStarts, startedAttempts: started } = machine.directCommands;
    if (indeterminateStarts.has(key)) return false;
    if (status.exitReason === 'done' || !started.has(key)) return true;
    // A heartbeat has a limit: under a higher token no repeat counts, and all may go.
    if (machine.tasks.size > MAX_EXITED_TASKS_LISTED)
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
