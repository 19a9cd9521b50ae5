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
  reportedStatus: TaskStatus | null;
  /** Whether its worker last listed it as exited: it is not started again, even if it is no longer listed. */
  hasExited: boolean;
  isFinalized: boolean;
  /** The status last sent to its owner, to send each change once; empty: none. */
  lastSentStatusKey: string;
  /** When it began to run; before that, when it was created. Reset when it becomes `forget`. */
  phaseSince: number;
  /** Whether `phaseSince` is the start of its run: this leader saw it before it ran, or sent its start. */
  isStartTimeKnown: boolean;
  /** When its owner was asked to stop it; 0: never. */
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

/** Whether an allocation uses capacity: until its worker reports that it has exited, or it is finalized. */
export function usesCapacity(allocation: Allocation): boolean {
  return (
    !allocation.isFinalized &&
    allocation.reportedStatus?.phase !== 'exited' &&
    allocation.desiredState !== 'forget' &&
    allocation.desiredState !== 'keep'
  );
}
