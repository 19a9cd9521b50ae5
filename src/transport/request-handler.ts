/** Routes the HTTP requests to a controller: worker heartbeats, user requests and health checks. */

import type { Hono } from 'hono';
import type { ControllerService } from '../model/controller-service.js';
import type { Logger } from '../model/logger.js';
import { asNonEmptyString, isJsonObject, parseJson } from '../wire/json.js';
import { decodeHeartbeat, encodeHeartbeatResponse, encodeRedirect } from '../wire/worker-messages.js';
import type { HttpMessage } from './http-parser.js';
import { HEARTBEAT_PATH } from './http-paths.js';
import type { HttpResponse, RequestHandler } from './http-server.js';

/**
 * Request headers that are passed on to the user API; all others are dropped. The routes of the user API read
 * no headers at all.
 */
const FORWARDED_HEADERS = ['content-type', 'accept'];

/** Dependencies of {@link createRequestHandler}. */
export interface RequestHandlerOptions {
  /** Serves user requests and health checks. */
  userApi: Hono;
  controller: ControllerService;
  log: Logger;
}

/**
 * Creates a handler that serves heartbeats directly and passes every other request, including health checks,
 * to the user API. Hundreds of heartbeats arrive per second, and creating web `Request` and `Response`
 * objects would cost more than the rest of their handling.
 */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
  const { userApi, controller, log } = options;
  return (request, respond) => {
    if (request.method === 'POST' && request.path === HEARTBEAT_PATH)
      return respond(respondToHeartbeat(controller, log, request.body ?? ''));
    // Responds that the request is malformed; also called if the user API fails to respond or its response
    // cannot be read.
    const rejectMalformed = (error: unknown) => {
      log.info({ err: String(error), method: request.method }, 'request rejected as malformed');
      respond({ status: 400, body: '{"error":"malformed request"}' });
    };
    const headers = selectForwardedHeaders(request.rawHeaders);
    let webRequest: Request;
    try {
      webRequest = toWebRequest(request, headers);
    } catch (error) {
      return rejectMalformed(error);
    }
    Promise.resolve(userApi.fetch(webRequest))
      .then(async (response) => respond(await fromWebResponse(request.method, response)))
      .catch(rejectMalformed);
  };
}

/**
 * Decodes a heartbeat, passes it to the controller and builds the response:
 * - 200 with commands for the worker, whose lease is renewed;
 * - 421 with a redirect to the leader, or to any other controller if the leader is unknown;
 * - 503 if the controller cannot renew the lease at this time;
 * - 400 if the heartbeat is malformed.
 */
export function respondToHeartbeat(controller: ControllerService, log: Logger, text: string): HttpResponse {
  const body = parseJson(text);
  const heartbeat = decodeHeartbeat(body);
  if (!heartbeat) {
    log.info(
      { machine: isJsonObject(body) ? asNonEmptyString(body.trunk) : null },
      'malformed heartbeat dropped',
    );
    return { status: 400, body: '{"error":"malformed report"}' };
  }
  const result = controller.handleHeartbeat(heartbeat);
  switch (result.type) {
    case 'accepted':
      return {
        status: 200,
        body: JSON.stringify(encodeHeartbeatResponse(result.fencingToken, result.commands)),
      };
    case 'redirected':
      return { status: 421, body: JSON.stringify(encodeRedirect(result.leaderName)) };
    case 'unavailable':
      return {
        status: 503,
        body: '{"error":"state service not reached"}',
        headers: { 'Retry-After': '1' },
      };
  }
}

function selectForwardedHeaders(rawHeaders: string[]): Headers {
  const headers = new Headers();
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = (rawHeaders[i] as string).toLowerCase();
    if (FORWARDED_HEADERS.includes(name)) headers.append(name, rawHeaders[i + 1] as string);
  }
  return headers;
}

/** Converts a request to a web `Request`. Throws if the method or the path is not valid for one. */
function toWebRequest({ method, path, body }: HttpMessage, headers: Headers): Request {
  // The URL constructor needs a host; routing ignores it.
  const url = new URL(path, 'http://localhost');
  const hasBody = method !== 'GET' && method !== 'HEAD';
  return new Request(url, { method, headers, ...(hasBody ? { body: body ?? '' } : {}) });
}

/**
 * Converts a web `Response`. Of its headers only `Retry-After` and `Connection: close` are kept. The response
 * to a `HEAD` request gets an empty body.
 */
async function fromWebResponse(method: string, response: Response): Promise<HttpResponse> {
  const headers: Record<string, string> = {};
  const retryAfter = response.headers.get('retry-after');
  if (retryAfter !== null) headers['Retry-After'] = retryAfter;
  if (response.headers.get('connection') === 'close') headers.Connection = 'close';
  return { status: response.status, body: method === 'HEAD' ? '' : await response.text(), headers };
}
