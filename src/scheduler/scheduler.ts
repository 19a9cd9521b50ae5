import { taskKey } from '../model/job.js';
import type { ListedMachine } from '../model/machine-type.js';
import type { AllocationEvent, PlacementSpec } from '../model/placement.js';
import type { Policy } from '../model/policy.js';
import type { ShardMessage } from '../model/shard-messages.js';
import type { Heartbeat, TaskStatus, WorkerCommand } from '../model/worker-messages.js';
import { ClusterState, type SchedulerOptions } from './cluster-state.js';
import { FailureDetector } from './failure-detector.js';
import { FleetManager } from './fleet/fleet-manager.js';
import {
  type Allocation,
  createAllocation,
  isNewer,
  isWithoutStoredPlacement,
  type Machine,
} from './machine.js';
import { PlacementEngine } from './placement/placement-engine.js';

const MAX_COMMANDS_PER_MESSAGE = 200;
/** Ended tasks of a machine that are removed together, and how long one waits for others. */
const FORGET_BATCH = 4;
const MAX_FORGET_DELAY_MS = 20000;
/** Tasks that a machine lists from which a higher token is taken, to remove those that ended: a report holds some 600. */
const MAX_EXITED_TASKS_LISTED = 300;

/** The elected leader's part: machines, reports, room. It stores nothing; owners and workers tell it all. */
export class Scheduler {
  private readonly state: ClusterState;
  private readonly placement: PlacementEngine;
  private readonly fleet: FleetManager;
  private readonly failureDetector: FailureDetector;
  /** Machines to which something may have to be sent. */
  private readonly machinesToContact = new Set<Machine>();
  private readonly syncsInProgress = new Map<
    string,
    { syncNumber: number; nextChunk: number; placements: PlacementSpec[] }
  >();
  private medianSlowdown = { at: Number.NEGATIVE_INFINITY, value: 0 };
  private readonly eventsToSend = new Map<string, AllocationEvent[]>();
  private nextPassAt = 0;
  private passScheduled = false;
  private nextScaleAt = 0;
  private nextListAt = 0;
  private nextSyncRequestAt = 0;
  private listInFlight = false;
  private deletionInFlight = false;
  private deletionRetryAt = 0;
  private readonly deletionQueue = new Set<string>();

  constructor(private readonly options: SchedulerOptions) {
    this.state = new ClusterState(options);
    this.placement = new PlacementEngine(options, this.state);
    this.fleet = new FleetManager(options, this.state, (machine, reason) =>
      this.deleteMachine(machine, reason),
    );
    this.failureDetector = new FailureDetector(options, this.state, {
      probe: (machine) => this.sendDirectly(machine, true),
      remove: (machine, reason) => this.deleteMachine(machine, reason),
      keepsUnreachable: (machine, capacities, now) => this.fleet.keepsUnreachable(machine, capacities, now),
    });
  }

  get fencingToken(): number {
    return this.state.fencingToken;
  }

  get policy(): Policy {
    return this.state.policy;
  }

  isSynced(team: string): boolean {
    return this.state.isSynced(team);
  }

  // ---- owners ---------------------------------------------------------------------------------------

  setOwners(records: Map<string, { instanceId: string; shardEpoch: number }>): void {
    for (const [team, r] of records) {
      const cur = this.state.owners.get(team);
      if (cur && cur.instanceId === r.instanceId && cur.shardEpoch === r.shardEpoch) continue;
      this.state.owners.set(team, {
        instanceId: r.instanceId,
        shardEpoch: r.shardEpoch,
        isSynced: false,
        since: this.options.clock.now(),
      });
      this.state.dropGrants(
        [...this.state.grantMachines.keys()].filter((id) => this.state.allocationOfGrant(id)?.team === team),
      );
      // Its owner may have learnt of the record, and told all it holds, before this scheduler did.
      this.options.send(r.instanceId, { type: 'syncRequested', fencingToken: this.state.fencingToken });
    }
  }

  /** Before a team's record is changed: what its present owner says no longer counts. */
  suspend(team: string): void {
    const cur = this.state.owners.get(team);
    if (cur) cur.isSynced = false;
  }

  requestSync(instanceId: string): void {
    for (const owner of this.state.owners.values())
      if (owner.instanceId === instanceId) owner.isSynced = false;
    this.options.send(instanceId, { type: 'syncRequested', fencingToken: this.state.fencingToken });
  }

  onShardMessage(message: ShardMessage): void {
    if (message.fencingToken !== this.state.fencingToken) return;
    switch (message.type) {
      case 'fullSync': {
        const all = this.assembleSync(message.instanceId, message);
        if (!all) return;
        this.state.watermarks.fullSyncTaken(message.instanceId, message.syncNumber);
        this.applyFullSync(message.instanceId, message.syncNumber, message.shardEpochs, all);
        this.placement.setRequests(message.instanceId, message.requests);
        break;
      }
      case 'resourceRequests':
        this.placement.setRequests(message.instanceId, message.requests);
        break;
      case 'placements':
        this.state.watermarks.placementMessageTaken(message.instanceId);
        for (const placement of message.placements)
          if (this.state.isCurrentOwner(message.instanceId, placement.team)) this.applyPlacement(placement);
        break;
      case 'release':
        this.releaseAllocations(message.instanceId, message.tasks, message.grants);
        break;
      case 'cancellationCoverage':
        this.advanceWatermarks(
          message.instanceId,
          message.syncNumber,
          message.placementMessages,
          message.shardEpochs,
          message.leaderTimestamp,
        );
        return;
    }
    this.state.isDirty = true;
    this.options.wake();
  }

  /**
   * All placements of a full sync once its last part has come. A connection made anew in between loses any of the parts:
   * then there is none, and the owner is asked again, or tasks in the lost part would be taken for nobody's and stopped.
   */
  private assembleSync(
    instanceId: string,
    chunk: Extract<ShardMessage, { type: 'fullSync' }>,
  ): PlacementSpec[] | null {
    const begun = this.syncsInProgress.get(instanceId);
    this.syncsInProgress.delete(instanceId);
    if (
      chunk.chunkIndex > 0 &&
      (begun?.syncNumber !== chunk.syncNumber || begun.nextChunk !== chunk.chunkIndex)
    ) {
      this.requestSync(instanceId);
      return null;
    }
    const placements =
      chunk.chunkIndex === 0 ? [...chunk.placements] : [...begun!.placements, ...chunk.placements];
    if (chunk.chunkIndex === chunk.chunkCount - 1) return placements;
    this.syncsInProgress.set(instanceId, {
      syncNumber: chunk.syncNumber,
      nextChunk: chunk.chunkIndex + 1,
      placements: placements,
    });
    return null;
  }

  /** A message with a stop may be lost with its connection: then the horizon stays, and all is told again. */
  private advanceWatermarks(
    instanceId: string,
    sync: number,
    n: number,
    shardEpochs: Record<string, number>,
    mark: number,
  ): void {
    if (mark > this.options.clock.now()) return;
    if (!this.state.watermarks.isComplete(instanceId, sync, n)) return this.requestSync(instanceId);
    for (const [team, shardEpoch] of Object.entries(shardEpochs)) {
      const owner = this.state.owners.get(team);
      if (owner?.instanceId === instanceId && owner.shardEpoch === shardEpoch && owner.isSynced)
        this.state.watermarks.advance(team, mark);
    }
  }

  /** How long a team's owner has told of no cancellations; it counts from when it got the team. */
  coverageSilenceMs(team: string, now: number): number {
    const since = this.state.owners.get(team)?.since ?? now;
    return now - Math.max(since, this.state.watermarks.of(team));
  }

  /** A sibling has stored a cancellation. Also without the state service: its stops ride with answers at once. */
  onJobCancelled(job: string): void {
    for (const machine of this.state.cancel(job)) this.machinesToContact.add(machine);
    this.options.wake();
  }

  coverage(): { at: number; pendingMachines: string[] } | null {
    return this.state.coverage();
  }

  private applyFullSync(
    instanceId: string,
    sync: number,
    shardEpochs: Record<string, number>,
    placements: PlacementSpec[],
  ): void {
    const teams = new Set<string>();
    for (const [team, shardEpoch] of Object.entries(shardEpochs)) {
      const owner = this.state.owners.get(team);
      if (owner?.instanceId !== instanceId || owner.shardEpoch !== shardEpoch) continue;
      owner.isSynced = true;
      teams.add(team);
    }
    this.options.log.debug({ inst: instanceId, teams: [...teams], held: placements.length }, 'owner synced');
    const keep = new Set<string>();
    for (const placement of placements)
      if (teams.has(placement.team))
        keep.add(taskKey(placement.jobId, placement.taskIndex, placement.attempt));
    for (const machine of this.state.machines.values())
      for (const allocation of machine.allocations.values())
        if (teams.has(allocation.team) && (allocation.desiredState === 'hold' || !keep.has(allocation.key)))
          this.state.removeAllocation(machine, allocation);
    for (const placement of placements) {
      if (!teams.has(placement.team)) continue;
      const allocation = this.applyPlacement(placement);
      if (allocation) allocation.lastEventSent = '';
    }
    this.options.send(instanceId, {
      type: 'syncAccepted',
      fencingToken: this.state.fencingToken,
      syncNumber: sync,
    });
    this.options.send(instanceId, {
      type: 'timestamp',
      fencingToken: this.state.fencingToken,
      leaderTimestamp: this.options.clock.now(),
    });
    for (const machine of this.state.machines.values())
      for (const allocation of machine.allocations.values())
        if (teams.has(allocation.team)) this.emitStatus(machine, allocation);
  }

  private applyPlacement(placement: PlacementSpec): Allocation | null {
    if (placement.isService)
      this.state.learnServiceProfile({
        ...this.state.requestLike(placement),
        zoneAllowance: placement.spreadOverZones ? {} : null,
      });
    const key = taskKey(placement.jobId, placement.taskIndex, placement.attempt);
    if (this.state.deletedMachines.has(placement.machine)) {
      this.emit(placement.team, {
        type: 'finalized',
        jobId: placement.jobId,
        taskIndex: placement.taskIndex,
        attempt: placement.attempt,
        machine: placement.machine,
      });
      return null;
    }
    const machine = this.state.machine(placement.machine);
    this.state.markChanged(machine);
    if (placement.grantId > 0) {
      const g = machine.allocations.get(`grant#${placement.grantId}`);
      if (g?.jobId === placement.jobId) this.state.removeAllocation(machine, g);
    }
    let allocation = machine.allocations.get(key);
    if (!allocation) {
      // A reap of what this scheduler never knew: only the worker's list matters.
      allocation = createAllocation(placement, this.options.clock.now());
      machine.allocations.set(key, allocation);
      allocation.reported = machine.tasks.get(key) ?? null;
      allocation.hasExited = allocation.reported?.phase === 'exited';
    } else {
      // A stop is not taken back.
      if (placement.desiredState === 'forget' && allocation.desiredState !== 'forget')
        allocation.phaseSince = this.options.clock.now();
      if (!(allocation.desiredState === 'stop' && placement.desiredState === 'run'))
        allocation.desiredState = placement.desiredState;
      allocation.gracePeriodSeconds = placement.gracePeriodSeconds;
      allocation.agentEpoch = placement.agentEpoch > 0 ? placement.agentEpoch : allocation.agentEpoch;
    }
    if (
      allocation.desiredState === 'stop' ||
      (allocation.desiredState === 'run' && this.options.isCancelled(allocation.jobId))
    )
      this.state.noteStop(machine, allocation);
    if (
      allocation.desiredState === 'forget' &&
      machine.isUp &&
      !machine.tasks.has(key) &&
      !allocation.directStartInFlight &&
      allocation.sentWithHeartbeat < 0
    ) {
      this.state.removeAllocation(machine, allocation);
      return null;
    }
    if (machine.isUp && machine.agentEpoch > allocation.agentEpoch && allocation.desiredState !== 'forget')
      allocation.isFinalized = true;
    this.reconcileMissing(machine, allocation);
    this.emitStatus(machine, allocation);
    this.machinesToContact.add(machine);
    return allocation;
  }

  private releaseAllocations(
    instanceId: string,
    tasks: { machine: string; taskKey: string }[],
    grants: number[],
  ): void {
    for (const t of tasks) {
      const machine = this.state.machines.get(t.machine);
      const allocation = machine?.allocations.get(t.taskKey);
      if (
        machine &&
        allocation &&
        this.state.isCurrentOwner(instanceId, allocation.team) &&
        (allocation.isFinalized || allocation.desiredState === 'pending')
      )
        this.state.removeAllocation(machine, allocation);
    }
    // A grant its owner can't use is not offered again at once.
    const until = this.options.clock.now() + 300;
    for (const id of grants) {
      const allocation = this.state.allocationOfGrant(id);
      if (allocation) this.placement.declinedUntil.set(allocation.jobId, until);
    }
    this.state.dropGrants(grants);
  }

  private emit(team: string, event: AllocationEvent): void {
    const owner = this.state.owners.get(team);
    if (!owner?.isSynced) return;
    const l = this.eventsToSend.get(owner.instanceId);
    if (l) l.push(event);
    else this.eventsToSend.set(owner.instanceId, [event]);
  }

  private emitStatus(machine: Machine, allocation: Allocation): void {
    if (isWithoutStoredPlacement(allocation)) return;
    const text = allocation.isFinalized
      ? 'settled'
      : allocation.reported
        ? `${allocation.reported.phase}/${allocation.reported.exitReason ?? ''}`
        : '';
    if (text === '' || text === allocation.lastEventSent || !this.state.isSynced(allocation.team)) return;
    allocation.lastEventSent = text;
    const id = {
      jobId: allocation.jobId,
      taskIndex: allocation.taskIndex,
      attempt: allocation.attempt,
      machine: machine.name,
    };
    if (allocation.isFinalized) this.emit(allocation.team, { type: 'finalized', ...id });
    else if (allocation.reported)
      this.emit(allocation.team, {
        type: 'phase',
        ...id,
        phase: allocation.reported.phase,
        exitReason: allocation.reported.exitReason,
        checkpointSaved: allocation.reported.checkpointSaved,
      });
  }

  /** A report. Null: answer that this controller is not entitled; `later`: nothing that would renew its lease. */
  handleHeartbeat(heartbeat: Heartbeat): WorkerCommand[] | 'later' | null {
    if (heartbeat.fencingToken > this.state.fencingToken) {
      this.options.onHigherToken(heartbeat.fencingToken);
      return null;
    }
    if (this.state.deletedMachines.has(heartbeat.machine)) return [];
    const machine = this.state.machine(heartbeat.machine);
    const now = this.options.clock.now();
    const late =
      heartbeat.agentEpoch < machine.agentEpoch ||
      (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.heartbeatSequence);
    // A late copy proves no life. Of an old report only this stays true for ever: the season it names had begun, and
    // a task it lists as ended had ended; neither is taken from it where something newer was heard.
    if (late) return [];
    if (machine.leaseRenewed) this.checkAnswersArrive(machine, heartbeat, now);
    machine.heardAt = now;
    if (machine.missedAnswers === 0) machine.failedDirectCalls = 0;
    machine.heartbeatAt = now;
    const fresh = isNewer(machine, heartbeat);
    const before = machine.heartbeatSequence;
    machine.heartbeatSequence = heartbeat.sequence;
    if (fresh) this.reconcile(machine, heartbeat, true);
    else if (before < 0 || heartbeat.agentEpoch === machine.agentEpoch) {
      // Overtaken by the answer to a direct command: its list is old, but it is still waiting for an answer.
      for (const allocation of machine.allocations.values())
        if (allocation.sentWithHeartbeat >= 0 && heartbeat.sequence > allocation.sentWithHeartbeat)
          allocation.sentWithHeartbeat = -1;
    }
    this.options.wake();
    machine.leaseRenewed = this.state.canRenewLease(machine, now);
    return machine.leaseRenewed ? this.commandsFor(machine, heartbeat.sequence) : 'later';
  }

  /**
   * A machine whose reports arrive while nothing told to it does looks alive. It shows by what it does not do: its
   * next report is without the token or the starts of the last answer, or its lease ran out although it was answered.
   */
  private checkAnswersArrive(machine: Machine, heartbeat: Heartbeat, now: number): void {
    if (machine.heartbeatSequence < 0) return;
    let missed = false;
    let heard = false;
    if (heartbeat.agentEpoch > machine.agentEpoch)
      missed = now - machine.heartbeatAt < this.options.workerTiming.leaseSeconds * 500;
    else if (heartbeat.fencingToken < this.state.fencingToken) missed = true;
    else
      for (const allocation of machine.allocations.values()) {
        if (
          allocation.desiredState !== 'run' ||
          allocation.sentWithHeartbeat < 0 ||
          heartbeat.sequence <= allocation.sentWithHeartbeat
        )
          continue;
        if (
          heartbeat.tasks.some(
            (status) =>
              status.jobId === allocation.jobId &&
              status.taskIndex === allocation.taskIndex &&
              status.attempt === allocation.attempt,
          )
        )
          heard = true;
        else missed = true;
      }
    if (missed) {
      if (machine.missedAnswers++ === 0) machine.missedAnswersSince = now;
      if (machine.missedAnswers === 2)
        this.options.log.info({ machine: machine.name }, 'machine is heard but seems not to hear');
    } else if (
      heard ||
      (heartbeat.fencingToken === this.state.fencingToken && machine.fencingToken < this.state.fencingToken)
    )
      machine.missedAnswers = 0;
  }

  private reconcile(machine: Machine, heartbeat: Heartbeat, asReport: boolean): void {
    const now = this.options.clock.now();
    const known = machine.isUp;
    if (heartbeat.agentEpoch > machine.agentEpoch) {
      machine.indeterminateStarts.clear();
      for (const allocation of machine.allocations.values()) allocation.sentWithHeartbeat = -1;
    }
    machine.address = heartbeat.address;
    machine.machineType = heartbeat.machineType;
    machine.zone = heartbeat.zone;
    machine.isSpot = heartbeat.isSpot;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequence = heartbeat.sequence;
    machine.fencingToken = Math.max(machine.fencingToken, heartbeat.fencingToken);
    if (heartbeat.fencingToken === this.state.fencingToken) machine.hasCurrentToken = true;
    machine.heardAt = now;
    machine.isUp = true;
    if (!known) machine.upAt = now;
    machine.evictionDeadline =
      heartbeat.evictionNoticeSeconds === null ? null : now + heartbeat.evictionNoticeSeconds * 1000;
    for (const [key, token] of machine.indeterminateStarts)
      if (heartbeat.fencingToken > token) machine.indeterminateStarts.delete(key);
    if (!known) {
      machine.idleSince = now;
      this.options.log.debug(
        { machine: machine.name, type: machine.machineType, zone: machine.zone, spot: machine.isSpot },
        'machine up',
      );
    }
    this.state.markChanged(machine);
    machine.tasks.clear();
    this.state.endedAttempts.update(machine, heartbeat.tasks);
    for (const status of heartbeat.tasks)
      machine.tasks.set(taskKey(status.jobId, status.taskIndex, status.attempt), status);
    for (const allocation of [...machine.allocations.values()]) {
      if (allocation.desiredState === 'hold') {
        if (allocation.agentEpoch !== machine.agentEpoch) this.state.removeAllocation(machine, allocation);
        continue;
      }
      const status = machine.tasks.get(allocation.key) ?? null;
      if (allocation.desiredState === 'stop' || (allocation.desiredState === 'run' && !status))
        this.machinesToContact.add(machine);
      if (status) {
        // The answer that carried its start has been handled, or was dropped.
        if (asReport && heartbeat.sequence > allocation.sentWithHeartbeat) allocation.sentWithHeartbeat = -1;
        if (status.phase !== allocation.reported?.phase) this.onPhaseChange(machine, allocation, status, now);
        allocation.reported = status;
        allocation.hasExited = status.phase === 'exited';
        allocation.isFinalized = false;
      } else {
        if (machine.agentEpoch > allocation.agentEpoch) {
          if (allocation.desiredState === 'forget') {
            this.state.removeAllocation(machine, allocation);
            continue;
          }
          allocation.isFinalized = true;
          allocation.reported = null;
        } else {
          if (
            asReport &&
            allocation.sentWithHeartbeat >= 0 &&
            heartbeat.sequence > allocation.sentWithHeartbeat
          )
            allocation.sentWithHeartbeat = -1;
          if (
            allocation.desiredState === 'forget' &&
            !allocation.directStartInFlight &&
            allocation.sentWithHeartbeat < 0
          ) {
            this.state.removeAllocation(machine, allocation);
            continue;
          }
          allocation.reported = null;
          this.reconcileForgotten(machine, allocation);
          this.reconcileMissing(machine, allocation);
        }
      }
      this.emitStatus(machine, allocation);
    }
    for (const key of machine.directlyStarted)
      if (!machine.tasks.has(key) && !machine.allocations.has(key)) machine.directlyStarted.delete(key);
    for (const key of machine.unknownTasks.keys())
      if (!machine.tasks.has(key)) machine.unknownTasks.delete(key);
    for (const key of machine.tasks.keys())
      if (!machine.allocations.has(key) && !machine.unknownTasks.has(key)) machine.unknownTasks.set(key, now);
  }

  private onPhaseChange(machine: Machine, allocation: Allocation, t: TaskStatus, now: number): void {
    if (t.phase === 'running' || t.phase === 'waiting') {
      machine.images.delete(allocation.image);
      machine.images.set(allocation.image, allocation.imageGb);
      this.options.images.learn(machine.name, allocation.image, allocation.imageGb);
      this.trimImageCache(machine);
      if (t.phase === 'running') allocation.phaseSince = now;
    }
    if (t.phase === 'fetching' || t.phase === 'waiting') allocation.startObserved = true;
    if (t.phase !== 'exited') return;
    if (t.exitReason === 'error') {
      machine.failedJobs.set(allocation.jobId, now);
      if (machine.failedJobs.size >= 2 && !machine.isQuarantined) {
        machine.isQuarantined = true;
        this.options.log.info(
          { machine: machine.name, jobs: [...machine.failedJobs.keys()] },
          'machine retired: several jobs fail on it',
        );
      }
    } else if (t.exitReason === 'done') {
      machine.failedJobs.delete(allocation.jobId);
      // What ran before this scheduler led looks much too fast: whoever was measured in full looked slow beside it, and
      // a new scheduler retired half its fleet (seen on rekrut-szkoly-fleet, apart).
      // A gang runs at the speed of its slowest machine: its run time tells nothing of the others (seen on
      // bhuj-relief-works: 37 healthy machines retired on a day without troubles).
      if (allocation.estimatedRunSeconds > 0 && allocation.startObserved && !allocation.isGang)
        this.recordSlowdown(machine, (now - allocation.phaseSince) / 1000 / allocation.estimatedRunSeconds);
    }
  }

  /** A task's run time against its estimate, as a moving mean; compared with the other machines' means. */
  private recordSlowdown(machine: Machine, ratio: number): void {
    machine.measuredRuns++;
    machine.meanSlowdown = machine.measuredRuns === 1 ? ratio : machine.meanSlowdown * 0.7 + ratio * 0.3;
    if (machine.measuredRuns < 4 || machine.isQuarantined) return;
    const now = this.options.clock.now();
    if (now - this.medianSlowdown.at > 3000) {
      const all = [...this.state.machines.values()]
        .filter((x) => x.measuredRuns >= 3)
        .map((x) => x.meanSlowdown);
      all.sort((a, b) => a - b);
      this.medianSlowdown = { at: now, value: all.length > 3 ? (all[all.length >> 1] ?? 0) : 0 };
    }
    const median = this.medianSlowdown.value;
    if (median <= 0) return;
    if (machine.meanSlowdown > median * 2.5) {
      machine.isQuarantined = true;
      this.options.log.info(
        { machine: machine.name, ratio: machine.meanSlowdown, median },
        'machine retired: far slower than its peers',
      );
    }
  }

  private trimImageCache(machine: Machine): void {
    const cache = this.state.machineTypes.get(machine.machineType)?.imageCacheGb ?? Number.POSITIVE_INFINITY;
    let sum = 0;
    for (const sizeGb of machine.images.values()) sum += sizeGb;
    for (const [name, sizeGb] of machine.images) {
      if (sum <= cache) break;
      machine.images.delete(name);
      sum -= sizeGb;
    }
  }

  /**
   * Settled by absence: the worker has seen the current token, so starts under older ones are void; it does
   * not list the attempt; and no start of it under this token is on its way or in doubt.
   */
  private reconcileMissing(machine: Machine, allocation: Allocation): void {
    if (
      allocation.desiredState !== 'stop' ||
      allocation.isFinalized ||
      allocation.reported ||
      !machine.isUp ||
      allocation.agentEpoch !== machine.agentEpoch
    )
      return;
    if (machine.fencingToken !== this.state.fencingToken || machine.tasks.has(allocation.key)) return;
    if (
      allocation.directStartInFlight ||
      machine.directCallInFlight ||
      allocation.sentWithHeartbeat >= 0 ||
      machine.indeterminateStarts.has(allocation.key)
    )
      return;
    allocation.isFinalized = true;
    this.state.markChanged(machine);
  }

  /**
   * Settled by having ended: the worker listed it as ended, and was told to remove it when nobody claimed it. Its owner
   * may claim it only now; a start would run it once more, beside its successor (seen in hunt-f5ff-7: ran_twice).
   */
  private reconcileForgotten(machine: Machine, allocation: Allocation): void {
    if (
      !allocation.hasExited ||
      allocation.isFinalized ||
      allocation.desiredState === 'forget' ||
      allocation.desiredState === 'hold'
    )
      return;
    allocation.isFinalized = true;
    this.state.markChanged(machine);
  }

  private canStart(machine: Machine, allocation: Allocation): boolean {
    if (
      !machine.isUp ||
      machine.isBeingDeleted ||
      allocation.hasExited ||
      allocation.agentEpoch !== machine.agentEpoch ||
      !this.options.holdsLeadership()
    )
      return false;
    // What its owner told before a long silence may have been cancelled since.
    return (
      this.state.isSynced(allocation.team) && this.state.isCovered(allocation.team, this.options.clock.now())
    );
  }

  /** What this machine should do now. With `tally`: carried by the answer to that report. */
  private commandsFor(machine: Machine, sequence: number | null): WorkerCommand[] {
    const out: WorkerCommand[] = [];
    const reaps: WorkerCommand[] = [];
    const now = this.options.clock.now();
    let since = now;
    // Stops first: the answer that renews a lease carries all there are.
    for (const allocation of machine.allocations.values()) {
      if (allocation.desiredState !== 'stop' || allocation.isFinalized) continue;
      const status = machine.tasks.get(allocation.key);
      if (
        !status ||
        status.phase === 'exited' ||
        (status.phase === 'saving' && allocation.gracePeriodSeconds > 0)
      )
        continue;
      out.push({
        type: 'stop',
        jobId: allocation.jobId,
        taskIndex: allocation.taskIndex,
        attempt: allocation.attempt,
        gracePeriodSeconds: allocation.gracePeriodSeconds,
      });
    }
    for (const allocation of machine.allocations.values()) {
      if (out.length >= MAX_COMMANDS_PER_MESSAGE) break;
      if (allocation.desiredState === 'hold' || allocation.isFinalized) continue;
      const id = { jobId: allocation.jobId, taskIndex: allocation.taskIndex, attempt: allocation.attempt };
      const status = machine.tasks.get(allocation.key);
      if (allocation.desiredState === 'run') {
        if (status || allocation.directStartInFlight || !this.canStart(machine, allocation)) continue;
        if (sequence === null) {
          if (allocation.sentWithHeartbeat >= 0) continue;
          allocation.directStartInFlight = true;
          machine.directlyStarted.add(allocation.key);
        } else allocation.sentWithHeartbeat = sequence;
        allocation.startObserved = true;
        out.push({ type: 'start', ...id });
      } else if (allocation.desiredState === 'forget') {
        // A start that may still arrive would run the task again once it is forgotten.
        if (
          status?.phase !== 'exited' ||
          allocation.directStartInFlight ||
          allocation.sentWithHeartbeat >= 0 ||
          !this.canForget(machine, status, allocation.key)
        )
          continue;
        reaps.push({ type: 'forget', ...id });
        since = Math.min(since, allocation.phaseSince);
      }
    }
    // Each change of a machine's tasks makes it report once more: ended ones are removed together, or with something else.
    const atOnce = this.state.blockingMachines.has(machine.name) || now - since > MAX_FORGET_DELAY_MS;
    if (out.length > 0 || reaps.length >= FORGET_BATCH || atOnce) out.push(...reaps);
    if (machine.unknownTasks.size > 0) {
      const synced = this.state.allSynced();
      const entitled = this.options.holdsLeadership();
      for (const [key, since] of machine.unknownTasks) {
        if (out.length >= MAX_COMMANDS_PER_MESSAGE) break;
        const status = machine.tasks.get(key);
        if (!status || machine.allocations.has(key)) {
          machine.unknownTasks.delete(key);
          continue;
        }
        const cancelled = this.options.isCancelled(status.jobId);
        if (!synced && !(cancelled && status.phase !== 'exited')) continue;
        if (!cancelled && (now - since < 3000 || now - this.state.startedAt < 3000)) continue;
        const id = { jobId: status.jobId, taskIndex: status.taskIndex, attempt: status.attempt };
        // Nobody's, as far as all owners have told: also without entitlement, since later tokens bar it.
        if (status.phase !== 'exited') out.push({ type: 'stop', ...id, gracePeriodSeconds: 0 });
        else if (!entitled) continue;
        else if (this.canForget(machine, status, key)) out.push({ type: 'forget', ...id });
      }
    }
    return out;
  }

  /**
   * As long as a worker lists an ended attempt, repeating its start has no effect. A direct command that was carried
   * out may be repeated late, as long as its token is the highest: one that was stopped would run again, perhaps beside
   * its successor. What is done ends at once when it is started again.
   */
  private canForget(machine: Machine, status: TaskStatus, key: string): boolean {
    if (machine.indeterminateStarts.has(key)) return false;
    if (status.exitReason === 'done' || !machine.directlyStarted.has(key)) return true;
    // Its reports have a limit: under a higher token no repeat counts, and all may go.
    if (machine.tasks.size > MAX_EXITED_TASKS_LISTED)
      this.options.raiseFencingToken(`${machine.name} keeps ${machine.tasks.size} ended tasks`);
    return false;
  }

  /** Sends what there is straight to the worker, one call at a time. */
  private sendDirectly(machine: Machine, probe = false): void {
    if (machine.directCallInFlight || machine.address === '' || machine.isBeingDeleted) return;
    if (!probe && machine.failedDirectCalls > 0) return;
    const entitled = this.options.holdsLeadership();
    if (probe && !entitled) return;
    let commands = machine.isUp ? this.commandsFor(machine, null) : [];
    // A stop is right whoever leads now: what was started under a later token drops it.
    if (!entitled) commands = commands.filter((command) => command.type === 'stop');
    // Ended tasks take no room: their removal rides with the next answer or command.
    if (!probe && commands.every((command) => command.type === 'forget')) commands = [];
    if (commands.length === 0 && !probe) return;
    machine.directCallInFlight = true;
    machine.directCallAt = this.options.clock.now();
    const agentEpoch = machine.agentEpoch;
    const known = machine.sequence;
    const starts = commands
      .filter((command) => command.type === 'start')
      .map((c) => taskKey(c.jobId, c.taskIndex, c.attempt));
    this.options.workers.sendCommands(
      machine.address,
      { fencingToken: this.state.fencingToken, agentEpoch, commands },
      (res) => {
        machine.directCallInFlight = false;
        const maybe = !res.ok && res.kind === 'indeterminate';
        for (const key of starts) {
          const allocation = machine.allocations.get(key);
          if (allocation) allocation.directStartInFlight = false;
          if (maybe && machine.agentEpoch === agentEpoch) {
            if (machine.indeterminateStarts.size === 0) machine.indeterminateSince = this.options.clock.now();
            machine.indeterminateStarts.set(key, this.state.fencingToken);
          }
        }
        if (this.state.deletedMachines.has(machine.name)) return;
        const heartbeat = res.ok ? res.value : res.heartbeat;
        if (!heartbeat) {
          machine.failedDirectCalls++;
          if (starts.length > 0 && !res.ok)
            this.options.log.debug(
              { machine: machine.name, kind: res.kind, starts: starts.length },
              'direct command failed',
            );
        } else {
          if (heartbeat.fencingToken > this.state.fencingToken)
            return this.options.onHigherToken(heartbeat.fencingToken);
          machine.failedDirectCalls = 0;
          machine.missedAnswers = 0;
          machine.heardAt = this.options.clock.now();
          // An answer is newer than all that was heard before its question, or its worker began anew and knows nothing of
          // what was placed there: its reports would pass for late copies until its count has caught up.
          if (
            heartbeat.machine === machine.name &&
            (heartbeat.agentEpoch < agentEpoch ||
              (heartbeat.agentEpoch === agentEpoch && heartbeat.sequence <= known))
          )
            this.deleteMachine(machine, 'its worker began anew');
          else if (heartbeat.machine === machine.name && isNewer(machine, heartbeat))
            this.reconcile(machine, heartbeat, false);
        }
        this.state.isDirty = true;
        this.sendDirectly(machine);
        this.options.wake();
      },
    );
  }

  // ---- cloud ----------------------------------------------------------------------------------------

  private refreshMachineList(now: number): void {
    if (this.listInFlight || now < this.nextListAt || !this.options.holdsLeadership()) return;
    this.listInFlight = true;
    const all: ListedMachine[] = [];
    const page = (since: string) => {
      this.options.cloud.listMachines(since, (result) => {
        if (!result.ok) {
          this.listInFlight = false;
          this.nextListAt = this.options.clock.now() + 2000;
          return;
        }
        all.push(...result.value.machines);
        const last = result.value.machines.at(-1);
        if (result.value.more && last) return page(last.name);
        this.listInFlight = false;
        this.nextListAt = this.options.clock.now() + Math.max(3000, this.options.machineListLagSeconds * 500);
        this.reconcileMachineList(all);
        this.options.wake();
      });
    };
    page('');
  }

  private reconcileMachineList(all: ListedMachine[]): void {
    const now = this.options.clock.now();
    for (const l of all) {
      if (this.state.deletedMachines.has(l.name)) continue;
      let machine = this.state.machines.get(l.name);
      if (!machine) {
        machine = this.state.machine(l.name);
        machine.rentedAt = now - l.ageSeconds * 1000;
        this.options.log.debug(
          { machine: l.name, type: l.machineType, phase: l.phase },
          'machine found in the list',
        );
      }
      if (!machine.isUp) {
        machine.machineType = l.machineType;
        machine.zone = l.zone;
        machine.isSpot = l.isSpot;
        machine.address = l.address;
      }
      machine.listedAsRunning = l.phase === 'running';
      if (l.phase === 'failed') this.deleteMachine(machine, 'failed');
      // Our token ends whatever an earlier scheduler has on its way, and makes the worker report.
      if (!machine.isUp && l.phase === 'running' && l.address !== '' && now - machine.directCallAt > 2000)
        this.sendDirectly(machine, true);
    }
    this.state.machinesListed = true;
  }

  private deleteMachine(machine: Machine, reason: string): void {
    if (machine.isBeingDeleted) return;
    machine.isBeingDeleted = true;
    this.deletionQueue.add(machine.name);
    for (const allocation of machine.allocations.values())
      if (allocation.desiredState === 'hold') this.state.removeAllocation(machine, allocation);
    this.options.log.info(
      {
        machine: machine.name,
        type: machine.machineType,
        spot: machine.isSpot,
        why: reason,
        tasks: machine.allocations.size,
      },
      'machine returned',
    );
  }

  private flushDeletions(now: number): void {
    if (
      this.deletionInFlight ||
      this.deletionQueue.size === 0 ||
      now < this.deletionRetryAt ||
      !this.options.holdsLeadership()
    )
      return;
    const names = [...this.deletionQueue].slice(0, 100);
    this.deletionInFlight = true;
    this.options.cloud.deleteMachines(names, (result) => {
      this.deletionInFlight = false;
      if (!result.ok) {
        this.deletionRetryAt = this.options.clock.now() + 1000;
        return;
      }
      for (const n of names) {
        this.deletionQueue.delete(n);
        this.onMachineDeleted(n);
      }
      this.options.wake();
    });
  }

  /** The cloud answered the deletion: the machine and all on it are gone. */
  private onMachineDeleted(name: string): void {
    this.state.deletedMachines.add(name);
    this.options.images.forget(name);
    if (this.state.deletedMachines.size > 20000)
      for (const x of [...this.state.deletedMachines].slice(0, 5000)) this.state.deletedMachines.delete(x);
    const machine = this.state.machines.get(name);
    if (!machine) return;
    for (const allocation of [...machine.allocations.values()]) {
      if (!isWithoutStoredPlacement(allocation) && allocation.desiredState !== 'forget')
        this.emit(allocation.team, {
          type: 'finalized',
          jobId: allocation.jobId,
          taskIndex: allocation.taskIndex,
          attempt: allocation.attempt,
          machine: name,
        });
      this.state.removeAllocation(machine, allocation);
    }
    this.state.machines.delete(name);
    this.state.endedAttempts.update(machine, []);
    this.state.markChanged(machine);
    this.state.rentalBackoff.onFreed(machine);
  }

  /** Messages may be lost with a connection: who has not told all it holds is asked again. */
  private requestMissingSyncs(now: number): void {
    if (now < this.nextSyncRequestAt) return;
    this.nextSyncRequestAt = now + 1500;
    const asked = new Set<string>();
    for (const owner of this.state.owners.values()) if (!owner.isSynced) asked.add(owner.instanceId);
    for (const instanceId of asked)
      this.options.send(instanceId, { type: 'syncRequested', fencingToken: this.state.fencingToken });
  }

  /** A stop that its owner did not act on is asked for again. */
  private expireEvictions(now: number): void {
    for (const allocation of this.state.evictions) {
      if (allocation.desiredState === 'run' && now - allocation.evictionRequestedAt <= 5000) continue;
      this.state.evictions.delete(allocation);
      if (allocation.desiredState !== 'run') continue;
      allocation.evictionRequestedAt = 0;
      const machine = this.state.machines.get(allocation.machine);
      if (machine) this.state.markChanged(machine);
    }
  }

  /** Tasks on a machine about to be taken, or retired, move while there is time. */
  private drainMachines(now: number): void {
    for (const machine of this.state.machines.values()) {
      if (machine.isBeingDeleted || (machine.evictionDeadline === null && !machine.isQuarantined)) continue;
      const moves: Allocation[] = [];
      for (const allocation of machine.allocations.values()) {
        if (allocation.desiredState !== 'run' || allocation.evictionRequestedAt) continue;
        if (
          machine.evictionDeadline !== null &&
          !allocation.isService &&
          allocation.estimatedRunSeconds > 0 &&
          allocation.reported?.phase === 'running'
        ) {
          // What will be finished before the machine goes is left to finish.
          if (
            allocation.estimatedRunSeconds * 0.8 - (now - allocation.phaseSince) / 1000 <
            (machine.evictionDeadline - now) / 1000
          )
            continue;
        } else if (machine.isQuarantined && machine.evictionDeadline === null && !allocation.isService)
          continue;
        moves.push(allocation);
      }
      this.state.requestEvictions(moves, now, `${machine.name} leaves`);
    }
  }

  /** Machines that asked siblings, as those tell. */
  onMachinesRedirected(names: string[]): void {
    this.failureDetector.onRedirected(names);
  }

  private checkIndeterminateStarts(now: number): void {
    for (const machine of this.state.machines.values()) {
      if (
        machine.indeterminateStarts.size === 0 ||
        machine.isBeingDeleted ||
        now - machine.indeterminateSince < 10000
      )
        continue;
      for (const allocation of machine.allocations.values()) {
        if (
          allocation.desiredState !== 'stop' ||
          allocation.reported ||
          allocation.isFinalized ||
          !machine.indeterminateStarts.has(allocation.key)
        )
          continue;
        this.options.raiseFencingToken(`start of ${allocation.key} on ${machine.name} may still arrive`);
        return;
      }
    }
  }

  // ---- work at the end of each batch of commands ----------------------------------------------------------

  flush(): void {
    const now = this.options.clock.now();
    for (const [instanceId, seen] of this.eventsToSend)
      this.options.send(instanceId, {
        type: 'allocationEvents',
        fencingToken: this.state.fencingToken,
        events: seen,
      });
    this.eventsToSend.clear();
    for (const machine of this.machinesToContact) this.sendDirectly(machine);
    this.machinesToContact.clear();
    if (!this.state.isDirty) return;
    if (now < this.nextPassAt) {
      if (!this.passScheduled) {
        this.passScheduled = true;
        this.options.clock.after(Math.max(1, this.nextPassAt - now), () => {
          this.passScheduled = false;
          this.options.wake();
        });
      }
      return;
    }
    this.state.isDirty = false;
    const left = this.placement.runPass(now);
    if (now >= this.nextScaleAt) {
      const from = this.options.clock.now();
      this.fleet.scaleFleet(now, left);
      // Looks at the whole fleet: less often when that takes long.
      this.nextScaleAt = now + Math.min(3000, Math.max(1000, (this.options.clock.now() - from) * 40));
    }
    this.flushDeletions(now);
    // A pass that takes long is made less often: what comes meanwhile shares the next one.
    const after = this.options.clock.now();
    this.nextPassAt = after + Math.min(500, Math.max(30, (after - now) * 5));
  }

  tick(): void {
    const now = this.options.clock.now();
    this.fleet.logFleet(now);
    this.state.refresh();
    this.state.policy = this.options.policy(this.state.policyInput());
    for (const machine of this.state.machines.values())
      if (machine.totals.hasPendingCommands || (machine.unknownTasks.size > 0 && machine.isUp))
        this.machinesToContact.add(machine);
    this.refreshMachineList(now);
    this.failureDetector.check(now);
    this.checkIndeterminateStarts(now);
    this.expireEvictions(now);
    this.requestMissingSyncs(now);
    this.drainMachines(now);
    this.fleet.consolidate(now);
    this.flushDeletions(now);
    this.state.isDirty = true;
    this.options.wake();
  }

  /** For logs and tests. */
  stats(): Record<string, number> {
    let up = 0;
    let entries = 0;
    for (const machine of this.state.machines.values()) {
      if (machine.isUp) up++;
      entries += machine.allocations.size;
    }
    return { machines: this.state.machines.size, up, entries, holds: this.state.openGrants.size };
  }
}
