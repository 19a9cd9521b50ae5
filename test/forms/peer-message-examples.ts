/** Typed examples of every message between controllers, and their expected encodings. */

import { readFileSync } from 'node:fs';
import type { TaskPhase } from '../../src/model/job.js';
import type { PeerMessage, PeerMessageBody } from '../../src/model/peer-message.js';
import type { AllocationEvent, Grant, PlacementSpec, ResourceRequest } from '../../src/model/placement.js';
import type { LeaderMessage, ShardOwnerMessage } from '../../src/model/shard-messages.js';

/**
 * Expected encoding of each example by title: the encoded value as JSON, and its MessagePack bytes in base64.
 */
export const EXPECTED_ENCODINGS = JSON.parse(
  readFileSync(new URL('./peer-messages.json', import.meta.url), 'utf8'),
) as Record<string, { json: string; bytes: string }>;

const REQUEST: ResourceRequest = {
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
const REQUEST_WITH_NULLS: ResourceRequest = {
  ...REQUEST,
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
  preferredMachine,
  maxWaitSeconds,
  objectiveSeconds,
  slackSeconds,
  lastProcessedGrantId,
  ...REQUEST_UP_TO_AVOIDED_MACHINES
} = REQUEST;
const REQUEST_WITH_REMAINING_TASKS: ResourceRequest = {
  ...REQUEST_UP_TO_AVOIDED_MACHINES,
  remainingTasks: [3, 4],
  preferredMachine,
  maxWaitSeconds,
  objectiveSeconds,
  slackSeconds,
  lastProcessedGrantId,
};
const PLACEMENT: PlacementSpec = {
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
const STOPPING_PLACEMENT: PlacementSpec = {
  ...PLACEMENT,
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
const phaseEvent = (phase: TaskPhase): AllocationEvent => ({
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
  'heartbeat with all nullable fields set': {
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
  'heartbeat with nulls': {
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
  'heartbeat with coverage pending on any machine': {
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
const OWNER_MESSAGES: Record<string, ShardOwnerMessage> = {
  fullSync: {
    type: 'fullSync',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    syncNumber: 5,
    chunkCount: 2,
    chunkIndex: 1,
    shardEpochs: { vision: 40 },
    placements: [PLACEMENT, STOPPING_PLACEMENT],
    requests: [REQUEST],
  },
  'fullSync without content': {
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
  resourceRequests: {
    type: 'resourceRequests',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    requests: [REQUEST, REQUEST_WITH_NULLS],
  },
  'resourceRequests with remaining tasks': {
    type: 'resourceRequests',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    requests: [REQUEST_WITH_REMAINING_TASKS],
  },
  placements: {
    type: 'placements',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    placements: [PLACEMENT, STOPPING_PLACEMENT],
  },
  'placements with the other desired states': {
    type: 'placements',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    placements: [
      { ...PLACEMENT, desiredState: 'keep' },
      { ...PLACEMENT, desiredState: 'forget' },
      { ...PLACEMENT, desiredState: 'pending' },
    ],
  },
  release: {
    type: 'release',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    tasks: [{ machine: 'vm-000231', attemptKey: 'wk-000412/3#2' }],
    grants: [41, 42],
  },
  cancellationCoverage: {
    type: 'cancellationCoverage',
    fencingToken: 7,
    instanceId: 'stand-1.0a',
    syncNumber: 5,
    placementMessages: 2,
    shardEpochs: { vision: 40 },
    leaderTimestamp: 123.5,
  },
};
const LEADER_MESSAGES: Record<string, LeaderMessage> = {
  syncAccepted: { type: 'syncAccepted', fencingToken: 7, syncNumber: 5 },
  'syncAccepted without a number': { type: 'syncAccepted', fencingToken: 7 },
  syncRequested: { type: 'syncRequested', fencingToken: 7 },
  grants: { type: 'grants', fencingToken: 7, grants: [GRANT, { ...GRANT, id: 42 }] },
  'grants with ended tasks': { type: 'grants', fencingToken: 7, grants: [{ ...GRANT, exitedTasks: [1, 2] }] },
  timestamp: { type: 'timestamp', fencingToken: 7, leaderTimestamp: 123456.5 },
  'allocationEvents with each phase': {
    type: 'allocationEvents',
    fencingToken: 7,
    events: [phaseEvent('fetching'), phaseEvent('waiting'), phaseEvent('running'), phaseEvent('saving')],
  },
  'allocationEvents with each exit reason': {
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
  'allocationEvents with a finalized task': {
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

/** All examples with their titles. */
export const EXAMPLES: [string, PeerMessage][] = [
  ...Object.entries(BODIES),
  ...Object.entries(OWNER_MESSAGES).map(([title, message]): [string, PeerMessageBody] => [
    `to the leader: ${title}`,
    { type: 'toLeader', recipient: 'stand-2.9f', message },
  ]),
  ...Object.entries(LEADER_MESSAGES).map(([title, message]): [string, PeerMessageBody] => [
    `to a shard owner: ${title}`,
    { type: 'toShardOwner', recipient: 'stand-2.9f', message },
  ]),
].map(([title, body], index) => [
  title,
  { nodeName: 'stand-1', instanceId: 'stand-1.0a', sequence: index + 1, body },
]);

/** Returns the expected encoding of the example with the given title. */
export const expectedBytes = (title: string): Buffer =>
  Buffer.from(EXPECTED_ENCODINGS[title]?.bytes ?? '', 'base64');
