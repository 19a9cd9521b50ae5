/** Transactions of a shard owner without a response: they may have been carried out, or may still be. */

import { expect, test } from 'vitest';
import type { Clock } from '../src/model/clock.js';
import type { LogFields } from '../src/model/logger.js';
import { RateLimitedLog } from '../src/model/rate-limited-log.js';
import type { Team } from '../src/model/team.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { runIndeterminateWritesScenario } from './simulation/scenario.js';
import { ShardOwnerHarness } from './simulation/shard-owner-harness.js';

const firstSeed = Number(process.env.FROM ?? 1);
const seedCount = Number(process.env.SEEDS ?? 24);

const CPUS = 4;
const MAX_TASKS = 10;
const TEAM: Team = {
  name: 'red',
  guaranteedCpus: 0,
  maxCpus: CPUS * MAX_TASKS,
  guaranteedGpus: 0,
  maxGpus: 0,
};
const specSimulation = new ClusterSimulation(1);
const specs = ['wk-000001', 'wk-000002', 'wk-000003'].map((id) =>
  makeJobSpec(specSimulation, { id, taskCount: MAX_TASKS, cpus: CPUS }),
);
const cpusPerTask = () => CPUS;

test('placements of an indeterminate write count against the quota while other jobs of that write are reloaded', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.lostResponses.push('carried out at once');
  harness.grant('wk-000001', 5);
  harness.grant('wk-000002', 5);
  harness.delayedReadPrefix = 'open/wk-000002';
  // The first job has been reloaded, which makes the shard owner send a full sync; the second has not.
  harness.runFor(3000);
  expect(harness.sentMessages.filter((message) => message.type === 'fullSync').length).toBeGreaterThan(1);
  harness.grant('wk-000003', 5);
  harness.runFor(1000);
  harness.releaseDelayedReads();
  harness.runFor(3000);
  expect(harness.storedPlacementCounts()).toEqual({ 'wk-000001': 5, 'wk-000002': 5 });
});

test('a write that was not found when its jobs were reloaded is never carried out later', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.lostResponses.push('carried out late');
  harness.grant('wk-000001', 5);
  harness.grant('wk-000002', 5);
  harness.runFor(3000);
  harness.grant('wk-000003', MAX_TASKS);
  harness.runFor(3000);
  expect(harness.storedPlacementCounts()).toEqual({ 'wk-000003': MAX_TASKS });
  harness.executeDelayedTransactions();
  expect(harness.storedCpus(cpusPerTask)).toBeLessThanOrEqual(TEAM.maxCpus);
});

// A full sync replaces the leader's outstanding grants. If it left out placements that are in flight or
// indeterminate, their capacity would be granted again, both tasks would be stored, and the worker would
// refuse one of them. These seeds exposed that fault.
test('no capacity is granted twice at a full sync while placements are in flight or indeterminate', () => {
  for (const seed of [1, 2, 19])
    expect([seed, runIndeterminateWritesScenario(seed).machines.refusals.noCapacity]).toEqual([seed, 0]);
});

// If a full sync left the attempt out, no shard owner would claim it and the leader would have the worker
// forget it. If the transaction then turned out not to have been carried out, the job would be reloaded with
// the stored attempt, and the leader, which no longer knows that the attempt has ended, would start it again.
// Seed 19 of the scenarios exposed that fault.
test('a full sync keeps an ended attempt while the write of its outcome is in flight or indeterminate', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.grant('wk-000001', 1);
  harness.runFor(100);
  const attemptKey = { jobId: 'wk-000001', taskIndex: 0, attempt: 1, machine: 'm1' };
  harness.lostResponses.push('carried out late');
  harness.owner.onLeaderMessage({
    type: 'allocationEvents',
    fencingToken: 1,
    events: [{ type: 'phase', ...attemptKey, phase: 'exited', exitReason: 'done', checkpointSaved: false }],
  });
  const syncedStates: (string | undefined)[] = [];
  for (let i = 0; i < 6; i++) {
    harness.runFor(400);
    harness.sentMessages.length = 0;
    harness.owner.resync();
    harness.runFor(1);
    const placements = harness.sentMessages.flatMap((message) =>
      message.type === 'fullSync' ? message.placements : [],
    );
    syncedStates.push(
      placements.find(({ taskIndex, machine }) => taskIndex === 0 && machine === 'm1')?.desiredState,
    );
  }
  expect(harness.delayedTransactions.length).toBe(1);
  expect(syncedStates.slice(0, 3)).toEqual(['keep', 'keep', 'keep']);
  expect(syncedStates).not.toContain(undefined);
});

test.each(Array.from({ length: seedCount }, (_, i) => firstSeed + i))(
  'seed %i: invariants hold and all work finishes with teams at their quotas and indeterminate writes',
  (seed) => {
    const simulation = runIndeterminateWritesScenario(seed);
    expect(simulation.violations.slice(0, 5)).toEqual([]);
    expect(simulation.unfinishedJobs()).toEqual([]);
    expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
    expect(simulation.taskStarts).toBeGreaterThan(0);
  },
  120000,
);

test('a write fence is known to have moved although the response to its own write is lost', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.lostResponses.push('carried out late', 'carried out at once');
  harness.grant('wk-000001', 5);
  harness.runFor(4000);
  expect(harness.findLogLines('indeterminate write resolved').length).toBe(1);
  expect(harness.executeDelayedTransactions()).toBe(0);
  harness.grant('wk-000001', MAX_TASKS);
  harness.runFor(1000);
  expect(harness.storedPlacementCounts()).toEqual({ 'wk-000001': MAX_TASKS });
});

test('a late write is found if it was carried out before its fence, and is never carried out after a late fence', () => {
  for (const carriedOutBeforeFence of [true, false]) {
    const harness = new ShardOwnerHarness(TEAM, specs);
    harness.lostResponses.push('carried out late', 'carried out late');
    harness.grant('wk-000001', 5);
    harness.runFor(2000);
    if (carriedOutBeforeFence) expect(harness.executeDelayedTransactions()).toBe(2);
    harness.runFor(3000);
    expect(harness.executeDelayedTransactions()).toBe(0);
    expect(harness.storedPlacementCounts()).toEqual(carriedOutBeforeFence ? { 'wk-000001': 5 } : {});
    expect(harness.owner.stats().placed).toBe(carriedOutBeforeFence ? 5 : 0);
  }
});

test('a write that fails only because of its fence is retried without reloading its jobs', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.grant('wk-000001', 1);
  harness.runFor(100);
  // A late fence write of an earlier process on the same node.
  harness.writeRecord('fence/o', { inst: 'earlier' });
  harness.grant('wk-000002', 5);
  harness.runFor(1000);
  expect(harness.storedPlacementCounts()).toEqual({ 'wk-000001': 1, 'wk-000002': 5 });
  expect(harness.findLogLines('job reloaded')).toEqual([]);
});

test('the log shows an indeterminate write, its resolution and the usage of a team', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.lostResponses.push('carried out at once');
  harness.grant('wk-000001', 5);
  harness.runFor(3000);
  expect(harness.findLogLines('indeterminate write')[0]?.fields).toMatchObject({
    jobs: ['wk-000001'],
    jobCount: 1,
    placements: 5,
  });
  expect(harness.findLogLines('indeterminate write resolved')[0]?.fields).toMatchObject({
    jobId: 'wk-000001',
    storedPlacements: 5,
  });
  expect(harness.findLogLines('team usage changed').map((line) => line.fields)).toContainEqual(
    expect.objectContaining({ team: 'red', granted: 5, cpus: 5 * CPUS, maxCpus: TEAM.maxCpus }),
  );
  expect(harness.findLogLines('team over quota')).toEqual([]);
});

test('a repeated log line is rate-limited and reports how many lines were suppressed', () => {
  let now = 0;
  const lines: LogFields[] = [];
  const record = (fields: LogFields) => lines.push(fields);
  const clock = { now: () => now } as Clock;
  const rateLimitedLog = new RateLimitedLog({ debug: record, info: record, error: record }, clock);
  for (let i = 0; i < 500; i++) rateLimitedLog.info({ i }, 'indeterminate write');
  expect(lines.length).toBe(20);
  now = 10_000;
  rateLimitedLog.info({ i: 500 }, 'indeterminate write');
  expect(lines.at(-1)).toEqual({ i: 500, suppressed: 480 });
});
