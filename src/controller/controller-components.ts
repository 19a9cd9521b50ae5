/**
 * Creates the components of a controller and connects them to each other.
 *
 * Every controller has a shard owner, which manages the jobs of the teams whose shards it owns (a shard is
 * all jobs of one team), and serves users and workers. The controller that leads also has a scheduler, which
 * grants capacity to the shard owners of all controllers.
 */

import { JobApi } from '../api/job-api.js';
import { cancellationReadIntervalMs } from '../model/cancellation-coverage.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import { maxTasksPerRequest } from '../model/policy.js';
import type { Team } from '../model/team.js';
import { Scheduler } from '../scheduler/scheduler.js';
import { ShardOwner } from '../shard/shard-owner.js';
import { OPEN_JOBS_PREFIX } from '../store/keyspace.js';
import { WatchCache } from '../store/watch-cache.js';
import { CancellationCoordinator } from './cancellation-coordinator.js';
import type { ControllerOptions } from './controller-options.js';
import { EventQueue, type EventQueueOptions } from './event-queue.js';
import { HandoverHistory } from './handover-history.js';
import { ImageReplication } from './image-replication.js';
import { LeaderElection } from './leader-election.js';
import { Leadership } from './leadership.js';
import { MachineTypeCatalog } from './machine-type-catalog.js';
import { NodeLease } from './node-lease.js';
import { PeerHeartbeatSender } from './peer-heartbeat-sender.js';
import { PeerMessageHandler } from './peer-message-handler.js';
import { PeerMessenger } from './peer-messenger.js';
import { PeerRegistry } from './peer-registry.js';
import { queuedCloud, queuedWorkers } from './queued-ports.js';
import { ShardAssignment } from './shard-assignment.js';
import { StoreContact } from './store-contact.js';
import { SystemRecords } from './system-records.js';
import { WorkerHeartbeatHandler } from './worker-heartbeat-handler.js';

/** Maximum time that one watch request for the open jobs (a long poll) waits for a change. */
const OPEN_JOBS_WATCH_WAIT_MS = 10000;
/** Minimum time between two watch requests for the open jobs, which change several times a second. */
const OPEN_JOBS_WATCH_INTERVAL_MS = 100;
/**
 * Time added to the checkpoint save time of an evicted task to obtain its grace period. A task that saves no
 * checkpoints gets no grace period.
 */
const EVICTION_GRACE_MARGIN_SECONDS = 1;

/** Callbacks of the event queue. */
type EventCallbacks = Pick<EventQueueOptions, 'handleEvent' | 'onBatchEnd'>;

/**
 * The components of one controller. Each mutable field belongs to one component, and only that component
 * changes it. A component gets those created before it as objects; it reaches the ones created after it
 * through functions, which are called only once all components exist.
 */
export class ControllerComponents {
  /** Serves users' requests. */
  readonly api: JobApi;
  readonly queue: EventQueue;
  readonly storeContact: StoreContact;
  /** Records about the cluster that all controllers share: leader, nodes, shard owners and machine types. */
  readonly records: SystemRecords;
  /** Cache of the records under `open/`: accepted jobs and their counters of finished tasks. */
  readonly openJobs: WatchCache;
  readonly lease: NodeLease;
  readonly leadership: Leadership;
  readonly handoverHistory: HandoverHistory;
  readonly election: LeaderElection;
  /** The latest state reported by each of the other controllers. */
  readonly peerRegistry = new PeerRegistry();
  /** Sends messages to the other controllers. */
  readonly messenger: PeerMessenger;
  readonly cancellationCoordinator: CancellationCoordinator;
  readonly imageReplication: ImageReplication;
  readonly assignment: ShardAssignment;
  readonly machineTypes: MachineTypeCatalog;
  readonly shardOwner: ShardOwner;
  /** Responds to the heartbeats of workers. */
  readonly workerHeartbeatHandler: WorkerHeartbeatHandler;
  /** Sends heartbeats to the other controllers. */
  readonly peerHeartbeatSender: PeerHeartbeatSender;
  /** Handles the messages of the other controllers. */
  readonly peerMessageHandler: PeerMessageHandler;
  private readonly teams: Map<string, Team>;
  private readonly store: KeyValueStore;
  private readonly cloud: CloudProvider;

  constructor(
    private readonly options: ControllerOptions,
    callbacks: EventCallbacks,
  ) {
    const { clock } = options;
    this.teams = new Map(options.teams.map((team) => [team.name, team]));
    this.queue = new EventQueue({ clock, ...callbacks });
    this.storeContact = new StoreContact(clock, this.queue);
    this.store = this.storeContact.observe(options.store);
    this.cloud = queuedCloud(options.cloud, this.queue);
    this.records = this.createSystemRecords();
    this.openJobs = this.createOpenJobs();
    this.lease = this.createLease();
    this.leadership = this.createLeadership();
    this.handoverHistory = this.createHandoverHistory();
    this.election = this.createElection();
    this.messenger = this.createMessenger();
    this.cancellationCoordinator = this.createCancellationCoordinator();
    this.imageReplication = new ImageReplication(this.messenger, this.leadership);
    this.assignment = this.createAssignment();
    this.machineTypes = this.createMachineTypes();
    this.shardOwner = this.createShardOwner();
    this.workerHeartbeatHandler = this.createWorkerHeartbeatHandler();
    this.peerHeartbeatSender = this.createPeerHeartbeatSender();
    this.peerMessageHandler = this.createPeerMessageHandler();
    this.api = this.createApi();
  }

  private onTermStarted(scheduler: Scheduler): void {
    scheduler.setOwners(this.records.shardOwners());
    this.assignment.onTermStarted();
    this.machineTypes.refreshNow();
  }

  private onShardOwnersChanged(): void {
    const owners = this.records.shardOwners();
    const owned = new Map<string, number>();
    for (const [team, { instanceId, shardEpoch }] of owners)
      if (instanceId === this.options.instanceId && this.teams.has(team)) owned.set(team, shardEpoch);
    this.shardOwner.setShards(owned);
    this.openJobs.setWatchEnabled(owned.size > 0);
    this.leadership.scheduler?.setOwners(owners);
  }

  private createSystemRecords(): SystemRecords {
    return new SystemRecords(this.store, this.options.clock, {
      onLeaderChanged: () => this.election.onLeaderRecordChanged(),
      onShardOwnersChanged: () => this.onShardOwnersChanged(),
      onMachineTypesChanged: () => this.machineTypes.onRecordChanged(),
      onNodesChanged: () => this.assignment.assign(this.options.clock.now()),
    });
  }

  /**
   * Creates the cache of the open jobs. It watches for changes while this controller owns a shard; otherwise
   * only reads refresh it: those for users' requests, and a periodic one.
   */
  private createOpenJobs(): WatchCache {
    return new WatchCache({
      prefix: OPEN_JOBS_PREFIX,
      store: this.store,
      clock: this.options.clock,
      watchWaitMs: OPEN_JOBS_WATCH_WAIT_MS,
      minWatchIntervalMs: OPEN_JOBS_WATCH_INTERVAL_MS,
      isWatchEnabled: false,
      onChange: (key, value, modRevision) => {
        // Deleted records of open jobs need no handling here: only the job's shard owner deletes them, when
        // it archives the job.
        if (value !== undefined) this.shardOwner.onOpenJobChanged({ key, value, modRevision });
      },
    });
  }

  private createLease(): NodeLease {
    const { nodeName, instanceId, leaseTtlMs, clock, log } = this.options;
    return new NodeLease({
      nodeName,
      instanceId,
      ttlMs: leaseTtlMs,
      store: this.store,
      clock,
      log,
      isReady: () => this.records.isReady,
      onJoined: () => this.election.campaignIfVacant(clock.now()),
      onLost: () => this.leadership.stepDown('lease lost'),
    });
  }

  private createLeadership(): Leadership {
    const { instanceId, clock, log } = this.options;
    return new Leadership({
      instanceId,
      clock,
      log,
      createScheduler: (fencingToken, previous) => this.createScheduler(fencingToken, previous),
      onLeaderKnown: (fencingToken) => this.shardOwner.setLeader(fencingToken),
      onTermStarted: (scheduler) => this.onTermStarted(scheduler),
    });
  }

  private createScheduler(fencingToken: number, previous: Scheduler | null): Scheduler {
    const { options, leadership, cancellationCoordinator } = this;
    const { clock } = options;
    return new Scheduler({
      instanceId: options.instanceId,
      fencingToken,
      teams: this.teams,
      workerTiming: options.workerTiming,
      machineListLagSeconds: options.machineListLagSeconds,
      cloudCallsPerSecond: options.cloudCallsPerSecond,
      imageLocations: this.imageReplication.locations,
      objectives: options.objectives,
      previousContacts: previous?.contacts ?? null,
      // Fencing tokens start at 1, so this token is that of the first leader that the cluster has ever had.
      isFirstLeader: fencingToken === 1,
      clock,
      log: options.log,
      cloud: this.cloud,
      workers: queuedWorkers(options.workers, this.queue),
      machineTypes: () => this.machineTypes.machineTypes,
      policy: options.policy,
      holdsLeadership: () => leadership.leadsUnder(fencingToken) && this.lease.isCertainlyValid(clock.now()),
      send: (instanceId, message) => this.messenger.sendToShardOwner(instanceId, message),
      wake: () => this.queue.wake(),
      onHigherToken: (higherToken) => {
        if (leadership.leadsUnder(fencingToken))
          leadership.stepDown(`higher fencing token ${higherToken} seen`);
      },
      latestCoverage: () => cancellationCoordinator.latestCoverage,
      isCancelled: (jobId) => cancellationCoordinator.isCancelled(jobId),
      knownCancellationPeriod: (now) => cancellationCoordinator.knownCancellationPeriod(now),
      recentPeerCount: () => this.peerRegistry.countRecentlyHeard(clock.now()),
      handoverCandidates: () => this.handoverHistory.candidates(fencingToken, clock.now()),
      forgetHandovers: () => this.handoverHistory.forget(),
      resign: (reason) => this.election.resign(fencingToken, reason),
      raiseFencingToken: (reason) => this.election.raiseFencingToken(fencingToken, reason),
    });
  }

  private createHandoverHistory(): HandoverHistory {
    const { nodeName } = this.options;
    const { records, leadership, peerRegistry } = this;
    return new HandoverHistory({ nodeName, records, leadership, peerRegistry });
  }

  private createElection(): LeaderElection {
    const { instanceId, nodeName, clock } = this.options;
    const { store, queue, records, lease, leadership, handoverHistory } = this;
    return new LeaderElection({
      instanceId,
      nodeName,
      store,
      clock,
      queue,
      records,
      lease,
      leadership,
      handoverHistory,
    });
  }

  private createMessenger(): PeerMessenger {
    const { nodeName, instanceId, peerNames, peerTransport } = this.options;
    const { queue, records, leadership } = this;
    return new PeerMessenger({
      nodeName,
      instanceId,
      peerNames,
      transport: peerTransport,
      queue,
      records,
      leadership,
      deliverToShardOwner: (message) => this.shardOwner.onLeaderMessage(message),
    });
  }

  private createCancellationCoordinator(): CancellationCoordinator {
    const { instanceId, peerNames } = this.options;
    const { records, leadership, peerRegistry, messenger } = this;
    return new CancellationCoordinator({
      instanceId,
      peerNames,
      records,
      leadership,
      peerRegistry,
      messenger,
    });
  }

  private createAssignment(): ShardAssignment {
    const { instanceId, storeLimits, clock, log } = this.options;
    const { teams, store, records, lease, leadership, peerRegistry, storeContact } = this;
    return new ShardAssignment({
      instanceId,
      teams,
      maxTransactionOperations: storeLimits.maxTransactionOperations,
      store,
      clock,
      log,
      records,
      lease,
      leadership,
      peerRegistry,
      storeContact,
    });
  }

  private createMachineTypes(): MachineTypeCatalog {
    const { cloud, store, records, leadership, storeContact } = this;
    const { clock } = this.options;
    return new MachineTypeCatalog({ cloud, store, clock, records, leadership, storeContact });
  }

  private createShardOwner(): ShardOwner {
    const { options, openJobs } = this;
    const { storeLimits, workerTiming, clock } = options;
    return new ShardOwner({
      nodeName: options.nodeName,
      instanceId: options.instanceId,
      teams: this.teams,
      maxValueKb: storeLimits.maxValueKb,
      maxTransactionOperations: storeLimits.maxTransactionOperations,
      writesPerSecond: storeLimits.writesPerSecond,
      maxTasksPerRequest: maxTasksPerRequest(options.policy),
      evictionGraceMarginSeconds: EVICTION_GRACE_MARGIN_SECONDS,
      objectives: options.objectives,
      openJobItems: () => openJobs.items,
      openJobsFreshAsOf: () => openJobs.freshAsOf,
      refreshOpenJobs: () => {
        // Cancellations are stored in the records of the open jobs, so the age of the last read limits how
        // recent the cancellation coverage can be.
        if (clock.now() - openJobs.freshAsOf >= cancellationReadIntervalMs(workerTiming))
          openJobs.requestRead();
      },
      store: this.store,
      clock,
      log: options.log,
      send: (message) => this.messenger.sendToLeader(message),
      wake: () => this.queue.wake(),
    });
  }

  private createWorkerHeartbeatHandler(): WorkerHeartbeatHandler {
    const { nodeName, workerTiming, clock } = this.options;
    const { leadership, peerRegistry, storeContact, cancellationCoordinator } = this;
    return new WorkerHeartbeatHandler({
      nodeName,
      workerTiming,
      clock,
      leadership,
      peerRegistry,
      storeContact,
      cancellationCoordinator,
    });
  }

  private createPeerHeartbeatSender(): PeerHeartbeatSender {
    const { leadership, storeContact, cancellationCoordinator, workerHeartbeatHandler, messenger } = this;
    return new PeerHeartbeatSender({
      peerNames: this.options.peerNames,
      leadership,
      storeContact,
      cancellationCoordinator,
      workerHeartbeatHandler: workerHeartbeatHandler,
      messenger,
    });
  }

  private createPeerMessageHandler(): PeerMessageHandler {
    const { nodeName, instanceId, clock } = this.options;
    const { records, leadership, peerRegistry, cancellationCoordinator, imageReplication, shardOwner } = this;
    return new PeerMessageHandler({
      nodeName,
      instanceId,
      clock,
      records,
      leadership,
      peerRegistry,
      cancellationCoordinator,
      imageReplication,
      shardOwner,
    });
  }

  private createApi(): JobApi {
    const { log } = this.options;
    const { store, openJobs, teams, machineTypes, cancellationCoordinator } = this;
    return new JobApi({
      store,
      openJobs,
      teams,
      machineTypes: () => machineTypes.machineTypes,
      log,
      onCancelled: (jobId) => cancellationCoordinator.announce(jobId),
    });
  }
}
