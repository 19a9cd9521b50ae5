/** Squares what a machine lists with the allocations on it. */

import { taskKey } from '../../model/job.js';
import type { Heartbeat, TaskStatus } from '../../model/worker-messages.js';
import type { Allocation } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { AllocationEvents } from '../owners/allocation-events.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { finalizeIfForgotten, finalizeIfMissing } from './finalization.js';
import { TaskProgress } from './task-progress.js';

/** Brings machine, allocations and unknown tasks up to what a worker has said. */
export class Reconciler {
  private readonly taskProgress: TaskProgress;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly events: AllocationEvents,
  ) {
    this.taskProgress = new TaskProgress(options, state);
  }

  /** The worker waits for the answer to this heartbeat. */
  reconcileHeartbeat(machine: Machine, heartbeat: Heartbeat): void {
    this.reconcile(machine, heartbeat, heartbeat.sequence);
  }

  /** The status came as the answer to a direct command: answers to earlier heartbeats may still be on their way. */
  reconcileDirectAnswer(machine: Machine, status: Heartbeat): void {
    this.reconcile(machine, status, -1);
  }

  /** What the answers to heartbeats before `answeredBefore` carried was executed or dropped; -1: nothing is known of it. */
  private reconcile(machine: Machine, heartbeat: Heartbeat, answeredBefore: number): void {
    this.updateMachine(machine, heartbeat);
    this.state.markChanged(machine);
    machine.tasks.clear();
    this.state.endedAttempts.update(machine, heartbeat.tasks);
    for (const status of heartbeat.tasks)
      machine.tasks.set(taskKey(status.jobId, status.taskIndex, status.attempt), status);
    for (const allocation of [...machine.allocations.values()])
      this.reconcileAllocation(machine, allocation, answeredBefore);
    this.updateUnknownTasks(machine);
  }

  private updateMachine(machine: Machine, heartbeat: Heartbeat): void {
    const now = this.options.clock.now();
    const { indeterminateStarts } = machine.directCommands;
    if (heartbeat.agentEpoch > machine.agentEpoch) {
      indeterminateStarts.clear();
      for (const allocation of machine.allocations.values()) allocation.startHeartbeatSequence = -1;
    }
    machine.address = heartbeat.address;
    machine.machineType = heartbeat.machineType;
    machine.zone = heartbeat.zone;
    machine.isSpot = heartbeat.isSpot;
    machine.agentEpoch = heartbeat.agentEpoch;
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

  private reconcileAllocation(machine: Machine, allocation: Allocation, answeredBefore: number): void {
    if (allocation.desiredState === 'hold') {
      if (allocation.agentEpoch !== machine.agentEpoch) this.state.removeAllocation(machine, allocation);
      return;
    }
    const status = machine.tasks.get(allocation.key);
    if (allocation.desiredState === 'stop' || (allocation.desiredState === 'run' && !status))
      this.state.machinesToContact.add(machine);
    if (status) {
      noteAnswered(allocation, answeredBefore);
      this.takeStatus(machine, allocation, status);
    } else if (!this.reconcileUnlisted(machine, allocation, answeredBefore)) return;
    this.events.emitStatus(machine, allocation);
  }

  private takeStatus(machine: Machine, allocation: Allocation, status: TaskStatus): void {
    if (status.phase !== allocation.reportedStatus?.phase)
      this.taskProgress.onPhaseChange(machine, allocation, status);
    allocation.reportedStatus = status;
    allocation.hasExited = status.phase === 'exited';
    allocation.isFinalized = false;
  }

  /** Returns whether the allocation is still there. */
  private reconcileUnlisted(machine: Machine, allocation: Allocation, answeredBefore: number): boolean {
    const isOfEarlierEpoch = machine.agentEpoch > allocation.agentEpoch;
    if (!isOfEarlierEpoch) noteAnswered(allocation, answeredBefore);
    const isStartOnItsWay = allocation.isDirectStartInFlight || allocation.startHeartbeatSequence >= 0;
    if (allocation.desiredState === 'forget' && (isOfEarlierEpoch || !isStartOnItsWay)) {
      this.state.removeAllocation(machine, allocation);
      return false;
    }
    allocation.reportedStatus = null;
    if (isOfEarlierEpoch) allocation.isFinalized = true;
    else {
      finalizeIfForgotten(this.state, machine, allocation);
      finalizeIfMissing(this.state, machine, allocation);
    }
    return true;
  }

  private updateUnknownTasks(machine: Machine): void {
    const { startedAttempts: started } = machine.directCommands;
    for (const key of started)
      if (!machine.tasks.has(key) && !machine.allocations.has(key)) started.delete(key);
    for (const key of machine.unknownTasks.keys())
      if (!machine.tasks.has(key)) machine.unknownTasks.delete(key);
    const now = this.options.clock.now();
    for (const key of machine.tasks.keys())
      if (!machine.allocations.has(key) && !machine.unknownTasks.has(key)) machine.unknownTasks.set(key, now);
  }
}

/** The answer that carried its start, if any, has been handled or was dropped. */
function noteAnswered(allocation: Allocation, answeredBefore: number): void {
  if (answeredBefore > allocation.startHeartbeatSequence) allocation.startHeartbeatSequence = -1;
}
