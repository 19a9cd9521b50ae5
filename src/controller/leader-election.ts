/** Leader election: one compare-and-swap raises the fencing token and claims the leader record. */

import type { Clock } from '../model/clock.js';
import { type KeyValueStore, type StoreOperation, URGENCY } from '../model/key-value-store.js';
import type { HandoverRecord, LeaderRecord } from '../model/records.js';
import { FENCING_TOKEN_KEY, HANDOVER_KEY, LEADER_KEY } from '../store/keyspace.js';
import { handoverRecord, leaderRecord, tokenRecord } from '../store/record-codec.js';
import type { EventQueue } from './event-queue.js';
import type { HandoverHistory } from './handover-history.js';
import type { Leadership } from './leadership.js';
import type { NodeLease } from './node-lease.js';
import type { SystemRecords } from './system-records.js';

/** Minimum interval between two campaigns of one controller. */
const MIN_CAMPAIGN_INTERVAL_MS = 300;
/** Maximum random time that is added to the interval between campaigns. */
const CAMPAIGN_JITTER_MS = 300;
/**
 * Once the leader record is deleted, each controller waits for a random time below this before it campaigns.
 */
const FIRST_CAMPAIGN_JITTER_MS = 100;
/**
 * Time after the deletion of the leader record at which each controller checks whether to campaign; more than
 * the random wait.
 */
const FIRST_CAMPAIGN_CHECK_DELAY_MS = 110;
/** How long a controller that has resigned does not campaign, so that another one is elected. */
const RESIGNATION_PAUSE_MS = 20000;
/** How long the controllers that have handed over leave a vacant leadership to the others. */
const HANDED_OVER_PAUSE_MS = 2000;
/**
 * Minimum interval between raises of the fencing token: each makes all shard owners resend their complete
 * state (a full sync).
 */
const MIN_TOKEN_RAISE_INTERVAL_MS = 15000;
/** Minimum interval between two attempts to delete a stale leader record. */
const STALE_RECORD_DELETION_INTERVAL_MS = 1000;

/** Settings and dependencies of the leader election. */
export interface LeaderElectionOptions {
  instanceId: string;
  nodeName: string;
  store: KeyValueStore;
  clock: Clock;
  queue: EventQueue;
  records: SystemRecords;
  lease: NodeLease;
  leadership: Leadership;
  handoverHistory: HandoverHistory;
}

/**
 * Campaigns for the leadership and resigns from it; performs all writes of this controller to the leader
 * record.
 */
export class LeaderElection {
  private campaignInFlight = false;
  private resignedUntil = 0;
  private vacantSince = 0;
  /** The record of this controller's last handover. */
  private handover: HandoverRecord | null = null;
  private nextCampaignAt = 0;
  private nextTokenRaiseAt = 0;
  private nextStaleRecordDeletionAt = 0;
  private staleRecordDeletionInFlight = false;

  constructor(private readonly options: LeaderElectionOptions) {}

  /**
   * Campaigns if there is no leader. A controller does not campaign without a lease that may still be valid,
   * before it has read the shared records, or too soon after its last campaign or its resignation.
   */
  campaignIfVacant(now: number): void {
    const { lease, records, handoverHistory } = this.options;
    if (
      !lease.isGranted ||
      !records.isReady ||
      this.campaignInFlight ||
      now < this.resignedUntil ||
      now < this.nextCampaignAt
    )
      return;
    if (records.hasLeader || lease.hasExpired(now)) return;
    if (now < this.vacantSince + HANDED_OVER_PAUSE_MS && handoverHistory.hasJustHandedOver()) return;
    this.campaign(0, 'no leader');
  }

  /** Updates the leadership from the changed leader record. */
  onLeaderRecordChanged(): void {
    const { records, lease, leadership, instanceId } = this.options;
    const current = records.leader();
    if (!current) {
      this.onLeaderRecordDeleted();
      return;
    }
    const { record, modRevision } = current;
    if (record.instanceId === instanceId) {
      // The record names this instance. If its term has started already, `startTerm` has no effect. Otherwise
      // this controller was elected, but the response to its campaign was lost or has not arrived yet.
      if (lease.isGranted)
        leadership.startTerm(record, modRevision, 'election confirmed by the leader record');
      return;
    }
    if (leadership.scheduler && record.fencingToken > leadership.scheduler.fencingToken)
      leadership.stepDown('another controller leads');
    leadership.setLeader(record);
  }

  /**
   * Gives up leadership so that another controller is elected, because this controller's own network seems to
   * be at fault, and records the handover. Afterwards it does not campaign for a while.
   */
  resign(fencingToken: number, reason: string): void {
    const { leadership, clock, handoverHistory } = this.options;
    if (!leadership.leadsUnder(fencingToken)) return;
    const { leaderRecordRevision } = leadership;
    this.handover = handoverHistory.nextRecord(fencingToken);
    this.resignedUntil = clock.now() + RESIGNATION_PAUSE_MS;
    leadership.stepDown(reason);
    this.deleteLeaderRecord(leaderRecordRevision, () => {});
  }

  /**
   * Deletes a leader record that still names this instance after it has stepped down, because a deletion was
   * lost or not sent. While the record exists no leader can be elected, and it does not expire because this
   * controller keeps renewing the lease that the record is attached to. A record with a token above
   * `latestTermToken` is not stale: it belongs to a term that has not started here yet.
   */
  deleteStaleRecord(now: number): void {
    const { records, leadership, instanceId } = this.options;
    if (
      leadership.scheduler ||
      this.campaignInFlight ||
      this.staleRecordDeletionInFlight ||
      now < this.nextStaleRecordDeletionAt
    )
      return;
    const current = records.leader();
    if (!current) return;
    const { record, modRevision } = current;
    if (record.instanceId !== instanceId || record.fencingToken > leadership.latestTermToken) return;
    this.nextStaleRecordDeletionAt = now + STALE_RECORD_DELETION_INTERVAL_MS;
    this.staleRecordDeletionInFlight = true;
    this.deleteLeaderRecord(modRevision, () => {
      this.staleRecordDeletionInFlight = false;
    });
  }

  /**
   * Has the current leader elected again under a higher fencing token, so that workers drop any command that
   * is still in transit under the current one. Ignored if this controller no longer leads under
   * `fencingToken`, while a campaign is in flight, and for a while after the last raise.
   */
  raiseFencingToken(fencingToken: number, reason: string): void {
    const { leadership, clock } = this.options;
    const now = clock.now();
    if (!leadership.leadsUnder(fencingToken) || this.campaignInFlight || now < this.nextTokenRaiseAt) return;
    this.nextTokenRaiseAt = now + MIN_TOKEN_RAISE_INTERVAL_MS;
    this.campaign(leadership.leaderRecordRevision, reason);
  }

  private onLeaderRecordDeleted(): void {
    const { leadership, clock, queue } = this.options;
    leadership.stepDown('leader record gone');
    this.vacantSince = clock.now();
    // The time of the next campaign is random so that the controllers do not all campaign at the same time.
    this.nextCampaignAt = clock.now() + clock.random() * FIRST_CAMPAIGN_JITTER_MS;
    clock.after(FIRST_CAMPAIGN_CHECK_DELAY_MS, () =>
      queue.push({ type: 'callback', run: () => this.campaignIfVacant(clock.now()) }),
    );
  }

  private campaign(leaderRecordRevision: number, reason: string): void {
    const { instanceId, nodeName, clock, store, records, lease, leadership } = this.options;
    const highest = records.fencingToken();
    const fencingToken = highest.fencingToken + 1;
    this.campaignInFlight = true;
    this.nextCampaignAt = clock.now() + MIN_CAMPAIGN_INTERVAL_MS + clock.random() * CAMPAIGN_JITTER_MS;
    const record: LeaderRecord = { instanceId, nodeName, fencingToken };
    store.compareAndSwap(
      {
        preconditions: [
          { key: LEADER_KEY, modRevision: leaderRecordRevision },
          { key: FENCING_TOKEN_KEY, modRevision: highest.modRevision },
        ],
        operations: [
          { type: 'put', key: FENCING_TOKEN_KEY, value: tokenRecord.encode({ fencingToken }) },
          { type: 'put', key: LEADER_KEY, value: leaderRecord.encode(record), leaseId: lease.id },
        ],
      },
      URGENCY.lease,
      (result) => {
        this.campaignInFlight = false;
        if (result.ok) leadership.startTerm(record, result.value, reason);
      },
    );
  }

  /** Deletes the leader record of the latest term; if that term ended in a handover, records it as well. */
  private deleteLeaderRecord(modRevision: number, onFinished: () => void): void {
    const { store, leadership } = this.options;
    const operations: StoreOperation[] = [{ type: 'delete', key: LEADER_KEY }];
    if (this.handover?.fencingToken === leadership.latestTermToken)
      operations.push({ type: 'put', key: HANDOVER_KEY, value: handoverRecord.encode(this.handover) });
    store.compareAndSwap(
      { preconditions: [{ key: LEADER_KEY, modRevision }], operations },
      URGENCY.lease,
      onFinished,
    );
  }
}
