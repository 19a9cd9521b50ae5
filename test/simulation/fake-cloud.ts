/** The cloud of a simulated cluster. */

import type { CloudProvider } from '../../src/model/cloud-provider.js';
import type { ListedMachine } from '../../src/model/machine-type.js';
import type { Result, ResultCallback } from '../../src/model/result.js';
import type { ClusterConfig } from './cluster-config.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { Simulator } from './simulated-time.js';

const DEADLINE_MS = 3000;
/** The list is so old, taken once a second, and so many are kept. */
const LIST_LAG_MS = 3000;
const SNAPSHOT_INTERVAL_MS = 1000;
const MAX_SNAPSHOTS = 30;
/** Machines that never come up, and machines on which everything fails. */
const NEVER_BOOTS_SHARE = 0.1;
const FAULTY_SHARE = 0.05;

/** What a machine is and where. */
export interface MachineDescription {
  machineType: string;
  zone: string;
  isSpot: boolean;
}

/** What the fake cloud works on, and whom it tells. */
export interface CloudEnvironment {
  simulator: Simulator;
  network: SimulatedNetwork;
  config: ClusterConfig;
  /** A machine is up. */
  onMachineStarted(machine: ListedMachine): void;
  /** A machine is gone with all that is on it. */
  onMachineDeleted(name: string): void;
  /** Everything that this machine runs will fail. */
  onFaultyMachine(name: string): void;
}

/** The cloud as its protocol says: rents machines that boot for a while, deletes them and lists them late. */
export class FakeCloud {
  /** Refuses every request. */
  isDown = false;
  /** Machines that it has. */
  capacity: number;
  private namedMachines = 0;
  private readonly claims = new Map<string, string[]>();
  private readonly rented = new Map<string, { machine: ListedMachine; at: number }>();
  private readonly snapshots: { at: number; machines: ListedMachine[] }[] = [];

  constructor(private readonly environment: CloudEnvironment) {
    this.capacity = environment.config.machineCapacity;
  }

  /** The name of the next machine. */
  nextName(): string {
    return `vm-${String(++this.namedMachines).padStart(6, '0')}`;
  }

  /** A machine that is gone is not listed any more. */
  forget(name: string): void {
    this.rented.delete(name);
  }

  /** The cloud as a controller reaches it. */
  port(nodeName: string, deliver: (handle: () => void) => void): CloudProvider {
    const { network, config } = this.environment;
    const ask = <T>(serve: () => Result<T>, then: ResultCallback<T>) =>
      network.call<Result<T>>({
        from: nodeName,
        to: 'cloud',
        deadlineMs: DEADLINE_MS,
        serve: (reply) => reply(this.isDown ? { ok: false, kind: 'refused' } : serve()),
        onResult: (answer) =>
          deliver(() =>
            then(answer.got ? answer.value : { ok: false, kind: answer.sent ? 'indeterminate' : 'refused' }),
          ),
      });
    return {
      listMachineTypes: (then) => ask(() => ({ ok: true, value: config.machineTypes }), then),
      rentMachines: ({ claim, count, machineType, zone, isSpot }, then) =>
        ask(() => this.claim(claim, count, { machineType, zone, isSpot }), then),
      deleteMachines: (names, then) =>
        ask(() => {
          for (const name of names) this.environment.onMachineDeleted(name);
          return { ok: true, value: null };
        }, then),
      listMachines: (since, then) => ask(() => ({ ok: true, value: this.list(since) }), then),
    };
  }

  /** Rents up to `count` machines; a repeated claim gets the same answer and rents nothing. */
  private claim(claim: string, count: number, description: MachineDescription): Result<string[]> {
    const before = this.claims.get(claim);
    if (before) return { ok: true, value: before };
    const names: string[] = [];
    const { zonesWithoutCapacity } = this.environment.config;
    const hasCapacity = !zonesWithoutCapacity.includes(description.zone);
    while (names.length < count && this.rented.size < this.capacity && hasCapacity)
      names.push(this.rent(description));
    if (names.length === 0) return { ok: false, kind: 'notFound' };
    this.claims.set(claim, names);
    return { ok: true, value: names };
  }

  private rent(description: MachineDescription): string {
    const { simulator, config } = this.environment;
    const name = this.nextName();
    const machine: ListedMachine = {
      name,
      address: name,
      ...description,
      phase: 'booting',
      ageSeconds: 0,
    };
    this.rented.set(name, { machine, at: simulator.now });
    if (simulator.chance(NEVER_BOOTS_SHARE)) return name;
    const { bootSeconds } = config.machineTypes.find((known) => known.name === description.machineType)!;
    if (simulator.chance(FAULTY_SHARE)) this.environment.onFaultyMachine(name);
    simulator.scheduleAfter(simulator.between(0.3, 1.5) * bootSeconds * 1000, () => {
      if (!this.rented.has(name)) return;
      machine.phase = 'running';
      this.environment.onMachineStarted(machine);
    });
    return name;
  }

  private list(since: string): { machines: ListedMachine[]; hasMore: boolean } {
    const shown = this.snapshots
      .filter(({ at }) => at <= this.environment.simulator.now - LIST_LAG_MS)
      .at(-1);
    return { machines: (shown?.machines ?? []).filter(({ name }) => name > since), hasMore: false };
  }

  /** Takes the first of the snapshots that the list shows late. */
  takeSnapshots(): void {
    const { simulator } = this.environment;
    const machines = [...this.rented.values()].map(({ machine, at }) => ({
      ...machine,
      ageSeconds: (simulator.now - at) / 1000,
    }));
    this.snapshots.push({ at: simulator.now, machines });
    if (this.snapshots.length > MAX_SNAPSHOTS) this.snapshots.shift();
    simulator.scheduleAfter(SNAPSHOT_INTERVAL_MS, () => this.takeSnapshots());
  }
}
