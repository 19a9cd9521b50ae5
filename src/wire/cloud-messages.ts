/**
 * The cloud's protocol: machine types, rentals, deletions and machine lists. In the cloud's terms, a `bark`
 * is a machine type, a `trunk` a machine, a `slope` a zone, and `windfall` means spot.
 */

import type { RentalRequest } from '../model/cloud-provider.js';
import type { ListedMachine, MachineType } from '../model/machine-type.js';
import { asFiniteNumber, asNonEmptyString, isJsonObject } from './json.js';

/** Image fetch rate of a machine type for which the cloud states none. */
const DEFAULT_IMAGE_FETCH_GB_PER_SECOND = 0.1;
/** Price of a machine type for which the cloud states none. */
const DEFAULT_HOURLY_PRICE = 1;
/** Boot time of a machine type for which the cloud states none. */
const DEFAULT_BOOT_SECONDS = 30;

/**
 * Decodes the machine types in a response; types without a name, CPUs or memory are skipped. A malformed
 * response yields an empty list, like one without any type: the caller then keeps the types that it knows.
 */
export function decodeMachineTypes(encoded: unknown): MachineType[] {
  if (!isJsonObject(encoded) || !Array.isArray(encoded.barks)) return [];
  return encoded.barks.map(decodeMachineType).filter((machineType) => machineType !== null);
}

function decodeMachineType(encoded: unknown): MachineType | null {
  if (!isJsonObject(encoded)) return null;
  const name = asNonEmptyString(encoded.label);
  const cpus = asFiniteNumber(encoded.vcpus);
  const memoryGb = asFiniteNumber(encoded.ram_gb);
  if (name === null || cpus === null || memoryGb === null) return null;
  const hourlyPrice = asFiniteNumber(encoded.hourly) ?? DEFAULT_HOURLY_PRICE;
  return {
    name,
    cpus,
    gpus: asFiniteNumber(encoded.cards) ?? 0,
    memoryGb,
    imageCacheGb: asFiniteNumber(encoded.cache_gb) ?? 0,
    imageFetchGbPerSecond: asFiniteNumber(encoded.pull_gb_per_s) ?? DEFAULT_IMAGE_FETCH_GB_PER_SECOND,
    hourlyPrice,
    hourlySpotPrice: asFiniteNumber(encoded.spot_price) ?? hourlyPrice,
    bootSeconds: asFiniteNumber(encoded.ready_s) ?? DEFAULT_BOOT_SECONDS,
    zones: stringsIn(encoded.slopes),
  };
}

/** One page of the list of machines, in name order. `hasMore` is true if further pages follow. */
export interface MachinePage {
  machines: ListedMachine[];
  hasMore: boolean;
}

/**
 * Decodes a page of the machine list, or returns null if it is malformed: unlike an empty list of types, an
 * empty page would be taken for the end of the list. Machines without a name or a known phase are skipped.
 */
export function decodeMachinePage(encoded: unknown): MachinePage | null {
  if (!isJsonObject(encoded) || !Array.isArray(encoded.trunks)) return null;
  const machines = encoded.trunks.map(decodeListedMachine).filter((machine) => machine !== null);
  return { machines, hasMore: encoded.has_next === true };
}

function decodeListedMachine(encoded: unknown): ListedMachine | null {
  if (!isJsonObject(encoded)) return null;
  const name = asNonEmptyString(encoded.name_id);
  const { phase } = encoded;
  if (name === null || (phase !== 'booting' && phase !== 'running' && phase !== 'failed')) return null;
  return {
    name,
    address: asNonEmptyString(encoded.address) ?? '',
    machineType: asNonEmptyString(encoded.bark) ?? '',
    zone: asNonEmptyString(encoded.slope) ?? '',
    isSpot: encoded.windfall === true,
    phase,
    // A machine of unknown age counts as just rented, so that it gets its full boot time.
    ageSeconds: asFiniteNumber(encoded.age_s) ?? 0,
  };
}

/**
 * Decodes the names of the rented machines, or returns null if the response is malformed. Entries that are
 * not strings are skipped.
 */
export function decodeRentedMachines(encoded: unknown): string[] | null {
  return isJsonObject(encoded) && Array.isArray(encoded.trunks) ? stringsIn(encoded.trunks) : null;
}

/** Encodes the body of a rental request. */
export function encodeRentalRequest({
  claim,
  machineType,
  zone,
  isSpot,
  count,
}: RentalRequest): Record<string, unknown> {
  return { claim, bark: machineType, slope: zone, windfall: isSpot, number: count };
}

/** Encodes the body of a request to delete machines. */
export function encodeDeletionRequest(machineNames: string[]): Record<string, unknown> {
  return { trunks: machineNames };
}

function stringsIn(encoded: unknown): string[] {
  return Array.isArray(encoded) ? encoded.filter((value): value is string => typeof value === 'string') : [];
}
