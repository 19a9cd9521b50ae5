import type { CloudProvider } from '../../src/model/cloud-provider.js';
import type { ListedMachine } from '../../src/model/machine-type.js';
import type { Result, ResultCallback } from '../../src/model/result.js';
import type { Shape } from './shape.js';
import type { Net, Sim } from './sim.js';

const DEADLINE_MS = 3000;
/** The list is so old, taken once a second, and so many are kept. */
const LIST_LAG_MS = 3000;
const SNAPSHOT_MS = 1000;
const SNAPSHOTS_KEPT = 30;
/** Machines that never come up, and machines on which everything fails. */
const NEVER_UP = 0.1;
const FAULTY = 0.05;

export interface CloudWorld {
  sim: Sim;
  net: Net;
  shape: Shape;
  /** A machine is up. */
  started(machine: ListedMachine): void;
  /** A machine is gone with all that is on it. */
  stopped(name: string): void;
  /** Everything that this machine runs will fail. */
  isFaulty(name: string): void;
}

/** Stand-in for the cloud, from its protocol: rents machines that boot for a while, deletes them and lists them late. */
export class CloudStandin {
  /** Refuses every request. */
  down = false;
  capacity: number;
  private machines = 0;
  private readonly claims = new Map<string, string[]>();
  private readonly rented = new Map<string, { machine: ListedMachine; at: number }>();
  private readonly snapshots: { at: number; machines: ListedMachine[] }[] = [];

  constructor(private readonly world: CloudWorld) {
    this.capacity = world.shape.capacity;
  }

  /** The name of the next machine. */
  nextName(): string {
    return `vm-${String(++this.machines).padStart(6, '0')}`;
  }

  forget(name: string): void {
    this.rented.delete(name);
  }

  /** The cloud as a controller reaches it. */
  port(host: string, enter: (handle: () => void) => void): CloudProvider {
    const { net, shape: kind } = this.world;
    const ask = <T>(serve: () => Result<T>, then: ResultCallback<T>) =>
      net.call<Result<T>>(
        host,
        'cloud',
        DEADLINE_MS,
        (reply) => reply(this.down ? { ok: false, kind: 'refused' } : serve()),
        (answer) =>
          enter(() =>
            then(answer.got ? answer.value : { ok: false, kind: answer.sent ? 'indeterminate' : 'refused' }),
          ),
      );
    return {
      listMachineTypes: (then) => ask(() => ({ ok: true, value: kind.types }), then),
      rentMachines: ({ claim, machineType, zone, isSpot, count }, then) =>
        ask(() => this.claim(claim, machineType, zone, isSpot, count), then),
      deleteMachines: (names, then) =>
        ask(() => {
          for (const name of names) this.world.stopped(name);
          return { ok: true, value: null };
        }, then),
      listMachines: (since, then) => ask(() => ({ ok: true, value: this.list(since) }), then),
    };
  }

  /** Rents up to `count` machines; a repeated claim gets the same answer and rents nothing. */
  private claim(claim: string, type: string, zone: string, spot: boolean, count: number): Result<string[]> {
    const before = this.claims.get(claim);
    if (before) return { ok: true, value: before };
    const names: string[] = [];
    const { empty } = this.world.shape;
    while (names.length < count && this.rented.size < this.capacity && !empty.includes(zone))
      names.push(this.rent(type, zone, spot));
    if (names.length === 0) return { ok: false, kind: 'notFound' };
    this.claims.set(claim, names);
    return { ok: true, value: names };
  }

  private rent(type: string, zone: string, spot: boolean): string {
    const { sim, shape: kind } = this.world;
    const name = this.nextName();
    const machine: ListedMachine = {
      name,
      address: name,
      machineType: type,
      zone,
      isSpot: spot,
      phase: 'booting',
      ageSeconds: 0,
    };
    this.rented.set(name, { machine, at: sim.now });
    if (sim.chance(NEVER_UP)) return name;
    const { bootSeconds: bootS } = kind.types.find((known) => known.name === type)!;
    if (sim.chance(FAULTY)) this.world.isFaulty(name);
    sim.after(sim.between(0.3, 1.5) * bootS * 1000, () => {
      if (!this.rented.has(name)) return;
      machine.phase = 'running';
      this.world.started(machine);
    });
    return name;
  }

  private list(since: string): { machines: ListedMachine[]; more: boolean } {
    const shown = this.snapshots.filter(({ at }) => at <= this.world.sim.now - LIST_LAG_MS).at(-1);
    return { machines: (shown?.machines ?? []).filter(({ name }) => name > since), more: false };
  }

  /** Takes the first of the snapshots that the list shows late. */
  snapshot(): void {
    const { sim } = this.world;
    const machines = [...this.rented.values()].map(({ machine, at }) => ({
      ...machine,
      ageSeconds: (sim.now - at) / 1000,
    }));
    this.snapshots.push({ at: sim.now, machines });
    if (this.snapshots.length > SNAPSHOTS_KEPT) this.snapshots.shift();
    sim.after(SNAPSHOT_MS, () => this.snapshot());
  }
}
