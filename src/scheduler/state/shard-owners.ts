/** Which controllers own which teams' shards, as the leader knows it. */

import type { Team } from '../../model/team.js';

/** The owner of a team's shard. */
export interface ShardOwnerRef {
  instanceId: string;
  shardEpoch: number;
  /** Has told all it holds under this epoch. */
  isSynced: boolean;
  /** When this controller learnt of it, in ms. */
  since: number;
}

/** Shard owners by team. */
export class ShardOwners {
  readonly byTeam = new Map<string, ShardOwnerRef>();

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /** The team's owner has told all it holds. */
  isSynced(team: string): boolean {
    return this.byTeam.get(team)?.isSynced === true;
  }

  /** Every placement that is stored is known here. */
  areAllSynced(): boolean {
    for (const team of this.teams.keys()) if (!this.isSynced(team)) return false;
    return true;
  }

  /** What this instance tells of the team counts. */
  isCurrentOwner(instanceId: string, team: string): boolean {
    const owner = this.byTeam.get(team);
    return owner?.instanceId === instanceId && owner.isSynced;
  }
}
