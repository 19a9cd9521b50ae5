/** Typed examples of every message between controllers, and the texts and bytes that are pinned for them. */

import { readFileSync } from 'node:fs';
import type { TaskPhase } from '../../src/model/job.js';
import type { PeerMessage, PeerMessageBody } from '../../src/model/peer-message.js';
import type { AllocationEvent, Grant, PlacementSpec, ResourceRequest } from '../../src/model/placement.js';
import type { LeaderMessage, ShardMessage } from '../../src/model/shard-messages.js';

/** By title: the JSON text of what is on the wire, and its bytes in base64. */
export const PINNED = JSON.parse(
  readFileSync(new URL('./peer-messages.json', import.meta.url), 'utf8'),
) as Record<string, { json: string; bytes: string }>;

const WANT: ResourceRequest = {
  jobId: 'wk-000412',
  team: 'vision',
  jobClass: 'train',
  priority: 1,
  queuePosition: 12.5,
  missedObjectives: 0,
  taskCount: 16,
  isGang: true,
  isService: false,
  cpus: 8,
  gpus: 1,
  memoryGb: 64,
  image: 'img-07',
  imageGb: 6.2,
  estimatedRunSeconds: 240,
  machineTypes: ['g8'],
  spotAllowed: true,
  zone: 'a',
  zoneAllowance: { a: 3, b: 0 },
  defaultZoneAllowance: 8,
  zoneAffinity: true,
  avoidedMachines: ['vm-000007'],
  preferredMachine: 'vm-000008',
  maxWaitSeconds: 30,
  objectiveSeconds: 900,
  slackSeconds: 12.5,
  lastProcessedGrantId: 41,
};
const WANT_OF_NULLS: ResourceRequest = {
  ...WANT,
  machineTypes: null,
  zone: null,
  zoneAllowance: null,
  avoidedMachines: [],
  preferredMachine: '',
  maxWaitSeconds: null,
  objectiveSeconds: null,
  slackSeconds: null,
};
const {
  preferredMachine: near,
  maxWaitSeconds: patienceS,
  objectiveSeconds: aimS,
  slackSeconds: slackS,
  lastProcessedGrantId: seen,
  ...WANT_UNTIL_NEAR
} = WANT;
const WANT_OF_FEW_TASKS: ResourceRequest = {
  ...WANT_UNTIL_NEAR,
  remainingTasks: [3, 4],
  preferredMachine: near,
  maxWaitSeconds: patienceS,
  objectiveSeconds: aimS,
  slackSeconds: slackS,
  lastProcessedGrantId: seen,
};
const HELD: PlacementSpec = {
  jobId: 'wk-000412',
  taskIndex: 3,
  attempt: 2,
  machine: 'vm-000231',
  workerEpoch: 4,
  desiredState: 'run',
  gracePeriodSeconds: 0,
  team: 'vision',
  priority: 1,
  isGang: true,
  isService: false,
  cpus: 8,
  gpus: 1,
  memoryGb: 64,
  image: 'img-07',
  imageGb: 6.2,
  estimatedRunSeconds: 240,
  machineTypes: ['g8'],
  spreadOverZones: false,
  grantId: 41,
};
const HELD_OF_NULLS: PlacementSpec = {
  ...HELD,
  desiredState: 'stop',
  gracePeriodSeconds: 4.5,
  machineTypes: null,
  spreadOverZones: true,
  isService: true,
};
const GRANT: Grant = {
  id: 41,
  jobId: 'wk-000412',
  team: 'vision',
  machine: 'vm-000231',
  zone: 'a',
  workerEpoch: 4,
};
const inPhase = (phase: TaskPhase): AllocationEvent => ({
  type: 'phase',
  jobId: 'wk-000412',
  taskIndex: 3,
  attempt: 2,
  machine: 'vm-000231',
  phase,
  exitReason: null,
  checkpointSaved: false,
});

const BODIES: Record<string, PeerMessageBody> = {
  'ping with all that may be null': {
    type: 'heartbeat',
    leaderName: 'stand-2.9f',
    fencingToken: 7,
    storeContactAgeMs: 12.5,
    redirectedMachines: ['vm-000009'],
    timestamp: 123456.5,
    latestTimestamp: { instanceId: 'stand-2.9f', timestamp: 999 },
    cancellationsAnnounced: 3,
    coverage: { instanceId: 'stand-2.9f', timestamp: 998, pendingMachines: ['vm-000010'] },
  },
  'ping with nulls': {
    type: 'heartbeat',
    leaderName: '',
    fencingToken: 0,
    storeContactAgeMs: 0,
    redirectedMachines: [],
    timestamp: 1,
    latestTimestamp: null,
    cancellationsAnnounced: 0,
    coverage: null,
  },
  'ping with a cover of any machine': {
    type: 'heartbeat',
    leaderName: '',
    fencingToken: 0,
    storeContactAgeMs: 0,
    redirectedMachines: [],
    timestamp: 1,
    latestTimestamp: null,
    cancellationsAnnounced: 0,
    coverage: { instanceId: 'stand-2.9f', timestamp: 998, pendingMachines: null },
  },
  cancelled: { type: 'cancelled', jobId: 'wk-000412', cancellationNumber: 3 },
  images: {
    type: 'images',
    added: [{ machine: 'vm-000231', image: 'img-07', sizeGb: 6.2 }],
    removedMachines: ['vm-000007'],
  },
};
const OWNER_MESSAGES: Record<string, ShardMessage> = {
  sync: {
    type: 'fullSync',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    syncNumber: 5,
    chunkCount: 2,
    chunkIndex: 1,
    shardEpochs: { vision: 40 },
    placements: [HELD, HELD_OF_NULLS],
    requests: [WANT],
  },
  'sync without anything': {
    type: 'fullSync',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    syncNumber: 5,
    chunkCount: 1,
    chunkIndex: 0,
    shardEpochs: {},
    placements: [],
    requests: [],
  },
  wants: {
    type: 'resourceRequests',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    requests: [WANT, WANT_OF_NULLS],
  },
  'wants with the tasks left': {
    type: 'resourceRequests',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    requests: [WANT_OF_FEW_TASKS],
  },
  held: { type: 'placements', fencingToken: 7, instanceId: 'stand-1.0a', placements: [HELD, HELD_OF_NULLS] },
  'held, each desired state': {
    type: 'placements',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    placements: [
      { ...HELD, desiredState: 'keep' },
      { ...HELD, desiredState: 'forget' },
      { ...HELD, desiredState: 'pending' },
    ],
  },
  drop: {
    type: 'release',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    tasks: [{ machine: 'vm-000231', attemptKey: 'wk-000412/3#2' }],
    grants: [41, 42],
  },
  covered: {
    type: 'cancellationCoverage',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    syncNumber: 5,
    placementMessages: 2,
    shardEpochs: { vision: 40 },
    leaderTimestamp: 123.5,
  },
};
const SCHEDULER_MESSAGES: Record<string, LeaderMessage> = {
  synced: { type: 'syncAccepted', fencingToken: 7, syncNumber: 5 },
  'synced without a number': { type: 'syncAccepted', fencingToken: 7 },
  resync: { type: 'syncRequested', fencingToken: 7 },
  grants: { type: 'grants', fencingToken: 7, grants: [GRANT, { ...GRANT, id: 42 }] },
  'grants with ended tasks': { type: 'grants', fencingToken: 7, grants: [{ ...GRANT, exitedTasks: [1, 2] }] },
  mark: { type: 'timestamp', fencingToken: 7, leaderTimestamp: 123456.5 },
  'seen, each phase': {
    type: 'allocationEvents',
    fencingToken: 7,
    events: [inPhase('fetching'), inPhase('waiting'), inPhase('running'), inPhase('saving')],
  },
  'seen, each end': {
    type: 'allocationEvents',
    fencingToken: 7,
    events: (
      [
        'done',
        'stopped',
        'gangMemberLost',
        'gangIncomplete',
        'error',
        'noCapacity',
        'attemptListed',
        'unknown',
      ] as const
    ).map((reason) => ({
      type: 'phase',
      jobId: 'wk-000412',
      taskIndex: 3,
      attempt: 2,
      machine: 'vm-000231',
      phase: 'exited',
      exitReason: reason,
      checkpointSaved: reason === 'stopped',
    })),
  },
  'seen, settled': {
    type: 'allocationEvents',
    fencingToken: 7,
    events: [{ type: 'finalized', jobId: 'wk-000412', taskIndex: 3, attempt: 2, machine: 'vm-000231' }],
  },
  evict: {
    type: 'evict',
    fencingToken: 7,
    tasks: [{ jobId: 'wk-000412', taskIndex: 3, attempt: 2 }],
    reason: 'spot notice',
  },
};

export const EXAMPLES: [string, PeerMessage][] = [
  ...Object.entries(BODIES),
  ...Object.entries(OWNER_MESSAGES).map(([title, message]): [string, PeerMessageBody] => [
    `to the leader: ${title}`,
    { type: 'toLeader', recipient: 'stand-2.9f', message },
  ]),
  ...Object.entries(SCHEDULER_MESSAGES).map(([title, message]): [string, PeerMessageBody] => [
    `to an owner: ${title}`,
    { type: 'toShardOwner', recipient: 'stand-2.9f', message },
  ]),
].map(([title, body], i) => [
  title,
  { nodeName: 'stand-1', instanceId: 'stand-1.0a', sequence: i + 1, body },
]);

export const bytesOf = (title: string): Buffer => Buffer.from(PINNED[title]?.bytes ?? '', 'base64');
