/** Finalizes attempts that their worker does not list, once they can never run again. */

import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';

/**
 * Finalizes an attempt that is to be stopped and that its worker does not list. The worker must still be in
 * the epoch for which the attempt was placed. It must have reported the current fencing token, so that starts
 * under older tokens are void. Under the current token, no start of the attempt may be in flight or
 * indeterminate, and no direct call to the worker may be in flight.
 */
export function finalizeIfMissing(state: ClusterState, machine: Machine, allocation: Allocation): void {
  if (
    allocation.desiredState !== 'stop' ||
    allocation.isFinalized ||
    allocation.reportedStatus ||
    !machine.isUp ||
    allocation.workerEpoch !== machine.workerEpoch
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
  state.invalidateTotals(machine);
}

/**
 * Finalizes an attempt that its worker listed as exited and no longer lists: the worker was told to forget
 * the attempt while no owner claimed it. If its owner claims the attempt only now, a start would run it a
 * second time, next to its successor.
 */
export function finalizeIfForgotten(state: ClusterState, machine: Machine, allocation: Allocation): void {
  if (
    !allocation.hasExited ||
    allocation.isFinalized ||
    allocation.desiredState === 'forget' ||
    allocation.desiredState === 'granted'
  )
    return;
  allocation.isFinalized = true;
  state.invalidateTotals(machine);
}
