/** Jobs and their tasks, as users submit them and the cluster knows them. */

/** `array`: tasks on their own. `gang`: tasks that run all at once or not at all. `service`: runs until it is cancelled. */
export type JobKind = 'array' | 'gang' | 'service';

/** 0 is the highest: prod, urgent, standard, low. */
export type Priority = 0 | 1 | 2 | 3;

/** A job as submitted. CPUs, GPUs and memory are those of one task. */
export interface JobSpec {
  id: string;
  /** The user's word for jobs of this sort, which objectives go by. */
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
  /** Null: any type will do. */
  machineTypes: string[] | null;
  /** Null: any zone will do. */
  zone: string | null;
  /** All its tasks must be in one zone at a time. */
  zoneAffinity: boolean;
  /** At most half its tasks may be in one zone at a time. */
  zoneAntiAffinity: boolean;
  spotAllowed: boolean;
  /** Of one task, by its user's guess. */
  estimatedRunSeconds: number;
  /** 0: its tasks save no progress. */
  checkpointIntervalSeconds: number;
  /** What a task needs to save when it is stopped. */
  checkpointSaveSeconds: number;
  /** From acceptance until it should be done; null: no deadline. */
  deadlineSeconds: number | null;
  /** Time of day of acceptance in ms, used for deadlines only. */
  acceptedAtMs: number;
}

/** Where a task is, as its worker lists it. `waiting`: for the other tasks of its gang. */
export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why an attempt has ended. `gangMemberLost`: another task of its gang is gone. `gangIncomplete`: its gang was not complete in
 * time. `noCapacity`, `attemptListed`, `unknown`: the machine refused it, for want of free resources, because it lists another
 * attempt of the task, or because it knows no such job.
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

/** One attempt of a task. */
export interface TaskAttempt {
  jobId: string;
  taskIndex: number;
  attempt: number;
}

/** Identifies one attempt of a task in maps and messages. */
export function taskKey(jobId: string, taskIndex: number, attempt: number): string {
  return `${jobId}/${taskIndex}#${attempt}`;
}
