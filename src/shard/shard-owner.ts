import { PeerTimestamps } from '../model/cancellation-coverage.js';
import type { Clock } from '../model/clock.js';
import { taskKey } from '../model/job.js';
import type { KeyValueStore, StoredItem } from '../model/key-value-store.js';
import { LimitedLog } from '../model/limited-log.js';
import type { Logger } from '../model/logger.js';
import type { AllocationEvent, Grant, PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { LeaderMessage, ShardMessage } from '../model/shard-messages.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import { fenceKey, parseJobRecordKey } from '../store/keyspace.js';
import type { CachedItem } from '../store/prefix-copy.js';
import { releaseWindow, tasksPerChunk } from '../store/record-sizes.js';
import { readStoredItem, type StoredJob } from '../store/stored-job.js';
import { AVOID_AFTER_REFUSAL_MS, assignGrants } from './grant-assignment.js';
import { JobTransactions } from './job-transactions.js';
import type { WriteEvents } from './job-writes.js';
import {
  createOwnedJob,
  type FinalizedPlacement,
  hasIndeterminateWrite,
  isOver,
  nextGangAttempt,
  type OwnedJob,
  type Placement,
  placementSpecOf,
} from './owned-job.js';
import { ReleaseQueue } from './release-queue.js';
import { listRequests } from './resource-requests.js';
import { readStoredJobs } from './stored-jobs.js';
import { TeamUsage, type UsageCause } from './team-usage.js';
import { UsageLog } from './usage-log.js';
import { WriteFence } from './write-fence.js';

export interface ShardOwnerOptions {
  nodeName: string;
  instanceId: string;
  teams: Map<string, Team>;
  maxValueKb: number;
  maxTransactionOperations: number;
  writesPerSecond: number;
  /** Most tasks of one job asked for at a time: the pace of a large fan-out. */
  maxTasksPerRequest: number;
  noticeGraceSeconds: number;
  objectives: ServiceLevelObjective[];
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  /** The mirrored records under `open/`. */
  openJobItems(): Iterable<[string, CachedItem]>;
  /** The sending time of the latest read of `open/` whose changes have been passed on here; and a new read, if it is due. */
  openJobsFreshAsOf(): number;
  refreshOpenJobs(): void;
  send(message: ShardMessage): void;
  wake(): void;
}

/** Pause before a read that failed is repeated. */
const READ_RETRY_MS = 300;

/** Most placements told in one message. */
const MAX_PLACEMENTS_PER_CHUNK = 400;

/** Holds the teams assigned to this controller: release, queue, limits, one attempt per task, counters. */
export class ShardOwner implements WriteEvents {
  private readonly jobs = new Map<string, OwnedJob>();
  private readonly teams = new Map<string, { shardEpoch: number; isLoaded: boolean; isLoading: boolean }>();
  private readonly usage: TeamUsage;
  private nextWakeAt = 0;
  private nextRequestsAt = 0;
  /** The newest grant taken in from this scheduler. */
  private lastGrantTaken = 0;
  private syncNumber = 0;
  /** Messages with placements since the last sync. */
  private placementMessagesSent = 0;
  /** The leader's marks, and the newest told to be covered. */
  private readonly leaderTimestamps = new PeerTimestamps();
  private coverageSentUpTo = Number.NEGATIVE_INFINITY;
  private readonly releaseQueue: ReleaseQueue;
  private readonly fence: WriteFence;
  private readonly transactions: JobTransactions;
  private readonly usageLog: UsageLog;
  private readonly limitedLog: LimitedLog;
  private readonly archived = new Set<string>();
  private readonly tasksPerChunk: number;
  private readonly releaseWindow: number;
  private fencingToken = 0;
  private isSynced = false;
  private needsFullSync = false;
  private requestsDirty = false;
  private lastRequestsSent = '';
  private placementsToSend: PlacementSpec[] = [];
  private releasesToSend: { tasks: { machine: string; taskKey: string }[]; grants: number[] } = {
    tasks: [],
    grants: [],
  };

  constructor(private readonly options: ShardOwnerOptions) {
    this.tasksPerChunk = tasksPerChunk(options.maxValueKb);
    this.releaseQueue = new ReleaseQueue(options.objectives);
    this.usage = new TeamUsage(options.teams);
    this.limitedLog = new LimitedLog(options.log, options.clock);
    this.usageLog = new UsageLog(this.usage, options.clock, options.log);
    this.releaseWindow = releaseWindow(options.maxValueKb);
    this.fence = new WriteFence({
      key: fenceKey(options.nodeName),
      instanceId: options.instanceId,
      store: options.store,
      clock: options.clock,
      log: options.log,
      onReady: () => options.wake(),
    });
    this.transactions = new JobTransactions({
      ...options,
      fence: this.fence,
      events: this,
      tasksPerChunk: this.tasksPerChunk,
      teamRevision: (team) => this.teams.get(team)?.shardEpoch,
      isOwned: (job) => this.jobs.get(job.spec.id) === job,
      onUnconfirmed: (jobs, inDoubt, fence) => {
        if (inDoubt) this.usageLog.logIndeterminateWrite(jobs, fence);
        for (const job of jobs) this.reload(job, inDoubt);
      },
      wakeAt: (at) => this.wakeAt(at),
    });
  }

  get ownedTeams(): string[] {
    return [...this.teams.keys()];
  }

  /** For logs and tests. */
  stats(): { jobs: number; placed: number } {
    let placed = 0;
    for (const job of this.jobs.values()) placed += job.placements.size;
    return { jobs: this.jobs.size, placed };
  }

  /** The teams whose records name this instance, by record version. */
  setShards(now: Map<string, number>): void {
    for (const [name, team] of this.teams) {
      if (now.get(name) === team.shardEpoch) continue;
      this.teams.delete(name);
      for (const job of [...this.jobs.values()]) if (job.spec.team === name) this.dropJob(job);
      this.options.log.debug({ team: name }, 'team let go');
      this.needsFullSync = true;
    }
    for (const [name, shardEpoch] of now) {
      if (this.teams.has(name)) continue;
      this.teams.set(name, { shardEpoch: shardEpoch, isLoaded: false, isLoading: false });
      this.options.log.debug({ team: name, gen: shardEpoch }, 'team taken on');
    }
    this.options.wake();
  }

  private dropJob(job: OwnedJob): void {
    this.usage.remove(job.spec, 'let_go', job.placements.size);
    this.jobs.delete(job.spec.id);
    this.transactions.forget(job);
  }

  private addPlacement(job: OwnedJob, placement: Placement, cause: UsageCause): void {
    job.placements.set(placement.taskIndex, placement);
    this.usage.add(job.spec, cause);
  }

  private removePlacement(job: OwnedJob, placement: Placement, cause: UsageCause): void {
    if (job.placements.delete(placement.taskIndex)) this.usage.remove(job.spec, cause);
  }

  /** A scheduler with a higher token is heeded from now on; one with a lower token never again. */
  setLeader(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    this.options.log.info({ token }, 'owner heeds leader');
    this.leaderTimestamps.clear();
    this.coverageSentUpTo = Number.NEGATIVE_INFINITY;
    this.lastGrantTaken = 0;
    // Numbers of the last leader's grants: the next one counts anew.
    for (const job of this.jobs.values())
      for (const placement of job.placements.values()) placement.grantId = 0;
    this.isSynced = false;
    this.needsFullSync = true;
    this.options.wake();
  }

  resync(): void {
    this.isSynced = false;
    this.needsFullSync = true;
    this.options.wake();
  }

  // ---- stored state -------------------------------------------------------------------------

  private loadTeams(): void {
    const wanted = [...this.teams].filter(([, team]) => !team.isLoaded && !team.isLoading);
    if (wanted.length === 0) return;
    for (const [, team] of wanted) team.isLoading = true;
    this.fence.learn();
    readStoredJobs(this.options.store, null, (found) => {
      for (const [, team] of wanted) team.isLoading = false;
      if (!found) return void this.options.clock.after(READ_RETRY_MS, () => this.options.wake());
      for (const [name, team] of wanted) if (this.teams.get(name) === team) this.loadTeam(name, team, found);
      // Jobs accepted between the listing and now were shown by the watch before the team was loaded.
      for (const [key, item] of this.options.openJobItems()) {
        if (parseJobRecordKey(key)?.type === 'job') this.onOpenJobChanged({ key, ...item });
      }
      this.needsFullSync = true;
      this.options.wake();
    });
  }

  private loadTeam(
    name: string,
    team: { shardEpoch: number; isLoaded: boolean },
    found: Map<string, StoredJob>,
  ): void {
    team.isLoaded = true;
    const jobs = [...found.values()].filter(({ spec }) => spec?.team === name);
    for (const job of jobs) this.adopt(job);
    const fields = { team: name, jobs: jobs.length, epoch: team.shardEpoch, ...this.usage.describe(name) };
    this.options.log.info(fields, 'team loaded');
    this.usageLog.checkLimit(name);
  }

  private adopt(stored: StoredJob): void {
    const spec = stored.spec;
    if (!spec || stored.acceptedRevision === 0) return;
    const old = this.jobs.get(spec.id);
    if (old) this.dropJob(old);
    const job = createOwnedJob(spec, stored, old, this.releaseWindow);
    for (const [chunk, record] of stored.placementChunks) {
      job.chunkRevisions.set(chunk, record.modRevision);
      for (const [taskIndex, { attempt, location }] of record.tasks) {
        job.attempts.set(taskIndex, attempt);
        if (!location || job.counter.has(taskIndex)) continue;
        this.addPlacement(
          job,
          {
            taskIndex: taskIndex,
            attempt,
            ...location,
            grantId: 0,
            isStored: true,
            desiredState: job.cancelled ? 'stop' : 'run',
            isRunning: old?.placements.get(taskIndex)?.isRunning ?? false,
          },
          'read',
        );
      }
    }
    if (spec.kind === 'gang' && job.counter.isFull)
      for (const placement of job.placements.values()) placement.desiredState = 'stop';
    for (const placement of job.placements.values()) if (placement.isRunning) job.runningTasks++;
    job.fanOut.skipTo((i) => job.counter.has(i));
    this.jobs.set(spec.id, job);
    if (!old) this.releaseQueue.learn(spec);
    if (isOver(job)) this.transactions.markDirty(job, 0);
  }

  /**
   * Reads the stored records of a job again. With a write of it in doubt, only once that write can no longer be carried
   * out: else what the read does not show may still be stored after it, beyond the team's limit or in another zone.
   */
  private reload(job: OwnedJob, inDoubt = false): void {
    if (job.isReloading) return;
    job.isReloading = true;
    const { id } = job.spec;
    const since = this.options.clock.now();
    const read = () =>
      readStoredJobs(this.options.store, id, (found) => {
        if (this.jobs.get(id) !== job) return;
        if (!found)
          return void this.options.clock.after(READ_RETRY_MS, () => this.jobs.get(id) === job && read());
        this.reloaded(job, found.get(id));
        const now = this.jobs.get(id);
        if (inDoubt && now) this.usageLog.logResolvedWrite(now, job, since);
      });
    if (inDoubt) this.fence.move(read);
    else read();
  }

  private reloaded(job: OwnedJob, stored: StoredJob | undefined): void {
    const { id, team } = job.spec;
    if (stored?.spec) this.adopt(stored);
    else this.forget(id);
    const { jobRevision, counterRevision, placementChunks: places } = stored ?? {};
    const revisions = { job: jobRevision, counter: counterRevision, places: places?.size };
    this.options.log.debug({ job: id, found: !!stored?.spec, revisions }, 'job read again');
    this.usageLog.checkLimit(team);
    this.needsFullSync = true;
    this.options.wake();
  }

  private forget(id: string): void {
    const job = this.jobs.get(id);
    if (job) this.dropJob(job);
    this.archived.add(id);
    if (this.archived.size > 5000) for (const x of [...this.archived].slice(0, 1000)) this.archived.delete(x);
    this.requestsDirty = true;
  }

  /** A change under `open/`, from the watch. */
  onOpenJobChanged(item: StoredItem): void {
    const key = parseJobRecordKey(item.key);
    if (!key) return;
    const { modRevision } = item;
    const id = key.jobId;
    const job = this.jobs.get(id);
    if (key.type === 'counter') {
      if (job && modRevision > job.counterRevision && !job.writeInFlight && !job.isReloading)
        this.reload(job);
      return;
    }
    if (key.type !== 'job') return;
    if (job) {
      // Also of a job that is being read again: that read may wait out an outage, while what runs must be stopped.
      if (modRevision > job.jobRevision) {
        const found = new Map<string, StoredJob>();
        readStoredItem(found, item);
        const stored = found.get(id);
        if (stored?.cancelled) {
          job.jobRevision = modRevision;
          this.cancel(job);
        }
      }
      return;
    }
    if (this.archived.has(id)) return;
    const found = new Map<string, StoredJob>();
    readStoredItem(found, item);
    const stored = found.get(id);
    if (!stored?.spec || !this.teams.get(stored.spec.team)?.isLoaded) return;
    this.adopt(stored);
    this.options.log.debug({ job: id, tasks: stored.spec.taskCount, team: stored.spec.team }, 'released');
    this.requestsDirty = true;
    this.options.wake();
  }

  private cancel(job: OwnedJob): void {
    if (job.cancelled) return;
    job.cancelled = true;
    this.options.log.debug({ job: job.spec.id, placed: job.placements.size }, 'cancelled');
    for (const placement of [...job.placements.values()]) {
      if (!placement.isStored && !hasIndeterminateWrite(job)) {
        const key = taskKey(job.spec.id, placement.taskIndex, placement.attempt);
        this.releasesToSend.grants.push(placement.grantId);
        this.releasesToSend.tasks.push({ machine: placement.machine, taskKey: key });
        this.removePlacement(job, placement, 'returned');
      } else this.stop(job, placement, 0);
    }
    this.transactions.markDirty(job, 0);
    this.requestsDirty = true;
    this.options.wake();
  }

  // ---- scheduler ---------------------------------------------------------------------------------

  onLeaderMessage(message: LeaderMessage): void {
    if (message.fencingToken !== this.fencingToken) return;
    switch (message.type) {
      case 'syncAccepted':
        // With another telling on its way, grants sent before that one is taken in are dropped by the leader and must be here:
        // their places are granted again.
        if (message.syncNumber !== undefined && message.syncNumber !== this.syncNumber) return;
        this.isSynced = true;
        this.requestsDirty = true;
        this.lastRequestsSent = '';
        break;
      case 'syncRequested':
        this.resync();
        break;
      case 'grants':
        this.takeGrants(message.grants);
        break;
      case 'allocationEvents':
        for (const event of message.events) this.onAllocationEvent(event);
        break;
      case 'timestamp':
        this.leaderTimestamps.add(message.leaderTimestamp, this.options.clock.now());
        this.options.refreshOpenJobs();
        break;
      case 'evict':
        for (const task of message.tasks)
          this.evict(task.jobId, task.taskIndex, task.attempt, message.reason);
        break;
    }
    this.options.wake();
  }

  private takeGrants(grants: Grant[]): void {
    const byJob = new Map<string, Grant[]>();
    for (const grant of grants) {
      this.lastGrantTaken = Math.max(this.lastGrantTaken, grant.id);
      const offered = byJob.get(grant.jobId);
      if (offered) offered.push(grant);
      else byJob.set(grant.jobId, [grant]);
    }
    for (const [id, offered] of byJob) {
      const job = this.jobs.get(id);
      const ok = job && !job.cancelled && !job.isReloading && !job.counter.isFull && this.isSynced;
      const place = (grant: Grant, taskIndex: number) => job && this.place(job, grant, taskIndex);
      const now = this.options.clock.now();
      const placed = new Set(ok ? assignGrants(job, offered, this.usage, now, place) : []);
      for (const grant of offered) if (!placed.has(grant)) this.releasesToSend.grants.push(grant.id);
    }
    this.requestsDirty = true;
  }

  private place(job: OwnedJob, grant: Grant, taskIndex: number): void {
    const attempt = job.spec.kind === 'gang' ? nextGangAttempt(job) : (job.attempts.get(taskIndex) ?? 0) + 1;
    this.addPlacement(
      job,
      {
        taskIndex: taskIndex,
        attempt,
        machine: grant.machine,
        agentEpoch: grant.agentEpoch,
        zone: grant.zone,
        grantId: grant.id,
        isStored: false,
        desiredState: 'run',
        isRunning: false,
      },
      'granted',
    );
    job.dirtyChunks.add(Math.floor(taskIndex / this.tasksPerChunk));
    this.transactions.markDirty(job, 0);
  }

  private onAllocationEvent(event: AllocationEvent): void {
    const job = this.jobs.get(event.jobId);
    const placement = job?.placements.get(event.taskIndex);
    if (
      !job ||
      !placement ||
      placement.attempt !== event.attempt ||
      placement.machine !== event.machine ||
      !placement.isStored
    ) {
      // Told again after its outcome was stored: the reap was lost with an earlier scheduler.
      if (event.type === 'phase' && event.phase === 'exited' && !job?.isReloading)
        this.forgetStoredOutcome(job, event);
      return;
    }
    if (event.type === 'finalized') {
      this.finalize(job, placement, 'gone');
      return;
    }
    if (event.phase !== 'exited') {
      const running = event.phase === 'running';
      if (running !== placement.isRunning) {
        placement.isRunning = running;
        job.runningTasks += running ? 1 : -1;
        // Users are told `running` from the stored record; one write when the first task runs will do.
        if (running && job.storedRunningTasks === 0) {
          job.storedRunningTasks = 1;
          job.counterDirty = true;
          this.transactions.markDirty(job, this.transactions.lazyDelayMs());
        }
        if (running)
          this.options.log.debug(
            { job: event.jobId, idx: event.taskIndex, machine: event.machine },
            'task runs',
          );
      }
      return;
    }
    this.options.log.debug(
      {
        job: event.jobId,
        idx: event.taskIndex,
        machine: event.machine,
        attempt: event.attempt,
        why: event.exitReason,
      },
      'task ended',
    );
    const now = this.options.clock.now();
    if (event.exitReason === 'done' && job.spec.kind !== 'service') {
      if (job.counter.add(placement.taskIndex)) job.counterDirty = true;
      // "When one is done, all are": the rest of a gang is counted with it, and settled as it is reported.
      if (job.spec.kind === 'gang') for (let i = 0; i < job.spec.taskCount; i++) job.counter.add(i);
      this.transactions.markDirty(job, job.counter.isFull ? 0 : this.transactions.lazyDelayMs());
      job.failures = 0;
      job.preferredMachine = placement.machine;
    } else if (event.exitReason === 'error' || event.exitReason === 'unknown') {
      job.failures++;
      job.avoidedMachines.set(placement.machine, now + 60000);
      const pause = Math.min(60000, 500 * 2 ** Math.min(7, job.failures - 1));
      job.holdUntil = now + pause;
      this.options.log.info(
        {
          job: event.jobId,
          idx: event.taskIndex,
          machine: event.machine,
          why: event.exitReason,
          pause_ms: pause,
        },
        'task failed',
      );
      this.options.clock.after(pause, () => this.changed());
    } else if (event.exitReason === 'noCapacity' || event.exitReason === 'attemptListed') {
      job.avoidedMachines.set(placement.machine, now + AVOID_AFTER_REFUSAL_MS);
      const { taskIndex, attempt, machine, exitReason: reason } = event;
      this.limitedLog.info(
        { job: event.jobId, idx: taskIndex, attempt, machine, why: reason },
        'start refused',
      );
    }
    this.finalize(job, placement, event.exitReason ?? 'exited');
  }

  private changed(): void {
    this.requestsDirty = true;
    this.options.wake();
  }

  private forgetStoredOutcome(job: OwnedJob | undefined, event: AllocationEvent): void {
    if (!job) return;
    if (
      !job.counter.has(event.taskIndex) &&
      (job.attempts.get(event.taskIndex) ?? 0) <= event.attempt &&
      job.placements.has(event.taskIndex)
    )
      return;
    if (
      job.writeInFlight ||
      job.counterDirty ||
      job.dirtyChunks.has(Math.floor(event.taskIndex / this.tasksPerChunk))
    )
      return;
    if (job.outcomesToStore.some((reap) => reap.placement.taskIndex === event.taskIndex)) return;
    this.placementsToSend.push(placementSpecOf(job, { ...event, agentEpoch: 0 }, 'forget'));
  }

  private finalize(job: OwnedJob, placement: Placement, reason: string): void {
    if (placement.isRunning) job.runningTasks--;
    this.removePlacement(job, placement, reason === 'gone' ? 'gone' : 'ended');
    job.attempts.set(
      placement.taskIndex,
      Math.max(placement.attempt, job.attempts.get(placement.taskIndex) ?? 0),
    );
    job.outcomesToStore.push({ placement: placement, isListed: reason !== 'gone' });
    if (isOver(job)) this.transactions.markDirty(job, 0);
    // What the counter holds is settled by it; its old placement needs no write of its own.
    if (!job.counter.has(placement.taskIndex)) {
      job.dirtyChunks.add(Math.floor(placement.taskIndex / this.tasksPerChunk));
      this.transactions.markDirty(job, this.transactions.lazyDelayMs());
      job.fanOut.putBack(placement.taskIndex);
      if (job.spec.kind === 'gang')
        for (const mate of job.placements.values())
          if (mate.desiredState === 'run') this.stopGangMate(job, mate);
    }
    this.requestsDirty = true;
  }

  /** A gang that lost a task starts anew as a whole, once all its tasks are settled. */
  private stopGangMate(job: OwnedJob, placement: Placement): void {
    this.stop(job, placement, 0);
  }

  private stop(job: OwnedJob, placement: Placement, graceS: number): void {
    placement.desiredState = 'stop';
    if (placement.isStored)
      this.placementsToSend.push(placementSpecOf(job, placement, 'stop', graceS, placement.grantId));
  }

  private evict(id: string, taskIndex: number, attempt: number, reason: string): void {
    const job = this.jobs.get(id);
    const placement = job?.placements.get(taskIndex);
    if (!job || !placement || placement.attempt !== attempt || placement.desiredState === 'stop') return;
    this.options.log.debug(
      { job: id, idx: taskIndex, machine: placement.machine, why: reason },
      'task stopped to make room',
    );
    const grace =
      job.spec.checkpointIntervalSeconds > 0
        ? job.spec.checkpointSaveSeconds + this.options.noticeGraceSeconds
        : 0;
    if (job.spec.kind === 'gang') {
      for (const mate of job.placements.values())
        if (mate.desiredState === 'run') this.stop(job, mate, grace);
    } else this.stop(job, placement, grace);
  }

  // ---- work at the end of each batch of commands ------------------------------------------------

  flush(): void {
    this.loadTeams();
    this.transactions.write();
    this.sendUpdates();
    this.usageLog.update(this.teams.keys(), this.jobs.values());
  }

  private wakeAt(at: number): void {
    const now = this.options.clock.now();
    if (!Number.isFinite(at) || (this.nextWakeAt > now && this.nextWakeAt <= at)) return;
    this.nextWakeAt = at;
    this.options.clock.after(Math.max(1, at - now), () => this.options.wake());
  }

  private sendUpdates(): void {
    if (this.fencingToken === 0) return;
    const base = { fencingToken: this.fencingToken, instanceId: this.options.instanceId };
    if (this.needsFullSync) {
      this.needsFullSync = false;
      this.placementsToSend = [];
      this.releasesToSend = { tasks: [], grants: [] };
      this.dropUnsentPlacements();
      const placements: PlacementSpec[] = [];
      for (const job of this.jobs.values()) {
        // Without its places in flight or in doubt the leader would give them to others.
        for (const placement of job.placements.values())
          placements.push(
            placementSpecOf(job, placement, placement.isStored ? placement.desiredState : 'pending'),
          );
        // Settled but not yet stored so: still ours, or the scheduler would have what nobody claims removed. A write that turns
        // out not to have been carried out would then bring the attempt back as one to be started.
        for (const reap of [...job.outcomesToStore, ...job.outcomesInFlight]) {
          if (reap.isListed) placements.push(placementSpecOf(job, reap.placement, 'keep'));
        }
      }
      const shardEpochs = this.shardEpochs();
      this.isSynced = false;
      this.placementMessagesSent = 0;
      // In parts, so that no message is large; the scheduler takes them as one when it has the last.
      const sync = ++this.syncNumber;
      const parts = Math.max(1, Math.ceil(placements.length / MAX_PLACEMENTS_PER_CHUNK));
      for (let i = 0; i < parts; i++)
        this.options.send({
          type: 'fullSync',
          ...base,
          syncNumber: sync,
          chunkCount: parts,
          chunkIndex: i,
          shardEpochs,
          placements: placements.slice(i * MAX_PLACEMENTS_PER_CHUNK, (i + 1) * MAX_PLACEMENTS_PER_CHUNK),
          requests: i === parts - 1 ? this.listRequests() : [],
        });
      return;
    }
    if (!this.isSynced) return;
    if (this.placementsToSend.length > 0) {
      this.options.send({ type: 'placements', ...base, placements: this.placementsToSend });
      this.placementsToSend = [];
      this.placementMessagesSent++;
    }
    // After the stops that follow from what was read.
    const mark = this.leaderTimestamps.latestReceivedBy(this.options.openJobsFreshAsOf());
    if (mark !== null && mark > this.coverageSentUpTo) {
      this.coverageSentUpTo = mark;
      const n = this.placementMessagesSent;
      this.options.send({
        type: 'cancellationCoverage',
        ...base,
        syncNumber: this.syncNumber,
        placementMessages: n,
        shardEpochs: this.shardEpochs(),
        leaderTimestamp: mark,
      });
    }
    if (this.releasesToSend.tasks.length + this.releasesToSend.grants.length > 0) {
      this.options.send({ type: 'release', ...base, ...this.releasesToSend });
      this.releasesToSend = { tasks: [], grants: [] };
    }
    if (this.requestsDirty) {
      const now = this.options.clock.now();
      if (now < this.nextRequestsAt) return this.wakeAt(this.nextRequestsAt);
      this.requestsDirty = false;
      const requests = this.listRequests();
      // A long list is told less often: it costs both sides, and few places come free between two tellings.
      this.nextRequestsAt = now + Math.min(300, 10 + requests.length * 3);
      const text = JSON.stringify(requests);
      if (text === this.lastRequestsSent) return;
      this.lastRequestsSent = text;
      this.options.send({ type: 'resourceRequests', ...base, requests });
    }
  }

  private shardEpochs(): Record<string, number> {
    const shardEpochs: Record<string, number> = {};
    for (const [name, team] of this.teams) if (team.isLoaded) shardEpochs[name] = team.shardEpoch;
    return shardEpochs;
  }

  private listRequests(): ResourceRequest[] {
    return listRequests({
      jobs: this.jobs.values(),
      teams: [...this.teams].filter(([, team]) => team.isLoaded).map(([name]) => name),
      releaseQueue: this.releaseQueue,
      usage: this.usage,
      maxTasksPerRequest: this.options.maxTasksPerRequest,
      nowMs: this.options.clock.now(),
      wallMs: this.options.clock.wall(),
      lastGrantTaken: this.lastGrantTaken,
    });
  }

  /**
   * Grants of an earlier scheduler are void; what was not yet sent to the state service goes back. What was sent and is
   * in doubt stays and counts: given back, its room would be granted to other jobs and the team go over its limit.
   */
  private dropUnsentPlacements(): void {
    for (const job of this.jobs.values()) {
      if (hasIndeterminateWrite(job)) continue;
      for (const placement of [...job.placements.values()]) {
        if (placement.isStored) continue;
        this.removePlacement(job, placement, 'returned');
        this.transactions.markDirty(job, 0);
        job.fanOut.putBack(placement.taskIndex);
      }
    }
  }

  // ---- what follows from writes ------------------------------------------------------------------

  onPlacementStored(job: OwnedJob, placement: Placement): void {
    if (job.cancelled) placement.desiredState = 'stop';
    this.placementsToSend.push(placementSpecOf(job, placement, placement.desiredState, 0, placement.grantId));
    this.options.log.debug(
      {
        job: job.spec.id,
        idx: placement.taskIndex,
        attempt: placement.attempt,
        machine: placement.machine,
        team: job.spec.team,
        grant: placement.grantId,
        ...this.usage.describe(job.spec.team),
      },
      'placement stored',
    );
  }

  onOutcomeStored(job: OwnedJob, { placement, isListed: listed }: FinalizedPlacement): void {
    if (listed) return void this.placementsToSend.push(placementSpecOf(job, placement, 'forget'));
    const key = taskKey(job.spec.id, placement.taskIndex, placement.attempt);
    this.releasesToSend.tasks.push({ machine: placement.machine, taskKey: key });
  }

  onCounterFull(job: OwnedJob): void {
    this.options.log.debug({ job: job.spec.id }, 'counter full: job done');
  }

  onFiled(job: OwnedJob): void {
    this.forget(job.spec.id);
    this.options.log.debug(
      { job: job.spec.id, cancelled: job.cancelled, done: job.counter.count },
      'job filed',
    );
  }
}
