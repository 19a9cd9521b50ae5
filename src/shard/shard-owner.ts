/**
 * Owns the shards assigned to this controller: the jobs of their teams, which of them are released when, the teams' quotas,
 * one attempt of each task at a time, and the counters of finished tasks. It asks the leader for places, stores what it
 * places there and has it started.
 */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore, StoredItem } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { ResourceRequest } from '../model/placement.js';
import type { LeaderMessage, ShardMessage } from '../model/shard-messages.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import { fenceKey } from '../store/keyspace.js';
import type { CachedItem } from '../store/prefix-copy.js';
import { releaseWindow, tasksPerChunk } from '../store/record-sizes.js';
import { AllocationEventHandler } from './allocation-events.js';
import { GrantIntake } from './grant-intake.js';
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
import { WriteFence } from './write-fence.js';
import { WriteOutcomes } from './write-outcomes.js';

/** Settings of an owner, and what it works with. */
export interface ShardOwnerOptions {
  nodeName: string;
  instanceId: string;
  teams: Map<string, Team>;
  /** Largest value that the key-value store takes, in KiB. */
  maxValueKb: number;
  /** Most puts and deletes of one transaction. */
  maxTransactionOperations: number;
  /** Puts and deletes that the key-value store takes from all controllers. */
  writesPerSecond: number;
  /** Most tasks of one job asked for at a time: the pace of a large fan-out. */
  maxTasksPerRequest: number;
  /** Added to the time that an evicted task takes to save its progress. */
  noticeGraceSeconds: number;
  objectives: ServiceLevelObjective[];
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** The cached records of unfinished jobs. */
  openJobItems(): Iterable<[string, CachedItem]>;
  /** The sending time of the latest read of the unfinished jobs whose changes have been passed on here. */
  openJobsFreshAsOf(): number;
  /** Reads them anew, if that is due. */
  refreshOpenJobs(): void;
  /** Sends to the leader. */
  send(message: ShardMessage): void;
  /** Has `flush` called soon. */
  wake(): void;
}

/** Composes the parts of an owner and passes on to them what comes from the leader and the key-value store. */
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
  private readonly grants: GrantIntake;
  private readonly allocationEvents: AllocationEventHandler;

  constructor(private readonly options: ShardOwnerOptions) {
    const { clock, log } = options;
    const wake = () => options.wake();
    this.usage = new TeamUsage(options.teams);
    this.usageLog = new UsageLog(this.usage, clock, log);
    this.releaseQueue = new ReleaseQueue(options.objectives);
    this.jobs = new OwnedJobs(this.usage, (job) => this.transactions.forget(job));
    this.shards = new OwnedShards(log, (team) => this.onShardReleased(team));
    const wakeTimer = new WakeTimer(clock, wake);
    const fence = this.createFence();
    this.updates = this.createUpdates(wakeTimer);
    this.transactions = this.createTransactions(fence, wakeTimer);
    const shared = {
      clock,
      log,
      wake,
      jobs: this.jobs,
      usage: this.usage,
      transactions: this.transactions,
      updates: this.updates,
      tasksPerChunk: tasksPerChunk(options.maxValueKb),
    };
    this.stops = new JobStops({ ...shared, noticeGraceSeconds: options.noticeGraceSeconds });
    this.grants = new GrantIntake(shared);
    this.allocationEvents = new AllocationEventHandler({ ...shared, stops: this.stops });
    this.loader = new JobLoader({
      ...shared,
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

  /** The teams whose shards are owned here. */
  get ownedTeams(): string[] {
    return this.shards.teams;
  }

  /** For logs and tests. */
  stats(): { jobs: number; placed: number } {
    return { jobs: this.jobs.size, placed: this.jobs.countPlacements() };
  }

  /** The teams whose records name this instance, each with the revision of its record. */
  setShards(epochs: ReadonlyMap<string, number>): void {
    this.shards.assign(epochs);
    this.options.wake();
  }

  /** A leader with a higher token is followed from now on; one with a lower token never again. */
  setLeader(fencingToken: number): void {
    if (fencingToken <= this.updates.fencingToken) return;
    this.options.log.info({ fencingToken }, 'following leader');
    // Numbers of the last leader's grants: the next one counts anew.
    for (const job of this.jobs.values())
      for (const placement of job.placements.values()) placement.grantId = 0;
    this.updates.setLeader(fencingToken);
    this.options.wake();
  }

  /** The leader may have missed something: it is sent the full state. */
  resync(): void {
    this.updates.resync();
    this.options.wake();
  }

  /** A record of an unfinished job was put, as the watch has shown. */
  onOpenJobChanged(item: StoredItem): void {
    this.loader.onOpenJobChanged(item);
  }

  /** Takes a message; those of any leader but the one followed are passed over. */
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
        this.grants.processGrants(message.grants);
        break;
      case 'allocationEvents':
        for (const event of message.events) this.allocationEvents.handle(event);
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

  /** Work at the end of each batch of commands: reads, writes and messages that follow from it. */
  flush(): void {
    this.loader.loadShards();
    this.transactions.write();
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
      discardUnsentPlacements: () => this.grants.discardUnsentPlacements(),
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
      events: new WriteOutcomes({
        updates: this.updates,
        usage: this.usage,
        log,
        archive: (jobId) => this.loader.archive(jobId),
      }),
      shardEpochOf: (team) => this.shards.epochOf(team),
      isOwned: (job) => this.jobs.includes(job),
      onUnconfirmed: (jobs, { isIndeterminate, fenceRevision }) => {
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
