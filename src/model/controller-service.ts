/** What a controller does for those who ask it over the network. */

import type { HeartbeatResult } from './heartbeat-result.js';
import type { JobSpec } from './job.js';
import type { ApiAnswer } from './job-answer.js';
import type { Heartbeat } from './worker-messages.js';

/** Told the answer to a user's request, exactly once. */
export type AnswerCallback = (answer: ApiAnswer) => void;

/** Users' requests on jobs. Failures are answers too: `unavailable` asks the user to come back. */
export interface JobService {
  /** Accepts a job, or refuses it; the repeat of a job that is known gets that job's state. */
  submitJob(spec: JobSpec, callback: AnswerCallback): void;
  /** The state of a job. */
  getJob(id: string, callback: AnswerCallback): void;
  /** Cancels a job unless it is done. */
  cancelJob(id: string, callback: AnswerCallback): void;
}

/** A controller as the HTTP server sees it. */
export interface ControllerService {
  readonly api: JobService;
  /** Takes a worker's heartbeat, or says where it belongs. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResult;
  /** Whether it can take users' requests, as health checks ask. */
  isReady(): boolean;
  /** Whether users that can't be served here would be served by another controller. */
  shouldRedirectUsers(): boolean;
}
