/** The services that a controller offers over the network. */

import type { ApiResponse } from './api-response.js';
import type { HeartbeatResult } from './heartbeat-result.js';
import type { JobSpec } from './job.js';
import type { Heartbeat } from './worker-messages.js';

/** Receives the response to a user's request; called exactly once. */
export type ApiResponseCallback = (response: ApiResponse) => void;

/**
 * Handles users' requests about jobs. Failures are responses as well: `unavailable` asks the user to retry.
 */
export interface JobService {
  /** Accepts or rejects a job. If the job was accepted before, the response has its state. */
  submitJob(spec: JobSpec, callback: ApiResponseCallback): void;
  /** Gets the state of a job. */
  getJob(id: string, callback: ApiResponseCallback): void;
  /** Cancels a job unless it is done or cancelled already, and responds with its state. */
  cancelJob(id: string, callback: ApiResponseCallback): void;
}

/** A controller as seen by the HTTP server. */
export interface ControllerService {
  readonly api: JobService;
  /** Processes a worker's heartbeat or redirects the worker. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResult;
  /** Returns whether this controller can serve users' requests, for health checks. */
  isReady(): boolean;
  /** Returns whether users that cannot be served here should ask another controller. */
  shouldRedirectUsers(): boolean;
}
