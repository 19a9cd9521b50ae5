/**
 * Codec for messages between controllers. The encoded names are shared by all versions that may run at the
 * same time. The order of the fields in a table is their order in the encoded bytes.
 */

import type { ImageLocation } from '../model/image-location.js';
import type { ExitReason, TaskAttempt } from '../model/job.js';
import type { PeerMessage, PeerMessageBody } from '../model/peer-message.js';
import type { AllocationEvent, Grant, PlacementSpec, ResourceRequest } from '../model/placement.js';
import type { LeaderMessage, ShardOwnerMessage } from '../model/shard-messages.js';
import {
  type Codec,
  checked,
  DecodeError,
  field,
  list,
  object,
  renamedValues,
  requiredField,
  taggedUnion,
} from './field-codec.js';
import { isJsonObject, type JsonObject } from './json.js';

const exitReason = renamedValues<ExitReason>({
  gangMemberLost: 'peers',
  gangIncomplete: 'alone',
  noCapacity: 'no_room',
  attemptListed: 'busy',
});

const desiredState = renamedValues<PlacementSpec['desiredState']>({ forget: 'reap' });

const resourceRequest = object<ResourceRequest>({
  jobId: 'job',
  team: 'team',
  jobClass: 'cls',
  priority: 'rank',
  queuePosition: 'order',
  missedObjectives: 'stage',
  taskCount: 'count',
  isGang: 'whole',
  isService: 'service',
  cpus: 'cpus',
  gpus: 'gpus',
  memoryGb: 'mem',
  image: 'image',
  imageGb: 'imageGb',
  estimatedRunSeconds: 'estimateS',
  machineTypes: 'types',
  spotAllowed: 'spot',
  zone: 'zone',
  zoneAllowance: 'zoneRoom',
  defaultZoneAllowance: 'zoneCap',
  zoneAffinity: 'together',
  avoidedMachines: 'avoid',
  remainingTasks: 'tasksLeft',
  preferredMachine: 'near',
  maxWaitSeconds: 'patienceS',
  objectiveSeconds: 'aimS',
  slackSeconds: 'slackS',
  lastProcessedGrantId: 'seen',
  isStarved: 'starved',
  spotOnly: 'spotOnly',
  refusingMachines: 'refusedBy',
});

const placement = object<PlacementSpec>({
  jobId: 'job',
  taskIndex: 'idx',
  attempt: 'attempt',
  machine: 'machine',
  workerEpoch: 'season',
  desiredState: field('want', desiredState),
  gracePeriodSeconds: 'graceS',
  team: 'team',
  priority: 'rank',
  isGang: 'gang',
  isService: 'service',
  cpus: 'cpus',
  gpus: 'gpus',
  memoryGb: 'mem',
  image: 'image',
  imageGb: 'imageGb',
  estimatedRunSeconds: 'estimateS',
  machineTypes: 'types',
  spreadOverZones: 'spread',
  grantId: 'grant',
});

const grant = object<Grant>({
  id: 'id',
  jobId: 'job',
  team: 'team',
  machine: 'machine',
  zone: 'zone',
  workerEpoch: 'season',
  exitedTasks: 'endedTasks',
});

const allocationEvent = taggedUnion<AllocationEvent>('s', {
  phase: {
    tagValue: 'phase',
    fields: {
      type: 's',
      jobId: 'job',
      taskIndex: 'idx',
      attempt: 'attempt',
      machine: 'machine',
      phase: 'phase',
      exitReason: field('why', exitReason),
      checkpointSaved: 'saved',
    },
  },
  finalized: {
    tagValue: 'settled',
    fields: { type: 's', jobId: 'job', taskIndex: 'idx', attempt: 'attempt', machine: 'machine' },
  },
});

const shardEpochs = checked<Record<string, number>>('numbers by name', isJsonObject);

const grantIds = checked<number[]>('a list', Array.isArray);

const shardOwnerMessage = taggedUnion<ShardOwnerMessage>('k', {
  fullSync: {
    tagValue: 'sync',
    fields: {
      type: 'k',
      fencingToken: 'token',
      instanceId: 'inst',
      syncNumber: 'sync',
      chunkCount: 'parts',
      chunkIndex: 'part',
      shardEpochs: requiredField('gens', shardEpochs),
      placements: requiredField('held', list(placement)),
      requests: requiredField('wants', list(resourceRequest)),
    },
  },
  resourceRequests: {
    tagValue: 'wants',
    fields: {
      type: 'k',
      fencingToken: 'token',
      instanceId: 'inst',
      requests: requiredField('wants', list(resourceRequest)),
    },
  },
  placements: {
    tagValue: 'held',
    fields: {
      type: 'k',
      fencingToken: 'token',
      instanceId: 'inst',
      placements: requiredField('held', list(placement)),
    },
  },
  release: {
    tagValue: 'drop',
    fields: {
      type: 'k',
      fencingToken: 'token',
      instanceId: 'inst',
      tasks: requiredField(
        'tasks',
        list(object<{ machine: string; attemptKey: string }>({ machine: 'machine', attemptKey: 'key' })),
      ),
      grants: requiredField('grants', grantIds),
    },
  },
  cancellationCoverage: {
    tagValue: 'covered',
    fields: {
      type: 'k',
      fencingToken: 'token',
      instanceId: 'inst',
      syncNumber: 'sync',
      placementMessages: 'n',
      shardEpochs: requiredField('gens', shardEpochs),
      leaderTimestamp: 'mark',
    },
  },
});

const taskAttempt = object<TaskAttempt>({
  jobId: 'job',
  taskIndex: 'idx',
  attempt: 'attempt',
});

const leaderMessage = taggedUnion<LeaderMessage>('k', {
  syncAccepted: { tagValue: 'synced', fields: { type: 'k', fencingToken: 'token', syncNumber: 'sync' } },
  syncRequested: { tagValue: 'resync', fields: { type: 'k', fencingToken: 'token' } },
  grants: {
    tagValue: 'grants',
    fields: { type: 'k', fencingToken: 'token', grants: requiredField('grants', list(grant)) },
  },
  timestamp: { tagValue: 'mark', fields: { type: 'k', fencingToken: 'token', leaderTimestamp: 'at' } },
  allocationEvents: {
    tagValue: 'seen',
    fields: { type: 'k', fencingToken: 'token', events: requiredField('seen', list(allocationEvent)) },
  },
  evict: {
    tagValue: 'evict',
    fields: {
      type: 'k',
      fencingToken: 'token',
      tasks: requiredField('tasks', list(taskAttempt)),
      reason: 'why',
    },
  },
});

const timestamp = object<{ instanceId: string; timestamp: number }>({
  instanceId: 'inst',
  timestamp: 'mark',
});

const coverage = object<{ instanceId: string; timestamp: number; pendingMachines: string[] | null }>({
  instanceId: 'inst',
  timestamp: 'mark',
  pendingMachines: 'pending',
});

/** Codec of an image location, encoded as an array of machine, image and size in GB. */
const imageLocation: Codec<ImageLocation> = {
  encode: ({ machine, image, sizeGb }) => [machine, image, sizeGb],
  decode: (encoded) => {
    if (!isImageLocation(encoded)) throw new DecodeError('machine, image and size in GB', encoded);
    const [machine, image, sizeGb] = encoded;
    return { machine, image, sizeGb };
  },
};

const messageBody = taggedUnion<PeerMessageBody>('k', {
  heartbeat: {
    tagValue: 'ping',
    fields: {
      type: 'k',
      leaderName: 'leader',
      fencingToken: 'token',
      storeContactAgeMs: 'okAgeMs',
      redirectedMachines: 'strays',
      timestamp: 'mark',
      latestTimestamp: field('had', timestamp),
      cancellationsAnnounced: 'told',
      coverage: field('cover', coverage),
    },
  },
  cancelled: { tagValue: 'cancelled', fields: { type: 'k', jobId: 'job', cancellationNumber: 'n' } },
  images: {
    tagValue: 'images',
    fields: { type: 'k', added: field('add', list(imageLocation)), removedMachines: 'gone' },
  },
  toLeader: {
    tagValue: 'owner',
    fields: { type: 'k', recipient: 'to', message: requiredField('m', shardOwnerMessage) },
  },
  toShardOwner: {
    tagValue: 'scheduler',
    fields: { type: 'k', recipient: 'to', message: requiredField('m', leaderMessage) },
  },
});

const peerMessage = object<PeerMessage>({
  nodeName: 'host',
  instanceId: 'inst',
  sequence: 'seq',
  body: field('body', messageBody),
});

/** Encodes a message into the value that is serialized for the connection. */
export function encodePeerMessage(message: PeerMessage): unknown {
  return peerMessage.encode(message);
}

/**
 * Decodes a message from another controller; returns null if it does not have the form that controllers send.
 */
export function decodePeerMessage(encoded: unknown): PeerMessage | null {
  if (!isPeerMessage(encoded)) return null;
  try {
    return peerMessage.decode(encoded);
  } catch (error) {
    if (error instanceof DecodeError) return null;
    throw error;
  }
}

// Checks of the encoded fields that controllers rely on.

function isPeerMessage(encoded: unknown): boolean {
  if (!isJsonObject(encoded)) return false;
  if (typeof encoded.host !== 'string' || typeof encoded.inst !== 'string' || typeof encoded.seq !== 'number')
    return false;
  const { body } = encoded;
  return isJsonObject(body) && isMessageBody(body);
}

function isMessageBody(body: JsonObject): boolean {
  switch (body.k) {
    case 'ping':
      return isHeartbeat(body);
    case 'cancelled':
      return typeof body.job === 'string' && typeof body.n === 'number';
    case 'images':
      return isImageLocationList(body.add) && isNameList(body.gone);
    case 'owner':
    case 'scheduler':
      return typeof body.to === 'string' && isJsonObject(body.m);
    default:
      return false;
  }
}

function isHeartbeat(body: JsonObject): boolean {
  return (
    typeof body.token === 'number' &&
    typeof body.leader === 'string' &&
    typeof body.okAgeMs === 'number' &&
    isNameList(body.strays) &&
    typeof body.mark === 'number' &&
    typeof body.told === 'number' &&
    isTimestamp(body.had) &&
    isCoverage(body.cover)
  );
}

function isImageLocationList(value: unknown): boolean {
  return Array.isArray(value) && value.every(isImageLocation);
}

function isImageLocation(value: unknown): value is [string, string, number] {
  return (
    Array.isArray(value) &&
    typeof value[0] === 'string' &&
    typeof value[1] === 'string' &&
    typeof value[2] === 'number'
  );
}

function isNameList(value: unknown): boolean {
  return Array.isArray(value) && value.every((name) => typeof name === 'string');
}

function isTimestamp(value: unknown): boolean {
  return (
    value === null ||
    (isJsonObject(value) && typeof value.inst === 'string' && typeof value.mark === 'number')
  );
}

function isCoverage(value: unknown): boolean {
  if (value === null) return true;
  return isTimestamp(value) && isJsonObject(value) && (value.pending === null || isNameList(value.pending));
}
