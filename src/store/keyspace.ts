/**
 * The keys of all records in the key-value store, built and parsed here alone.
 *
 *   open/<job>/a           a job as accepted, with its cancellation
 *   open/<job>/n           its counter of finished tasks
 *   place/<job>/<chunk>    the last placements of a chunk of its tasks
 *   end/<job>              its final answer, written when the records above are deleted
 *   fence/<node>           the write fence of a controller
 *   sys/leader, sys/token  the leader, and the highest fencing token
 *   sys/node/<node>        a live controller
 *   sys/team/<team>        the shard owner of a team
 *   sys/types              the machine types
 */

/** Prefix of the records of jobs that are not over. */
export const OPEN_JOBS_PREFIX = 'open/';
/** Prefix of the placements of jobs that are not over. */
export const PLACEMENTS_PREFIX = 'place/';
/** Prefix of the records that controllers keep about themselves. */
export const SYSTEM_PREFIX = 'sys/';

/** The leader; bound to its lease. */
export const LEADER_KEY = 'sys/leader';
/** The highest fencing token. */
export const FENCING_TOKEN_KEY = 'sys/token';
/** The machine types, as the leader last read them. */
export const MACHINE_TYPES_KEY = 'sys/types';

const JOB_PART = 'a';
const COUNTER_PART = 'n';
const NODE_PREFIX = 'sys/node/';
const TEAM_PREFIX = 'sys/team/';

/** Which record of an unfinished job a key names. */
export type JobRecordKey =
  | { type: 'job'; jobId: string }
  | { type: 'counter'; jobId: string }
  | { type: 'placements'; jobId: string; chunk: number };

/** A job as accepted. */
export function jobKey(jobId: string): string {
  return `${OPEN_JOBS_PREFIX}${jobId}/${JOB_PART}`;
}

/** A job's counter of finished tasks. */
export function counterKey(jobId: string): string {
  return `${OPEN_JOBS_PREFIX}${jobId}/${COUNTER_PART}`;
}

/** The last placements of one chunk of a job's tasks. */
export function placementChunkKey(jobId: string, chunk: number): string {
  return `${PLACEMENTS_PREFIX}${jobId}/${chunk}`;
}

/** The final answer about a job. */
export function finalKey(jobId: string): string {
  return `end/${jobId}`;
}

/** The write fence of a controller; it outlives the process. */
export function fenceKey(nodeName: string): string {
  return `fence/${nodeName}`;
}

/** A live controller; bound to its lease. */
export function nodeKey(nodeName: string): string {
  return `${NODE_PREFIX}${nodeName}`;
}

/** The shard owner of a team. */
export function teamKey(team: string): string {
  return `${TEAM_PREFIX}${team}`;
}

/** The record that a key under `open/` or `place/` names; null: none of them. */
export function parseJobRecordKey(key: string): JobRecordKey | null {
  const [kind, jobId, part] = key.split('/');
  if (!jobId || !part) return null;
  if (kind === 'place') return { type: 'placements', jobId, chunk: Number(part) };
  if (kind !== 'open') return null;
  if (part === JOB_PART) return { type: 'job', jobId };
  return part === COUNTER_PART ? { type: 'counter', jobId } : null;
}

/** The team whose shard owner a key names; null: it names none. */
export function teamOfKey(key: string): string | null {
  return key.startsWith(TEAM_PREFIX) ? key.slice(TEAM_PREFIX.length) : null;
}

/** The controller that a key names as live; null: it names none. */
export function nodeOfKey(key: string): string | null {
  return key.startsWith(NODE_PREFIX) ? key.slice(NODE_PREFIX.length) : null;
}
