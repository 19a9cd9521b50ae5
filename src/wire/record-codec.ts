/** Records in the key-value store: their encoded names are those that every earlier version has written. */
import type { LeaderRecord, NodeRecord, TeamRecord, TokenRecord } from '../core/controller.js';
import type { CountRecord, EndRecord, OpenRecord, Placed, PlaceRecord } from '../core/records.js';
import type { JobSpec, MachineType } from '../core/types.js';
import { type Codec, field, list, object } from './field-codec.js';

/** A flag that is stored as 1, and left out where it is not set. */
const flag: Codec<true> = { encode: () => 1, decode: () => true };

/** 1 or 0. */
const bit: Codec<boolean> = { encode: (value) => (value ? 1 : 0), decode: (encoded) => encoded === 1 };

const jobSpec = object<JobSpec>({
  id: 'id',
  cls: 'cls',
  team: 'team',
  shape: 'shape',
  rank: 'rank',
  tasks: 'tasks',
  cpus: 'cpus',
  gpus: 'gpus',
  mem: 'mem',
  image: 'image',
  imageGb: 'imageGb',
  types: 'types',
  zone: 'zone',
  together: 'together',
  apart: 'apart',
  spot: 'spot',
  estimateS: 'estimateS',
  checkpointS: 'checkpointS',
  saveS: 'saveS',
  deadlineS: 'deadlineS',
  at: 'at',
});

/** `[attempt]` once it is finalized, else `[attempt, machine, agent epoch, zone]`. */
const placementEntry: Codec<Placed> = {
  encode: ({ attempt, location }) =>
    location ? [attempt, location.machine, location.season, location.zone] : [attempt],
  decode: (encoded) => {
    const [attempt, machine, season, zone] = encoded as [number, string, number, string];
    return { attempt, location: zone === undefined ? null : { machine, season, zone } };
  },
};

const placementsByTask: Codec<Map<number, Placed>> = {
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
export const jobRecord: Codec<OpenRecord> = object<OpenRecord>({
  j: field('j', jobSpec),
  o: 'o',
  x: field('x', flag),
});

/** `open/<id>/n`: a job's counter. */
export const counterRecord: Codec<CountRecord> = object<CountRecord>({ n: 'n', r: 'r', b: 'b' });

/** `place/<id>/<chunk>`: the last placements of a chunk of its tasks. */
export const placementRecord: Codec<PlaceRecord> = object<PlaceRecord>({ t: field('t', placementsByTask) });

/** `end/<id>`: the final answer about a job. */
export const finalRecord: Codec<EndRecord> = object<EndRecord>({ d: field('d', bit), n: 'n' });

/** `sys/leader`. */
export const leaderRecord: Codec<LeaderRecord> = object<LeaderRecord>({
  inst: 'inst',
  host: 'host',
  token: 'token',
});

/** `sys/token`: the highest fencing token. */
export const tokenRecord: Codec<TokenRecord> = object<TokenRecord>({ n: 'n' });

/** `sys/node/<host>`: a controller that is alive. */
export const nodeRecord: Codec<NodeRecord> = object<NodeRecord>({ inst: 'inst', lease: 'lease' });

/** `sys/team/<name>`, and `fence/<host>`: the instance that the record belongs to. */
export const teamRecord: Codec<TeamRecord> = object<TeamRecord>({ inst: 'inst' });

/** `sys/types`: the machine types, as the cloud last told them. */
export const machineTypesRecord: Codec<MachineType[]> = list(
  object<MachineType>({
    name: 'name',
    cpus: 'cpus',
    gpus: 'gpus',
    mem: 'mem',
    cacheGb: 'cacheGb',
    fetchGbPerS: 'fetchGbPerS',
    price: 'price',
    spotPrice: 'spotPrice',
    bootS: 'bootS',
    zones: 'zones',
  }),
);
