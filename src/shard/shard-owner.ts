/**
 * The shard owner of this controller. For the teams whose shards are assigned to it, it keeps the jobs,
 * decides when their tasks are released, enforces the teams' quotas, allows one attempt of each task at a
 * time and counts finished tasks. It requests capacity from the leader, stores the placements made from the
 * leader's grants and then has the tasks started.
 */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore, StoredItem } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { ResourceRequest } from '../model/placement.js';
import type { LeaderMessage, ShardOwnerMessage } from '../model/shard-messages.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import { fenceKey } from '../store/keyspace.js';
import type { CachedItem } from '../store/prefix-copy.js';
import { releaseWindow, tasksPerChunk } from '../store/record-sizes.js';
import { AllocationEventHandler } from './allocation-event-handler.js';
import { GrantHandler } from './grant-handler.js';
import { JobLoader } from './job-loader.js';
import { JobStops } from './job-stops.js';
import { JobTransactions } from './job-transactions.js';
import { LeaderUpdates } from './leader-updates.js';
import { OwnedJobs } from './owned-jobs.js';
import { OwnedShards } from './owned-shards.js';
import { ReleaseQueue } from './release-queue.js';
import { listRequests } from './resource-requests.js';
import { TeamUsage } from './team-usage.js';
import { UsageLog } from './usage-log.js';
import { WakeTimer } from './wake-timer.js';
import { WriteEventHandler } from './write-event-handler.js';
import { WriteFence } from './write-fence.js';

/** Settings and dependencies of a `ShardOwner`. */
export interface ShardOwnerOptions {
  nodeName: string;
  instanceId: string;
  teams: Map<string, Team>;
  /** Largest value that the key-value store accepts, in KiB. */
  maxValueKb: number;
  /** Maximum number of puts and deletes in one transaction. */
  maxTransactionOperations: number;
  /** Puts and deletes per second that the key-value store accepts from all controllers together. */
  writesPerSecond: number;
  /**
   * Maximum number of tasks in one request, except those of gangs. It limits how fast a large job is
   * released.
   */
  maxTasksPerRequest: number;
  /** Seconds added to the checkpoint save time of an evicted task to obtain its grace period. */
  evictionGraceMarginSeconds: number;
  objectives: ServiceLevelObjective[];
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** Returns the cached records of the open jobs. */
  openJobItems(): Iterable<[string, CachedItem]>;
  /**
   * Returns when the latest read of the open jobs was sent whose changes have already been delivered to
   * `onOpenJobChanged`.
   */
  openJobsFreshAsOf(): number;
  /** Reads the open jobs again if the last read is old enough. */
  refreshOpenJobs(): void;
  /** Sends a message to the leader. */
  send(message: ShardOwnerMessage): void;
  /** Schedules a call of `flush`. */
  wake(): void;
}

/** Connects the components of the shard owner and passes leader messages and changed records to them. */
export class ShardOwner {
  private readonly usage: TeamUsage;
  private readonly usageLog: UsageLog;
  private readonly releaseQueue: ReleaseQueue;
  private readonly jobs: OwnedJobs;
  private readonly shards: OwnedShards;
  private readonly transactions: JobTransactions;
  private readonly updates: LeaderUpdates;
  private readonly loader: JobLoader;
  private readonly stops: JobStops;
  private readonly grantHandler: GrantHandler;
  private readonly allocationEventHandler: AllocationEventHandler;

  constructor(private readonly options: ShardOwnerOptions) {
    const { clock, log } = options;
    const wake = () => options.wake();
    this.usage = new TeamUsage(options.teams);
    this.usageLog = new UsageLog(this.usage, clock, log);
    this.releaseQueue = new ReleaseQueue(options.objectives);
    this.jobs = new OwnedJobs(this.usage, (job) => this.transactions.unscheduleWrite(job));
    this.shards = new OwnedShards(log, (team) => this.onShardReleased(team));
    const wakeTimer = new WakeTimer(clock, wake);
    const fence = this.createFence();
    this.updates = this.createUpdates(wakeTimer);
    this.transactions = this.createTransactions(fence, wakeTimer);
    const sharedOptions = {
      clock,
      log,
      wake,
      jobs: this.jobs,
      usage: this.usage,
      transactions: this.transactions,
      updates: this.updates,
      tasksPerChunk: tasksPerChunk(options.maxValueKb),
    };
    this.stops = new JobStops({
      ...sharedOptions,
      evictionGraceMarginSeconds: options.evictionGraceMarginSeconds,
    });
    this.grantHandler = new GrantHandler(sharedOptions);
    this.allocationEventHandler = new AllocationEventHandler({ ...sharedOptions, stops: this.stops });
    this.loader = new JobLoader({
      ...sharedOptions,
      store: options.store,
      shards: this.shards,
      fence,
      releaseQueue: this.releaseQueue,
      stops: this.stops,
      usageLog: this.usageLog,
      releaseWindow: releaseWindow(options.maxValueKb),
      openJobItems: () => options.openJobItems(),
    });
  }

  /** The teams whose shards are owned by this controller. */
  get ownedTeams(): string[] {
    return this.shards.teams;
  }

  /** Returns the number of jobs and of their placements, for logs and tests. */
  stats(): { jobs: number; placed: number } {
    return { jobs: this.jobs.size, placed: this.jobs.countPlacements() };
  }

  /**
   * Sets the teams whose shards this controller owns.
   *
   * @param epochs - Revision of the owner record that names this instance, by team
   */
  setShards(epochs: ReadonlyMap<string, number>): void {
    this.shards.assign(epochs);
    this.options.wake();
  }

  /** Switches to the leader with this fencing token, unless the token is not higher than the current one. */
  setLeader(fencingToken: number): void {
    if (fencingToken <= this.updates.fencingToken) return;
    this.options.log.info({ fencingToken }, 'following leader');
    // Each leader numbers its own grants, so ids from the previous leader have no meaning for this one.
    for (const job of this.jobs.values())
      for (const placement of job.placements.values()) placement.grantId = 0;
    this.updates.setLeader(fencingToken);
    this.options.wake();
  }

  /**
   * Sends a full sync to the leader, which may have missed a message; no other message is sent to the leader
   * until it is accepted.
   */
  resync(): void {
    this.updates.resync();
    this.options.wake();
  }

  /** Handles a put of a record of an open job, as reported by the watch. */
  onOpenJobChanged(item: StoredItem): void {
    this.loader.onOpenJobChanged(item);
  }

  /** Handles a message from the leader. Messages of any other leader than the current one are ignored. */
  onLeaderMessage(message: LeaderMessage): void {
    if (message.fencingToken !== this.updates.fencingToken) return;
    switch (message.type) {
      case 'syncAccepted':
        if (!this.updates.onSyncAccepted(message.syncNumber)) return;
        break;
      case 'syncRequested':
        this.resync();
        break;
      case 'grants':
        this.grantHandler.processGrants(message.grants);
        break;
      case 'allocationEvents':
        for (const event of message.events) this.allocationEventHandler.handle(event);
        break;
      case 'timestamp':
        this.updates.onTimestamp(message.leaderTimestamp);
        this.options.refreshOpenJobs();
        break;
      case 'evict':
        for (const task of message.tasks) this.stops.evict(task, message.reason);
        break;
    }
    this.options.wake();
  }

  /** Sends the reads, writes and messages that are due, and logs usage. Called after each batch of events. */
  flush(): void {
    this.loader.loadShards();
    this.transactions.sendDueWrites();
    this.updates.send();
    this.usageLog.logIfDue(this.shards.teams, this.jobs.values());
  }

  private onShardReleased(team: string): void {
    this.jobs.removeTeam(team);
    this.updates.requestFullSync();
  }

  private createFence(): WriteFence {
    const { nodeName, instanceId, store, clock, log } = this.options;
    const onReady = () => this.options.wake();
    return new WriteFence({ key: fenceKey(nodeName), instanceId, store, clock, log, onReady });
  }

  private createUpdates(wakeTimer: WakeTimer): LeaderUpdates {
    const { instanceId, clock } = this.options;
    return new LeaderUpdates({
      instanceId,
      jobs: this.jobs,
      shards: this.shards,
      clock,
      wakeTimer,
      openJobsFreshAsOf: () => this.options.openJobsFreshAsOf(),
      listRequests: (lastProcessedGrantId) => this.listRequests(lastProcessedGrantId),
      discardUnsentPlacements: () => this.grantHandler.discardUnsentPlacements(),
      send: (message) => this.options.send(message),
    });
  }

  private createTransactions(fence: WriteFence, wakeTimer: WakeTimer): JobTransactions {
    const { store, clock, log, maxTransactionOperations, writesPerSecond } = this.options;
    return new JobTransactions({
      store,
      clock,
      wakeTimer,
      log,
      fence,
      maxTransactionOperations,
      writesPerSecond,
      tasksPerChunk: tasksPerChunk(this.options.maxValueKb),
      events: new WriteEventHandler({
        updates: this.updates,
        usage: this.usage,
        log,
        removeArchivedJob: (jobId) => this.loader.removeArchivedJob(jobId),
      }),
      shardEpochOf: (team) => this.shards.epochOf(team),
      isCurrent: (job) => this.jobs.includes(job),
      onReloadNeeded: (jobs, { isIndeterminate, fenceRevision }) => {
        if (isIndeterminate) this.usageLog.logIndeterminateWrite(jobs, fenceRevision);
        for (const job of jobs) this.loader.reload(job, isIndeterminate);
      },
      wake: () => this.options.wake(),
    });
  }

  private listRequests(lastProcessedGrantId: number): ResourceRequest[] {
    const { clock, maxTasksPerRequest } = this.options;
    return listRequests({
      jobs: this.jobs.values(),
      teams: this.shards.loadedTeams,
      releaseQueue: this.releaseQueue,
      usage: this.usage,
      maxTasksPerRequest,
      nowMs: clock.now(),
      wallMs: clock.wallTime(),
      lastProcessedGrantId,
    });
  }
}
