import { expect, test } from 'vitest';
import type { Clock } from '../src/model/clock.js';
import type { KeyValueStore, WatchEvent } from '../src/model/key-value-store.js';
import type { ResultCallback } from '../src/model/result.js';
import { WatchCache } from '../src/store/watch-cache.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

test('a machine that is heard but does not hear is given nothing, then deleted, and one that hears is kept', () => {
  const t = new SchedulerHarness(5);
  t.heartbeat([]);
  t.sendDesiredState('run');
  for (const c of t.directCalls.splice(0)) c.callback({ ok: false, kind: 'refused' });
  t.heartbeat([]);
  for (let i = 0; i < 8; i++) {
    // The report that follows the answer with the start does not list it: the answer never arrived.
    t.heartbeat([]);
    t.advance(1000);
    for (const c of t.directCalls.splice(0)) c.callback({ ok: false, kind: 'refused' });
  }
  t.sendRequests([makeResourceRequest('wk-2')]);
  expect(t.grantedJobs()).toEqual([]);
  for (let i = 0; i < 80; i++) {
    t.heartbeat([]);
    t.advance(1000);
    for (const c of t.directCalls.splice(0)) c.callback({ ok: false, kind: 'refused' });
  }
  expect(t.deletedMachines).toEqual(['m']);

  const u = new SchedulerHarness(5);
  for (let i = 0; i < 90; i++) {
    u.heartbeat([taskStatus('running')]);
    u.advance(1000);
  }
  expect(u.deletedMachines).toEqual([]);
});

test('late copies prove no life, take nothing back and settle nothing', () => {
  const t = new SchedulerHarness(5);
  t.heartbeat([]);
  t.heartbeat([]);
  t.sendDesiredState('run');
  t.directCalls[0]!.callback({ ok: false, kind: 'refused' });
  t.heartbeat([], 5, { sequence: 10 });
  t.heartbeat([taskStatus('running')], 5, { sequence: 11 });
  t.sendDesiredState('stop');
  // With the current token, from before the start: it does not list the task, which runs.
  expect(t.heartbeat([], 5, { sequence: 9 })).toEqual([]);
  expect(t.hasFinalized()).toBe(false);
  t.heartbeat([], 5, { agentEpoch: 2, sequence: 12 });
  expect(t.heartbeat([taskStatus('running')], 5, { agentEpoch: 1, sequence: 20 })).toEqual([]);
  // Nothing but copies is heard from here on.
  for (let i = 0; i < 80; i++) {
    t.heartbeat([], 5, { agentEpoch: 1, sequence: 9 });
    t.advance(1000);
    for (const c of t.directCalls.splice(0)) c.callback({ ok: false, kind: 'refused' });
  }
  expect(t.deletedMachines).toEqual(['m']);
});

test('a copy from before its election is no ground for a new scheduler to place work', () => {
  const t = new SchedulerHarness(5);
  t.sendRequests([makeResourceRequest('wk-2')]);
  t.heartbeat([], 4);
  expect(t.grantedJobs()).toEqual([]);
  t.advance(100);
  t.heartbeat([], 5);
  expect(t.grantedJobs()).toEqual(['wk-2']);
});

test('one read answers all questions that waited for it, and none older than a question', () => {
  let now = 0;
  const timers: { at: number; fn: () => void }[] = [];
  const reads: {
    since: number;
    wait: number;
    cb: ResultCallback<{ storeRevision: number; events: WatchEvent[] }>;
  }[] = [];
  const clock = { now: () => now, after: (ms: number, fn: () => void) => timers.push({ at: now + ms, fn }) };
  const state = {
    list: (_p: string, _s: string, _u: number, callback: ResultCallback<unknown>) =>
      callback({ ok: true, value: { items: [], more: false, storeRevision: 5 } }),
    watch: (
      _p: string,
      since: number,
      wait: number,
      callback: ResultCallback<{ storeRevision: number; events: WatchEvent[] }>,
    ) => reads.push({ since, wait, cb: callback }),
  };
  const gone: string[] = [];
  const m = new WatchCache(
    'open/',
    10000,
    0,
    state as unknown as KeyValueStore,
    clock as unknown as Clock,
    (key, value) => value === undefined && gone.push(key),
  );
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
  const put = (key: string, modRevision: number) => ({ key, modRevision, value: {}, deleted: false });
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
      events: [{ key: 'open/x/a', modRevision: 8, value: undefined, deleted: true }],
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
  const w = new ClusterSimulation(5);
  w.simulator.run(5000);
  const leads = (h: string) => w.controllers.get(h)!.controller.status().scheduler !== null;
  const host = w.nodeNames.find(leads)!;
  const ctl = w.controllers.get(host)!.controller as unknown as {
    leaderTerm: number;
    resign(token: number, reason: string): void;
  };
  w.store.refusedNodes.add(host);
  ctl.resign(ctl.leaderTerm, 'a test');
  w.simulator.run(w.simulator.now + 300);
  w.store.readmit(host);
  expect(w.nodeNames.some(leads)).toBe(false);
  w.simulator.run(w.simulator.now + 10000);
  expect(w.nodeNames.filter(leads).length).toBe(1);
});

test('a full sync of which a part was lost is not taken for the whole: the owner is asked again', () => {
  const t = new SchedulerHarness(5);
  const running = [0, 1, 2].map((taskIndex) => ({ ...t.placementSpec('run'), taskIndex }));
  const tasks = running.map((h) => ({ ...taskStatus('running'), taskIndex: h.taskIndex }));
  for (const h of running) t.sendPlacement(h);
  t.heartbeat(tasks);
  const shardEpochs = { red: 1, blue: 1, free: 1 };
  const part = (n: number, h: (typeof running)[number]) =>
    t.scheduler.onShardMessage({
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
  t.sentMessages.length = 0;
  part(2, running[2]!);
  expect(t.sentMessages).toContainEqual({ type: 'syncRequested', fencingToken: 5 });
  expect(t.sentMessages.some((message) => message.type === 'syncAccepted')).toBe(false);
  t.advance(5000);
  expect(t.heartbeat(tasks)?.filter((command) => command.type === 'stop')).toEqual([]);
});

test('an attempt that was listed as ended and removed is not started again when its owner claims it late', () => {
  const t = new SchedulerHarness(5);
  t.heartbeat([taskStatus('exited')]);
  t.sendDesiredState('run');
  expect(
    t.sentMessages.some(
      (message) =>
        message.type === 'allocationEvents' && message.events.some((event) => event.type === 'phase'),
    ),
  ).toBe(true);
  expect(t.heartbeat([])?.filter((command) => command.type === 'start')).toEqual([]);
  expect(
    t.directCalls.flatMap((call) => call.commands).filter((command) => command.type === 'start'),
  ).toEqual([]);
  expect(t.hasFinalized()).toBe(true);
});
