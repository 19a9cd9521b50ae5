import { describe, expect, test } from 'vitest';
import type { Controller } from '../../src/controller/controller.js';
import type { ApiResponse } from '../../src/model/api-response.js';
import type { Clock } from '../../src/model/clock.js';
import type { JobSpec } from '../../src/model/job.js';
import type { HttpResponse } from '../../src/transport/http-server.js';
import { createRequestHandler } from '../../src/transport/request-handler.js';
import { createUserApi } from '../../src/transport/user-api.js';
import { decodeSubmission, encodeJobStatus } from '../../src/wire/user-messages.js';

const JOB_TEXT =
  '{"name_id":"wk-000412","grove":"train","crew":"vision","shape":"group","rank":"urgent","saplings":16,"vcpus":8.0,"cards":1.0,"ram_gb":64.0,"seed":"img-07","pull_gb":6.2,"barks":["g8"],"slope":"a","together":true,"apart":false,"windfall":true,"growth_s":240.0,"ring_s":30.0,"resin_s":4.0,"frost_s":900.0}';
const SPEC: JobSpec = {
  id: 'wk-000412',
  jobClass: 'train',
  team: 'vision',
  kind: 'gang',
  priority: 1,
  taskCount: 16,
  cpus: 8,
  gpus: 1,
  memoryGb: 64,
  image: 'img-07',
  imageGb: 6.2,
  machineTypes: ['g8'],
  zone: 'a',
  zoneAffinity: true,
  zoneAntiAffinity: false,
  spotAllowed: true,
  estimatedRunSeconds: 240,
  checkpointIntervalSeconds: 30,
  checkpointSaveSeconds: 4,
  deadlineSeconds: 900,
  acceptedAtMs: 1700000000000,
};
const log = { debug: () => {}, info: () => {}, error: () => {} };
const clock = { now: () => 0, wallTime: () => 1700000000000 } as Clock;

/** Sends a request to a controller whose API gives `answer`. Returns the HTTP response and the API calls. */
async function sendRequest(
  method: string,
  path: string,
  body: string,
  answer: ApiResponse,
  options: { ready?: boolean; redirectsUsers?: boolean } = {},
): Promise<{ response: string; hasRetryAfter: boolean; calls: unknown[] }> {
  const calls: unknown[] = [];
  const controller = {
    api: {
      submitJob: (spec: JobSpec, callback: (answer: ApiResponse) => void) => {
        calls.push('submit', spec);
        callback(answer);
      },
      getJob: (id: string, callback: (answer: ApiResponse) => void) => {
        calls.push('poll', id);
        callback(answer);
      },
      cancelJob: (id: string, callback: (answer: ApiResponse) => void) => {
        calls.push('abort', id);
        callback(answer);
      },
    },
    isReady: () => options.ready ?? true,
    shouldRedirectUsers: () => options.redirectsUsers ?? false,
  } satisfies Partial<Record<keyof Controller, unknown>> as unknown as Controller;
  const userApi = createUserApi({ controller, clock, log });
  const handle = createRequestHandler({ userApi, controller, log });
  const httpResponse = await new Promise<HttpResponse>((resolve) =>
    handle({ method, path, status: 0, rawHeaders: [], body, keepAlive: true }, resolve),
  );
  const { 'Retry-After': retryAfter, ...otherHeaders } = httpResponse.headers ?? {};
  if (retryAfter !== undefined) expect(retryAfter).toMatch(/^[123]$/);
  return {
    response: `${httpResponse.status} ${httpResponse.body} ${JSON.stringify(otherHeaders)}`,
    hasRetryAfter: retryAfter !== undefined,
    calls,
  };
}

const QUEUED_ANSWER: ApiResponse = {
  type: 'job',
  created: false,
  state: 'queued',
  finishedTasks: 0,
  runningTasks: 0,
};
const QUEUED_TEXT = '{"name_id":"wk-000412","phase":"pending","done":0,"running":0}';

describe('a submission', () => {
  const decode = (text: string) => decodeSubmission(JSON.parse(text), 1700000000000);

  test('is decoded completely', () => {
    expect(decode(JOB_TEXT)).toStrictEqual({ ok: true, spec: SPEC });
  });

  test.each<[string, string, string, Partial<JobSpec>]>([
    ['array', '"shape":"group"', '"shape":"sweep"', { kind: 'array' }],
    ['service', '"shape":"group"', '"shape":"standing"', { kind: 'service' }],
    ['highest priority', '"rank":"urgent"', '"rank":"prod"', { priority: 0 }],
    ['third priority', '"rank":"urgent"', '"rank":"standard"', { priority: 2 }],
    ['lowest priority', '"rank":"urgent"', '"rank":"low"', { priority: 3 }],
    ['any machine type', '"barks":["g8"]', '"barks":null', { machineTypes: null }],
    ['machine types omitted', '"barks":["g8"],', '', { machineTypes: null }],
    ['any zone', '"slope":"a"', '"slope":null', { zone: null }],
    ['zone omitted', '"slope":"a",', '', { zone: null }],
    ['no deadline', '"frost_s":900.0', '"frost_s":null', { deadlineSeconds: null }],
    ['deadline omitted', ',"frost_s":900.0', '', { deadlineSeconds: null }],
    ['unknown field', '{"name_id"', '{"moss":1,"name_id"', {}],
  ])('is decoded: %s', (_title, from, to, difference) => {
    expect(JOB_TEXT).toContain(from);
    expect(decode(JOB_TEXT.replace(from, to))).toStrictEqual({ ok: true, spec: { ...SPEC, ...difference } });
  });

  test.each([
    ['grove', '"grove":"train"'],
    ['crew', '"crew":"vision"'],
    ['shape', '"shape":"group"'],
    ['rank', '"rank":"urgent"'],
    ['saplings', '"saplings":16'],
    ['vcpus', '"vcpus":8.0'],
    ['cards', '"cards":1.0'],
    ['ram_gb', '"ram_gb":64.0'],
    ['seed', '"seed":"img-07"'],
    ['pull_gb', '"pull_gb":6.2'],
    ['together', '"together":true'],
    ['apart', '"apart":false'],
    ['windfall', '"windfall":true'],
    ['growth_s', '"growth_s":240.0'],
    ['ring_s', '"ring_s":30.0'],
    ['resin_s', '"resin_s":4.0'],
  ])('is rejected without %s, which the error names', async (name, field) => {
    const text = JOB_TEXT.replace(field, '"moss":0');
    expect(decode(text)).toStrictEqual({
      ok: false,
      id: 'wk-000412',
      reason: `${name} is missing or invalid`,
    });
    const { response, calls } = await sendRequest('POST', '/v2/runs', text, { type: 'notFound' });
    expect(response).toBe(`400 {"error":"${name} is missing or invalid"} {}`);
    expect(calls).toEqual(['poll', 'wk-000412']);
  });

  test.each([
    ['barks', '"barks":["g8"]', '"barks":[1]'],
    ['slope', '"slope":"a"', '"slope":1'],
    ['frost_s', '"frost_s":900.0', '"frost_s":-1'],
    ['saplings', '"saplings":16', '"saplings":0'],
    ['saplings', '"saplings":16', '"saplings":100001'],
    ['vcpus', '"vcpus":8.0', '"vcpus":-1'],
    ['shape', '"shape":"group"', '"shape":"gang"'],
    ['rank', '"rank":"urgent"', '"rank":1'],
  ])('is rejected if %s is invalid', (name, from, to) => {
    expect(decode(JOB_TEXT.replace(from, to))).toStrictEqual({
      ok: false,
      id: 'wk-000412',
      reason: `${name} is missing or invalid`,
    });
  });

  test.each([
    ['{', '400 {"error":"not a JSON object"} {}'],
    ['[]', '400 {"error":"not a JSON object"} {}'],
    ['{}', '400 {"error":"name_id is missing or invalid"} {}'],
    ['{"name_id":"job-1"}', '400 {"error":"name_id is missing or invalid"} {}'],
  ])('is rejected without a valid job id: %s', async (text, expected) => {
    const { response, calls } = await sendRequest('POST', '/v2/runs', text, QUEUED_ANSWER);
    expect([response, calls]).toEqual([expected, []]);
  });

  test('is answered with the status of its job if it is malformed but the job is known', async () => {
    expect((await sendRequest('POST', '/v2/runs', '{"name_id":"wk-000412"}', QUEUED_ANSWER)).response).toBe(
      `200 ${QUEUED_TEXT} {}`,
    );
  });
});

describe('job state', () => {
  test.each([
    ['queued', 'pending'],
    ['running', 'running'],
    ['done', 'done'],
    ['cancelled', 'withdrawn'],
  ] as const)('%s is encoded as %s', (state, phase) => {
    const answer = { type: 'job', created: false, state, finishedTasks: 3, runningTasks: 13 } as const;
    expect(JSON.stringify(encodeJobStatus('wk-000412', answer))).toBe(
      `{"name_id":"wk-000412","phase":"${phase}","done":3,"running":13}`,
    );
  });
});

describe('responses to users', () => {
  const rejected: ApiResponse = { type: 'rejected', reason: 'unknown team x' };
  const unavailable: ApiResponse = { type: 'unavailable', reason: 'state service not reached' };

  test.each<[string, string, string, ApiResponse, string, unknown[]]>([
    [
      'accepted',
      'POST',
      '/v2/runs',
      { ...QUEUED_ANSWER, created: true },
      `201 ${QUEUED_TEXT} {}`,
      ['submit', SPEC],
    ],
    ['accepted before', 'POST', '/v2/runs', QUEUED_ANSWER, `200 ${QUEUED_TEXT} {}`, ['submit', SPEC]],
    ['rejected', 'POST', '/v2/runs', rejected, '422 {"error":"unknown team x"} {}', ['submit', SPEC]],
    [
      'unavailable',
      'POST',
      '/v2/runs',
      unavailable,
      '503 {"error":"state service not reached"} {}',
      ['submit', SPEC],
    ],
    ['status', 'GET', '/v2/runs/wk-000412', QUEUED_ANSWER, `200 ${QUEUED_TEXT} {}`, ['poll', 'wk-000412']],
    [
      'unknown job',
      'GET',
      '/v2/runs/wk-1',
      { type: 'notFound' },
      '404 {"error":"no such job"} {}',
      ['poll', 'wk-1'],
    ],
    ['invalid job id', 'GET', '/v2/runs/job-1', QUEUED_ANSWER, '404 {"error":"no such job"} {}', []],
    [
      'cancelled',
      'POST',
      '/v2/runs/wk-000412/abort',
      { type: 'job', created: false, state: 'cancelled', finishedTasks: 3, runningTasks: 0 },
      '200 {"name_id":"wk-000412","phase":"withdrawn","done":3,"running":0} {}',
      ['abort', 'wk-000412'],
    ],
    [
      'cancellation with an invalid job id',
      'POST',
      '/v2/runs/job-1/abort',
      QUEUED_ANSWER,
      '404 {"error":"no such job"} {}',
      [],
    ],
    ['ready', 'GET', '/ready', QUEUED_ANSWER, '200 {"ready":true} {}', []],
    ['unknown path', 'GET', '/v2/jobs', QUEUED_ANSWER, '404 {"error":"no such path"} {}', []],
  ])('%s', async (_title, method, path, answer, expectedResponse, expectedCalls) => {
    const result = await sendRequest(method, path, method === 'POST' ? JOB_TEXT : '', answer);
    expect([result.response, result.calls, result.hasRetryAfter]).toStrictEqual([
      expectedResponse,
      expectedCalls,
      expectedResponse.startsWith('503'),
    ]);
  });

  test('close the connection when users should go to another controller', async () => {
    const result = await sendRequest('GET', '/v2/runs/wk-1', '', unavailable, { redirectsUsers: true });
    expect([result.response, result.hasRetryAfter]).toEqual([
      '503 {"error":"state service not reached"} {"Connection":"close"}',
      true,
    ]);
  });

  test('report to health checks that the controller is not ready', async () => {
    const result = await sendRequest('GET', '/ready', '', unavailable, { ready: false });
    expect([result.response, result.hasRetryAfter]).toEqual(['503 {"error":"not ready"} {}', true]);
  });
});
