/** Allocations: the capacity that placements and grants take on a machine. */

import { attemptKey } from '../model/job.js';
import type { PlacementSpec } from '../model/placement.js';
import type { TaskStatus } from '../model/worker-messages.js';

/**
 * A placement or grant as the leader tracks it: the capacity it takes on its machine, and what its worker
 * should do. Times in ms.
 */
export interface Allocation extends Omit<PlacementSpec, 'desiredState'> {
  /** Key in `Machine.allocations`: see `attemptKey`, or `grantKey` for a grant. */
  key: string;
  /** `granted`: a grant for which its owner has not yet reported a stored placement. */
  desiredState: PlacementSpec['desiredState'] | 'granted';
  /**
   * Sequence of the heartbeat whose response carried its start, until a later heartbeat arrives; -1: none.
   */
  startHeartbeatSequence: number;
  /** Whether a direct command that starts it is in flight. */
  isDirectStartInFlight: boolean;
  /** The status that its worker last reported for it; null: the worker's list does not contain it. */
  reportedStatus: TaskStatus | null;
  /** Whether its worker last listed it as exited: it is not started again, even if it is no longer listed. */
  hasExited: boolean;
  /**
   * Whether the attempt has ended on its machine and can't run there again. Reset if the worker lists it
   * after all.
   */
  isFinalized: boolean;
  /** The status last sent to its owner, to send each change once; empty: none. */
  lastSentStatusKey: string;
  /**
   * When it was reported as running; before that, when it was created. Once its desired state is `forget`:
   * since when it is. Other changes of phase, for example to `exited`, do not update it.
   */
  phaseSince: number;
  /**
   * Whether `phaseSince` will be the start of its run once it runs: this leader sent its start, or saw it
   * before it ran. False if it already ran when this leader first saw it, so that `phaseSince` is too late.
   */
  isStartTimeKnown: boolean;
  /** When its owner was asked to stop it; 0: it was not, or the request has expired. */
  evictionRequestedAt: number;
}

/** The key of a grant in `Machine.allocations`. */
export function grantKey(grantId: number): string {
  return `grant#${grantId}`;
}

/** Creates the allocation of a placement that the leader did not know before. */
export function createAllocation(placement: PlacementSpec, now: number): Allocation {
  return {
    ...placement,
    key: attemptKey(placement.jobId, placement.taskIndex, placement.attempt),
    startHeartbeatSequence: -1,
    isDirectStartInFlight: false,
    reportedStatus: null,
    hasExited: false,
    isFinalized: false,
    lastSentStatusKey: '',
    phaseSince: now,
    isStartTimeKnown: false,
    evictionRequestedAt: 0,
  };
}

/**
 * Whether no placement is known to be stored for this allocation: no command for it has been sent to its
 * worker.
 */
export function isWithoutStoredPlacement(allocation: Allocation): boolean {
  return allocation.desiredState === 'granted' || allocation.desiredState === 'pending';
}

/**
 * Whether an allocation uses capacity: until its worker reports that it has exited, its owner reports the
 * same (`keep` or `forget`), or it is finalized.
 */
export function usesCapacity(allocation: Allocation): boolean {
  return (
    !allocation.isFinalized &&
    allocation.reportedStatus?.phase !== 'exited' &&
    allocation.desiredState !== 'forget' &&
    allocation.desiredState !== 'keep'
  );
}
