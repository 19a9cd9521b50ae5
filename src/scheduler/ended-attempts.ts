/** Ended attempts that machines still list: they decide which tasks a machine would refuse. */

import type { TaskStatus } from '../model/worker-messages.js';

/** The tasks of one job of which a machine lists an ended attempt. */
export interface EndedTasks {
  readonly tasks: ReadonlySet<number>;
  /** One of them is an attempt that the machine refused as `attemptListed`. */
  readonly hasRefusedAttempt: boolean;
}

/** Shared by all machines that list none. */
export const NO_ENDED_TASKS: ReadonlyMap<string, EndedTasks> = new Map();

/** What is kept of a machine's list here. */
export interface MachineWithEndedTasks {
  readonly name: string;
  /** By job: of which tasks it lists an ended attempt. */
  endedTasks: ReadonlyMap<string, EndedTasks>;
}

/**
 * Ended attempts that machines list, by job.
 *
 * A machine refuses a task of which it lists another attempt, ended or not, as `attemptListed`. An ended attempt stays listed until it
 * is removed, and one that was started directly may only be removed under a higher token (see `WorkerCommands`). Tasks
 * that are done are left out: they are never placed again.
 */
export class EndedAttempts {
  private readonly machinesByJob = new Map<string, Map<string, MachineWithEndedTasks>>();

  /** The list of a machine has changed; costs by its length. */
  update(machine: MachineWithEndedTasks, listed: readonly TaskStatus[]): void {
    const current = endedTasksOf(listed);
    for (const job of machine.endedTasks.keys()) if (!current.has(job)) this.remove(job, machine);
    for (const job of current.keys()) this.add(job, machine);
    machine.endedTasks = current;
  }

  /** Machines that list ended attempts of a job. */
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
  for (const { jobId: job, taskIndex, phase, exitReason: reason } of listed) {
    if (phase !== 'exited' || reason === 'done') continue;
    byJob ??= new Map();
    const ended = byJob.get(job) ?? { tasks: new Set(), hasRefusedAttempt: false };
    ended.tasks.add(taskIndex);
    if (reason === 'attemptListed') ended.hasRefusedAttempt = true;
    byJob.set(job, ended);
  }
  return byJob ?? NO_ENDED_TASKS;
}
