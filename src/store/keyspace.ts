/**
 * The keys of all records in the key-value store. No other module builds or parses keys.
 *
 *   open/<job>/a           a job as accepted, with its cancellation
 *   open/<job>/n           the job's counter of finished tasks
 *   place/<job>/<chunk>    the last placements of a chunk of the job's tasks
 *   end/<job>              the job's final state, written when the records above are deleted
 *   fence/<node>           the write fence of a controller
 *   sys/leader, sys/token  the leader, and the highest fencing token
 *   sys/handover           the last handover by a leader that heard no workers
 *   sys/node/<node>        a live controller
 *   sys/team/<team>        the shard owner of a team
 *   sys/types              the machine types
 */

/** Prefix of the records of open jobs: accepted jobs whose final record is not stored yet. */
export const OPEN_JOBS_PREFIX = 'open/';
/** Prefix of the placement records of open jobs. */
export const PLACEMENTS_PREFIX = 'place/';
/** Prefix of the records that controllers keep about the cluster. */
export const SYSTEM_PREFIX = 'sys/';

/** Key of the leader record, which is attached to the leader's lease. */
export const LEADER_KEY = 'sys/leader';
/** Key of the highest fencing token. */
export const FENCING_TOKEN_KEY = 'sys/token';
/** Key of the last handover by a leader that heard no workers. */
export const HANDOVER_KEY = 'sys/handover';
/** Key of the machine types as last read by the leader. */
export const MACHINE_TYPES_KEY = 'sys/types';

const JOB_PART = 'a';
const COUNTER_PART = 'n';
const NODE_PREFIX = 'sys/node/';
const TEAM_PREFIX = 'sys/team/';

/** The record of an open job that a key refers to. */
export type JobRecordKey =
  | { type: 'job'; jobId: string }
  | { type: 'counter'; jobId: string }
  | { type: 'placements'; jobId: string; chunk: number };

/** Returns the key of a job as accepted. */
export function jobKey(jobId: string): string {
  return `${OPEN_JOBS_PREFIX}${jobId}/${JOB_PART}`;
}

/** Returns the key of a job's counter of finished tasks. */
export function counterKey(jobId: string): string {
  return `${OPEN_JOBS_PREFIX}${jobId}/${COUNTER_PART}`;
}

/** Returns the key of the last placements of one chunk of a job's tasks. */
export function placementChunkKey(jobId: string, chunk: number): string {
  return `${PLACEMENTS_PREFIX}${jobId}/${chunk}`;
}

/** Returns the key of a job's final state. */
export function finalKey(jobId: string): string {
  return `end/${jobId}`;
}

/**
 * Returns the key of a controller's write fence, which keeps transactions sent before it was moved from being
 * executed later. The record outlives the process.
 */
export function fenceKey(nodeName: string): string {
  return `fence/${nodeName}`;
}

/** Returns the key of a live controller's record, which is attached to the controller's lease. */
export function nodeKey(nodeName: string): string {
  return `${NODE_PREFIX}${nodeName}`;
}

/** Returns the key of a team's shard owner. */
export function teamKey(team: string): string {
  return `${TEAM_PREFIX}${team}`;
}

/** Returns the record that a key under `open/` or `place/` refers to, or null for any other key. */
export function parseJobRecordKey(key: string): JobRecordKey | null {
  const [kind, jobId, part] = key.split('/');
  if (!jobId || !part) return null;
  if (kind === 'place') return { type: 'placements', jobId, chunk: Number(part) };
  if (kind !== 'open') return null;
  if (part === JOB_PART) return { type: 'job', jobId };
  return part === COUNTER_PART ? { type: 'counter', jobId } : null;
}

/** Returns the team whose shard owner the key holds, or null for any other key. */
export function teamOfKey(key: string): string | null {
  return key.startsWith(TEAM_PREFIX) ? key.slice(TEAM_PREFIX.length) : null;
}

/** Returns the node name of the live controller that the key refers to, or null for any other key. */
export function nodeOfKey(key: string): string | null {
  return key.startsWith(NODE_PREFIX) ? key.slice(NODE_PREFIX.length) : null;
}
