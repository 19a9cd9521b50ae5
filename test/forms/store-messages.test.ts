import { afterAll, beforeAll, describe, expect, test } from 'vitest';
import { type KeyValueStore, type Transaction, URGENCY } from '../../src/model/key-value-store.js';
import type { Result } from '../../src/model/result.js';
import { StoreClient } from '../../src/transport/store-client.js';
import { RecordingServer } from './recording-server.js';

const server = new RecordingServer();
let store: StoreClient;
beforeAll(async () => {
  store = new StoreClient(await server.listen(), {
    requestsPerSecond: 1000,
    writesPerSecond: 1000,
    controllerCount: 1,
  });
});
afterAll(() => server.close());

/** A call of the state service: the request as it was sent, and what is made of this answer. */
async function call(
  status: number,
  text: string,
  ask: (port: KeyValueStore, then: (result: Result<unknown>) => void) => void,
) {
  server.reply = { status, text };
  const result = await new Promise<Result<unknown>>((done) => ask(store, done));
  return { request: server.requests.at(-1), result };
}

const TRANSACTION: Transaction = {
  preconditions: [
    { key: 'a/b', modRevision: 0 },
    { key: 'c/d', modRevision: 12 },
  ],
  operations: [
    { type: 'put', key: 'a/b', value: { one: 1 }, leaseId: 7 },
    { type: 'put', key: 'a/c', value: null },
    { type: 'delete', key: 'c/d' },
  ],
};

type Ask = (port: KeyValueStore, then: (result: Result<unknown>) => void) => void;
const get: Ask = (port, then) => port.get('a/b', URGENCY.read, then);
const list: Ask = (port, then) => port.list({ prefix: 'c/', startAfter: 'c/7', urgency: URGENCY.read }, then);
const transact: Ask = (port, then) => port.compareAndSwap(TRANSACTION, URGENCY.lease, then);
const watch: Ask = (port, then) => port.watch({ prefix: 'c/', sinceRevision: 431, waitMs: 10000 }, then);
const grant: Ask = (port, then) => port.grantLease(3500.4, then);
const touch: Ask = (port, then) => port.keepLeaseAlive(7, then);
const end: Ask = (port, then) => port.revokeLease(7, then);

describe('requests to the state service', () => {
  test.each<[string, Ask, string]>([
    ['a read', get, 'GET /store/a/b'],
    [
      'a read of a key with other characters',
      (port, then) => port.get('sys/node/é?', URGENCY.read, then),
      'GET /store/sys/node/%C3%A9?',
    ],
    ['a list', list, 'GET /store?prefix=c%2F&since=c%2F7&page=500'],
    [
      'a transaction',
      transact,
      'POST /txn application/json {"when":[{"key":"a/b","mark":0},{"key":"c/d","mark":12}],"then":[{"write":"a/b","value":{"one":1},"tenure":7},{"write":"a/c","value":null},{"drop":"c/d"}]}',
    ],
    ['a watch', watch, 'GET /watch?prefix=c%2F&since=431&wait_ms=10000'],
    ['a lease', grant, 'POST /grants application/json {"ttl_ms":3500}'],
    ['a renewal', touch, 'POST /grants/7/touch application/json {}'],
    ['the end of a lease', end, 'DELETE /grants/7'],
  ])('%s', async (_title, ask, request) => {
    expect((await call(200, '{}', ask)).request).toBe(request);
  });
});

describe('answers of the state service', () => {
  test.each<[string, Ask, number, string, Result<unknown>]>([
    [
      'an item',
      get,
      200,
      '{"key":"a/b","value":{"one":1},"mark":412,"tenure":7}',
      { ok: true, value: { key: 'a/b', value: { one: 1 }, modRevision: 412, leaseId: 7 } },
    ],
    [
      'an item without a lease',
      get,
      200,
      '{"key":"a/b","value":[],"mark":412,"tenure":null}',
      { ok: true, value: { key: 'a/b', value: [], modRevision: 412 } },
    ],
    ['no item', get, 404, '{"ring":431}', { ok: true, value: null }],
    ['an item without a revision', get, 200, '{"key":"a/b","value":1}', { ok: false, kind: 'indeterminate' }],
    [
      'a page',
      list,
      200,
      '{"items":[{"key":"c/8","value":1,"mark":5},{"key":"c/9","value":2,"mark":6}],"has_next":true,"ring":431}',
      {
        ok: true,
        value: {
          items: [
            { key: 'c/8', value: 1, modRevision: 5 },
            { key: 'c/9', value: 2, modRevision: 6 },
          ],
          hasMore: true,
          storeRevision: 431,
        },
      },
    ],
    [
      'the last page',
      list,
      200,
      '{"items":[],"has_next":false,"ring":431}',
      { ok: true, value: { items: [], hasMore: false, storeRevision: 431 } },
    ],
    ['a page without a revision', list, 200, '{"items":[]}', { ok: false, kind: 'indeterminate' }],
    ['a transaction carried out', transact, 200, '{"ring":432}', { ok: true, value: 432 }],
    [
      'a transaction that failed',
      transact,
      409,
      '{"failed":["a/b"],"ring":431}',
      { ok: false, kind: 'conflict', failedKeys: ['a/b'] },
    ],
    ['an expired lease', transact, 400, '{"error":"no such lease"}', { ok: false, kind: 'invalid' }],
    ['an outage', transact, 503, '{}', { ok: false, kind: 'refused' }],
    ['a defect', transact, 500, '{}', { ok: false, kind: 'indeterminate' }],
    [
      'changes',
      watch,
      200,
      '{"ring":433,"log":[{"write":"c/9","value":{"one":1},"mark":433},{"drop":"c/d","mark":432}]}',
      {
        ok: true,
        value: {
          storeRevision: 433,
          events: [
            { type: 'put', key: 'c/9', modRevision: 433, value: { one: 1 } },
            { type: 'delete', key: 'c/d', modRevision: 432 },
          ],
        },
      },
    ],
    [
      'no changes',
      watch,
      200,
      '{"ring":433,"log":[]}',
      { ok: true, value: { storeRevision: 433, events: [] } },
    ],
    [
      'a change without a revision',
      watch,
      200,
      '{"ring":433,"log":[{"drop":"c"}]}',
      { ok: false, kind: 'indeterminate' },
    ],
    ['changes forgotten', watch, 410, '{}', { ok: false, kind: 'notFound' }],
    ['a lease', grant, 200, '{"tenure":7}', { ok: true, value: 7 }],
    ['a renewal', touch, 200, '{}', { ok: true, value: null }],
    ['a renewal too late', touch, 404, '{}', { ok: false, kind: 'notFound' }],
    ['a lease ended', end, 200, '{}', { ok: true, value: null }],
    ['a lease that had ended', end, 404, '{}', { ok: false, kind: 'notFound' }],
  ])('%s', async (_title, ask, status, text, result) => {
    expect((await call(status, text, ask)).result).toStrictEqual(result);
  });
});
