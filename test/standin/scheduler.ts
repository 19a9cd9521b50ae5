import type { ListedMachine } from '../../src/model/machine-type.js';
import type { PlacementSpec, ResourceRequest } from '../../src/model/placement.js';
import type { Policy } from '../../src/model/policy.js';
import type { Result } from '../../src/model/result.js';
import type { LeaderMessage } from '../../src/model/shard-messages.js';
import type { ServiceLevelObjective } from '../../src/model/team.js';
import type { Heartbeat, TaskStatus, WorkerCommand } from '../../src/model/worker-messages.js';
import { ImageLocations } from '../../src/scheduler/image-locations.js';
import { Scheduler } from '../../src/scheduler/scheduler.js';
import { SHAPE } from './shape.js';

/** A scheduler alone, with hand-made reports and a worker whose answers the test decides on. */
export function scheduler(
  token: number,
  policy: Partial<Policy> = {},
  objectives: ServiceLevelObjective[] = [],
) {
  let now = 0;
  const said: LeaderMessage[] = [];
  const calls: { cmds: WorkerCommand[]; cb: (result: Result<Heartbeat>) => void }[] = [];
  const raised: string[] = [];
  const removed: string[] = [];
  const resigned: string[] = [];
  const siblings = { n: 0 };
  /** Jobs known to be stored as cancelled, whatever their owner has read. */
  const cancelled = new Set<string>();
  /** Machines rented and deleted: the cloud answers only if a test says so; none rented comes up by itself. */
  const rents = { served: false, n: 0 };
  const list: ListedMachine[] = [];
  const k = new Scheduler({
    instanceId: 'a',
    fencingToken: token,
    teams: new Map(SHAPE.teams.map((team) => [team.name, team])),
    workerTiming: { heartbeatIntervalSeconds: 2, leaseSeconds: 20, cancellationSeconds: 40 },
    machineListLagSeconds: 3,
    cloudCallsPerSecond: 5,
    images: new ImageLocations(),
    objectives,
    isFirstEver: true,
    clock: { now: () => now, wall: () => now, after: () => () => {}, soon: () => {}, random: () => 0 },
    log: { debug: () => {}, info: () => {}, error: () => {} },
    cloud: {
      listMachineTypes: () => {},
      rentMachines: ({ claim, count }, callback) => {
        if (!rents.served) return;
        rents.n += count;
        callback({ ok: true, value: Array.from({ length: count }, (_, i) => `${claim}-${i}`) });
      },
      deleteMachines: (names, callback) => {
        removed.push(...names);
        if (rents.served) callback({ ok: true, value: null });
      },
      listMachines: (_s, callback) => callback({ ok: true, value: { machines: list, more: false } }),
    },
    workers: {
      sendCommands: (_address, { commands }, callback) => calls.push({ cmds: commands, cb: callback }),
    },
    machineTypes: () => SHAPE.types,
    policy: () => ({
      reserve_replicas: 0,
      reserve_batch: 0,
      idle_s: 60,
      amortize_s: 60,
      amortize_service_s: 60,
      boot_patience: 3,
      silent_s: 60,
      silent_share: 0.5,
      batch_tasks: 10,
      parting_s: 30,
      patience_s: 10,
      ...policy,
    }),
    holdsLeadership: () => true,
    send: (_i, message) => said.push(message),
    wake: () => {},
    onHigherToken: () => {},
    inheritedCoverage: () => null,
    isCancelled: (id) => cancelled.has(id),
    cancellationsKnown: (at) => ({ since: at, at: Number.NEGATIVE_INFINITY }),
    reachablePeers: () => siblings.n,
    resign: (reason) => resigned.push(reason),
    raiseFencingToken: (reason) => raised.push(reason),
  });
  k.setOwners(new Map(SHAPE.teams.map((team) => [team.name, { instanceId: 'o', shardEpoch: 1 }])));
  k.onShardMessage({
    type: 'fullSync',
    fencingToken: token,
    instanceId: 'o',
    syncNumber: 1,
    chunkCount: 1,
    chunkIndex: 0,
    shardEpochs: { red: 1, blue: 1, free: 1 },
    placements: [],
    requests: [],
  });
  let sequence = 0;
  /** The owner follows the leader's marks, unless a test says that it does not. */
  const owner = { follows: true, told: 0 };
  const cover = () => {
    if (!owner.follows) return;
    const shardEpochs = { red: 1, blue: 1, free: 1 };
    k.onShardMessage({
      type: 'cancellationCoverage',
      fencingToken: token,
      instanceId: 'o',
      syncNumber: 1,
      placementMessages: owner.told,
      shardEpochs,
      leaderTimestamp: now,
    });
  };
  cover();
  const report = (tasks: TaskStatus[], seen = token, over: Partial<Heartbeat> = {}) => {
    cover();
    const a = k.handleHeartbeat({
      machine: 'm',
      address: 'm',
      machineType: 'small',
      zone: 'a',
      isSpot: false,
      agentEpoch: 1,
      sequence: ++sequence,
      fencingToken: seen,
      evictionNoticeSeconds: null,
      tasks,
      ...over,
    });
    return a === 'later' ? null : a;
  };
  const placements = (want: PlacementSpec['desiredState']): PlacementSpec => ({
    jobId: 'wk-1',
    taskIndex: 0,
    attempt: 1,
    machine: 'm',
    agentEpoch: 1,
    desiredState: want,
    gracePeriodSeconds: 0,
    team: 'red',
    priority: 2,
    isGang: false,
    isService: false,
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    image: 'i',
    imageGb: 1,
    estimatedRunSeconds: 5,
    machineTypes: null,
    spreadOverZones: false,
    grantId: 0,
  });
  const hold = (placement: PlacementSpec) => {
    k.onShardMessage({ type: 'placements', fencingToken: token, instanceId: 'o', placements: [placement] });
    owner.told++;
    k.flush();
  };
  const tell = (want: PlacementSpec['desiredState']) => hold(placements(want));
  const requests = (list: ResourceRequest[]) =>
    k.onShardMessage({ type: 'resourceRequests', fencingToken: token, instanceId: 'o', requests: list });
  const settled = () => {
    k.flush();
    return said.some(
      (message) =>
        message.type === 'allocationEvents' && message.events.some((event) => event.type === 'finalized'),
    );
  };
  const later = (ms: number) => {
    now += ms;
    cover();
    k.tick();
  };
  const grants = () => {
    k.flush();
    return said.flatMap((message) =>
      message.type === 'grants' ? message.grants.map((grant) => grant.jobId) : [],
    );
  };
  return {
    k,
    said,
    calls,
    report,
    held: placements,
    hold,
    owner,
    cancelled,
    tell,
    wants: requests,
    settled,
    later,
    raised,
    resigned,
    siblings,
    rents,
    removed,
    list,
    grants,
  };
}
export const listed = (phase: 'running' | 'exited'): TaskStatus => ({
  jobId: 'wk-1',
  taskIndex: 0,
  attempt: 1,
  phase,
  exitReason: phase === 'exited' ? 'done' : null,
  checkpointSaved: false,
});

export const makeWant = (id: string, over: Partial<ResourceRequest> = {}): ResourceRequest => ({
  jobId: id,
  team: 'red',
  jobClass: 'c',
  priority: 2,
  queuePosition: 1,
  missedObjectives: 0,
  taskCount: 1,
  allOrNothing: false,
  isService: false,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'i',
  imageGb: 1,
  estimatedRunSeconds: 5,
  machineTypes: null,
  spotAllowed: true,
  zone: null,
  zoneAffinity: false,
  zoneAllowance: null,
  maxTasksPerZone: 1,
  avoidedMachines: [],
  preferredMachine: '',
  maxWaitSeconds: null,
  objectiveSeconds: null,
  slackSeconds: null,
  lastGrantTaken: 0,
  ...over,
});
