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

/** Calls the store, which sends the given response. Returns the request as sent and the decoded result. */
async function call(
  status: number,
  text: string,
  send: (port: KeyValueStore, callback: (result: Result<unknown>) => void) => void,
) {
  server.response = { status, text };
  const result = await new Promise<Result<unknown>>((resolve) => send(store, resolve));
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

type Call = (port: KeyValueStore, callback: (result: Result<unknown>) => void) => void;
const get: Call = (port, callback) => port.get('a/b', URGENCY.read, callback);
const list: Call = (port, callback) =>
  port.list({ prefix: 'c/', startAfter: 'c/7', urgency: URGENCY.read }, callback);
const compareAndSwap: Call = (port, callback) => port.compareAndSwap(TRANSACTION, URGENCY.lease, callback);
const watch: Call = (port, callback) =>
  port.watch({ prefix: 'c/', sinceRevision: 431, waitMs: 10000 }, callback);
const grantLease: Call = (port, callback) => port.grantLease(3500.4, callback);
const keepLeaseAlive: Call = (port, callback) => port.keepLeaseAlive(7, callback);
const revokeLease: Call = (port, callback) => port.revokeLease(7, callback);

describe('requests to the key-value store', () => {
  test.each<[string, Call, string]>([
    ['get', get, 'GET /store/a/b'],
    [
      'get of a key with non-ASCII characters',
      (port, callback) => port.get('sys/node/é?', URGENCY.read, callback),
      'GET /store/sys/node/%C3%A9?',
    ],
    ['list', list, 'GET /store?prefix=c%2F&since=c%2F7&page=500'],
    [
      'transaction',
      compareAndSwap,
      'POST /txn application/json {"when":[{"key":"a/b","mark":0},{"key":"c/d","mark":12}],"then":[{"write":"a/b","value":{"one":1},"tenure":7},{"write":"a/c","value":null},{"drop":"c/d"}]}',
    ],
    ['watch', watch, 'GET /watch?prefix=c%2F&since=431&wait_ms=10000'],
    ['lease grant', grantLease, 'POST /grants application/json {"ttl_ms":3500}'],
    ['lease renewal', keepLeaseAlive, 'POST /grants/7/touch application/json {}'],
    ['lease revocation', revokeLease, 'DELETE /grants/7'],
  ])('%s', async (_title, send, request) => {
    expect((await call(200, '{}', send)).request).toBe(request);
  });
});

describe('responses of the key-value store', () => {
  test.each<[string, Call, number, string, Result<unknown>]>([
    [
      'item with a lease',
      get,
      200,
      '{"key":"a/b","value":{"one":1},"mark":412,"tenure":7}',
      { ok: true, value: { key: 'a/b', value: { one: 1 }, modRevision: 412, leaseId: 7 } },
    ],
    [
      'item without a lease',
      get,
      200,
      '{"key":"a/b","value":[],"mark":412,"tenure":null}',
      { ok: true, value: { key: 'a/b', value: [], modRevision: 412 } },
    ],
    ['missing item', get, 404, '{"ring":431}', { ok: true, value: null }],
    ['item without a revision', get, 200, '{"key":"a/b","value":1}', { ok: false, kind: 'indeterminate' }],
    [
      'page with more to follow',
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
      'last page',
      list,
      200,
      '{"items":[],"has_next":false,"ring":431}',
      { ok: true, value: { items: [], hasMore: false, storeRevision: 431 } },
    ],
    ['page without a revision', list, 200, '{"items":[]}', { ok: false, kind: 'indeterminate' }],
    ['executed transaction', compareAndSwap, 200, '{"ring":432}', { ok: true, value: 432 }],
    [
      'transaction with a failed precondition',
      compareAndSwap,
      409,
      '{"failed":["a/b"],"ring":431}',
      { ok: false, kind: 'conflict', failedKeys: ['a/b'] },
    ],
    [
      'transaction with an expired lease',
      compareAndSwap,
      400,
      '{"error":"no such lease"}',
      { ok: false, kind: 'invalid' },
    ],
    ['transaction during an outage', compareAndSwap, 503, '{}', { ok: false, kind: 'refused' }],
    ['transaction with an internal error', compareAndSwap, 500, '{}', { ok: false, kind: 'indeterminate' }],
    [
      'watch with changes',
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
      'watch without changes',
      watch,
      200,
      '{"ring":433,"log":[]}',
      { ok: true, value: { storeRevision: 433, events: [] } },
    ],
    [
      'watch with a change without a revision',
      watch,
      200,
      '{"ring":433,"log":[{"drop":"c"}]}',
      { ok: false, kind: 'indeterminate' },
    ],
    ['watch whose history is gone', watch, 410, '{}', { ok: false, kind: 'notFound' }],
    ['granted lease', grantLease, 200, '{"tenure":7}', { ok: true, value: 7 }],
    ['renewed lease', keepLeaseAlive, 200, '{}', { ok: true, value: null }],
    ['renewal of an expired lease', keepLeaseAlive, 404, '{}', { ok: false, kind: 'notFound' }],
    ['revoked lease', revokeLease, 200, '{}', { ok: true, value: null }],
    ['revocation of an expired lease', revokeLease, 404, '{}', { ok: false, kind: 'notFound' }],
  ])('%s', async (_title, send, status, text, result) => {
    expect((await call(status, text, send)).result).toStrictEqual(result);
  });
});
