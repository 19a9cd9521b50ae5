/** Finds zones that are probably partitioned. */

import type { ZoneCount } from './liveness-check.js';

/** Share of silent machines above which a zone counts as partitioned, and its minimum number of machines. */
const PARTITIONED_ZONE_SHARE = 0.6;
const MIN_MACHINES_OF_PARTITIONED_ZONE = 3;

/**
 * Returns the zones in which most machines are silent, unless that holds for all zones. Such a zone is probably
 * partitioned, and tasks in it may continue to run.
 */
export function findPartitionedZones(zones: ReadonlyMap<string, ZoneCount>): string[] {
  // The zone of a machine is empty until a heartbeat or the cloud's list names it.
  const known = [...zones].filter(([zone]) => zone !== '');
  const silentZones = known
    .filter(
      ([, { silent, total }]) =>
        total >= MIN_MACHINES_OF_PARTITIONED_ZONE && silent > total * PARTITIONED_ZONE_SHARE,
    )
    .map(([zone]) => zone);
  return silentZones.length < known.length ? silentZones : [];
}
