/** Machine types that the cloud offers, and machines as it lists them. */

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  imageCacheGb: number;
  imageFetchGbPerSecond: number;
  hourlyPrice: number;
  hourlySpotPrice: number;
  bootSeconds: number;
  zones: string[];
}

export interface ListedMachine {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  phase: 'booting' | 'running' | 'failed';
  ageSeconds: number;
}
