/** Messages between controllers: the encoded names are those of every version that may serve at the same time. */
import type { MeshBody, MeshMsg } from '../core/controller.js';
import type { Grant, Held, OwnerMsg, SchedulerMsg, Seen, Want } from '../core/types.js';
import { DecodeError, field, list, object, taggedUnion } from './field-codec.js';

const resourceRequest = object<Want>({
  job: 'job',
  team: 'team',
  cls: 'cls',
  rank: 'rank',
  order: 'order',
  stage: 'stage',
  count: 'count',
  whole: 'whole',
  service: 'service',
  cpus: 'cpus',
  gpus: 'gpus',
  mem: 'mem',
  image: 'image',
  imageGb: 'imageGb',
  estimateS: 'estimateS',
  types: 'types',
  spot: 'spot',
  zone: 'zone',
  zoneRoom: 'zoneRoom',
  zoneCap: 'zoneCap',
  together: 'together',
  avoid: 'avoid',
  tasksLeft: 'tasksLeft',
  near: 'near',
  patienceS: 'patienceS',
  aimS: 'aimS',
  slackS: 'slackS',
  seen: 'seen',
  starved: 'starved',
  spotOnly: 'spotOnly',
  refusedBy: 'refusedBy',
});

const placement = object<Held>({
  job: 'job',
  idx: 'idx',
  attempt: 'attempt',
  machine: 'machine',
  season: 'season',
  want: 'want',
  graceS: 'graceS',
  team: 'team',
  rank: 'rank',
  gang: 'gang',
  service: 'service',
  cpus: 'cpus',
  gpus: 'gpus',
  mem: 'mem',
  image: 'image',
  imageGb: 'imageGb',
  estimateS: 'estimateS',
  types: 'types',
  spread: 'spread',
  grant: 'grant',
});

const grant = object<Grant>({
  id: 'id',
  job: 'job',
  team: 'team',
  machine: 'machine',
  zone: 'zone',
  season: 'season',
  endedTasks: 'endedTasks',
});

const allocationEvent = taggedUnion<Seen>('s', {
  phase: {
    tagValue: 'phase',
    fields: {
      type: 's',
      job: 'job',
      idx: 'idx',
      attempt: 'attempt',
      machine: 'machine',
      phase: 'phase',
      why: 'why',
      saved: 'saved',
    },
  },
  settled: {
    tagValue: 'settled',
    fields: { type: 's', job: 'job', idx: 'idx', attempt: 'attempt', machine: 'machine' },
  },
});

const ownerMessage = taggedUnion<OwnerMsg>('k', {
  sync: {
    tagValue: 'sync',
    fields: {
      type: 'k',
      token: 'token',
      inst: 'inst',
      sync: 'sync',
      parts: 'parts',
      part: 'part',
      gens: 'gens',
      held: field('held', list(placement)),
      wants: field('wants', list(resourceRequest)),
    },
  },
  wants: {
    tagValue: 'wants',
    fields: { type: 'k', token: 'token', inst: 'inst', wants: field('wants', list(resourceRequest)) },
  },
  held: {
    tagValue: 'held',
    fields: { type: 'k', token: 'token', inst: 'inst', held: field('held', list(placement)) },
  },
  drop: {
    tagValue: 'drop',
    fields: {
      type: 'k',
      token: 'token',
      inst: 'inst',
      tasks: field(
        'tasks',
        list(object<{ machine: string; key: string }>({ machine: 'machine', key: 'key' })),
      ),
      grants: 'grants',
    },
  },
  covered: {
    tagValue: 'covered',
    fields: { type: 'k', token: 'token', inst: 'inst', sync: 'sync', n: 'n', gens: 'gens', mark: 'mark' },
  },
});

const evictedTask = object<{ job: string; idx: number; attempt: number }>({
  job: 'job',
  idx: 'idx',
  attempt: 'attempt',
});

const leaderMessage = taggedUnion<SchedulerMsg>('k', {
  synced: { tagValue: 'synced', fields: { type: 'k', token: 'token', sync: 'sync' } },
  resync: { tagValue: 'resync', fields: { type: 'k', token: 'token' } },
  grants: { tagValue: 'grants', fields: { type: 'k', token: 'token', grants: field('grants', list(grant)) } },
  mark: { tagValue: 'mark', fields: { type: 'k', token: 'token', at: 'at' } },
  seen: {
    tagValue: 'seen',
    fields: { type: 'k', token: 'token', seen: field('seen', list(allocationEvent)) },
  },
  evict: {
    tagValue: 'evict',
    fields: { type: 'k', token: 'token', tasks: field('tasks', list(evictedTask)), why: 'why' },
  },
});

const timestamp = object<{ inst: string; mark: number }>({ inst: 'inst', mark: 'mark' });

const coverage = object<{ inst: string; mark: number; pending: string[] | null }>({
  inst: 'inst',
  mark: 'mark',
  pending: 'pending',
});

const messageBody = taggedUnion<MeshBody>('k', {
  ping: {
    tagValue: 'ping',
    fields: {
      type: 'k',
      leader: 'leader',
      token: 'token',
      okAgeMs: 'okAgeMs',
      strays: 'strays',
      mark: 'mark',
      had: field('had', timestamp),
      told: 'told',
      cover: field('cover', coverage),
    },
  },
  cancelled: { tagValue: 'cancelled', fields: { type: 'k', job: 'job', n: 'n' } },
  images: { tagValue: 'images', fields: { type: 'k', add: 'add', gone: 'gone' } },
  owner: { tagValue: 'owner', fields: { type: 'k', to: 'to', m: field('m', ownerMessage) } },
  scheduler: { tagValue: 'scheduler', fields: { type: 'k', to: 'to', m: field('m', leaderMessage) } },
});

const peerMessage = object<MeshMsg>({
  host: 'host',
  inst: 'inst',
  seq: 'seq',
  body: field('body', messageBody),
});

/** The encoded form of a message, to be packed for the connection. */
export function encodePeerMessage(message: MeshMsg): unknown {
  return peerMessage.encode(message);
}

/** The message that another controller sent; null if it is not of a form that controllers send. */
export function decodePeerMessage(encoded: unknown): MeshMsg | null {
  if (!isPeerMessage(encoded)) return null;
  try {
    return peerMessage.decode(encoded);
  } catch (error) {
    if (error instanceof DecodeError) return null;
    throw error;
  }
}

/** The fields that a controller relies on, in the encoded form. */
interface EncodedBody {
  [field: string]: unknown;
}

function isPeerMessage(encoded: unknown): boolean {
  if (!isObject(encoded)) return false;
  if (typeof encoded.host !== 'string' || typeof encoded.inst !== 'string' || typeof encoded.seq !== 'number')
    return false;
  const { body } = encoded;
  return isObject(body) && isMessageBody(body);
}

function isMessageBody(body: EncodedBody): boolean {
  switch (body.k) {
    case 'ping':
      return isPing(body);
    case 'cancelled':
      return typeof body.job === 'string' && typeof body.n === 'number';
    case 'images':
      return isImageFacts(body.add) && isNames(body.gone);
    case 'owner':
    case 'scheduler':
      return typeof body.to === 'string' && isObject(body.m);
    default:
      return false;
  }
}

function isPing(body: EncodedBody): boolean {
  return (
    typeof body.token === 'number' &&
    typeof body.leader === 'string' &&
    typeof body.okAgeMs === 'number' &&
    isNames(body.strays) &&
    typeof body.mark === 'number' &&
    typeof body.told === 'number' &&
    isTimestamp(body.had) &&
    isCoverage(body.cover)
  );
}

function isImageFacts(value: unknown): boolean {
  return Array.isArray(value) && value.every(isImageFact);
}

function isImageFact(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    typeof value[0] === 'string' &&
    typeof value[1] === 'string' &&
    typeof value[2] === 'number'
  );
}

function isNames(value: unknown): boolean {
  return Array.isArray(value) && value.every((name) => typeof name === 'string');
}

function isTimestamp(value: unknown): boolean {
  return (
    value === null || (isObject(value) && typeof value.inst === 'string' && typeof value.mark === 'number')
  );
}

function isCoverage(value: unknown): boolean {
  if (value === null) return true;
  return isTimestamp(value) && isObject(value) && (value.pending === null || isNames(value.pending));
}

function isObject(value: unknown): value is EncodedBody {
  return typeof value === 'object' && value !== null;
}
