/** HTTP API for users and health checks. */

import { type Context, Hono } from 'hono';
import type { ApiResponse } from '../model/api-response.js';
import type { Clock } from '../model/clock.js';
import type { ControllerService } from '../model/controller-service.js';
import type { Logger } from '../model/logger.js';
import { parseJson } from '../wire/json.js';
import { decodeSubmission, encodeJobStatus, isJobId } from '../wire/user-messages.js';
import { ConcurrencyLimit } from './concurrency-limit.js';
import { JOBS_PATH, READINESS_PATH } from './http-paths.js';

/** Initial limit of concurrent user requests. It adapts to measured latency within the two bounds below. */
const INITIAL_CONCURRENT_REQUESTS = 64;
const MIN_CONCURRENT_REQUESTS = 8;
const MAX_CONCURRENT_REQUESTS = 400;
/** A response to a user request within this time never counts as slow in the limit of concurrent requests. */
const FAST_RESPONSE_MS = 400;

/** `Retry-After` is a random whole number of seconds from 1 to this. */
const MAX_RETRY_AFTER_S = 3;

/** Dependencies of {@link createUserApi}. */
export interface UserApiOptions {
  controller: ControllerService;
  clock: Clock;
  log: Logger;
}

/** Runs `work` for a request, or responds with 503 if too many requests are in progress. */
type LimitConcurrency = (context: Context, work: () => Promise<Response>) => Promise<Response>;

/**
 * Creates the limit on concurrent user requests. Heartbeats and health checks are not limited, so users
 * cannot delay them.
 */
function createConcurrencyLimiter(clock: Clock): LimitConcurrency {
  const limit = new ConcurrencyLimit({
    initialLimit: INITIAL_CONCURRENT_REQUESTS,
    minLimit: MIN_CONCURRENT_REQUESTS,
    maxLimit: MAX_CONCURRENT_REQUESTS,
    fastThresholdMs: FAST_RESPONSE_MS,
  });
  return async (context, work) => {
    if (!limit.tryAcquire()) return respondUnavailable(context, 'too many requests in progress');
    const startedAt = clock.now();
    try {
      return await work();
    } finally {
      const now = clock.now();
      limit.release(now, now - startedAt);
    }
  };
}

/** Random, so that users who were refused at the same time do not all retry at the same time. */
function randomRetryAfterSeconds(): string {
  return String(1 + Math.floor(Math.random() * MAX_RETRY_AFTER_S));
}

function respondUnavailable(context: Context, reason: string): Response {
  context.header('Retry-After', randomRetryAfterSeconds());
  return context.json({ error: reason }, 503);
}

function respondNotFound(context: Context): Response {
  return context.json({ error: 'no such job' }, 404);
}

/** Handlers of the job requests. */
class JobHandlers {
  constructor(
    private readonly controller: ControllerService,
    private readonly clock: Clock,
  ) {}

  async submit(context: Context): Promise<Response> {
    const { api } = this.controller;
    const submission = decodeSubmission(parseJson(await context.req.text()), this.clock.wallTime());
    if (submission.ok) {
      const { spec } = submission;
      return new Promise((resolve) =>
        api.submitJob(spec, (response) => resolve(this.respond(context, spec.id, response))),
      );
    }
    const { id, reason } = submission;
    if (id === null) return context.json({ error: reason }, 400);
    // A repeated submission of a known job gets the state of that job, even if the repeat is malformed.
    return new Promise((resolve) =>
      api.getJob(id, (response) =>
        resolve(
          response.type === 'notFound'
            ? context.json({ error: reason }, 400)
            : this.respond(context, id, response),
        ),
      ),
    );
  }

  async getStatus(context: Context, id: string): Promise<Response> {
    if (!isJobId(id)) return respondNotFound(context);
    return new Promise((resolve) =>
      this.controller.api.getJob(id, (response) => resolve(this.respond(context, id, response))),
    );
  }

  async cancel(context: Context, id: string): Promise<Response> {
    if (!isJobId(id)) return respondNotFound(context);
    return new Promise((resolve) =>
      this.controller.api.cancelJob(id, (response) => resolve(this.respond(context, id, response))),
    );
  }

  private respond(context: Context, id: string, response: ApiResponse): Response {
    switch (response.type) {
      case 'job':
        return context.json(encodeJobStatus(id, response), response.created ? 201 : 200);
      case 'notFound':
        return respondNotFound(context);
      case 'rejected':
        return context.json({ error: response.reason }, 422);
      case 'unavailable':
        // Closing the connection makes the user reconnect, so that the next connection can reach a controller
        // that can serve the user.
        if (this.controller.shouldRedirectUsers()) context.header('Connection', 'close');
        return respondUnavailable(context, response.reason);
    }
  }
}

/** Creates the routes for users and health checks. Unexpected errors are logged, and the response is 503. */
export function createUserApi(options: UserApiOptions): Hono {
  const { controller, clock, log } = options;
  const app = new Hono();
  const limitConcurrency = createConcurrencyLimiter(clock);
  const jobHandlers = new JobHandlers(controller, clock);

  app.post(JOBS_PATH, (context) => limitConcurrency(context, () => jobHandlers.submit(context)));
  app.get(`${JOBS_PATH}/:id`, (context) =>
    limitConcurrency(context, () => jobHandlers.getStatus(context, context.req.param('id'))),
  );
  app.post(`${JOBS_PATH}/:id/abort`, (context) =>
    limitConcurrency(context, () => jobHandlers.cancel(context, context.req.param('id'))),
  );
  app.get(READINESS_PATH, (context) =>
    controller.isReady() ? context.json({ ready: true }) : respondUnavailable(context, 'not ready'),
  );
  app.notFound((context) => context.json({ error: 'no such path' }, 404));
  app.onError((error, context) => {
    log.error({ err: error.stack ?? String(error) }, 'user request failed unexpectedly');
    return respondUnavailable(context, 'internal error');
  });
  return app;
}
