/** The controllers that own the teams' shards, as known to the leader. */

import type { Team } from '../../model/team.js';

/** The owner of a team's shard. */
export interface ShardOwnerRef {
  instanceId: string;
  shardEpoch: number;
  /** Whether its full sync under this epoch has been applied. */
  isSynced: boolean;
  /** When this controller learned of the ownership, in ms. */
  since: number;
}

/** Shard owners by team. */
export class ShardOwners {
  readonly byTeam = new Map<string, ShardOwnerRef>();

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /** Whether the full sync of the team's owner has been applied. */
  isSynced(team: string): boolean {
    return this.byTeam.get(team)?.isSynced === true;
  }

  /** Whether all teams' owners are synced, so that every stored placement is known here. */
  areAllOwnersSynced(): boolean {
    for (const team of this.teams.keys()) if (!this.isSynced(team)) return false;
    return true;
  }

  /** Whether this instance owns the team and is synced, so that its messages about the team are valid. */
  isCurrentOwner(instanceId: string, team: string): boolean {
    const owner = this.byTeam.get(team);
    return owner?.instanceId === instanceId && owner.isSynced;
  }
}
