/** Machine types offered by the cloud, and rented machines as the cloud lists them. */

/**
 * Lower bound of the image fetch rate from which fetch times are computed: a machine type listed with a rate
 * of 0 counts as very slow instead of infinitely slow.
 */
const MIN_IMAGE_FETCH_GB_PER_SECOND = 0.01;

/** A type of machine that can be rented; `zones` are the zones that offer it. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  imageCacheGb: number;
  imageFetchGbPerSecond: number;
  hourlyPrice: number;
  hourlySpotPrice: number;
  /** Time from the rental to the first heartbeat of the machine's worker. */
  bootSeconds: number;
  zones: string[];
}

/** Returns the seconds that a machine of this type takes to fetch an image at its nominal rate. */
export function imageFetchSecondsOn(
  machineType: Pick<MachineType, 'imageFetchGbPerSecond'>,
  imageGb: number,
): number {
  return imageGb / Math.max(MIN_IMAGE_FETCH_GB_PER_SECOND, machineType.imageFetchGbPerSecond);
}

/** A rented machine as listed by the cloud; `ageSeconds` counts from its rental. */
export interface ListedMachine {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  phase: 'booting' | 'running' | 'failed';
  ageSeconds: number;
}
