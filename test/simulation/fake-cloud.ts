/** The cloud provider of a simulated cluster. */

import type { CloudProvider } from '../../src/model/cloud-provider.js';
import type { ListedMachine } from '../../src/model/machine-type.js';
import type { Result, ResultCallback } from '../../src/model/result.js';
import type { ClusterConfig } from './cluster-config.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { Simulator } from './simulated-time.js';

const CALL_DEADLINE_MS = 3000;
/** Minimum age of the snapshot that a list request returns. */
const LIST_DELAY_MS = 3000;
const SNAPSHOT_INTERVAL_MS = 1000;
const MAX_SNAPSHOTS = 30;
/** Share of the rented machines that never boot. */
const NEVER_BOOTS_SHARE = 0.1;
/** Share of the machines that boot on which every task fails, see `onFaultyMachine`. */
const FAULTY_SHARE = 0.05;

/** Type and zone of a machine, and whether it is a spot instance. */
export interface MachineDescription {
  machineType: string;
  zone: string;
  isSpot: boolean;
}

/** Dependencies of the fake cloud, and its callbacks. */
export interface CloudEnvironment {
  simulator: Simulator;
  network: SimulatedNetwork;
  config: ClusterConfig;
  /** Called when a machine has booted. */
  onMachineStarted(machine: ListedMachine): void;
  /** Called when a machine is deleted, along with the tasks on it. */
  onMachineDeleted(name: string): void;
  /** Called when a rented machine is chosen to be faulty: every task on it will fail. */
  onFaultyMachine(name: string): void;
}

/** Implements the cloud's protocol: rents machines, which take time to boot, deletes and lists them. */
export class FakeCloud {
  /** While true, every request is refused. */
  isDown = false;
  /** Number of machines that can be rented at a time. */
  capacity: number;
  private lastMachineNumber = 0;
  private readonly namesByClaim = new Map<string, string[]>();
  private readonly rentedMachines = new Map<string, { machine: ListedMachine; rentedAt: number }>();
  private readonly snapshots: { takenAt: number; machines: ListedMachine[] }[] = [];

  constructor(private readonly environment: CloudEnvironment) {
    this.capacity = environment.config.machineCapacity;
  }

  /** Returns the name of the next machine. */
  nextMachineName(): string {
    return `vm-${String(++this.lastMachineNumber).padStart(6, '0')}`;
  }

  /** Removes a deleted or reclaimed machine, so that later snapshots do not list it. */
  removeMachine(name: string): void {
    this.rentedMachines.delete(name);
  }

  /** Returns the cloud as one controller reaches it over the network. */
  port(nodeName: string, deliver: (handle: () => void) => void): CloudProvider {
    const { network, config } = this.environment;
    const call = <T>(serve: () => Result<T>, callback: ResultCallback<T>) =>
      network.call<Result<T>>({
        from: nodeName,
        to: 'cloud',
        deadlineMs: CALL_DEADLINE_MS,
        serve: (reply) => reply(this.isDown ? { ok: false, kind: 'refused' } : serve()),
        onResult: (result) =>
          deliver(() =>
            callback(
              result.received
                ? result.value
                : { ok: false, kind: result.mayHaveBeenSent ? 'indeterminate' : 'refused' },
            ),
          ),
      });
    return {
      listMachineTypes: (callback) => call(() => ({ ok: true, value: config.machineTypes }), callback),
      rentMachines: ({ claim, count, machineType, zone, isSpot }, callback) =>
        call(() => this.rentMachines(claim, count, { machineType, zone, isSpot }), callback),
      deleteMachines: (names, callback) =>
        call(() => {
          for (const name of names) this.environment.onMachineDeleted(name);
          return { ok: true, value: null };
        }, callback),
      listMachines: (afterName, callback) =>
        call(() => ({ ok: true, value: this.list(afterName) }), callback),
    };
  }

  /** Rents up to `count` machines. A repeated claim returns the same names and rents nothing. */
  private rentMachines(claim: string, count: number, description: MachineDescription): Result<string[]> {
    const previousNames = this.namesByClaim.get(claim);
    if (previousNames) return { ok: true, value: previousNames };
    const names: string[] = [];
    const { zonesWithoutCapacity } = this.environment.config;
    const zoneHasCapacity = !zonesWithoutCapacity.includes(description.zone);
    while (names.length < count && this.rentedMachines.size < this.capacity && zoneHasCapacity)
      names.push(this.rentMachine(description));
    if (names.length === 0) return { ok: false, kind: 'notFound' };
    this.namesByClaim.set(claim, names);
    return { ok: true, value: names };
  }

  private rentMachine(description: MachineDescription): string {
    const { simulator, config } = this.environment;
    const name = this.nextMachineName();
    const machine: ListedMachine = {
      name,
      address: name,
      ...description,
      phase: 'booting',
      ageSeconds: 0,
    };
    this.rentedMachines.set(name, { machine, rentedAt: simulator.now });
    if (simulator.chance(NEVER_BOOTS_SHARE)) return name;
    const { bootSeconds } = config.machineTypes.find((known) => known.name === description.machineType)!;
    if (simulator.chance(FAULTY_SHARE)) this.environment.onFaultyMachine(name);
    simulator.scheduleAfter(simulator.between(0.3, 1.5) * bootSeconds * 1000, () => {
      if (!this.rentedMachines.has(name)) return;
      machine.phase = 'running';
      this.environment.onMachineStarted(machine);
    });
    return name;
  }

  /**
   * Lists the machines whose names sort after `afterName`, from a snapshot of at least `LIST_DELAY_MS` ago.
   */
  private list(afterName: string): { machines: ListedMachine[]; hasMore: boolean } {
    const visibleSnapshot = this.snapshots
      .filter(({ takenAt }) => takenAt <= this.environment.simulator.now - LIST_DELAY_MS)
      .at(-1);
    return {
      machines: (visibleSnapshot?.machines ?? []).filter(({ name }) => name > afterName),
      hasMore: false,
    };
  }

  /** Takes a snapshot of the rented machines, now and after each `SNAPSHOT_INTERVAL_MS`. */
  takeSnapshots(): void {
    const { simulator } = this.environment;
    const machines = [...this.rentedMachines.values()].map(({ machine, rentedAt }) => ({
      ...machine,
      ageSeconds: (simulator.now - rentedAt) / 1000,
    }));
    this.snapshots.push({ takenAt: simulator.now, machines });
    if (this.snapshots.length > MAX_SNAPSHOTS) this.snapshots.shift();
    simulator.scheduleAfter(SNAPSHOT_INTERVAL_MS, () => this.takeSnapshots());
  }
}
