import type { RentalRequest } from '../model/cloud-provider.js';
import type { ListedMachine, MachineType } from '../model/machine-type.js';
import { isObj, num, str } from './json.js';

export function readTypes(v: unknown): MachineType[] {
  if (!isObj(v) || !Array.isArray(v.barks)) return [];
  const out: MachineType[] = [];
  for (const t of v.barks) {
    if (!isObj(t)) continue;
    const name = str(t.label);
    const cpus = num(t.vcpus);
    const mem = num(t.ram_gb);
    if (name === null || cpus === null || mem === null) continue;
    const zones = Array.isArray(t.slopes) ? t.slopes.filter((z): z is string => typeof z === 'string') : [];
    out.push({
      name,
      cpus,
      gpus: num(t.cards) ?? 0,
      memoryGb: mem,
      imageCacheGb: num(t.cache_gb) ?? 0,
      imageFetchGbPerSecond: num(t.pull_gb_per_s) ?? 0.1,
      hourlyPrice: num(t.hourly) ?? 1,
      hourlySpotPrice: num(t.spot_price) ?? num(t.hourly) ?? 1,
      bootSeconds: num(t.ready_s) ?? 30,
      zones,
    });
  }
  return out;
}

export function readList(v: unknown): { machines: ListedMachine[]; more: boolean } | null {
  if (!isObj(v) || !Array.isArray(v.trunks)) return null;
  const machines: ListedMachine[] = [];
  for (const m of v.trunks) {
    if (!isObj(m)) continue;
    const name = str(m.name_id);
    const phase = m.phase;
    if (name === null || (phase !== 'booting' && phase !== 'running' && phase !== 'failed')) continue;
    machines.push({
      name,
      address: str(m.address) ?? '',
      machineType: str(m.bark) ?? '',
      zone: str(m.slope) ?? '',
      isSpot: m.windfall === true,
      phase,
      ageSeconds: num(m.age_s) ?? 0,
    });
  }
  return { machines, more: v.has_next === true };
}

export function readRented(v: unknown): string[] | null {
  if (!isObj(v) || !Array.isArray(v.trunks)) return null;
  return v.trunks.filter((n): n is string => typeof n === 'string');
}

export function writeRental({
  claim,
  machineType,
  zone,
  isSpot,
  count,
}: RentalRequest): Record<string, unknown> {
  return { claim, bark: machineType, slope: zone, windfall: isSpot, number: count };
}

export function writeRemoval(names: string[]): Record<string, unknown> {
  return { trunks: names };
}
