/** Reconciles the allocations on a machine with the tasks that its worker lists. */

import { attemptKey } from '../../model/job.js';
import type { Heartbeat, TaskStatus } from '../../model/worker-messages.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { AllocationEvents } from '../owners/allocation-events.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { finalizeIfForgotten, finalizeIfMissing } from './finalization.js';
import { TaskPhaseTracker } from './task-phase-tracker.js';

/** Updates a machine, its allocations and its unknown tasks from a status reported by its worker. */
export class Reconciler {
  private readonly taskPhaseTracker: TaskPhaseTracker;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly events: AllocationEvents,
  ) {
    this.taskPhaseTracker = new TaskPhaseTracker(options, state);
  }

  /**
   * Applies a heartbeat. The worker that sent it waits for the response to it, and for none to an earlier
   * heartbeat.
   */
  reconcileHeartbeat(machine: Machine, heartbeat: Heartbeat): void {
    this.reconcile(machine, heartbeat, heartbeat.sequence);
  }

  /**
   * Applies the status in the response to a direct command: responses to earlier heartbeats may still be in
   * flight.
   */
  reconcileDirectResponse(machine: Machine, status: Heartbeat): void {
    this.reconcile(machine, status, -1);
  }

  /**
   * Applies a status reported by a worker. `heartbeatSequence`: commands in the responses to heartbeats
   * before this one were executed or dropped; -1 if that is not known of any response.
   */
  private reconcile(machine: Machine, heartbeat: Heartbeat, heartbeatSequence: number): void {
    this.updateMachine(machine, heartbeat);
    this.state.invalidateTotals(machine);
    machine.tasks.clear();
    this.state.exitedAttempts.update(machine, heartbeat.tasks);
    for (const status of heartbeat.tasks)
      machine.tasks.set(attemptKey(status.jobId, status.taskIndex, status.attempt), status);
    for (const allocation of [...machine.allocations.values()])
      this.reconcileAllocation(machine, allocation, heartbeatSequence);
    this.updateUnknownTasks(machine);
  }

  private updateMachine(machine: Machine, heartbeat: Heartbeat): void {
    const now = this.options.clock.now();
    const { indeterminateStarts } = machine.directCommands;
    if (heartbeat.workerEpoch > machine.workerEpoch) {
      indeterminateStarts.clear();
      for (const allocation of machine.allocations.values()) allocation.startHeartbeatSequence = -1;
    }
    machine.address = heartbeat.address;
    machine.machineType = heartbeat.machineType;
    machine.zone = heartbeat.zone;
    machine.isSpot = heartbeat.isSpot;
    machine.workerEpoch = heartbeat.workerEpoch;
    machine.sequence = heartbeat.sequence;
    machine.fencingToken = Math.max(machine.fencingToken, heartbeat.fencingToken);
    if (heartbeat.fencingToken === this.state.fencingToken) machine.hasCurrentToken = true;
    machine.lastHeardAt = now;
    machine.evictionDeadline =
      heartbeat.evictionNoticeSeconds === null ? null : now + heartbeat.evictionNoticeSeconds * 1000;
    for (const [key, fencingToken] of indeterminateStarts)
      if (heartbeat.fencingToken > fencingToken) indeterminateStarts.delete(key);
    if (!machine.isUp) this.onMachineUp(machine, now);
  }

  private onMachineUp(machine: Machine, now: number): void {
    machine.isUp = true;
    machine.upSince = now;
    machine.idleSince = now;
    this.options.log.debug(
      {
        machine: machine.name,
        machineType: machine.machineType,
        zone: machine.zone,
        isSpot: machine.isSpot,
      },
      'machine up',
    );
  }

  private reconcileAllocation(machine: Machine, allocation: Allocation, heartbeatSequence: number): void {
    if (allocation.desiredState === 'granted') {
      if (allocation.workerEpoch !== machine.workerEpoch) this.state.removeAllocation(machine, allocation);
      return;
    }
    const status = machine.tasks.get(allocation.key);
    if (allocation.desiredState === 'stop' || (allocation.desiredState === 'run' && !status))
      this.state.machinesToContact.add(machine);
    if (status) {
      clearHandledStart(allocation, heartbeatSequence);
      this.applyStatus(machine, allocation, status);
    } else if (!this.reconcileUnlistedAllocation(machine, allocation, heartbeatSequence)) return;
    this.events.emitStatus(machine, allocation);
  }

  private applyStatus(machine: Machine, allocation: Allocation, status: TaskStatus): void {
    if (status.phase !== allocation.reportedStatus?.phase)
      this.taskPhaseTracker.onPhaseChange(machine, allocation, status);
    allocation.reportedStatus = status;
    allocation.hasExited = status.phase === 'exited';
    allocation.isFinalized = false;
  }

  /** Reconciles an allocation that the worker does not list; returns false if the allocation was removed. */
  private reconcileUnlistedAllocation(
    machine: Machine,
    allocation: Allocation,
    heartbeatSequence: number,
  ): boolean {
    const isFromEarlierEpoch = machine.workerEpoch > allocation.workerEpoch;
    if (!isFromEarlierEpoch) clearHandledStart(allocation, heartbeatSequence);
    const isStartInFlight = allocation.isDirectStartInFlight || allocation.startHeartbeatSequence >= 0;
    if (allocation.desiredState === 'forget' && (isFromEarlierEpoch || !isStartInFlight)) {
      this.state.removeAllocation(machine, allocation);
      return false;
    }
    allocation.reportedStatus = null;
    if (isFromEarlierEpoch) allocation.isFinalized = true;
    else {
      finalizeIfForgotten(this.state, machine, allocation);
      finalizeIfMissing(this.state, machine, allocation);
    }
    return true;
  }

  private updateUnknownTasks(machine: Machine): void {
    const { startedAttempts } = machine.directCommands;
    for (const key of startedAttempts)
      if (!machine.tasks.has(key) && !machine.allocations.has(key)) startedAttempts.delete(key);
    for (const key of machine.unknownTasks.keys())
      if (!machine.tasks.has(key)) machine.unknownTasks.delete(key);
    const now = this.options.clock.now();
    for (const key of machine.tasks.keys())
      if (!machine.allocations.has(key) && !machine.unknownTasks.has(key)) machine.unknownTasks.set(key, now);
  }
}

/**
 * Clears the record of the heartbeat response that carried the allocation's start command, once that response
 * was handled or dropped.
 */
function clearHandledStart(allocation: Allocation, heartbeatSequence: number): void {
  if (heartbeatSequence > allocation.startHeartbeatSequence) allocation.startHeartbeatSequence = -1;
}
