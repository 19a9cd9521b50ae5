/** Paths of a controller's HTTP API. */

/** Receives worker heartbeats. */
export const HEARTBEAT_PATH = '/hello';

/** Health check: whether the controller can serve users. */
export const READINESS_PATH = '/ready';

/** Job submissions; the paths of single jobs are below it. */
export const JOBS_PATH = '/v2/runs';
