/**
 * Brings jobs from the key-value store into memory: all jobs of a shard that has been acquired, jobs accepted since, and
 * single jobs again where nobody knows what has become of a write.
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
import { createOwnedJob, isOver, type OwnedJob, placementsFromStore } from './owned-job.js';
import type { OwnedJobs } from './owned-jobs.js';
import type { OwnedShard, OwnedShards } from './owned-shards.js';
import type { ReleaseQueue } from './release-queue.js';
import { readStoredJobs } from './stored-jobs.js';
import type { UsageLog } from './usage-log.js';
import type { WriteFence } from './write-fence.js';

/** Pause before a read that failed is repeated. */
const READ_RETRY_MS = 300;
/** Jobs remembered as archived: a watch may still show the record of one for a while. */
const MAX_ARCHIVED_JOBS = 5000;
/** The oldest of them, forgotten together when there are too many. */
const ARCHIVED_JOBS_FORGOTTEN = 1000;

/** What loading works with. */
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
  /** See `FanOut`. */
  releaseWindow: number;
  /** The cached records of unfinished jobs. */
  openJobItems(): Iterable<[string, CachedItem]>;
  wake(): void;
}

/** Loads shards and jobs. */
export class JobLoader {
  private readonly archived = new Set<string>();

  constructor(private readonly options: JobLoaderOptions) {}

  /** Begins to read the jobs of all shards that need it, with one list for all of them. */
  loadShards(): void {
    const { shards, fence, store, clock } = this.options;
    const pending = shards.toLoad();
    if (pending.length === 0) return;
    for (const shard of pending) shard.isLoading = true;
    fence.learn();
    readStoredJobs(store, null, (found) => {
      for (const shard of pending) shard.isLoading = false;
      if (found) this.onShardsRead(pending, found);
      else clock.after(READ_RETRY_MS, () => this.options.wake());
    });
  }

  /**
   * Reads the stored records of a job again. With an indeterminate write of it, only once that write can no longer be
   * executed: else what the read does not show may still be stored after it, beyond the team's quota or in another zone.
   */
  reload(job: OwnedJob, isIndeterminate = false): void {
    if (job.isReloading) return;
    job.isReloading = true;
    const { fence, clock } = this.options;
    const since = clock.now();
    const read = () =>
      this.readUntilAnswered(job, (stored) => {
        this.onReloaded(job, stored);
        const reloaded = this.options.jobs.get(job.spec.id);
        if (isIndeterminate && reloaded) this.options.usageLog.logResolvedWrite(reloaded, job, since);
      });
    if (isIndeterminate) fence.move(read);
    else read();
  }

  /** A job has its final record: what a watch may still show of it is passed over. */
  archive(jobId: string): void {
    const { jobs, updates } = this.options;
    const job = jobs.get(jobId);
    if (job) jobs.remove(job);
    this.archived.add(jobId);
    if (this.archived.size > MAX_ARCHIVED_JOBS)
      for (const oldest of [...this.archived].slice(0, ARCHIVED_JOBS_FORGOTTEN)) this.archived.delete(oldest);
    updates.invalidateRequests();
  }

  /** A record of an unfinished job was put, as a watch or a list has shown. */
  onOpenJobChanged(item: StoredItem): void {
    const key = parseJobRecordKey(item.key);
    if (!key) return;
    const job = this.options.jobs.get(key.jobId);
    if (job) this.onOwnedJobChanged(job, key, item);
    else if (key.type === 'job' && !this.archived.has(key.jobId)) this.onJobAccepted(item, key.jobId);
  }

  private onOwnedJobChanged(job: OwnedJob, key: JobRecordKey, item: StoredItem): void {
    const { modRevision } = item;
    switch (key.type) {
      case 'counter':
        if (modRevision > job.counterRevision && !job.writeInFlight && !job.isReloading) this.reload(job);
        return;
      case 'job':
        // Also of a job that is being reloaded: that read may wait out an outage, while what runs must be stopped.
        if (modRevision > job.jobRevision && readJob(item, key.jobId)?.cancelled) {
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
    const stored = readJob(item, jobId);
    if (!stored?.spec || !shards.isLoaded(stored.spec.team)) return;
    this.adopt(stored);
    log.debug({ jobId, taskCount: stored.spec.taskCount, team: stored.spec.team }, 'job released');
    updates.invalidateRequests();
    this.options.wake();
  }

  private onShardsRead(shards: OwnedShard[], found: Map<string, StoredJob>): void {
    for (const shard of shards) if (this.options.shards.includes(shard)) this.loadShard(shard, found);
    // Jobs accepted between the list and now were shown by the watch before the shard was loaded.
    for (const [key, item] of this.options.openJobItems())
      if (parseJobRecordKey(key)?.type === 'job') this.onOpenJobChanged({ key, ...item });
    this.options.updates.requestFullSync();
    this.options.wake();
  }

  private loadShard(shard: OwnedShard, found: Map<string, StoredJob>): void {
    const { team } = shard;
    shard.isLoaded = true;
    const jobs = [...found.values()].filter(({ spec }) => spec?.team === team);
    for (const job of jobs) this.adopt(job);
    this.options.usageLog.logLoadedShard(shard, jobs.length);
    this.options.usageLog.logIfOverQuota(team);
  }

  /** Owns a job as it is stored, in place of what was known of it. */
  private adopt(stored: StoredJob): void {
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
    if (isOver(job)) transactions.scheduleWrite(job, 0);
  }

  /** Reads a job's records until that succeeds, as long as it is owned. */
  private readUntilAnswered(job: OwnedJob, onRead: (stored: StoredJob | undefined) => void): void {
    const { store, clock, jobs } = this.options;
    const { id } = job.spec;
    readStoredJobs(store, id, (found) => {
      if (!jobs.includes(job)) return;
      if (found) onRead(found.get(id));
      else
        clock.after(READ_RETRY_MS, () => {
          if (jobs.includes(job)) this.readUntilAnswered(job, onRead);
        });
    });
  }

  private onReloaded(job: OwnedJob, stored: StoredJob | undefined): void {
    const { id: jobId, team } = job.spec;
    if (stored?.spec) this.adopt(stored);
    else this.archive(jobId);
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

function readJob(item: StoredItem, jobId: string): StoredJob | undefined {
  const found = new Map<string, StoredJob>();
  mergeStoredItem(found, item);
  return found.get(jobId);
}
