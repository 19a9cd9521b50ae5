/** Machine types that the cloud offers, and machines as it lists them. */

/** A type listed with a rate of 0 counts as very slow, and not as infinitely slow. */
const MIN_IMAGE_FETCH_GB_PER_SECOND = 0.01;

/** A kind of machine that can be rented; `zones` are those that offer it. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  imageCacheGb: number;
  imageFetchGbPerSecond: number;
  hourlyPrice: number;
  hourlySpotPrice: number;
  /** From the rental until its worker can be heard. */
  bootSeconds: number;
  zones: string[];
}

/** Seconds that a machine of this type takes to fetch an image, by its nominal rate. */
export function imageFetchSecondsOn(
  machineType: Pick<MachineType, 'imageFetchGbPerSecond'>,
  imageGb: number,
): number {
  return imageGb / Math.max(MIN_IMAGE_FETCH_GB_PER_SECOND, machineType.imageFetchGbPerSecond);
}

/** A rented machine in the cloud's list; `ageSeconds` counts from its rental. */
export interface ListedMachine {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  phase: 'booting' | 'running' | 'failed';
  ageSeconds: number;
}
