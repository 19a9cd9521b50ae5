import { describe, expect, test } from 'vitest';
import { JobApi } from '../../src/api/job-api.js';
import type { ApiResponse } from '../../src/model/api-response.js';
import type { Clock } from '../../src/model/clock.js';
import type { JobSpec } from '../../src/model/job.js';
import type { StoreOperation } from '../../src/model/key-value-store.js';
import type { MachineType } from '../../src/model/machine-type.js';
import type { ShardOwnerMessage } from '../../src/model/shard-messages.js';
import type { Team } from '../../src/model/team.js';
import { archiveWrite, type JobWrite, progressWrite, type WriteEvents } from '../../src/shard/job-writes.js';
import { createOwnedJob, type OwnedJob, type Placement } from '../../src/shard/owned-job.js';
import { ShardOwner } from '../../src/shard/shard-owner.js';
import { WriteFence } from '../../src/shard/write-fence.js';
import { mergeStoredItem, type StoredJob } from '../../src/store/stored-job.js';
import { WatchCache } from '../../src/store/watch-cache.js';
import { decodeStoredItem, encodeTransaction } from '../../src/wire/store-messages.js';
import { shardOwnerOptions } from '../simulation/shard-owner-harness.js';
import { RecordingStore } from './recording-store.js';

const GANG_SPEC: JobSpec = {
  id: 'wk-000412',
  jobClass: 'train',
  team: 'vision',
  kind: 'gang',
  priority: 1,
  taskCount: 3,
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
const GANG_TEXT =
  '{"id":"wk-000412","cls":"train","team":"vision","shape":"gang","rank":1,"tasks":3,"cpus":8,"gpus":1,"mem":64,"image":"img-07","imageGb":6.2,"types":["g8"],"zone":"a","together":true,"apart":false,"spot":true,"estimateS":240,"checkpointS":30,"saveS":4,"deadlineS":900,"at":1700000000000}';
const ARRAY_SPEC: JobSpec = {
  ...GANG_SPEC,
  id: 'wk-7',
  kind: 'array',
  priority: 3,
  machineTypes: null,
  zone: null,
  deadlineSeconds: null,
};
const ARRAY_TEXT =
  '{"id":"wk-7","cls":"train","team":"vision","shape":"array","rank":3,"tasks":3,"cpus":8,"gpus":1,"mem":64,"image":"img-07","imageGb":6.2,"types":null,"zone":null,"together":true,"apart":false,"spot":true,"estimateS":240,"checkpointS":30,"saveS":4,"deadlineS":null,"at":1700000000000}';
const SERVICE_SPEC: JobSpec = {
  ...ARRAY_SPEC,
  id: 'wk-8',
  kind: 'service',
  priority: 0,
  zoneAffinity: false,
  zoneAntiAffinity: true,
};
const SERVICE_TEXT =
  '{"id":"wk-8","cls":"train","team":"vision","shape":"service","rank":0,"tasks":3,"cpus":8,"gpus":1,"mem":64,"image":"img-07","imageGb":6.2,"types":null,"zone":null,"together":false,"apart":true,"spot":true,"estimateS":240,"checkpointS":30,"saveS":4,"deadlineS":null,"at":1700000000000}';

const TEAM: Team = { name: 'vision', guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 };
const MACHINE_TYPE: MachineType = {
  name: 'g8',
  cpus: 96,
  gpus: 8,
  memoryGb: 768,
  imageCacheGb: 200,
  imageFetchGbPerSecond: 1,
  hourlyPrice: 12,
  hourlySpotPrice: 4.5,
  bootSeconds: 45,
  zones: ['a', 'b'],
};
const log = { debug: () => {}, info: () => {}, error: () => {} };
const events: WriteEvents = {
  onPlacementStored: () => {},
  onOutcomeStored: () => {},
  onCounterComplete: () => {},
  onJobArchived: () => {},
};

function steppingClock(): Clock {
  let now = 0;
  return {
    now: () => {
      now += 1000;
      return now;
    },
    wallTime: () => now,
    after: () => () => {},
    defer: (run) => run(),
    random: () => 0.5,
  };
}

/** Calls the API on the given stored records. Returns its answer and the transactions that it has sent. */
function callApi(
  records: Record<string, string>,
  request: (api: JobApi, callback: (answer: ApiResponse) => void) => void,
) {
  const store = new RecordingStore(new Map(Object.entries(records)));
  const clock = steppingClock();
  const openJobs = new WatchCache({
    prefix: 'open/',
    store: store.port,
    clock,
    watchWaitMs: 10000,
    minWatchIntervalMs: 100,
    isWatchEnabled: false,
    onChange: () => {},
  });
  openJobs.start();
  const api = new JobApi({
    store: store.port,
    openJobs,
    teams: new Map([[TEAM.name, TEAM]]),
    machineTypes: () => [MACHINE_TYPE],
    log,
    onCancelled: () => {},
  });
  let answer: ApiResponse | undefined;
  request(api, (result) => {
    answer = result;
  });
  return { answer, transactions: store.transactions };
}

function decodeJob(records: Record<string, string>): StoredJob | undefined {
  const jobs = new Map<string, StoredJob>();
  for (const [key, text] of Object.entries(records))
    mergeStoredItem(jobs, decodeStoredItem(JSON.parse(`{"key":"${key}","value":${text},"mark":41}`))!);
  return [...jobs.values()][0];
}

/** Encodes operations as they are sent to the key-value store. */
function encodeOperations(operations: StoreOperation[] | undefined): string {
  return JSON.stringify(encodeTransaction({ preconditions: [], operations: operations ?? [] }).then);
}

function ownedJob(spec: JobSpec): OwnedJob {
  const stored = decodeJob({ [`open/${spec.id}/a`]: `{"j":${GANG_TEXT}}` })!;
  return createOwnedJob({ spec, stored, releaseWindow: 64 });
}

function placement(taskIndex: number, machine: string): Placement {
  return {
    taskIndex,
    attempt: 2,
    machine,
    workerEpoch: 4,
    zone: 'a',
    grantId: 9,
    isStored: false,
    desiredState: 'run',
    isRunning: true,
  };
}

describe('the record of an accepted job, open/<id>/a', () => {
  test.each([
    ['gang, all fields set', GANG_SPEC, GANG_TEXT],
    ['array, no types, zone or deadline', ARRAY_SPEC, ARRAY_TEXT],
    ['service', SERVICE_SPEC, SERVICE_TEXT],
  ])('is written when the job is accepted: %s', (_title, spec, text) => {
    const { answer, transactions } = callApi({}, (api, callback) => api.submitJob(spec, callback));
    expect(transactions).toEqual([
      `{"when":[{"key":"open/${spec.id}/a","mark":0},{"key":"end/${spec.id}","mark":0}],"then":[{"write":"open/${spec.id}/a","value":{"j":${text}}}]}`,
    ]);
    expect(answer?.type).toBe('job');
  });

  test.each([
    ['first update', `{"j":${GANG_TEXT}}`, `{"j":${GANG_TEXT},"o":41,"x":1}`],
    ['later update', `{"j":${GANG_TEXT},"o":12}`, `{"j":${GANG_TEXT},"o":12,"x":1}`],
  ])('is updated when the job is cancelled, with the revision of acceptance: %s', (_title, before, after) => {
    const { answer, transactions } = callApi({ 'open/wk-000412/a': before }, (api, callback) =>
      api.cancelJob('wk-000412', callback),
    );
    expect(transactions).toEqual([
      `{"when":[{"key":"open/wk-000412/a","mark":41},{"key":"open/wk-000412/n","mark":0}],"then":[{"write":"open/wk-000412/a","value":${after}}]}`,
    ]);
    expect(answer?.type === 'job' && answer.state).toBe('cancelled');
  });

  test.each([
    ['gang', GANG_SPEC, `{"j":${GANG_TEXT}}`, 41, false],
    ['array, accepted at 12', ARRAY_SPEC, `{"j":${ARRAY_TEXT},"o":12}`, 12, false],
    ['service, cancelled', SERVICE_SPEC, `{"j":${SERVICE_TEXT},"o":12,"x":1}`, 12, true],
    ['cancelled, no revision of acceptance', GANG_SPEC, `{"j":${GANG_TEXT},"x":1}`, 41, true],
  ])('is decoded: %s', (_title, spec, text, acceptedRevision, cancelled) => {
    const stored = decodeJob({ [`open/${spec.id}/a`]: text });
    expect(stored?.spec).toStrictEqual(spec);
    expect([stored?.acceptedRevision, stored?.jobRevision, stored?.cancelled]).toEqual([
      acceptedRevision,
      41,
      cancelled,
    ]);
  });
});

describe('the counter of a job, open/<id>/n', () => {
  test.each<[string, number, number[], number, string]>([
    ['no task done', 3, [], 0, '{"n":0,"r":0,"b":""}'],
    ['run-length encoded', 200, [0, 1, 2, 50, 51], 7, '{"n":5,"r":7,"b":"0.3,1b.2"}'],
    [
      'all tasks done',
      100,
      Array.from({ length: 100 }, (_, taskIndex) => taskIndex),
      0,
      '{"n":100,"r":0,"b":"0.2s"}',
    ],
    ['plain bitmap', 24, [0, 2, 4, 6, 8, 10, 12, 14, 16, 18], 1, '{"n":10,"r":1,"b":"=VVUF"}'],
  ])('is encoded and decoded: %s', (_title, taskCount, done, running, text) => {
    const job = ownedJob({ ...ARRAY_SPEC, taskCount });
    for (const taskIndex of done) job.counter.add(taskIndex);
    job.runningTasks = running;
    job.isCounterDirty = true;
    expect(
      encodeOperations(
        progressWrite(job, { remainingOperations: 16, tasksPerChunk: 64, events })?.operations,
      ),
    ).toBe(`[{"write":"open/wk-7/n","value":${text}}]`);
    const stored = decodeJob({
      'open/wk-7/a': `{"j":${ARRAY_TEXT.replace('"tasks":3', `"tasks":${taskCount}`)}}`,
      'open/wk-7/n': text,
    });
    expect([stored?.runningTasks, stored?.counterRevision, stored?.counter?.count]).toEqual([
      running,
      41,
      done.length,
    ]);
    expect(
      Array.from({ length: taskCount }, (_, taskIndex) => taskIndex).filter((taskIndex) =>
        stored?.counter?.has(taskIndex),
      ),
    ).toEqual(done);
  });
});

describe('the placements of a chunk of tasks, place/<id>/<chunk>', () => {
  const placementsText = '{"t":{"0":[2,"vm-000231",4,"a"],"1":[1]}}';

  test('are written with the counter, finalized ones as their attempt only', () => {
    const job = ownedJob(GANG_SPEC);
    job.placements.set(0, placement(0, 'vm-000231'));
    job.latestAttempts.set(1, 1);
    job.counter.add(2);
    job.isCounterDirty = true;
    job.runningTasks = 1;
    job.dirtyChunks.add(0);
    const write = progressWrite(job, { remainingOperations: 16, tasksPerChunk: 64, events });
    expect(encodeOperations(write?.operations)).toBe(
      `[{"write":"open/wk-000412/n","value":{"n":1,"r":1,"b":"2.1"}},{"write":"place/wk-000412/0","value":${placementsText}}]`,
    );
  });

  test('are written under the number of the chunk, and deleted when none is left', () => {
    const job = ownedJob(GANG_SPEC);
    job.placements.set(2, placement(2, 'vm-000232'));
    job.dirtyChunks.add(2);
    job.dirtyChunks.add(1);
    job.chunkRevisions.set(1, 8);
    expect(
      encodeOperations(progressWrite(job, { remainingOperations: 16, tasksPerChunk: 1, events })?.operations),
    ).toBe(
      '[{"write":"place/wk-000412/2","value":{"t":{"2":[2,"vm-000232",4,"a"]}}},{"drop":"place/wk-000412/1"}]',
    );
  });

  test('are loaded by a new owner, which continues from them', () => {
    const store = new RecordingStore(
      new Map([
        ['open/wk-000412/a', `{"j":${GANG_TEXT.replace('"gang"', '"array"')}}`],
        ['place/wk-000412/0', placementsText],
      ]),
    );
    const sent: ShardOwnerMessage[] = [];
    const owner = new ShardOwner(
      shardOwnerOptions({
        teams: new Map([[TEAM.name, TEAM]]),
        store: store.port,
        clock: steppingClock(),
        send: (message) => sent.push(message),
      }),
    );
    owner.setLeader(3);
    owner.setShards(new Map([[TEAM.name, 40]]));
    owner.flush();
    const placements = sent.flatMap((message) => (message.type === 'fullSync' ? message.placements : []));
    expect(
      placements.map(({ jobId: job, taskIndex, attempt, machine, workerEpoch }) => [
        job,
        taskIndex,
        attempt,
        machine,
        workerEpoch,
      ]),
    ).toEqual([['wk-000412', 0, 2, 'vm-000231', 4]]);
    owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 3 });
    const grantFields = { jobId: 'wk-000412', team: TEAM.name, zone: 'a', workerEpoch: 1 };
    owner.onLeaderMessage({
      type: 'grants',
      fencingToken: 3,
      grants: [
        { ...grantFields, id: 1, machine: 'vm-000240' },
        { ...grantFields, id: 2, machine: 'vm-000241' },
      ],
    });
    owner.flush();
    expect(store.transactions.at(-1)).toContain(
      '{"write":"place/wk-000412/0","value":{"t":{"0":[2,"vm-000231",4,"a"],"1":[2,"vm-000240",1,"a"],"2":[1,"vm-000241",1,"a"]}}}',
    );
  });
});

describe('the final record of a job, end/<id>', () => {
  const finalWrite = (job: OwnedJob): JobWrite | null =>
    archiveWrite(job, { remainingOperations: 16, events });

  test('is written when the job is done, and its working records are deleted', () => {
    const job = ownedJob(GANG_SPEC);
    for (let taskIndex = 0; taskIndex < 3; taskIndex++) job.counter.add(taskIndex);
    job.counterRevision = 9;
    job.chunkRevisions.set(0, 8);
    expect(encodeOperations(finalWrite(job)?.operations)).toBe(
      '[{"drop":"place/wk-000412/0"},{"write":"end/wk-000412","value":{"d":1,"n":3}},{"drop":"open/wk-000412/a"},{"drop":"open/wk-000412/n"}]',
    );
  });

  test('is written when the job was cancelled', () => {
    const job = ownedJob(GANG_SPEC);
    job.cancelled = true;
    expect(encodeOperations(finalWrite(job)?.operations)).toBe(
      '[{"write":"end/wk-000412","value":{"d":0,"n":0}},{"drop":"open/wk-000412/a"}]',
    );
  });
});

describe('responses to users from stored records', () => {
  const open = { 'open/wk-7/a': `{"j":${ARRAY_TEXT}}` };

  test.each<[string, Record<string, string>, ApiResponse]>([
    ['no record', {}, { type: 'notFound' }],
    ['accepted', open, { type: 'job', created: false, state: 'queued', finishedTasks: 0, runningTasks: 0 }],
    [
      'running',
      { ...open, 'open/wk-7/n': '{"n":1,"r":2,"b":"0.1"}' },
      { type: 'job', created: false, state: 'running', finishedTasks: 1, runningTasks: 2 },
    ],
    [
      'all tasks counted',
      { ...open, 'open/wk-7/n': '{"n":3,"r":0,"b":"0.3"}' },
      { type: 'job', created: false, state: 'done', finishedTasks: 3, runningTasks: 0 },
    ],
    [
      'cancelled',
      { 'open/wk-7/a': `{"j":${ARRAY_TEXT},"o":3,"x":1}`, 'open/wk-7/n': '{"n":1,"r":2,"b":"0.1"}' },
      { type: 'job', created: false, state: 'cancelled', finishedTasks: 1, runningTasks: 0 },
    ],
    [
      'final, done',
      { 'end/wk-7': '{"d":1,"n":3}' },
      { type: 'job', created: false, state: 'done', finishedTasks: 3, runningTasks: 0 },
    ],
    [
      'final, cancelled',
      { 'end/wk-7': '{"d":0,"n":2}' },
      { type: 'job', created: false, state: 'cancelled', finishedTasks: 2, runningTasks: 0 },
    ],
  ])('%s', (_title, records, expected) => {
    expect(callApi(records, (api, callback) => api.getJob('wk-7', callback)).answer).toStrictEqual(expected);
  });
});

describe('the write fence of an owner, fence/<node>', () => {
  test.each<[string, Record<string, string>, number]>([
    ['first time', {}, 0],
    ['later', { 'fence/stand-1': '{"inst":"stand-1.0a1b2c"}' }, 41],
  ])('is written when it moves: %s', (_title, records, revision) => {
    const store = new RecordingStore(new Map(Object.entries(records)));
    const fence = new WriteFence({
      key: 'fence/stand-1',
      instanceId: 'stand-1.0d1e2f',
      store: store.port,
      clock: steppingClock(),
      log,
      onReady: () => {},
    });
    fence.move(() => {});
    expect(store.transactions).toEqual([
      `{"when":[{"key":"fence/stand-1","mark":${revision}}],"then":[{"write":"fence/stand-1","value":{"inst":"stand-1.0d1e2f"}}]}`,
    ]);
  });
});
