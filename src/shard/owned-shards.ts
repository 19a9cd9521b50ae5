/** Which shards this controller owns: a shard is one team's jobs, owned as of a revision of the team's record. */

import type { Logger } from '../model/logger.js';

/** A shard from its acquisition until it is released; one that is acquired again is another. */
export interface OwnedShard {
  readonly team: string;
  /** Revision of the record that names this instance: all writes of the shard's jobs are conditioned on it. */
  readonly shardEpoch: number;
  /** Its jobs have been read; before that nothing is known or decided. */
  isLoaded: boolean;
  isLoading: boolean;
}

/** Acquires and releases shards as the teams' records say. */
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

  /** The teams whose jobs have been read. */
  get loadedTeams(): string[] {
    return this.loaded().map(({ team }) => team);
  }

  /** The epochs of the shards whose jobs have been read, by team. */
  get loadedEpochs(): Record<string, number> {
    return Object.fromEntries(this.loaded().map(({ team, shardEpoch }) => [team, shardEpoch]));
  }

  /** Releases what `epochs` no longer has as it is held, and acquires the rest. */
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

  /** Whether this very shard is still owned. */
  includes(shard: OwnedShard): boolean {
    return this.shards.get(shard.team) === shard;
  }

  isLoaded(team: string): boolean {
    return this.shards.get(team)?.isLoaded === true;
  }

  /** Undefined: the team's shard is not owned here. */
  epochOf(team: string): number | undefined {
    return this.shards.get(team)?.shardEpoch;
  }

  /** The shards that are neither loaded nor being loaded. */
  toLoad(): OwnedShard[] {
    return [...this.shards.values()].filter((shard) => !shard.isLoaded && !shard.isLoading);
  }

  private loaded(): OwnedShard[] {
    return [...this.shards.values()].filter((shard) => shard.isLoaded);
  }
}
