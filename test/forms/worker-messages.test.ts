import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import type { Controller } from '../../src/controller/controller.js';
import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import type { ExitReason, TaskPhase } from '../../src/model/job.js';
import type { Result } from '../../src/model/result.js';
import type { Heartbeat, WorkerCommand } from '../../src/model/worker-messages.js';
import { respondToHeartbeat } from '../../src/transport/request-handler.js';
import { WorkerClient } from '../../src/transport/worker-client.js';
import { decodeHeartbeat } from '../../src/wire/worker-messages.js';
import { RecordingServer } from './recording-server.js';

const HEARTBEAT_TEXT =
  '{"trunk":"vm-000231","address":"10.1.0.232:9000","bark":"g8","slope":"a","windfall":true,"season":1,"tally":88,"crook":41,"felling_s":null,"saplings":[{"sapling":"wk-000412/3","sprout":2,"phase":"running"},{"sapling":"wk-000398/0","sprout":1,"phase":"ended","blight":"done"}]}';
const HEARTBEAT: Heartbeat = {
  machine: 'vm-000231',
  address: '10.1.0.232:9000',
  machineType: 'g8',
  zone: 'a',
  isSpot: true,
  workerEpoch: 1,
  sequence: 88,
  fencingToken: 41,
  evictionNoticeSeconds: null,
  tasks: [
    {
      jobId: 'wk-000412',
      taskIndex: 3,
      attempt: 2,
      phase: 'running',
      exitReason: null,
      checkpointSaved: false,
    },
    {
      jobId: 'wk-000398',
      taskIndex: 0,
      attempt: 1,
      phase: 'exited',
      exitReason: 'done',
      checkpointSaved: false,
    },
  ],
};
const COMMANDS: WorkerCommand[] = [
  { type: 'start', jobId: 'wk-000412', taskIndex: 4, attempt: 2 },
  { type: 'stop', jobId: 'wk-000377', taskIndex: 1, attempt: 1, gracePeriodSeconds: 10 },
  { type: 'forget', jobId: 'wk-000398', taskIndex: 0, attempt: 1 },
];
const COMMANDS_TEXT =
  '[{"call":"start","sapling":"wk-000412/4","sprout":2},{"call":"stop","sapling":"wk-000377/1","sprout":1,"pruning_s":10},{"call":"reap","sapling":"wk-000398/0","sprout":1}]';
const log = { debug: () => {}, info: () => {}, error: () => {} };

const decodeTask = (text: string) =>
  decodeHeartbeat(JSON.parse(HEARTBEAT_TEXT.replace(/"saplings":.*$/, `"saplings":[${text}]}`)))?.tasks[0];

describe('a heartbeat of a worker', () => {
  test('is decoded completely', () => {
    expect(decodeHeartbeat(JSON.parse(HEARTBEAT_TEXT))).toStrictEqual(HEARTBEAT);
  });

  test.each<[string, string, Partial<Heartbeat>]>([
    [
      'eviction notice',
      HEARTBEAT_TEXT.replace('"felling_s":null', '"felling_s":31.5'),
      { evictionNoticeSeconds: 31.5 },
    ],
    ['eviction notice omitted', HEARTBEAT_TEXT.replace('"felling_s":null,', ''), {}],
    ['on-demand machine', HEARTBEAT_TEXT.replace('"windfall":true', '"windfall":false'), { isSpot: false }],
    ['token omitted', HEARTBEAT_TEXT.replace('"crook":41,', ''), { fencingToken: 0 }],
    ['token null', HEARTBEAT_TEXT.replace('"crook":41', '"crook":null'), { fencingToken: 0 }],
    ['unknown field', HEARTBEAT_TEXT.replace('{"trunk"', '{"moss":1,"trunk"'), {}],
  ])('is decoded: %s', (_title, text, difference) => {
    expect(decodeHeartbeat(JSON.parse(text))).toStrictEqual({ ...HEARTBEAT, ...difference });
  });

  test.each<[string, TaskPhase]>([
    ['pulling', 'fetching'],
    ['gathering', 'waiting'],
    ['running', 'running'],
    ['saving', 'saving'],
    ['ended', 'exited'],
  ])('may contain the task phase %s', (text, phase) => {
    expect(decodeTask(`{"sapling":"wk-1/3","sprout":2,"phase":"${text}"}`)?.phase).toBe(phase);
  });

  test.each<[string, ExitReason]>([
    ['done', 'done'],
    ['stopped', 'stopped'],
    ['mates_gone', 'gangMemberLost'],
    ['incomplete', 'gangIncomplete'],
    ['error', 'error'],
    ['full', 'noCapacity'],
    ['busy', 'attemptListed'],
    ['unknown', 'unknown'],
    ['anything else', 'error'],
  ])('may contain the exit reason %s', (text, reason) => {
    expect(
      decodeTask(`{"sapling":"wk-1/3","sprout":2,"phase":"ended","blight":"${text}","stored":true}`),
    ).toStrictEqual({
      jobId: 'wk-1',
      taskIndex: 3,
      attempt: 2,
      phase: 'exited',
      exitReason: reason,
      checkpointSaved: true,
    });
  });

  test.each([
    '"trunk":"vm-000231"',
    '"address":"10.1.0.232:9000"',
    '"bark":"g8"',
    '"slope":"a"',
    '"season":1',
    '"tally":88',
    '"sapling":"wk-000412/3"',
    '"sprout":2',
    '"phase":"running"',
  ])('is not decoded without %s', (field) => {
    expect(decodeHeartbeat(JSON.parse(HEARTBEAT_TEXT.replace(field, '"moss":0')))).toBe(null);
  });
});

describe('the response to a heartbeat', () => {
  const respond = (result: HeartbeatResult, text = HEARTBEAT_TEXT) => {
    const heartbeats: Heartbeat[] = [];
    const controller: Pick<Controller, 'handleHeartbeat'> = {
      handleHeartbeat: (heartbeat) => {
        heartbeats.push(heartbeat);
        return result;
      },
    };
    const response = respondToHeartbeat(controller as Controller, log, text);
    return { response, heartbeats };
  };

  test('contains the fencing token and the commands', () => {
    const { response, heartbeats } = respond({
      type: 'accepted',
      fencingToken: 41,
      commands: COMMANDS,
    });
    expect([response.status, response.body, response.headers]).toEqual([
      200,
      `{"crook":41,"calls":${COMMANDS_TEXT}}`,
      undefined,
    ]);
    expect(heartbeats).toStrictEqual([HEARTBEAT]);
    expect(respond({ type: 'accepted', fencingToken: 42, commands: [] }).response.body).toBe(
      '{"crook":42,"calls":[]}',
    );
  });

  test.each<[string, HeartbeatResult, number, string]>([
    ['leader known', { type: 'redirected', leaderName: 'stand-2' }, 421, '{"keeper":"stand-2"}'],
    ['leader unknown', { type: 'redirected', leaderName: null }, 421, '{}'],
    ['key-value store not reachable', { type: 'unavailable' }, 503, '{"error":"state service not reached"}'],
  ])('tells the worker to turn to another controller: %s', (_title, result, status, body) => {
    const { response } = respond(result);
    expect([response.status, response.body]).toEqual([status, body]);
    expect(JSON.stringify(response.headers)).toBe(status === 503 ? '{"Retry-After":"1"}' : undefined);
  });

  test.each(['{', '[]', '{"trunk":"vm-1"}'])('rejects a malformed heartbeat: %s', (text) => {
    const { response, heartbeats } = respond({ type: 'unavailable' }, text);
    expect([response.status, response.body, heartbeats]).toEqual([400, '{"error":"malformed report"}', []]);
  });
});

describe('direct commands to a worker', () => {
  const server = new RecordingServer();
  let address = '';
  beforeAll(async () => {
    address = await server.listen();
  });
  afterAll(() => server.close());

  const send = (status: number, text: string, commands: WorkerCommand[] = []) => {
    server.response = { status, text };
    return new Promise<Result<Heartbeat>>((resolve) =>
      new WorkerClient(1).sendCommands(address, { fencingToken: 41, workerEpoch: 3, commands }, resolve),
    );
  };

  test('are sent to /commands with fencing token, epoch and commands, and answered with a heartbeat', async () => {
    expect(await send(200, HEARTBEAT_TEXT, COMMANDS)).toStrictEqual({ ok: true, value: HEARTBEAT });
    expect(server.requests.at(-1)).toBe(
      `POST /commands application/json {"crook":41,"season":3,"calls":${COMMANDS_TEXT}}`,
    );
  });

  test.each<[number, string, Result<Heartbeat>]>([
    [200, '{}', { ok: false, kind: 'indeterminate' }],
    [409, HEARTBEAT_TEXT, { ok: false, kind: 'conflict', heartbeat: HEARTBEAT }],
    [409, '{}', { ok: false, kind: 'refused' }],
    [400, '{}', { ok: false, kind: 'invalid' }],
    [500, '{}', { ok: false, kind: 'indeterminate' }],
  ])('return the result of a response with %i %s', async (status, text, result) => {
    expect(await send(status, text)).toStrictEqual(result);
    expect(server.requests.at(-1)).toBe('POST /commands application/json {"crook":41,"season":3,"calls":[]}');
  });
});
