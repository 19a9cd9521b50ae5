/** Jobs and their tasks, as users submit them and the cluster knows them. */

/** Words used everywhere inside; the protocol's own names are known to src/wire alone. */

export type JobKind = 'array' | 'gang' | 'service';

/** 0 is the highest: prod, urgent, standard, low. */
export type Priority = 0 | 1 | 2 | 3;

export interface JobSpec {
  id: string;
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
  machineTypes: string[] | null;
  zone: string | null;
  zoneAffinity: boolean;
  zoneAntiAffinity: boolean;
  spotAllowed: boolean;
  estimatedRunSeconds: number;
  checkpointIntervalSeconds: number;
  checkpointSaveSeconds: number;
  deadlineSeconds: number | null;
  /** Time of day of acceptance in ms, used for deadlines only. */
  acceptedAtMs: number;
}

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

/** One attempt of a task. */
export interface TaskAttempt {
  jobId: string;
  taskIndex: number;
  attempt: number;
}

export function taskKey(jobId: string, taskIndex: number, attempt: number): string {
  return `${jobId}/${taskIndex}#${attempt}`;
}
