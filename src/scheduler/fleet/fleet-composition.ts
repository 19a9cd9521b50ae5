/** Summarizes the machines of the fleet for operators. */

import type { ClusterState } from '../cluster-state.js';

/** Machines of one type and zone, either on-demand or spot; CPUs are those of machines that are up. */
export interface FleetComposition {
  machines: number;
  machinesUp: number;
  cpus: number;
  replicaCpus: number;
  /** CPUs of the batch tasks that may be preempted. */
  batchCpus: number;
}

/** Groups the machines by `type/zone`, and by `type/zone/spot` for spot machines. */
export function fleetComposition(state: ClusterState): Record<string, FleetComposition> {
  const byKind: Record<string, FleetComposition> = {};
  for (const machine of state.machines.values()) {
    const key = `${machine.machineType}/${machine.zone}${machine.isSpot ? '/spot' : ''}`;
    byKind[key] ??= { machines: 0, machinesUp: 0, cpus: 0, replicaCpus: 0, batchCpus: 0 };
    const kind = byKind[key];
    kind.machines++;
    if (!machine.isUp) continue;
    kind.machinesUp++;
    kind.cpus += state.machineTypes.get(machine.machineType)?.cpus ?? 0;
    kind.replicaCpus += machine.totals.replicaCpus;
    kind.batchCpus += machine.totals.preemptible.cpus;
  }
  return byKind;
}
