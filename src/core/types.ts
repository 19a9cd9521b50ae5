/** Words used everywhere inside; the protocol's own names are known to src/wire alone. */

export type JobKind = 'array' | 'gang' | 'service';
/** 0 is the highest: prod, urgent, standard, low. */
export type Priority = 0 | 1 | 2 | 3;

export interface JobSpec {
  id: string;
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  taskCount: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  machineTypes: string[] | null;
  zone: string | null;
  zoneAffinity: boolean;
  zoneAntiAffinity: boolean;
  spotAllowed: boolean;
  estimatedRunSeconds: number;
  checkpointIntervalSeconds: number;
  checkpointSaveSeconds: number;
  deadlineSeconds: number | null;
  /** Time of day of acceptance in ms, used for deadlines only. */
  acceptedAtMs: number;
}

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  imageCacheGb: number;
  imageFetchGbPerSecond: number;
  hourlyPrice: number;
  hourlySpotPrice: number;
  bootSeconds: number;
  zones: string[];
}

export interface Team {
  name: string;
  guaranteedCpus: number;
  maxCpus: number;
  guaranteedGpus: number;
  maxGpus: number;
}

export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskStatus {
  jobId: string;
  taskIndex: number;
  attempt: number;
  phase: TaskPhase;
  exitReason: ExitReason | null;
  checkpointSaved: boolean;
}

export interface Heartbeat {
  machine: string;
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  evictionNoticeSeconds: number | null;
  tasks: TaskStatus[];
}

export type WorkerCommand =
  | { type: 'start'; jobId: string; taskIndex: number; attempt: number }
  | { type: 'stop'; jobId: string; taskIndex: number; attempt: number; gracePeriodSeconds: number }
  | { type: 'reap'; jobId: string; taskIndex: number; attempt: number };

export interface ListedMachine {
  name: string;
  address: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  phase: 'booting' | 'running' | 'failed';
  ageSeconds: number;
}

/** Work of one job that its owner would start now if it had room. */
export interface ResourceRequest {
  jobId: string;
  team: string;
  jobClass: string;
  priority: Priority;
  /** Place in the queue within rank, guarantee and stage: lower goes first. */
  queuePosition: number;
  /** 0 while the job can still meet its first aim or deadline, more for each one missed. */
  missedObjectives: number;
  taskCount: number;
  /** All or none. */
  allOrNothing: boolean;
  isService: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  estimatedRunSeconds: number;
  machineTypes: string[] | null;
  spotAllowed: boolean;
  /** Nothing of it has found room for long: room kept for others is open to it. */
  isStarved?: boolean;
  /** Only cheap machines are worth renting for it. */
  spotOnly?: boolean;
  zone: string | null;
  zoneAffinity: boolean;
  /** At most so many more in a zone, for jobs that must be spread. */
  zoneAllowance: Record<string, number> | null;
  maxTasksPerZone: number;
  /** Machines on which this job failed lately. */
  avoidedMachines: string[];
  /**
   * The tasks still to be placed, where they are few and one of them has had an attempt: a machine that lists ended
   * attempts of all of them is of no use. Null: many, or none that any machine could list; a gang places all its tasks.
   */
  remainingTasks?: number[] | null;
  /** Machines that would refuse each task still to be placed: the scheduler's reckoning. */
  refusingMachines?: ReadonlySet<string>;
  preferredMachine: string;
  /** So long it may still wait for places without putting its aim at risk: the scheduler's reckoning; null: it has none. */
  maxWaitSeconds: number | null;
  /** Its aim on being done, and what is left until then; null: none, or past it. */
  objectiveSeconds: number | null;
  slackSeconds: number | null;
  /** The newest grant that its owner had taken in: what it granted is no longer wanted. */
  lastGrantTaken: number;
}

/** An unsettled placement as its owner tells it to the scheduler. */
export interface PlacementSpec {
  jobId: string;
  taskIndex: number;
  attempt: number;
  machine: string;
  agentEpoch: number;
  /**
   * `keep`: ended, its outcome is being stored. `pending`: its write is in flight or in doubt; it keeps its room, and nothing
   * is started for it.
   */
  desiredState: 'run' | 'stop' | 'keep' | 'reap' | 'pending';
  gracePeriodSeconds: number;
  team: string;
  priority: Priority;
  isGang: boolean;
  isService: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  estimatedRunSeconds: number;
  machineTypes: string[] | null;
  /** Must be spread over zones. */
  spreadOverZones: boolean;
  grantId: number;
}

/** An operator's aim, as the settings restate it. */
export interface ServiceLevelObjective {
  kind: string;
  jobClass: string;
  withinSeconds: number;
}

export interface Grant {
  id: number;
  jobId: string;
  team: string;
  machine: string;
  zone: string;
  agentEpoch: number;
  /** Tasks of the job of which the machine lists an ended attempt: it would refuse another one. Absent: none. */
  endedTasks?: number[];
}

/** Owner to scheduler. `gens` names the version of each team record the sender acts under. */
export type ShardMessage =
  | {
      type: 'fullSync';
      fencingToken: number;
      instanceId: string;
      /** Number of this telling, and which of its parts this is. */
      syncNumber: number;
      chunkCount: number;
      chunkIndex: number;
      shardEpochs: Record<string, number>;
      placements: PlacementSpec[];
      requests: ResourceRequest[];
    }
  | { type: 'resourceRequests'; fencingToken: number; instanceId: string; requests: ResourceRequest[] }
  | { type: 'placements'; fencingToken: number; instanceId: string; placements: PlacementSpec[] }
  | {
      type: 'release';
      fencingToken: number;
      instanceId: string;
      tasks: { machine: string; taskKey: string }[];
      grants: number[];
    }
  /** Whatever was cancelled before the leader's `mark` has been told, in `n` messages of placements since that sync. */
  | {
      type: 'cancellationCoverage';
      fencingToken: number;
      instanceId: string;
      syncNumber: number;
      placementMessages: number;
      shardEpochs: Record<string, number>;
      leaderTimestamp: number;
    };

/** What became of placements, as the scheduler saw it. */
export type AllocationEvent =
  | {
      type: 'phase';
      jobId: string;
      taskIndex: number;
      attempt: number;
      machine: string;
      phase: TaskPhase;
      exitReason: ExitReason | null;
      checkpointSaved: boolean;
    }
  | { type: 'finalized'; jobId: string; taskIndex: number; attempt: number; machine: string };

export type LeaderMessage =
  /** The full telling of this number has been taken in. Without it (from a leader of an earlier version): the last one. */
  | { type: 'syncAccepted'; fencingToken: number; syncNumber?: number }
  | { type: 'syncRequested'; fencingToken: number }
  | { type: 'grants'; fencingToken: number; grants: Grant[] }
  /** A time on the leader's clock. */
  | { type: 'timestamp'; fencingToken: number; leaderTimestamp: number }
  | { type: 'allocationEvents'; fencingToken: number; events: AllocationEvent[] }
  | { type: 'evict'; fencingToken: number; tasks: TaskAttempt[]; reason: string };

/** One attempt of a task. */
export interface TaskAttempt {
  jobId: string;
  taskIndex: number;
  attempt: number;
}

/** One attempt of a task. */
export interface TaskAttempt {
  jobId: string;
  taskIndex: number;
  attempt: number;
}

export function taskKey(jobId: string, taskIndex: number, attempt: number): string {
  return `${jobId}/${taskIndex}#${attempt}`;
}

export type LogFields = Record<string, unknown>;
export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}

export type StoreOperation = { put: string; value: unknown; lease?: number } | { del: string };
export interface Transaction {
  preconditions: { key: string; modRevision: number }[];
  operations: StoreOperation[];
}
export interface StoredItem {
  key: string;
  value: unknown;
  modRevision: number;
  leaseId?: number;
}
export type WatchEvent = { key: string; modRevision: number; value: unknown; deleted: boolean };

/** `refused`: surely not executed. `unknown`: may have been, or may yet be. */
export type Failure = {
  ok: false;
  kind: 'conflict' | 'refused' | 'unknown' | 'gone' | 'bad';
  failedKeys?: string[];
  heartbeat?: Heartbeat;
};
export type Result<T> = { ok: true; value: T } | Failure;
export type ResultCallback<T> = (result: Result<T>) => void;

/**
 * Urgency of a request to the state service, most urgent first. Submissions and the reads that answer users cost one put
 * or none each, so they go before the placements, whose transactions use up the budget of writes.
 */
export const URGENCY = { lease: 0, user: 1, placement: 2, read: 3, cleanup: 4 } as const;
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

export interface KeyValueStore {
  get(key: string, urgency: Urgency, callback: ResultCallback<StoredItem | null>): void;
  list(
    prefix: string,
    since: string,
    urgency: Urgency,
    callback: ResultCallback<{ items: StoredItem[]; more: boolean; storeRevision: number }>,
  ): void;
  compareAndSwap(transaction: Transaction, urgency: Urgency, callback: ResultCallback<number>): void;
  grantLease(ttlMs: number, callback: ResultCallback<number>): void;
  keepLeaseAlive(lease: number, callback: ResultCallback<null>): void;
  revokeLease(lease: number, callback: ResultCallback<null>): void;
  watch(
    prefix: string,
    since: number,
    waitMs: number,
    callback: ResultCallback<{ storeRevision: number; events: WatchEvent[] }>,
  ): void;
}

export interface CloudProvider {
  listMachineTypes(callback: ResultCallback<MachineType[]>): void;
  rentMachines(
    claim: string,
    type: string,
    zone: string,
    spot: boolean,
    n: number,
    callback: ResultCallback<string[]>,
  ): void;
  deleteMachines(names: string[], callback: ResultCallback<null>): void;
  listMachines(since: string, callback: ResultCallback<{ machines: ListedMachine[]; more: boolean }>): void;
}

export interface WorkerCommandPort {
  /** Straight to a worker. `refused`: 409 or a connection that was never made; nothing was executed. */
  sendCommands(
    addr: string,
    token: number,
    agentEpoch: number,
    commands: WorkerCommand[],
    callback: ResultCallback<Heartbeat>,
  ): void;
}

export interface Clock {
  /** Steady milliseconds. */
  now(): number;
  /** Time of day in milliseconds, within the bound of the settings. */
  wall(): number;
  after(ms: number, fn: () => void): () => void;
  /** After what is already waiting to be handled. */
  soon(fn: () => void): void;
  random(): number;
}
