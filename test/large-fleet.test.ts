/** One leader and one shard owner with 4,000 machines: limits on operation counts and memory, not on time. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect, test } from 'vitest';
import { Controller } from '../src/controller/controller.js';
import type { JobSpec } from '../src/model/job.js';
import type { KeyValueStore } from '../src/model/key-value-store.js';
import type { ShardOwnerMessage } from '../src/model/shard-messages.js';
import type { TaskStatus, WorkerCommand } from '../src/model/worker-messages.js';
import { ShardOwner } from '../src/shard/shard-owner.js';
import { jobRecord } from '../src/store/record-codec.js';
import { CLUSTER_CONFIG } from './simulation/cluster-config.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';
import { makeJobSpec } from './simulation/job-spec.js';
import { SchedulerHarness } from './simulation/scheduler-harness.js';
import { shardOwnerOptions } from './simulation/shard-owner-harness.js';

const MACHINES = 4000;
const MAX_HEAP_GROWTH_BYTES = 60 * 1024 * 1024;

interface SchedulerInternals {
  state: {
    fleetTotals: { changedMachines: Set<unknown> };
    machines: Map<string, { isUp: boolean }>;
    capacities: { capacityOf: (...args: unknown[]) => unknown };
  };
}
const internalsOf = (harness: SchedulerHarness) => harness.scheduler as unknown as SchedulerInternals;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
function heapUsed(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Creates a state service that holds these jobs and carries out every write at once. */
function createStore(specs: JobSpec[]): KeyValueStore {
  let revision = 10;
  const items = specs.map((spec, index) => ({
    key: `open/${spec.id}/a`,
    value: jobRecord.encode({ spec }),
    modRevision: index + 1,
  }));
  return {
    get: (_key, _urgency, callback) => callback({ ok: true, value: null }),
    list: ({ prefix }, callback) =>
      callback({
        ok: true,
        value: { items: prefix === 'open/' ? items : [], hasMore: false, storeRevision: revision },
      }),
    compareAndSwap: (_txn, _urgency, callback) => callback({ ok: true, value: ++revision }),
  } as Partial<KeyValueStore> as KeyValueStore;
}

function createOwner(specs: JobSpec[], send: (message: ShardOwnerMessage) => void): ShardOwner {
  let now = 0;
  const clock = {
    now: () => (now += 400),
    wallTime: () => 1000,
    after: () => () => {},
    defer: () => {},
    random: () => 0,
  };
  const owner = new ShardOwner(
    shardOwnerOptions({
      teams: new Map(CLUSTER_CONFIG.teams.map((team) => [team.name, team])),
      maxValueKb: 16,
      maxTransactionOperations: 32,
      maxTasksPerRequest: MACHINES,
      store: createStore(specs),
      clock,
      send,
    }),
  );
  owner.setShards(new Map(CLUSTER_CONFIG.teams.map((team) => [team.name, 1])));
  return owner;
}

/** A leader, the shard owner of all teams, and workers whose tasks never end by themselves. */
class Fleet {
  readonly names = Array.from({ length: MACHINES }, (_, i) => `vm-${String(i).padStart(6, '0')}`);
  readonly tasks = new Map<string, Map<string, TaskStatus>>(this.names.map((name) => [name, new Map()]));
  readonly owner: ShardOwner;
  leader = new SchedulerHarness(5, {
    maxIdleSeconds: 1e6,
    unresponsiveSeconds: 6,
    maxUnresponsiveShare: 0.4,
  });
  messages = 0;
  private deliveredMessages = 0;

  constructor(specs: JobSpec[]) {
    this.owner = createOwner(specs, (message) => {
      this.messages++;
      this.leader.owner.placementMessages += message.type === 'placements' ? 1 : 0;
      this.leader.scheduler.onShardMessage(JSON.parse(JSON.stringify(message)));
    });
    this.owner.setLeader(5);
  }

  zoneOf(name: string): string {
    return Number(name.slice(3)) % 5 < 2 ? 'a' : 'b';
  }

  sendHeartbeat(name: string, token: number): void {
    const tasks = this.tasks.get(name)!;
    const heartbeatOverrides = { machine: name, address: name, zone: this.zoneOf(name) };
    const commands = this.leader.sendHeartbeat([...tasks.values()], token, heartbeatOverrides) ?? [];
    for (const command of commands) this.execute(name, command);
  }

  private execute(name: string, { type, jobId: id, taskIndex, attempt }: WorkerCommand): void {
    const tasks = this.tasks.get(name)!;
    if (type === 'start')
      tasks.set(id + taskIndex, {
        jobId: id,
        taskIndex,
        attempt,
        phase: 'running',
        exitReason: null,
        checkpointSaved: false,
      });
    else tasks.delete(id + taskIndex);
  }

  /** Runs one second: machines in `zones` send heartbeats, leader and shard owner exchange messages. */
  runRound(token: number, zones: string[] = ['a', 'b']): void {
    for (const name of this.names) if (zones.includes(this.zoneOf(name))) this.sendHeartbeat(name, token);
    this.leader.advance(1000);
    this.leader.scheduler.flush();
    for (const call of this.leader.directCalls.splice(0)) call.callback({ ok: false, kind: 'refused' });
    const { sentMessages } = this.leader;
    for (; this.deliveredMessages < sentMessages.length; this.deliveredMessages++)
      this.owner.onLeaderMessage(sentMessages[this.deliveredMessages]!);
    this.owner.flush();
  }

  electLeader(token: number): void {
    this.leader = new SchedulerHarness(token, {
      maxIdleSeconds: 1e6,
      unresponsiveSeconds: 6,
      maxUnresponsiveShare: 0.4,
    });
    this.deliveredMessages = 0;
    this.owner.setLeader(token);
    this.owner.flush();
  }

  runningTaskCount(): number {
    let count = 0;
    for (const tasks of this.tasks.values()) count += tasks.size;
    return count;
  }
}

test('a fleet of 4,000 machines registers, gets work and keeps it through an election and the loss of a zone', () => {
  const arrayJob = makeJobSpec(new ClusterSimulation(1), {
    team: 'free',
    taskCount: MACHINES,
    cpus: 4,
    memoryGb: 1,
    estimatedRunSeconds: 1000,
    spotAllowed: false,
  });
  const heapBefore = heapUsed();
  const fleet = new Fleet([arrayJob]);
  for (let i = 0; i < 8; i++) fleet.runRound(5);
  expect(internalsOf(fleet.leader).state.machines.size).toBe(MACHINES);
  expect(fleet.runningTaskCount()).toBe(MACHINES);
  expect(heapUsed() - heapBefore).toBeLessThan(MAX_HEAP_GROWTH_BYTES);

  // A heartbeat updates its own machine only; a pass checks only machines with free capacity, here none.
  const { state } = internalsOf(fleet.leader);
  state.fleetTotals.changedMachines.clear();
  fleet.sendHeartbeat(fleet.names[7]!, 5);
  expect(state.fleetTotals.changedMachines.size).toBeLessThanOrEqual(1);
  let capacityChecks = 0;
  const capacityOf = state.capacities.capacityOf.bind(state.capacities);
  state.capacities.capacityOf = (...args) => {
    capacityChecks++;
    return capacityOf(...args);
  };
  fleet.leader.advance(1000);
  fleet.leader.scheduler.flush();
  expect(capacityChecks).toBeLessThanOrEqual(MACHINES);

  // After an election the shard owner sends a full sync in bounded chunks; no task is stopped or restarted.
  fleet.messages = 0;
  fleet.electLeader(6);
  expect(fleet.messages).toBeLessThanOrEqual(12);
  for (let i = 0; i < 6; i++) fleet.runRound(6);
  expect(fleet.runningTaskCount()).toBe(MACHINES);
  expect(fleet.leader.scheduler.stats().allocations).toBe(MACHINES);

  // The zone with most machines is unresponsive, and no peer confirms that they are lost: none is deleted.
  for (let i = 0; i < 12; i++) fleet.runRound(6, ['a']);
  expect(fleet.leader.deletedMachines).toEqual([]);
  for (let i = 0; i < 3; i++) fleet.runRound(6);
  expect(fleet.runningTaskCount()).toBe(MACHINES);
  expect(heapUsed() - heapBefore).toBeLessThan(1.5 * MAX_HEAP_GROWTH_BYTES);
}, 60_000);

test('a controller reports all of the 4,000 machines that it redirected to the leader', () => {
  const redirectedCounts: number[] = [];
  const noop = () => {};
  const stub = new Proxy({}, { get: () => noop });
  const controller = new Controller({
    nodeName: 'c0',
    instanceId: 'c0.1',
    peerNames: ['c1'],
    teams: CLUSTER_CONFIG.teams,
    workerTiming: { heartbeatIntervalSeconds: 3, leaseSeconds: 21, cancellationSeconds: 46 },
    storeLimits: { maxValueKb: 16, maxTransactionOperations: 16, writesPerSecond: 20 },
    machineListLagSeconds: 3,
    cloudCallsPerSecond: 8,
    objectives: [],
    leaseTtlMs: 3500,
    policy: () => ({}) as ReturnType<ConstructorParameters<typeof Controller>[0]['policy']>,
    clock: {
      now: () => 1e7,
      wallTime: () => 1e7,
      after: () => noop,
      defer: (callback) => callback(),
      random: () => 0,
    },
    log: { debug: noop, info: noop, error: noop },
    store: stub as KeyValueStore,
    cloud: stub as ConstructorParameters<typeof Controller>[0]['cloud'],
    workers: stub as ConstructorParameters<typeof Controller>[0]['workers'],
    peerTransport: {
      send: (_host, { body }) =>
        body.type === 'heartbeat' && redirectedCounts.push(body.redirectedMachines.length),
    },
  });
  const internals = controller as unknown as { components: { leadership: { knownLeader: object } } };
  internals.components.leadership.knownLeader = {
    instanceId: 'c1.1',
    nodeName: 'c1',
    fencingToken: 1,
  };
  for (let i = 0; i < MACHINES; i++)
    controller.handleHeartbeat({
      machine: `vm-${i}`,
      address: '',
      machineType: 'small',
      zone: 'a',
      isSpot: false,
      workerEpoch: 1,
      sequence: 1,
      fencingToken: 1,
      evictionNoticeSeconds: null,
      tasks: [],
    });
  controller.push({ type: 'tick' });
  expect(redirectedCounts).toEqual([MACHINES]);
});
