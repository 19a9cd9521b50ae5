/** Detects machines whose heartbeats arrive but that do not receive the responses. */

import type { Heartbeat } from '../../model/worker-messages.js';
import type { Allocation } from '../allocation.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/**
 * A worker whose lease expires within this share of its length after a response to a heartbeat did not
 * receive the renewals that were sent.
 */
const EARLY_RESTART_LEASE_SHARE = 0.5;
/** Number of missed responses in a row at which they are logged; a single one may have other causes. */
const MISSED_RESPONSES_TO_LOG = 2;

/**
 * Detects machines with one-way connectivity. A machine whose heartbeats arrive looks alive even if nothing
 * that is sent to it arrives. A response counts as missed if a later heartbeat lacks its fencing token or its
 * starts, or if the lease expired although the response renewed it.
 */
export class ResponseLossDetector {
  constructor(private readonly options: Pick<SchedulerOptions, 'workerTiming' | 'log' | 'fencingToken'>) {}

  /**
   * Checks whether a heartbeat shows that responses to earlier heartbeats were missed or have arrived, and
   * counts the missed responses of its machine. Must be called only if the response to the previous heartbeat
   * renewed the lease.
   */
  check(machine: Machine, heartbeat: Heartbeat, now: number): void {
    if (machine.heartbeatSequence < 0) return;
    const evidence = this.deliveryEvidence(machine, heartbeat, now);
    const { missedResponses } = machine;
    if (evidence === 'missed') {
      if (missedResponses.count++ === 0) missedResponses.since = now;
      if (missedResponses.count === MISSED_RESPONSES_TO_LOG)
        this.options.log.info(
          { machine: machine.name },
          'machine unreachable inbound: it is heard but seems not to hear',
        );
      // A first report of this leader's token shows that a response or a direct command has arrived.
    } else if (
      evidence === 'arrived' ||
      (heartbeat.fencingToken === this.options.fencingToken &&
        machine.fencingToken < this.options.fencingToken)
    )
      missedResponses.count = 0;
  }

  private deliveryEvidence(
    machine: Machine,
    heartbeat: Heartbeat,
    now: number,
  ): 'missed' | 'arrived' | 'none' {
    if (heartbeat.workerEpoch > machine.workerEpoch) {
      const leaseMs = this.options.workerTiming.leaseSeconds * 1000;
      return now - machine.lastHeartbeatAt < leaseMs * EARLY_RESTART_LEASE_SHARE ? 'missed' : 'none';
    }
    if (heartbeat.fencingToken < this.options.fencingToken) return 'missed';
    return startDeliveryEvidence(machine, heartbeat);
  }
}

/**
 * Checks whether the worker lists the attempts whose starts were sent in responses to its earlier heartbeats.
 */
function startDeliveryEvidence(machine: Machine, heartbeat: Heartbeat): 'missed' | 'arrived' | 'none' {
  let evidence: 'arrived' | 'none' = 'none';
  for (const allocation of machine.allocations.values()) {
    if (
      allocation.desiredState !== 'run' ||
      allocation.startHeartbeatSequence < 0 ||
      heartbeat.sequence <= allocation.startHeartbeatSequence
    )
      continue;
    if (!listsAttempt(heartbeat, allocation)) return 'missed';
    evidence = 'arrived';
  }
  return evidence;
}

function listsAttempt(heartbeat: Heartbeat, allocation: Allocation): boolean {
  return heartbeat.tasks.some(
    (status) =>
      status.jobId === allocation.jobId &&
      status.taskIndex === allocation.taskIndex &&
      status.attempt === allocation.attempt,
  );
}
