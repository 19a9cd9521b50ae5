/** Capacity taken on a machine: placements as the leader tracks them, and grants that are not yet stored as placements. */

import { attemptKey } from '../model/job.js';
import type { PlacementSpec } from '../model/placement.js';
import type { TaskStatus } from '../model/worker-messages.js';

/** A placement as the leader tracks it: capacity taken on a machine, and what its worker should do. Times in ms. */
export interface Allocation extends Omit<PlacementSpec, 'desiredState'> {
  key: string;
  /** `hold`: granted, not yet told to be stored. */
  desiredState: PlacementSpec['desiredState'] | 'hold';
  /** Sequence of the heartbeat whose answer carries its start, until a later heartbeat comes; -1: none. */
  startHeartbeatSequence: number;
  /** A direct command with its start is under way. */
  isDirectStartInFlight: boolean;
  reportedStatus: TaskStatus | null;
  /** Its worker has listed it as ended: it is never started again, whatever the worker lists later. */
  hasExited: boolean;
  isFinalized: boolean;
  lastEventSent: string;
  phaseSince: number;
  /** Since when it runs is known: this leader saw it before it ran, or sent its start. */
  isStartTimeKnown: boolean;
  /** When its owner was asked to stop it; 0: not. */
  evictionRequestedAt: number;
}

/** The key of a grant among the allocations of its machine. */
export function grantKey(grantId: number): string {
  return `grant#${grantId}`;
}

/** A placement that the leader did not know before. */
export function createAllocation(placement: PlacementSpec, now: number): Allocation {
  return {
    ...placement,
    key: attemptKey(placement.jobId, placement.taskIndex, placement.attempt),
    startHeartbeatSequence: -1,
    isDirectStartInFlight: false,
    reportedStatus: null,
    hasExited: false,
    isFinalized: false,
    lastEventSent: '',
    phaseSince: now,
    isStartTimeKnown: false,
    evictionRequestedAt: 0,
  };
}

/** Capacity promised or asked for, without a stored placement: its worker has never been told of it. */
export function isWithoutStoredPlacement(allocation: Allocation): boolean {
  return allocation.desiredState === 'hold' || allocation.desiredState === 'pending';
}

/** Takes capacity of its machine: until its worker says that it ended, or it is finalized. */
export function usesCapacity(allocation: Allocation): boolean {
  return (
    !allocation.isFinalized &&
    allocation.reportedStatus?.phase !== 'exited' &&
    allocation.desiredState !== 'forget' &&
    allocation.desiredState !== 'keep'
  );
}
