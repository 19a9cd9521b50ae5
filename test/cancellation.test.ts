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
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import type { FakeWorker } from './simulation/fake-worker.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';
import { shardOwnerOptions } from './simulation/shard-owner-harness.js';

const leads = (simulation: ClusterSimulation, nodeName: string) =>
  simulation.controllers.get(nodeName)?.controller.status().scheduler !== null;
const leaderOf = (simulation: ClusterSimulation) =>
  simulation.nodeNames.find((nodeName) => leads(simulation, nodeName))!;

/** A world with one long array of each team running on machines that stay. */
function running(seed: number): { w: ClusterSimulation; ids: string[]; on: (id: string) => FakeWorker[] } {
  const simulation = new ClusterSimulation(seed);
  simulation.runDurationMs = () => 1e9;
  const ids = ['red', 'blue', 'free'].map((team) => {
    const spec = makeJobSpec(simulation, { team, taskCount: 3, spotAllowed: false });
    simulation.users.submitJob(spec);
    return spec.id;
  });
  simulation.simulator.run(60000);
  const on = (id: string) =>
    [...simulation.workers.values()].filter((worker) =>
      worker.tasks.some((task) => task.jobId === id && worker.occupies(task)),
    );
  for (const id of ids) expect(on(id).length).toBeGreaterThan(0);
  return { w: simulation, ids, on };
}

/** Cancels through one controller; the answer counts as the confirmation. */
function cancelAt(simulation: ClusterSimulation, nodeName: string, id: string): void {
  const job = simulation.jobs.get(id)!;
  job.cancelRequested = true;
  simulation.controllers.get(nodeName)!.controller.api.cancelJob(id, (answer) => {
    if (answer.type === 'job' && answer.state === 'cancelled') job.cancelledAt ??= simulation.simulator.now;
  });
}

test.each([1, 2, 3, 4])(
  'the leader alone is refused, others confirm cancellations, then nobody has the state service (%i)',
  (seed) => {
    const { w: simulation, ids, on } = running(seed);
    for (let spell = 0; spell < 2; spell++) {
      const leader = leaderOf(simulation);
      const other = simulation.nodeNames.find((nodeName) => nodeName !== leader)!;
      simulation.store.refusedNodes.add(leader);
      // Neither its siblings' word nor the owner's stops reach the leader: only the bound on renewals is left.
      for (const h of simulation.nodeNames) if (h !== leader) simulation.network.cut(h, leader, 'hold');
      simulation.simulator.run(simulation.simulator.now + 200);
      cancelAt(simulation, other, ids[spell]!);
      simulation.simulator.run(simulation.simulator.now + 300);
      expect(simulation.jobs.get(ids[spell]!)!.cancelledAt).not.toBeNull();
      simulation.store.setDown(true);
      simulation.simulator.run(simulation.simulator.now + simulation.config.cancellationSeconds * 1200);
      expect(on(ids[spell]!)).toEqual([]);
      for (const h of simulation.nodeNames) if (h !== leader) simulation.network.heal(h, leader);
      simulation.store.readmit(leader);
      simulation.store.setDown(false);
      simulation.simulator.run(simulation.simulator.now + 12000);
    }
    expect(simulation.violations).toEqual([]);
  },
);

test('a cancellation told by a sibling becomes stops at once, without the state service', () => {
  const { w: simulation, ids, on } = running(5);
  const leader = leaderOf(simulation);
  simulation.store.refusedNodes.add(leader);
  simulation.simulator.run(simulation.simulator.now + 500);
  cancelAt(simulation, simulation.nodeNames.find((nodeName) => nodeName !== leader)!, ids[0]!);
  simulation.simulator.run(simulation.simulator.now + 200);
  simulation.store.setDown(true);
  simulation.simulator.run(simulation.simulator.now + 3 * simulation.config.heartbeatIntervalSeconds * 1000);
  expect(on(ids[0]!)).toEqual([]);
  expect(simulation.violations).toEqual([]);
});

test.each([1, 2])(
  'while all controllers are in touch an outage of any length ends no task but cancelled ones (%i)',
  (seed) => {
    const { w: simulation, ids, on } = running(seed);
    const before = ids
      .slice(1)
      .flatMap((id) => on(id).map((worker) => `${worker.name}/${worker.agentEpoch}`));
    const leader = leaderOf(simulation);
    cancelAt(simulation, simulation.nodeNames.find((nodeName) => nodeName !== leader)!, ids[0]!);
    simulation.simulator.run(simulation.simulator.now + 12);
    simulation.store.setDown(true);
    simulation.simulator.run(simulation.simulator.now + simulation.config.cancellationSeconds * 3000);
    expect(simulation.jobs.get(ids[0]!)!.cancelledAt).not.toBeNull();
    expect(on(ids[0]!)).toEqual([]);
    expect(
      ids.slice(1).flatMap((id) => on(id).map((worker) => `${worker.name}/${worker.agentEpoch}`)),
    ).toEqual(before);
    // One that ends may have told a user last of all what it told nobody else.
    simulation.controllers.crash(simulation.nodeNames.find((nodeName) => nodeName !== leader)!, 500);
    simulation.simulator.run(simulation.simulator.now + simulation.config.cancellationSeconds * 1000);
    expect(ids.flatMap((id) => on(id))).toEqual([]);
    simulation.store.setDown(false);
    simulation.simulator.run(simulation.simulator.now + 30000);
    expect(simulation.violations).toEqual([]);
  },
);

test.each([1, 2, 3])(
  'a leader elected as an outage begins, before any owner has told what it holds, keeps what runs and stops what is cancelled (%i)',
  (seed) => {
    const { w: simulation, ids, on } = running(seed);
    const before = ids
      .slice(1)
      .flatMap((id) => on(id).map((worker) => `${worker.name}/${worker.agentEpoch}`));
    const old = leaderOf(simulation);
    simulation.store.refusedNodes.add(old);
    const next = () =>
      simulation.nodeNames.find((nodeName) => nodeName !== old && leads(simulation, nodeName));
    while (!next()) simulation.simulator.run(simulation.simulator.now + 1);
    simulation.store.setDown(true);
    // Told to its user just before, by a controller that had it stored.
    const c = simulation.controllers.get(
      simulation.nodeNames.find((nodeName) => nodeName !== old && nodeName !== next())!,
    )!.controller as unknown as {
      parts: { coordinator: { announce(jobId: string): void } };
    };
    c.parts.coordinator.announce(ids[0]!);
    simulation.simulator.run(simulation.simulator.now + simulation.config.cancellationSeconds * 2500);
    expect(on(ids[0]!)).toEqual([]);
    expect(
      ids.slice(1).flatMap((id) => on(id).map((worker) => `${worker.name}/${worker.agentEpoch}`)),
    ).toEqual(before);
    simulation.store.readmit(old);
    simulation.store.setDown(false);
    simulation.simulator.run(simulation.simulator.now + 20000);
    expect(simulation.violations).toEqual([]);
  },
);

test('what runs of a cancelled job is stopped where a report lists it, also before its owner has told what it holds', () => {
  const harness = new SchedulerHarness(5);
  harness.heartbeat([]);
  harness.scheduler.requestSync('o');
  const other = { ...taskStatus('running'), jobId: 'wk-2' };
  harness.heartbeat([taskStatus('running'), other]);
  harness.cancelledJobs.add('wk-1');
  expect(harness.heartbeat([taskStatus('running'), other])).toEqual([
    { type: 'stop', jobId: 'wk-1', taskIndex: 0, attempt: 1, gracePeriodSeconds: 0 },
  ]);
});

test('an owner that is heard but hears nothing loses its teams', () => {
  const simulation = new ClusterSimulation(12);
  simulation.simulator.run(8000);
  const leader = leaderOf(simulation);
  const owner = simulation.nodeNames.find(
    (nodeName) =>
      nodeName !== leader &&
      (simulation.controllers.get(nodeName)!.controller.status().teams as string[]).length > 0,
  )!;
  const [team] = simulation.controllers.get(owner)!.controller.status().teams as string[];
  const send = simulation.network.send.bind(simulation.network);
  simulation.network.send = (message) => {
    if (message.from !== leader || message.to !== owner) send(message);
  };
  simulation.simulator.run(simulation.simulator.now + 20000);
  expect(leaderOf(simulation)).toBe(leader);
  expect(simulation.controllers.get(owner)!.controller.status().teams).toEqual([]);
  const spec = makeJobSpec(simulation, { team: team as string, taskCount: 2 });
  simulation.users.submitJob(spec);
  simulation.simulator.run(simulation.simulator.now + 60000);
  expect([simulation.jobs.get(spec.id)!.reportedState, simulation.violations]).toEqual(['done', []]);
});

test('what siblings told counts from when nothing of it is missing, and only up to the mark they had', () => {
  const t = new CancellationLog(['b', 'c']);
  expect(t.completeSince(100).at).toBe(Number.NEGATIVE_INFINITY);
  t.acknowledge({ nodeName: 'b', instanceId: 'b1' }, { announced: 4, latestTimestamp: 90 }, 100);
  t.acknowledge({ nodeName: 'c', instanceId: 'c1' }, { announced: 0, latestTimestamp: null }, 110);
  t.acknowledge({ nodeName: 'b', instanceId: 'b1' }, { announced: 4, latestTimestamp: 200 }, 205);
  t.acknowledge({ nodeName: 'c', instanceId: 'c1' }, { announced: 0, latestTimestamp: 180 }, 206);
  expect(t.completeSince(210)).toEqual({ since: 110, at: 180 });
  t.recordFromPeer({ nodeName: 'b', instanceId: 'b1' }, { jobId: 'wk-1', cancellationNumber: 5 }, 215);
  t.acknowledge({ nodeName: 'b', instanceId: 'b1' }, { announced: 5, latestTimestamp: 212 }, 216);
  t.acknowledge({ nodeName: 'c', instanceId: 'c1' }, { announced: 0, latestTimestamp: 213 }, 217);
  expect([t.has('wk-1'), t.completeSince(220)]).toEqual([true, { since: 110, at: 212 }]);
  // The sixth was lost: from the seventh on nothing is missing again.
  t.recordFromPeer({ nodeName: 'b', instanceId: 'b1' }, { jobId: 'wk-3', cancellationNumber: 7 }, 230);
  expect(t.completeSince(231)).toEqual({ since: 230, at: Number.NEGATIVE_INFINITY });
  t.acknowledge({ nodeName: 'b', instanceId: 'b1' }, { announced: 7, latestTimestamp: 232 }, 233);
  t.acknowledge({ nodeName: 'c', instanceId: 'c2' }, { announced: 0, latestTimestamp: 234 }, 235);
  expect(t.completeSince(236)).toEqual({ since: 235, at: Number.NEGATIVE_INFINITY });
  expect([t.recordOwn('wk-9'), t.recordOwn('wk-9'), t.announcedHere]).toEqual([true, false, 1]);
});

test('a worker that lost the leader long before its zone did is not kept alive from inside with what was cancelled', () => {
  const { w: simulation, ids, on } = running(7);
  const leader = leaderOf(simulation);
  const inside = simulation.nodeNames.find((nodeName) => nodeName !== leader)!;
  const worker = on(ids[0]!)[0]!;
  simulation.cloud.isDown = true;
  // Its last renewal; from here on it reaches the controller inside alone, which sends it to the leader.
  for (const h of simulation.nodeNames) if (h !== inside) simulation.network.cut(worker.name, h, 'reset');
  simulation.simulator.run(simulation.simulator.now + 1000);
  cancelAt(simulation, leader, ids[0]!);
  simulation.simulator.run(simulation.simulator.now + 9000);
  expect([worker.isAlive, worker.agentEpoch]).toEqual([true, 1]);
  for (const x of [
    ...simulation.nodeNames.filter((nodeName) => nodeName !== inside),
    'state',
    'cloud',
    'users',
  ])
    simulation.network.cut(inside, x, 'hold');
  simulation.simulator.run(simulation.simulator.now + simulation.config.cancellationSeconds * 1500);
  expect(simulation.violations).toEqual([]);
});

test('leaders that follow one another within moments renew no longer than one would', () => {
  const { w: simulation, ids, on } = running(9);
  const leader = leaderOf(simulation);
  const owner = simulation.nodeNames.find((nodeName) => nodeName !== leader)!;
  const team = (simulation.controllers.get(owner)!.controller.status().teams as string[])[0]!;
  const id = ids[['red', 'blue', 'free'].indexOf(team)]!;
  // The owner is out of touch with the leaders: none of them learns what it holds, nor leads long enough to move its team.
  for (const a of simulation.nodeNames)
    for (const b of simulation.nodeNames) if (a < b) simulation.network.cut(a, b, 'hold');
  simulation.simulator.run(simulation.simulator.now + 100);
  cancelAt(simulation, owner, id);
  const raise = () => {
    const controller = simulation.controllers.get(leader)!.controller as unknown as {
      parts: {
        leadership: { leaderTerm: number };
        election: { nextTokenRaiseAt: number; raiseFencingToken(token: number, reason: string): void };
      };
    };
    const { leadership, election } = controller.parts;
    election.nextTokenRaiseAt = 0;
    election.raiseFencingToken(leadership.leaderTerm, 'a test');
    simulation.simulator.scheduleAfter(1500, raise);
  };
  raise();
  simulation.simulator.run(simulation.simulator.now + simulation.config.cancellationSeconds * 1200);
  expect(leads(simulation, leader)).toBe(true);
  expect(on(id)).toEqual([]);
  expect(simulation.violations).toEqual([]);
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
    shardOwnerOptions({
      teams: new Map([
        ['red', { name: 'red', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 }],
      ]),
      store: state as KeyValueStore,
      clock: { now: () => now, wall: () => now, after: () => () => {}, soon: () => {}, random: () => 0 },
      openJobsFreshAsOf: () => now,
      send: (message) => sent.push(message),
    }),
  );
  const spec = makeJobSpec(new ClusterSimulation(1), { id: 'wk-1' });
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
  const harness = new SchedulerHarness(5);
  const w = renewalWindowMs({ leaseSeconds: 20, cancellationSeconds: 40 });
  harness.heartbeat([]);
  harness.sendDesiredState('run');
  harness.heartbeat([taskStatus('running')]);
  harness.owner.acknowledgesTimestamps = false;
  harness.advance(w - 100);
  expect(harness.heartbeat([taskStatus('running')])).not.toBeNull();
  harness.advance(200);
  expect(harness.heartbeat([taskStatus('running')])).toBeNull();
  // Nothing starts by what was told before.
  harness.sendPlacement({ ...harness.placementSpec('run'), taskIndex: 1, machine: 'n' });
  harness.heartbeat([], 5, { machine: 'n', address: 'n' });
  expect(harness.hasFinalized()).toBe(false);
  expect(
    harness.directCalls
      .flatMap((call) => call.commands)
      .some((command) => command.type === 'start' && command.taskIndex === 1),
  ).toBe(false);
  // The answer that renews again carries the stop.
  harness.sendDesiredState('stop');
  harness.owner.acknowledgesTimestamps = true;
  expect(harness.heartbeat([taskStatus('running')])?.map((command) => command.type)).toEqual(['stop']);
});

test('a lost message with a stop holds the horizon back, and all is asked for again', () => {
  const harness = new SchedulerHarness(5);
  harness.heartbeat([]);
  harness.sendDesiredState('run');
  harness.heartbeat([taskStatus('running')]);
  // The owner counts one more message than came.
  harness.owner.placementMessages++;
  harness.advance(renewalWindowMs({ leaseSeconds: 20, cancellationSeconds: 40 }) + 100);
  expect(harness.heartbeat([taskStatus('running')])).toBeNull();
  expect(harness.sentMessages.some((message) => message.type === 'syncRequested')).toBe(true);
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
