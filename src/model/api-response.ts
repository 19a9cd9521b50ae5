/** Responses to users' requests about jobs. */

/** The state of a job as shown to users; `done` and `cancelled` are final. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/**
 * Response to a user's request.
 * - `job`: the job's state with the numbers of its finished and running tasks; `created` is true if this
 *   request created the job.
 * - `notFound`: there is no such job.
 * - `rejected`: the job can never run.
 * - `unavailable`: the user should retry; the request may have been executed.
 */
export type ApiResponse =
  | { type: 'job'; created: boolean; state: JobState; finishedTasks: number; runningTasks: number }
  | { type: 'notFound' }
  | { type: 'rejected'; reason: string }
  | { type: 'unavailable'; reason: string };
