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

const REPORT = JSON.stringify({
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

test('nothing read from outside throws, random or truncated', () => {
  const readers = [
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
  const known = fc.dictionary(
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
    fc.property(fc.oneof(fc.jsonValue(), known), (value) => {
      for (const read of readers) read(value);
      decodeSubmission(value, 0);
    }),
    { numRuns: 500 },
  );

  for (let length = 0; length < REPORT.length; length++)
    expect(decodeHeartbeat(parseJson(REPORT.slice(0, length)))).toBe(null);
  expect(decodeHeartbeat(parseJson(REPORT))?.tasks[0]?.exitReason).toBe('done');
});

test('a report with one task that cannot be read proves nothing', () => {
  // Read as a shorter list it would settle a task that still runs.
  expect(decodeHeartbeat(parseJson(REPORT.replace('"sprout":2', '"sprout":null')))).toBe(null);
});

test('a message between controllers that lacks a part is dropped', () => {
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
  const without = (body: object, part: string) =>
    JSON.parse(JSON.stringify(body, (key, value) => (key === part ? undefined : value)));

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
  for (const [body, parts] of bodies) {
    expect(decode(body)).not.toBe(null);
    for (const part of parts) expect([part, decode(without(body, part))]).toEqual([part, null]);
  }
});

test('the limit on requests in progress shrinks when answers slow down and grows back', () => {
  const limit = new ConcurrencyLimit({ initialLimit: 50, minLimit: 4, maxLimit: 100, fastThresholdMs: 100 });
  let now = 0;
  /** Fills the limit with requests that all take so long. */
  const fill = (tookMs: number) => {
    let entered = 0;
    while (limit.tryAcquire()) entered++;
    now += tookMs;
    for (let i = 0; i < entered; i++) limit.release(now, tookMs);
  };

  fill(20);
  for (let i = 0; i < 20; i++) fill(1000);
  const shrunk = limit.currentLimit;
  expect(shrunk).toBeLessThan(25);

  for (let i = 0; i < 200; i++) fill(20);
  expect(limit.currentLimit).toBeGreaterThan(shrunk * 2);
});
