/** Running replicas as requests. */

import type { ResourceRequest } from '../../model/placement.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';

/** A running replica as a request of its own, in its zone if that zone is the scarce one. */
export function requestForReplica(
  state: ClusterState,
  allocation: Allocation,
  machine: Machine,
): ResourceRequest {
  const isTied = state.scarceZone === machine.zone;
  return {
    ...state.requestFromPlacement(allocation),
    zone: isTied ? machine.zone : null,
    zoneAllowance: isTied ? {} : null,
  };
}
