/** One controller process: its parts, and how they are put together. */

import { JobApi } from '../api/job-api.js';
import { cancellationReadIntervalMs, type WorkerTiming } from '../model/cancellation-coverage.js';
import type { Clock } from '../model/clock.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import type { HeartbeatResult } from '../model/heartbeat-result.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { PeerTransport } from '../model/peer-message.js';
import type { PolicyFn, PolicyInput } from '../model/policy.js';
import type { LeaderRecord } from '../model/records.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import type { Heartbeat } from '../model/worker-messages.js';
import { Scheduler } from '../scheduler/scheduler.js';
import { ShardOwner } from '../shard/shard-owner.js';
import { WatchCache } from '../store/watch-cache.js';
import { CancellationCoordinator } from './cancellation-coordinator.js';
import { type Command, CommandQueue } from './command-queue.js';
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
import { WorkerHeartbeats } from './worker-heartbeats.js';

/** What a controller is made of and what it is told by the settings. */
export interface ControllerOptions {
  /** Name of the host that the controller runs on; it stays the same when the process is started again. */
  nodeName: string;
  /** Name of this process, never used before. */
  instanceId: string;
  /** Node names of the other controllers. */
  peerNames: string[];
  teams: Team[];
  workerTiming: WorkerTiming;
  storeLimits: { maxValueKb: number; maxTransactionOperations: number; writesPerSecond: number };
  /** So long the cloud's list of machines may lag behind what it has answered. */
  machineListLagSeconds: number;
  cloudCallsPerSecond: number;
  objectives: ServiceLevelObjective[];
  /** Time to live of the controller's lease, in ms: its absence goes unnoticed for so long. */
  leaseTtlMs: number;
  policy: PolicyFn;
  clock: Clock;
  log: Logger;
  store: KeyValueStore;
  cloud: CloudProvider;
  workers: WorkerCommandPort;
  peers: PeerTransport;
}

/** What a controller is doing, for logs and tests. */
export interface ControllerStatus {
  leader: LeaderRecord;
  /** Null unless this controller leads. */
  scheduler: Record<string, number> | null;
  /** Teams whose shard this controller owns. */
  teams: string[];
  owner: { jobs: number; placed: number };
  machineTypeCount: number;
}

const TICK_INTERVAL_MS = 500;
/** How long the store may hold a watch of the open jobs until something changes. */
const OPEN_JOBS_WATCH_WAIT_MS = 10000;
/** Least time between two watches of the open jobs, which change several times a second. */
const OPEN_JOBS_WATCH_INTERVAL_MS = 100;
/** Lag behind a peer's contact with the store from which users that can't be served are sent on. */
const USER_REDIRECT_LAG_MS = 700;
/** The same, as a share of the lease, from which this controller is not ready. */
const READINESS_LAG_SHARE = 0.6;
/** What a task that is told of its end in advance is given to save its work. */
const NOTICE_GRACE_SECONDS = 1;

/** A cluster without load: the number of tasks asked for at a time does not depend on it. */
const IDLE_CLUSTER: PolicyInput = {
  services: 0,
  service_cpus: 0,
  queued: 0,
  queued_cpus: 0,
  batch_running: 0,
  machines: 0,
  report_s: 3,
  lease_s: 30,
  boot_s: 30,
};

/**
 * Composes the parts of a controller. Each mutable field belongs to one part, which alone changes it; all changes come
 * through one queue, but for heartbeats of workers, which are answered at once.
 */
export class Controller {
  /** Users' requests. */
  readonly api: JobApi;
  private readonly teams: Map<string, Team>;
  private readonly queue: CommandQueue;
  private readonly store: KeyValueStore;
  private readonly cloud: CloudProvider;
  private readonly storeContact: StoreContact;
  private readonly records: SystemRecords;
  private readonly openJobs: WatchCache;
  private readonly lease: NodeLease;
  private readonly leadership: Leadership;
  private readonly election: LeaderElection;
  private readonly peers = new PeerRegistry();
  private readonly messenger: PeerMessenger;
  private readonly coordinator: CancellationCoordinator;
  private readonly images: ImageReplication;
  private readonly assignment: ShardAssignment;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly owner: ShardOwner;
  private readonly workerHeartbeats: WorkerHeartbeats;
  private readonly peerHeartbeats: PeerHeartbeatSender;
  private readonly peerMessages: PeerMessageHandler;

  constructor(private readonly options: ControllerOptions) {
    const { clock } = options;
    this.teams = new Map(options.teams.map((team) => [team.name, team]));
    this.queue = new CommandQueue({
      clock,
      execute: (command) => this.execute(command),
      onBatchEnd: () => this.flush(),
    });
    this.storeContact = new StoreContact(clock, this.queue);
    this.store = this.storeContact.observe(options.store);
    this.cloud = queuedCloud(options.cloud, this.queue);
    this.records = this.createSystemRecords();
    this.openJobs = this.createOpenJobs();
    this.lease = this.createLease();
    this.leadership = this.createLeadership();
    this.election = this.createElection();
    this.messenger = this.createMessenger();
    this.coordinator = this.createCoordinator();
    this.images = new ImageReplication(this.messenger, this.leadership);
    this.assignment = this.createAssignment();
    this.machineTypes = this.createMachineTypes();
    this.owner = this.createShardOwner();
    this.workerHeartbeats = this.createWorkerHeartbeats();
    this.peerHeartbeats = this.createPeerHeartbeats();
    this.peerMessages = this.createPeerMessages();
    this.api = this.createApi();
  }

  /** Begins to read the store and to tick. */
  start(): void {
    this.records.start();
    this.openJobs.start();
    const tick = () => {
      this.push({ type: 'tick' });
      this.options.clock.after(TICK_INTERVAL_MS, tick);
    };
    tick();
  }

  /** Takes a command into the next batch. */
  push(command: Command): void {
    this.queue.push(command);
  }

  /** Answers a worker at once. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResult {
    return this.workerHeartbeats.handle(heartbeat);
  }

  /** Ready unless this controller alone is without the store. */
  isReady(): boolean {
    if (!this.records.isReady || !this.openJobs.isReady) return false;
    // In an outage for all nobody was answered much later than another: that must not take every controller out.
    return !this.lagsBehindPeers(this.options.leaseTtlMs * READINESS_LAG_SHARE);
  }

  /** Whether a user who can't be served here had better ask another: sooner known than that this one is not ready. */
  shouldRedirectUsers(): boolean {
    return !this.isReady() || this.lagsBehindPeers(USER_REDIRECT_LAG_MS);
  }

  /** For logs and tests. */
  status(): ControllerStatus {
    return {
      leader: this.leadership.leader,
      scheduler: this.leadership.scheduler?.stats() ?? null,
      teams: this.owner.ownedTeams,
      owner: this.owner.stats(),
      machineTypeCount: this.machineTypes.machineTypes.length,
    };
  }

  private execute(command: Command): void {
    switch (command.type) {
      case 'callback':
        command.run();
        break;
      case 'tick':
        this.tick();
        break;
      case 'peerMessage':
        this.peerMessages.onMessage(command.message);
        break;
      case 'peerConnection':
        if (command.isUp) this.peerMessages.onConnected(command.nodeName);
        break;
    }
  }

  private flush(): void {
    this.owner.flush();
    this.leadership.scheduler?.flush();
  }

  private tick(): void {
    const now = this.options.clock.now();
    this.lease.renew(now);
    this.election.campaignIfVacant(now);
    this.election.withdrawStaleRecord(now);
    this.assignment.assign(now);
    this.machineTypes.refresh(now);
    this.leadership.scheduler?.tick();
    const coverage = this.coordinator.updateCoverage(now);
    this.images.sendChanges();
    this.peerHeartbeats.send(now, coverage);
  }

  /** A peer in touch was answered by the store, by so much later than this controller. */
  private lagsBehindPeers(lagMs: number): boolean {
    return this.peers.hasStoreContactAfter(this.storeContact.lastContactAt + lagMs, this.options.clock.now());
  }

  private onLeadingStarted(scheduler: Scheduler): void {
    scheduler.setOwners(this.records.shardOwners());
    this.assignment.onLeadingStarted();
    this.machineTypes.refreshNow();
  }

  private onShardOwnersChanged(): void {
    const owners = this.records.shardOwners();
    const owned = new Map<string, number>();
    for (const [team, { instanceId, shardEpoch }] of owners)
      if (instanceId === this.options.instanceId && this.teams.has(team)) owned.set(team, shardEpoch);
    this.owner.setShards(owned);
    this.openJobs.follow(owned.size > 0);
    this.leadership.scheduler?.setOwners(owners);
  }

  private onOpenJobChanged(key: string, value: unknown, modRevision: number): void {
    if (value === undefined) return;
    const [, jobId, part] = key.split('/');
    if (jobId && part) this.owner.onOpenJobChanged(jobId, part, value, modRevision);
  }

  private createSystemRecords(): SystemRecords {
    return new SystemRecords(this.store, this.options.clock, {
      onLeaderChanged: () => this.election.onLeaderRecordChanged(),
      onShardOwnersChanged: () => this.onShardOwnersChanged(),
      onMachineTypesChanged: () => this.machineTypes.onRecordChanged(),
      onNodesChanged: () => this.assignment.assign(this.options.clock.now()),
    });
  }

  /** Followed while this controller owns a shard; the API alone catches up when it is asked. */
  private createOpenJobs(): WatchCache {
    return new WatchCache(
      'open/',
      OPEN_JOBS_WATCH_WAIT_MS,
      OPEN_JOBS_WATCH_INTERVAL_MS,
      this.store,
      this.options.clock,
      (key, value, modRevision) => this.onOpenJobChanged(key, value, modRevision),
      false,
    );
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
      createScheduler: (fencingToken) => this.createScheduler(fencingToken),
      onLeaderKnown: (fencingToken) => this.owner.setLeader(fencingToken),
      onStarted: (scheduler) => this.onLeadingStarted(scheduler),
    });
  }

  private createScheduler(fencingToken: number): Scheduler {
    const { options, leadership, coordinator } = this;
    const { clock } = options;
    return new Scheduler({
      instanceId: options.instanceId,
      fencingToken,
      teams: this.teams,
      workerTiming: options.workerTiming,
      machineListLagSeconds: options.machineListLagSeconds,
      cloudCallsPerSecond: options.cloudCallsPerSecond,
      images: this.images.locations,
      objectives: options.objectives,
      isFirstEver: fencingToken === 1,
      clock,
      log: options.log,
      cloud: this.cloud,
      workers: queuedWorkers(options.workers, this.queue),
      machineTypes: () => this.machineTypes.machineTypes,
      policy: options.policy,
      holdsLeadership: () => leadership.leadsUnder(fencingToken) && this.lease.isSurelyValid(clock.now()),
      send: (instanceId, message) => this.messenger.sendToShardOwner(instanceId, message),
      wake: () => this.queue.wake(),
      onHigherToken: (higherToken) => {
        if (leadership.leadsUnder(fencingToken)) leadership.stepDown(`token ${higherToken} seen`);
      },
      inheritedCoverage: () => coordinator.inheritedCoverage,
      isCancelled: (jobId) => coordinator.isCancelled(jobId),
      cancellationsKnown: (now) => coordinator.completeSince(now),
      reachablePeers: () => this.peers.countInTouch(clock.now()),
      resign: (reason) => this.election.resign(fencingToken, reason),
      raiseFencingToken: (reason) => this.election.raiseFencingToken(fencingToken, reason),
    });
  }

  private createElection(): LeaderElection {
    const { instanceId, nodeName, clock } = this.options;
    const { store, queue, records, lease, leadership } = this;
    return new LeaderElection({
      instanceId,
      nodeName,
      store,
      clock,
      queue,
      records,
      lease,
      leadership,
    });
  }

  private createMessenger(): PeerMessenger {
    const { nodeName, instanceId, peerNames, peers } = this.options;
    const { queue, records, leadership } = this;
    return new PeerMessenger({
      nodeName,
      instanceId,
      peerNames,
      transport: peers,
      queue,
      records,
      leadership,
      deliverToShardOwner: (message) => this.owner.onLeaderMessage(message),
    });
  }

  private createCoordinator(): CancellationCoordinator {
    const { instanceId, peerNames } = this.options;
    const { records, leadership, peers, messenger } = this;
    return new CancellationCoordinator({ instanceId, peerNames, records, leadership, peers, messenger });
  }

  private createAssignment(): ShardAssignment {
    const { instanceId, storeLimits, clock, log } = this.options;
    const { teams, store, records, lease, leadership, peers, storeContact } = this;
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
      peers,
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
      maxTasksPerRequest: Math.max(1, Math.round(options.policy(IDLE_CLUSTER).batch_tasks)),
      noticeGraceSeconds: NOTICE_GRACE_SECONDS,
      objectives: options.objectives,
      openJobItems: () => openJobs.items,
      openJobsFreshAsOf: () => openJobs.freshAsOf,
      refreshOpenJobs: () => {
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

  private createWorkerHeartbeats(): WorkerHeartbeats {
    const { nodeName, workerTiming, clock } = this.options;
    const { leadership, peers, storeContact, coordinator } = this;
    return new WorkerHeartbeats({
      nodeName,
      workerTiming,
      clock,
      leadership,
      peers,
      storeContact,
      coordinator,
    });
  }

  private createPeerHeartbeats(): PeerHeartbeatSender {
    const { leadership, storeContact, coordinator, workerHeartbeats, messenger } = this;
    return new PeerHeartbeatSender({
      peerNames: this.options.peerNames,
      leadership,
      storeContact,
      coordinator,
      workerHeartbeats,
      messenger,
    });
  }

  private createPeerMessages(): PeerMessageHandler {
    const { nodeName, instanceId, clock } = this.options;
    const { records, leadership, peers, coordinator, images, owner } = this;
    return new PeerMessageHandler({
      nodeName,
      instanceId,
      clock,
      records,
      leadership,
      peers,
      coordinator,
      images,
      owner,
    });
  }

  private createApi(): JobApi {
    return new JobApi(
      this.store,
      this.openJobs,
      this.teams,
      () => this.machineTypes.machineTypes,
      this.options.log,
      () => this.options.clock.wall(),
      (jobId) => this.coordinator.announce(jobId),
    );
  }
}
