/** The leader as known to this controller, and the scheduler while this controller leads. */

import type { Clock } from '../model/clock.js';
import type { Logger } from '../model/logger.js';
import type { LeaderRecord } from '../model/records.js';
import type { Scheduler } from '../scheduler/scheduler.js';

/** Settings, dependencies and callbacks of `Leadership`. */
export interface LeadershipOptions {
  instanceId: string;
  clock: Clock;
  log: Logger;
  /** `previous`: the scheduler of the term before, if this controller led it. */
  createScheduler(fencingToken: number, previous: Scheduler | null): Scheduler;
  /** Called when a leader becomes known whose fencing token is at least as high as any known before. */
  onLeaderKnown(fencingToken: number): void;
  /** Called when a term of this controller has started and the controller is recorded as the known leader. */
  onTermStarted(scheduler: Scheduler): void;
}

/**
 * Starts and ends this controller's terms as leader, which the election decides on. A term lasts from an
 * election of this controller until it steps down or is elected again; each has its own fencing token and
 * scheduler.
 */
export class Leadership {
  private currentScheduler: Scheduler | null = null;
  private knownLeader: LeaderRecord = { instanceId: '', nodeName: '', fencingToken: 0 };
  private lastTermToken = 0;
  private firstTokenOfRun = 0;
  private startedAtMs = 0;
  private ownRecordRevision = 0;

  constructor(private readonly options: LeadershipOptions) {}

  /** The scheduler of the current term; null unless this controller leads. */
  get scheduler(): Scheduler | null {
    return this.currentScheduler;
  }

  /**
   * The latest known leader. Its node name is empty from this controller's step-down until the next is known.
   */
  get leader(): LeaderRecord {
    return this.knownLeader;
  }

  /** Fencing token of the latest term of this process; 0 if it has never led. */
  get latestTermToken(): number {
    return this.lastTermToken;
  }

  /**
   * Fencing token of the first of the terms that followed each other without another leader, up to the latest
   * term of this process; 0 if it has never led.
   */
  get firstToken(): number {
    return this.firstTokenOfRun;
  }

  /** Start time of the latest term of this process; 0 if it has never led. */
  get latestTermStartedAt(): number {
    return this.startedAtMs;
  }

  /**
   * Revision of the leader record of the latest term of this process. A write with this revision as a
   * precondition fails once another controller leads.
   */
  get leaderRecordRevision(): number {
    return this.ownRecordRevision;
  }

  /** Returns whether this controller currently leads under the given fencing token. */
  leadsUnder(fencingToken: number): boolean {
    return this.currentScheduler?.fencingToken === fencingToken;
  }

  /**
   * Starts a term that this controller was elected for. Ignored if the term is not newer than the earlier
   * ones of this process, or is older than that of the known leader.
   */
  startTerm(record: LeaderRecord, recordRevision: number, reason: string): void {
    const { fencingToken } = record;
    if (this.currentScheduler && this.currentScheduler.fencingToken >= fencingToken) return;
    if (fencingToken < this.knownLeader.fencingToken || fencingToken <= this.lastTermToken) return;
    // Without another leader in between: this one has raised its fencing token.
    const previous = this.currentScheduler?.fencingToken === fencingToken - 1 ? this.currentScheduler : null;
    if (!previous) this.firstTokenOfRun = fencingToken;
    this.lastTermToken = fencingToken;
    this.startedAtMs = this.options.clock.now();
    this.ownRecordRevision = recordRevision;
    this.options.log.info({ fencingToken, reason }, 'leading');
    const scheduler = this.options.createScheduler(fencingToken, previous);
    this.currentScheduler = scheduler;
    this.setLeader(record);
    this.options.onTermStarted(scheduler);
  }

  /** Ends the current term, if this controller leads. The leader record is not deleted. */
  stepDown(reason: string): void {
    if (!this.currentScheduler) return;
    this.options.log.info({ fencingToken: this.currentScheduler.fencingToken, reason }, 'no longer leading');
    this.currentScheduler = null;
    if (this.knownLeader.instanceId === this.options.instanceId)
      this.knownLeader = { ...this.knownLeader, nodeName: '' };
  }

  /** Records the leader, unless one with a higher fencing token is known. */
  setLeader(record: LeaderRecord): void {
    if (record.fencingToken < this.knownLeader.fencingToken) return;
    this.knownLeader = record;
    this.options.onLeaderKnown(record.fencingToken);
  }
}
