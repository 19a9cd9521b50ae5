/**
 * Codecs for the records in the key-value store. The encoded names are those that all earlier versions have
 * written.
 */

import type { JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine-type.js';
import type {
  CounterRecord,
  FinalRecord,
  HandoverRecord,
  JobRecord,
  LeaderRecord,
  NodeRecord,
  OwnerRecord,
  PlacementEntry,
  PlacementRecord,
  TokenRecord,
} from '../model/records.js';
import { type Codec, field, list, object } from '../wire/field-codec.js';

/** A flag that is stored as 1 and omitted if it is not set. */
const flag: Codec<true> = { encode: () => 1, decode: () => true };

/** A boolean stored as 1 or 0. */
const bit: Codec<boolean> = { encode: (value) => (value ? 1 : 0), decode: (encoded) => encoded === 1 };

const jobSpec = object<JobSpec>({
  id: 'id',
  jobClass: 'cls',
  team: 'team',
  kind: 'shape',
  priority: 'rank',
  taskCount: 'tasks',
  cpus: 'cpus',
  gpus: 'gpus',
  memoryGb: 'mem',
  image: 'image',
  imageGb: 'imageGb',
  machineTypes: 'types',
  zone: 'zone',
  zoneAffinity: 'together',
  zoneAntiAffinity: 'apart',
  spotAllowed: 'spot',
  estimatedRunSeconds: 'estimateS',
  checkpointIntervalSeconds: 'checkpointS',
  checkpointSaveSeconds: 'saveS',
  deadlineSeconds: 'deadlineS',
  acceptedAtMs: 'at',
});

/**
 * Codec of a placement: encoded as `[attempt]` once finalized, otherwise as `[attempt, machine, worker epoch,
 * zone]`.
 */
const placementEntry: Codec<PlacementEntry> = {
  encode: ({ attempt, location }) =>
    location ? [attempt, location.machine, location.workerEpoch, location.zone] : [attempt],
  decode: (encoded) => {
    const [attempt, machine, workerEpoch, zone] = encoded as [number, string, number, string];
    return { attempt, location: zone === undefined ? null : { machine, workerEpoch, zone } };
  },
};

const placementsByTask: Codec<Map<number, PlacementEntry>> = {
  encode: (tasks) =>
    Object.fromEntries([...tasks].map(([task, placed]) => [task, placementEntry.encode(placed)])),
  decode: (encoded) =>
    new Map(
      Object.entries(encoded as object).map(([task, placed]) => [
        Number(task),
        placementEntry.decode(placed),
      ]),
    ),
};

/** `open/<job>/a`: a job as accepted. */
export const jobRecord: Codec<JobRecord> = object<JobRecord>({
  spec: field('j', jobSpec),
  acceptedRevision: 'o',
  cancelled: field('x', flag),
});

/** `open/<job>/n`: a job's counter of finished tasks. */
export const counterRecord: Codec<CounterRecord> = object<CounterRecord>({
  finishedTasks: 'n',
  runningTasks: 'r',
  finishedBitmap: 'b',
});

/** `place/<job>/<chunk>`: the last placements of a chunk of a job's tasks. */
export const placementRecord: Codec<PlacementRecord> = object<PlacementRecord>({
  tasks: field('t', placementsByTask),
});

/** `end/<job>`: the final state of a job. */
export const finalRecord: Codec<FinalRecord> = object<FinalRecord>({
  isDone: field('d', bit),
  finishedTasks: 'n',
});

/** `sys/leader`: the elected leader. */
export const leaderRecord: Codec<LeaderRecord> = object<LeaderRecord>({
  instanceId: 'inst',
  nodeName: 'host',
  fencingToken: 'token',
});

/** `sys/token`: the highest fencing token. */
export const tokenRecord: Codec<TokenRecord> = object<TokenRecord>({ fencingToken: 'n' });

/** `sys/handover`: the last handover by a leader that heard no workers. */
export const handoverRecord: Codec<HandoverRecord> = object<HandoverRecord>({
  fencingToken: 'token',
  nodeNames: 'hosts',
});

/** `sys/node/<node>`: a live controller. */
export const nodeRecord: Codec<NodeRecord> = object<NodeRecord>({ instanceId: 'inst', leaseId: 'lease' });

/**
 * `sys/team/<team>` and `fence/<node>`: the instance that owns the shard, or that last moved the write fence.
 */
export const ownerRecord: Codec<OwnerRecord> = object<OwnerRecord>({ instanceId: 'inst' });

/** `sys/types`: the machine types as last read by the leader. */
export const machineTypesRecord: Codec<MachineType[]> = list(
  object<MachineType>({
    name: 'name',
    cpus: 'cpus',
    gpus: 'gpus',
    memoryGb: 'mem',
    imageCacheGb: 'cacheGb',
    imageFetchGbPerSecond: 'fetchGbPerS',
    hourlyPrice: 'price',
    hourlySpotPrice: 'spotPrice',
    bootSeconds: 'bootS',
    zones: 'zones',
  }),
);
