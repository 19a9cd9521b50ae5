import { expect, test } from 'vitest';
import type { Clock } from '../src/model/clock.js';
import { LimitedLog } from '../src/model/limited-log.js';
import type { LogFields } from '../src/model/logger.js';
import type { Team } from '../src/model/team.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { runIndeterminateWritesScenario } from './simulation/scenario.js';
import { ShardOwnerHarness } from './simulation/shard-owner-harness.js';

// Transactions of an owner that get no answer: they may have been carried out, or may yet be.

const from = Number(process.env.FROM ?? 1);
const seeds = Number(process.env.SEEDS ?? 24);

const CPUS = 4;
const LIMIT_TASKS = 10;
const TEAM: Team = {
  name: 'red',
  guaranteedCpus: 0,
  maxCpus: CPUS * LIMIT_TASKS,
  guaranteedGpus: 0,
  maxGpus: 0,
};
const simulation = new ClusterSimulation(1);
const specs = ['wk-000001', 'wk-000002', 'wk-000003'].map((id) =>
  makeJobSpec(simulation, { id, taskCount: LIMIT_TASKS, cpus: CPUS }),
);
const cpus = () => CPUS;

test('what a write in doubt places counts against the limit while other jobs of that write are read again', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.lostAnswers.push('carried out at once');
  harness.grant('wk-000001', 5);
  harness.grant('wk-000002', 5);
  harness.heldReadPrefix = 'open/wk-000002';
  // The first job has been read again, which makes the owner tell all it holds; the second has not.
  harness.run(3000);
  expect(harness.sentMessages.filter((message) => message.type === 'fullSync').length).toBeGreaterThan(1);
  harness.grant('wk-000003', 5);
  harness.run(1000);
  harness.releaseReads();
  harness.run(3000);
  expect(harness.storedPlacementCounts()).toEqual({ 'wk-000001': 5, 'wk-000002': 5 });
});

test('a write that was not found when its jobs were read again is never carried out later', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.lostAnswers.push('carried out late');
  harness.grant('wk-000001', 5);
  harness.grant('wk-000002', 5);
  harness.run(3000);
  harness.grant('wk-000003', LIMIT_TASKS);
  harness.run(3000);
  expect(harness.storedPlacementCounts()).toEqual({ 'wk-000003': LIMIT_TASKS });
  harness.carryOutLate();
  expect(harness.storedCpus(cpus)).toBeLessThanOrEqual(TEAM.maxCpus);
});

// What happens: two tasks are given the same place of a machine, both are stored, and the worker refuses the second start.
// Why: at a full telling the leader drops its promises (holds) for the owner's teams and takes what it is told instead, which
// was stored placements only. Those in flight or in doubt were neither, so their places were granted again, to other tasks or
// to the same job. What showed it: day 19 at 62.743 s, grants 270 and 274 for one place of vm-000009, stored by the same
// transaction, with a full telling between the two grants; 23 of 24 days had 3 to 69 refusals.
test('no place of a machine is given twice at a full telling while placements are in flight or in doubt', () => {
  for (const seed of [1, 2, 19])
    expect([seed, runIndeterminateWritesScenario(seed).machines.refusals.noCapacity]).toEqual([seed, 0]);
});

// What happens: the leader starts an attempt once more that has ended. Why: an owner that tells it all it holds left out the ended
// attempts whose outcome was in a transaction in flight or in doubt; nobody claimed them, so the leader had what was done
// removed after 3 s. The transaction turned out not to have been carried out, the job was read again with the attempt as
// stored, and the leader, which no longer knew that it had ended, started it. What showed it: day 19, wk-000063/4 ended at
// 71.262 s, its outcome in flight from 71.954 s, a full telling at 72.278 s, read again at 76.482 s, started at 76.49 s.
test('an attempt that ended is told as held while its outcome is in flight or in doubt', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.grant('wk-000001', 1);
  harness.run(100);
  const ended = { jobId: 'wk-000001', taskIndex: 0, attempt: 1, machine: 'm1' };
  harness.lostAnswers.push('carried out late');
  harness.owner.onLeaderMessage({
    type: 'allocationEvents',
    fencingToken: 1,
    events: [{ type: 'phase', ...ended, phase: 'exited', exitReason: 'done', checkpointSaved: false }],
  });
  const told: (string | undefined)[] = [];
  for (let i = 0; i < 6; i++) {
    harness.run(400);
    harness.sentMessages.length = 0;
    harness.owner.resync();
    harness.run(1);
    const placements = harness.sentMessages.flatMap((message) =>
      message.type === 'fullSync' ? message.placements : [],
    );
    told.push(placements.find(({ taskIndex, machine }) => taskIndex === 0 && machine === 'm1')?.desiredState);
  }
  expect(harness.lateTransactions.length).toBe(1);
  expect(told.slice(0, 3)).toEqual(['keep', 'keep', 'keep']);
  expect(told).not.toContain(undefined);
});

test.each(Array.from({ length: seeds }, (_, i) => from + i))(
  'day %i with teams at their limits and transactions without an answer keeps the rules and finishes its work',
  (seed) => {
    const simulation = runIndeterminateWritesScenario(seed);
    expect(simulation.violations.slice(0, 5)).toEqual([]);
    expect(simulation.unfinishedJobs()).toEqual([]);
    expect(simulation.serviceLevel.startsAfterCancellation).toBe(0);
    expect(simulation.taskStarts).toBeGreaterThan(0);
  },
  120000,
);

test('the fence is seen to have moved although the answer to its own write is lost', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.lostAnswers.push('carried out late', 'carried out at once');
  harness.grant('wk-000001', 5);
  harness.run(4000);
  expect(harness.logLines('indeterminate write resolved').length).toBe(1);
  expect(harness.carryOutLate()).toBe(0);
  harness.grant('wk-000001', LIMIT_TASKS);
  harness.run(1000);
  expect(harness.storedPlacementCounts()).toEqual({ 'wk-000001': LIMIT_TASKS });
});

test('a write and its fence that are both late: carried out before the fence has moved it is found, after it never', () => {
  for (const early of [true, false]) {
    const harness = new ShardOwnerHarness(TEAM, specs);
    harness.lostAnswers.push('carried out late', 'carried out late');
    harness.grant('wk-000001', 5);
    harness.run(2000);
    if (early) expect(harness.carryOutLate()).toBe(2);
    harness.run(3000);
    expect(harness.carryOutLate()).toBe(0);
    expect(harness.storedPlacementCounts()).toEqual(early ? { 'wk-000001': 5 } : {});
    expect(harness.owner.stats().placed).toBe(early ? 5 : 0);
  }
});

test('a write that fails by its fence alone is sent again, and its jobs are not read for it', () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.grant('wk-000001', 1);
  harness.run(100);
  // A write of the process before this one on the same host, carried out late.
  harness.writeRecord('fence/o', { inst: 'earlier' });
  harness.grant('wk-000002', 5);
  harness.run(1000);
  expect(harness.storedPlacementCounts()).toEqual({ 'wk-000001': 1, 'wk-000002': 5 });
  expect(harness.logLines('job reloaded')).toEqual([]);
});

test("what a write in doubt, its end and a team's use look like in the log", () => {
  const harness = new ShardOwnerHarness(TEAM, specs);
  harness.lostAnswers.push('carried out at once');
  harness.grant('wk-000001', 5);
  harness.run(3000);
  expect(harness.logLines('indeterminate write')[0]?.fields).toMatchObject({
    jobs: ['wk-000001'],
    jobCount: 1,
    placements: 5,
  });
  expect(harness.logLines('indeterminate write resolved')[0]?.fields).toMatchObject({
    jobId: 'wk-000001',
    storedPlacements: 5,
  });
  expect(harness.logLines('team usage changed').map((line) => line.fields)).toContainEqual(
    expect.objectContaining({ team: 'red', granted: 5, cpus: 5 * CPUS, maxCpus: TEAM.maxCpus }),
  );
  expect(harness.logLines('team over quota')).toEqual([]);
});

test('a line that a trouble repeats is bounded, and says how many were left out', () => {
  let now = 0;
  const lines: LogFields[] = [];
  const take = (fields: LogFields) => lines.push(fields);
  const clock = { now: () => now } as Clock;
  const limited = new LimitedLog({ debug: take, info: take, error: take }, clock);
  for (let i = 0; i < 500; i++) limited.info({ i }, 'indeterminate write');
  expect(lines.length).toBe(20);
  now = 10_000;
  limited.info({ i: 500 }, 'indeterminate write');
  expect(lines.at(-1)).toEqual({ i: 500, suppressed: 480 });
});
