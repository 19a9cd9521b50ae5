/** Machine types of the cloud: the leader requests and stores them, the other controllers read the record. */

import type { Clock } from '../model/clock.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import type { MachineType } from '../model/machine-type.js';
import { LEADER_KEY, MACHINE_TYPES_KEY } from '../store/keyspace.js';
import { machineTypesRecord } from '../store/record-codec.js';
import type { Leadership } from './leadership.js';
import type { StoreContact } from './store-contact.js';
import type { SystemRecords } from './system-records.js';

/** Interval between two requests for the cloud's machine types. */
const REFRESH_INTERVAL_MS = 30000;
/** Interval between requests while no machine types are known, when nothing can be scheduled. */
const FIRST_REFRESH_INTERVAL_MS = 1500;
/**
 * A controller that neither leads nor knows any machine types stops asking the cloud after this long without
 * contact with the store.
 */
const MAX_STORE_SILENCE_MS = 1e5;

/** Dependencies of the machine type catalog. */
export interface MachineTypeCatalogOptions {
  cloud: CloudProvider;
  store: KeyValueStore;
  clock: Clock;
  records: SystemRecords;
  leadership: Leadership;
  storeContact: StoreContact;
}

/** Holds the known machine types and keeps them up to date. */
export class MachineTypeCatalog {
  private currentTypes: MachineType[] = [];
  private requestedAt = Number.NEGATIVE_INFINITY;
  private requestInFlight = false;

  constructor(private readonly options: MachineTypeCatalogOptions) {}

  /** The latest known machine types; empty until some are received. */
  get machineTypes(): MachineType[] {
    return this.currentTypes;
  }

  /** Requests the machine types from the cloud, if that is due on this controller. */
  refresh(now: number): void {
    const interval = this.currentTypes.length > 0 ? REFRESH_INTERVAL_MS : FIRST_REFRESH_INTERVAL_MS;
    if (this.requestInFlight || now - this.requestedAt < interval) return;
    // A controller that does not lead uses the stored record, which is available even while the cloud is
    // down. It asks the cloud only while it knows no machine types.
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

  /**
   * Requests the machine types regardless of the interval, so that a new leader stores them. While a request
   * is in flight no other is sent; its result serves the same purpose.
   */
  refreshNow(): void {
    this.requestedAt = Number.NEGATIVE_INFINITY;
    this.refresh(this.options.clock.now());
  }

  /**
   * Adopts the stored machine types, unless there are none or this controller leads and asks the cloud
   * itself.
   */
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

/**
 * Serializes machine types without their prices, for comparison. Prices change all the time and are not worth
 * a write, because the controllers that read the record do not rent machines.
 */
function comparisonKey(types: MachineType[]): string {
  return JSON.stringify(types.map((type) => ({ ...type, hourlyPrice: 0, hourlySpotPrice: 0 })));
}
