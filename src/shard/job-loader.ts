/**
 * Loads jobs from the key-value store into memory: all jobs of an acquired shard, jobs accepted since, and
 * jobs that must be read again after a failed transaction or because a newer counter record was reported.
 */

import type { Clock } from '../model/clock.js';
import type { KeyValueStore, StoredItem } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import { type JobRecordKey, parseJobRecordKey } from '../store/keyspace.js';
import type { CachedItem } from '../store/prefix-copy.js';
import { mergeStoredItem, type StoredJob } from '../store/stored-job.js';
import type { JobStops } from './job-stops.js';
import type { JobTransactions } from './job-transactions.js';
import type { LeaderUpdates } from './leader-updates.js';
import { createOwnedJob, isReadyToArchive, type OwnedJob, placementsFromStore } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { OwnedShard, OwnedShards } from './owned-shards.js';
import { readStoredJobs } from './read-stored-jobs.js';
import type { ReleaseQueue } from './release-queue.js';
import type { UsageLog } from './usage-log.js';
import type { WriteFence } from './write-fence.js';

/** Delay before a failed read is repeated. */
const READ_RETRY_MS = 300;
/** Maximum number of archived jobs to remember, as a watch may still report their records for a while. */
const MAX_ARCHIVED_JOB_IDS = 5000;
/** Number of the oldest archived jobs that are dropped together above that maximum. */
const ARCHIVED_JOB_IDS_DROPPED = 1000;

/** Settings and dependencies of a `JobLoader`. */
export interface JobLoaderOptions {
  store: KeyValueStore;
  clock: Clock;
  log: Logger;
  jobs: OwnedJobs;
  shards: OwnedShards;
  fence: WriteFence;
  transactions: JobTransactions;
  releaseQueue: ReleaseQueue;
  stops: JobStops;
  updates: LeaderUpdates;
  usageLog: UsageLog;
  /**
   * Maximum distance, in task indices, of a task released for placement from the first unfinished task; see
   * `FanOut`.
   */
  releaseWindow: number;
  /** Returns the cached records of the open jobs. */
  openJobItems(): Iterable<[string, CachedItem]>;
  /** Schedules a flush of the shard owner. */
  wake(): void;
}

/** Loads the jobs of shards and reloads single jobs. */
export class JobLoader {
  private readonly archivedJobIds = new Set<string>();

  constructor(private readonly options: JobLoaderOptions) {}

  /** Starts to read the jobs of all shards that are not loaded, with one listing of the jobs of all teams. */
  loadShards(): void {
    const { shards, fence, store, clock } = this.options;
    const pendingShards = shards.shardsToLoad();
    if (pendingShards.length === 0) return;
    for (const shard of pendingShards) shard.isLoading = true;
    fence.ensureRevisionKnown();
    readStoredJobs(store, null, (storedJobs) => {
      for (const shard of pendingShards) shard.isLoading = false;
      if (storedJobs) this.onShardsRead(pendingShards, storedJobs);
      else clock.after(READ_RETRY_MS, () => this.options.wake());
    });
  }

  /**
   * Reads the stored records of a job again and replaces its object, or removes the job if it is no longer
   * stored. After an indeterminate write, the read waits until that write can no longer be executed.
   * Otherwise placements that the read does not show could still be stored later and exceed the team's quota
   * or use another zone.
   */
  reload(job: OwnedJob, isIndeterminate = false): void {
    if (job.isReloading) return;
    job.isReloading = true;
    const { fence, clock } = this.options;
    const startedAtMs = clock.now();
    const read = () =>
      this.readWithRetries(job, (stored) => {
        this.onReloaded(job, stored);
        const reloaded = this.options.jobs.get(job.spec.id);
        if (isIndeterminate && reloaded) this.options.usageLog.logResolvedWrite(reloaded, job, startedAtMs);
      });
    if (isIndeterminate) fence.move(read);
    else read();
  }

  /**
   * Removes a job whose final record is stored, or whose records no longer exist, and remembers its id for a
   * while, so that late reports of its records by a watch do not add it again.
   */
  removeArchivedJob(jobId: string): void {
    const { jobs, updates } = this.options;
    const job = jobs.get(jobId);
    if (job) jobs.remove(job);
    this.archivedJobIds.add(jobId);
    if (this.archivedJobIds.size > MAX_ARCHIVED_JOB_IDS)
      for (const oldest of [...this.archivedJobIds].slice(0, ARCHIVED_JOB_IDS_DROPPED))
        this.archivedJobIds.delete(oldest);
    updates.invalidateRequests();
  }

  /**
   * Handles a put of a record of an open job, as reported by a watch or a listing: reloads an owned job whose
   * counter record is newer than known, stops one that has been cancelled, and adds an accepted job whose
   * shard is loaded.
   */
  onOpenJobChanged(item: StoredItem): void {
    const key = parseJobRecordKey(item.key);
    if (!key) return;
    const job = this.options.jobs.get(key.jobId);
    if (job) this.onOwnedJobChanged(job, key, item);
    else if (key.type === 'job' && !this.archivedJobIds.has(key.jobId)) this.onJobAccepted(item, key.jobId);
  }

  private onOwnedJobChanged(job: OwnedJob, key: JobRecordKey, item: StoredItem): void {
    const { modRevision } = item;
    switch (key.type) {
      case 'counter':
        // While a write is in flight, the newer revision may be that write's own.
        if (modRevision > job.counterRevision && !job.isWriteInFlight && !job.isReloading) this.reload(job);
        return;
      case 'job':
        // A cancellation also stops a job that is being reloaded: that read may last as long as an outage,
        // but running tasks must be stopped now.
        if (modRevision > job.jobRevision && decodeStoredJob(item, key.jobId)?.cancelled) {
          job.jobRevision = modRevision;
          this.options.stops.cancel(job);
        }
        return;
      case 'placements':
        return;
    }
  }

  private onJobAccepted(item: StoredItem, jobId: string): void {
    const { shards, updates, log } = this.options;
    const stored = decodeStoredJob(item, jobId);
    if (!stored?.spec || !shards.isLoaded(stored.spec.team)) return;
    this.addStoredJob(stored);
    log.debug({ jobId, taskCount: stored.spec.taskCount, team: stored.spec.team }, 'accepted job added');
    updates.invalidateRequests();
    this.options.wake();
  }

  private onShardsRead(shards: OwnedShard[], storedJobs: Map<string, StoredJob>): void {
    for (const shard of shards) if (this.options.shards.includes(shard)) this.addShardJobs(shard, storedJobs);
    // The watch's reports of jobs accepted after the listing were ignored while the shard was not loaded, so
    // the cached records are processed again.
    for (const [key, item] of this.options.openJobItems())
      if (parseJobRecordKey(key)?.type === 'job') this.onOpenJobChanged({ key, ...item });
    this.options.updates.requestFullSync();
    this.options.wake();
  }

  private addShardJobs(shard: OwnedShard, storedJobs: Map<string, StoredJob>): void {
    const { team } = shard;
    shard.isLoaded = true;
    const jobs = [...storedJobs.values()].filter(({ spec }) => spec?.team === team);
    for (const job of jobs) this.addStoredJob(job);
    this.options.usageLog.logLoadedShard(shard, jobs.length);
    this.options.usageLog.logIfOverQuota(team);
  }

  /**
   * Adds a job from its stored records, replacing the object for the same job if there is one. Does nothing
   * if the job record was not found.
   */
  private addStoredJob(stored: StoredJob): void {
    const { spec } = stored;
    if (!spec || stored.acceptedRevision === 0) return;
    const { jobs, transactions, releaseQueue, releaseWindow } = this.options;
    const previous = jobs.get(spec.id);
    if (previous) jobs.remove(previous);
    const job = createOwnedJob({ spec, stored, previous, releaseWindow });
    for (const placement of placementsFromStore(job, stored, previous))
      jobs.addPlacement(job, placement, 'loaded');
    if (spec.kind === 'gang' && job.counter.isComplete)
      for (const placement of job.placements.values()) placement.desiredState = 'stop';
    for (const placement of job.placements.values()) if (placement.isRunning) job.runningTasks++;
    job.fanOut.skipCounted((task) => job.counter.has(task));
    jobs.add(job);
    if (!previous) releaseQueue.recordSize(spec);
    if (isReadyToArchive(job)) transactions.scheduleWrite(job, 0);
  }

  /** Reads the records of a job and retries until that succeeds or the job is removed or replaced. */
  private readWithRetries(job: OwnedJob, onRead: (stored: StoredJob | undefined) => void): void {
    const { store, clock, jobs } = this.options;
    const { id } = job.spec;
    readStoredJobs(store, id, (storedJobs) => {
      if (!jobs.includes(job)) return;
      if (storedJobs) onRead(storedJobs.get(id));
      else
        clock.after(READ_RETRY_MS, () => {
          if (jobs.includes(job)) this.readWithRetries(job, onRead);
        });
    });
  }

  private onReloaded(job: OwnedJob, stored: StoredJob | undefined): void {
    const { id: jobId, team } = job.spec;
    if (stored?.spec) this.addStoredJob(stored);
    else this.removeArchivedJob(jobId);
    const revisions = {
      job: stored?.jobRevision,
      counter: stored?.counterRevision,
      placementChunks: stored?.placementChunks.size,
    };
    this.options.log.debug({ jobId, found: !!stored?.spec, revisions }, 'job reloaded');
    this.options.usageLog.logIfOverQuota(team);
    this.options.updates.requestFullSync();
    this.options.wake();
  }
}

function decodeStoredJob(item: StoredItem, jobId: string): StoredJob | undefined {
  const storedJobs = new Map<string, StoredJob>();
  mergeStoredItem(storedJobs, item);
  return storedJobs.get(jobId);
}
