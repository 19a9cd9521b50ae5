/** Finds the zone whose on-demand machines are kept for jobs that must be spread over zones. */

import type { ClusterState } from '../cluster-state.js';

/**
 * The scarce zone, whose on-demand machines are kept for jobs that must be spread over zones. Of the
 * services, only those that must be spread or are tied to a zone may use these machines. For any request that
 * need not be spread, they get a score penalty. It is the zone with the fewest machine types, then the fewest
 * on-demand CPUs; null if no service must be spread over zones or there are fewer than two zones.
 */
export function findScarceZone(state: ClusterState): string | null {
  if (!hasSpreadService(state)) return null;
  const zones = new Map<string, { types: number; cpus: number }>();
  for (const machineType of state.machineTypes.values())
    for (const name of machineType.zones) {
      const zone = zones.get(name) ?? { types: 0, cpus: 0 };
      zone.types++;
      zones.set(name, zone);
    }
  if (zones.size < 2) return null;
  for (const machine of state.machines.values()) {
    const zone = zones.get(machine.zone);
    if (zone && !machine.isSpot) zone.cpus += state.machineTypes.get(machine.machineType)?.cpus ?? 0;
  }
  const [scarcest] = [...zones].sort(
    ([, left], [, right]) => left.types - right.types || left.cpus - right.cpus,
  );
  return scarcest?.[0] ?? null;
}

function hasSpreadService(state: ClusterState): boolean {
  for (const profile of state.serviceProfiles.values()) if (profile.request.zoneAllowance) return true;
  return false;
}
