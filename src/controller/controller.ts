import { JobApi } from '../api/job-api.js';
import {
  type CancellationCoverage,
  cancellationReadIntervalMs,
  isLeaseRenewalCovered,
  PeerTimestamps,
  renewalWindowMs,
} from '../model/cancellation-coverage.js';
import type { Clock } from '../model/clock.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import type { HeartbeatResult } from '../model/heartbeat-result.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import { URGENCY } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { MachineType } from '../model/machine-type.js';
import type { PeerMessage, PeerMessageBody, PeerTransport } from '../model/peer-message.js';
import type { PolicyFn } from '../model/policy.js';
import type { LeaderRecord } from '../model/records.js';
import type { ResultCallback } from '../model/result.js';
import type { LeaderMessage, ShardMessage } from '../model/shard-messages.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import type { Heartbeat } from '../model/worker-messages.js';
import { ImageLocations } from '../scheduler/image-locations.js';
import { Scheduler } from '../scheduler/scheduler.js';
import { ShardOwner } from '../shard/shard-owner.js';
import { OPEN_JOBS_PREFIX, SYSTEM_PREFIX } from '../store/keyspace.js';
import {
  leaderRecord,
  machineTypesRecord,
  nodeRecord,
  teamRecord,
  tokenRecord,
} from '../store/record-codec.js';
import { WatchCache } from '../store/watch-cache.js';
import { CancellationLog } from './cancellation-log.js';

export interface ControllerOptions {
  nodeName: string;
  instanceId: string;
  peerNames: string[];
  teams: Team[];
  workerTiming: { heartbeatIntervalSeconds: number; leaseSeconds: number; cancellationSeconds: number };
  storeLimits: { maxValueKb: number; maxTransactionOperations: number; writesPerSecond: number };
  machineListLagSeconds: number;
  cloudCallsPerSecond: number;
  objectives: ServiceLevelObjective[];
  /** Lease of a controller's record, in ms. */
  leaseTtlMs: number;
  policy: PolicyFn;
  clock: Clock;
  log: Logger;
  store: KeyValueStore;
  cloud: CloudProvider;
  workers: WorkerCommandPort;
  peers: PeerTransport;
}

type Command =
  | { type: 'peerMessage'; message: PeerMessage }
  | { type: 'peerConnection'; nodeName: string; isUp: boolean }
  | { type: 'reply'; run: () => void }
  | { type: 'tick' };

/** Least time between two watches of the open jobs, which change several times a second. */
const OPEN_JOBS_WATCH_INTERVAL_MS = 100;
/** Longest time that a watch waits for a change. */
const WATCH_WAIT_MS = 10_000;

/** Most facts about images in one message. */
const MAX_IMAGE_FACTS_PER_MESSAGE = 2000;
/** Lag behind a sibling's last answer from the state service from which users that can't be served are sent on. */
const USER_REDIRECT_LAG_MS = 700;
/** So long nobody in touch is heard before a controller takes itself for alone. */
const ISOLATED_AFTER_MS = 2500;
/** So long an owner may tell nothing of cancellations while the state service answers; so long it gets no team then. */
const UNREACHABLE_AFTER_MS = 10000;
const UNREACHABLE_PAUSE_MS = 60000;
/** Most machines named in one message: 200 KB, five times a fleet of 4,000 machines. */
const MAX_MACHINES_PER_MESSAGE = 20000;
/** Part of a lease by which a sibling's last answer from the state service must be later than this one's own. */
const READINESS_LAG_SHARE = 0.6;

/** One process's state: its lease, owner, scheduler and API. All changes come through one queue. */
export class Controller {
  readonly api: JobApi;
  private readonly owner: ShardOwner;
  private scheduler: Scheduler | null = null;
  private readonly systemRecords: WatchCache;
  private readonly openJobs: WatchCache;
  private readonly store: KeyValueStore;
  private readonly queue: Command[] = [];
  private scheduled = false;
  private messageSequence = 0;
  private leaseId = 0;
  private leaseRenewedAt = 0;
  private leaseRequestInFlight = false;
  private predecessorLeaseRevoked = false;
  private leaderRevision = 0;
  private electing = false;
  private noElectionUntil = 0;
  private nextElectionAt = 0;
  private assigning = false;
  private nextRebalanceAt = 0;
  private leaderTerm = 0;
  private leadingSince = 0;
  private readonly superseded = new Set<string>();
  private nextTokenRaiseAt = 0;
  private nextWithdrawalAt = 0;
  private withdrawalInFlight = false;
  private storeContactAt: number;
  private leader: LeaderRecord = { instanceId: '', nodeName: '', fencingToken: 0 };
  private peers = new Map<
    string,
    {
      instanceId: string;
      heardAt: number;
      messageSequence: number;
      storeContactAt: number;
      timestamps: PeerTimestamps;
    }
  >();
  private inheritedCoverage: CancellationCoverage | null = null;
  private readonly cancellations: CancellationLog;
  private readonly unreachableUntil = new Map<string, number>();
  private machineTypes: MachineType[] = [];
  private machineTypesAskedAt = Number.NEGATIVE_INFINITY;
  private machineTypesInFlight = false;
  private readonly teams: Map<string, Team>;

  constructor(private readonly options: ControllerOptions) {
    this.teams = new Map(options.teams.map((team) => [team.name, team]));
    this.cancellations = new CancellationLog(options.peerNames);
    this.storeContactAt = options.clock.now() - 1e6;
    this.store = this.watched(options.store);
    const cloud = this.queuedCloud(options.cloud);
    this.owner = new ShardOwner({
      nodeName: options.nodeName,
      instanceId: options.instanceId,
      teams: this.teams,
      maxValueKb: options.storeLimits.maxValueKb,
      maxTransactionOperations: options.storeLimits.maxTransactionOperations,
      writesPerSecond: options.storeLimits.writesPerSecond,
      maxTasksPerRequest: Math.max(1, Math.round(options.policy(NO_INPUT).batch_tasks)),
      noticeGraceSeconds: 1,
      objectives: options.objectives,
      openJobItems: () => this.openJobs.items,
      openJobsFreshAsOf: () => this.openJobs.freshAsOf,
      refreshOpenJobs: () => {
        if (options.clock.now() - this.openJobs.freshAsOf >= cancellationReadIntervalMs(options.workerTiming))
          this.openJobs.requestRead();
      },
      store: this.store,
      clock: options.clock,
      log: options.log,
      send: (message) => this.sendToLeader(message),
      wake: () => this.wake(),
    });
    this.cloud = cloud;
    this.systemRecords = new WatchCache({
      prefix: SYSTEM_PREFIX,
      store: this.store,
      clock: options.clock,
      watchWaitMs: WATCH_WAIT_MS,
      minWatchIntervalMs: 0,
      isFollowed: true,
      onChange: (key) => this.onSystemRecordChanged(key),
    });
    // Followed while this controller owns a team; the API alone catches up when it is asked.
    this.openJobs = new WatchCache({
      prefix: OPEN_JOBS_PREFIX,
      store: this.store,
      clock: options.clock,
      watchWaitMs: WATCH_WAIT_MS,
      minWatchIntervalMs: OPEN_JOBS_WATCH_INTERVAL_MS,
      isFollowed: false,
      onChange: (key, value, modRevision) => {
        if (value !== undefined) this.owner.onOpenJobChanged({ key, value, modRevision });
      },
    });
    this.api = new JobApi(
      this.store,
      this.openJobs,
      this.teams,
      () => this.machineTypes,
      options.log,
      () => options.clock.wall(),
      (id) => this.announceCancellation(id),
    );
  }

  private readonly cloud: CloudProvider;

  start(): void {
    this.systemRecords.start();
    this.openJobs.start();
    const beat = () => {
      this.push({ type: 'tick' });
      this.options.clock.after(500, beat);
    };
    beat();
  }

  // ---- the queue --------------------------------------------------------------------------------------

  push(command: Command): void {
    this.queue.push(command);
    this.wake();
  }

  private wake(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.options.clock.soon(() => this.run());
  }

  private run(): void {
    this.scheduled = false;
    for (const command of this.queue.splice(0)) this.execute(command);
    this.owner.flush();
    this.scheduler?.flush();
  }

  private execute(command: Command): void {
    switch (command.type) {
      case 'reply':
        return command.run();
      case 'tick':
        return this.tick();
      case 'peerMessage':
        return this.onPeerMessage(command.message);
      case 'peerConnection':
        return this.onPeerConnected(command.nodeName, command.isUp);
    }
  }

  private reply<T>(callback: ResultCallback<T>): ResultCallback<T> {
    return (result) => this.push({ type: 'reply', run: () => callback(result) });
  }

  /** Replies come through the queue, and each success tells that the state service is in reach. */
  private watched(s: KeyValueStore): KeyValueStore {
    const callback = <T>(then: ResultCallback<T>): ResultCallback<T> => {
      const sent = this.options.clock.now();
      return this.reply((result) => {
        if (result.ok || result.kind === 'conflict' || result.kind === 'notFound')
          this.storeContactAt = Math.max(this.storeContactAt, sent);
        then(result);
      });
    };
    return {
      get: (k, urgency, t) => s.get(k, urgency, callback(t)),
      list: (request, t) => s.list(request, callback(t)),
      compareAndSwap: (x, urgency, t) => s.compareAndSwap(x, urgency, callback(t)),
      grantLease: (ms, t) => s.grantLease(ms, callback(t)),
      keepLeaseAlive: (l, t) => s.keepLeaseAlive(l, callback(t)),
      revokeLease: (l, t) => s.revokeLease(l, callback(t)),
      // A watch that waits may be answered long after; one that doesn't tells as much as any read.
      watch: (request, t) => s.watch(request, request.waitMs === 0 ? callback(t) : this.reply(t)),
    };
  }

  private queuedCloud(c: CloudProvider): CloudProvider {
    return {
      listMachineTypes: (t) => c.listMachineTypes(this.reply(t)),
      rentMachines: (request, t) => c.rentMachines(request, this.reply(t)),
      deleteMachines: (n, t) => c.deleteMachines(n, this.reply(t)),
      listMachines: (a, t) => c.listMachines(a, this.reply(t)),
    };
  }

  // ---- ticks --------------------------------------------------------------------------------------------

  private tick(): void {
    const now = this.options.clock.now();
    this.renewLease(now);
    this.elect(now);
    this.withdrawStaleLeadership(now);
    this.assignShards(now);
    this.refreshMachineTypes(now);
    this.scheduler?.tick();
    const cover = this.updateCoverage(now);
    const news = this.images.takeChanges();
    if (this.scheduler && news.added.length + news.removedMachines.length > 0)
      for (const p of this.options.peerNames) this.sendToPeer(p, { type: 'images', ...news });
    const strays = [...this.redirectedMachines].slice(0, MAX_MACHINES_PER_MESSAGE);
    this.redirectedMachines.clear();
    for (const p of this.options.peerNames)
      this.sendToPeer(p, {
        type: 'heartbeat',
        leader: this.leader.nodeName,
        fencingToken: this.leader.fencingToken,
        storeContactAgeMs: Math.max(0, now - this.storeContactAt),
        redirectedMachines: p === this.leader.nodeName ? strays : [],
        timestamp: now,
        latestTimestamp: this.latestTimestampOf(p),
        cancellationsTold: this.cancellations.toldHere,
        coverage: this.coverageForPeer(p, cover),
      });
  }

  /** The leader marks a moment for its owners, and takes down what is covered for whoever leads next. */
  private updateCoverage(now: number): { at: number; pendingMachines: string[] } | null {
    const scheduler = this.scheduler;
    if (!scheduler) return null;
    for (const instanceId of new Set([...this.shardOwners().values()].map((r) => r.instanceId)))
      this.sendToShardOwner(instanceId, {
        type: 'timestamp',
        fencingToken: scheduler.fencingToken,
        leaderTimestamp: now,
      });
    const c = scheduler.coverage();
    if (c)
      this.inheritCoverage({
        completeUntil: c.at,
        pendingMachines:
          c.pendingMachines.length > MAX_MACHINES_PER_MESSAGE ? null : new Set(c.pendingMachines),
      });
    return c;
  }

  private coverageForPeer(
    host: string,
    c: { at: number; pendingMachines: string[] } | null,
  ): { instanceId: string; timestamp: number; pendingMachines: string[] | null } | null {
    const h = this.peers.get(host);
    const mark = c && h ? h.timestamps.latestReceivedBy(c.at) : null;
    if (!c || !h || mark === null) return null;
    return {
      instanceId: h.instanceId,
      timestamp: mark,
      pendingMachines: c.pendingMachines.length > MAX_MACHINES_PER_MESSAGE ? null : c.pendingMachines,
    };
  }

  private latestTimestampOf(host: string): { instanceId: string; timestamp: number } | null {
    const h = this.peers.get(host);
    const mark = h?.timestamps.latestReceivedBy(Number.POSITIVE_INFINITY) ?? null;
    return h && mark !== null ? { instanceId: h.instanceId, timestamp: mark } : null;
  }

  private inheritCoverage(coverage: CancellationCoverage): void {
    if (!this.inheritedCoverage || coverage.completeUntil >= this.inheritedCoverage.completeUntil)
      this.inheritedCoverage = coverage;
  }

  /**
   * A user is about to be told that a job is cancelled. Whoever leads, now or next, may stop its tasks at once, before
   * their owner reads of it.
   */
  private announceCancellation(job: string): void {
    if (!this.cancellations.recordOwn(job)) return;
    this.scheduler?.onJobCancelled(job);
    for (const p of this.options.peerNames)
      this.sendToPeer(p, { type: 'cancelled', jobId: job, cancellationNumber: this.cancellations.toldHere });
  }

  /** Ready unless this controller alone is without the state service. */
  isReady(): boolean {
    const now = this.options.clock.now();
    if (!this.systemRecords.isReady || !this.openJobs.isReady) return false;
    // In an outage for all nobody was answered much later than another: that must not take every controller out.
    return !this.lagsBehindPeers(now, this.options.leaseTtlMs * READINESS_LAG_SHARE);
  }

  /** A sibling has lately been answered by the state service, by so much later than this controller. */
  private lagsBehindPeers(now: number, ms: number): boolean {
    for (const h of this.peers.values())
      if (now - h.heardAt < 3000 && h.storeContactAt > this.storeContactAt + ms) return true;
    return false;
  }

  /** Whether a user who can't be served here had better ask another: sooner known than that this one is not ready. */
  shouldRedirectUsers(): boolean {
    return !this.isReady() || this.lagsBehindPeers(this.options.clock.now(), USER_REDIRECT_LAG_MS);
  }

  private refreshMachineTypes(now: number): void {
    if (
      this.machineTypesInFlight ||
      now - this.machineTypesAskedAt < (this.machineTypes.length > 0 ? 30000 : 1500)
    )
      return;
    // The leader asks the cloud and stores the answer; the others read it there, also while the cloud is down.
    if (!this.scheduler && this.machineTypes.length > 0) return;
    if (!this.scheduler && now - this.storeContactAt > 1e5) return;
    this.machineTypesInFlight = true;
    this.machineTypesAskedAt = now;
    this.cloud.listMachineTypes((result) => {
      this.machineTypesInFlight = false;
      if (!result.ok || result.value.length === 0) return;
      const text = JSON.stringify(
        result.value.map((machineType) => ({ ...machineType, hourlyPrice: 0, hourlySpotPrice: 0 })),
      );
      const old = JSON.stringify(
        this.machineTypes.map((machineType) => ({ ...machineType, hourlyPrice: 0, hourlySpotPrice: 0 })),
      );
      this.machineTypes = result.value;
      if (this.scheduler && (text !== old || !this.systemRecords.items.has('sys/types')))
        this.store.compareAndSwap(
          {
            preconditions: [{ key: 'sys/leader', modRevision: this.leaderRevision }],
            operations: [{ type: 'put', key: 'sys/types', value: machineTypesRecord.encode(result.value) }],
          },
          URGENCY.placement,
          () => {},
        );
    });
  }

  // ---- lease and election ---------------------------------------------------------------------------------

  private renewLease(now: number): void {
    if (this.leaseRequestInFlight || !this.systemRecords.isReady) return;
    if (this.leaseId === 0) return this.join();
    if (now - this.leaseRenewedAt < this.options.leaseTtlMs / 3) return;
    this.leaseRequestInFlight = true;
    this.store.keepLeaseAlive(this.leaseId, (result) => {
      this.leaseRequestInFlight = false;
      if (result.ok) this.leaseRenewedAt = now;
      else if (result.kind === 'notFound') {
        this.options.log.info({}, 'lease lost');
        this.leaseId = 0;
        this.stepDown('lease lost');
        this.join();
      }
    });
  }

  /** A new instance ends its predecessor's lease, and no other; then it takes one of its own. */
  private join(): void {
    const key = `sys/node/${this.options.nodeName}`;
    this.leaseRequestInFlight = true;
    const retry = () => {
      this.leaseRequestInFlight = false;
    };
    this.store.get(key, URGENCY.lease, (g) => {
      if (!g.ok) return retry();
      const record = g.value ? nodeRecord.decode(g.value.value) : undefined;
      const next = () => this.takeLease(key, g.value?.modRevision ?? 0, retry);
      if (record && record.instanceId !== this.options.instanceId && !this.predecessorLeaseRevoked) {
        this.predecessorLeaseRevoked = true;
        this.store.revokeLease(record.leaseId, next);
      } else next();
    });
  }

  /** Conditioned on the record that was read: carried out late it would bring back an older lease, and go with it. */
  private takeLease(key: string, version: number, retry: () => void): void {
    const sent = this.options.clock.now();
    this.store.grantLease(this.options.leaseTtlMs, (l) => {
      if (!l.ok) return retry();
      const lease = l.value;
      this.store.compareAndSwap(
        {
          preconditions: [{ key, modRevision: version }],
          operations: [
            {
              type: 'put',
              key,
              value: nodeRecord.encode({ instanceId: this.options.instanceId, leaseId: lease }),
              leaseId: lease,
            },
          ],
        },
        URGENCY.lease,
        (result) => {
          this.leaseRequestInFlight = false;
          if (!result.ok) return;
          this.leaseId = lease;
          this.leaseRenewedAt = sent;
          this.options.log.info({ inst: this.options.instanceId }, 'joined');
          this.elect(this.options.clock.now());
        },
      );
    });
  }

  private elect(now: number): void {
    if (
      this.leaseId === 0 ||
      !this.systemRecords.isReady ||
      this.electing ||
      now < this.noElectionUntil ||
      now < this.nextElectionAt
    )
      return;
    if (this.systemRecords.items.has('sys/leader') || now - this.leaseRenewedAt > this.options.leaseTtlMs)
      return;
    this.campaign(0, 'no leader');
  }

  private campaign(leaderVersion: number, reason: string): void {
    const tok = this.systemRecords.items.get('sys/token');
    const token = (tok ? tokenRecord.decode(tok.value).fencingToken : 0) + 1;
    this.electing = true;
    this.nextElectionAt = this.options.clock.now() + 300 + this.options.clock.random() * 300;
    const record: LeaderRecord = {
      instanceId: this.options.instanceId,
      nodeName: this.options.nodeName,
      fencingToken: token,
    };
    this.store.compareAndSwap(
      {
        preconditions: [
          { key: 'sys/leader', modRevision: leaderVersion },
          { key: 'sys/token', modRevision: tok?.modRevision ?? 0 },
        ],
        operations: [
          { type: 'put', key: 'sys/token', value: tokenRecord.encode({ fencingToken: token }) },
          {
            type: 'put',
            key: 'sys/leader',
            value: leaderRecord.encode(record),
            leaseId: this.leaseId,
          },
        ],
      },
      URGENCY.lease,
      (result) => {
        this.electing = false;
        if (result.ok) this.startLeading(record, result.value, reason);
      },
    );
  }

  private startLeading(record: LeaderRecord, mark: number, why: string): void {
    if (this.scheduler && this.scheduler.fencingToken >= record.fencingToken) return;
    if (record.fencingToken < this.leader.fencingToken || record.fencingToken <= this.leaderTerm) return;
    this.leaderTerm = record.fencingToken;
    this.leadingSince = this.options.clock.now();
    this.leaderRevision = mark;
    this.options.log.info({ token: record.fencingToken, why }, 'leading');
    this.scheduler = new Scheduler({
      instanceId: this.options.instanceId,
      fencingToken: record.fencingToken,
      teams: this.teams,
      workerTiming: this.options.workerTiming,
      machineListLagSeconds: this.options.machineListLagSeconds,
      cloudCallsPerSecond: this.options.cloudCallsPerSecond,
      images: this.images,
      objectives: this.options.objectives,
      isFirstEver: record.fencingToken === 1,
      clock: this.options.clock,
      log: this.options.log,
      cloud: this.cloud,
      workers: {
        sendCommands: (address, batch, callback) =>
          this.options.workers.sendCommands(address, batch, this.reply(callback)),
      },
      machineTypes: () => this.machineTypes,
      policy: this.options.policy,
      holdsLeadership: () =>
        this.scheduler?.fencingToken === record.fencingToken &&
        this.options.clock.now() - this.leaseRenewedAt < this.options.leaseTtlMs,
      send: (instanceId, message) => this.sendToShardOwner(instanceId, message),
      wake: () => this.wake(),
      onHigherToken: (token) => {
        if (this.scheduler?.fencingToken === record.fencingToken) this.stepDown(`token ${token} seen`);
      },
      inheritedCoverage: () => this.inheritedCoverage,
      isCancelled: (job) => this.cancellations.has(job),
      cancellationsKnown: (now) => this.cancellations.completeSince(now),
      reachablePeers: () =>
        [...this.peers.values()].filter((h) => this.options.clock.now() - h.heardAt < 3000).length,
      resign: (reason) => this.resign(record.fencingToken, reason),
      raiseFencingToken: (reason) => this.raiseFencingToken(record.fencingToken, reason),
    });
    this.setLeader(record);
    this.scheduler.setOwners(this.shardOwners());
    this.assignShards(this.options.clock.now());
    this.nextRebalanceAt = this.leadingSince + 5000;
    this.machineTypesAskedAt = Number.NEGATIVE_INFINITY;
    this.refreshMachineTypes(this.options.clock.now());
  }

  private stepDown(reason: string): void {
    if (!this.scheduler) return;
    this.options.log.info({ token: this.scheduler.fencingToken, why: reason }, 'no longer leading');
    this.scheduler = null;
    if (this.leader.instanceId === this.options.instanceId) this.leader = { ...this.leader, nodeName: '' };
  }

  private resign(token: number, reason: string): void {
    if (this.scheduler?.fencingToken !== token) return;
    const mark = this.leaderRevision;
    this.noElectionUntil = this.options.clock.now() + 20000;
    this.stepDown(reason);
    this.store.compareAndSwap(
      {
        preconditions: [{ key: 'sys/leader', modRevision: mark }],
        operations: [{ type: 'delete', key: 'sys/leader' }],
      },
      URGENCY.lease,
      () => {},
    );
  }

  /**
   * A leader record that still names this instance after it has resigned: its deletion was lost. As long as it stands
   * nobody can be elected, and the lease it hangs on is kept (seen in a seeded day: no leader to the end).
   */
  private withdrawStaleLeadership(now: number): void {
    const it = this.systemRecords.items.get('sys/leader');
    if (!it || this.scheduler || this.electing || this.withdrawalInFlight || now < this.nextWithdrawalAt)
      return;
    const record = leaderRecord.decode(it.value);
    if (record.instanceId !== this.options.instanceId || record.fencingToken > this.leaderTerm) return;
    this.nextWithdrawalAt = now + 1000;
    this.withdrawalInFlight = true;
    this.store.compareAndSwap(
      {
        preconditions: [{ key: 'sys/leader', modRevision: it.modRevision }],
        operations: [{ type: 'delete', key: 'sys/leader' }],
      },
      URGENCY.lease,
      () => {
        this.withdrawalInFlight = false;
      },
    );
  }

  private raiseFencingToken(token: number, reason: string): void {
    const now = this.options.clock.now();
    if (this.scheduler?.fencingToken !== token || this.electing || now < this.nextTokenRaiseAt) return;
    this.nextTokenRaiseAt = now + 15000;
    this.campaign(this.leaderRevision, reason);
  }

  private setLeader(record: LeaderRecord): void {
    if (record.fencingToken < this.leader.fencingToken) return;
    this.leader = record;
    this.owner.setLeader(record.fencingToken);
  }

  // ---- records under sys/ -----------------------------------------------------------------------------------

  private onSystemRecordChanged(key: string): void {
    if (key === 'sys/leader') {
      const it = this.systemRecords.items.get(key);
      if (!it) {
        if (this.scheduler) this.stepDown('leader record gone');
        this.nextElectionAt = this.options.clock.now() + this.options.clock.random() * 100;
        this.options.clock.after(110, () =>
          this.push({ type: 'reply', run: () => this.elect(this.options.clock.now()) }),
        );
        return;
      }
      const record = leaderRecord.decode(it.value);
      if (record.instanceId === this.options.instanceId) {
        // An election whose answer was lost.
        if (this.leaseId !== 0) this.startLeading(record, it.modRevision, 'found elected');
      } else {
        if (this.scheduler && record.fencingToken > this.scheduler.fencingToken)
          this.stepDown('another leads');
        this.setLeader(record);
      }
    } else if (key.startsWith('sys/team/')) {
      const mine = new Map<string, number>();
      for (const [team, r] of this.shardOwners())
        if (r.instanceId === this.options.instanceId && this.teams.has(team)) mine.set(team, r.shardEpoch);
      this.owner.setShards(mine);
      this.openJobs.follow(mine.size > 0);
      this.scheduler?.setOwners(this.shardOwners());
    } else if (key === 'sys/types' && !this.scheduler) {
      const v = this.systemRecords.items.get(key)?.value;
      if (Array.isArray(v)) this.machineTypes = machineTypesRecord.decode(v);
    } else if (key.startsWith('sys/node/')) this.assignShards(this.options.clock.now());
  }

  private shardOwners(): Map<string, { instanceId: string; shardEpoch: number }> {
    const out = new Map<string, { instanceId: string; shardEpoch: number }>();
    for (const [key, it] of this.systemRecords.items) {
      if (!key.startsWith('sys/team/')) continue;
      out.set(key.slice(9), {
        instanceId: teamRecord.decode(it.value).instanceId,
        shardEpoch: it.modRevision,
      });
    }
    return out;
  }

  private liveInstances(): Map<string, string> {
    const out = new Map<string, string>();
    for (const [key, it] of this.systemRecords.items)
      if (key.startsWith('sys/node/')) out.set(nodeRecord.decode(it.value).instanceId, key.slice(9));
    return out;
  }

  /** The leader assigns the teams to the controllers that are alive and that it can reach. */
  private assignShards(now: number): void {
    const scheduler = this.scheduler;
    if (
      !scheduler ||
      this.assigning ||
      !this.systemRecords.isReady ||
      now - this.leaseRenewedAt > this.options.leaseTtlMs
    )
      return;
    const load = new Map<string, number>();
    for (const [instanceId, host] of this.liveInstances()) {
      const h = this.peers.get(host);
      // A new leader has heard nobody yet, and a record names who was alive a moment ago.
      if (instanceId === this.options.instanceId || now - this.leadingSince < 3500) load.set(instanceId, 0);
      else if (h?.instanceId === instanceId && now - h.heardAt < 3500 && !this.isUnreachable(instanceId, now))
        load.set(instanceId, 0);
    }
    if (!load.has(this.options.instanceId)) return;
    const records = this.shardOwners();
    const moves = new Map<string, string>();
    for (const team of [...this.teams.keys()].sort()) {
      const r = records.get(team);
      if (r && load.has(r.instanceId)) load.set(r.instanceId, (load.get(r.instanceId) ?? 0) + 1);
      else moves.set(team, '');
    }
    const least = () =>
      [...load].sort(
        (a, b) =>
          a[1] - b[1] || Number(b[0] === this.options.instanceId) - Number(a[0] === this.options.instanceId),
      )[0]!;
    for (const team of moves.keys()) {
      const [instanceId] = least();
      moves.set(team, instanceId);
      load.set(instanceId, (load.get(instanceId) ?? 0) + 1);
    }
    if (moves.size === 0 && now >= this.nextRebalanceAt) {
      this.nextRebalanceAt = now + scheduler.policy.parting_s * 1000;
      const [to, few] = least();
      const [from, many] = [...load].sort((a, b) => b[1] - a[1])[0]!;
      const team = [...records].find(([t, r]) => r.instanceId === from && this.teams.has(t))?.[0];
      if (many - few >= 2 && team) moves.set(team, to);
    }
    if (moves.size === 0) return;
    const batch = [...moves].slice(0, this.options.storeLimits.maxTransactionOperations);
    for (const [team] of batch) scheduler.suspend(team);
    this.assigning = true;
    this.store.compareAndSwap(
      {
        preconditions: [
          { key: 'sys/leader', modRevision: this.leaderRevision },
          ...batch.map(([team]) => ({
            key: `sys/team/${team}`,
            modRevision: records.get(team)?.shardEpoch ?? 0,
          })),
        ],
        operations: batch.map(([team, instanceId]) => ({
          type: 'put',
          key: `sys/team/${team}`,
          value: teamRecord.encode({ instanceId: instanceId }),
        })),
      },
      URGENCY.lease,
      (result) => {
        this.assigning = false;
        this.options.log.debug({ teams: Object.fromEntries(batch), ok: result.ok }, 'teams assigned');
        if (!result.ok) for (const record of records.values()) scheduler.requestSync(record.instanceId);
      },
    );
  }

  /**
   * An owner that is heard, but has told of no cancellations for long although the state service answers: what is said
   * to it may not arrive. Its teams can't start anything and lose their leases in time, so others get them.
   */
  private isUnreachable(instanceId: string, now: number): boolean {
    if (now < (this.unreachableUntil.get(instanceId) ?? 0)) return true;
    if (now - this.storeContactAt > 1000 || now - this.leadingSince < UNREACHABLE_AFTER_MS) return false;
    for (const [team, r] of this.shardOwners())
      if (
        r.instanceId === instanceId &&
        this.teams.has(team) &&
        this.scheduler!.coverageSilenceMs(team, now) > UNREACHABLE_AFTER_MS
      ) {
        this.options.log.info({ inst: instanceId, team }, 'owner tells of no cancellations');
        this.unreachableUntil.set(instanceId, now + UNREACHABLE_PAUSE_MS);
        return true;
      }
    return false;
  }

  // ---- messages ---------------------------------------------------------------------------------------------

  private sendToPeer(host: string, body: PeerMessageBody): void {
    this.options.peers.send(host, {
      nodeName: this.options.nodeName,
      instanceId: this.options.instanceId,
      sequence: ++this.messageSequence,
      body,
    });
  }

  private sendToLeader(message: ShardMessage): void {
    if (this.leader.instanceId === this.options.instanceId)
      this.push({ type: 'reply', run: () => this.scheduler?.onShardMessage(message) });
    else if (this.leader.nodeName !== '')
      this.sendToPeer(this.leader.nodeName, { type: 'toLeader', recipient: this.leader.instanceId, message });
  }

  private sendToShardOwner(instanceId: string, message: LeaderMessage): void {
    if (instanceId === this.options.instanceId)
      return this.push({ type: 'reply', run: () => this.owner.onLeaderMessage(message) });
    const host = this.liveInstances().get(instanceId);
    if (host) this.sendToPeer(host, { type: 'toShardOwner', recipient: instanceId, message });
  }

  private onPeerMessage(message: PeerMessage): void {
    const now = this.options.clock.now();
    const h = this.peers.get(message.nodeName);
    // A message held back on an older connection must not undo a later one.
    if (h?.instanceId === message.instanceId && message.sequence <= h.messageSequence) return;
    if (this.superseded.has(message.instanceId)) return;
    if (h && h.instanceId !== message.instanceId) this.superseded.add(h.instanceId);
    const okAt =
      message.body.type === 'heartbeat'
        ? now - message.body.storeContactAgeMs
        : (h?.storeContactAt ?? Number.NEGATIVE_INFINITY);
    const marks = h?.instanceId === message.instanceId ? h.timestamps : new PeerTimestamps();
    this.peers.set(message.nodeName, {
      instanceId: message.instanceId,
      heardAt: now,
      messageSequence: message.sequence,
      storeContactAt: okAt,
      timestamps: marks,
    });
    switch (message.body.type) {
      case 'heartbeat':
        if (
          message.body.fencingToken > this.leader.fencingToken &&
          message.body.leader !== this.options.nodeName &&
          this.scheduler &&
          message.body.fencingToken > this.scheduler.fencingToken
        )
          this.stepDown('a sibling knows a later leader');
        marks.add(message.body.timestamp, now);
        this.cancellations.acknowledge(
          message.nodeName,
          message.instanceId,
          message.body.cancellationsTold,
          message.body.latestTimestamp?.instanceId === this.options.instanceId
            ? message.body.latestTimestamp.timestamp
            : null,
          now,
        );
        // A mark of an earlier process is a time on another clock.
        if (message.body.coverage?.instanceId === this.options.instanceId) {
          const pending = message.body.coverage.pendingMachines;
          this.inheritCoverage({
            completeUntil: Math.min(now, message.body.coverage.timestamp),
            pendingMachines: pending && new Set(pending),
          });
        }
        this.scheduler?.onMachinesRedirected(message.body.redirectedMachines);
        if (message.body.fencingToken > this.leaderHint.token)
          this.leaderHint = { host: message.body.leader, token: message.body.fencingToken };
        return;
      case 'images':
        if (!this.scheduler) this.images.apply(message.body.added, message.body.removedMachines);
        return;
      case 'cancelled':
        this.cancellations.recordFromPeer(
          message.nodeName,
          message.instanceId,
          message.body.jobId,
          message.body.cancellationNumber,
          now,
        );
        this.scheduler?.onJobCancelled(message.body.jobId);
        return;
      case 'toLeader':
        if (message.body.recipient === this.options.instanceId)
          this.scheduler?.onShardMessage(message.body.message);
        return;
      case 'toShardOwner':
        if (message.body.recipient === this.options.instanceId)
          this.owner.onLeaderMessage(message.body.message);
        return;
    }
  }

  /** The scheduler's knowledge of images, for whoever leads next. */
  private readonly images = new ImageLocations();
  private leaderHint = { host: '', token: 0 };
  /** Machines that asked here, and not the leader, since it was last told. */
  private readonly redirectedMachines = new Set<string>();

  /** Our own connection to a sibling was made anew: what was under way may be lost. */
  private onPeerConnected(host: string, up: boolean): void {
    if (!up) return;
    if (this.leader.nodeName === host) this.owner.resync();
    if (!this.scheduler) return;
    for (const [instanceId, h] of this.liveInstances())
      if (h === host) this.scheduler.requestSync(instanceId);
    const all = this.images.all();
    for (let i = 0; i < all.length; i += MAX_IMAGE_FACTS_PER_MESSAGE)
      this.sendToPeer(host, {
        type: 'images',
        added: all.slice(i, i + MAX_IMAGE_FACTS_PER_MESSAGE),
        removedMachines: [],
      });
  }

  // ---- workers ----------------------------------------------------------------------------------------------

  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResult {
    const now = this.options.clock.now();
    const scheduler = this.scheduler;
    if (!scheduler) {
      if (this.keepsLeaseWhileIsolated(heartbeat, now))
        return { type: 'accepted', fencingToken: this.leader.fencingToken, commands: [] };
      this.redirectedMachines.add(heartbeat.machine);
      const known =
        this.leaderHint.token > this.leader.fencingToken ? this.leaderHint.host : this.leader.nodeName;
      return {
        type: 'redirected',
        leaderName: known !== '' && known !== this.options.nodeName ? known : null,
      };
    }
    const commands = scheduler.handleHeartbeat(heartbeat);
    if (commands === null) return this.handleHeartbeat(heartbeat);
    if (commands === 'later') return { type: 'unavailable' };
    return { type: 'accepted', fencingToken: scheduler.fencingToken, commands };
  }

  /**
   * Alone with its workers, without the state service and the leader: their leases are kept for the last leader known,
   * with its token and without commands, or a zone that is cut off would lose all it runs. Only by what that leader told
   * of cancellations, and not where it still had something to stop: the worker may have been cut off from it, and not
   * from here, long before the leader was.
   */
  private keepsLeaseWhileIsolated(heartbeat: Heartbeat, now: number): boolean {
    const h = this.peers.get(this.leader.nodeName);
    if (!h || h.instanceId !== this.leader.instanceId || heartbeat.fencingToken > this.leader.fencingToken)
      return false;
    if (
      this.leaderHint.token > this.leader.fencingToken ||
      now - this.storeContactAt < ISOLATED_AFTER_MS ||
      now - h.heardAt < ISOLATED_AFTER_MS
    )
      return false;
    for (const x of this.peers.values())
      if (now - x.heardAt < ISOLATED_AFTER_MS && now - x.storeContactAt < ISOLATED_AFTER_MS) return false;
    return isLeaseRenewalCovered(
      this.inheritedCoverage,
      heartbeat.machine,
      now,
      renewalWindowMs(this.options.workerTiming),
    );
  }

  /** For logs and tests. */
  status(): Record<string, unknown> {
    return {
      leader: this.leader,
      scheduler: this.scheduler?.stats() ?? null,
      teams: this.owner.ownedTeams,
      owner: this.owner.stats(),
      types: this.machineTypes.length,
    };
  }
}

const NO_INPUT = {
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
