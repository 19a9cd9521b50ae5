/** Which controllers have handed over the leadership, one after the other, because they heard no workers. */

import type { HandoverRecord } from '../model/records.js';
import type { HandoverCandidates } from '../scheduler/scheduler-options.js';
import type { Leadership } from './leadership.js';
import type { PeerRegistry } from './peer-registry.js';
import type { SystemRecords } from './system-records.js';

/** Settings and dependencies of the handover history. */
export interface HandoverHistoryOptions {
  nodeName: string;
  records: SystemRecords;
  leadership: Leadership;
  peerRegistry: PeerRegistry;
}

/**
 * Keeps leaders from handing over to each other for ever. A leader that hands over adds itself to a stored
 * record, which names the controllers that have done so one after the other. The record outlives the terms, and
 * needs no connection between the controllers.
 */
export class HandoverHistory {
  /** First fencing token of this controller's latest leadership in which its predecessors were forgotten. */
  private forgottenUnder = 0;

  constructor(private readonly options: HandoverHistoryOptions) {}

  /** Lets this leader hand over to any controller again, whether or not it has led just before. */
  forget(): void {
    this.forgottenUnder = this.options.leadership.firstToken;
  }

  /**
   * Counts the other live controllers that have not handed over just before this term, and those of them that
   * report to this leader which workers reach them. A controller whose node record has expired cannot be
   * elected, so it does not count.
   */
  candidates(fencingToken: number, now: number): HandoverCandidates {
    const { nodeName: self, records, peerRegistry } = this.options;
    const excluded = new Set([...this.predecessors(), self]);
    const candidates: HandoverCandidates = { total: 0, reporting: 0 };
    for (const [instanceId, nodeName] of records.liveInstances()) {
      if (excluded.has(nodeName)) continue;
      candidates.total++;
      if (peerRegistry.reportsToLeader({ instanceId, nodeName }, fencingToken, now)) candidates.reporting++;
    }
    return candidates;
  }

  /** Returns the record to store with the handover of this leader. */
  nextRecord(fencingToken: number): HandoverRecord {
    return { fencingToken, nodeNames: [...this.predecessors(), this.options.nodeName] };
  }

  /**
   * Whether the leadership is vacant after handovers of which one was this controller's: the others are to
   * lead first.
   */
  hasJustHandedOver(): boolean {
    const { nodeName, records } = this.options;
    const last = records.handover();
    return last?.fencingToken === records.fencingToken().fencingToken && last.nodeNames.includes(nodeName);
  }

  /** The controllers that led directly before this one and handed over, the first of them first. */
  private predecessors(): readonly string[] {
    const { leadership, records, nodeName } = this.options;
    if (this.forgottenUnder === leadership.firstToken) return [];
    const last = records.handover();
    if (last?.fencingToken !== leadership.firstToken - 1) return [];
    return last.nodeNames.filter((other) => other !== nodeName);
  }
}
