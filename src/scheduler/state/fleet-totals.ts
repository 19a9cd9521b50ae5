/** Sums over the whole fleet, kept by what changes, so that a pass costs by the changes and not by the size of the fleet. */

import type { MachineType } from '../../model/machine-type.js';
import { EPSILON } from '../../model/resources.js';
import type { Team } from '../../model/team.js';
import type { Machine } from '../machine.js';
import { emptyTotals, type MachineTotals, totalsOf } from '../machine-totals.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** CPUs and GPUs that the tasks of a team take. */
export interface ResourceUsage {
  cpus: number;
  gpus: number;
}

/** Running tasks of the whole fleet. */
export interface FleetTaskTotals {
  services: number;
  serviceCpus: number;
  batchTasks: number;
  /** Tasks that are to run, by priority. */
  runningByPriority: [number, number, number, number];
}

const PRIORITIES = [0, 1, 2, 3] as const;

/** Totals of the fleet by team and priority, and the machines with something free or about to be. */
export class FleetTotals {
  /** Machines whose allocations changed since they were last summed up. */
  private readonly changedMachines = new Set<Machine>();
  /** Machines that are up and have something free. */
  readonly machinesWithCapacity = new Set<Machine>();
  /** Machines that are up and on which something is being stopped. */
  readonly machinesWithStops = new Set<Machine>();
  readonly taskTotals: FleetTaskTotals = {
    services: 0,
    serviceCpus: 0,
    batchTasks: 0,
    runningByPriority: [0, 0, 0, 0],
  };
  machineTypes = new Map<string, MachineType>();
  private machineTypeList: MachineType[] = [];
  private readonly usageByTeam = new Map<string, ResourceUsage>();

  constructor(
    private readonly options: Pick<SchedulerOptions, 'machineTypes' | 'clock' | 'teams'>,
    private readonly machines: ReadonlyMap<string, Machine>,
  ) {}

  /** Something on this machine has changed: it is summed up anew by the next `refresh`. */
  markChanged(machine: Machine): void {
    this.changedMachines.add(machine);
  }

  /** Sums up what has changed. */
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
    this.taskTotals.services += sign * totals.replicas;
    this.taskTotals.serviceCpus += sign * totals.replicaCpus;
    this.taskTotals.batchTasks += sign * totals.batchTasks;
    for (const priority of PRIORITIES)
      this.taskTotals.runningByPriority[priority] += sign * totals.runningByPriority[priority];
  }

  /** What each team uses; a copy that the caller may count on in. */
  usage(): Map<string, ResourceUsage> {
    const usage = new Map<string, ResourceUsage>();
    for (const team of this.options.teams.keys())
      usage.set(team, { ...(this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 }) });
    return usage;
  }
}

/** Whether a team that uses so much would still be within its guarantee with a task of this size more. */
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
