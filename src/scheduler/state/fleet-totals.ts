/**
 * Totals over the whole fleet. They are updated incrementally, so that the cost of a pass depends on the
 * number of changed machines and not on the size of the fleet.
 */

import type { MachineType } from '../../model/machine-type.js';
import { EPSILON } from '../../model/resources.js';
import type { Team } from '../../model/team.js';
import type { Machine } from '../machine.js';
import { emptyTotals, type MachineTotals, totalsOf } from '../machine-totals.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** CPUs and GPUs in use by the tasks of a team. */
export interface ResourceUsage {
  cpus: number;
  gpus: number;
}

/** Totals of the tasks that use capacity, over the whole fleet. */
export interface FleetTaskTotals {
  /** Number of service replicas. */
  replicas: number;
  replicaCpus: number;
  batchTasks: number;
  /** Number of tasks that are to run, by priority. */
  runningByPriority: [number, number, number, number];
}

const PRIORITIES = [0, 1, 2, 3] as const;

/** Keeps the fleet's totals, and the sets of machines with capacity that is free or about to be freed. */
export class FleetTotals {
  /** Machines that have changed since the last `refresh`. */
  private readonly changedMachines = new Set<Machine>();
  /** Machines of known type that are up and have free CPUs. */
  readonly machinesWithCapacity = new Set<Machine>();
  /** Machines of known type that are up and on which tasks are being stopped, or were requested to be. */
  readonly machinesWithStops = new Set<Machine>();
  readonly taskTotals: FleetTaskTotals = {
    replicas: 0,
    replicaCpus: 0,
    batchTasks: 0,
    runningByPriority: [0, 0, 0, 0],
  };
  /** Machine types by name, as of the last `refresh`. */
  machineTypes = new Map<string, MachineType>();
  private machineTypeList: MachineType[] = [];
  private readonly usageByTeam = new Map<string, ResourceUsage>();

  constructor(
    private readonly options: Pick<SchedulerOptions, 'machineTypes' | 'clock' | 'teams'>,
    private readonly machines: ReadonlyMap<string, Machine>,
  ) {}

  /** Invalidates the totals of a machine: the next `refresh` recomputes them. */
  invalidateTotals(machine: Machine): void {
    this.changedMachines.add(machine);
  }

  /** Recomputes the totals of the machines that have changed, or of all if the machine types have changed. */
  refresh(): void {
    const list = this.options.machineTypes();
    if (list !== this.machineTypeList) {
      this.machineTypeList = list;
      this.machineTypes = new Map(list.map((machineType) => [machineType.name, machineType]));
      for (const machine of this.machines.values()) this.changedMachines.add(machine);
    }
    for (const machine of this.changedMachines) this.refreshMachine(machine);
    this.changedMachines.clear();
  }

  private refreshMachine(machine: Machine): void {
    this.add(machine.totals, -1);
    const unfinishedBefore = machine.totals.unfinishedTasks;
    const totals =
      this.machines.get(machine.name) === machine
        ? totalsOf(machine.allocations.values(), this.machineTypes.get(machine.machineType))
        : emptyTotals();
    machine.totals = totals;
    this.add(totals, 1);
    if (unfinishedBefore > 0 && totals.unfinishedTasks === 0) machine.idleSince = this.options.clock.now();
    if (machine.isUp && totals.isTypeKnown && totals.free.cpus > EPSILON)
      this.machinesWithCapacity.add(machine);
    else this.machinesWithCapacity.delete(machine);
    if (machine.isUp && totals.isTypeKnown && totals.stopping.cpus > 0) this.machinesWithStops.add(machine);
    else this.machinesWithStops.delete(machine);
  }

  private add(totals: MachineTotals, sign: 1 | -1): void {
    for (const { team, cpus, gpus } of totals.teams) {
      const usage = this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
      usage.cpus += sign * cpus;
      usage.gpus += sign * gpus;
      this.usageByTeam.set(team, usage);
    }
    this.taskTotals.replicas += sign * totals.replicas;
    this.taskTotals.replicaCpus += sign * totals.replicaCpus;
    this.taskTotals.batchTasks += sign * totals.batchTasks;
    for (const priority of PRIORITIES)
      this.taskTotals.runningByPriority[priority] += sign * totals.runningByPriority[priority];
  }

  /** The resources in use by each team, as a copy that the caller may modify. */
  usage(): Map<string, ResourceUsage> {
    const usage = new Map<string, ResourceUsage>();
    for (const team of this.options.teams.keys())
      usage.set(team, { ...(this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 }) });
    return usage;
  }
}

/**
 * Whether one more task of this size would keep a team with this usage within its guaranteed share; false for
 * a team without one. GPUs only count if the task needs any.
 */
export function isWithinGuarantee(
  usage: ResourceUsage | undefined,
  team: Team | undefined,
  task: { cpus: number; gpus: number },
): boolean {
  if (!team || !usage || (team.guaranteedCpus <= 0 && team.guaranteedGpus <= 0)) return false;
  return (
    usage.cpus + task.cpus <= team.guaranteedCpus + EPSILON &&
    (task.gpus <= 0 || usage.gpus + task.gpus <= team.guaranteedGpus + EPSILON)
  );
}
