import { describe, expect, test } from 'vitest';
import { compilePolicy } from '../../src/config/policy.js';
import { Controller } from '../../src/controller/controller.js';
import type { ControllerComponents } from '../../src/controller/controller-components.js';
import type { ApiResponse } from '../../src/model/api-response.js';
import type { JobSpec } from '../../src/model/job.js';
import type { MachineType } from '../../src/model/machine-type.js';
import type { PeerMessage } from '../../src/model/peer-message.js';
import type { Heartbeat } from '../../src/model/worker-messages.js';
import { Simulator } from '../simulation/simulated-time.js';
import { RecordingStore } from './recording-store.js';

const POLICY = compilePolicy(`
reserve_replicas = 0
reserve_batch = 0
idle_s = 20
amortize_s = 120
amortize_service_s = 300
boot_patience = 2.5
silent_s = 9
silent_share = 0.4
batch_tasks = 64
parting_s = 30
patience_s = 0
`);
const MACHINE_TYPE: MachineType = {
  name: 'g8',
  cpus: 96,
  gpus: 8,
  memoryGb: 768,
  imageCacheGb: 200,
  imageFetchGbPerSecond: 1,
  hourlyPrice: 12,
  hourlySpotPrice: 4.5,
  bootSeconds: 45,
  zones: ['a', 'b'],
};
const MACHINE_TYPES_TEXT =
  '[{"name":"g8","cpus":96,"gpus":8,"mem":768,"cacheGb":200,"fetchGbPerS":1,"price":12,"spotPrice":4.5,"bootS":45,"zones":["a","b"]}]';
const OTHER_LEADER_RECORD = { 'sys/leader': '{"inst":"stand-2.9f","host":"stand-2","token":4}' };
const OWN_NODE_RECORD = { 'sys/node/stand-1': '{"inst":"stand-1.0a","lease":7}' };

const HEARTBEAT: Heartbeat = {
  machine: 'vm-000231',
  address: '10.1.0.232:9000',
  machineType: 'g8',
  zone: 'a',
  isSpot: false,
  workerEpoch: 1,
  sequence: 1,
  fencingToken: 0,
  evictionNoticeSeconds: null,
  tasks: [],
};
const JOB_SPEC: JobSpec = {
  id: 'wk-7',
  jobClass: 'train',
  team: 'vision',
  kind: 'array',
  priority: 2,
  taskCount: 1,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 1,
  machineTypes: null,
  zone: null,
  zoneAffinity: false,
  zoneAntiAffinity: false,
  spotAllowed: false,
  estimatedRunSeconds: 1,
  checkpointIntervalSeconds: 0,
  checkpointSaveSeconds: 0,
  deadlineSeconds: null,
  acceptedAtMs: 0,
};

/** Runs a controller on the given stored records for `durationMs`. */
function runController(records: Record<string, string>, cloudTypes: MachineType[], durationMs = 3000) {
  const simulator = new Simulator(1);
  const store = new RecordingStore(new Map(Object.entries(records)));
  const sentMessages: PeerMessage[] = [];
  const controller = new Controller({
    nodeName: 'stand-1',
    instanceId: 'stand-1.0a',
    peerNames: ['stand-2'],
    teams: [{ name: 'vision', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 }],
    workerTiming: { heartbeatIntervalSeconds: 3, leaseSeconds: 30, cancellationSeconds: 60 },
    storeLimits: { maxValueKb: 8, maxTransactionOperations: 32, writesPerSecond: 50 },
    machineListLagSeconds: 5,
    cloudCallsPerSecond: 3,
    objectives: [],
    leaseTtlMs: 3500,
    policy: POLICY,
    clock: {
      now: () => simulator.now,
      wallTime: () => simulator.now,
      after: (delayMs, run) => {
        simulator.scheduleAfter(delayMs, run);
        return () => {};
      },
      defer: (run) => simulator.scheduleAfter(0, run),
      random: () => 0.5,
    },
    log: { debug: () => {}, info: () => {}, error: () => {} },
    store: store.port,
    cloud: {
      listMachineTypes: (callback) =>
        callback(cloudTypes.length > 0 ? { ok: true, value: cloudTypes } : { ok: false, kind: 'refused' }),
      rentMachines: (_request, callback) => callback({ ok: false, kind: 'refused' }),
      deleteMachines: (_names, callback) => callback({ ok: true, value: null }),
      listMachines: (_since, callback) => callback({ ok: true, value: { machines: [], hasMore: false } }),
    },
    workers: { sendCommands: () => {} },
    peerTransport: { send: (_nodeName, message) => sentMessages.push(message) },
  });
  controller.start();
  simulator.run(durationMs);
  const submit = () => {
    let answer: ApiResponse | undefined;
    controller.api.submitJob(JOB_SPEC, (result) => {
      answer = result;
    });
    simulator.run(simulator.now + 1000);
    return answer;
  };
  return { controller, store, sentMessages: sentMessages, submit };
}

describe('records that a controller writes', () => {
  test('node, fencing token and leader, in this order', () => {
    const { store } = runController({}, []);
    expect(store.transactions.slice(0, 2)).toEqual([
      '{"when":[{"key":"sys/node/stand-1","mark":0}],"then":[{"write":"sys/node/stand-1","value":{"inst":"stand-1.0a","lease":7},"tenure":7}]}',
      '{"when":[{"key":"sys/leader","mark":0},{"key":"sys/token","mark":0}],"then":[{"write":"sys/token","value":{"n":1}},{"write":"sys/leader","value":{"inst":"stand-1.0a","host":"stand-1","token":1},"tenure":7}]}',
    ]);
  });

  test('machine types and the owner of each team, as the leader', () => {
    const { store } = runController(OWN_NODE_RECORD, [MACHINE_TYPE]);
    expect(store.transactions).toContain(
      `{"when":[{"key":"sys/leader","mark":51}],"then":[{"write":"sys/types","value":${MACHINE_TYPES_TEXT}}]}`,
    );
    expect(store.transactions).toContain(
      '{"when":[{"key":"sys/leader","mark":51},{"key":"sys/team/vision","mark":0}],"then":[{"write":"sys/team/vision","value":{"inst":"stand-1.0a"}}]}',
    );
  });
});

describe('handovers of the leadership', () => {
  const handover = '{"write":"sys/handover","value":{"token":42,"hosts":';

  /** Lets a controller lead under token 42 and hand over; returns its last transaction. */
  function handOver(records: Record<string, string>): string | undefined {
    const { controller, store } = runController({ 'sys/token': '{"n":41}', ...records }, []);
    const { election } = (controller as unknown as { components: ControllerComponents }).components;
    election.resign(42, 'a test');
    return store.transactions.at(-1);
  }

  test('a leader that resigns deletes its record and names itself', () => {
    expect(handOver({})).toContain(`"then":[{"drop":"sys/leader"},${handover}["stand-1"]}}]}`);
  });

  test('it also names the controllers that handed over directly before its term', () => {
    const records = { 'sys/handover': '{"token":41,"hosts":["stand-3","stand-2"]}' };
    expect(handOver(records)).toContain(`${handover}["stand-3","stand-2","stand-1"]}}]}`);
  });

  test('it does not name those of earlier handovers', () => {
    const records = { 'sys/handover': '{"token":40,"hosts":["stand-3","stand-2"]}' };
    expect(handOver(records)).toContain(`${handover}["stand-1"]}}]}`);
  });
});

describe('records that a controller reads', () => {
  test('fencing token: the next leader takes the next higher one', () => {
    const { store } = runController({ 'sys/token': '{"n":41}' }, []);
    expect(store.transactions[1]).toBe(
      '{"when":[{"key":"sys/leader","mark":0},{"key":"sys/token","mark":41}],"then":[{"write":"sys/token","value":{"n":42}},{"write":"sys/leader","value":{"inst":"stand-1.0a","host":"stand-1","token":42},"tenure":7}]}',
    );
  });

  test('node: the lease of an earlier process on the same node is revoked', () => {
    const { store } = runController({ 'sys/node/stand-1': '{"inst":"stand-1.00","lease":6}' }, []);
    expect(store.revokedLeases).toEqual([6]);
    expect(store.transactions[0]).toBe(
      '{"when":[{"key":"sys/node/stand-1","mark":41}],"then":[{"write":"sys/node/stand-1","value":{"inst":"stand-1.0a","lease":7},"tenure":7}]}',
    );
    expect(runController(OWN_NODE_RECORD, []).store.revokedLeases).toEqual([]);
  });

  test('leader: workers are redirected to it, and the controller does not campaign', () => {
    const { controller, store } = runController(OTHER_LEADER_RECORD, []);
    expect(controller.handleHeartbeat(HEARTBEAT)).toStrictEqual({
      type: 'redirected',
      leaderName: 'stand-2',
    });
    expect(store.transactions.length).toBe(1);
  });

  test('machine types: they decide whether a submission is accepted', () => {
    expect(runController(OTHER_LEADER_RECORD, []).submit()?.type).toBe('unavailable');
    expect(
      runController({ ...OTHER_LEADER_RECORD, 'sys/types': MACHINE_TYPES_TEXT }, []).submit()?.type,
    ).toBe('job');
    const smallTypesText = MACHINE_TYPES_TEXT.replace('"cpus":96', '"cpus":0.5');
    expect(runController({ ...OTHER_LEADER_RECORD, 'sys/types': smallTypesText }, []).submit()?.type).toBe(
      'rejected',
    );
  });

  test('team: its owner sends the leader a full sync for it', () => {
    const records = {
      ...OTHER_LEADER_RECORD,
      ...OWN_NODE_RECORD,
      'sys/team/vision': '{"inst":"stand-1.0a"}',
    };
    const { sentMessages } = runController(records, []);
    const messagesToLeader = sentMessages.flatMap(({ body }) => (body.type === 'toLeader' ? [body] : []));
    expect(
      messagesToLeader.map(({ recipient, message }) => [
        recipient,
        message.type,
        message.fencingToken,
        message.type === 'fullSync' && message.shardEpochs,
      ]),
    ).toContainEqual(['stand-2.9f', 'fullSync', 4, { vision: 41 }]);
    const recordsOfOtherOwner = { ...records, 'sys/team/vision': '{"inst":"stand-3.0a"}' };
    const shardEpochsSent = runController(recordsOfOtherOwner, []).sentMessages.flatMap(({ body }) =>
      body.type === 'toLeader' && body.message.type === 'fullSync' ? [body.message.shardEpochs] : [],
    );
    expect(shardEpochsSent.filter((shardEpochs) => Object.keys(shardEpochs).length > 0)).toEqual([]);
  });
});
