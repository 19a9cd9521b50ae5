/** Processes workers' heartbeats: drops stale ones, yields to a newer leader, and responds with commands. */

import type { Heartbeat, WorkerCommand } from '../../model/worker-messages.js';
import type { ClusterState } from '../cluster-state.js';
import { isNewer, type Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { Reconciler } from './reconciler.js';
import { ResponseLossDetector } from './response-loss-detector.js';
import type { WorkerCommands } from './worker-commands.js';

/**
 * Commands to send with a lease renewal; `unavailable`: the lease must not be renewed now; null: the worker
 * has seen a higher fencing token, so this controller no longer leads.
 */
export type HeartbeatCommands = WorkerCommand[] | 'unavailable' | null;

/** Handles the heartbeats of all workers, one at a time. */
export class HeartbeatHandler {
  private readonly responseLossDetector: ResponseLossDetector;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly components: { readonly reconciler: Reconciler; readonly commands: WorkerCommands },
  ) {
    this.responseLossDetector = new ResponseLossDetector(options);
  }

  /** Handles a heartbeat. A stale one, or one of a deleted machine, gets a response without commands. */
  handle(heartbeat: Heartbeat): HeartbeatCommands {
    if (heartbeat.fencingToken > this.state.fencingToken) {
      this.options.onHigherToken(heartbeat.fencingToken);
      return null;
    }
    if (this.state.deletedMachines.has(heartbeat.machine)) return [];
    const machine = this.state.getOrCreateMachine(heartbeat.machine);
    // A stale heartbeat is no sign of life. Its only lasting facts are that its epoch has begun and that the
    // tasks it lists as exited have exited; neither is used once a newer heartbeat was received.
    if (isStale(machine, heartbeat)) return [];
    const now = this.options.clock.now();
    if (machine.wasLeaseRenewed) this.responseLossDetector.check(machine, heartbeat, now);
    this.recordArrival(machine, now);
    this.applyHeartbeat(machine, heartbeat);
    this.options.wake();
    machine.wasLeaseRenewed = this.state.leaseRenewal.canRenew(machine, now);
    return machine.wasLeaseRenewed
      ? this.components.commands.commandsFor(machine, heartbeat.sequence)
      : 'unavailable';
  }

  private recordArrival(machine: Machine, now: number): void {
    machine.lastHeardAt = now;
    machine.lastHeartbeatAt = now;
    if (machine.missedResponses.count === 0) machine.directCommands.failures = 0;
  }

  private applyHeartbeat(machine: Machine, heartbeat: Heartbeat): void {
    const isFirstHeartbeat = machine.heartbeatSequence < 0;
    machine.heartbeatSequence = heartbeat.sequence;
    if (isNewer(machine, heartbeat)) this.components.reconciler.reconcileHeartbeat(machine, heartbeat);
    else if (isFirstHeartbeat || heartbeat.workerEpoch === machine.workerEpoch) {
      // The response to a direct command overtook this heartbeat. Its task list is outdated, but the worker
      // now waits for the response to this heartbeat: responses to earlier ones were handled or dropped.
      for (const allocation of machine.allocations.values())
        if (allocation.startHeartbeatSequence >= 0 && heartbeat.sequence > allocation.startHeartbeatSequence)
          allocation.startHeartbeatSequence = -1;
    }
  }
}

function isStale(machine: Machine, heartbeat: Heartbeat): boolean {
  return (
    heartbeat.workerEpoch < machine.workerEpoch ||
    (heartbeat.workerEpoch === machine.workerEpoch && heartbeat.sequence <= machine.heartbeatSequence)
  );
}
