import net from 'node:net';
import { type Reader, reader } from './parser.js';

export interface Reply {
  /** 0: no answer. */
  status: number;
  text: string;
  sent: boolean;
}

interface Call {
  data: string;
  cb: (r: Reply) => void;
  timer: NodeJS.Timeout;
  over: boolean;
}

interface Line {
  sock: net.Socket;
  reader: Reader;
  call: Call | null;
  up: boolean;
}

const MOST_BODY = 64 << 20;

/** HTTP/1.1 over kept connections, each call with a deadline. `sent`: it may have been, or may yet be executed. */
export class Client {
  private readonly host: string;
  private readonly port: number;
  private readonly lines = new Set<Line>();
  private readonly idle: Line[] = [];
  private readonly waiting: Call[] = [];

  constructor(
    private readonly addr: string,
    private readonly maxSockets: number,
  ) {
    const cut = addr.lastIndexOf(':');
    this.host = addr.slice(0, cut);
    this.port = Number(addr.slice(cut + 1));
  }

  call(method: string, path: string, body: unknown, deadlineMs: number, cb: (r: Reply) => void): void {
    const text = body === undefined ? '' : JSON.stringify(body);
    let data = `${method} ${path} HTTP/1.1\r\nHost: ${this.addr}\r\n`;
    if (body !== undefined)
      data += `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(text)}\r\n`;
    const call: Call = {
      data: `${data}\r\n${text}`,
      cb,
      over: false,
      timer: setTimeout(() => this.late(call), deadlineMs),
    };
    this.waiting.push(call);
    this.next();
  }

  private finish(call: Call, r: Reply): void {
    if (call.over) return;
    call.over = true;
    clearTimeout(call.timer);
    call.cb(r);
  }

  /** Out of time. A request that is on its connection may yet be executed; the connection is of no more use. */
  private late(call: Call): void {
    for (const line of this.lines)
      if (line.call === call) {
        const sent = line.up;
        line.call = null;
        this.drop(line);
        this.finish(call, { status: 0, text: '', sent });
        return this.next();
      }
    const at = this.waiting.indexOf(call);
    if (at >= 0) this.waiting.splice(at, 1);
    this.finish(call, { status: 0, text: '', sent: false });
  }

  private next(): void {
    while (this.waiting.length > 0) {
      // Last used first: the others can go idle.
      const line = this.idle.pop() ?? (this.lines.size < this.maxSockets ? this.open() : null);
      if (!line) return;
      const call = this.waiting.shift() as Call;
      line.call = call;
      if (line.up) line.sock.write(call.data);
    }
  }

  private open(): Line {
    const sock = net.connect({ host: this.host, port: this.port, noDelay: true });
    const line: Line = {
      sock,
      call: null,
      up: false,
      reader: reader('RESPONSE', MOST_BODY, (m) => {
        const call = line.call;
        if (m.status < 200 || !call) return;
        line.call = null;
        if (m.keepAlive && !sock.destroyed) this.idle.push(line);
        else this.drop(line);
        this.finish(call, { status: m.status, text: m.body ?? '', sent: true });
        this.next();
      }),
    };
    this.lines.add(line);
    sock.on('connect', () => {
      line.up = true;
      if (line.call) sock.write(line.call.data);
    });
    sock.on('data', (data: Buffer) => {
      if (!line.reader.push(data)) sock.destroy();
    });
    sock.on('end', () => line.reader.end());
    sock.on('error', () => sock.destroy());
    sock.on('close', () => this.closed(line));
    return line;
  }

  private closed(line: Line): void {
    const call = line.call;
    line.call = null;
    this.drop(line);
    if (call) this.finish(call, { status: 0, text: '', sent: line.up });
    this.next();
  }

  private drop(line: Line): void {
    this.lines.delete(line);
    const at = this.idle.indexOf(line);
    if (at >= 0) this.idle.splice(at, 1);
    if (!line.sock.destroyed) line.sock.destroy();
  }

  close(): void {
    for (const line of [...this.lines]) if (!line.call) this.drop(line);
  }
}
