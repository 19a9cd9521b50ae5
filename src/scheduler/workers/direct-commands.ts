/** Commands sent straight to workers, between their heartbeats. */

import { taskKey } from '../../model/job.js';
import type { Result } from '../../model/result.js';
import type { Heartbeat, WorkerCommand } from '../../model/worker-messages.js';
import type { ClusterState } from '../cluster-state.js';
import { isNewer, type Machine } from '../machine.js';
import type { MachineDeletion } from '../machines/machine-deletion.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { Reconciler } from './reconciler.js';
import type { WorkerCommands } from './worker-commands.js';

/** So long a stop waits for a start that may still arrive before a higher token is taken to bar it. */
const MAX_INDETERMINATE_MS = 10_000;

/** One call to a worker, with what was known of it then. */
interface DirectCall {
  readonly machine: Machine;
  readonly agentEpoch: number;
  readonly sequence: number;
  readonly startedKeys: readonly string[];
}

/** Calls workers, one call a machine at a time. */
export class DirectCommands {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly parts: {
      readonly commands: WorkerCommands;
      readonly reconciler: Reconciler;
      readonly deletion: MachineDeletion;
    },
  ) {}

  /** Sends each machine that was noted since the last call what there is for it. */
  flush(): void {
    for (const machine of this.state.machinesToContact) this.send(machine);
    this.state.machinesToContact.clear();
  }

  /** Sends what there is, unless the last call failed: then the next heartbeat's answer or a probe carries it. */
  private send(machine: Machine): void {
    if (!canCall(machine) || machine.directCommands.failures > 0) return;
    let commands = machine.isUp ? this.parts.commands.commandsFor(machine, null) : [];
    // A stop is right whoever leads now: what was started under a later token drops it.
    if (!this.options.holdsLeadership()) commands = commands.filter((command) => command.type === 'stop');
    // Ended tasks take no capacity: their removal rides with the next answer or command.
    if (commands.every((command) => command.type === 'forget')) return;
    this.call(machine, commands);
  }

  /** Calls the worker whether or not there is anything to send: its answer tells whether it can be reached. */
  probe(machine: Machine): void {
    if (!canCall(machine) || !this.options.holdsLeadership()) return;
    this.call(machine, machine.isUp ? this.parts.commands.commandsFor(machine, null) : []);
  }

  private call(machine: Machine, commands: WorkerCommand[]): void {
    const { agentEpoch, sequence } = machine;
    machine.directCommands.inFlight = true;
    machine.directCommands.lastSentAt = this.options.clock.now();
    const startedKeys = commands
      .filter((command) => command.type === 'start')
      .map((start) => taskKey(start.jobId, start.taskIndex, start.attempt));
    const call: DirectCall = { machine, agentEpoch, sequence, startedKeys };
    this.options.workers.sendCommands(
      machine.address,
      { fencingToken: this.state.fencingToken, agentEpoch, commands },
      (result) => this.onResult(call, result),
    );
  }

  private onResult(call: DirectCall, result: Result<Heartbeat>): void {
    const { machine } = call;
    machine.directCommands.inFlight = false;
    this.noteStarts(call, !result.ok && result.kind === 'indeterminate');
    if (this.state.deletedMachines.has(machine.name)) return;
    const heartbeat = result.ok ? result.value : result.heartbeat;
    if (heartbeat && heartbeat.fencingToken > this.state.fencingToken) {
      this.options.onHigherToken(heartbeat.fencingToken);
      return;
    }
    if (heartbeat) this.onAnswer(call, heartbeat);
    else {
      machine.directCommands.failures++;
      if (call.startedKeys.length > 0 && !result.ok)
        this.options.log.debug(
          { machine: machine.name, failure: result.kind, starts: call.startedKeys.length },
          'direct command failed',
        );
    }
    this.state.isDirty = true;
    this.send(machine);
    this.options.wake();
  }

  /** `mayArrive`: the call brought no answer, and the starts in it may or may not have been carried out. */
  private noteStarts({ machine, agentEpoch, startedKeys }: DirectCall, mayArrive: boolean): void {
    const { directCommands } = machine;
    for (const key of startedKeys) {
      const allocation = machine.allocations.get(key);
      if (allocation) allocation.isDirectStartInFlight = false;
      if (!mayArrive || machine.agentEpoch !== agentEpoch) continue;
      if (directCommands.indeterminateStarts.size === 0)
        directCommands.indeterminateSince = this.options.clock.now();
      directCommands.indeterminateStarts.set(key, this.state.fencingToken);
    }
  }

  private onAnswer({ machine, agentEpoch, sequence }: DirectCall, heartbeat: Heartbeat): void {
    machine.directCommands.failures = 0;
    machine.missedAnswers.count = 0;
    machine.lastHeardAt = this.options.clock.now();
    if (heartbeat.machine !== machine.name) return;
    // An answer is newer than all that was heard before its question, or its worker began anew and knows nothing of
    // what was placed there: its heartbeats would pass for late copies until its count has caught up.
    if (
      heartbeat.agentEpoch < agentEpoch ||
      (heartbeat.agentEpoch === agentEpoch && heartbeat.sequence <= sequence)
    )
      this.parts.deletion.delete(machine, 'its worker began anew');
    else if (isNewer(machine, heartbeat)) this.parts.reconciler.reconcileDirectAnswer(machine, heartbeat);
  }

  /** Stops that can't be taken for done since a start may still arrive: a higher fencing token would bar it. */
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
