/** A rented machine as the leader knows it: what its worker said, what is placed there, and how it is spoken to. */

import type { Heartbeat, TaskStatus } from '../model/worker-messages.js';
import type { Allocation } from './allocation.js';
import { type EndedTasks, NO_ENDED_TASKS } from './ended-attempts.js';
import { emptyTotals, type MachineTotals } from './machine-totals.js';

/** Commands sent straight to a worker, and not with the answer to a heartbeat. Times in ms. */
export interface DirectCommandState {
  inFlight: boolean;
  lastSentAt: number;
  /** Calls in a row that brought no answer. */
  failures: number;
  /** Starts sent without an answer, with the fencing token they were sent under: they may still arrive. */
  indeterminateStarts: Map<string, number>;
  indeterminateSince: number;
  /** Attempts that this leader started directly: a late repeat of the command would start them once more. */
  startedAttempts: Set<string>;
}

/** Signs in a row that what is sent to a machine does not reach it, although it is heard. Time in ms. */
export interface MissedAnswers {
  count: number;
  since: number;
}

/** Run times of the tasks on a machine against their estimates. */
export interface SpeedMeasurement {
  runs: number;
  /** Moving mean of run time divided by estimate. */
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
  sequence: number;
  /** Sequence of the newest heartbeat that came as one, and not as the answer to a direct command. */
  heartbeatSequence: number;
  fencingToken: number;
  /** Any sign of life; heartbeats alone; first seen to be up. */
  lastHeardAt: number;
  lastHeartbeatAt: number;
  upSince: number;
  /** The last heartbeat was answered, with a renewal of its lease. */
  wasLeaseRenewed: boolean;
  /** Last asked a peer, which sent it here. */
  redirectedAt: number;
  isUp: boolean;
  /** Has shown this leader's fencing token: what it was heard to say is no late copy from before. */
  hasCurrentToken: boolean;
  missedAnswers: MissedAnswers;
  rentedAt: number;
  /** The cloud lists it as running, whether or not its worker was heard. */
  isListedAsRunning: boolean;
  evictionDeadline: number | null;
  allocations: Map<string, Allocation>;
  /** What its worker lists, by task key. */
  tasks: Map<string, TaskStatus>;
  directCommands: DirectCommandState;
  /** Sizes in GB by image, least recently used first. */
  images: Map<string, number>;
  isBeingDeleted: boolean;
  /** Given no new work: jobs fail on it, or it is far slower than others. */
  isQuarantined: boolean;
  /** Being emptied, to be returned. */
  isDraining: boolean;
  idleSince: number;
  /** When a task of each job last failed there. */
  failedJobs: Map<string, number>;
  /** By job: of which tasks it lists an ended attempt. */
  endedTasks: ReadonlyMap<string, EndedTasks>;
  /** Since when it lists tasks that no owner has claimed. */
  unknownTasks: Map<string, number>;
  /** Capacity being freed here by stops is for this job. */
  reservation: { jobId: string; priority: number; until: number } | null;
  speed: SpeedMeasurement;
  /** What its allocations come to, kept by `ClusterState.refreshTotals`. */
  totals: MachineTotals;
}

/** A machine of which nothing but its name is known. */
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
    isUp: false,
    hasCurrentToken: false,
    missedAnswers: { count: 0, since: 0 },
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
    endedTasks: NO_ENDED_TASKS,
    unknownTasks: new Map(),
    reservation: null,
    speed: { runs: 0, meanSlowdown: 0 },
    totals: emptyTotals(),
  };
}

/** Since when it may have gone without a renewal of its lease: direct commands renew none. */
export function lastPossibleLeaseRenewalAt(machine: Machine): number {
  return Math.max(machine.lastHeartbeatAt, machine.upSince);
}

/** Newer than all that was heard of this machine? */
export function isNewer(machine: Machine, heartbeat: Heartbeat): boolean {
  return (
    heartbeat.workerEpoch > machine.workerEpoch ||
    (heartbeat.workerEpoch === machine.workerEpoch && heartbeat.sequence > machine.sequence)
  );
}

/** Runs something nobody claims: how much capacity it takes is not known. */
export function runsUnknownTask(machine: Machine): boolean {
  for (const key of machine.unknownTasks.keys())
    if (!machine.allocations.has(key) && machine.tasks.get(key)?.phase !== 'exited') return true;
  return false;
}
