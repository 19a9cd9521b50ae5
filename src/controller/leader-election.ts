/** The election of the leader: one compare-and-swap raises the fencing token and takes the leader record. */

import type { Clock } from '../model/clock.js';
import { type KeyValueStore, URGENCY } from '../model/key-value-store.js';
import type { LeaderRecord } from '../model/records.js';
import { FENCING_TOKEN_KEY, LEADER_KEY } from '../store/keyspace.js';
import { leaderRecord, tokenRecord } from '../store/record-codec.js';
import type { EventQueue } from './event-queue.js';
import type { Leadership } from './leadership.js';
import type { NodeLease } from './node-lease.js';
import type { SystemRecords } from './system-records.js';

/** Least pause between two campaigns of one controller, and most of what is added to it at random. */
const MIN_CAMPAIGN_INTERVAL_MS = 300;
const CAMPAIGN_JITTER_MS = 300;
/** Once the leader is gone controllers campaign after a random part of the first, and not later than the second. */
const FIRST_CAMPAIGN_JITTER_MS = 100;
const FIRST_CAMPAIGN_DEADLINE_MS = 110;
/** A controller that resigned leaves the election to the others for so long. */
const RESIGNATION_PAUSE_MS = 20000;
/** Least time between two raises of the fencing token: each makes all owners tell the leader everything again. */
const MIN_TOKEN_RAISE_INTERVAL_MS = 15000;
const STALE_RECORD_DELETION_INTERVAL_MS = 1000;

/** What the election needs. */
export interface LeaderElectionOptions {
  instanceId: string;
  nodeName: string;
  store: KeyValueStore;
  clock: Clock;
  queue: EventQueue;
  records: SystemRecords;
  lease: NodeLease;
  leadership: Leadership;
}

/** Campaigns, resigns, and writes all that this controller writes of the leader record. */
export class LeaderElection {
  private campaignInFlight = false;
  private resignedUntil = 0;
  private nextCampaignAt = 0;
  private nextTokenRaiseAt = 0;
  private nextStaleRecordDeletionAt = 0;
  private staleRecordDeletionInFlight = false;

  constructor(private readonly options: LeaderElectionOptions) {}

  /** Campaigns if nobody leads and this controller may. */
  campaignIfVacant(now: number): void {
    const { lease, records } = this.options;
    if (
      !lease.isGranted ||
      !records.isReady ||
      this.campaignInFlight ||
      now < this.resignedUntil ||
      now < this.nextCampaignAt
    )
      return;
    if (records.hasLeader || lease.hasExpired(now)) return;
    this.campaign(0, 'no leader');
  }

  /** Follows the leader record. */
  onLeaderRecordChanged(): void {
    const { records, lease, leadership, instanceId } = this.options;
    const current = records.leader();
    if (!current) {
      this.onLeaderGone();
      return;
    }
    const { record, modRevision } = current;
    if (record.instanceId === instanceId) {
      // An election whose answer was lost.
      if (lease.isGranted) leadership.start(record, modRevision, 'found elected');
      return;
    }
    if (leadership.scheduler && record.fencingToken > leadership.scheduler.fencingToken)
      leadership.stepDown('another leads');
    leadership.setLeader(record);
  }

  /** Gives leadership up for the good of the cluster, and lets others be elected. */
  resign(fencingToken: number, reason: string): void {
    const { leadership, clock } = this.options;
    if (!leadership.leadsUnder(fencingToken)) return;
    const { leaderRecordRevision } = leadership;
    this.resignedUntil = clock.now() + RESIGNATION_PAUSE_MS;
    leadership.stepDown(reason);
    this.deleteLeaderRecord(leaderRecordRevision, () => {});
  }

  /**
   * Deletes a leader record that still names this instance after it has resigned: the first deletion was lost. As long
   * as the record stands nobody can be elected, and the lease it hangs on is kept.
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
    if (record.instanceId !== instanceId || record.fencingToken > leadership.leaderTerm) return;
    this.nextStaleRecordDeletionAt = now + STALE_RECORD_DELETION_INTERVAL_MS;
    this.staleRecordDeletionInFlight = true;
    this.deleteLeaderRecord(modRevision, () => {
      this.staleRecordDeletionInFlight = false;
    });
  }

  /** The leader has itself elected again: a higher token ends all that workers may still do under the present one. */
  raiseFencingToken(fencingToken: number, reason: string): void {
    const { leadership, clock } = this.options;
    const now = clock.now();
    if (!leadership.leadsUnder(fencingToken) || this.campaignInFlight || now < this.nextTokenRaiseAt) return;
    this.nextTokenRaiseAt = now + MIN_TOKEN_RAISE_INTERVAL_MS;
    this.campaign(leadership.leaderRecordRevision, reason);
  }

  private onLeaderGone(): void {
    const { leadership, clock, queue } = this.options;
    leadership.stepDown('leader record gone');
    // At random, so that controllers don't all campaign at once.
    this.nextCampaignAt = clock.now() + clock.random() * FIRST_CAMPAIGN_JITTER_MS;
    clock.after(FIRST_CAMPAIGN_DEADLINE_MS, () =>
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
        if (result.ok) leadership.start(record, result.value, reason);
      },
    );
  }

  private deleteLeaderRecord(modRevision: number, onAnswered: () => void): void {
    this.options.store.compareAndSwap(
      {
        preconditions: [{ key: LEADER_KEY, modRevision }],
        operations: [{ type: 'delete', key: LEADER_KEY }],
      },
      URGENCY.lease,
      onAnswered,
    );
  }
}
