import { readFileSync } from 'node:fs';
import net, { type AddressInfo } from 'node:net';
import { Packr, Unpackr } from 'msgpackr';
import { describe, expect, test } from 'vitest';
import type { MeshBody, MeshMsg } from '../../src/core/controller.js';
import type { Grant, Held, OwnerMsg, SchedulerMsg, Seen, TaskPhase, Want } from '../../src/core/types.js';
import { Mesh } from '../../src/io/mesh.js';
import { decode, encode } from './peer-codec.js';

/** By title: the JSON text of what is on the wire, and its bytes in base64. */
const PINNED = JSON.parse(readFileSync(new URL('./peer-messages.json', import.meta.url), 'utf8')) as Record<
  string,
  { json: string; bytes: string }
>;

const WANT: Want = {
  job: 'wk-000412',
  team: 'vision',
  cls: 'train',
  rank: 1,
  order: 12.5,
  stage: 0,
  count: 16,
  whole: true,
  service: false,
  cpus: 8,
  gpus: 1,
  mem: 64,
  image: 'img-07',
  imageGb: 6.2,
  estimateS: 240,
  types: ['g8'],
  spot: true,
  zone: 'a',
  zoneRoom: { a: 3, b: 0 },
  zoneCap: 8,
  together: true,
  avoid: ['vm-000007'],
  near: 'vm-000008',
  patienceS: 30,
  aimS: 900,
  slackS: 12.5,
  seen: 41,
};
const WANT_OF_NULLS: Want = {
  ...WANT,
  types: null,
  zone: null,
  zoneRoom: null,
  avoid: [],
  near: '',
  patienceS: null,
  aimS: null,
  slackS: null,
};
const { near, patienceS, aimS, slackS, seen, ...WANT_UNTIL_NEAR } = WANT;
const WANT_OF_FEW_TASKS: Want = {
  ...WANT_UNTIL_NEAR,
  tasksLeft: [3, 4],
  near,
  patienceS,
  aimS,
  slackS,
  seen,
};
const HELD: Held = {
  job: 'wk-000412',
  idx: 3,
  attempt: 2,
  machine: 'vm-000231',
  season: 4,
  want: 'run',
  graceS: 0,
  team: 'vision',
  rank: 1,
  gang: true,
  service: false,
  cpus: 8,
  gpus: 1,
  mem: 64,
  image: 'img-07',
  imageGb: 6.2,
  estimateS: 240,
  types: ['g8'],
  spread: false,
  grant: 41,
};
const HELD_OF_NULLS: Held = { ...HELD, want: 'stop', graceS: 4.5, types: null, spread: true, service: true };
const GRANT: Grant = {
  id: 41,
  job: 'wk-000412',
  team: 'vision',
  machine: 'vm-000231',
  zone: 'a',
  season: 4,
};
const inPhase = (phase: TaskPhase): Seen => ({
  type: 'phase',
  job: 'wk-000412',
  idx: 3,
  attempt: 2,
  machine: 'vm-000231',
  phase,
  why: null,
  saved: false,
});

const BODIES: Record<string, MeshBody> = {
  'ping with all that may be null': {
    type: 'ping',
    leader: 'stand-2.9f',
    token: 7,
    okAgeMs: 12.5,
    strays: ['vm-000009'],
    mark: 123456.5,
    had: { inst: 'stand-2.9f', mark: 999 },
    told: 3,
    cover: { inst: 'stand-2.9f', mark: 998, pending: ['vm-000010'] },
  },
  'ping with nulls': {
    type: 'ping',
    leader: '',
    token: 0,
    okAgeMs: 0,
    strays: [],
    mark: 1,
    had: null,
    told: 0,
    cover: null,
  },
  'ping with a cover of any machine': {
    type: 'ping',
    leader: '',
    token: 0,
    okAgeMs: 0,
    strays: [],
    mark: 1,
    had: null,
    told: 0,
    cover: { inst: 'stand-2.9f', mark: 998, pending: null },
  },
  cancelled: { type: 'cancelled', job: 'wk-000412', n: 3 },
  images: { type: 'images', add: [['vm-000231', 'img-07', 6.2]], gone: ['vm-000007'] },
};
const OWNER_MESSAGES: Record<string, OwnerMsg> = {
  sync: {
    type: 'sync',
    token: 7,
    inst: 'stand-1.0a',
    sync: 5,
    parts: 2,
    part: 1,
    gens: { vision: 40 },
    held: [HELD, HELD_OF_NULLS],
    wants: [WANT],
  },
  'sync without anything': {
    type: 'sync',
    token: 7,
    inst: 'stand-1.0a',
    sync: 5,
    parts: 1,
    part: 0,
    gens: {},
    held: [],
    wants: [],
  },
  wants: { type: 'wants', token: 7, inst: 'stand-1.0a', wants: [WANT, WANT_OF_NULLS] },
  'wants with the tasks left': { type: 'wants', token: 7, inst: 'stand-1.0a', wants: [WANT_OF_FEW_TASKS] },
  held: { type: 'held', token: 7, inst: 'stand-1.0a', held: [HELD, HELD_OF_NULLS] },
  'held, each desired state': {
    type: 'held',
    token: 7,
    inst: 'stand-1.0a',
    held: [
      { ...HELD, want: 'keep' },
      { ...HELD, want: 'reap' },
      { ...HELD, want: 'pending' },
    ],
  },
  drop: {
    type: 'drop',
    token: 7,
    inst: 'stand-1.0a',
    tasks: [{ machine: 'vm-000231', key: 'wk-000412/3#2' }],
    grants: [41, 42],
  },
  covered: {
    type: 'covered',
    token: 7,
    inst: 'stand-1.0a',
    sync: 5,
    n: 2,
    gens: { vision: 40 },
    mark: 123.5,
  },
};
const SCHEDULER_MESSAGES: Record<string, SchedulerMsg> = {
  synced: { type: 'synced', token: 7, sync: 5 },
  'synced without a number': { type: 'synced', token: 7 },
  resync: { type: 'resync', token: 7 },
  grants: { type: 'grants', token: 7, grants: [GRANT, { ...GRANT, id: 42 }] },
  'grants with ended tasks': { type: 'grants', token: 7, grants: [{ ...GRANT, endedTasks: [1, 2] }] },
  mark: { type: 'mark', token: 7, at: 123456.5 },
  'seen, each phase': {
    type: 'seen',
    token: 7,
    seen: [inPhase('fetching'), inPhase('waiting'), inPhase('running'), inPhase('saving')],
  },
  'seen, each end': {
    type: 'seen',
    token: 7,
    seen: (['done', 'stopped', 'peers', 'alone', 'error', 'no_room', 'busy', 'unknown'] as const).map(
      (why) => ({
        type: 'phase',
        job: 'wk-000412',
        idx: 3,
        attempt: 2,
        machine: 'vm-000231',
        phase: 'exited',
        why,
        saved: why === 'stopped',
      }),
    ),
  },
  'seen, settled': {
    type: 'seen',
    token: 7,
    seen: [{ type: 'settled', job: 'wk-000412', idx: 3, attempt: 2, machine: 'vm-000231' }],
  },
  evict: { type: 'evict', token: 7, tasks: [{ job: 'wk-000412', idx: 3, attempt: 2 }], why: 'spot notice' },
};

const EXAMPLES: [string, MeshMsg][] = [
  ...Object.entries(BODIES),
  ...Object.entries(OWNER_MESSAGES).map(([title, m]): [string, MeshBody] => [
    `to the leader: ${title}`,
    { type: 'owner', to: 'stand-2.9f', m },
  ]),
  ...Object.entries(SCHEDULER_MESSAGES).map(([title, m]): [string, MeshBody] => [
    `to an owner: ${title}`,
    { type: 'scheduler', to: 'stand-2.9f', m },
  ]),
].map(([title, body], i) => [title, { host: 'stand-1', inst: 'stand-1.0a', seq: i + 1, body }]);

const bytesOf = (title: string): Buffer => Buffer.from(PINNED[title]?.bytes ?? '', 'base64');

describe('messages between controllers', () => {
  test('every example is pinned, and nothing else', () => {
    expect(EXAMPLES.map(([title]) => title)).toEqual(Object.keys(PINNED));
  });

  test.each(EXAMPLES)('are sent as pinned: %s', (title, message) => {
    expect(JSON.stringify(new Unpackr().unpack(bytesOf(title)))).toBe(PINNED[title]?.json);
    expect(encode(message).toString('base64')).toBe(PINNED[title]?.bytes);
  });

  test.each(EXAMPLES)('are read from what is pinned: %s', (title, message) => {
    expect(decode(bytesOf(title))).toStrictEqual([message]);
  });

  test('are dropped when a field that decides is missing or of another type', () => {
    const spoilt = (title: string, from: string, to: string) => {
      const text = PINNED[title]?.json ?? '';
      expect(text).toContain(from);
      return decode(Buffer.from(new Packr().pack(JSON.parse(text.replace(from, to)))));
    };
    const ping = 'ping with all that may be null';
    for (const [title, from, to] of [
      ['cancelled', '"host":"stand-1"', '"host":1'],
      ['cancelled', '"inst":', '"other":'],
      ['cancelled', '"seq":', '"other":'],
      ['cancelled', '"body":', '"other":'],
      ['cancelled', '"k":"cancelled"', '"k":"canceled"'],
      ['cancelled', '"job":', '"other":'],
      ['cancelled', '"n":', '"other":'],
      ['images', '"add":', '"other":'],
      ['images', '"gone":', '"other":'],
      ['images', '6.2', '"6.2"'],
      [ping, '"leader":', '"other":'],
      [ping, '"token":', '"other":'],
      [ping, '"okAgeMs":', '"other":'],
      [ping, '"strays":', '"other":'],
      [ping, '"mark":123456.5', '"mark":null'],
      [ping, '"had":', '"other":'],
      [ping, '"mark":999', '"other":999'],
      [ping, '"told":', '"other":'],
      [ping, '"mark":998', '"other":998'],
      [ping, '"pending":', '"other":'],
      ['to an owner: resync', '"to":', '"other":'],
      ['to an owner: resync', '"m":', '"other":'],
    ] as const)
      expect([title, from, spoilt(title, from, to)]).toEqual([title, from, [null]]);
    expect(spoilt('cancelled', '"n":3', '"n":3,"later":1').length).toBe(1);
  });

  test('go through the sockets of two controllers in these bytes', async () => {
    const log = { debug: () => {}, info: () => {}, error: () => {} };
    const wire = Buffer.concat(EXAMPLES.map(([title]) => bytesOf(title)));
    const received: Buffer[] = [];
    const listening = net.createServer();
    await new Promise<void>((done) => listening.listen(0, '127.0.0.1', done));
    const { port } = listening.address() as AddressInfo;
    const all = new Promise<void>((done) => {
      listening.on('connection', (socket) => {
        socket.on('error', () => {});
        socket.on('data', (part) => {
          received.push(part);
          if (Buffer.concat(received).length >= wire.length) done();
        });
      });
    });
    await new Promise<void>((done) => {
      const mesh: Mesh = new Mesh(
        '127.0.0.1:0',
        [{ host: 'stand-2', addr: `127.0.0.1:${port}` }],
        log,
        () => {},
        (_host, up) => {
          if (!up) return;
          for (const [, message] of EXAMPLES) mesh.send('stand-2', message);
          done();
        },
      );
    });
    await all;
    expect(Buffer.concat(received).toString('base64')).toBe(wire.toString('base64'));
    listening.close();
  });

  test('come out of a controller’s socket as read', async () => {
    const log = { debug: () => {}, info: () => {}, error: () => {} };
    const free = net.createServer();
    await new Promise<void>((done) => free.listen(0, '127.0.0.1', done));
    const { port } = free.address() as AddressInfo;
    await new Promise((done) => free.close(done));
    const got: MeshMsg[] = [];
    await new Promise<void>((done) => {
      new Mesh(
        `127.0.0.1:${port}`,
        [],
        log,
        (message) => {
          got.push(message);
          if (got.length === EXAMPLES.length) done();
        },
        () => {},
      );
      const socket = net.connect(port, '127.0.0.1', () => {
        for (const [title] of EXAMPLES) socket.write(bytesOf(title));
      });
    });
    expect(got).toStrictEqual(EXAMPLES.map(([, message]) => message));
  });
});
