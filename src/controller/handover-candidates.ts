/** Finds the controllers to which a leader that hears no workers could hand over. */

import type { HandoverCandidates } from '../scheduler/scheduler-options.js';
import type { PeerRegistry } from './peer-registry.js';
import type { SystemRecords } from './system-records.js';

/** The leader that considers a handover. */
export interface HandoverLeader {
  instanceId: string;
  fencingToken: number;
  now: number;
}

/**
 * Counts the other live controllers, and those of them that report to this leader which workers reach them. A
 * controller whose node record has expired cannot be elected, so it does not count.
 */
export function findHandoverCandidates(
  { records, peerRegistry }: { records: SystemRecords; peerRegistry: PeerRegistry },
  { instanceId: self, fencingToken, now }: HandoverLeader,
): HandoverCandidates {
  const candidates: HandoverCandidates = { total: 0, reporting: 0 };
  for (const [instanceId, nodeName] of records.liveInstances()) {
    if (instanceId === self) continue;
    candidates.total++;
    if (peerRegistry.reportsToLeader({ instanceId, nodeName }, fencingToken, now)) candidates.reporting++;
  }
  return candidates;
}
