import { taskKey } from '../model/job.js';
import type { PlacementSpec } from '../model/placement.js';
import type { Resources } from '../model/resources.js';
import type { Heartbeat, TaskStatus } from '../model/worker-messages.js';
import { type EndedTasks, NO_ENDED_TASKS } from './ended-attempts.js';

/** A placement as the scheduler holds it: room taken on a machine, and what its worker should do. */
export interface Allocation extends Omit<PlacementSpec, 'desiredState'> {
  key: string;
  /** `hold`: granted, not yet told to be stored. */
  desiredState: PlacementSpec['desiredState'] | 'hold';
  /** Tally of the report whose answer carries its start, until a later report comes. */
  sentWithHeartbeat: number;
  /** A direct command with its start is under way. */
  directStartInFlight: boolean;
  reported: TaskStatus | null;
  /** Its worker has listed it as ended: it is never started again, whatever the worker lists later. */
  hasExited: boolean;
  isFinalized: boolean;
  lastEventSent: string;
  phaseSince: number;
  /** Since when it runs is known: this scheduler saw it before it ran, or sent its start. */
  startObserved: boolean;
  /** When a stop was asked of its owner; 0: not. */
  evictionRequestedAt: number;
}

export interface Machine {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  agentEpoch: number;
  sequence: number;
  /** Tally of the newest report that came as a report, and not as the answer to a direct command. */
  heartbeatSequence: number;
  fencingToken: number;
  /** Any sign of life; reports alone; first seen to be up. */
  heardAt: number;
  heartbeatAt: number;
  upAt: number;
  /** The last report was answered, with a renewal of its lease. */
  leaseRenewed: boolean;
  /** Last asked a sibling, which sent it here. */
  redirectedAt: number;
  isUp: boolean;
  /** Has shown this scheduler's token: what it was heard to say is no late copy from before. */
  hasCurrentToken: boolean;
  /** Signs in a row that what is told to this machine does not reach it, although it is heard; since when. */
  missedAnswers: number;
  missedAnswersSince: number;
  rentedAt: number;
  /** The list calls it running, whether or not its worker was heard. */
  listedAsRunning: boolean;
  evictionDeadline: number | null;
  allocations: Map<string, Allocation>;
  tasks: Map<string, TaskStatus>;
  directCallInFlight: boolean;
  directCallAt: number;
  failedDirectCalls: number;
  /** Starts sent directly without an answer, with the token they were sent under: they may still arrive. */
  indeterminateStarts: Map<string, number>;
  indeterminateSince: number;
  /** Attempts that this scheduler started directly: a late repeat of the command would start them once more. */
  directlyStarted: Set<string>;
  images: Map<string, number>;
  isBeingDeleted: boolean;
  isQuarantined: boolean;
  /** Being emptied, to be returned. */
  isDraining: boolean;
  idleSince: number;
  failedJobs: Map<string, number>;
  /** By job: of which tasks it lists an ended attempt. */
  endedTasks: ReadonlyMap<string, EndedTasks>;
  unknownTasks: Map<string, number>;
  /** Room being freed here by stops is for this job. */
  reservation: { jobId: string; priority: number; until: number } | null;
  measuredRuns: number;
  meanSlowdown: number;
  /** What its entries come to, kept by the scheduler's `refresh`. */
  totals: MachineTotals;
}

export interface MachineTotals {
  /** Its type was known: `free` means something. */
  isTypeKnown: boolean;
  free: Resources;
  /** Taken by arrays and gangs, which may be stopped for services. */
  batch: Resources;
  /** Taken by tasks that are being stopped. */
  stopping: Resources;
  teams: { team: string; cpus: number; gpus: number }[];
  replicas: number;
  replicaCpus: number;
  batchTasks: number;
  /** Entries whose outcome is not stored yet: a machine without any is empty, whatever it still lists as ended. */
  unfinishedTasks: number;
  /** Something may have to be sent at once: a start or a stop. */
  hasPendingCommands: boolean;
  /** Running entries by rank. */
  runningByPriority: [number, number, number, number];
}

export function emptyTotals(): MachineTotals {
  const none = () => ({ cpus: 0, gpus: 0, memoryGb: 0 });
  return {
    isTypeKnown: false,
    free: none(),
    batch: none(),
    stopping: none(),
    teams: [],
    replicas: 0,
    replicaCpus: 0,
    batchTasks: 0,
    unfinishedTasks: 0,
    hasPendingCommands: false,
    runningByPriority: [0, 0, 0, 0],
  };
}

function addResources(sum: Resources, amount: Resources, sign = 1): void {
  sum.cpus += sign * amount.cpus;
  sum.gpus += sign * amount.gpus;
  sum.memoryGb += sign * amount.memoryGb;
}

export function totalsOf(machine: Machine, t: Resources | undefined): MachineTotals {
  const totals = emptyTotals();
  if (t) {
    totals.isTypeKnown = true;
    totals.free = { cpus: t.cpus, gpus: t.gpus, memoryGb: t.memoryGb };
  }
  for (const allocation of machine.allocations.values()) {
    if (allocation.desiredState !== 'forget') totals.unfinishedTasks++;
    if (allocation.desiredState === 'stop' || (allocation.desiredState === 'run' && !allocation.reported))
      totals.hasPendingCommands = true;
    if (!usesCapacity(allocation)) continue;
    addResources(totals.free, allocation, -1);
    if (allocation.desiredState === 'stop' || allocation.evictionRequestedAt)
      addResources(totals.stopping, allocation);
    const u = totals.teams.find((x) => x.team === allocation.team);
    if (u) {
      u.cpus += allocation.cpus;
      u.gpus += allocation.gpus;
    } else totals.teams.push({ team: allocation.team, cpus: allocation.cpus, gpus: allocation.gpus });
    if (allocation.isService) {
      totals.replicas++;
      totals.replicaCpus += allocation.cpus;
    } else {
      totals.batchTasks++;
      if (allocation.priority > 0) addResources(totals.batch, allocation);
    }
    if (allocation.desiredState === 'run') totals.runningByPriority[allocation.priority]++;
  }
  return totals;
}

export function createMachine(name: string, now: number): Machine {
  return {
    name,
    address: '',
    machineType: '',
    zone: '',
    isSpot: false,
    agentEpoch: 0,
    sequence: -1,
    heartbeatSequence: -1,
    fencingToken: 0,
    heardAt: now,
    heartbeatAt: Number.NEGATIVE_INFINITY,
    upAt: Number.NEGATIVE_INFINITY,
    leaseRenewed: false,
    redirectedAt: Number.NEGATIVE_INFINITY,
    isUp: false,
    hasCurrentToken: false,
    missedAnswers: 0,
    missedAnswersSince: 0,
    rentedAt: now,
    listedAsRunning: false,
    evictionDeadline: null,
    allocations: new Map(),
    tasks: new Map(),
    directCallInFlight: false,
    directCallAt: 0,
    failedDirectCalls: 0,
    indeterminateStarts: new Map(),
    indeterminateSince: 0,
    directlyStarted: new Set(),
    images: new Map(),
    isBeingDeleted: false,
    isQuarantined: false,
    isDraining: false,
    idleSince: now,
    failedJobs: new Map(),
    endedTasks: NO_ENDED_TASKS,
    unknownTasks: new Map(),
    reservation: null,
    measuredRuns: 0,
    meanSlowdown: 0,
    totals: emptyTotals(),
  };
}

/** Room promised or asked for, without a stored placement: its worker has never been told of it. */
export function isWithoutStoredPlacement(allocation: Allocation): boolean {
  return allocation.desiredState === 'hold' || allocation.desiredState === 'pending';
}

export function createAllocation(placement: PlacementSpec, now: number): Allocation {
  return {
    ...placement,
    key: taskKey(placement.jobId, placement.taskIndex, placement.attempt),
    sentWithHeartbeat: -1,
    directStartInFlight: false,
    reported: null,
    hasExited: false,
    isFinalized: false,
    lastEventSent: '',
    phaseSince: now,
    startObserved: false,
    evictionRequestedAt: 0,
  };
}

/** Since when it may have gone without a renewal of its lease: direct commands renew none. */
export function lastProofOfLife(machine: Machine): number {
  return Math.max(machine.heartbeatAt, machine.upAt);
}

/** Newer than all that was seen from this machine? */
export function isNewer(machine: Machine, heartbeat: Heartbeat): boolean {
  return (
    heartbeat.agentEpoch > machine.agentEpoch ||
    (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence > machine.sequence)
  );
}

/** Takes part in the room of its machine: until its worker says that it ended, or it is settled. */
export function usesCapacity(allocation: Allocation): boolean {
  return (
    !allocation.isFinalized &&
    allocation.reported?.phase !== 'exited' &&
    allocation.desiredState !== 'forget' &&
    allocation.desiredState !== 'keep'
  );
}
