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
   * Sequence of the heartbeat whose response carried the start command of this attempt, until a later
   * heartbeat arrives; -1: none.
   */
  startHeartbeatSequence: number;
  /** Whether a direct command that starts this attempt is in flight. */
  isDirectStartInFlight: boolean;
  /**
   * The status of this attempt in its worker's last report; null: the worker's list does not contain the
   * attempt.
   */
  reportedStatus: TaskStatus | null;
  /**
   * Whether the worker last listed this attempt as exited: the attempt is not started again, even if it is no
   * longer listed.
   */
  hasExited: boolean;
  /**
   * Whether the attempt has ended on its machine and can't run there again. The flag is reset if the worker
   * lists the attempt after all.
   */
  isFinalized: boolean;
  /**
   * The status of this allocation that was last sent to its shard owner, to send each change once; empty:
   * none.
   */
  lastSentStatusKey: string;
  /**
   * When the attempt was reported as running; before that, when the allocation was created. Once the desired
   * state is `forget`: when it became that. Other changes of phase, for example to `exited`, do not update
   * it.
   */
  phaseSince: number;
  /**
   * Whether `phaseSince` will be the start of the attempt's run once it runs: this leader sent its start
   * command, or saw the attempt before it ran. False if the attempt already ran when this leader first saw
   * it, so that `phaseSince` is too late.
   */
  isStartTimeKnown: boolean;
  /** When the shard owner was asked to stop this attempt; 0: it was not asked, or the request has expired. */
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
