/** Takes in workers' heartbeats: bars late copies and older leaders, and answers with commands. */

import type { Heartbeat, WorkerCommand } from '../../model/worker-messages.js';
import type { ClusterState } from '../cluster-state.js';
import { isNewer, type Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { AnswerArrival } from './answer-arrival.js';
import type { Reconciler } from './reconciler.js';
import type { WorkerCommands } from './worker-commands.js';

/** The commands that renew a lease; `later`: no answer that would renew it; null: another leader acts. */
export type HeartbeatAnswer = WorkerCommand[] | 'later' | null;

/** Handles heartbeats, one at a time. */
export class HeartbeatIntake {
  private readonly answerArrival: AnswerArrival;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly parts: { readonly reconciler: Reconciler; readonly commands: WorkerCommands },
  ) {
    this.answerArrival = new AnswerArrival(options);
  }

  /** Null: answer that this controller does not lead; `later`: nothing that would renew the worker's lease. */
  handle(heartbeat: Heartbeat): HeartbeatAnswer {
    if (heartbeat.fencingToken > this.state.fencingToken) {
      this.options.onHigherToken(heartbeat.fencingToken);
      return null;
    }
    if (this.state.deletedMachines.has(heartbeat.machine)) return [];
    const machine = this.state.getOrCreateMachine(heartbeat.machine);
    // A late copy proves no life. Of an old heartbeat only this stays true for ever: the epoch it names had begun, and
    // a task it lists as ended had ended; neither is taken from it where something newer was heard.
    if (isLateCopy(machine, heartbeat)) return [];
    const now = this.options.clock.now();
    if (machine.wasLeaseRenewed) this.answerArrival.check(machine, heartbeat, now);
    this.noteHeard(machine, now);
    this.takeIn(machine, heartbeat);
    this.options.wake();
    machine.wasLeaseRenewed = this.state.leaseRenewal.canRenew(machine, now);
    return machine.wasLeaseRenewed ? this.parts.commands.commandsFor(machine, heartbeat.sequence) : 'later';
  }

  private noteHeard(machine: Machine, now: number): void {
    machine.lastHeardAt = now;
    machine.lastHeartbeatAt = now;
    if (machine.missedAnswers.count === 0) machine.directCommands.failures = 0;
  }

  private takeIn(machine: Machine, heartbeat: Heartbeat): void {
    const isFirst = machine.heartbeatSequence < 0;
    machine.heartbeatSequence = heartbeat.sequence;
    if (isNewer(machine, heartbeat)) this.parts.reconciler.reconcileHeartbeat(machine, heartbeat);
    else if (isFirst || heartbeat.agentEpoch === machine.agentEpoch) {
      // Overtaken by the answer to a direct command: its list is old, but it is still waiting for an answer.
      for (const allocation of machine.allocations.values())
        if (allocation.startHeartbeatSequence >= 0 && heartbeat.sequence > allocation.startHeartbeatSequence)
          allocation.startHeartbeatSequence = -1;
    }
  }
}

function isLateCopy(machine: Machine, heartbeat: Heartbeat): boolean {
  return (
    heartbeat.agentEpoch < machine.agentEpoch ||
    (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.heartbeatSequence)
  );
}
