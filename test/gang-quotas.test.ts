/** How a shard owner counts gangs against the quota of their team and accepts grants for them. */

import { expect, test } from 'vitest';
import type { JobSpec } from '../src/model/job.js';
import type { KeyValueStore } from '../src/model/key-value-store.js';
import type { Grant } from '../src/model/placement.js';
import type { ShardOwnerMessage } from '../src/model/shard-messages.js';
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

function queuedJob(overrides: Partial<JobSpec>, placedTasks = 0): QueuedJob {
  return {
    spec: makeJobSpec(new ClusterSimulation(1), { acceptedAtMs: 0, ...overrides }),
    acceptedRevision: 1,
    finishedTasks: 0,
    placedTasks,
    failures: 0,
  };
}

test('a gang that has waited reserves the quota of its team, and lower-priority work keeps its share', () => {
  const usage = new TeamUsage(new Map([['red', TEAM]]));
  const gang = queuedJob({ kind: 'gang', taskCount: 8, cpus: 4 });
  const small = queuedJob({ kind: 'gang', taskCount: 2, cpus: 4 });
  const lowPriority = queuedJob({ priority: 3, taskCount: 50, cpus: 1 });
  const running = queuedJob({ priority: 2, taskCount: 5, cpus: 4 }, 5);
  usage.add(running.spec, 'granted', 5);
  const budgetAt = (wallMs: number) => {
    const teamBudget = TeamBudget.forTeam('red', usage, [gang, small, lowPriority, running])!;
    expect(teamBudget.tasksThatFit(gang.spec)).toBe(5);
    teamBudget.reserveForGang(gang, wallMs);
    return teamBudget;
  };
  expect(budgetAt(89_000).tasksThatFit(small.spec)).toBe(5);
  const budgetAfterWait = budgetAt(91_000);
  expect(budgetAfterWait.tasksThatFit(small.spec)).toBeLessThanOrEqual(0);
  expect(budgetAfterWait.tasksThatFit(lowPriority.spec)).toBe(10);
  budgetAfterWait.consume(lowPriority.spec, 10);
  expect(budgetAfterWait.tasksThatFit(lowPriority.spec)).toBe(0);
});

test('a gang larger than the quota of its team reserves nothing', () => {
  const usage = new TeamUsage(new Map([['red', TEAM]]));
  const gang = queuedJob({ kind: 'gang', taskCount: 11, cpus: 4 });
  const budget = TeamBudget.forTeam('red', usage, [gang])!;
  budget.reserveForGang(gang, 100_000);
  expect(budget.tasksThatFit(queuedJob({ taskCount: 2, cpus: 4 }).spec)).toBe(10);
});

/** Creates the shard owner of team red with these jobs loaded. Its state service never answers a write. */
function createOwner(specs: JobSpec[]): { owner: ShardOwner; sentMessages: ShardOwnerMessage[] } {
  const sentMessages: ShardOwnerMessage[] = [];
  const items = specs.map((spec, index) => ({
    key: `open/${spec.id}/a`,
    value: jobRecord.encode({ spec }),
    modRevision: index + 1,
  }));
  const store = {
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
    store,
    send: (message: ShardOwnerMessage) => sentMessages.push(message),
  };
  const owner = new ShardOwner(shardOwnerOptions(options));
  owner.setShards(new Map([['red', 1]]));
  owner.setLeader(1);
  owner.flush();
  owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 1 });
  return { owner, sentMessages };
}

test('a shard owner accepts all grants of a gang or none: none at the quota, from two zones or if too few', () => {
  const gang = makeJobSpec(new ClusterSimulation(1), {
    id: 'wk-gang',
    kind: 'gang',
    taskCount: 4,
    cpus: 4,
    zoneAffinity: true,
  });
  const other = makeJobSpec(new ClusterSimulation(1), { id: 'wk-other', taskCount: 7, cpus: 4 });
  const makeGrants = (
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
  const cases: { name: string; earlierGrants: Grant[]; gangGrants: Grant[]; expectedPlaced: number }[] = [
    { name: 'within quota', earlierGrants: [], gangGrants: makeGrants('wk-gang', 4), expectedPlaced: 4 },
    { name: 'too few', earlierGrants: [], gangGrants: makeGrants('wk-gang', 3), expectedPlaced: 0 },
    {
      name: 'two zones',
      earlierGrants: [],
      gangGrants: makeGrants('wk-gang', 4, { zoneOf: (index) => (index < 2 ? 'a' : 'b') }),
      expectedPlaced: 0,
    },
    {
      name: 'at quota',
      earlierGrants: makeGrants('wk-other', 7, { firstId: 10 }),
      gangGrants: makeGrants('wk-gang', 4),
      expectedPlaced: 7,
    },
  ];
  for (const { name, earlierGrants, gangGrants, expectedPlaced } of cases) {
    const { owner, sentMessages } = createOwner([gang, other]);
    owner.onLeaderMessage({ type: 'grants', fencingToken: 1, grants: earlierGrants });
    owner.onLeaderMessage({ type: 'grants', fencingToken: 1, grants: gangGrants });
    expect([name, owner.stats().placed]).toEqual([name, expectedPlaced]);
    owner.flush();
    const released = sentMessages.flatMap((message) => (message.type === 'release' ? message.grants : []));
    expect([name, released.length]).toEqual([name, name === 'within quota' ? 0 : gangGrants.length]);
  }
});
