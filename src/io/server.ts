import net from 'node:net';
import { type HttpMessage, headerOf, type Reader, reader } from './parser.js';
import type { Sockets } from './sockets.js';

export interface Answer {
  status: number;
  body: string;
  headers?: Record<string, string>;
}
export type Serve = (m: HttpMessage, answer: (a: Answer) => void) => void;

const MOST_BODY = 64 * 1024;
/** A request must have come whole within this time, and an idle connection is kept so long. */
const REQUEST_MS = 20000;
const IDLE_MS = 120000;
const SWEEP_MS = 5000;

const REASONS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  421: 'Misdirected Request',
  422: 'Unprocessable Entity',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

interface Conn {
  sock: net.Socket;
  reader: Reader;
  /** Requests that came and are not answered: one at a time is served. */
  waiting: HttpMessage[];
  busy: boolean;
  partial: boolean;
  at: number;
}

/**
 * HTTP/1.1 on Node's `net`. A scheduler of a thousand machines answers some three hundred reports a second on a third of a
 * core; Node's own server took several times what reading and answering them takes.
 */
export class HttpServer {
  private readonly conns = new Set<Conn>();
  readonly server: net.Server;

  constructor(
    private readonly serve: Serve,
    private readonly sockets: Sockets,
    private readonly now: () => number,
  ) {
    this.server = net.createServer({ noDelay: true }, (s) => this.accept(s));
    sockets.attach(this.server);
    setInterval(() => this.sweep(), SWEEP_MS).unref();
  }

  private accept(sock: net.Socket): void {
    const c: Conn = {
      sock,
      reader: reader(
        'REQUEST',
        MOST_BODY,
        (m) => this.got(c, m),
        (headers) => {
          if (headerOf(headers, 'expect')?.toLowerCase() === '100-continue')
            sock.write('HTTP/1.1 100 Continue\r\n\r\n');
        },
      ),
      waiting: [],
      busy: false,
      partial: false,
      at: this.now(),
    };
    this.conns.add(c);
    sock.on('data', (data: Buffer) => {
      if (!c.partial) c.at = this.now();
      c.partial = true;
      if (!c.reader.push(data)) this.write(c, { status: 400, body: '{"error":"not HTTP"}' }, false);
    });
    sock.on('error', () => sock.destroy());
    sock.on('close', () => this.conns.delete(c));
  }

  private got(c: Conn, m: HttpMessage): void {
    c.partial = false;
    c.at = this.now();
    c.waiting.push(m);
    if (c.waiting.length > 16) c.sock.destroy();
    else this.next(c);
  }

  private next(c: Conn): void {
    const m = c.busy ? undefined : c.waiting.shift();
    if (!m || c.sock.destroyed) return;
    c.busy = true;
    this.sockets.asked(c.sock, m.path);
    let over = false;
    const answer = (a: Answer) => {
      if (over) return;
      over = true;
      c.busy = false;
      c.at = this.now();
      this.sockets.answered(c.sock);
      if (c.sock.destroyed) return;
      this.write(c, a, m.keepAlive && a.headers?.Connection !== 'close' && !this.sockets.crowded(m.path));
      this.next(c);
    };
    if (m.body === null) return answer({ status: 400, body: '{"error":"body over 64 KiB"}' });
    try {
      this.serve(m, answer);
    } catch {
      answer({ status: 500, body: '{"error":"internal error"}' });
    }
  }

  private write(c: Conn, a: Answer, keep: boolean): void {
    let head = `HTTP/1.1 ${a.status} ${REASONS[a.status] ?? 'Status'}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(a.body)}\r\n`;
    for (const [k, v] of Object.entries(a.headers ?? {})) if (k !== 'Connection') head += `${k}: ${v}\r\n`;
    if (keep) c.sock.write(`${head}\r\n${a.body}`);
    else c.sock.end(`${head}Connection: close\r\n\r\n${a.body}`);
  }

  private sweep(): void {
    const now = this.now();
    for (const c of this.conns) {
      if (c.busy) continue;
      if (now - c.at > (c.partial ? REQUEST_MS : IDLE_MS)) c.sock.destroy();
    }
  }
}
