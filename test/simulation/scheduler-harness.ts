/** Runs a leader's scheduler without the rest of the cluster. */

import type { CloudProvider } from '../../src/model/cloud-provider.js';
import type { ListedMachine } from '../../src/model/machine-type.js';
import type { PlacementSpec, ResourceRequest } from '../../src/model/placement.js';
import type { Policy } from '../../src/model/policy.js';
import type { Result } from '../../src/model/result.js';
import type { LeaderMessage } from '../../src/model/shard-messages.js';
import type { ServiceLevelObjective } from '../../src/model/team.js';
import type { Heartbeat, TaskStatus, WorkerCommand } from '../../src/model/worker-messages.js';
import { ImageLocations } from '../../src/scheduler/image-locations.js';
import { Scheduler } from '../../src/scheduler/scheduler.js';
import { CLUSTER_CONFIG } from './cluster-config.js';

type DirectCall = { commands: WorkerCommand[]; callback: (result: Result<Heartbeat>) => void };

const SHARD_EPOCHS = { red: 1, blue: 1, free: 1 };
const POLICY: Policy = {
  reserveReplicas: 0,
  reserveBatchJobs: 0,
  maxIdleSeconds: 60,
  amortizationSeconds: 60,
  serviceAmortizationSeconds: 60,
  maxBootTimeFactor: 3,
  unresponsiveSeconds: 60,
  maxUnresponsiveShare: 0.5,
  maxTasksPerRequest: 10,
  rebalanceIntervalSeconds: 30,
  rentalWaitFloorSeconds: 10,
};

/**
 * A scheduler that gets heartbeats and shard messages from the test, which also answers its direct commands.
 */
export class SchedulerHarness {
  readonly scheduler: Scheduler;
  readonly sentMessages: LeaderMessage[] = [];
  readonly directCalls: DirectCall[] = [];
  readonly tokenRaiseReasons: string[] = [];
  readonly deletedMachines: string[] = [];
  readonly resignationReasons: string[] = [];
  /** Number of peers that the scheduler is told it has recently heard from. */
  readonly recentlyHeardPeers = { count: 0 };
  /** The other controllers that could lead instead. */
  readonly handoverCandidates = { total: 2, reporting: 2 };
  /** Jobs that the scheduler knows to be stored as cancelled, regardless of what their owner has read. */
  readonly cancelledJobs = new Set<string>();
  /**
   * Rentals: the cloud responds only if `isAnswered` is set, and rented machines do not boot by themselves.
   */
  readonly rentals = { isAnswered: false, count: 0 };
  readonly listedMachines: ListedMachine[] = [];
  /**
   * Whether the owner acknowledges the leader's timestamps, and the number of its placement messages so far.
   */
  readonly owner = { acknowledgesTimestamps: true, placementMessages: 0 };
  private now = 0;
  private sequence = 0;

  constructor(
    private readonly fencingToken: number,
    private readonly policy: Partial<Policy> = {},
    private readonly objectives: ServiceLevelObjective[] = [],
  ) {
    this.scheduler = new Scheduler(this.options());
    this.scheduler.setOwners(
      new Map(CLUSTER_CONFIG.teams.map((team) => [team.name, { instanceId: 'o', shardEpoch: 1 }])),
    );
    this.scheduler.onShardMessage({
      type: 'fullSync',
      fencingToken,
      instanceId: 'o',
      syncNumber: 1,
      chunkCount: 1,
      chunkIndex: 0,
      shardEpochs: SHARD_EPOCHS,
      placements: [],
      requests: [],
    });
    this.acknowledgeTimestamps();
  }

  private options(): ConstructorParameters<typeof Scheduler>[0] {
    return {
      instanceId: 'a',
      fencingToken: this.fencingToken,
      teams: new Map(CLUSTER_CONFIG.teams.map((team) => [team.name, team])),
      workerTiming: { heartbeatIntervalSeconds: 2, leaseSeconds: 20, cancellationSeconds: 40 },
      machineListLagSeconds: 3,
      cloudCallsPerSecond: 5,
      imageLocations: new ImageLocations(),
      objectives: this.objectives,
      previousContacts: null,
      isFirstLeader: true,
      clock: {
        now: () => this.now,
        wallTime: () => this.now,
        after: () => () => {},
        defer: () => {},
        random: () => 0,
      },
      log: { debug: () => {}, info: () => {}, error: () => {} },
      cloud: this.cloud(),
      workers: {
        sendCommands: (_address, { commands }, callback) => this.directCalls.push({ commands, callback }),
      },
      machineTypes: () => CLUSTER_CONFIG.machineTypes,
      policy: () => ({ ...POLICY, ...this.policy }),
      holdsLeadership: () => true,
      send: (_instanceId, message) => this.sentMessages.push(message),
      wake: () => {},
      onHigherToken: () => {},
      latestCoverage: () => null,
      isCancelled: (id) => this.cancelledJobs.has(id),
      knownCancellationPeriod: (at) => ({ since: at, until: Number.NEGATIVE_INFINITY }),
      recentPeerCount: () => this.recentlyHeardPeers.count,
      handoverCandidates: () => this.handoverCandidates,
      forgetHandovers: () => {},
      resign: (reason) => this.resignationReasons.push(reason),
      raiseFencingToken: (reason) => this.tokenRaiseReasons.push(reason),
    };
  }

  private cloud(): CloudProvider {
    return {
      listMachineTypes: () => {},
      rentMachines: ({ claim, count }, callback) => {
        if (!this.rentals.isAnswered) return;
        this.rentals.count += count;
        callback({ ok: true, value: Array.from({ length: count }, (_, index) => `${claim}-${index}`) });
      },
      deleteMachines: (names, callback) => {
        this.deletedMachines.push(...names);
        if (this.rentals.isAnswered) callback({ ok: true, value: null });
      },
      listMachines: (_afterName, callback) =>
        callback({ ok: true, value: { machines: this.listedMachines, hasMore: false } }),
    };
  }

  private acknowledgeTimestamps(): void {
    if (!this.owner.acknowledgesTimestamps) return;
    this.scheduler.onShardMessage({
      type: 'cancellationCoverage',
      fencingToken: this.fencingToken,
      instanceId: 'o',
      syncNumber: 1,
      placementMessages: this.owner.placementMessages,
      shardEpochs: SHARD_EPOCHS,
      leaderTimestamp: this.now,
    });
  }

  /**
   * Sends a heartbeat of machine `m`; fields can be overridden. Returns null if the lease is not renewed now.
   */
  sendHeartbeat(tasks: TaskStatus[], fencingToken = this.fencingToken, overrides: Partial<Heartbeat> = {}) {
    this.acknowledgeTimestamps();
    const result = this.scheduler.handleHeartbeat({
      machine: 'm',
      address: 'm',
      machineType: 'small',
      zone: 'a',
      isSpot: false,
      workerEpoch: 1,
      sequence: ++this.sequence,
      fencingToken,
      evictionNoticeSeconds: null,
      tasks,
      ...overrides,
    });
    return result === 'unavailable' ? null : result;
  }

  /** Returns the placement of task 0 of job `wk-1` on machine `m`. */
  placementSpec(desiredState: PlacementSpec['desiredState']): PlacementSpec {
    return {
      jobId: 'wk-1',
      taskIndex: 0,
      attempt: 1,
      machine: 'm',
      workerEpoch: 1,
      desiredState,
      gracePeriodSeconds: 0,
      team: 'red',
      priority: 2,
      isGang: false,
      isService: false,
      cpus: 1,
      gpus: 0,
      memoryGb: 1,
      image: 'i',
      imageGb: 1,
      estimatedRunSeconds: 5,
      machineTypes: null,
      spreadOverZones: false,
      grantId: 0,
    };
  }

  /** Sends a placement from the owner to the leader. */
  sendPlacement(placement: PlacementSpec): void {
    this.scheduler.onShardMessage({
      type: 'placements',
      fencingToken: this.fencingToken,
      instanceId: 'o',
      placements: [placement],
    });
    this.owner.placementMessages++;
    this.scheduler.flush();
  }

  /** Sends the placement of task 0 of job `wk-1` in the given desired state from the owner to the leader. */
  sendDesiredState(desiredState: PlacementSpec['desiredState']): void {
    this.sendPlacement(this.placementSpec(desiredState));
  }

  /** Sends the pending resource requests of the owner to the leader. */
  sendRequests(requests: ResourceRequest[]): void {
    this.scheduler.onShardMessage({
      type: 'resourceRequests',
      fencingToken: this.fencingToken,
      instanceId: 'o',
      requests,
    });
  }

  /** Whether an allocation was reported to the owner as finalized. */
  hasFinalized(): boolean {
    this.scheduler.flush();
    return this.sentMessages.some(
      (message) =>
        message.type === 'allocationEvents' && message.events.some((event) => event.type === 'finalized'),
    );
  }

  /** Advances the clock, acknowledges the leader's timestamps, and runs one tick of the scheduler. */
  advance(durationMs: number): void {
    this.now += durationMs;
    this.acknowledgeTimestamps();
    this.scheduler.tick();
  }

  /** Job ids of all grants sent so far, one entry per grant. */
  grantedJobs(): string[] {
    this.scheduler.flush();
    return this.sentMessages.flatMap((message) =>
      message.type === 'grants' ? message.grants.map((grant) => grant.jobId) : [],
    );
  }
}

/** Status of attempt 1 of task 0 of job `wk-1`, as its worker reports it. */
export const taskStatus = (phase: 'running' | 'exited'): TaskStatus => ({
  jobId: 'wk-1',
  taskIndex: 0,
  attempt: 1,
  phase,
  exitReason: phase === 'exited' ? 'done' : null,
  checkpointSaved: false,
});

/** Returns a resource request for one small task; each field can be overridden. */
export const makeResourceRequest = (
  id: string,
  overrides: Partial<ResourceRequest> = {},
): ResourceRequest => ({
  jobId: id,
  team: 'red',
  jobClass: 'c',
  priority: 2,
  queuePosition: 1,
  missedObjectives: 0,
  taskCount: 1,
  isGang: false,
  isService: false,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'i',
  imageGb: 1,
  estimatedRunSeconds: 5,
  machineTypes: null,
  spotAllowed: true,
  zone: null,
  zoneAffinity: false,
  zoneAllowance: null,
  defaultZoneAllowance: 1,
  avoidedMachines: [],
  preferredMachine: '',
  maxWaitSeconds: null,
  objectiveSeconds: null,
  slackSeconds: null,
  lastProcessedGrantId: 0,
  ...overrides,
});
