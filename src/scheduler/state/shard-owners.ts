/** The controllers that own the teams' shards, as known to the leader. */

import type { Team } from '../../model/team.js';

/** The owner of a team's shard. */
export interface ShardOwnerRef {
  instanceId: string;
  shardEpoch: number;
  /**
   * Whether the owner's full sync under this epoch has been applied by the leader. The flag becomes false
   * again when messages of the owner were lost, until another full sync has been applied, and when the team's
   * owner record is about to change.
   */
  isSynced: boolean;
  /** When this leader learned of the ownership, in ms on its clock. */
  since: number;
}

/** Shard owners by team. */
export class ShardOwners {
  readonly byTeam = new Map<string, ShardOwnerRef>();

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /** Whether the team has an owner whose full sync has been applied; see {@link ShardOwnerRef.isSynced}. */
  isSynced(team: string): boolean {
    return this.byTeam.get(team)?.isSynced === true;
  }

  /** Whether each team has an owner that is synced, so that every stored placement is known here. */
  areAllTeamsSynced(): boolean {
    for (const team of this.teams.keys()) if (!this.isSynced(team)) return false;
    return true;
  }

  /** Whether this instance owns the team and is synced, so that its messages about the team are valid. */
  isSyncedOwner(instanceId: string, team: string): boolean {
    const owner = this.byTeam.get(team);
    return owner?.instanceId === instanceId && owner.isSynced;
  }
}
