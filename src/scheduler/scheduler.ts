/**
 * The elected leader's scheduler. It composes the classes that handle heartbeats and shard owners' messages,
 * place tasks, send commands to workers and scale the fleet. It stores nothing: its state is rebuilt from
 * what shard owners, workers, peers and the cloud report.
 */

import type { Policy } from '../model/policy.js';
import type { ShardOwnerMessage } from '../model/shard-messages.js';
import type { Heartbeat } from '../model/worker-messages.js';
import { ClusterState } from './cluster-state.js';
import { FailureDetector } from './failure-detector.js';
import { FleetManager } from './fleet/fleet-manager.js';
import { MachineDeletion } from './machines/machine-deletion.js';
import { MachineDraining } from './machines/machine-draining.js';
import { MachineList } from './machines/machine-list.js';
import { AllocationEvents } from './owners/allocation-events.js';
import { PlacementHandler } from './owners/placement-handler.js';
import { ShardOwnerHandler } from './owners/shard-owner-handler.js';
import { PlacementEngine } from './placement/placement-engine.js';
import type { SchedulerOptions } from './scheduler-options.js';
import { type WorkerContacts, workerContacts } from './worker-contacts.js';
import { DirectCommands } from './workers/direct-commands.js';
import { type HeartbeatCommands, HeartbeatHandler } from './workers/heartbeat-handler.js';
import { Reconciler } from './workers/reconciler.js';
import { WorkerCommands } from './workers/worker-commands.js';

/**
 * The pause after a placement pass is a multiple of its duration: slow passes handle more changes at once.
 */
const PASS_PAUSE_FACTOR = 5;
const MIN_PASS_PAUSE_MS = 30;
const MAX_PASS_PAUSE_MS = 500;
/**
 * Scaling looks at the whole fleet, so its interval is a multiple of its duration. The minimum also limits
 * how often machines are rented; see `FleetManager.scaleFleet`.
 */
const SCALING_INTERVAL_FACTOR = 40;
const MIN_SCALING_INTERVAL_MS = 1000;
const MAX_SCALING_INTERVAL_MS = 3000;

/** The scheduler of one leadership term. The controller's event loop calls its methods one at a time. */
export class Scheduler {
  private readonly state: ClusterState;
  private readonly placement: PlacementEngine;
  private readonly fleet: FleetManager;
  private readonly failureDetector: FailureDetector;
  private readonly events: AllocationEvents;
  private readonly shardOwnerHandler: ShardOwnerHandler;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly directCommands: DirectCommands;
  private readonly deletion: MachineDeletion;
  private readonly machineList: MachineList;
  private readonly draining: MachineDraining;
  private nextPassAt = 0;
  private isPassScheduled = false;
  private nextScalingAt = 0;

  constructor(private readonly options: SchedulerOptions) {
    const state = new ClusterState(options);
    this.state = state;
    this.placement = new PlacementEngine(options, state);
    this.events = new AllocationEvents(options, state);
    this.shardOwnerHandler = new ShardOwnerHandler(options, state, {
      events: this.events,
      placementHandler: new PlacementHandler(options, state, this.events),
      engine: this.placement,
    });
    const reconciler = new Reconciler(options, state, this.events);
    const commands = new WorkerCommands(options, state);
    this.heartbeatHandler = new HeartbeatHandler(options, state, { reconciler, commands });
    const deletion = new MachineDeletion(options, state, this.events);
    this.deletion = deletion;
    const directCommands = new DirectCommands(options, state, { commands, reconciler, deletion });
    this.directCommands = directCommands;
    const fleet = new FleetManager(options, state, (machine, reason) => deletion.delete(machine, reason));
    this.fleet = fleet;
    this.machineList = new MachineList(options, state, {
      probe: (machine) => directCommands.probe(machine),
      deleteMachine: (machine, reason) => deletion.delete(machine, reason),
    });
    this.failureDetector = new FailureDetector(options, state, {
      probe: (machine) => directCommands.probe(machine),
      deleteMachine: (machine, reason) => deletion.delete(machine, reason),
      shouldKeepUnreachable: (machine, capacities, now) =>
        fleet.shouldKeepUnreachable(machine, capacities, now),
    });
    this.draining = new MachineDraining(state);
  }

  /** The fencing token of this term: workers that have seen it drop commands of earlier leaders. */
  get fencingToken(): number {
    return this.state.fencingToken;
  }

  /** The contacts with the workers so far, for the next term if this controller leads it as well. */
  get contacts(): WorkerContacts {
    return workerContacts(this.state.machines.values(), this.state.leaderSince);
  }

  /** The policy's values as of the last tick. */
  get policy(): Policy {
    return this.state.policy;
  }

  // ---- shard owners ---------------------------------------------------------------------------------

  /** Whether the team has an owner and that owner's full sync has been applied. */
  isSynced(team: string): boolean {
    return this.state.isSynced(team);
  }

  /** Updates which instance owns which team, from the stored records. */
  setOwners(records: Map<string, { instanceId: string; shardEpoch: number }>): void {
    this.shardOwnerHandler.setOwners(records);
  }

  /**
   * Ignores the placements and requests of a team's present owner until its next full sync, because the
   * team's owner record is about to change.
   */
  suspendOwner(team: string): void {
    this.shardOwnerHandler.suspendOwner(team);
  }

  /**
   * Requests a full sync from an instance. Until it has been applied, the instance's placements are ignored
   * and its requests are not served.
   */
  requestSync(instanceId: string): void {
    this.shardOwnerHandler.requestSync(instanceId);
  }

  /** Handles a message of a shard owner. Messages meant for another leadership term are ignored. */
  onShardMessage(message: ShardOwnerMessage): void {
    if (!this.shardOwnerHandler.handle(message)) return;
    this.state.isDirty = true;
    this.options.wake();
  }

  /**
   * The age, in ms, of a team's cancellation watermark (the time before which all its stored cancellations
   * have become stops), or the time since its owner became known if shorter.
   */
  coverageAgeMs(team: string, now: number): number {
    return this.shardOwnerHandler.coverageAgeMs(team, now);
  }

  // ---- cancellations --------------------------------------------------------------------------------

  /**
   * Handles a cancellation that this controller or a peer has stored. The job's tasks are stopped at once,
   * without waiting for their shard owner to read the cancellation, so this works while the key-value store
   * is unavailable.
   */
  onJobCancelled(jobId: string): void {
    for (const machine of this.state.cancel(jobId)) this.state.machinesToContact.add(machine);
    this.options.wake();
  }

  /** The cancellation coverage to send to peers; null while some team has no watermark yet. */
  coverage(): { completeUntil: number; pendingMachines: string[] } | null {
    return this.state.leaseRenewal.coverage();
  }

  // ---- workers --------------------------------------------------------------------------------------

  /**
   * Handles a worker's heartbeat. Returns null if this controller no longer leads, and `unavailable` if the
   * worker's lease must not be renewed now.
   */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatCommands {
    return this.heartbeatHandler.handle(heartbeat);
  }

  /** Handles a peer's report of machines whose workers it has redirected to the leader. */
  onMachinesRedirected(names: string[]): void {
    this.failureDetector.onMachinesRedirected(names);
  }

  // ---- work at the end of each batch of events, and at intervals ------------------------------------

  /** Sends pending events and commands, and runs or schedules a placement pass if something has changed. */
  flush(): void {
    const now = this.options.clock.now();
    this.events.flush();
    this.directCommands.flush();
    if (!this.state.isDirty) return;
    if (now < this.nextPassAt) this.schedulePass(now);
    else this.runPass(now);
  }

  private schedulePass(now: number): void {
    if (this.isPassScheduled) return;
    this.isPassScheduled = true;
    this.options.clock.after(Math.max(1, this.nextPassAt - now), () => {
      this.isPassScheduled = false;
      this.options.wake();
    });
  }

  /** Runs a placement pass, then scales the fleet if that is due and sends queued deletions to the cloud. */
  private runPass(now: number): void {
    const { clock } = this.options;
    this.state.isDirty = false;
    const unplaced = this.placement.runPass(now);
    if (now >= this.nextScalingAt) {
      const scalingStartedAt = clock.now();
      this.fleet.scaleFleet(now, unplaced);
      const interval = (clock.now() - scalingStartedAt) * SCALING_INTERVAL_FACTOR;
      this.nextScalingAt = now + clamp(interval, MIN_SCALING_INTERVAL_MS, MAX_SCALING_INTERVAL_MS);
    }
    this.deletion.flush(now);
    const endedAt = clock.now();
    this.nextPassAt =
      endedAt + clamp((endedAt - now) * PASS_PAUSE_FACTOR, MIN_PASS_PAUSE_MS, MAX_PASS_PAUSE_MS);
  }

  /** Runs all time-based checks, and requests a placement pass from the next `flush`. */
  tick(): void {
    const now = this.options.clock.now();
    this.fleet.logFleet(now);
    this.state.refreshTotals();
    this.state.policy = this.options.policy(this.state.policyInput());
    for (const machine of this.state.machines.values())
      if (machine.totals.hasPendingCommands || (machine.unknownTasks.size > 0 && machine.isUp))
        this.state.machinesToContact.add(machine);
    this.machineList.refresh(now);
    this.failureDetector.check(now);
    this.directCommands.checkIndeterminateStarts(now);
    this.draining.expireEvictions(now);
    this.shardOwnerHandler.requestMissingSyncs(now);
    this.draining.drain(now);
    this.fleet.consolidate(now);
    this.deletion.flush(now);
    this.state.isDirty = true;
    this.options.wake();
  }

  /** Returns counts of the scheduler's state, for status reports and tests. */
  stats(): Record<string, number> {
    let machinesUp = 0;
    let allocations = 0;
    for (const machine of this.state.machines.values()) {
      if (machine.isUp) machinesUp++;
      allocations += machine.allocations.size;
    }
    return {
      machines: this.state.machines.size,
      up: machinesUp,
      allocations,
      openGrants: this.state.openGrants.size,
    };
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
