/** Converts running replicas to resource requests. */

import type { ResourceRequest } from '../../model/placement.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';

/** Returns a request for a single running replica, restricted to its zone if that zone is the scarce one. */
export function requestForReplica(
  state: ClusterState,
  allocation: Allocation,
  machine: Machine,
): ResourceRequest {
  const isPinnedToZone = state.scarceZone === machine.zone;
  return {
    ...state.requestFromPlacement(allocation),
    zone: isPinnedToZone ? machine.zone : null,
    zoneAllowance: isPinnedToZone ? {} : null,
  };
}
