/** The machine types that the cloud offers: the leader asks the cloud and stores them, the others read the record. */

import type { Clock } from '../model/clock.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import type { MachineType } from '../model/machine-type.js';
import { LEADER_KEY, MACHINE_TYPES_KEY } from '../store/keyspace.js';
import { machineTypesRecord } from '../store/record-codec.js';
import type { Leadership } from './leadership.js';
import type { StoreContact } from './store-contact.js';
import type { SystemRecords } from './system-records.js';

/** Time between two questions to the cloud. */
const REFRESH_INTERVAL_MS = 30000;
/** The same while no types are known and nothing can be scheduled. */
const FIRST_REFRESH_INTERVAL_MS = 1500;
/** Without the store for so long, a controller that isn't the leader asks the cloud nothing. */
const MAX_STORE_SILENCE_MS = 1e5;

/** What the catalog needs. */
export interface MachineTypeCatalogOptions {
  cloud: CloudProvider;
  store: KeyValueStore;
  clock: Clock;
  records: SystemRecords;
  leadership: Leadership;
  storeContact: StoreContact;
}

/** Knows the machine types, and keeps them up to date. */
export class MachineTypeCatalog {
  private currentTypes: MachineType[] = [];
  private requestedAt = Number.NEGATIVE_INFINITY;
  private requestInFlight = false;

  constructor(private readonly options: MachineTypeCatalogOptions) {}

  /** The types last known; empty until the first answer. */
  get machineTypes(): MachineType[] {
    return this.currentTypes;
  }

  /** Asks the cloud, if that is due here. */
  refresh(now: number): void {
    const interval = this.currentTypes.length > 0 ? REFRESH_INTERVAL_MS : FIRST_REFRESH_INTERVAL_MS;
    if (this.requestInFlight || now - this.requestedAt < interval) return;
    // Whoever doesn't lead reads the record, also while the cloud is down.
    if (!this.options.leadership.scheduler) {
      if (this.currentTypes.length > 0 || this.options.storeContact.ageMs(now) > MAX_STORE_SILENCE_MS) return;
    }
    this.requestInFlight = true;
    this.requestedAt = now;
    this.options.cloud.listMachineTypes((result) => {
      this.requestInFlight = false;
      if (result.ok && result.value.length > 0) this.applyListedTypes(result.value);
    });
  }

  /** Asks the cloud also if it was asked a moment ago: a new leader has to store what it knows. */
  refreshNow(): void {
    this.requestedAt = Number.NEGATIVE_INFINITY;
    this.refresh(this.options.clock.now());
  }

  /** Takes the stored types, unless this controller leads and asks the cloud itself. */
  onRecordChanged(): void {
    if (this.options.leadership.scheduler) return;
    const stored = this.options.records.machineTypes();
    if (stored) this.currentTypes = stored;
  }

  private applyListedTypes(types: MachineType[]): void {
    const { records, leadership } = this.options;
    const hasChanged = comparisonKey(types) !== comparisonKey(this.currentTypes);
    this.currentTypes = types;
    if (leadership.scheduler && (hasChanged || !records.hasMachineTypes)) this.storeTypes(types);
  }

  private storeTypes(types: MachineType[]): void {
    const { store, leadership } = this.options;
    store.compareAndSwap(
      {
        preconditions: [{ key: LEADER_KEY, modRevision: leadership.leaderRecordRevision }],
        operations: [{ type: 'put', key: MACHINE_TYPES_KEY, value: machineTypesRecord.encode(types) }],
      },
      URGENCY.placement,
      () => {},
    );
  }
}

/** Prices change all the time and are not worth a write: those who read the record don't rent. */
function comparisonKey(types: MachineType[]): string {
  return JSON.stringify(types.map((type) => ({ ...type, hourlyPrice: 0, hourlySpotPrice: 0 })));
}
