/** Handles shard owners' messages: full syncs, placements, requests, releases and cancellation coverage. */

import { attemptKey } from '../../model/job.js';
import type { PlacementSpec } from '../../model/placement.js';
import type { ShardOwnerMessage } from '../../model/shard-messages.js';
import type { ClusterState } from '../cluster-state.js';
import type { PlacementEngine } from '../placement/placement-engine.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import type { AllocationEvents } from './allocation-events.js';
import type { PlacementHandler } from './placement-handler.js';
import { SyncAssembly, type SyncChunk } from './sync-assembly.js';

/** Interval at which missing full syncs are requested again. */
const SYNC_REQUEST_INTERVAL_MS = 1500;
/** How long a job gets no grants after its owner declined one: its request is about to change. */
const DECLINED_PAUSE_MS = 300;

type CoverageMessage = Extract<ShardOwnerMessage, { type: 'cancellationCoverage' }>;
type ReleaseMessage = Extract<ShardOwnerMessage, { type: 'release' }>;

/** Applies shard owners' messages to the cluster state, and requests a full sync if messages were lost. */
export class ShardOwnerHandler {
  private readonly syncAssembly = new SyncAssembly();
  private nextSyncRequestAt = 0;

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
    private readonly components: {
      readonly events: AllocationEvents;
      readonly placementHandler: PlacementHandler;
      readonly engine: PlacementEngine;
    },
  ) {}

  /** Updates which instance owns which team, from the stored records. */
  setOwners(records: Map<string, { instanceId: string; shardEpoch: number }>): void {
    for (const [team, { instanceId, shardEpoch }] of records) {
      const existing = this.state.owners.get(team);
      if (existing && existing.instanceId === instanceId && existing.shardEpoch === shardEpoch) continue;
      this.state.owners.set(team, {
        instanceId,
        shardEpoch,
        isSynced: false,
        since: this.options.clock.now(),
      });
      this.state.removeGrants(
        [...this.state.machinesByGrant.keys()].filter(
          (id) => this.state.allocationOfGrant(id)?.team === team,
        ),
      );
      // The owner's full sync was ignored if it arrived before this leader knew of the record.
      this.sendSyncRequest(instanceId);
    }
  }

  /**
   * Treats a team's present owner as not synced: its placements for the team are ignored and its requests are
   * not served until its next full sync.
   */
  suspendOwner(team: string): void {
    const owner = this.state.owners.get(team);
    if (owner) owner.isSynced = false;
  }

  /**
   * Requests a full sync from an instance. Until it has been applied, the instance's placements are ignored
   * and its requests are not served.
   */
  requestSync(instanceId: string): void {
    for (const owner of this.state.owners.values())
      if (owner.instanceId === instanceId) owner.isSynced = false;
    this.sendSyncRequest(instanceId);
  }

  /**
   * Repeats the requests for full syncs to owners that are not synced: messages may be lost with a
   * connection.
   */
  requestMissingSyncs(now: number): void {
    if (now < this.nextSyncRequestAt) return;
    this.nextSyncRequestAt = now + SYNC_REQUEST_INTERVAL_MS;
    const instanceIds = new Set<string>();
    for (const owner of this.state.owners.values()) if (!owner.isSynced) instanceIds.add(owner.instanceId);
    for (const instanceId of instanceIds) this.sendSyncRequest(instanceId);
  }

  /**
   * The age, in ms, of a team's cancellation watermark (the time before which all its stored cancellations
   * have become stops), or the time since its owner became known if shorter.
   */
  coverageAgeMs(team: string, now: number): number {
    const since = this.state.owners.get(team)?.since ?? now;
    return now - Math.max(since, this.state.leaseRenewal.watermarks.watermarkOf(team));
  }

  /**
   * Handles a message of a shard owner. Returns whether it may have changed something that matters to a
   * placement pass.
   */
  handle(message: ShardOwnerMessage): boolean {
    if (message.fencingToken !== this.state.fencingToken) return false;
    switch (message.type) {
      case 'fullSync':
        return this.handleSyncChunk(message);
      case 'resourceRequests':
        this.components.engine.setRequests(message.instanceId, message.requests);
        return true;
      case 'placements':
        this.state.leaseRenewal.watermarks.onPlacementMessage(message.instanceId);
        for (const placement of message.placements)
          if (this.state.isSyncedOwner(message.instanceId, placement.team))
            this.components.placementHandler.apply(placement);
        return true;
      case 'release':
        this.release(message);
        return true;
      case 'cancellationCoverage':
        this.advanceWatermarks(message);
        return false;
    }
  }

  private handleSyncChunk(chunk: SyncChunk): boolean {
    const { instanceId, syncNumber } = chunk;
    const result = this.syncAssembly.add(chunk);
    switch (result.kind) {
      case 'partial':
        return false;
      case 'chunkLost':
        this.requestSync(instanceId);
        return false;
      case 'complete':
        this.state.leaseRenewal.watermarks.onFullSyncApplied(instanceId, syncNumber);
        this.applyFullSync(chunk, result.placements);
        this.components.engine.setRequests(instanceId, chunk.requests);
        return true;
    }
  }

  /** Applies a full sync: `lastChunk` identifies it, and `placements` are those of all its chunks. */
  private applyFullSync(lastChunk: SyncChunk, placements: PlacementSpec[]): void {
    const { instanceId, syncNumber } = lastChunk;
    const teams = this.recordSyncedTeams(lastChunk);
    this.options.log.debug(
      { instanceId, teams: [...teams], placements: placements.length },
      'full sync applied',
    );
    this.removeUnlisted(teams, placements);
    for (const placement of placements) {
      if (!teams.has(placement.team)) continue;
      const allocation = this.components.placementHandler.apply(placement);
      if (allocation) allocation.lastSentStatusKey = '';
    }
    const { fencingToken } = this.state;
    this.options.send(instanceId, { type: 'syncAccepted', fencingToken, syncNumber });
    this.options.send(instanceId, {
      type: 'timestamp',
      fencingToken,
      leaderTimestamp: this.options.clock.now(),
    });
    for (const machine of this.state.machines.values())
      for (const allocation of machine.allocations.values())
        if (teams.has(allocation.team)) this.components.events.emitStatus(machine, allocation);
  }

  /** Records as synced the teams that the sender owns under the epochs it names, and returns them. */
  private recordSyncedTeams({ instanceId, shardEpochs }: SyncChunk): Set<string> {
    const teams = new Set<string>();
    for (const [team, shardEpoch] of Object.entries(shardEpochs)) {
      const owner = this.state.owners.get(team);
      if (owner?.instanceId !== instanceId || owner.shardEpoch !== shardEpoch) continue;
      owner.isSynced = true;
      teams.add(team);
    }
    return teams;
  }

  /** Removes the teams' allocations that the sync does not list, and all grants issued before it. */
  private removeUnlisted(teams: ReadonlySet<string>, placements: readonly PlacementSpec[]): void {
    const listed = new Set<string>();
    for (const placement of placements)
      if (teams.has(placement.team))
        listed.add(attemptKey(placement.jobId, placement.taskIndex, placement.attempt));
    for (const machine of this.state.machines.values())
      for (const allocation of machine.allocations.values())
        if (
          teams.has(allocation.team) &&
          (allocation.desiredState === 'granted' || !listed.has(allocation.key))
        )
          this.state.removeAllocation(machine, allocation);
  }

  /**
   * Advances the watermarks of the sender's teams. If a message since its last full sync was lost, it may
   * have contained a stop: then the watermarks stay as they are, and another full sync is requested.
   */
  private advanceWatermarks(message: CoverageMessage): void {
    const { instanceId, syncNumber, placementMessages, shardEpochs, leaderTimestamp } = message;
    const { watermarks } = this.state.leaseRenewal;
    if (leaderTimestamp > this.options.clock.now()) return;
    if (!watermarks.isComplete(instanceId, syncNumber, placementMessages)) {
      this.requestSync(instanceId);
      return;
    }
    for (const [team, shardEpoch] of Object.entries(shardEpochs)) {
      const owner = this.state.owners.get(team);
      if (owner?.instanceId === instanceId && owner.shardEpoch === shardEpoch && owner.isSynced)
        watermarks.advance(team, leaderTimestamp);
    }
  }

  /**
   * Removes the allocations of placements that need no further action, and the grants that the owner did not
   * use.
   */
  private release({ instanceId, tasks, grants }: ReleaseMessage): void {
    for (const { machine: name, attemptKey: key } of tasks) {
      const machine = this.state.machines.get(name);
      const allocation = machine?.allocations.get(key);
      if (
        machine &&
        allocation &&
        this.state.isSyncedOwner(instanceId, allocation.team) &&
        (allocation.isFinalized || allocation.desiredState === 'pending')
      )
        this.state.removeAllocation(machine, allocation);
    }
    const until = this.options.clock.now() + DECLINED_PAUSE_MS;
    for (const id of grants) {
      const allocation = this.state.allocationOfGrant(id);
      if (allocation) this.components.engine.declinedUntil.set(allocation.jobId, until);
    }
    this.state.removeGrants(grants);
  }

  private sendSyncRequest(instanceId: string): void {
    this.options.send(instanceId, { type: 'syncRequested', fencingToken: this.state.fencingToken });
  }
}
