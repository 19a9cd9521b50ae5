/** How a shard owner counts gangs against the quota of their team and takes grants for them. */

import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import type { KeyValueStore } from '../src/model/key-value-store.js';
import type { Grant } from '../src/model/placement.js';
import type { ShardMessage } from '../src/model/shard-messages.js';
import type { Team } from '../src/model/team.js';
import type { QueuedJob } from '../src/shard/release-queue.js';
import { ShardOwner } from '../src/shard/shard-owner.js';
import { TeamBudget } from '../src/shard/team-budget.js';
import { TeamUsage } from '../src/shard/team-usage.js';
import { jobRecord } from '../src/store/record-codec.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { shardOwnerOptions } from './simulation/shard-owner-harness.js';

const TEAM: Team = { name: 'red', guaranteedCpus: 0, maxCpus: 40, guaranteedGpus: 0, maxGpus: 0 };

function queued(over: Partial<JobSpec>, placed = 0): QueuedJob {
  return {
    spec: makeJobSpec(new ClusterSimulation(1), { acceptedAtMs: 0, ...over }),
    acceptedRevision: 1,
    finishedTasks: 0,
    placedTasks: placed,
    failures: 0,
  };
}

test('a gang that has waited reserves the quota of its team, and lower-priority work keeps its share', () => {
  const usage = new TeamUsage(new Map([['red', TEAM]]));
  const gang = queued({ kind: 'gang', taskCount: 8, cpus: 4 });
  const small = queued({ kind: 'gang', taskCount: 2, cpus: 4 });
  const low = queued({ priority: 3, taskCount: 50, cpus: 1 });
  const running = queued({ priority: 2, taskCount: 5, cpus: 4 }, 5);
  usage.add(running.spec, 'granted', 5);
  const budget = (wallMs: number) => {
    const of = TeamBudget.forTeam('red', usage, [gang, small, low, running])!;
    expect(of.tasksThatFit(gang.spec)).toBe(5);
    of.reserveForGang(gang, wallMs);
    return of;
  };
  expect(budget(89_000).tasksThatFit(small.spec)).toBe(5);
  const later = budget(91_000);
  expect(later.tasksThatFit(small.spec)).toBeLessThanOrEqual(0);
  expect(later.tasksThatFit(low.spec)).toBe(10);
  later.consume(low.spec, 10);
  expect(later.tasksThatFit(low.spec)).toBe(0);
});

test('a gang larger than the quota of its team reserves nothing', () => {
  const usage = new TeamUsage(new Map([['red', TEAM]]));
  const gang = queued({ kind: 'gang', taskCount: 11, cpus: 4 });
  const budget = TeamBudget.forTeam('red', usage, [gang])!;
  budget.reserveForGang(gang, 100_000);
  expect(budget.tasksThatFit(queued({ taskCount: 2, cpus: 4 }).spec)).toBe(10);
});

/** An owner of team red that has loaded these jobs, with a state service that never answers a write. */
function ownerOf(specs: JobSpec[]): { owner: ShardOwner; sentMessages: ShardMessage[] } {
  const sentMessages: ShardMessage[] = [];
  const items = specs.map((spec, index) => ({
    key: `open/${spec.id}/a`,
    value: jobRecord.encode({ spec }),
    modRevision: index + 1,
  }));
  const state = {
    get: (_key, _urgency, callback) => callback({ ok: true, value: null }),
    list: ({ prefix }, callback) =>
      callback({
        ok: true,
        value: { items: prefix === 'open/' ? items : [], hasMore: false, storeRevision: 9 },
      }),
    compareAndSwap: () => {},
  } as Partial<KeyValueStore> as KeyValueStore;
  const options = {
    teams: new Map([['red', TEAM]]),
    store: state,
    send: (message: ShardMessage) => sentMessages.push(message),
  };
  const owner = new ShardOwner(shardOwnerOptions(options));
  owner.setShards(new Map([['red', 1]]));
  owner.setLeader(1);
  owner.flush();
  owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 1 });
  return { owner, sentMessages };
}

test('an owner accepts all grants of a gang or none: at its quota, from two zones, or too few', () => {
  const gang = makeJobSpec(new ClusterSimulation(1), {
    id: 'wk-gang',
    kind: 'gang',
    taskCount: 4,
    cpus: 4,
    zoneAffinity: true,
  });
  const other = makeJobSpec(new ClusterSimulation(1), { id: 'wk-other', taskCount: 7, cpus: 4 });
  const grants = (
    jobId: string,
    count: number,
    { zoneOf = () => 'a', firstId = 1 }: { zoneOf?: (index: number) => string; firstId?: number } = {},
  ): Grant[] =>
    Array.from({ length: count }, (_, index) => ({
      id: firstId + index,
      jobId,
      team: 'red',
      machine: `m${firstId + index}`,
      zone: zoneOf(index),
      workerEpoch: 1,
    }));
  const cases: { name: string; taken: Grant[]; gang: Grant[]; placed: number }[] = [
    { name: 'room', taken: [], gang: grants('wk-gang', 4), placed: 4 },
    { name: 'too few', taken: [], gang: grants('wk-gang', 3), placed: 0 },
    {
      name: 'two zones',
      taken: [],
      gang: grants('wk-gang', 4, { zoneOf: (index) => (index < 2 ? 'a' : 'b') }),
      placed: 0,
    },
    { name: 'limit', taken: grants('wk-other', 7, { firstId: 10 }), gang: grants('wk-gang', 4), placed: 7 },
  ];
  for (const { name, taken, gang: offered, placed } of cases) {
    const { owner, sentMessages } = ownerOf([gang, other]);
    owner.onLeaderMessage({ type: 'grants', fencingToken: 1, grants: taken });
    owner.onLeaderMessage({ type: 'grants', fencingToken: 1, grants: offered });
    expect([name, owner.stats().placed]).toEqual([name, placed]);
    owner.flush();
    const dropped = sentMessages.flatMap((message) => (message.type === 'release' ? message.grants : []));
    expect([name, dropped.length]).toEqual([name, name === 'room' ? 0 : offered.length]);
  }
});
