/** User requests and worker heartbeats over HTTP, with the status codes of the protocol. */

import { beforeAll, expect, test } from 'vitest';
import type { Clock } from '../src/model/clock.js';
import type { HttpResponse, RequestHandler } from '../src/transport/http-server.js';
import { createRequestHandler } from '../src/transport/request-handler.js';
import { createUserApi } from '../src/transport/user-api.js';
import { runFor } from './simulation/cluster-queries.js';
import { ClusterSimulation } from './simulation/cluster-simulation.js';

let simulation: ClusterSimulation;
let handle: RequestHandler;
const log = { debug: () => {}, info: () => {}, error: () => {} };

beforeAll(() => {
  simulation = new ClusterSimulation(7);
  simulation.simulator.run(3000);
  const clock = {
    now: () => simulation.simulator.now,
    wallTime: () => simulation.simulator.now,
  } as unknown as Clock;
  const controller = simulation.controllers.get('c0')!.controller;
  const userApi = createUserApi({ controller, clock, log });
  handle = createRequestHandler({ userApi, controller, log });
});

interface Reply {
  status: number;
  json: Record<string, unknown>;
  retryAfter: string | null;
  connection: string | null;
}

/** Sends a request to the controller and advances simulated time until the response, by 8 s at most. */
async function sendRequest(method: string, path: string, body?: unknown): Promise<Reply> {
  const encodedBody = typeof body === 'string' ? body : body === undefined ? '' : JSON.stringify(body);
  let response: HttpResponse | undefined;
  handle(
    { method, path, status: 0, rawHeaders: [], body: encodedBody, keepAlive: true },
    (handlerResponse) => {
      response = handlerResponse;
    },
  );
  for (let i = 0; i < 400 && !response; i++) {
    await new Promise((resolve) => setImmediate(resolve));
    runFor(simulation, 20);
  }
  if (!response) throw new Error('no response within 8 s');
  return {
    status: response.status,
    json: JSON.parse(response.body) as Record<string, unknown>,
    retryAfter: response.headers?.['Retry-After'] ?? null,
    connection: response.headers?.Connection ?? null,
  };
}

const submit = (job: unknown) => sendRequest('POST', '/v2/runs', job);
const poll = (id: string) => sendRequest('GET', `/v2/runs/${id}`);
const cancel = (id: string) => sendRequest('POST', `/v2/runs/${id}/abort`);
const checkReadiness = () => sendRequest('GET', '/ready');
const advance = (ms: number) => runFor(simulation, ms);

const JOB = {
  name_id: 'wk-000412',
  grove: 'train',
  crew: 'red',
  shape: 'sweep',
  rank: 'urgent',
  saplings: 3,
  vcpus: 1.0,
  cards: 0.0,
  ram_gb: 1.0,
  seed: 'img',
  pull_gb: 0.5,
  barks: null,
  slope: null,
  together: false,
  apart: false,
  windfall: true,
  growth_s: 5.0,
  ring_s: 0.0,
  resin_s: 0.0,
  frost_s: null,
};

test('a submission is accepted once, and a repetition is recognized by its job id whatever else it contains', async () => {
  const first = await submit(JOB);
  expect([first.status, first.json.phase]).toEqual([201, 'pending']);

  expect((await submit(JOB)).status).toBe(200);
  expect((await submit({ ...JOB, crew: 'nobody' })).status).toBe(200);
  expect((await submit({ name_id: JOB.name_id })).status).toBe(200);
});

test.each([
  ['not JSON', '{', 400],
  ['not an object', '[]', 400],
  ['a field missing', { ...JOB, name_id: 'wk-000500', saplings: undefined }, 400],
  ['a bad value', { ...JOB, name_id: 'wk-000500', rank: 'toString' }, 400],
  ['no job id', { ...JOB, name_id: 'x' }, 400],
  ['too large', `{"a":"${'x'.repeat(70000)}"}`, 400],
  ['unknown team', { ...JOB, name_id: 'wk-000501', crew: 'nobody' }, 422],
  ['no machine type fits a task', { ...JOB, name_id: 'wk-000502', vcpus: 1000.0 }, 422],
  ['more than the team quota', { ...JOB, name_id: 'wk-000503', shape: 'standing', saplings: 50 }, 422],
])('a submission is rejected at once: %s', async (_name, body, status) => {
  const reply = await submit(body);
  expect([reply.status, typeof reply.json.error]).toEqual([status, 'string']);
});

test('a cancelled job stays cancelled, and unknown jobs and paths are not found', async () => {
  const service = { ...JOB, name_id: 'wk-000600', shape: 'standing' };
  expect((await submit(service)).status).toBe(201);

  expect((await cancel('wk-000600')).json.phase).toBe('withdrawn');
  advance(5000);
  expect((await poll('wk-000600')).json.phase).toBe('withdrawn');

  expect((await poll('wk-999999')).status).toBe(404);
  expect((await cancel('wk-999999')).status).toBe(404);
  expect((await sendRequest('GET', '/nowhere')).status).toBe(404);
});

test('users get Retry-After in an outage, and a controller that does not lead redirects workers', async () => {
  simulation.store.setDown(true);
  const reply = await submit({ ...JOB, name_id: 'wk-000700' });
  expect([reply.status, reply.retryAfter]).toEqual([503, expect.stringMatching(/^[123]$/)]);
  simulation.store.setDown(false);

  expect((await sendRequest('POST', '/hello', { trunk: 'vm-1' })).status).toBe(400);
  const heartbeat = {
    trunk: 'vm-1',
    address: 'vm-1',
    bark: 'small',
    slope: 'a',
    windfall: false,
    season: 1,
    tally: 1,
    crook: 10000,
    felling_s: null,
    saplings: [],
  };
  // The fencing token is higher than any known here: a former leader must not answer as the leader.
  expect((await sendRequest('POST', '/hello', heartbeat)).status).toBe(421);
});

test('a controller that alone is refused by the state service is not ready and closes user connections; in an outage for all it stays ready', async () => {
  advance(10000);
  expect((await checkReadiness()).status).toBe(200);

  simulation.store.refusedNodes.add('c0');
  advance(4000);
  expect((await checkReadiness()).status).toBe(503);
  const reply = await poll('wk-000412');
  expect([reply.status, reply.retryAfter, reply.connection]).toEqual([
    503,
    expect.stringMatching(/^[123]$/),
    'close',
  ]);

  simulation.store.clearRefusal('c0');
  advance(5000);
  expect((await checkReadiness()).status).toBe(200);

  simulation.store.setDown(true);
  advance(8000);
  expect((await checkReadiness()).status).toBe(200);
  expect((await poll('wk-000412')).connection).toBe(null);
  simulation.store.setDown(false);
});
