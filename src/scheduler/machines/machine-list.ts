/** Polls the cloud's list of machines to find those that an earlier leader rented and those that failed. */

import type { ListedMachine } from '../../model/machine-type.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

const LIST_RETRY_MS = 2000;
/**
 * Minimum interval at which the cloud's machine list is polled, and the interval as a share of the list's
 * lag: reading the list more often shows nothing new.
 */
const MIN_LIST_INTERVAL_MS = 3000;
const LIST_INTERVAL_SHARE_OF_LAG = 0.5;
/** Minimum time between two probes of a machine that is listed but not up. */
const PROBE_INTERVAL_MS = 2000;

/** Actions that the cloud's machine list may require, carried out by other components. */
export interface MachineListActions {
  /** Calls the worker directly. */
  probe(machine: Machine): void;
  deleteMachine(machine: Machine, reason: string): void;
}

/** Reads the cloud's machine list periodically, page by page. */
export class MachineList {
  private inFlight = false;
  private nextReadAt = 0;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly actions: MachineListActions,
  ) {}

  /** Starts to read the cloud's machine list if the next read is due. */
  refresh(now: number): void {
    if (this.inFlight || now < this.nextReadAt || !this.options.holdsLeadership()) return;
    this.inFlight = true;
    this.readPage('', []);
  }

  private readPage(afterName: string, machines: ListedMachine[]): void {
    this.options.cloud.listMachines(afterName, (result) => {
      if (!result.ok) {
        this.inFlight = false;
        this.nextReadAt = this.options.clock.now() + LIST_RETRY_MS;
        return;
      }
      machines.push(...result.value.machines);
      const last = result.value.machines.at(-1);
      if (result.value.hasMore && last) {
        this.readPage(last.name, machines);
        return;
      }
      this.inFlight = false;
      const lagMs = this.options.machineListLagSeconds * 1000;
      this.nextReadAt =
        this.options.clock.now() + Math.max(MIN_LIST_INTERVAL_MS, lagMs * LIST_INTERVAL_SHARE_OF_LAG);
      this.apply(machines);
      this.options.wake();
    });
  }

  private apply(listed: readonly ListedMachine[]): void {
    const now = this.options.clock.now();
    for (const listedMachine of listed)
      if (!this.state.deletedMachines.has(listedMachine.name)) this.applyMachine(listedMachine, now);
    this.state.hasMachineList = true;
  }

  private applyMachine(listed: ListedMachine, now: number): void {
    const machine = this.state.machines.get(listed.name) ?? this.addMachine(listed, now);
    if (!machine.isUp) {
      machine.machineType = listed.machineType;
      machine.zone = listed.zone;
      machine.isSpot = listed.isSpot;
      machine.address = listed.address;
    }
    machine.isListedAsRunning = listed.phase === 'running';
    if (listed.phase === 'failed') this.actions.deleteMachine(machine, 'failed');
    // A probe carries the current fencing token, which voids commands of earlier leaders that are still in
    // flight, and makes the worker report its status.
    if (
      !machine.isUp &&
      machine.isListedAsRunning &&
      listed.address !== '' &&
      now - machine.directCommands.lastSentAt > PROBE_INTERVAL_MS
    )
      this.actions.probe(machine);
  }

  private addMachine(listed: ListedMachine, now: number): Machine {
    const machine = this.state.getOrCreateMachine(listed.name);
    machine.rentedAt = now - listed.ageSeconds * 1000;
    this.options.log.debug(
      { machine: listed.name, machineType: listed.machineType, phase: listed.phase },
      "machine found in the cloud's list",
    );
    return machine;
  }
}
