/** The shards that this controller owns. A shard consists of the jobs of one team. */

import type { Logger } from '../model/logger.js';

/** A shard from its acquisition to its release. A shard that is acquired again gets a new object. */
export interface OwnedShard {
  readonly team: string;
  /** Revision of the owner record that names this instance; a precondition of all writes of the jobs. */
  readonly shardEpoch: number;
  /** Whether the jobs of the shard have been read. Until then nothing is placed or requested for its team. */
  isLoaded: boolean;
  isLoading: boolean;
}

/** Acquires and releases shards according to the teams' owner records. */
export class OwnedShards {
  private readonly shards = new Map<string, OwnedShard>();

  constructor(
    private readonly log: Logger,
    private readonly onReleased: (team: string) => void,
  ) {}

  /** The teams whose shards are owned, loaded or not. */
  get teams(): string[] {
    return [...this.shards.keys()];
  }

  /** The teams whose shards are loaded. */
  get loadedTeams(): string[] {
    return this.loadedShards().map(({ team }) => team);
  }

  /** The epochs of the loaded shards, by team. */
  get loadedEpochs(): Record<string, number> {
    return Object.fromEntries(this.loadedShards().map(({ team, shardEpoch }) => [team, shardEpoch]));
  }

  /**
   * Releases the shards whose epoch is missing or different in `epochs`, and acquires those in `epochs` that
   * are not owned then. A shard with a different epoch is thus released and acquired again.
   *
   * @param epochs - Revision of the owner record that names this instance, by team
   */
  assign(epochs: ReadonlyMap<string, number>): void {
    for (const { team, shardEpoch } of this.shards.values()) {
      if (epochs.get(team) === shardEpoch) continue;
      this.shards.delete(team);
      this.onReleased(team);
      this.log.debug({ team }, 'shard released');
    }
    for (const [team, shardEpoch] of epochs) {
      if (this.shards.has(team)) continue;
      this.shards.set(team, { team, shardEpoch, isLoaded: false, isLoading: false });
      this.log.debug({ team, shardEpoch }, 'shard acquired');
    }
  }

  /** Returns whether this object is still the current one for its team. */
  includes(shard: OwnedShard): boolean {
    return this.shards.get(shard.team) === shard;
  }

  isLoaded(team: string): boolean {
    return this.shards.get(team)?.isLoaded === true;
  }

  /** Returns the epoch of a team's shard, or undefined if this controller does not own it. */
  epochOf(team: string): number | undefined {
    return this.shards.get(team)?.shardEpoch;
  }

  /** Returns the shards that are neither loaded nor being loaded. */
  shardsToLoad(): OwnedShard[] {
    return [...this.shards.values()].filter((shard) => !shard.isLoaded && !shard.isLoading);
  }

  private loadedShards(): OwnedShard[] {
    return [...this.shards.values()].filter((shard) => shard.isLoaded);
  }
}
