/** Delayed, duplicated and lost messages. */

import { expect, test } from 'vitest';
import type { Clock } from '../src/model/clock.js';
import type { KeyValueStore, WatchRequest, WatchResponse } from '../src/model/key-value-store.js';
import type { ResultCallback } from '../src/model/result.js';
import { WatchCache } from '../src/store/watch-cache.js';
import { isLeader, runFor } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

test('a machine that is unreachable inbound gets no work and is deleted, and a reachable one is kept', () => {
  const harness = new SchedulerHarness(5);
  harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  harness.sendHeartbeat([]);
  for (let i = 0; i < 8; i++) {
    // The heartbeat after the response with the start command does not list the task: the response was lost.
    harness.sendHeartbeat([]);
    harness.advance(1000);
    for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  }
  harness.sendRequests([makeResourceRequest('wk-2')]);
  expect(harness.grantedJobs()).toEqual([]);
  for (let i = 0; i < 80; i++) {
    harness.sendHeartbeat([]);
    harness.advance(1000);
    for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  }
  expect(harness.deletedMachines).toEqual(['m']);

  const secondHarness = new SchedulerHarness(5);
  for (let i = 0; i < 90; i++) {
    secondHarness.sendHeartbeat([taskStatus('running')]);
    secondHarness.advance(1000);
  }
  expect(secondHarness.deletedMachines).toEqual([]);
});

test('late duplicates of heartbeats do not prove liveness and do not revert or finalize a task', () => {
  const harness = new SchedulerHarness(5);
  harness.sendHeartbeat([]);
  harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  harness.directCalls[0]!.callback({ ok: false, kind: 'refused' });
  harness.sendHeartbeat([], 5, { sequence: 10 });
  harness.sendHeartbeat([taskStatus('running')], 5, { sequence: 11 });
  harness.sendDesiredState('stop');
  // A late heartbeat with the current fencing token, sent before the start: it lacks the running task.
  expect(harness.sendHeartbeat([], 5, { sequence: 9 })).toEqual([]);
  expect(harness.hasFinalized()).toBe(false);
  harness.sendHeartbeat([], 5, { workerEpoch: 2, sequence: 12 });
  expect(harness.sendHeartbeat([taskStatus('running')], 5, { workerEpoch: 1, sequence: 20 })).toEqual([]);
  // Only duplicates arrive from here on.
  for (let i = 0; i < 80; i++) {
    harness.sendHeartbeat([], 5, { workerEpoch: 1, sequence: 9 });
    harness.advance(1000);
    for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  }
  expect(harness.deletedMachines).toEqual(['m']);
});

test('a new leader places no work on a machine whose heartbeat dates from before its election', () => {
  const harness = new SchedulerHarness(5);
  harness.sendRequests([makeResourceRequest('wk-2')]);
  harness.sendHeartbeat([], 4);
  expect(harness.grantedJobs()).toEqual([]);
  harness.advance(100);
  harness.sendHeartbeat([], 5);
  expect(harness.grantedJobs()).toEqual(['wk-2']);
});

test('one linearizable read answers all queries that waited for it, but none that arrived after it was sent', () => {
  let now = 0;
  const timers: { at: number; run: () => void }[] = [];
  const reads: {
    since: number;
    wait: number;
    callback: ResultCallback<WatchResponse>;
  }[] = [];
  const clock = {
    now: () => now,
    after: (ms: number, callback: () => void) => timers.push({ at: now + ms, run: callback }),
  };
  const store = {
    list: (_request: unknown, callback: ResultCallback<unknown>) =>
      callback({ ok: true, value: { items: [], hasMore: false, storeRevision: 5 } }),
    watch: ({ sinceRevision, waitMs }: WatchRequest, callback: ResultCallback<WatchResponse>) =>
      reads.push({ since: sinceRevision, wait: waitMs, callback }),
  };
  const deletedKeys: string[] = [];
  const cache = new WatchCache({
    prefix: 'open/',
    store: store as unknown as KeyValueStore,
    clock: clock as unknown as Clock,
    watchWaitMs: 10000,
    minWatchIntervalMs: 0,
    isWatchEnabled: true,
    onChange: (key, value) => value === undefined && deletedKeys.push(key),
  });
  cache.start();
  const answers: string[] = [];
  const advance = (ms: number) => {
    now += ms;
    for (const timer of timers.splice(0)) timer.at <= now ? timer.run() : timers.push(timer);
  };
  const query = (name: string) =>
    cache.linearizableRead((ok) => answers.push(`${name} ${ok} ${cache.items.size}`));
  const longWatch = reads.shift()!;
  query('a');
  query('b');
  expect(reads.map((read) => read.wait)).toEqual([0]);
  query('c');
  const put = (key: string, modRevision: number) => ({ type: 'put' as const, key, modRevision, value: {} });
  reads
    .shift()!
    .callback({ ok: true, value: { storeRevision: 7, events: [put('open/x/a', 6), put('open/y/a', 7)] } });
  // Query c arrived after the read was sent: it waits for the next read although the cache is newer now.
  expect(answers).toEqual(['a true 2']);
  advance(200);
  const nextRead = reads.find((read) => read.wait === 0)!;
  nextRead.callback({
    ok: true,
    value: {
      storeRevision: 8,
      events: [{ type: 'delete', key: 'open/x/a', modRevision: 8 }],
    },
  });
  // The long watch was sent before the reads, and its response puts a key that has since been deleted: the
  // key must not reappear.
  longWatch.callback({ ok: true, value: { storeRevision: 6, events: [put('open/x/a', 6)] } });
  expect([cache.items.has('open/x/a'), deletedKeys]).toEqual([false, ['open/x/a']]);
  query('d');
  advance(200);
  reads
    .filter((read) => read.wait === 0)
    .pop()!
    .callback({ ok: false, kind: 'refused' });
  expect(answers.at(-1)).toBe('d false 1');
  // After a failed read, queries do not wait: the next query fails at once, and a read is sent as a probe.
  query('e');
  expect(answers.at(-1)).toBe('e false 1');
  advance(200);
  reads
    .filter((read) => read.wait === 0)
    .pop()!
    .callback({ ok: true, value: { storeRevision: 9, events: [] } });
  query('f');
  advance(200);
  reads
    .filter((read) => read.wait === 0)
    .pop()!
    .callback({ ok: true, value: { storeRevision: 10, events: [] } });
  expect(answers.at(-1)).toBe('f true 1');
});

test('a resignation that does not reach the state service does not prevent the next election', () => {
  const simulation = new ClusterSimulation(5);
  simulation.simulator.run(5000);
  const isLeading = (node: string) => isLeader(simulation, node);
  const nodeName = simulation.nodeNames.find(isLeading)!;
  const controller = simulation.controllers.get(nodeName)!.controller as unknown as {
    components: {
      leadership: { latestTermToken: number };
      election: { resign(token: number, reason: string): void };
    };
  };
  const { leadership, election } = controller.components;
  simulation.store.refusedNodes.add(nodeName);
  election.resign(leadership.latestTermToken, 'a test');
  runFor(simulation, 300);
  simulation.store.clearRefusal(nodeName);
  expect(simulation.nodeNames.some(isLeading)).toBe(false);
  runFor(simulation, 10000);
  expect(simulation.nodeNames.filter(isLeading).length).toBe(1);
});

test('a full sync with a lost chunk is not accepted as complete, and is requested again', () => {
  const harness = new SchedulerHarness(5);
  const running = [0, 1, 2].map((taskIndex) => ({ ...harness.placementSpec('run'), taskIndex }));
  const tasks = running.map((placement) => ({ ...taskStatus('running'), taskIndex: placement.taskIndex }));
  for (const placement of running) harness.sendPlacement(placement);
  harness.sendHeartbeat(tasks);
  const shardEpochs = { red: 1, blue: 1, free: 1 };
  const sendChunk = (chunkIndex: number, placement: (typeof running)[number]) =>
    harness.scheduler.onShardMessage({
      type: 'fullSync',
      fencingToken: 5,
      instanceId: 'o',
      syncNumber: 2,
      chunkCount: 3,
      chunkIndex,
      shardEpochs,
      placements: [placement],
      requests: [],
    });
  sendChunk(0, running[0]!);
  harness.sentMessages.length = 0;
  sendChunk(2, running[2]!);
  expect(harness.sentMessages).toContainEqual({ type: 'syncRequested', fencingToken: 5 });
  expect(harness.sentMessages.some((message) => message.type === 'syncAccepted')).toBe(false);
  harness.advance(5000);
  expect(harness.sendHeartbeat(tasks)?.filter((command) => command.type === 'stop')).toEqual([]);
});

test('an attempt that ended and was removed is not started again when its shard owner claims it late', () => {
  const harness = new SchedulerHarness(5);
  harness.sendHeartbeat([taskStatus('exited')]);
  harness.sendDesiredState('run');
  expect(
    harness.sentMessages.some(
      (message) =>
        message.type === 'allocationEvents' && message.events.some((event) => event.type === 'phase'),
    ),
  ).toBe(true);
  expect(harness.sendHeartbeat([])?.filter((command) => command.type === 'start')).toEqual([]);
  expect(
    harness.directCalls.flatMap((call) => call.commands).filter((command) => command.type === 'start'),
  ).toEqual([]);
  expect(harness.hasFinalized()).toBe(true);
});
