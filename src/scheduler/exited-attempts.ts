/** Exited attempts that machines still list. They determine which tasks a machine would refuse. */

import type { TaskStatus } from '../model/worker-messages.js';

/** The tasks of one job that have an exited attempt on a machine and are not done. */
export interface ExitedTasks {
  readonly tasks: ReadonlySet<number>;
  /** Whether the machine refused one of these attempts as `attemptListed`. */
  readonly hasRefusedAttempt: boolean;
}

/**
 * The empty map shared by all machines that list no exited attempts, or only those of tasks that are done.
 */
export const NO_EXITED_TASKS: ReadonlyMap<string, ExitedTasks> = new Map();

/** The part of a machine that `ExitedAttempts` reads and updates. */
export interface MachineWithExitedTasks {
  readonly name: string;
  /** Tasks with a listed exited attempt, without tasks that are done, by job. */
  exitedTasks: ReadonlyMap<string, ExitedTasks>;
}

/**
 * Index of the machines that list exited attempts, by job.
 *
 * A machine that lists any attempt of a task, exited or not, refuses another attempt of it as
 * `attemptListed`. An exited attempt stays listed until the worker is told to forget it, and one that was
 * started by a direct command may only be forgotten under a higher fencing token (see `WorkerCommands`).
 * Tasks that are done are left out: they are never placed again.
 */
export class ExitedAttempts {
  private readonly machinesByJob = new Map<string, Map<string, MachineWithExitedTasks>>();

  /**
   * Replaces the attempts that a machine listed before by its present list, in time linear in the lengths of
   * both.
   */
  update(machine: MachineWithExitedTasks, listed: readonly TaskStatus[]): void {
    const current = exitedTasksOf(listed);
    for (const jobId of machine.exitedTasks.keys()) if (!current.has(jobId)) this.remove(jobId, machine);
    for (const jobId of current.keys()) this.add(jobId, machine);
    machine.exitedTasks = current;
  }

  /** The machines that list exited attempts of a job, except attempts of tasks that are done. */
  machinesOf(jobId: string): Iterable<MachineWithExitedTasks> {
    return this.machinesByJob.get(jobId)?.values() ?? [];
  }

  /** Whether {@link machinesOf} returns any machine. */
  has(jobId: string): boolean {
    return this.machinesByJob.has(jobId);
  }

  private add(jobId: string, machine: MachineWithExitedTasks): void {
    const machines = this.machinesByJob.get(jobId);
    if (machines) machines.set(machine.name, machine);
    else this.machinesByJob.set(jobId, new Map([[machine.name, machine]]));
  }

  private remove(jobId: string, machine: MachineWithExitedTasks): void {
    const machines = this.machinesByJob.get(jobId);
    machines?.delete(machine.name);
    if (machines?.size === 0) this.machinesByJob.delete(jobId);
  }
}

function exitedTasksOf(listed: readonly TaskStatus[]): ReadonlyMap<string, ExitedTasks> {
  let byJob: Map<string, { tasks: Set<number>; hasRefusedAttempt: boolean }> | null = null;
  for (const { jobId, taskIndex, phase, exitReason } of listed) {
    if (phase !== 'exited' || exitReason === 'done') continue;
    byJob ??= new Map();
    const exited = byJob.get(jobId) ?? { tasks: new Set(), hasRefusedAttempt: false };
    exited.tasks.add(taskIndex);
    if (exitReason === 'attemptListed') exited.hasRefusedAttempt = true;
    byJob.set(jobId, exited);
  }
  return byJob ?? NO_EXITED_TASKS;
}
