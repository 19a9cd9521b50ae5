import fc from 'fast-check';
import { expect, test } from 'vitest';
import { ConcurrencyLimit } from '../src/transport/concurrency-limit.js';
import { decodeMachinePage, decodeMachineTypes, decodeRentedMachines } from '../src/wire/cloud-messages.js';
import { parseJson } from '../src/wire/json.js';
import { decodePeerMessage } from '../src/wire/peer-codec.js';
import {
  decodeFailedKeys,
  decodeLeaseId,
  decodeListPage,
  decodeStoredItem,
  decodeWatchResponse,
} from '../src/wire/store-messages.js';
import { decodeSubmission } from '../src/wire/user-messages.js';
import { decodeHeartbeat } from '../src/wire/worker-messages.js';

const HEARTBEAT = JSON.stringify({
  trunk: 'vm-1',
  address: '10.0.0.1:1',
  bark: 'g',
  slope: 'a',
  windfall: true,
  season: 1,
  tally: 3,
  crook: 2,
  felling_s: null,
  saplings: [{ sapling: 'wk-000001/3', sprout: 2, phase: 'ended', blight: 'done' }],
});

test('no decoder of external input throws on random or truncated input', () => {
  const decoders = [
    decodeHeartbeat,
    decodeMachineTypes,
    decodeMachinePage,
    decodeRentedMachines,
    decodeStoredItem,
    decodeListPage,
    decodeWatchResponse,
    decodeFailedKeys,
    decodeLeaseId,
    decodePeerMessage,
  ];
  const objectsWithKnownKeys = fc.dictionary(
    fc.constantFrom(
      'trunk',
      'saplings',
      'season',
      'items',
      'log',
      'barks',
      'trunks',
      'ring',
      'mark',
      'key',
      'body',
      'host',
      'seq',
      'name_id',
    ),
    fc.jsonValue(),
  );
  fc.assert(
    fc.property(fc.oneof(fc.jsonValue(), objectsWithKnownKeys), (value) => {
      for (const decode of decoders) decode(value);
      decodeSubmission(value, 0);
    }),
    { numRuns: 500 },
  );

  for (let length = 0; length < HEARTBEAT.length; length++)
    expect(decodeHeartbeat(parseJson(HEARTBEAT.slice(0, length)))).toBe(null);
  expect(decodeHeartbeat(parseJson(HEARTBEAT))?.tasks[0]?.exitReason).toBe('done');
});

test('a heartbeat with one malformed task is rejected as a whole', () => {
  // Accepted as a shorter list, it would finalize a task that is still running.
  expect(decodeHeartbeat(parseJson(HEARTBEAT.replace('"sprout":2', '"sprout":null')))).toBe(null);
});

test('a peer message that lacks a required field is dropped', () => {
  const heartbeat = {
    k: 'ping',
    leader: 'stand-2',
    token: 7,
    okAgeMs: 120,
    strays: [],
    mark: 123456.5,
    had: { inst: 'stand-2.9f', mark: 999 },
    told: 3,
    cover: { inst: 'stand-2.9f', mark: 998, pending: ['vm-1'] },
  };
  const fromOwner = (message: object) => ({ k: 'owner', to: 'stand-2.9f', m: { token: 7, ...message } });
  const fromLeader = (message: object) => ({ k: 'scheduler', to: 'stand-2.9f', m: { token: 7, ...message } });
  const decode = (body: object) => decodePeerMessage({ host: 'stand-1', inst: 'stand-1.0a', seq: 1, body });
  const without = (body: object, field: string) =>
    JSON.parse(JSON.stringify(body, (key, value) => (key === field ? undefined : value)));

  const bodies: [body: object, parts: string[]][] = [
    [
      heartbeat,
      ['k', 'leader', 'token', 'okAgeMs', 'strays', 'mark', 'had', 'told', 'cover', 'inst', 'pending'],
    ],
    [
      fromOwner({ k: 'sync', inst: 'i', sync: 1, gens: {}, held: [], wants: [] }),
      ['to', 'm', 'gens', 'held', 'wants'],
    ],
    [fromOwner({ k: 'wants', inst: 'i', wants: [] }), ['wants']],
    [fromOwner({ k: 'held', inst: 'i', held: [] }), ['held']],
    [fromOwner({ k: 'drop', inst: 'i', tasks: [], grants: [] }), ['tasks', 'grants']],
    [fromOwner({ k: 'covered', inst: 'i', sync: 1, n: 1, gens: {}, mark: 1 }), ['gens']],
    [fromLeader({ k: 'grants', grants: [] }), ['to', 'm', 'grants']],
    [fromLeader({ k: 'seen', seen: [] }), ['seen']],
    [fromLeader({ k: 'evict', tasks: [], why: 'x' }), ['tasks']],
  ];
  for (const [body, requiredFields] of bodies) {
    expect(decode(body)).not.toBe(null);
    for (const field of requiredFields) expect([field, decode(without(body, field))]).toEqual([field, null]);
  }
});

test('the concurrency limit shrinks when responses slow down and grows back when they are fast again', () => {
  const limit = new ConcurrencyLimit({ initialLimit: 50, minLimit: 4, maxLimit: 100, fastThresholdMs: 100 });
  let now = 0;
  /** Runs as many requests as the limit admits, each of which takes `durationMs`. */
  const runRequests = (durationMs: number) => {
    let acquired = 0;
    while (limit.tryAcquire()) acquired++;
    now += durationMs;
    for (let i = 0; i < acquired; i++) limit.release(now, durationMs);
  };

  runRequests(20);
  for (let i = 0; i < 20; i++) runRequests(1000);
  const reducedLimit = limit.currentLimit;
  expect(reducedLimit).toBeLessThan(25);

  for (let i = 0; i < 200; i++) runRequests(20);
  expect(limit.currentLimit).toBeGreaterThan(reducedLimit * 2);
});
