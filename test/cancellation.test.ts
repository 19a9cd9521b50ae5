import { expect, test } from 'vitest';
import { CancellationLog } from '../src/controller/cancellation-log.js';
import {
  isLeaseRenewalCovered,
  PeerTimestamps,
  renewalWindowMs,
} from '../src/model/cancellation-coverage.js';
import type { KeyValueStore } from '../src/model/key-value-store.js';
import type { ShardMessage } from '../src/model/shard-messages.js';
import { ShardOwner } from '../src/shard/shard-owner.js';
import { jobRecord } from '../src/store/record-codec.js';
import { job } from './standin/day.js';
import { ownerOptions } from './standin/owner.js';
import { listed, scheduler } from './standin/scheduler.js';
import type { WorkerStandin } from './standin/worker.js';
import { World } from './standin/world.js';

const leads = (w: World, h: string) => w.procs.get(h)?.ctl.status().scheduler !== null;
const leaderOf = (w: World) => w.hosts.find((h) => leads(w, h))!;

/** A world with one long array of each team running on machines that stay. */
function running(seed: number): { w: World; ids: string[]; on: (id: string) => WorkerStandin[] } {
  const w = new World(seed);
  w.runMs = () => 1e9;
  const ids = ['red', 'blue', 'free'].map((team) => {
    const j = job(w, { team, taskCount: 3, spotAllowed: false });
    w.submit(j);
    return j.id;
  });
  w.sim.run(60000);
  const on = (id: string) =>
    [...w.workers.values()].filter((m) => m.tasks.some((t) => t.job === id && m.onMachine(t)));
  for (const id of ids) expect(on(id).length).toBeGreaterThan(0);
  return { w, ids, on };
}

/** Cancels through one controller; the answer counts as the confirmation. */
function cancelAt(w: World, host: string, id: string): void {
  const job = w.jobs.get(id)!;
  job.askedCancel = true;
  w.procs.get(host)!.ctl.api.cancelJob(id, (answer) => {
    if (answer.type === 'job' && answer.state === 'cancelled') job.cancelledAt ??= w.sim.now;
  });
}

test.each([1, 2, 3, 4])(
  'the leader alone is refused, others confirm cancellations, then nobody has the state service (%i)',
  (seed) => {
    const { w, ids, on } = running(seed);
    for (let spell = 0; spell < 2; spell++) {
      const leader = leaderOf(w);
      const other = w.hosts.find((h) => h !== leader)!;
      w.state.refused.add(leader);
      // Neither its siblings' word nor the owner's stops reach the leader: only the bound on renewals is left.
      for (const h of w.hosts) if (h !== leader) w.net.cut(h, leader, 'hold');
      w.sim.run(w.sim.now + 200);
      cancelAt(w, other, ids[spell]!);
      w.sim.run(w.sim.now + 300);
      expect(w.jobs.get(ids[spell]!)!.cancelledAt).not.toBeNull();
      w.state.setDown(true);
      w.sim.run(w.sim.now + w.shape.cancelS * 1200);
      expect(on(ids[spell]!)).toEqual([]);
      for (const h of w.hosts) if (h !== leader) w.net.heal(h, leader);
      w.state.allow(leader);
      w.state.setDown(false);
      w.sim.run(w.sim.now + 12000);
    }
    expect(w.broken).toEqual([]);
  },
);

test('a cancellation told by a sibling becomes stops at once, without the state service', () => {
  const { w, ids, on } = running(5);
  const leader = leaderOf(w);
  w.state.refused.add(leader);
  w.sim.run(w.sim.now + 500);
  cancelAt(w, w.hosts.find((h) => h !== leader)!, ids[0]!);
  w.sim.run(w.sim.now + 200);
  w.state.setDown(true);
  w.sim.run(w.sim.now + 3 * w.shape.reportS * 1000);
  expect(on(ids[0]!)).toEqual([]);
  expect(w.broken).toEqual([]);
});

test.each([1, 2])(
  'while all controllers are in touch an outage of any length ends no task but cancelled ones (%i)',
  (seed) => {
    const { w, ids, on } = running(seed);
    const before = ids.slice(1).flatMap((id) => on(id).map((m) => `${m.name}/${m.season}`));
    const leader = leaderOf(w);
    cancelAt(w, w.hosts.find((h) => h !== leader)!, ids[0]!);
    w.sim.run(w.sim.now + 12);
    w.state.setDown(true);
    w.sim.run(w.sim.now + w.shape.cancelS * 3000);
    expect(w.jobs.get(ids[0]!)!.cancelledAt).not.toBeNull();
    expect(on(ids[0]!)).toEqual([]);
    expect(ids.slice(1).flatMap((id) => on(id).map((m) => `${m.name}/${m.season}`))).toEqual(before);
    // One that ends may have told a user last of all what it told nobody else.
    w.kill(w.hosts.find((h) => h !== leader)!, 500);
    w.sim.run(w.sim.now + w.shape.cancelS * 1000);
    expect(ids.flatMap((id) => on(id))).toEqual([]);
    w.state.setDown(false);
    w.sim.run(w.sim.now + 30000);
    expect(w.broken).toEqual([]);
  },
);

test.each([1, 2, 3])(
  'a leader elected as an outage begins, before any owner has told what it holds, keeps what runs and stops what is cancelled (%i)',
  (seed) => {
    const { w, ids, on } = running(seed);
    const before = ids.slice(1).flatMap((id) => on(id).map((m) => `${m.name}/${m.season}`));
    const old = leaderOf(w);
    w.state.refused.add(old);
    const next = () => w.hosts.find((h) => h !== old && leads(w, h));
    while (!next()) w.sim.run(w.sim.now + 1);
    w.state.setDown(true);
    // Told to its user just before, by a controller that had it stored.
    const c = w.procs.get(w.hosts.find((h) => h !== old && h !== next())!)!.ctl as unknown as {
      announceCancellation(id: string): void;
    };
    c.announceCancellation(ids[0]!);
    w.sim.run(w.sim.now + w.shape.cancelS * 2500);
    expect(on(ids[0]!)).toEqual([]);
    expect(ids.slice(1).flatMap((id) => on(id).map((m) => `${m.name}/${m.season}`))).toEqual(before);
    w.state.allow(old);
    w.state.setDown(false);
    w.sim.run(w.sim.now + 20000);
    expect(w.broken).toEqual([]);
  },
);

test('what runs of a cancelled job is stopped where a report lists it, also before its owner has told what it holds', () => {
  const t = scheduler(5);
  t.report([]);
  t.k.requestSync('o');
  const other = { ...listed('running'), jobId: 'wk-2' };
  t.report([listed('running'), other]);
  t.cancelled.add('wk-1');
  expect(t.report([listed('running'), other])).toEqual([
    { type: 'stop', jobId: 'wk-1', taskIndex: 0, attempt: 1, gracePeriodSeconds: 0 },
  ]);
});

test('an owner that is heard but hears nothing loses its teams', () => {
  const w = new World(12);
  w.sim.run(8000);
  const leader = leaderOf(w);
  const owner = w.hosts.find(
    (h) => h !== leader && (w.procs.get(h)!.ctl.status().teams as string[]).length > 0,
  )!;
  const [team] = w.procs.get(owner)!.ctl.status().teams as string[];
  const send = w.net.send.bind(w.net);
  w.net.send = (from, to, fn, lost) => {
    if (from !== leader || to !== owner) send(from, to, fn, lost);
  };
  w.sim.run(w.sim.now + 20000);
  expect(leaderOf(w)).toBe(leader);
  expect(w.procs.get(owner)!.ctl.status().teams).toEqual([]);
  const j = job(w, { team: team as string, taskCount: 2 });
  w.submit(j);
  w.sim.run(w.sim.now + 60000);
  expect([w.jobs.get(j.id)!.told, w.broken]).toEqual(['done', []]);
});

test('what siblings told counts from when nothing of it is missing, and only up to the mark they had', () => {
  const t = new CancellationLog(['b', 'c']);
  expect(t.completeSince(100).at).toBe(Number.NEGATIVE_INFINITY);
  t.acknowledge('b', 'b1', 4, 90, 100);
  t.acknowledge('c', 'c1', 0, null, 110);
  t.acknowledge('b', 'b1', 4, 200, 205);
  t.acknowledge('c', 'c1', 0, 180, 206);
  expect(t.completeSince(210)).toEqual({ since: 110, at: 180 });
  t.recordFromPeer('b', 'b1', 'wk-1', 5, 215);
  t.acknowledge('b', 'b1', 5, 212, 216);
  t.acknowledge('c', 'c1', 0, 213, 217);
  expect([t.has('wk-1'), t.completeSince(220)]).toEqual([true, { since: 110, at: 212 }]);
  // The sixth was lost: from the seventh on nothing is missing again.
  t.recordFromPeer('b', 'b1', 'wk-3', 7, 230);
  expect(t.completeSince(231)).toEqual({ since: 230, at: Number.NEGATIVE_INFINITY });
  t.acknowledge('b', 'b1', 7, 232, 233);
  t.acknowledge('c', 'c2', 0, 234, 235);
  expect(t.completeSince(236)).toEqual({ since: 235, at: Number.NEGATIVE_INFINITY });
  expect([t.recordOwn('wk-9'), t.recordOwn('wk-9'), t.toldHere]).toEqual([true, false, 1]);
});

test('a worker that lost the leader long before its zone did is not kept alive from inside with what was cancelled', () => {
  const { w, ids, on } = running(7);
  const leader = leaderOf(w);
  const inside = w.hosts.find((h) => h !== leader)!;
  const m = on(ids[0]!)[0]!;
  w.cloud.down = true;
  // Its last renewal; from here on it reaches the controller inside alone, which sends it to the leader.
  for (const h of w.hosts) if (h !== inside) w.net.cut(m.name, h, 'reset');
  w.sim.run(w.sim.now + 1000);
  cancelAt(w, leader, ids[0]!);
  w.sim.run(w.sim.now + 9000);
  expect([m.alive, m.season]).toEqual([true, 1]);
  for (const x of [...w.hosts.filter((h) => h !== inside), 'state', 'cloud', 'users'])
    w.net.cut(inside, x, 'hold');
  w.sim.run(w.sim.now + w.shape.cancelS * 1500);
  expect(w.broken).toEqual([]);
});

test('leaders that follow one another within moments renew no longer than one would', () => {
  const { w, ids, on } = running(9);
  const leader = leaderOf(w);
  const owner = w.hosts.find((h) => h !== leader)!;
  const team = (w.procs.get(owner)!.ctl.status().teams as string[])[0]!;
  const id = ids[['red', 'blue', 'free'].indexOf(team)]!;
  // The owner is out of touch with the leaders: none of them learns what it holds, nor leads long enough to move its team.
  for (const a of w.hosts) for (const b of w.hosts) if (a < b) w.net.cut(a, b, 'hold');
  w.sim.run(w.sim.now + 100);
  cancelAt(w, owner, id);
  const raise = () => {
    const ctl = w.procs.get(leader)!.ctl as unknown as {
      leaderTerm: number;
      nextTokenRaiseAt: number;
      raiseFencingToken(token: number, reason: string): void;
    };
    ctl.nextTokenRaiseAt = 0;
    ctl.raiseFencingToken(ctl.leaderTerm, 'a test');
    w.sim.after(1500, raise);
  };
  raise();
  w.sim.run(w.sim.now + w.shape.cancelS * 1200);
  expect(leads(w, leader)).toBe(true);
  expect(on(id)).toEqual([]);
  expect(w.broken).toEqual([]);
});

test('a cancellation of a job that is being read again is heeded at once and not taken back by that read', () => {
  const sent: ShardMessage[] = [];
  const lists: { prefix: string; cb: Parameters<KeyValueStore['list']>[1] }[] = [];
  let now = 0;
  const state: Partial<KeyValueStore> = {
    get: (_key, _urgency, callback) => callback({ ok: true, value: null }),
    list: ({ prefix }, callback) => lists.push({ prefix, cb: callback }),
    compareAndSwap: () => {},
  };
  const owner = new ShardOwner(
    ownerOptions({
      teams: new Map([
        ['red', { name: 'red', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 }],
      ]),
      store: state as KeyValueStore,
      clock: { now: () => now, wall: () => now, after: () => () => {}, soon: () => {}, random: () => 0 },
      openJobsFreshAsOf: () => now,
      send: (message) => sent.push(message),
    }),
  );
  const spec = job(new World(1), { id: 'wk-1' });
  const read = (prefix: string, items: { key: string; value: unknown; modRevision: number }[]) => {
    const l = lists.shift()!;
    expect(l.prefix.startsWith(prefix)).toBe(true);
    l.cb({ ok: true, value: { items, hasMore: false, storeRevision: 9 } });
  };
  const stored = { key: 'open/wk-1/a', value: jobRecord.encode({ spec }), modRevision: 3 };
  const placed = { key: 'place/wk-1/0', value: { t: { 0: [1, 'm', 1, 'a'] } }, modRevision: 4 };
  owner.setLeader(5);
  owner.setShards(new Map([['red', 1]]));
  owner.flush();
  read('open/', [stored]);
  read('place/', [placed]);
  owner.flush();
  owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 5 });
  owner.onOpenJobChanged({ key: 'open/wk-1/n', value: { n: 1, r: 0, b: '1.1' }, modRevision: 6 });
  expect(lists.length).toBe(1);
  const cancelled = jobRecord.encode({ spec, acceptedRevision: 3, cancelled: true });
  owner.onOpenJobChanged({ key: 'open/wk-1/a', value: cancelled, modRevision: 7 });
  owner.onLeaderMessage({ type: 'timestamp', fencingToken: 5, leaderTimestamp: 1 });
  now = 10;
  owner.flush();
  const stops = sent
    .flatMap((message) => (message.type === 'placements' ? message.placements : []))
    .map((placement) => placement.desiredState);
  expect(stops).toEqual(['stop']);
  // The cover comes after the stop that it speaks of.
  const kinds = sent.map((message) => message.type);
  expect(kinds.indexOf('cancellationCoverage')).toBeGreaterThan(kinds.indexOf('placements'));
  read('open/wk-1/', [stored]);
  read('place/wk-1/', [placed]);
  owner.flush();
  const sync = sent.filter((message) => message.type === 'fullSync').at(-1)!;
  expect([sync.placements.map((placement) => placement.desiredState), sync.requests]).toEqual([['stop'], []]);
});

test('a lease is renewed only as long as the owners of what runs there have lately read of cancellations', () => {
  const t = scheduler(5);
  const w = renewalWindowMs({ leaseSeconds: 20, cancellationSeconds: 40 });
  t.report([]);
  t.tell('run');
  t.report([listed('running')]);
  t.owner.follows = false;
  t.later(w - 100);
  expect(t.report([listed('running')])).not.toBeNull();
  t.later(200);
  expect(t.report([listed('running')])).toBeNull();
  // Nothing starts by what was told before.
  t.hold({ ...t.held('run'), taskIndex: 1, machine: 'n' });
  t.report([], 5, { machine: 'n', address: 'n' });
  expect(t.settled()).toBe(false);
  expect(
    t.calls.flatMap((c) => c.cmds).some((command) => command.type === 'start' && command.taskIndex === 1),
  ).toBe(false);
  // The answer that renews again carries the stop.
  t.tell('stop');
  t.owner.follows = true;
  expect(t.report([listed('running')])?.map((command) => command.type)).toEqual(['stop']);
});

test('a lost message with a stop holds the horizon back, and all is asked for again', () => {
  const t = scheduler(5);
  t.report([]);
  t.tell('run');
  t.report([listed('running')]);
  // The owner counts one more message than came.
  t.owner.told++;
  t.later(renewalWindowMs({ leaseSeconds: 20, cancellationSeconds: 40 }) + 100);
  expect(t.report([listed('running')])).toBeNull();
  expect(t.said.some((message) => message.type === 'syncRequested')).toBe(true);
});

test('a mark that came after a read was sent is not covered by it, and a cover ends with its window', () => {
  const m = new PeerTimestamps();
  m.add(100, 1000);
  m.add(600, 1500);
  expect([
    m.latestReceivedBy(999),
    m.latestReceivedBy(1000),
    m.latestReceivedBy(1499),
    m.latestReceivedBy(1500),
  ]).toEqual([null, 100, 100, 600]);
  const c = { completeUntil: 1000, pendingMachines: new Set(['m']) };
  expect([isLeaseRenewalCovered(c, 'n', 2000, 1000), isLeaseRenewalCovered(c, 'n', 2001, 1000)]).toEqual([
    true,
    false,
  ]);
  expect([
    isLeaseRenewalCovered(c, 'm', 1000, 1000),
    isLeaseRenewalCovered({ ...c, pendingMachines: null }, 'n', 1000, 1000),
  ]).toEqual([false, false]);
  expect(isLeaseRenewalCovered(null, 'n', 0, 1e9)).toBe(false);
});
