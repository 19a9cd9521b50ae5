import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import type { Controller } from '../../src/controller/controller.js';
import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import type { ExitReason, TaskPhase } from '../../src/model/job.js';
import type { Result } from '../../src/model/result.js';
import type { Heartbeat, WorkerCommand } from '../../src/model/worker-messages.js';
import { respondToHeartbeat } from '../../src/transport/http-api.js';
import { WorkerClient } from '../../src/transport/worker-client.js';
import { decodeHeartbeat } from '../../src/wire/worker-messages.js';
import { RecordingServer } from './recording-server.js';

const REPORT_TEXT =
  '{"trunk":"vm-000231","address":"10.1.0.232:9000","bark":"g8","slope":"a","windfall":true,"season":1,"tally":88,"crook":41,"felling_s":null,"saplings":[{"sapling":"wk-000412/3","sprout":2,"phase":"running"},{"sapling":"wk-000398/0","sprout":1,"phase":"ended","blight":"done"}]}';
const REPORT: Heartbeat = {
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
const CALLS_TEXT =
  '[{"call":"start","sapling":"wk-000412/4","sprout":2},{"call":"stop","sapling":"wk-000377/1","sprout":1,"pruning_s":10},{"call":"reap","sapling":"wk-000398/0","sprout":1}]';
const log = { debug: () => {}, info: () => {}, error: () => {} };

const taskOf = (text: string) =>
  decodeHeartbeat(JSON.parse(REPORT_TEXT.replace(/"saplings":.*$/, `"saplings":[${text}]}`)))?.tasks[0];

describe('a worker’s report', () => {
  test('is read whole', () => {
    expect(decodeHeartbeat(JSON.parse(REPORT_TEXT))).toStrictEqual(REPORT);
  });

  test.each<[string, string, Partial<Heartbeat>]>([
    ['notice', REPORT_TEXT.replace('"felling_s":null', '"felling_s":31.5'), { evictionNoticeSeconds: 31.5 }],
    ['no notice field', REPORT_TEXT.replace('"felling_s":null,', ''), {}],
    ['ordinary machine', REPORT_TEXT.replace('"windfall":true', '"windfall":false'), { isSpot: false }],
    ['no token field', REPORT_TEXT.replace('"crook":41,', ''), { fencingToken: 0 }],
    ['token null', REPORT_TEXT.replace('"crook":41', '"crook":null'), { fencingToken: 0 }],
    ['a field that is not known', REPORT_TEXT.replace('{"trunk"', '{"moss":1,"trunk"'), {}],
  ])('is read: %s', (_title, text, difference) => {
    expect(decodeHeartbeat(JSON.parse(text))).toStrictEqual({ ...REPORT, ...difference });
  });

  test.each<[string, TaskPhase]>([
    ['pulling', 'fetching'],
    ['gathering', 'waiting'],
    ['running', 'running'],
    ['saving', 'saving'],
    ['ended', 'exited'],
  ])('names the task state %s', (text, phase) => {
    expect(taskOf(`{"sapling":"wk-1/3","sprout":2,"phase":"${text}"}`)?.phase).toBe(phase);
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
  ])('names the end %s', (text, reason) => {
    expect(
      taskOf(`{"sapling":"wk-1/3","sprout":2,"phase":"ended","blight":"${text}","stored":true}`),
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
  ])('is not read without %s', (field) => {
    expect(decodeHeartbeat(JSON.parse(REPORT_TEXT.replace(field, '"moss":0')))).toBe(null);
  });
});

describe('the answer to a report', () => {
  const answered = (answer: HeartbeatResult, text = REPORT_TEXT) => {
    const reports: Heartbeat[] = [];
    const controller: Pick<Controller, 'handleHeartbeat'> = {
      handleHeartbeat: (given) => {
        reports.push(given);
        return answer;
      },
    };
    const reply = respondToHeartbeat(controller as Controller, log, text);
    return { reply, reports };
  };

  test('holds the token and the commands', () => {
    const { reply, reports } = answered({ type: 'accepted', fencingToken: 41, commands: COMMANDS });
    expect([reply.status, reply.body, reply.headers]).toEqual([
      200,
      `{"crook":41,"calls":${CALLS_TEXT}}`,
      undefined,
    ]);
    expect(reports).toStrictEqual([REPORT]);
    expect(answered({ type: 'accepted', fencingToken: 42, commands: [] }).reply.body).toBe(
      '{"crook":42,"calls":[]}',
    );
  });

  test.each<[string, HeartbeatResult, number, string]>([
    ['the leader is known', { type: 'redirected', leaderName: 'stand-2' }, 421, '{"keeper":"stand-2"}'],
    ['the leader is not known', { type: 'redirected', leaderName: null }, 421, '{}'],
    [
      'the state service is not reached',
      { type: 'unavailable' },
      503,
      '{"error":"state service not reached"}',
    ],
  ])('sends the worker elsewhere: %s', (_title, answer, status, body) => {
    const { reply } = answered(answer);
    expect([reply.status, reply.body]).toEqual([status, body]);
    expect(JSON.stringify(reply.headers)).toBe(status === 503 ? '{"Retry-After":"1"}' : undefined);
  });

  test.each(['{', '[]', '{"trunk":"vm-1"}'])('refuses a malformed report: %s', (text) => {
    const { reply, reports } = answered({ type: 'unavailable' }, text);
    expect([reply.status, reply.body, reports]).toEqual([400, '{"error":"malformed report"}', []]);
  });
});

describe('commands straight to a worker', () => {
  const server = new RecordingServer();
  let address = '';
  beforeAll(async () => {
    address = await server.listen();
  });
  afterAll(() => server.close());

  const send = (status: number, text: string, commands: WorkerCommand[] = []) => {
    server.reply = { status, text };
    return new Promise<Result<Heartbeat>>((done) =>
      new WorkerClient(1).sendCommands(address, { fencingToken: 41, workerEpoch: 3, commands }, done),
    );
  };

  test('are sent to /commands with token, season and calls, and answered by a report', async () => {
    expect(await send(200, REPORT_TEXT, COMMANDS)).toStrictEqual({ ok: true, value: REPORT });
    expect(server.requests.at(-1)).toBe(
      `POST /commands application/json {"crook":41,"season":3,"calls":${CALLS_TEXT}}`,
    );
  });

  test.each<[number, string, Result<Heartbeat>]>([
    [200, '{}', { ok: false, kind: 'indeterminate' }],
    [409, REPORT_TEXT, { ok: false, kind: 'conflict', heartbeat: REPORT }],
    [409, '{}', { ok: false, kind: 'refused' }],
    [400, '{}', { ok: false, kind: 'invalid' }],
    [500, '{}', { ok: false, kind: 'indeterminate' }],
  ])('are answered by %i %s', async (status, text, result) => {
    expect(await send(status, text)).toStrictEqual(result);
    expect(server.requests.at(-1)).toBe('POST /commands application/json {"crook":41,"season":3,"calls":[]}');
  });
});
