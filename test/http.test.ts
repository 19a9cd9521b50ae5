import { beforeAll, expect, test } from 'vitest';
import type { Clock } from '../src/core/types.js';
import { createRequestHandler } from '../src/io/http-api.js';
import type { HttpResponse, RequestHandler } from '../src/io/http-server.js';
import { createUserApi } from '../src/io/user-api.js';
import { World } from './standin/world.js';

let w: World;
let served: RequestHandler;
const log = { debug: () => {}, info: () => {}, error: () => {} };

beforeAll(() => {
  w = new World(7);
  w.sim.run(3000);
  const clock = { now: () => w.sim.now, wall: () => w.sim.now } as unknown as Clock;
  const controller = w.procs.get('c0')!.ctl;
  const userApi = createUserApi({ controller, clock, log });
  served = createRequestHandler({ userApi, controller, log });
});

async function ask(
  method: string,
  path: string,
  body?: unknown,
): Promise<{
  status: number;
  json: Record<string, unknown>;
  retry: string | null;
  connection: string | null;
}> {
  const text = typeof body === 'string' ? body : body === undefined ? '' : JSON.stringify(body);
  let done: HttpResponse | undefined;
  served({ method, path, status: 0, rawHeaders: [], body: text, keepAlive: true }, (r) => {
    done = r;
  });
  for (let i = 0; i < 400 && !done; i++) {
    await new Promise((r) => setImmediate(r));
    w.sim.run(w.sim.now + 20);
  }
  if (!done) throw new Error('no answer');
  return {
    status: done.status,
    json: JSON.parse(done.body) as Record<string, unknown>,
    retry: done.headers?.['Retry-After'] ?? null,
    connection: done.headers?.Connection ?? null,
  };
}

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

test('a submission is accepted once, and a repeat is known whatever it holds', async () => {
  const first = await ask('POST', '/v2/runs', JOB);
  expect([first.status, first.json.phase]).toEqual([201, 'pending']);
  expect((await ask('POST', '/v2/runs', JOB)).status).toBe(200);
  expect((await ask('POST', '/v2/runs', { ...JOB, crew: 'nobody' })).status).toBe(200);
  expect((await ask('POST', '/v2/runs', { name_id: JOB.name_id })).status).toBe(200);
});

test.each([
  ['not JSON', '{', 400],
  ['not an object', '[]', 400],
  ['a field missing', { ...JOB, name_id: 'wk-000500', saplings: undefined }, 400],
  ['a bad value', { ...JOB, name_id: 'wk-000500', rank: 'toString' }, 400],
  ['no job id', { ...JOB, name_id: 'x' }, 400],
  ['too large', `{"a":"${'x'.repeat(70000)}"}`, 400],
  ['unknown team', { ...JOB, name_id: 'wk-000501', crew: 'nobody' }, 422],
  ['no machine holds a task', { ...JOB, name_id: 'wk-000502', vcpus: 1000.0 }, 422],
  ['more than the team limit', { ...JOB, name_id: 'wk-000503', shape: 'standing', saplings: 50 }, 422],
])('refused at once: %s', async (_name, body, status) => {
  const r = await ask('POST', '/v2/runs', body);
  expect([r.status, typeof r.json.error]).toEqual([status, 'string']);
});

test('cancelled stays cancelled, and unknown jobs are not invented', async () => {
  const job = { ...JOB, name_id: 'wk-000600', shape: 'standing' };
  expect((await ask('POST', '/v2/runs', job)).status).toBe(201);
  expect((await ask('POST', '/v2/runs/wk-000600/abort')).json.phase).toBe('withdrawn');
  w.sim.run(w.sim.now + 5000);
  expect((await ask('GET', '/v2/runs/wk-000600')).json.phase).toBe('withdrawn');
  expect((await ask('GET', '/v2/runs/wk-999999')).status).toBe(404);
  expect((await ask('POST', '/v2/runs/wk-999999/abort')).status).toBe(404);
  expect((await ask('GET', '/nowhere')).status).toBe(404);
});

test('in an outage users are told when to come back, and workers of a node that does not lead are sent on', async () => {
  w.state.setDown(true);
  const r = await ask('POST', '/v2/runs', { ...JOB, name_id: 'wk-000700' });
  expect([r.status, r.retry]).toEqual([503, expect.stringMatching(/^[123]$/)]);
  w.state.setDown(false);
  expect((await ask('POST', '/hello', { trunk: 'vm-1' })).status).toBe(400);
  const report = {
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
  // A token higher than any known here: whoever led before must not answer as the leader.
  expect((await ask('POST', '/hello', report)).status).toBe(421);
});

test('a controller that alone is refused by the state service is not ready and lets its users go; in an outage for all it is', async () => {
  w.sim.run(w.sim.now + 10000);
  expect((await ask('GET', '/ready')).status).toBe(200);
  w.state.refused.add('c0');
  w.sim.run(w.sim.now + 4000);
  expect((await ask('GET', '/ready')).status).toBe(503);
  const r = await ask('GET', '/v2/runs/wk-000412');
  expect([r.status, r.retry, r.connection]).toEqual([503, expect.stringMatching(/^[123]$/), 'close']);
  w.state.allow('c0');
  w.sim.run(w.sim.now + 5000);
  expect((await ask('GET', '/ready')).status).toBe(200);
  w.state.setDown(true);
  w.sim.run(w.sim.now + 8000);
  expect((await ask('GET', '/ready')).status).toBe(200);
  expect((await ask('GET', '/v2/runs/wk-000412')).connection).toBe(null);
  w.state.setDown(false);
});
