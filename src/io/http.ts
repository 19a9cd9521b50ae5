import { type Context, Hono } from 'hono';
import type { ApiAnswer } from '../core/api.js';
import type { Controller } from '../core/controller.js';
import { ProgressLimit } from '../core/limits.js';
import type { Clock, Logger } from '../core/types.js';
import { isJobId, readJob, writeState } from '../wire/jobs.js';
import { isObj, parse, str } from '../wire/json.js';
import { readReport, writeAnswer, writeRedirect } from '../wire/worker.js';
import { type HttpResponse, HttpServer, type RequestHandler } from './http-server.js';
import type { InboundConnections } from './inbound-connections.js';

/** Workers of a whole fleet come at once when a scheduler is new. */
const BACKLOG = 8192;

/** Spread, or all that were refused together would come back together. */
function comeBack(): string {
  return String(1 + Math.floor(Math.random() * 3));
}

function later(c: Context, reason: string, elsewhere = false): Response {
  c.header('Retry-After', comeBack());
  // Their next connection is led to a controller that can serve them.
  if (elsewhere) c.header('Connection', 'close');
  return c.json({ error: reason }, 503);
}

function answer(c: Context, ctl: Controller, id: string, a: ApiAnswer): Response {
  switch (a.s) {
    case 'job':
      return c.json(writeState(id, a), a.created ? 201 : 200);
    case 'unknown':
      return c.json({ error: 'no such job' }, 404);
    case 'never':
      return c.json({ error: a.reason }, 422);
    case 'later':
      return later(c, a.reason, ctl.elsewhere());
  }
}

/** A worker's report and its answer. */
export function report(ctl: Controller, log: Logger, text: string): HttpResponse {
  const body = parse(text);
  const r = readReport(body);
  if (!r) {
    log.info({ machine: isObj(body) ? str(body.trunk) : null }, 'malformed report dropped');
    return { status: 400, body: '{"error":"malformed report"}' };
  }
  const a = ctl.report(r);
  if (a.s === 'ok') return { status: 200, body: JSON.stringify(writeAnswer(a.token, a.cmds)) };
  if (a.s === 'other') return { status: 421, body: JSON.stringify(writeRedirect(a.leader)) };
  return { status: 503, body: '{"error":"state service not reached"}', headers: { 'Retry-After': '1' } };
}

/** What users and health checks ask. */
export function makeApp(ctl: Controller, clock: Clock, log: Logger): Hono {
  const app = new Hono();
  // Users alone: reports and health checks are never held up by them.
  const limit = new ProgressLimit(64, 8, 400, 400);

  const limited = async (c: Context, work: () => Promise<Response>): Promise<Response> => {
    if (!limit.enter()) return later(c, 'too many requests in progress');
    const t = clock.now();
    try {
      return await work();
    } finally {
      const now = clock.now();
      limit.leave(now, now - t);
    }
  };

  app.post('/v2/runs', (c) =>
    limited(c, async () => {
      const job = readJob(parse(await c.req.text()), clock.wall());
      if (job.ok)
        return new Promise((done) => ctl.api.submit(job.spec, (a) => done(answer(c, ctl, job.spec.id, a))));
      const id = job.id;
      if (id === null) return c.json({ error: job.reason }, 400);
      // The repeat of an accepted job is answered as one, whatever it holds.
      return new Promise((done) =>
        ctl.api.poll(id, (a) =>
          done(a.s === 'unknown' ? c.json({ error: job.reason }, 400) : answer(c, ctl, id, a)),
        ),
      );
    }),
  );
  app.get('/v2/runs/:id', (c) =>
    limited(c, () => {
      const id = c.req.param('id');
      if (!isJobId(id)) return Promise.resolve(c.json({ error: 'no such job' }, 404));
      return new Promise((done) => ctl.api.poll(id, (a) => done(answer(c, ctl, id, a))));
    }),
  );
  app.post('/v2/runs/:id/abort', (c) =>
    limited(c, () => {
      const id = c.req.param('id');
      if (!isJobId(id)) return Promise.resolve(c.json({ error: 'no such job' }, 404));
      return new Promise((done) => ctl.api.abort(id, (a) => done(answer(c, ctl, id, a))));
    }),
  );
  app.get('/ready', (c) => (ctl.ready() ? c.json({ ready: true }) : later(c, 'not ready')));
  app.notFound((c) => c.json({ error: 'no such path' }, 404));
  app.onError((e, c) => {
    log.error({ err: e.stack ?? String(e) }, 'request failed');
    return later(c, 'internal error');
  });
  return app;
}

/** Reports go past hono: there are hundreds a second, and web requests and responses cost more than all else of one. */
export function serve(app: Hono, ctl: Controller, log: Logger): RequestHandler {
  return (m, answer) => {
    if (m.method === 'POST' && m.path === '/hello') return answer(report(ctl, log, m.body ?? ''));
    const headers = new Headers();
    for (let i = 0; i + 1 < m.rawHeaders.length; i += 2) {
      const name = (m.rawHeaders[i] as string).toLowerCase();
      if (name === 'content-type' || name === 'accept') headers.append(name, m.rawHeaders[i + 1] as string);
    }
    const bare = m.method === 'GET' || m.method === 'HEAD';
    const failed = (e: unknown) => {
      log.info({ err: String(e), method: m.method }, 'request dropped');
      answer({ status: 400, body: '{"error":"malformed request"}' });
    };
    let req: Request;
    try {
      req = new Request(new URL(m.path, 'http://localhost'), {
        method: m.method,
        headers,
        ...(bare ? {} : { body: m.body ?? '' }),
      });
    } catch (e) {
      return failed(e);
    }
    Promise.resolve(app.fetch(req))
      .then(async (r) => {
        const out: Record<string, string> = {};
        const again = r.headers.get('retry-after');
        if (again !== null) out['Retry-After'] = again;
        if (r.headers.get('connection') === 'close') out.Connection = 'close';
        answer({ status: r.status, body: m.method === 'HEAD' ? '' : await r.text(), headers: out });
      })
      .catch(failed);
  };
}

export function listen(
  s: RequestHandler,
  bind: string,
  sockets: InboundConnections,
  clock: Clock,
  log: Logger,
): HttpServer {
  const cut = bind.lastIndexOf(':');
  const http = new HttpServer({ handle: s, connections: sockets, now: () => clock.now() });
  http.server.on('error', (e) => {
    log.error({ err: String(e) }, 'cannot listen');
    process.exit(1);
  });
  http.server.listen({ port: Number(bind.slice(cut + 1)), host: bind.slice(0, cut), backlog: BACKLOG });
  return http;
}
