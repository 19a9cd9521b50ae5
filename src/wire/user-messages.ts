/**
 * The protocol for users: job submissions and job states. In the protocol's terms, a `sapling` is a task, a
 * `grove` a job class, a `crew` a team, a `seed` a container image, a `bark` a machine type and a `slope` a
 * zone; `windfall` means spot. `SUBMITTED_FIELDS` has the other names.
 */

import type { ApiResponse, JobState } from '../model/api-response.js';
import type { JobKind, JobSpec, Priority } from '../model/job.js';
import { asCount, asFiniteNumber, asNonEmptyString, isJsonObject, lookUp } from './json.js';

const JOB_ID = /^wk-[0-9A-Za-z]{1,32}$/;

const JOB_KINDS: Readonly<Record<string, JobKind>> = { sweep: 'array', group: 'gang', standing: 'service' };

const PRIORITIES: Readonly<Record<string, Priority>> = { prod: 0, urgent: 1, standard: 2, low: 3 };

const JOB_PHASES: Readonly<Record<JobState, string>> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

const MAX_TASKS = 100_000;
const MAX_NAME_LENGTH = 128;
const MAX_IMAGE_NAME_LENGTH = 256;
const MAX_MACHINE_TYPES = 64;

/** Decodes the value of a field; returns undefined if it is missing or invalid. */
type FieldReader<T> = (encoded: unknown) => T | undefined;

function flag(encoded: unknown): boolean | undefined {
  return typeof encoded === 'boolean' ? encoded : undefined;
}

function nonNegativeNumber(encoded: unknown): number | undefined {
  const value = asFiniteNumber(encoded);
  return value !== null && value >= 0 ? value : undefined;
}

function taskCount(encoded: unknown): number | undefined {
  const value = asCount(encoded);
  return value !== null && value >= 1 && value <= MAX_TASKS ? value : undefined;
}

function boundedString(maxLength: number): FieldReader<string> {
  return (encoded) => {
    const value = asNonEmptyString(encoded);
    return value !== null && value.length <= maxLength ? value : undefined;
  };
}

function oneOf<T>(table: Readonly<Record<string, T>>): FieldReader<T> {
  return (encoded) => lookUp(table, encoded);
}

function machineTypes(encoded: unknown): string[] | undefined {
  if (!Array.isArray(encoded) || encoded.length > MAX_MACHINE_TYPES) return undefined;
  const isName = (value: unknown) => typeof value === 'string' && value.length <= MAX_NAME_LENGTH;
  return encoded.every(isName) ? [...encoded] : undefined;
}

function optional<T>(read: FieldReader<T>): FieldReader<T | null> {
  return (encoded) => (encoded === null || encoded === undefined ? null : read(encoded));
}

type SubmittedFields = Omit<JobSpec, 'id' | 'acceptedAtMs'>;

/** For each submitted field, its name in the protocol and its reader. */
type SubmissionTable = {
  readonly [Field in keyof SubmittedFields]: {
    readonly name: string;
    readonly read: FieldReader<SubmittedFields[Field]>;
  };
};

/**
 * The fields of a submission except its id, in the order in which they are checked; only the first invalid
 * field is reported.
 */
const SUBMITTED_FIELDS: SubmissionTable = {
  jobClass: { name: 'grove', read: boundedString(MAX_NAME_LENGTH) },
  team: { name: 'crew', read: boundedString(MAX_NAME_LENGTH) },
  kind: { name: 'shape', read: oneOf(JOB_KINDS) },
  priority: { name: 'rank', read: oneOf(PRIORITIES) },
  taskCount: { name: 'saplings', read: taskCount },
  cpus: { name: 'vcpus', read: nonNegativeNumber },
  gpus: { name: 'cards', read: nonNegativeNumber },
  memoryGb: { name: 'ram_gb', read: nonNegativeNumber },
  image: { name: 'seed', read: boundedString(MAX_IMAGE_NAME_LENGTH) },
  imageGb: { name: 'pull_gb', read: nonNegativeNumber },
  machineTypes: { name: 'barks', read: optional(machineTypes) },
  zone: { name: 'slope', read: optional(boundedString(MAX_NAME_LENGTH)) },
  zoneAffinity: { name: 'together', read: flag },
  zoneAntiAffinity: { name: 'apart', read: flag },
  spotAllowed: { name: 'windfall', read: flag },
  estimatedRunSeconds: { name: 'growth_s', read: nonNegativeNumber },
  checkpointIntervalSeconds: { name: 'ring_s', read: nonNegativeNumber },
  checkpointSaveSeconds: { name: 'resin_s', read: nonNegativeNumber },
  deadlineSeconds: { name: 'frost_s', read: optional(nonNegativeNumber) },
};

/** A decoded submission, or the reason why it is invalid with the job's id if that is valid. */
export type DecodedSubmission =
  | { ok: true; spec: JobSpec }
  | { ok: false; id: string | null; reason: string };

/** Returns whether a string has the form of a job id. */
export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

/** Decodes a submission that is accepted at `acceptedAtMs` (wall-clock time), field by field. */
export function decodeSubmission(encoded: unknown, acceptedAtMs: number): DecodedSubmission {
  if (!isJsonObject(encoded)) return { ok: false, id: null, reason: 'not a JSON object' };
  const id = asNonEmptyString(encoded.name_id);
  if (id === null || !isJobId(id)) return { ok: false, id: null, reason: invalidFieldReason('name_id') };
  const fields: Record<string, unknown> = {};
  for (const [field, { name, read }] of Object.entries(SUBMITTED_FIELDS)) {
    const value = read(encoded[name]);
    if (value === undefined) return { ok: false, id, reason: invalidFieldReason(name) };
    fields[field] = value;
  }
  // Every field of `SUBMITTED_FIELDS` has been set.
  return { ok: true, spec: { id, ...(fields as unknown as SubmittedFields), acceptedAtMs } };
}

function invalidFieldReason(field: string): string {
  return `${field} is missing or invalid`;
}

/** Encodes a job's state for its user. */
export function encodeJobStatus(
  id: string,
  response: Extract<ApiResponse, { type: 'job' }>,
): Record<string, unknown> {
  return {
    name_id: id,
    phase: JOB_PHASES[response.state],
    done: response.finishedTasks,
    running: response.runningTasks,
  };
}
