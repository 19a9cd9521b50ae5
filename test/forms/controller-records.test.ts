import { describe, expect, test } from 'vitest';
import { compilePolicy } from '../../src/config/policy.js';
import { Controller } from '../../src/controller/controller.js';
import type { ApiResponse } from '../../src/model/api-response.js';
import type { JobSpec } from '../../src/model/job.js';
import type { MachineType } from '../../src/model/machine-type.js';
import type { PeerMessage } from '../../src/model/peer-message.js';
import type { Heartbeat } from '../../src/model/worker-messages.js';
import { Simulator } from '../simulation/simulated-time.js';
import { RecordedState } from './recorded-state.js';

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
const TYPE: MachineType = {
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
const TYPES_TEXT =
  '[{"name":"g8","cpus":96,"gpus":8,"mem":768,"cacheGb":200,"fetchGbPerS":1,"price":12,"spotPrice":4.5,"bootS":45,"zones":["a","b"]}]';
const LEADER = { 'sys/leader': '{"inst":"stand-2.9f","host":"stand-2","token":4}' };
const OWN_NODE = { 'sys/node/stand-1': '{"inst":"stand-1.0a","lease":7}' };

const REPORT: Heartbeat = {
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
const SPEC: JobSpec = {
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

/** A controller that has run for so long over these stored records. */
function controllerOver(records: Record<string, string>, cloudTypes: MachineType[], ms = 3000) {
  const sim = new Simulator(1);
  const state = new RecordedState(new Map(Object.entries(records)));
  const sent: PeerMessage[] = [];
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
      now: () => sim.now,
      wallTime: () => sim.now,
      after: (delayMs, run) => {
        sim.scheduleAfter(delayMs, run);
        return () => {};
      },
      defer: (run) => sim.scheduleAfter(0, run),
      random: () => 0.5,
    },
    log: { debug: () => {}, info: () => {}, error: () => {} },
    store: state.port,
    cloud: {
      listMachineTypes: (then) =>
        then(cloudTypes.length > 0 ? { ok: true, value: cloudTypes } : { ok: false, kind: 'refused' }),
      rentMachines: (_request, then) => then({ ok: false, kind: 'refused' }),
      deleteMachines: (_names, then) => then({ ok: true, value: null }),
      listMachines: (_since, then) => then({ ok: true, value: { machines: [], hasMore: false } }),
    },
    workers: { sendCommands: () => {} },
    peerTransport: { send: (_host, message) => sent.push(message) },
  });
  controller.start();
  sim.run(ms);
  const submit = () => {
    let answer: ApiResponse | undefined;
    controller.api.submitJob(SPEC, (given) => {
      answer = given;
    });
    sim.run(sim.now + 1000);
    return answer;
  };
  return { controller, state, sent, submit };
}

describe('records that a controller writes', () => {
  test('its own node, the token and the leader, in this order', () => {
    const { state } = controllerOver({}, []);
    expect(state.transactions.slice(0, 2)).toEqual([
      '{"when":[{"key":"sys/node/stand-1","mark":0}],"then":[{"write":"sys/node/stand-1","value":{"inst":"stand-1.0a","lease":7},"tenure":7}]}',
      '{"when":[{"key":"sys/leader","mark":0},{"key":"sys/token","mark":0}],"then":[{"write":"sys/token","value":{"n":1}},{"write":"sys/leader","value":{"inst":"stand-1.0a","host":"stand-1","token":1},"tenure":7}]}',
    ]);
  });

  test('as the leader: the machine types, and the owner of each team', () => {
    const { state } = controllerOver(OWN_NODE, [TYPE]);
    expect(state.transactions).toContain(
      `{"when":[{"key":"sys/leader","mark":51}],"then":[{"write":"sys/types","value":${TYPES_TEXT}}]}`,
    );
    expect(state.transactions).toContain(
      '{"when":[{"key":"sys/leader","mark":51},{"key":"sys/team/vision","mark":0}],"then":[{"write":"sys/team/vision","value":{"inst":"stand-1.0a"}}]}',
    );
  });
});

describe('records that a controller reads', () => {
  test('the token: the next leader takes the one above it', () => {
    const { state } = controllerOver({ 'sys/token': '{"n":41}' }, []);
    expect(state.transactions[1]).toBe(
      '{"when":[{"key":"sys/leader","mark":0},{"key":"sys/token","mark":41}],"then":[{"write":"sys/token","value":{"n":42}},{"write":"sys/leader","value":{"inst":"stand-1.0a","host":"stand-1","token":42},"tenure":7}]}',
    );
  });

  test('the node: the lease of a predecessor on this host is ended', () => {
    const { state } = controllerOver({ 'sys/node/stand-1': '{"inst":"stand-1.00","lease":6}' }, []);
    expect(state.endedLeases).toEqual([6]);
    expect(state.transactions[0]).toBe(
      '{"when":[{"key":"sys/node/stand-1","mark":41}],"then":[{"write":"sys/node/stand-1","value":{"inst":"stand-1.0a","lease":7},"tenure":7}]}',
    );
    expect(controllerOver(OWN_NODE, []).state.endedLeases).toEqual([]);
  });

  test('the leader: workers are sent to it, and nobody else campaigns', () => {
    const { controller, state } = controllerOver(LEADER, []);
    expect(controller.handleHeartbeat(REPORT)).toStrictEqual({ type: 'redirected', leaderName: 'stand-2' });
    expect(state.transactions.length).toBe(1);
  });

  test('the machine types: submissions are decided by them', () => {
    expect(controllerOver(LEADER, []).submit()?.type).toBe('unavailable');
    expect(controllerOver({ ...LEADER, 'sys/types': TYPES_TEXT }, []).submit()?.type).toBe('job');
    const small = TYPES_TEXT.replace('"cpus":96', '"cpus":0.5');
    expect(controllerOver({ ...LEADER, 'sys/types': small }, []).submit()?.type).toBe('rejected');
  });

  test('the team: its owner tells the leader of it', () => {
    const records = { ...LEADER, ...OWN_NODE, 'sys/team/vision': '{"inst":"stand-1.0a"}' };
    const { sent } = controllerOver(records, []);
    const told = sent.flatMap(({ body }) => (body.type === 'toLeader' ? [body] : []));
    expect(
      told.map(({ recipient: to, message }) => [
        to,
        message.type,
        message.fencingToken,
        message.type === 'fullSync' && message.shardEpochs,
      ]),
    ).toContainEqual(['stand-2.9f', 'fullSync', 4, { vision: 41 }]);
    const others = { ...records, 'sys/team/vision': '{"inst":"stand-3.0a"}' };
    const toldByOther = controllerOver(others, []).sent.flatMap(({ body }) =>
      body.type === 'toLeader' && body.message.type === 'fullSync' ? [body.message.shardEpochs] : [],
    );
    expect(toldByOther.filter((shardEpochs) => Object.keys(shardEpochs).length > 0)).toEqual([]);
  });
});
