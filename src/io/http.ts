import type http from 'node:http';
import { type HttpBindings, serve } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { type Context, Hono } from 'hono';
import type { Controller } from '../core/controller.js';
import type { DoorAnswer } from '../core/door.js';
import { ProgressLimit } from '../core/limits.js';
import type { Clock, Logger } from '../core/types.js';
import { isJobId, readJob, writeState } from '../wire/jobs.js';
import { isObj, parse, str } from '../wire/json.js';
import { readReport, writeAnswer } from '../wire/worker.js';
import type { Sockets } from './sockets.js';

const MOST_BODY = 64 * 1024;

function later(c: Context, reason: string, elsewhere = false): Response {
  c.header('Retry-After', '1');
  // Their next connection is led to a controller that can serve them.
  if (elsewhere) c.header('Connection', 'close');
  return c.json({ error: reason }, 503);
}

function answer(c: Context, ctl: Controller, id: string, a: DoorAnswer): Response {
  switch (a.s) {
    case 'job':
      return c.json(writeState(id, a), a.created ? 201 : 200);
    case 'unknown':
      return c.json({ error: 'no such job' }, 404);
    case 'never':
      return c.json({ error: a.reason }, 422);
    case 'later':
      return later(c, a.reason, !ctl.ready());
  }
}

/** The body as text, or null if it is over the limit. */
async function read(c: Context): Promise<string | null> {
  if (Number(c.req.header('content-length') ?? 0) > MOST_BODY) return null;
  const text = await c.req.text();
  return text.length > MOST_BODY || Buffer.byteLength(text) > MOST_BODY ? null : text;
}

/** A report's body. Node's own stream is read where there is one: web streams cost as much as all the rest of a report. */
function readRaw(c: Context<{ Bindings: Partial<HttpBindings> }>): Promise<string | null> {
  const incoming = c.env?.incoming;
  if (!incoming) return read(c);
  return new Promise((done) => {
    const parts: Buffer[] = [];
    let size = 0;
    incoming.on('data', (b: Buffer) => {
      size += b.length;
      if (size <= MOST_BODY) parts.push(b);
    });
    incoming.on('end', () => done(size > MOST_BODY ? null : Buffer.concat(parts).toString('utf8')));
    incoming.on('close', () => done(null));
  });
}

/** An answer written straight to Node's response where there is one. */
function plain(
  c: Context<{ Bindings: Partial<HttpBindings> }>,
  status: 200 | 421,
  body: object,
  sockets: Sockets | undefined,
): Response {
  const out = c.env?.outgoing;
  if (!out || !('writeHead' in out)) return c.json(body, status);
  const data = Buffer.from(JSON.stringify(body));
  const headers: http.OutgoingHttpHeaders = {
    'Content-Type': 'application/json',
    'Content-Length': data.length,
  };
  if (sockets?.crowded(c.req.path)) headers.Connection = 'close';
  (out as http.ServerResponse).writeHead(status, headers).end(data);
  return RESPONSE_ALREADY_SENT;
}

export function makeApp(
  ctl: Controller,
  clock: Clock,
  log: Logger,
  sockets?: Sockets,
): Hono<{ Bindings: Partial<HttpBindings> }> {
  const app = new Hono<{ Bindings: Partial<HttpBindings> }>();
  if (sockets)
    app.use(async (c, next) => {
      await next();
      if (sockets.crowded(c.req.path)) c.header('Connection', 'close');
    });
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
      const text = await read(c);
      if (text === null) return c.json({ error: 'body over 64 KiB' }, 400);
      const job = readJob(parse(text), clock.wall());
      if (job.ok)
        return new Promise((done) => ctl.door.submit(job.spec, (a) => done(answer(c, ctl, job.spec.id, a))));
      const id = job.id;
      if (id === null) return c.json({ error: job.reason }, 400);
      // The repeat of an accepted job is answered as one, whatever it holds.
      return new Promise((done) =>
        ctl.door.poll(id, (a) =>
          done(a.s === 'unknown' ? c.json({ error: job.reason }, 400) : answer(c, ctl, id, a)),
        ),
      );
    }),
  );
  app.get('/v2/runs/:id', (c) =>
    limited(c, () => {
      const id = c.req.param('id');
      if (!isJobId(id)) return Promise.resolve(c.json({ error: 'no such job' }, 404));
      return new Promise((done) => ctl.door.poll(id, (a) => done(answer(c, ctl, id, a))));
    }),
  );
  app.post('/v2/runs/:id/abort', (c) =>
    limited(c, () => {
      const id = c.req.param('id');
      if (!isJobId(id)) return Promise.resolve(c.json({ error: 'no such job' }, 404));
      return new Promise((done) => ctl.door.abort(id, (a) => done(answer(c, ctl, id, a))));
    }),
  );
  app.get('/ready', (c) => (ctl.ready() ? c.json({ ready: true }) : later(c, 'not ready')));
  app.post('/hello', async (c) => {
    const text = await readRaw(c);
    const body = text === null ? null : parse(text);
    const report = readReport(body);
    if (!report) {
      log.info({ machine: isObj(body) ? str(body.trunk) : null }, 'malformed report dropped');
      return c.json({ error: 'malformed report' }, 400);
    }
    const a = ctl.report(report);
    if (a.s === 'later') return later(c, 'state service not reached');
    if (a.s === 'ok') return plain(c, 200, writeAnswer(a.token, a.cmds), sockets);
    return plain(c, 421, a.keeper === null ? {} : { keeper: a.keeper }, sockets);
  });
  app.notFound((c) => c.json({ error: 'no such path' }, 404));
  app.onError((e, c) => {
    log.error({ err: e.stack ?? String(e) }, 'request failed');
    return later(c, 'internal error');
  });
  return app;
}

export function listen(app: ReturnType<typeof makeApp>, bind: string, sockets: Sockets, log: Logger): void {
  const cut = bind.lastIndexOf(':');
  const server = serve({
    fetch: app.fetch,
    hostname: bind.slice(0, cut),
    port: Number(bind.slice(cut + 1)),
  }) as http.Server;
  // Connections stay open until a side closes them; only those idle for long are given up.
  server.keepAliveTimeout = 120000;
  server.headersTimeout = 20000;
  server.requestTimeout = 20000;
  sockets.attach(server);
  server.on('error', (e) => {
    log.error({ err: String(e) }, 'cannot listen');
    process.exit(1);
  });
}
