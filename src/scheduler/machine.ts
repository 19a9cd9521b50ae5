/** A rented machine as the leader knows it: its worker's heartbeats, its allocations, and its commands. */

import type { Heartbeat, TaskStatus } from '../model/worker-messages.js';
import type { Allocation } from './allocation.js';
import { type ExitedTasks, NO_EXITED_TASKS } from './exited-attempts.js';
import { emptyTotals, type MachineTotals } from './machine-totals.js';

/** State of the commands sent to a worker directly instead of in the response to a heartbeat. Times in ms. */
export interface DirectCommandState {
  inFlight: boolean;
  lastSentAt: number;
  /**
   * Consecutive direct commands without a response. A heartbeat resets the count, unless responses are
   * missed.
   */
  failures: number;
  /** Starts that got no response and may still arrive: the token they were sent under, by attempt key. */
  indeterminateStarts: Map<string, number>;
  /** When the first of the present `indeterminateStarts` was added. */
  indeterminateSince: number;
  /** Attempts that this leader started directly: a late duplicate of the command could start them again. */
  startedAttempts: Set<string>;
}

/** Consecutive heartbeats that show that the responses to earlier ones did not arrive. Time in ms. */
export interface MissedResponses {
  count: number;
  since: number;
}

/** Run times of the tasks on a machine relative to their estimates. */
export interface SpeedMeasurement {
  runs: number;
  /** Moving average of run time divided by estimated run time. */
  meanSlowdown: number;
}

/** A rented machine. Times in ms on this controller's clock. */
export interface Machine {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  workerEpoch: number;
  /** Sequence of the newest message of the worker: a heartbeat, or the response to a direct command. */
  sequence: number;
  /** Sequence of the newest heartbeat, without responses to direct commands. */
  heartbeatSequence: number;
  /** The highest fencing token that the machine's worker has reported. */
  fencingToken: number;
  /**
   * When the last heartbeat or response to a direct command arrived; before the first, when the machine
   * became known.
   */
  lastHeardAt: number;
  lastHeartbeatAt: number;
  /** When this leader first saw the machine up. */
  upSince: number;
  /** Whether the response to the machine's last heartbeat renewed the machine's lease. */
  wasLeaseRenewed: boolean;
  /** When a peer last reported that it had redirected this machine. */
  redirectedAt: number;
  /** When a peer first reported that, without a long pause until `redirectedAt`. */
  redirectedSince: number;
  /** Whether the machine's worker has reported its status to this leader; never reset. */
  isUp: boolean;
  /**
   * Whether the machine's worker has reported this leader's fencing token. Before that, the worker's status
   * may come from a late duplicate of an earlier message.
   */
  hasCurrentToken: boolean;
  missedResponses: MissedResponses;
  rentedAt: number;
  /** Whether the cloud lists the machine as running, even if its worker has not reported yet. */
  isListedAsRunning: boolean;
  /** When the cloud reclaims the machine; null: no eviction notice. */
  evictionDeadline: number | null;
  /** Allocations of the machine by key, grants included. */
  allocations: Map<string, Allocation>;
  /** The attempts that the machine's worker lists, by attempt key. */
  tasks: Map<string, TaskStatus>;
  directCommands: DirectCommandState;
  /** Sizes in GB of the images on the machine by image, least recently used first. */
  images: Map<string, number>;
  isBeingDeleted: boolean;
  /** Whether the machine gets no new work because jobs fail on it or it is far slower than others. */
  isQuarantined: boolean;
  /** Whether the machine gets no new work because it is being emptied to be returned. */
  isDraining: boolean;
  /** When the machine last became empty; before that, when it came up or became known. */
  idleSince: number;
  /** When a task of each job last failed on it, by job; without jobs of which a task was done on it later. */
  failedJobs: Map<string, number>;
  /** Tasks with a listed exited attempt, without tasks that are done, by job. */
  exitedTasks: ReadonlyMap<string, ExitedTasks>;
  /** Listed attempts without an allocation, by attempt key: since when they are listed. */
  unknownTasks: Map<string, number>;
  /** The job for which tasks are preempted here: the freed capacity is reserved for it. */
  reservation: { jobId: string; priority: number; until: number } | null;
  speed: SpeedMeasurement;
  /** Totals of the machine's allocations, as of the last `ClusterState.refreshTotals`. */
  totals: MachineTotals;
}

/** Creates a machine of which only the name is known. */
export function createMachine(name: string, now: number): Machine {
  return {
    name,
    address: '',
    machineType: '',
    zone: '',
    isSpot: false,
    workerEpoch: 0,
    sequence: -1,
    heartbeatSequence: -1,
    fencingToken: 0,
    lastHeardAt: now,
    lastHeartbeatAt: Number.NEGATIVE_INFINITY,
    upSince: Number.NEGATIVE_INFINITY,
    wasLeaseRenewed: false,
    redirectedAt: Number.NEGATIVE_INFINITY,
    redirectedSince: Number.NEGATIVE_INFINITY,
    isUp: false,
    hasCurrentToken: false,
    missedResponses: { count: 0, since: 0 },
    rentedAt: now,
    isListedAsRunning: false,
    evictionDeadline: null,
    allocations: new Map(),
    tasks: new Map(),
    directCommands: {
      inFlight: false,
      lastSentAt: 0,
      failures: 0,
      indeterminateStarts: new Map(),
      indeterminateSince: 0,
      startedAttempts: new Set(),
    },
    images: new Map(),
    isBeingDeleted: false,
    isQuarantined: false,
    isDraining: false,
    idleSince: now,
    failedJobs: new Map(),
    exitedTasks: NO_EXITED_TASKS,
    unknownTasks: new Map(),
    reservation: null,
    speed: { runs: 0, meanSlowdown: 0 },
    totals: emptyTotals(),
  };
}

/**
 * The latest time at which a machine's lease may have been renewed: by its last heartbeat, or before this
 * leader first saw it up. Direct commands do not renew leases.
 */
export function lastPossibleLeaseRenewalAt(machine: Machine): number {
  return Math.max(machine.lastHeartbeatAt, machine.upSince);
}

/**
 * Whether a heartbeat, or the status in a response to a direct command, is newer than every earlier message
 * of this machine.
 */
export function isNewestMessage(machine: Machine, heartbeat: Heartbeat): boolean {
  return (
    heartbeat.workerEpoch > machine.workerEpoch ||
    (heartbeat.workerEpoch === machine.workerEpoch && heartbeat.sequence > machine.sequence)
  );
}

/** Whether a machine runs a task without an allocation: the capacity that the task uses is not known. */
export function runsUnknownTask(machine: Machine): boolean {
  for (const key of machine.unknownTasks.keys())
    if (!machine.allocations.has(key) && machine.tasks.get(key)?.phase !== 'exited') return true;
  return false;
}
