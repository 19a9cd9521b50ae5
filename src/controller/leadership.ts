/** Who leads as far as this controller knows, and the scheduler while that is itself. */

import type { Clock } from '../model/clock.js';
import type { Logger } from '../model/logger.js';
import type { LeaderRecord } from '../model/records.js';
import type { Scheduler } from '../scheduler/scheduler.js';

/** What leadership needs. */
export interface LeadershipOptions {
  instanceId: string;
  clock: Clock;
  log: Logger;
  createScheduler(fencingToken: number): Scheduler;
  /** A leader with a token not lower than any before is known. */
  onLeaderKnown(fencingToken: number): void;
  /** This controller has begun to lead, and knows itself as the leader. */
  onStarted(scheduler: Scheduler): void;
}

/** Begins and ends leading; the election decides when. */
export class Leadership {
  private currentScheduler: Scheduler | null = null;
  private knownLeader: LeaderRecord = { instanceId: '', nodeName: '', fencingToken: 0 };
  private lastTerm = 0;
  private startedAtMs = 0;
  private ownRecordRevision = 0;

  constructor(private readonly options: LeadershipOptions) {}

  /** The scheduler; null unless this controller leads. */
  get scheduler(): Scheduler | null {
    return this.currentScheduler;
  }

  /** The latest leader known. Its node name is empty after this controller has stepped down, until another is known. */
  get leader(): LeaderRecord {
    return this.knownLeader;
  }

  /** Fencing token of the last term of this process; 0 if it has never led. */
  get leaderTerm(): number {
    return this.lastTerm;
  }

  /** When the last term of this process began. */
  get leadingSince(): number {
    return this.startedAtMs;
  }

  /** Revision of the leader record of that term: a write that names it fails once another controller leads. */
  get leaderRecordRevision(): number {
    return this.ownRecordRevision;
  }

  /** Whether this controller leads under this token. */
  leadsUnder(fencingToken: number): boolean {
    return this.currentScheduler?.fencingToken === fencingToken;
  }

  /** Begins a term that this controller was elected for. One that is not newer than what is known is passed over. */
  start(record: LeaderRecord, recordRevision: number, reason: string): void {
    const { fencingToken } = record;
    if (this.currentScheduler && this.currentScheduler.fencingToken >= fencingToken) return;
    if (fencingToken < this.knownLeader.fencingToken || fencingToken <= this.lastTerm) return;
    this.lastTerm = fencingToken;
    this.startedAtMs = this.options.clock.now();
    this.ownRecordRevision = recordRevision;
    this.options.log.info({ fencingToken, reason }, 'leading');
    const scheduler = this.options.createScheduler(fencingToken);
    this.currentScheduler = scheduler;
    this.setLeader(record);
    this.options.onStarted(scheduler);
  }

  /** Ends leading, if this controller leads. The leader record stays. */
  stepDown(reason: string): void {
    if (!this.currentScheduler) return;
    this.options.log.info({ fencingToken: this.currentScheduler.fencingToken, reason }, 'no longer leading');
    this.currentScheduler = null;
    if (this.knownLeader.instanceId === this.options.instanceId)
      this.knownLeader = { ...this.knownLeader, nodeName: '' };
  }

  /** Takes note of a leader, unless a later one is known. */
  setLeader(record: LeaderRecord): void {
    if (record.fencingToken < this.knownLeader.fencingToken) return;
    this.knownLeader = record;
    this.options.onLeaderKnown(record.fencingToken);
  }
}
