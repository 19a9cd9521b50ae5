import { describe, expect, test } from 'vitest';
import type { ApiAnswer } from '../../src/core/api.js';
import { Controller, type MeshMsg } from '../../src/core/controller.js';
import type { JobSpec, MachineType, WorkerReport } from '../../src/core/types.js';
import { compilePolicy } from '../../src/settings/policy.js';
import { Sim } from '../standin/sim.js';
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
  mem: 768,
  cacheGb: 200,
  fetchGbPerS: 1,
  price: 12,
  spotPrice: 4.5,
  bootS: 45,
  zones: ['a', 'b'],
};
const TYPES_TEXT =
  '[{"name":"g8","cpus":96,"gpus":8,"mem":768,"cacheGb":200,"fetchGbPerS":1,"price":12,"spotPrice":4.5,"bootS":45,"zones":["a","b"]}]';
const LEADER = { 'sys/leader': '{"inst":"stand-2.9f","host":"stand-2","token":4}' };
const OWN_NODE = { 'sys/node/stand-1': '{"inst":"stand-1.0a","lease":7}' };

const REPORT: WorkerReport = {
  machine: 'vm-000231',
  addr: '10.1.0.232:9000',
  type: 'g8',
  zone: 'a',
  spot: false,
  season: 1,
  tally: 1,
  token: 0,
  noticeS: null,
  tasks: [],
};
const SPEC: JobSpec = {
  id: 'wk-7',
  cls: 'train',
  team: 'vision',
  shape: 'array',
  rank: 2,
  tasks: 1,
  cpus: 1,
  gpus: 0,
  mem: 1,
  image: 'img',
  imageGb: 1,
  types: null,
  zone: null,
  together: false,
  apart: false,
  spot: false,
  estimateS: 1,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  at: 0,
};

/** A controller that has run for so long over these stored records. */
function controllerOver(records: Record<string, string>, cloudTypes: MachineType[], ms = 3000) {
  const sim = new Sim(1);
  const state = new RecordedState(new Map(Object.entries(records)));
  const sent: MeshMsg[] = [];
  const controller = new Controller({
    host: 'stand-1',
    inst: 'stand-1.0a',
    peers: ['stand-2'],
    teams: [{ name: 'vision', cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 }],
    workers: { reportS: 3, leaseS: 30, cancelS: 60 },
    state: { valueKb: 8, txnOps: 32, writeRps: 50 },
    listLagS: 5,
    cloudRps: 3,
    objectives: [],
    ttlMs: 3500,
    policy: POLICY,
    clock: {
      now: () => sim.now,
      wall: () => sim.now,
      after: (delayMs, run) => {
        sim.after(delayMs, run);
        return () => {};
      },
      soon: (run) => sim.after(0, run),
      random: () => 0.5,
    },
    log: { debug: () => {}, info: () => {}, error: () => {} },
    statePort: state.port,
    cloud: {
      types: (then) =>
        then(cloudTypes.length > 0 ? { ok: true, value: cloudTypes } : { ok: false, kind: 'refused' }),
      rent: (_claim, _type, _zone, _spot, _count, then) => then({ ok: false, kind: 'refused' }),
      remove: (_names, then) => then({ ok: true, value: null }),
      list: (_since, then) => then({ ok: true, value: { machines: [], more: false } }),
    },
    worker: { commands: () => {} },
    mesh: { send: (_host, message) => sent.push(message) },
  });
  controller.start();
  sim.run(ms);
  const submit = () => {
    let answer: ApiAnswer | undefined;
    controller.api.submit(SPEC, (given) => {
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
    expect(controller.report(REPORT)).toStrictEqual({ s: 'other', leader: 'stand-2' });
    expect(state.transactions.length).toBe(1);
  });

  test('the machine types: submissions are decided by them', () => {
    expect(controllerOver(LEADER, []).submit()?.s).toBe('later');
    expect(controllerOver({ ...LEADER, 'sys/types': TYPES_TEXT }, []).submit()?.s).toBe('job');
    const small = TYPES_TEXT.replace('"cpus":96', '"cpus":0.5');
    expect(controllerOver({ ...LEADER, 'sys/types': small }, []).submit()?.s).toBe('never');
  });

  test('the team: its owner tells the leader of it', () => {
    const records = { ...LEADER, ...OWN_NODE, 'sys/team/vision': '{"inst":"stand-1.0a"}' };
    const { sent } = controllerOver(records, []);
    const told = sent.flatMap(({ body }) => (body.type === 'owner' ? [body] : []));
    expect(told.map(({ to, m }) => [to, m.type, m.token, m.type === 'sync' && m.gens])).toContainEqual([
      'stand-2.9f',
      'sync',
      4,
      { vision: 41 },
    ]);
    const others = { ...records, 'sys/team/vision': '{"inst":"stand-3.0a"}' };
    const toldByOther = controllerOver(others, []).sent.flatMap(({ body }) =>
      body.type === 'owner' && body.m.type === 'sync' ? [body.m.gens] : [],
    );
    expect(toldByOther.filter((gens) => Object.keys(gens).length > 0)).toEqual([]);
  });
});
