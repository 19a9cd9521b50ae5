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

export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

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
