/** The paths that a controller serves over HTTP. */

/** Workers post their heartbeats here. */
export const HEARTBEAT_PATH = '/hello';

/** Health checks ask here whether the controller can serve users. */
export const READINESS_PATH = '/ready';

/** Users submit jobs here; a job's own path is below it. */
export const JOBS_PATH = '/v2/runs';
