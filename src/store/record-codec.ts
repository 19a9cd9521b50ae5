/** The encoded form of records in the key-value store. Encoded names are those that every earlier version has written. */

import type { JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine-type.js';
import type {
  CounterRecord,
  FinalRecord,
  JobRecord,
  LeaderRecord,
  NodeRecord,
  OwnerRecord,
  PlacementEntry,
  PlacementRecord,
  TokenRecord,
} from '../model/records.js';
import { type Codec, field, list, object } from '../wire/field-codec.js';

/** A flag that is stored as 1, and left out where it is not set. */
const flag: Codec<true> = { encode: () => 1, decode: () => true };

/** 1 or 0. */
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

/** `[attempt]` once it is finalized, else `[attempt, machine, agent epoch, zone]`. */
const placementEntry: Codec<PlacementEntry> = {
  encode: ({ attempt, location }) =>
    location ? [attempt, location.machine, location.agentEpoch, location.zone] : [attempt],
  decode: (encoded) => {
    const [attempt, machine, agentEpoch, zone] = encoded as [number, string, number, string];
    return { attempt, location: zone === undefined ? null : { machine, agentEpoch, zone } };
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

/** `open/<id>/a`: a job as accepted. */
export const jobRecord: Codec<JobRecord> = object<JobRecord>({
  spec: field('j', jobSpec),
  acceptedRevision: 'o',
  cancelled: field('x', flag),
});

/** `open/<id>/n`: a job's counter. */
export const counterRecord: Codec<CounterRecord> = object<CounterRecord>({
  finishedTasks: 'n',
  runningTasks: 'r',
  finishedBitmap: 'b',
});

/** `place/<id>/<chunk>`: the last placements of a chunk of its tasks. */
export const placementRecord: Codec<PlacementRecord> = object<PlacementRecord>({
  tasks: field('t', placementsByTask),
});

/** `end/<id>`: the final answer about a job. */
export const finalRecord: Codec<FinalRecord> = object<FinalRecord>({
  isDone: field('d', bit),
  finishedTasks: 'n',
});

/** `sys/leader`. */
export const leaderRecord: Codec<LeaderRecord> = object<LeaderRecord>({
  instanceId: 'inst',
  nodeName: 'host',
  fencingToken: 'token',
});

/** `sys/token`: the highest fencing token. */
export const tokenRecord: Codec<TokenRecord> = object<TokenRecord>({ fencingToken: 'n' });

/** `sys/node/<node>`: a live controller. */
export const nodeRecord: Codec<NodeRecord> = object<NodeRecord>({ instanceId: 'inst', leaseId: 'lease' });

/** `sys/team/<team>`, and `fence/<node>`: the instance that the record belongs to. */
export const teamRecord: Codec<OwnerRecord> = object<OwnerRecord>({ instanceId: 'inst' });

/** `sys/types`: the machine types, as the leader last read them. */
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
