/** Finds machines that are heard but do not hear: their heartbeats arrive, the answers do not. */

import type { Heartbeat } from '../../model/worker-messages.js';
import type { Allocation } from '../allocation.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** A worker that begins a new epoch so early in its lease was not given the renewals it was sent. */
const EARLY_RESTART_SHARE_OF_LEASE = 0.5;
/** One sign may have other causes; from here on the machine counts as unreachable. */
const MISSED_ANSWERS_TO_LOG = 2;

/**
 * A machine whose heartbeats arrive while nothing sent to it does looks alive. It shows by what it does not do: its
 * next heartbeat is without the token or the starts of the last answer, or its lease ran out although it was answered.
 */
export class AnswerArrival {
  constructor(private readonly options: Pick<SchedulerOptions, 'workerTiming' | 'log' | 'fencingToken'>) {}

  /** `heartbeat` follows one that was answered with a renewal of the lease. */
  check(machine: Machine, heartbeat: Heartbeat, now: number): void {
    if (machine.heartbeatSequence < 0) return;
    const evidence = this.evidence(machine, heartbeat, now);
    const { missedAnswers } = machine;
    if (evidence === 'missed') {
      if (missedAnswers.count++ === 0) missedAnswers.since = now;
      if (missedAnswers.count === MISSED_ANSWERS_TO_LOG)
        this.options.log.info(
          { machine: machine.name },
          'machine unreachable inbound: it is heard but seems not to hear',
        );
    } else if (
      evidence === 'arrived' ||
      (heartbeat.fencingToken === this.options.fencingToken &&
        machine.fencingToken < this.options.fencingToken)
    )
      missedAnswers.count = 0;
  }

  private evidence(machine: Machine, heartbeat: Heartbeat, now: number): 'missed' | 'arrived' | 'none' {
    if (heartbeat.agentEpoch > machine.agentEpoch) {
      const leaseMs = this.options.workerTiming.leaseSeconds * 1000;
      return now - machine.lastHeartbeatAt < leaseMs * EARLY_RESTART_SHARE_OF_LEASE ? 'missed' : 'none';
    }
    if (heartbeat.fencingToken < this.options.fencingToken) return 'missed';
    return evidenceOfStarts(machine, heartbeat);
  }
}

/** Whether the worker lists the starts that the answers to its earlier heartbeats carried. */
function evidenceOfStarts(machine: Machine, heartbeat: Heartbeat): 'missed' | 'arrived' | 'none' {
  let evidence: 'arrived' | 'none' = 'none';
  for (const allocation of machine.allocations.values()) {
    if (
      allocation.desiredState !== 'run' ||
      allocation.startHeartbeatSequence < 0 ||
      heartbeat.sequence <= allocation.startHeartbeatSequence
    )
      continue;
    if (!lists(heartbeat, allocation)) return 'missed';
    evidence = 'arrived';
  }
  return evidence;
}

function lists(heartbeat: Heartbeat, allocation: Allocation): boolean {
  return heartbeat.tasks.some(
    (status) =>
      status.jobId === allocation.jobId &&
      status.taskIndex === allocation.taskIndex &&
      status.attempt === allocation.attempt,
  );
}
