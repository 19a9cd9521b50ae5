/** Sends commands to workers directly, between their heartbeats. */

import { attemptKey } from '../../model/job.js';
import type { Result } from '../../model/result.js';
import type { Heartbeat, WorkerCommand } from '../../model/worker-messages.js';
import type { ClusterState } from '../cluster-state.js';
import { isNewestMessage, type Machine } from '../machine.js';
import type { MachineDeletion } from '../machines/machine-deletion.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { Reconciler } from './reconciler.js';
import type { WorkerCommands } from './worker-commands.js';

/**
 * How long starts on a machine may be indeterminate (sent without a response, so that they may still arrive)
 * while a stop waits for one of them. After that the fencing token is raised, which voids them.
 */
const MAX_INDETERMINATE_MS = 10_000;

/** One call to a worker, with the worker's epoch and sequence as known when the call was made. */
interface DirectCall {
  readonly machine: Machine;
  readonly workerEpoch: number;
  readonly sequence: number;
  readonly startKeys: readonly string[];
}

/** Calls workers, with at most one call in flight per machine. */
export class DirectCommands {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly components: {
      readonly commands: WorkerCommands;
      readonly reconciler: Reconciler;
      readonly deletion: MachineDeletion;
    },
  ) {}

  /** Sends pending commands to each machine in `machinesToContact`, and clears the set. */
  flush(): void {
    for (const machine of this.state.machinesToContact) this.send(machine);
    this.state.machinesToContact.clear();
  }

  /**
   * Sends pending commands, unless the worker can't be called now or the last call failed. After a failure,
   * the response to the next heartbeat or a probe carries them.
   */
  private send(machine: Machine): void {
    if (!canCall(machine) || machine.directCommands.failures > 0) return;
    let commands = machine.isUp ? this.components.commands.commandsFor(machine, null) : [];
    // A stop is safe without leadership: a worker that has seen a higher fencing token drops it.
    if (!this.options.holdsLeadership()) commands = commands.filter((command) => command.type === 'stop');
    // Exited attempts use no capacity: `forget` commands for them can wait for the next response or command.
    if (commands.every((command) => command.type === 'forget')) return;
    this.call(machine, commands);
  }

  /** Calls the worker even if no commands are pending: the call shows whether the worker can be reached. */
  probe(machine: Machine): void {
    if (!canCall(machine) || !this.options.holdsLeadership()) return;
    this.call(machine, machine.isUp ? this.components.commands.commandsFor(machine, null) : []);
  }

  private call(machine: Machine, commands: WorkerCommand[]): void {
    const { workerEpoch, sequence } = machine;
    machine.directCommands.inFlight = true;
    machine.directCommands.lastSentAt = this.options.clock.now();
    const startKeys = commands
      .filter((command) => command.type === 'start')
      .map((start) => attemptKey(start.jobId, start.taskIndex, start.attempt));
    const call: DirectCall = { machine, workerEpoch, sequence, startKeys };
    this.options.workers.sendCommands(
      machine.address,
      { fencingToken: this.state.fencingToken, workerEpoch, commands },
      (result) => this.onResult(call, result),
    );
  }

  private onResult(call: DirectCall, result: Result<Heartbeat>): void {
    const { machine } = call;
    machine.directCommands.inFlight = false;
    this.recordStartOutcomes(call, !result.ok && result.kind === 'indeterminate');
    if (this.state.deletedMachines.has(machine.name)) return;
    const heartbeat = result.ok ? result.value : result.heartbeat;
    if (heartbeat && heartbeat.fencingToken > this.state.fencingToken) {
      this.options.onHigherToken(heartbeat.fencingToken);
      return;
    }
    if (heartbeat) this.onResponse(call, heartbeat);
    else {
      machine.directCommands.failures++;
      if (call.startKeys.length > 0 && !result.ok)
        this.options.log.debug(
          { machine: machine.name, failure: result.kind, starts: call.startKeys.length },
          'direct command failed',
        );
    }
    this.state.isDirty = true;
    this.send(machine);
    this.options.wake();
  }

  /**
   * Clears the in-flight flags of the starts that a direct call carried. `isIndeterminate`: the call brought
   * no response, so its starts may have been executed or may still arrive, and are recorded as indeterminate.
   */
  private recordStartOutcomes(
    { machine, workerEpoch, startKeys }: DirectCall,
    isIndeterminate: boolean,
  ): void {
    const { directCommands } = machine;
    for (const key of startKeys) {
      const allocation = machine.allocations.get(key);
      if (allocation) allocation.isDirectStartInFlight = false;
      if (!isIndeterminate || machine.workerEpoch !== workerEpoch) continue;
      if (directCommands.indeterminateStarts.size === 0)
        directCommands.indeterminateSince = this.options.clock.now();
      directCommands.indeterminateStarts.set(key, this.state.fencingToken);
    }
  }

  private onResponse({ machine, workerEpoch, sequence }: DirectCall, heartbeat: Heartbeat): void {
    machine.directCommands.failures = 0;
    machine.missedResponses.count = 0;
    machine.lastHeardAt = this.options.clock.now();
    if (heartbeat.machine !== machine.name) return;
    // The response to a call is newer than every status received before the call, unless the worker has lost
    // its state. Such a worker knows nothing of the tasks placed on it, and its heartbeats would be dropped
    // as stale until its sequence has caught up.
    if (
      heartbeat.workerEpoch < workerEpoch ||
      (heartbeat.workerEpoch === workerEpoch && heartbeat.sequence <= sequence)
    )
      this.components.deletion.delete(machine, 'worker lost its state');
    else if (isNewestMessage(machine, heartbeat))
      this.components.reconciler.reconcileDirectResponse(machine, heartbeat);
  }

  /**
   * Raises the fencing token if a stop has waited too long for a start of the same attempt that may still
   * arrive: the higher token voids all indeterminate starts.
   */
  checkIndeterminateStarts(now: number): void {
    for (const machine of this.state.machines.values()) {
      const { indeterminateStarts, indeterminateSince } = machine.directCommands;
      if (
        indeterminateStarts.size === 0 ||
        machine.isBeingDeleted ||
        now - indeterminateSince < MAX_INDETERMINATE_MS
      )
        continue;
      const key = findBlockedStop(machine);
      if (key === null) continue;
      this.options.raiseFencingToken(`start of ${key} on ${machine.name} may still arrive`);
      return;
    }
  }
}

/**
 * Whether the worker may be called: its address is known, no other call to it is in flight, and its machine
 * is not being deleted.
 */
function canCall(machine: Machine): boolean {
  return !machine.directCommands.inFlight && machine.address !== '' && !machine.isBeingDeleted;
}

function findBlockedStop(machine: Machine): string | null {
  for (const allocation of machine.allocations.values())
    if (
      allocation.desiredState === 'stop' &&
      !allocation.reportedStatus &&
      !allocation.isFinalized &&
      machine.directCommands.indeterminateStarts.has(allocation.key)
    )
      return allocation.key;
  return null;
}
