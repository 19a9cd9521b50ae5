/** Answers to users about their jobs. */

/** State of a job as users see it; `done` and `cancelled` are final. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/**
 * `job`: its state, with the numbers of its tasks that are done and running. `rejected`: the job can never run.
 * `unavailable`: the user asks again later; the request may have been carried out.
 */
export type ApiAnswer =
  | { type: 'job'; created: boolean; state: JobState; finishedTasks: number; runningTasks: number }
  | { type: 'notFound' }
  | { type: 'rejected'; reason: string }
  | { type: 'unavailable'; reason: string };
