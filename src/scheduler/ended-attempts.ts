/** Ended attempts that machines still list. They determine which tasks a machine would refuse. */

import type { TaskStatus } from '../model/worker-messages.js';

/** The tasks of one job that have an ended attempt on a machine. */
export interface EndedTasks {
  readonly tasks: ReadonlySet<number>;
  /** Whether the machine refused one of these attempts as `attemptListed`. */
  readonly hasRefusedAttempt: boolean;
}

/** Shared by all machines that list no ended attempts. */
export const NO_ENDED_TASKS: ReadonlyMap<string, EndedTasks> = new Map();

/** The part of a machine that `EndedAttempts` reads and updates. */
export interface MachineWithEndedTasks {
  readonly name: string;
  /** Tasks with a listed ended attempt, by job. */
  endedTasks: ReadonlyMap<string, EndedTasks>;
}

/**
 * Index of the machines that list ended attempts, by job.
 *
 * A machine that lists any attempt of a task, ended or not, refuses another attempt of it as `attemptListed`.
 * An ended attempt stays listed until the worker is told to forget it, and one that was started by a direct
 * command may only be forgotten under a higher fencing token (see `WorkerCommands`). Tasks that are done are
 * left out: they are never placed again.
 */
export class EndedAttempts {
  private readonly machinesByJob = new Map<string, Map<string, MachineWithEndedTasks>>();

  /** Replaces a machine's previous list, in time linear in the lengths of both lists. */
  update(machine: MachineWithEndedTasks, listed: readonly TaskStatus[]): void {
    const current = endedTasksOf(listed);
    for (const jobId of machine.endedTasks.keys()) if (!current.has(jobId)) this.remove(jobId, machine);
    for (const jobId of current.keys()) this.add(jobId, machine);
    machine.endedTasks = current;
  }

  /** The machines that list ended attempts of a job. */
  machinesOf(jobId: string): Iterable<MachineWithEndedTasks> {
    return this.machinesByJob.get(jobId)?.values() ?? [];
  }

  /** Whether any machine lists an ended attempt of a job. */
  has(jobId: string): boolean {
    return this.machinesByJob.has(jobId);
  }

  private add(jobId: string, machine: MachineWithEndedTasks): void {
    const machines = this.machinesByJob.get(jobId);
    if (machines) machines.set(machine.name, machine);
    else this.machinesByJob.set(jobId, new Map([[machine.name, machine]]));
  }

  private remove(jobId: string, machine: MachineWithEndedTasks): void {
    const machines = this.machinesByJob.get(jobId);
    machines?.delete(machine.name);
    if (machines?.size === 0) this.machinesByJob.delete(jobId);
  }
}

function endedTasksOf(listed: readonly TaskStatus[]): ReadonlyMap<string, EndedTasks> {
  let byJob: Map<string, { tasks: Set<number>; hasRefusedAttempt: boolean }> | null = null;
  for (const { jobId, taskIndex, phase, exitReason } of listed) {
    if (phase !== 'exited' || exitReason === 'done') continue;
    byJob ??= new Map();
    const ended = byJob.get(jobId) ?? { tasks: new Set(), hasRefusedAttempt: false };
    ended.tasks.add(taskIndex);
    if (exitReason === 'attemptListed') ended.hasRefusedAttempt = true;
    byJob.set(jobId, ended);
  }
  return byJob ?? NO_ENDED_TASKS;
}
