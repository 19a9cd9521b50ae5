import { describe, expect, test } from 'vitest';
import type { Controller } from '../../src/controller/controller.js';
import type { ApiResponse } from '../../src/model/api-response.js';
import type { Clock } from '../../src/model/clock.js';
import type { JobSpec } from '../../src/model/job.js';
import { createRequestHandler } from '../../src/transport/http-api.js';
import type { HttpResponse } from '../../src/transport/http-server.js';
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

/** A request to a controller that gives this answer: its reply, and what was asked of the controller. */
async function ask(
  method: string,
  path: string,
  body: string,
  given: ApiResponse,
  of: { ready?: boolean; elsewhere?: boolean } = {},
): Promise<{ reply: string; retry: boolean; asked: unknown[] }> {
  const asked: unknown[] = [];
  const controller = {
    api: {
      submitJob: (spec: JobSpec, then: (answer: ApiResponse) => void) => {
        asked.push('submit', spec);
        then(given);
      },
      getJob: (id: string, then: (answer: ApiResponse) => void) => {
        asked.push('poll', id);
        then(given);
      },
      cancelJob: (id: string, then: (answer: ApiResponse) => void) => {
        asked.push('abort', id);
        then(given);
      },
    },
    isReady: () => of.ready ?? true,
    shouldRedirectUsers: () => of.elsewhere ?? false,
  } satisfies Partial<Record<keyof Controller, unknown>> as unknown as Controller;
  const userApi = createUserApi({ controller, clock, log });
  const handle = createRequestHandler({ userApi, controller, log });
  const reply = await new Promise<HttpResponse>((done) =>
    handle({ method, path, status: 0, rawHeaders: [], body, keepAlive: true }, done),
  );
  const { 'Retry-After': again, ...others } = reply.headers ?? {};
  if (again !== undefined) expect(again).toMatch(/^[123]$/);
  return {
    reply: `${reply.status} ${reply.body} ${JSON.stringify(others)}`,
    retry: again !== undefined,
    asked,
  };
}

const QUEUED: ApiResponse = {
  type: 'job',
  created: false,
  state: 'queued',
  finishedTasks: 0,
  runningTasks: 0,
};
const PENDING_TEXT = '{"name_id":"wk-000412","phase":"pending","done":0,"running":0}';

describe('a submission', () => {
  const read = (text: string) => decodeSubmission(JSON.parse(text), 1700000000000);

  test('is read whole', () => {
    expect(read(JOB_TEXT)).toStrictEqual({ ok: true, spec: SPEC });
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
    ['a field that is not known', '{"name_id"', '{"moss":1,"name_id"', {}],
  ])('is read: %s', (_title, from, to, difference) => {
    expect(JOB_TEXT).toContain(from);
    expect(read(JOB_TEXT.replace(from, to))).toStrictEqual({ ok: true, spec: { ...SPEC, ...difference } });
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
  ])('is refused without %s, which is named', async (name, field) => {
    const text = JOB_TEXT.replace(field, '"moss":0');
    expect(read(text)).toStrictEqual({ ok: false, id: 'wk-000412', reason: `${name} is missing or invalid` });
    const { reply, asked } = await ask('POST', '/v2/runs', text, { type: 'notFound' });
    expect(reply).toBe(`400 {"error":"${name} is missing or invalid"} {}`);
    expect(asked).toEqual(['poll', 'wk-000412']);
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
  ])('is refused when %s is invalid', (name, from, to) => {
    expect(read(JOB_TEXT.replace(from, to))).toStrictEqual({
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
  ])('is refused without a job id: %s', async (text, expected) => {
    const { reply, asked } = await ask('POST', '/v2/runs', text, QUEUED);
    expect([reply, asked]).toEqual([expected, []]);
  });

  test('that is malformed is answered as its job is, if that is known', async () => {
    expect((await ask('POST', '/v2/runs', '{"name_id":"wk-000412"}', QUEUED)).reply).toBe(
      `200 ${PENDING_TEXT} {}`,
    );
  });
});

describe('the state of a job', () => {
  test.each([
    ['queued', 'pending'],
    ['running', 'running'],
    ['done', 'done'],
    ['cancelled', 'withdrawn'],
  ] as const)('%s is written as %s', (state, phase) => {
    const answer = { type: 'job', created: false, state, finishedTasks: 3, runningTasks: 13 } as const;
    expect(JSON.stringify(encodeJobStatus('wk-000412', answer))).toBe(
      `{"name_id":"wk-000412","phase":"${phase}","done":3,"running":13}`,
    );
  });
});

describe('answers to users', () => {
  const never: ApiResponse = { type: 'rejected', reason: 'unknown team x' };
  const later: ApiResponse = { type: 'unavailable', reason: 'state service not reached' };

  test.each<[string, string, string, ApiResponse, string, unknown[]]>([
    [
      'accepted',
      'POST',
      '/v2/runs',
      { ...QUEUED, created: true },
      `201 ${PENDING_TEXT} {}`,
      ['submit', SPEC],
    ],
    ['known', 'POST', '/v2/runs', QUEUED, `200 ${PENDING_TEXT} {}`, ['submit', SPEC]],
    ['never', 'POST', '/v2/runs', never, '422 {"error":"unknown team x"} {}', ['submit', SPEC]],
    ['later', 'POST', '/v2/runs', later, '503 {"error":"state service not reached"} {}', ['submit', SPEC]],
    ['polled', 'GET', '/v2/runs/wk-000412', QUEUED, `200 ${PENDING_TEXT} {}`, ['poll', 'wk-000412']],
    [
      'unknown',
      'GET',
      '/v2/runs/wk-1',
      { type: 'notFound' },
      '404 {"error":"no such job"} {}',
      ['poll', 'wk-1'],
    ],
    ['not an id', 'GET', '/v2/runs/job-1', QUEUED, '404 {"error":"no such job"} {}', []],
    [
      'cancelled',
      'POST',
      '/v2/runs/wk-000412/abort',
      { type: 'job', created: false, state: 'cancelled', finishedTasks: 3, runningTasks: 0 },
      '200 {"name_id":"wk-000412","phase":"withdrawn","done":3,"running":0} {}',
      ['abort', 'wk-000412'],
    ],
    ['cancel, not an id', 'POST', '/v2/runs/job-1/abort', QUEUED, '404 {"error":"no such job"} {}', []],
    ['ready', 'GET', '/ready', QUEUED, '200 {"ready":true} {}', []],
    ['no such path', 'GET', '/v2/jobs', QUEUED, '404 {"error":"no such path"} {}', []],
  ])('%s', async (_title, method, path, given, reply, asked) => {
    const got = await ask(method, path, method === 'POST' ? JOB_TEXT : '', given);
    expect([got.reply, got.asked, got.retry]).toStrictEqual([reply, asked, reply.startsWith('503')]);
  });

  test('lead users to another controller when this one cannot serve them', async () => {
    const got = await ask('GET', '/v2/runs/wk-1', '', later, { elsewhere: true });
    expect([got.reply, got.retry]).toEqual([
      '503 {"error":"state service not reached"} {"Connection":"close"}',
      true,
    ]);
  });

  test('tell health checks that a controller is not ready', async () => {
    const got = await ask('GET', '/ready', '', later, { ready: false });
    expect([got.reply, got.retry]).toEqual(['503 {"error":"not ready"} {}', true]);
  });
});
