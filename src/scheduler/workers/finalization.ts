/** When an attempt that its machine does not list is known to have ended for good. */

import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';

/**
 * Finalized by absence: the worker has shown the current fencing token, so starts under older ones are void; it does
 * not list the attempt; and no start of it under this token is on its way or indeterminate.
 */
export function finalizeIfMissing(state: ClusterState, machine: Machine, allocation: Allocation): void {
  if (
    allocation.desiredState !== 'stop' ||
    allocation.isFinalized ||
    allocation.reportedStatus ||
    !machine.isUp ||
    allocation.agentEpoch !== machine.agentEpoch
  )
    return;
  if (machine.fencingToken !== state.fencingToken || machine.tasks.has(allocation.key)) return;
  if (
    allocation.isDirectStartInFlight ||
    machine.directCommands.inFlight ||
    allocation.startHeartbeatSequence >= 0 ||
    machine.directCommands.indeterminateStarts.has(allocation.key)
  )
    return;
  allocation.isFinalized = true;
  state.markChanged(machine);
}

/**
 * Finalized by having ended: the worker listed it as ended, and was told to remove it when nobody claimed it. Its owner
 * may claim it only now; a start would run it once more, beside its successor.
 */
export function finalizeIfForgotten(state: ClusterState, machine: Machine, allocation: Allocation): void {
  if (
    !allocation.hasExited ||
    allocation.isFinalized ||
    allocation.desiredState === 'forget' ||
    allocation.desiredState === 'hold'
  )
    return;
  allocation.isFinalized = true;
  state.markChanged(machine);
}
