/**
 * Handles workers' heartbeats: updates machines and allocations from them, ignores stale ones, and chooses
 * the commands for the response.
 */

import type { Heartbeat, WorkerCommand } from '../../model/worker-messages.js';
import type { ClusterState } from '../cluster-state.js';
import { isNewestMessage, type Machine } from '../machine.js';
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

  /**
   * Handles a heartbeat and returns the response to it. Reports a fencing token that is higher than this
   * leader's. Otherwise the heartbeat updates its machine, which is created if it was not known before, and
   * the allocations there; then the lease is renewed if that is allowed. A stale heartbeat, or one of a
   * deleted machine, changes nothing and gets a response without commands.
   */
  handle(heartbeat: Heartbeat): HeartbeatCommands {
    if (heartbeat.fencingToken > this.state.fencingToken) {
      this.options.onHigherToken(heartbeat.fencingToken);
      return null;
    }
    // The cloud has confirmed that this machine no longer exists: its heartbeat was delayed.
    if (this.state.deletedMachines.has(heartbeat.machine)) return [];
    const machine = this.state.getOrCreateMachine(heartbeat.machine);
    // A stale heartbeat does not show that the worker is still running. All that remains true of it is that
    // its epoch has begun and that the tasks it lists as exited have exited; neither is used once a newer
    // message was received. The worker no longer waits for the response, which therefore renews no lease.
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
    // Direct commands are sent again, unless the worker seems not to receive what is sent to it.
    if (machine.missedResponses.count === 0) machine.directCommands.failures = 0;
  }

  private applyHeartbeat(machine: Machine, heartbeat: Heartbeat): void {
    const isFirstHeartbeat = machine.heartbeatSequence < 0;
    machine.heartbeatSequence = heartbeat.sequence;
    if (isNewestMessage(machine, heartbeat))
      this.components.reconciler.reconcileHeartbeat(machine, heartbeat);
    else if (isFirstHeartbeat || heartbeat.workerEpoch === machine.workerEpoch) {
      // The response to a direct command overtook this heartbeat, whose task list is therefore outdated. But
      // the worker now waits for the response to this heartbeat: those to earlier ones were handled or
      // dropped.
      for (const allocation of machine.allocations.values())
        if (allocation.startHeartbeatSequence >= 0 && heartbeat.sequence > allocation.startHeartbeatSequence)
          allocation.startHeartbeatSequence = -1;
    }
  }
}

/**
 * Whether a heartbeat is stale: the same heartbeat or a later one, or any message of a later epoch, has been
 * received before. Unlike `isNewestMessage`, this disregards responses to direct commands in the same epoch.
 */
function isStale(machine: Machine, heartbeat: Heartbeat): boolean {
  return (
    heartbeat.workerEpoch < machine.workerEpoch ||
    (heartbeat.workerEpoch === machine.workerEpoch && heartbeat.sequence <= machine.heartbeatSequence)
  );
}
