/**
 * The elected leader's scheduler: it composes what takes in heartbeats and owners' messages, places work, sends commands
 * and keeps the fleet. It stores nothing; owners and workers tell it all.
 */

import type { Policy } from '../model/policy.js';
import type { ShardMessage } from '../model/shard-messages.js';
import type { Heartbeat } from '../model/worker-messages.js';
import { ClusterState } from './cluster-state.js';
import { FailureDetector } from './failure-detector.js';
import { FleetManager } from './fleet/fleet-manager.js';
import { MachineDraining } from './machines/draining.js';
import { MachineDeletion } from './machines/machine-deletion.js';
import { MachineList } from './machines/machine-list.js';
import { AllocationEvents } from './owners/allocation-events.js';
import { PlacementIntake } from './owners/placement-intake.js';
import { ShardOwnerIntake } from './owners/shard-owner-intake.js';
import { PlacementEngine } from './placement/placement-engine.js';
import type { SchedulerOptions } from './scheduler-options.js';
import { DirectCommands } from './workers/direct-commands.js';
import { type HeartbeatAnswer, HeartbeatIntake } from './workers/heartbeat-intake.js';
import { Reconciler } from './workers/reconciler.js';
import { WorkerCommands } from './workers/worker-commands.js';

/** A pass that takes long is made less often, so that what comes meanwhile shares the next one. */
const PASS_PAUSE_FACTOR = 5;
const MIN_PASS_PAUSE_MS = 30;
const MAX_PASS_PAUSE_MS = 500;
/** Scaling looks at the whole fleet: less often when that takes long. */
const SCALING_INTERVAL_FACTOR = 40;
const MIN_SCALING_INTERVAL_MS = 1000;
const MAX_SCALING_INTERVAL_MS = 3000;

/** The leader's work under one fencing token. Its methods are called one at a time, from the controller's event loop. */
export class Scheduler {
  private readonly state: ClusterState;
  private readonly placement: PlacementEngine;
  private readonly fleet: FleetManager;
  private readonly failureDetector: FailureDetector;
  private readonly events: AllocationEvents;
  private readonly owners: ShardOwnerIntake;
  private readonly heartbeats: HeartbeatIntake;
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
    this.owners = new ShardOwnerIntake(options, state, {
      events: this.events,
      placements: new PlacementIntake(options, state, this.events),
      engine: this.placement,
    });
    const reconciler = new Reconciler(options, state, this.events);
    const commands = new WorkerCommands(options, state);
    this.heartbeats = new HeartbeatIntake(options, state, { reconciler, commands });
    const deletion = new MachineDeletion(options, state, this.events);
    this.deletion = deletion;
    const directCommands = new DirectCommands(options, state, { commands, reconciler, deletion });
    this.directCommands = directCommands;
    const fleet = new FleetManager(options, state, (machine, reason) => deletion.delete(machine, reason));
    this.fleet = fleet;
    this.machineList = new MachineList(options, state, {
      probe: (machine) => directCommands.probe(machine),
      remove: (machine, reason) => deletion.delete(machine, reason),
    });
    this.failureDetector = new FailureDetector(options, state, {
      probe: (machine) => directCommands.probe(machine),
      remove: (machine, reason) => deletion.delete(machine, reason),
      keepsUnreachable: (machine, capacities, now) => fleet.keepsUnreachable(machine, capacities, now),
    });
    this.draining = new MachineDraining(state);
  }

  /** Bars what leaders before this one have sent. */
  get fencingToken(): number {
    return this.state.fencingToken;
  }

  /** The policy's values as of the last tick. */
  get policy(): Policy {
    return this.state.policy;
  }

  // ---- shard owners ---------------------------------------------------------------------------------

  /** The team's owner has told all it holds. */
  isSynced(team: string): boolean {
    return this.state.isSynced(team);
  }

  /** Takes over which instance owns which team, by the stored records. */
  setOwners(records: Map<string, { instanceId: string; shardEpoch: number }>): void {
    this.owners.setOwners(records);
  }

  /** Before a team's record is changed: what its present owner says no longer counts. */
  suspendOwner(team: string): void {
    this.owners.suspendOwner(team);
  }

  /** Asks an instance for all it holds. */
  requestSync(instanceId: string): void {
    this.owners.requestSync(instanceId);
  }

  /** A shard owner's message; one to another leader is ignored. */
  onShardMessage(message: ShardMessage): void {
    if (!this.owners.handle(message)) return;
    this.state.isDirty = true;
    this.options.wake();
  }

  /** How long, in ms, a team's owner has told of no cancellations; it counts from when it got the team. */
  coverageAgeMs(team: string, now: number): number {
    return this.owners.coverageAgeMs(team, now);
  }

  // ---- cancellations --------------------------------------------------------------------------------

  /** A peer has stored a cancellation. Also without the key-value store: its stops ride with answers at once. */
  onJobCancelled(jobId: string): void {
    for (const machine of this.state.cancel(jobId)) this.state.machinesToContact.add(machine);
    this.options.wake();
  }

  /** How far cancellations have become stops, for peers; null as long as some owner has not told what it holds. */
  coverage(): { completeUntil: number; pendingMachines: string[] } | null {
    return this.state.leaseRenewal.coverage();
  }

  // ---- workers --------------------------------------------------------------------------------------

  /** Null: answer that this controller does not lead; `later`: nothing that would renew the worker's lease. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer {
    return this.heartbeats.handle(heartbeat);
  }

  /** Machines that asked peers, as those tell. */
  onMachinesRedirected(names: string[]): void {
    this.failureDetector.onMachinesRedirected(names);
  }

  // ---- work at the end of each batch of events, and from time to time --------------------------------

  /** Sends what has come up, and makes a pass if something has changed and the last pass is long enough ago. */
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

  /** Checks what time alone brings about; the next `flush` makes a pass. */
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
    this.owners.requestMissingSyncs(now);
    this.draining.drain(now);
    this.fleet.consolidate(now);
    this.deletion.flush(now);
    this.state.isDirty = true;
    this.options.wake();
  }

  /** For logs and tests. */
  stats(): Record<string, number> {
    let machinesUp = 0;
    let entries = 0;
    for (const machine of this.state.machines.values()) {
      if (machine.isUp) machinesUp++;
      entries += machine.allocations.size;
    }
    return { machines: this.state.machines.size, up: machinesUp, entries, holds: this.state.openGrants.size };
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
