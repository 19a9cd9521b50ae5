/** All that a controller serves over HTTP: heartbeats of workers, and the API of users and health checks. */

import type { Hono } from 'hono';
import type { ControllerService } from '../model/controller-service.js';
import type { Logger } from '../model/logger.js';
import { asNonEmptyString, isJsonObject, parseJson } from '../wire/json.js';
import { decodeHeartbeat, encodeHeartbeatAnswer, encodeRedirect } from '../wire/worker-messages.js';
import type { HttpMessage } from './http-parser.js';
import { HEARTBEAT_PATH } from './http-paths.js';
import type { HttpResponse, RequestHandler } from './http-server.js';

/** The only headers of a request that the users' API reads. */
const FORWARDED_HEADERS = ['content-type', 'accept'];

/** Parts of {@link createRequestHandler}. */
export interface RequestHandlerOptions {
  userApi: Hono;
  controller: ControllerService;
  log: Logger;
}

/**
 * Serves heartbeats directly and everything else through the users' API: there are hundreds of heartbeats a second, and
 * web requests and responses cost more than the rest of one.
 */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
  const { userApi, controller, log } = options;
  return (message, respond) => {
    if (message.method === 'POST' && message.path === HEARTBEAT_PATH)
      return respond(respondToHeartbeat(controller, log, message.body ?? ''));
    const rejectMalformed = (error: unknown) => {
      log.info({ err: String(error), method: message.method }, 'request dropped');
      respond({ status: 400, body: '{"error":"malformed request"}' });
    };
    const headers = selectForwardedHeaders(message.rawHeaders);
    let request: Request;
    try {
      request = toWebRequest(message, headers);
    } catch (error) {
      return rejectMalformed(error);
    }
    Promise.resolve(userApi.fetch(request))
      .then(async (response) => respond(await fromWebResponse(message.method, response)))
      .catch(rejectMalformed);
  };
}

/** The response to the heartbeat in a request's body: the commands for its worker, or where the leader is. */
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
        body: JSON.stringify(encodeHeartbeatAnswer(result.fencingToken, result.commands)),
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

/** Throws if the method or the path is none that web requests allow. */
function toWebRequest({ method, path, body }: HttpMessage, headers: Headers): Request {
  // A URL needs a host; which one is of no account.
  const url = new URL(path, 'http://localhost');
  const hasBody = method !== 'GET' && method !== 'HEAD';
  return new Request(url, { method, headers, ...(hasBody ? { body: body ?? '' } : {}) });
}

async function fromWebResponse(method: string, response: Response): Promise<HttpResponse> {
  const headers: Record<string, string> = {};
  const retryAfter = response.headers.get('retry-after');
  if (retryAfter !== null) headers['Retry-After'] = retryAfter;
  if (response.headers.get('connection') === 'close') headers.Connection = 'close';
  return { status: response.status, body: method === 'HEAD' ? '' : await response.text(), headers };
}
