/** Cancelled jobs stop in time despite faults of leaders, shard owners and the state service. */

import { expect, test } from 'vitest';
import { CancellationLog } from '../src/controller/cancellation-log.js';
import { allowsLeaseRenewal, PeerTimestamps, renewalWindowMs } from '../src/model/cancellation-coverage.js';
import type { KeyValueStore } from '../src/model/key-value-store.js';
import type { ShardOwnerMessage } from '../src/model/shard-messages.js';
import { ShardOwner } from '../src/shard/shard-owner.js';
import { jobRecord } from '../src/store/record-codec.js';
import { isLeader, leaderOf, raiseFencingToken, runFor, workersOfJob } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';
import { shardOwnerOptions } from './simulation/shard-owner-harness.js';

/** Starts a cluster in which each team runs an array of long tasks on on-demand machines. */
function startRunningJobs(seed: number): { simulation: ClusterSimulation; ids: string[] } {
  const simulation = new ClusterSimulation(seed);
  simulation.runDurationMs = () => 1e9;
  const ids = ['red', 'blue', 'free'].map((team) => {
    const spec = makeJobSpec(simulation, { team, taskCount: 3, spotAllowed: false });
    simulation.users.submitJob(spec);
    return spec.id;
  });
  simulation.simulator.run(60000);
  for (const id of ids) expect(workersOfJob(simulation, id).length).toBeGreaterThan(0);
  return { simulation, ids };
}

/** Cancels a job through one controller and records when the response confirmed it. */
function cancelAt(simulation: ClusterSimulation, nodeName: string, id: string): void {
  const job = simulation.jobs.get(id)!;
  job.cancelRequested = true;
  simulation.controllers.get(nodeName)!.controller.api.cancelJob(id, (answer) => {
    if (answer.type === 'job' && answer.state === 'cancelled') job.cancelledAt ??= simulation.simulator.now;
  });
}

test.each([1, 2, 3, 4])(
  'tasks of jobs cancelled through another controller stop when the state service refuses the leader and then goes down (%i)',
  (seed) => {
    const { simulation, ids } = startRunningJobs(seed);
    for (let round = 0; round < 2; round++) {
      const leader = leaderOf(simulation);
      const otherNode = simulation.nodeNames.find((nodeName) => nodeName !== leader)!;
      simulation.store.refusedNodes.add(leader);
      // The leader receives neither cancellation announcements of its peers nor stops from shard owners: only
      // the limit on lease renewals can end the tasks.
      for (const nodeName of simulation.nodeNames)
        if (nodeName !== leader) simulation.network.cut(nodeName, leader, 'hold');
      runFor(simulation, 200);
      cancelAt(simulation, otherNode, ids[round]!);
      runFor(simulation, 300);
      expect(simulation.jobs.get(ids[round]!)!.cancelledAt).not.toBeNull();
      simulation.store.setDown(true);
      runFor(simulation, simulation.config.cancellationSeconds * 1200);
      expect(workersOfJob(simulation, ids[round]!)).toEqual([]);
      for (const nodeName of simulation.nodeNames)
        if (nodeName !== leader) simulation.network.heal(nodeName, leader);
      simulation.store.clearRefusal(leader);
      simulation.store.setDown(false);
      runFor(simulation, 12000);
    }
    expect(simulation.violations).toEqual([]);
  },
);

test('a cancellation announced by a peer stops tasks at once while the state service is down', () => {
  const { simulation, ids } = startRunningJobs(5);
  const leader = leaderOf(simulation);
  simulation.store.refusedNodes.add(leader);
  runFor(simulation, 500);
  cancelAt(simulation, simulation.nodeNames.find((nodeName) => nodeName !== leader)!, ids[0]!);
  runFor(simulation, 200);
  simulation.store.setDown(true);
  runFor(simulation, 3 * simulation.config.heartbeatIntervalSeconds * 1000);
  expect(workersOfJob(simulation, ids[0]!)).toEqual([]);
  expect(simulation.violations).toEqual([]);
});

test.each([1, 2])(
  'a state service outage of any length stops only cancelled tasks while all controllers are connected (%i)',
  (seed) => {
    const { simulation, ids } = startRunningJobs(seed);
    const tasksBefore = ids
      .slice(1)
      .flatMap((id) => workersOfJob(simulation, id).map((worker) => `${worker.name}/${worker.workerEpoch}`));
    const leader = leaderOf(simulation);
    cancelAt(simulation, simulation.nodeNames.find((nodeName) => nodeName !== leader)!, ids[0]!);
    runFor(simulation, 12);
    simulation.store.setDown(true);
    runFor(simulation, simulation.config.cancellationSeconds * 3000);
    expect(simulation.jobs.get(ids[0]!)!.cancelledAt).not.toBeNull();
    expect(workersOfJob(simulation, ids[0]!)).toEqual([]);
    expect(
      ids
        .slice(1)
        .flatMap((id) =>
          workersOfJob(simulation, id).map((worker) => `${worker.name}/${worker.workerEpoch}`),
        ),
    ).toEqual(tasksBefore);
    // A crashed controller may have confirmed a cancellation that no other knows of: all tasks must stop.
    simulation.controllers.crash(simulation.nodeNames.find((nodeName) => nodeName !== leader)!, 500);
    runFor(simulation, simulation.config.cancellationSeconds * 1000);
    expect(ids.flatMap((id) => workersOfJob(simulation, id))).toEqual([]);
    simulation.store.setDown(false);
    runFor(simulation, 30000);
    expect(simulation.violations).toEqual([]);
  },
);

test.each([1, 2, 3])(
  'a leader elected just before a state service outage keeps tasks running without a full sync and stops cancelled ones (%i)',
  (seed) => {
    const { simulation, ids } = startRunningJobs(seed);
    const tasksBefore = ids
      .slice(1)
      .flatMap((id) => workersOfJob(simulation, id).map((worker) => `${worker.name}/${worker.workerEpoch}`));
    const previousLeader = leaderOf(simulation);
    simulation.store.refusedNodes.add(previousLeader);
    const newLeader = () =>
      simulation.nodeNames.find((nodeName) => nodeName !== previousLeader && isLeader(simulation, nodeName));
    while (!newLeader()) runFor(simulation, 1);
    simulation.store.setDown(true);
    // Stands for a cancellation that this controller stored and confirmed to its user just before the outage.
    const controller = simulation.controllers.get(
      simulation.nodeNames.find((nodeName) => nodeName !== previousLeader && nodeName !== newLeader())!,
    )!.controller as unknown as {
      components: { cancellationCoordinator: { announce(jobId: string): void } };
    };
    controller.components.cancellationCoordinator.announce(ids[0]!);
    runFor(simulation, simulation.config.cancellationSeconds * 2500);
    expect(workersOfJob(simulation, ids[0]!)).toEqual([]);
    expect(
      ids
        .slice(1)
        .flatMap((id) =>
          workersOfJob(simulation, id).map((worker) => `${worker.name}/${worker.workerEpoch}`),
        ),
    ).toEqual(tasksBefore);
    simulation.store.clearRefusal(previousLeader);
    simulation.store.setDown(false);
    runFor(simulation, 20000);
    expect(simulation.violations).toEqual([]);
  },
);

test('a task of a cancelled job is stopped when a heartbeat lists it, even before the full sync of its shard owner', () => {
  const harness = new SchedulerHarness(5);
  harness.sendHeartbeat([]);
  harness.scheduler.requestSync('o');
  const otherTask = { ...taskStatus('running'), jobId: 'wk-2' };
  harness.sendHeartbeat([taskStatus('running'), otherTask]);
  harness.cancelledJobs.add('wk-1');
  expect(harness.sendHeartbeat([taskStatus('running'), otherTask])).toEqual([
    { type: 'stop', jobId: 'wk-1', taskIndex: 0, attempt: 1, gracePeriodSeconds: 0 },
  ]);
});

test('a shard owner that the leader cannot reach loses its shards, and a job of its team still finishes', () => {
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
  runFor(simulation, 20000);
  expect(leaderOf(simulation)).toBe(leader);
  expect(simulation.controllers.get(owner)!.controller.status().teams).toEqual([]);
  const spec = makeJobSpec(simulation, { team: team as string, taskCount: 2 });
  simulation.users.submitJob(spec);
  runFor(simulation, 60000);
  expect([simulation.jobs.get(spec.id)!.reportedState, simulation.violations]).toEqual(['done', []]);
});

test('the cancellation log is complete from when no announcement is missing up to the last timestamp acknowledged by all peers', () => {
  const log = new CancellationLog(['b', 'c']);
  expect(log.knownCancellationPeriod(100).until).toBe(Number.NEGATIVE_INFINITY);
  log.recordHeartbeat({ nodeName: 'b', instanceId: 'b1' }, { announced: 4, latestTimestamp: 90 }, 100);
  log.recordHeartbeat({ nodeName: 'c', instanceId: 'c1' }, { announced: 0, latestTimestamp: null }, 110);
  log.recordHeartbeat({ nodeName: 'b', instanceId: 'b1' }, { announced: 4, latestTimestamp: 200 }, 205);
  log.recordHeartbeat({ nodeName: 'c', instanceId: 'c1' }, { announced: 0, latestTimestamp: 180 }, 206);
  expect(log.knownCancellationPeriod(210)).toEqual({ since: 110, until: 180 });
  log.recordFromPeer({ nodeName: 'b', instanceId: 'b1' }, { jobId: 'wk-1', cancellationNumber: 5 }, 215);
  log.recordHeartbeat({ nodeName: 'b', instanceId: 'b1' }, { announced: 5, latestTimestamp: 212 }, 216);
  log.recordHeartbeat({ nodeName: 'c', instanceId: 'c1' }, { announced: 0, latestTimestamp: 213 }, 217);
  expect([log.has('wk-1'), log.knownCancellationPeriod(220)]).toEqual([true, { since: 110, until: 212 }]);
  // Announcement 6 was lost: the log is complete again only from announcement 7 on.
  log.recordFromPeer({ nodeName: 'b', instanceId: 'b1' }, { jobId: 'wk-3', cancellationNumber: 7 }, 230);
  expect(log.knownCancellationPeriod(231)).toEqual({ since: 230, until: Number.NEGATIVE_INFINITY });
  log.recordHeartbeat({ nodeName: 'b', instanceId: 'b1' }, { announced: 7, latestTimestamp: 232 }, 233);
  log.recordHeartbeat({ nodeName: 'c', instanceId: 'c2' }, { announced: 0, latestTimestamp: 234 }, 235);
  expect(log.knownCancellationPeriod(236)).toEqual({ since: 235, until: Number.NEGATIVE_INFINITY });
  expect([log.recordOwn('wk-9'), log.recordOwn('wk-9'), log.announcedCount]).toEqual([true, false, 1]);
});

test('a partitioned controller does not renew the lease of a worker that lost the leader before a cancellation', () => {
  const { simulation, ids } = startRunningJobs(7);
  const leader = leaderOf(simulation);
  const isolatedNode = simulation.nodeNames.find((nodeName) => nodeName !== leader)!;
  const worker = workersOfJob(simulation, ids[0]!)[0]!;
  simulation.cloud.isDown = true;
  // The worker's last lease renewal: from here on it reaches only the controller that will be partitioned,
  // which redirects it to the leader.
  for (const nodeName of simulation.nodeNames)
    if (nodeName !== isolatedNode) simulation.network.cut(worker.name, nodeName, 'reset');
  runFor(simulation, 1000);
  cancelAt(simulation, leader, ids[0]!);
  runFor(simulation, 9000);
  expect([worker.isAlive, worker.workerEpoch]).toEqual([true, 1]);
  for (const node of [
    ...simulation.nodeNames.filter((nodeName) => nodeName !== isolatedNode),
    'state',
    'cloud',
    'users',
  ])
    simulation.network.cut(isolatedNode, node, 'hold');
  runFor(simulation, simulation.config.cancellationSeconds * 1500);
  expect(simulation.violations).toEqual([]);
});

test('leader terms in quick succession renew leases no longer than a single term would', () => {
  const { simulation, ids } = startRunningJobs(9);
  const leader = leaderOf(simulation);
  const owner = simulation.nodeNames.find((nodeName) => nodeName !== leader)!;
  const team = (simulation.controllers.get(owner)!.controller.status().teams as string[])[0]!;
  const id = ids[['red', 'blue', 'free'].indexOf(team)]!;
  // The controllers are disconnected from each other, so no leader term gets a full sync from the shard owner
  // or lasts long enough to reassign its shard.
  for (const node of simulation.nodeNames)
    for (const other of simulation.nodeNames) if (node < other) simulation.network.cut(node, other, 'hold');
  runFor(simulation, 100);
  cancelAt(simulation, owner, id);
  const raiseToken = () => {
    raiseFencingToken(simulation, leader);
    simulation.simulator.scheduleAfter(1500, raiseToken);
  };
  raiseToken();
  runFor(simulation, simulation.config.cancellationSeconds * 1200);
  expect(isLeader(simulation, leader)).toBe(true);
  expect(workersOfJob(simulation, id)).toEqual([]);
  expect(simulation.violations).toEqual([]);
});

test('a cancellation takes effect while its job is being reloaded, and the reload does not revert it', () => {
  const sent: ShardOwnerMessage[] = [];
  const pendingLists: { prefix: string; callback: Parameters<KeyValueStore['list']>[1] }[] = [];
  let now = 0;
  const store: Partial<KeyValueStore> = {
    get: (_key, _urgency, callback) => callback({ ok: true, value: null }),
    list: ({ prefix }, callback) => pendingLists.push({ prefix, callback }),
    compareAndSwap: () => {},
  };
  const owner = new ShardOwner(
    shardOwnerOptions({
      teams: new Map([
        ['red', { name: 'red', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 }],
      ]),
      store: store as KeyValueStore,
      clock: { now: () => now, wallTime: () => now, after: () => () => {}, defer: () => {}, random: () => 0 },
      openJobsFreshAsOf: () => now,
      send: (message) => sent.push(message),
    }),
  );
  const spec = makeJobSpec(new ClusterSimulation(1), { id: 'wk-1' });
  const answerList = (prefix: string, items: { key: string; value: unknown; modRevision: number }[]) => {
    const listRequest = pendingLists.shift()!;
    expect(listRequest.prefix.startsWith(prefix)).toBe(true);
    listRequest.callback({ ok: true, value: { items, hasMore: false, storeRevision: 9 } });
  };
  const jobItem = { key: 'open/wk-1/a', value: jobRecord.encode({ spec }), modRevision: 3 };
  const placementItem = { key: 'place/wk-1/0', value: { t: { 0: [1, 'm', 1, 'a'] } }, modRevision: 4 };
  owner.setLeader(5);
  owner.setShards(new Map([['red', 1]]));
  owner.flush();
  answerList('open/', [jobItem]);
  answerList('place/', [placementItem]);
  owner.flush();
  owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 5 });
  owner.onOpenJobChanged({ key: 'open/wk-1/n', value: { n: 1, r: 0, b: '1.1' }, modRevision: 6 });
  expect(pendingLists.length).toBe(1);
  const cancelled = jobRecord.encode({ spec, acceptedRevision: 3, cancelled: true });
  owner.onOpenJobChanged({ key: 'open/wk-1/a', value: cancelled, modRevision: 7 });
  owner.onLeaderMessage({ type: 'timestamp', fencingToken: 5, leaderTimestamp: 1 });
  now = 10;
  owner.flush();
  const stops = sent
    .flatMap((message) => (message.type === 'placements' ? message.placements : []))
    .map((placement) => placement.desiredState);
  expect(stops).toEqual(['stop']);
  // The coverage message follows the placement message with the stop that it acknowledges.
  const kinds = sent.map((message) => message.type);
  expect(kinds.indexOf('cancellationCoverage')).toBeGreaterThan(kinds.indexOf('placements'));
  answerList('open/wk-1/', [jobItem]);
  answerList('place/wk-1/', [placementItem]);
  owner.flush();
  const sync = sent.filter((message) => message.type === 'fullSync').at(-1)!;
  expect([sync.placements.map((placement) => placement.desiredState), sync.requests]).toEqual([['stop'], []]);
});

test('a lease is renewed only while the shard owners of its tasks have acknowledged recent cancellations', () => {
  const harness = new SchedulerHarness(5);
  const windowMs = renewalWindowMs({ leaseSeconds: 20, cancellationSeconds: 40 });
  harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  harness.sendHeartbeat([taskStatus('running')]);
  harness.owner.acknowledgesTimestamps = false;
  harness.advance(windowMs - 100);
  expect(harness.sendHeartbeat([taskStatus('running')])).not.toBeNull();
  harness.advance(200);
  expect(harness.sendHeartbeat([taskStatus('running')])).toBeNull();
  // A placement does not start its task while its shard owner acknowledges no timestamps.
  harness.sendPlacement({ ...harness.placementSpec('run'), taskIndex: 1, machine: 'n' });
  harness.sendHeartbeat([], 5, { machine: 'n', address: 'n' });
  expect(harness.hasFinalized()).toBe(false);
  expect(
    harness.directCalls
      .flatMap((call) => call.commands)
      .some((command) => command.type === 'start' && command.taskIndex === 1),
  ).toBe(false);
  // The heartbeat response that renews the lease again also carries the stop command.
  harness.sendDesiredState('stop');
  harness.owner.acknowledgesTimestamps = true;
  expect(harness.sendHeartbeat([taskStatus('running')])?.map((command) => command.type)).toEqual(['stop']);
});

test('a lost placement message holds the cancellation watermark back and leads to a full sync', () => {
  const harness = new SchedulerHarness(5);
  harness.sendHeartbeat([]);
  harness.sendDesiredState('run');
  harness.sendHeartbeat([taskStatus('running')]);
  // The shard owner's count is one higher than the number of messages that arrived.
  harness.owner.placementMessages++;
  harness.advance(renewalWindowMs({ leaseSeconds: 20, cancellationSeconds: 40 }) + 100);
  expect(harness.sendHeartbeat([taskStatus('running')])).toBeNull();
  expect(harness.sentMessages.some((message) => message.type === 'syncRequested')).toBe(true);
});

test('a timestamp received after a read was sent is not covered by it, and coverage expires with the renewal window', () => {
  const timestamps = new PeerTimestamps();
  timestamps.add(100, 1000);
  timestamps.add(600, 1500);
  expect([
    timestamps.latestReceivedBy(999),
    timestamps.latestReceivedBy(1000),
    timestamps.latestReceivedBy(1499),
    timestamps.latestReceivedBy(1500),
  ]).toEqual([null, 100, 100, 600]);
  const coverage = { completeUntil: 1000, pendingMachines: new Set(['m']) };
  expect([
    allowsLeaseRenewal(coverage, { machine: 'n', now: 2000, windowMs: 1000 }),
    allowsLeaseRenewal(coverage, { machine: 'n', now: 2001, windowMs: 1000 }),
  ]).toEqual([true, false]);
  expect([
    allowsLeaseRenewal(coverage, { machine: 'm', now: 1000, windowMs: 1000 }),
    allowsLeaseRenewal({ ...coverage, pendingMachines: null }, { machine: 'n', now: 1000, windowMs: 1000 }),
  ]).toEqual([false, false]);
  expect(allowsLeaseRenewal(null, { machine: 'n', now: 0, windowMs: 1e9 })).toBe(false);
});
