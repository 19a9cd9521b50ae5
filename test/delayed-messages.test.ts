import { expect, test } from 'vitest';
import type { Clock } from '../src/model/clock.js';
import type { KeyValueStore, WatchReply, WatchRequest } from '../src/model/key-value-store.js';
import type { ResultCallback } from '../src/model/result.js';
import { WatchCache } from '../src/store/watch-cache.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

test('a machine that is heard but does not hear is given nothing, then deleted, and one that hears is kept', () => {
  const harness = new SchedulerHarness(5);
  harness.heartbeat([]);
  harness.sendDesiredState('run');
  for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  harness.heartbeat([]);
  for (let i = 0; i < 8; i++) {
    // The report that follows the answer with the start does not list it: the answer never arrived.
    harness.heartbeat([]);
    harness.advance(1000);
    for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  }
  harness.sendRequests([makeResourceRequest('wk-2')]);
  expect(harness.grantedJobs()).toEqual([]);
  for (let i = 0; i < 80; i++) {
    harness.heartbeat([]);
    harness.advance(1000);
    for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  }
  expect(harness.deletedMachines).toEqual(['m']);

  const secondHarness = new SchedulerHarness(5);
  for (let i = 0; i < 90; i++) {
    secondHarness.heartbeat([taskStatus('running')]);
    secondHarness.advance(1000);
  }
  expect(secondHarness.deletedMachines).toEqual([]);
});

test('late copies prove no life, take nothing back and settle nothing', () => {
  const harness = new SchedulerHarness(5);
  harness.heartbeat([]);
  harness.heartbeat([]);
  harness.sendDesiredState('run');
  harness.directCalls[0]!.callback({ ok: false, kind: 'refused' });
  harness.heartbeat([], 5, { sequence: 10 });
  harness.heartbeat([taskStatus('running')], 5, { sequence: 11 });
  harness.sendDesiredState('stop');
  // With the current token, from before the start: it does not list the task, which runs.
  expect(harness.heartbeat([], 5, { sequence: 9 })).toEqual([]);
  expect(harness.hasFinalized()).toBe(false);
  harness.heartbeat([], 5, { agentEpoch: 2, sequence: 12 });
  expect(harness.heartbeat([taskStatus('running')], 5, { agentEpoch: 1, sequence: 20 })).toEqual([]);
  // Nothing but copies is heard from here on.
  for (let i = 0; i < 80; i++) {
    harness.heartbeat([], 5, { agentEpoch: 1, sequence: 9 });
    harness.advance(1000);
    for (const call of harness.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
  }
  expect(harness.deletedMachines).toEqual(['m']);
});

test('a copy from before its election is no ground for a new scheduler to place work', () => {
  const harness = new SchedulerHarness(5);
  harness.sendRequests([makeResourceRequest('wk-2')]);
  harness.heartbeat([], 4);
  expect(harness.grantedJobs()).toEqual([]);
  harness.advance(100);
  harness.heartbeat([], 5);
  expect(harness.grantedJobs()).toEqual(['wk-2']);
});

test('one read answers all questions that waited for it, and none older than a question', () => {
  let now = 0;
  const timers: { at: number; fn: () => void }[] = [];
  const reads: {
    since: number;
    wait: number;
    cb: ResultCallback<WatchReply>;
  }[] = [];
  const clock = {
    now: () => now,
    after: (ms: number, callback: () => void) => timers.push({ at: now + ms, fn: callback }),
  };
  const state = {
    list: (_request: unknown, callback: ResultCallback<unknown>) =>
      callback({ ok: true, value: { items: [], hasMore: false, storeRevision: 5 } }),
    watch: ({ sinceRevision, waitMs }: WatchRequest, callback: ResultCallback<WatchReply>) =>
      reads.push({ since: sinceRevision, wait: waitMs, cb: callback }),
  };
  const gone: string[] = [];
  const m = new WatchCache({
    prefix: 'open/',
    store: state as unknown as KeyValueStore,
    clock: clock as unknown as Clock,
    watchWaitMs: 10000,
    minWatchIntervalMs: 0,
    isFollowed: true,
    onChange: (key, value) => value === undefined && gone.push(key),
  });
  m.start();
  const answers: string[] = [];
  const run = (ms: number) => {
    now += ms;
    for (const t of timers.splice(0)) t.at <= now ? t.fn() : timers.push(t);
  };
  const ask = (name: string) => m.linearizableRead((ok) => answers.push(`${name} ${ok} ${m.items.size}`));
  const long = reads.shift()!;
  ask('a');
  ask('b');
  expect(reads.map((r) => r.wait)).toEqual([0]);
  ask('c');
  const put = (key: string, modRevision: number) => ({ type: 'put' as const, key, modRevision, value: {} });
  reads
    .shift()!
    .cb({ ok: true, value: { storeRevision: 7, events: [put('open/x/a', 6), put('open/y/a', 7)] } });
  // c came after the read was sent: it waits for the next, though the copy is newer than before.
  expect(answers).toEqual(['a true 2']);
  run(200);
  const next = reads.find((r) => r.wait === 0)!;
  next.cb({
    ok: true,
    value: {
      storeRevision: 8,
      events: [{ type: 'delete', key: 'open/x/a', modRevision: 8 }],
    },
  });
  // The long watch, sent before all this, tells of what has been dropped since: it must not come back.
  long.cb({ ok: true, value: { storeRevision: 6, events: [put('open/x/a', 6)] } });
  expect([m.items.has('open/x/a'), gone]).toEqual([false, ['open/x/a']]);
  ask('d');
  run(200);
  reads
    .filter((r) => r.wait === 0)
    .pop()!
    .cb({ ok: false, kind: 'refused' });
  expect(answers.at(-1)).toBe('d false 1');
  // After a failure nobody waits: the next question is answered at once, and a probe goes out for it.
  ask('e');
  expect(answers.at(-1)).toBe('e false 1');
  run(200);
  reads
    .filter((r) => r.wait === 0)
    .pop()!
    .cb({ ok: true, value: { storeRevision: 9, events: [] } });
  ask('f');
  run(200);
  reads
    .filter((r) => r.wait === 0)
    .pop()!
    .cb({ ok: true, value: { storeRevision: 10, events: [] } });
  expect(answers.at(-1)).toBe('f true 1');
});

test('a leader whose resignation was lost does not keep others from being elected', () => {
  const simulation = new ClusterSimulation(5);
  simulation.simulator.run(5000);
  const leads = (nodeName: string) =>
    simulation.controllers.get(nodeName)!.controller.status().scheduler !== null;
  const host = simulation.nodeNames.find(leads)!;
  const controller = simulation.controllers.get(host)!.controller as unknown as {
    parts: {
      leadership: { leaderTerm: number };
      election: { resign(token: number, reason: string): void };
    };
  };
  const { leadership, election } = controller.parts;
  simulation.store.refusedNodes.add(host);
  election.resign(leadership.leaderTerm, 'a test');
  simulation.simulator.run(simulation.simulator.now + 300);
  simulation.store.readmit(host);
  expect(simulation.nodeNames.some(leads)).toBe(false);
  simulation.simulator.run(simulation.simulator.now + 10000);
  expect(simulation.nodeNames.filter(leads).length).toBe(1);
});

test('a full sync of which a part was lost is not taken for the whole: the owner is asked again', () => {
  const harness = new SchedulerHarness(5);
  const running = [0, 1, 2].map((taskIndex) => ({ ...harness.placementSpec('run'), taskIndex }));
  const tasks = running.map((h) => ({ ...taskStatus('running'), taskIndex: h.taskIndex }));
  for (const h of running) harness.sendPlacement(h);
  harness.heartbeat(tasks);
  const shardEpochs = { red: 1, blue: 1, free: 1 };
  const part = (n: number, h: (typeof running)[number]) =>
    harness.scheduler.onShardMessage({
      type: 'fullSync',
      fencingToken: 5,
      instanceId: 'o',
      syncNumber: 2,
      chunkCount: 3,
      chunkIndex: n,
      shardEpochs,
      placements: [h],
      requests: [],
    });
  part(0, running[0]!);
  harness.sentMessages.length = 0;
  part(2, running[2]!);
  expect(harness.sentMessages).toContainEqual({ type: 'syncRequested', fencingToken: 5 });
  expect(harness.sentMessages.some((message) => message.type === 'syncAccepted')).toBe(false);
  harness.advance(5000);
  expect(harness.heartbeat(tasks)?.filter((command) => command.type === 'stop')).toEqual([]);
});

test('an attempt that was listed as ended and removed is not started again when its owner claims it late', () => {
  const harness = new SchedulerHarness(5);
  harness.heartbeat([taskStatus('exited')]);
  harness.sendDesiredState('run');
  expect(
    harness.sentMessages.some(
      (message) =>
        message.type === 'allocationEvents' && message.events.some((event) => event.type === 'phase'),
    ),
  ).toBe(true);
  expect(harness.heartbeat([])?.filter((command) => command.type === 'start')).toEqual([]);
  expect(
    harness.directCalls.flatMap((call) => call.commands).filter((command) => command.type === 'start'),
  ).toEqual([]);
  expect(harness.hasFinalized()).toBe(true);
});
