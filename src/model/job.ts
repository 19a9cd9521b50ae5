/** Jobs and their tasks, as users submit them and as the cluster tracks them. */

/**
 * `array`: independent tasks. `gang`: tasks that run all at once or not at all. `service`: runs until it is
 * cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';

/** Job priority; 0 is the highest. The levels are prod, urgent, standard and low. */
export type Priority = 0 | 1 | 2 | 3;

/** A job as submitted. `cpus`, `gpus` and `memoryGb` are the demand of one task. */
export interface JobSpec {
  id: string;
  /** User-defined class of the job; objectives apply to classes. */
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  taskCount: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types; null: any type. */
  machineTypes: string[] | null;
  /** Required zone; null: any zone. */
  zone: string | null;
  /** Whether all running tasks of the job must be in one zone. */
  zoneAffinity: boolean;
  /**
   * Whether the job must be spread over zones: at most half of its tasks may be in any one zone at a time.
   */
  zoneAntiAffinity: boolean;
  spotAllowed: boolean;
  /** Run time of one task as estimated by the user. */
  estimatedRunSeconds: number;
  /** Time between two checkpoints of a task; 0: tasks save no progress. */
  checkpointIntervalSeconds: number;
  /** Time that a task takes to save a checkpoint when it is stopped. */
  checkpointSaveSeconds: number;
  /** Time from acceptance by which the job should be done; null: no deadline. */
  deadlineSeconds: number | null;
  /** Wall-clock time of acceptance in ms. Deadlines, objectives and waiting times are measured from it. */
  acceptedAtMs: number;
}

/**
 * The phase of an attempt as listed by its worker. `waiting`: the attempt waits for the other tasks of its
 * gang.
 */
export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why an attempt ended. `gangMemberLost`: another task of its gang is no longer there. `gangIncomplete`: its
 * gang was not complete in time. The machine refused the attempt in these cases: `noCapacity`, its free
 * resources don't suffice; `attemptListed`, it lists another attempt of the task; `unknown`, it does not know
 * the job.
 */
export type ExitReason =
  | 'done'
  | 'stopped'
  | 'gangMemberLost'
  | 'gangIncomplete'
  | 'error'
  | 'noCapacity'
  | 'attemptListed'
  | 'unknown';

/** One attempt to run a task. */
export interface TaskAttempt {
  jobId: string;
  taskIndex: number;
  attempt: number;
}

/** Returns the key that identifies an attempt in maps and messages. */
export function attemptKey(jobId: string, taskIndex: number, attempt: number): string {
  return `${jobId}/${taskIndex}#${attempt}`;
}
