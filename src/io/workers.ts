import type { Then, WorkerCommand, WorkerPort, WorkerReport } from '../core/types.js';
import { parse } from '../wire/json.js';
import { readReport, writeDirect } from '../wire/worker.js';
import { Client } from './client.js';

const DEADLINE_MS = 2000;
/** A connection not used for so long is closed: sockets are needed for reports and users. */
const IDLE_MS = 30000;

interface Line {
  client: Client;
  calls: number;
  used: number;
}

interface Waiting {
  addr: string;
  until: number;
  go: (line: Line) => void;
  late: () => void;
}

/**
 * Direct commands to workers over a bounded number of connections, one to a worker. A scheduler of two thousand machines
 * that kept a connection to each had no sockets left for their reports. Beyond the bound the one longest unused is
 * closed; when all are in use, calls that carry commands go before questions alone.
 */
export class WorkerClients implements WorkerPort {
  /** In order of last use. */
  private readonly lines = new Map<string, Line>();
  private readonly waiting: [Waiting[], Waiting[]] = [[], []];
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly most: number) {}

  get connections(): number {
    return this.lines.size;
  }

  commands(addr: string, token: number, season: number, cmds: WorkerCommand[], cb: Then<WorkerReport>): void {
    const until = Date.now() + DEADLINE_MS;
    const go = (line: Line) => {
      line.calls++;
      const left = Math.max(1, until - Date.now());
      line.client.call('POST', '/commands', writeDirect(token, season, cmds), left, (r) => {
        line.calls--;
        this.next();
        if (r.status === 0) return cb({ ok: false, kind: r.sent ? 'unknown' : 'refused' });
        const report = readReport(parse(r.text));
        if (r.status === 200)
          return cb(report ? { ok: true, value: report } : { ok: false, kind: 'unknown' });
        if (r.status === 409)
          return cb(report ? { ok: false, kind: 'conflict', report } : { ok: false, kind: 'refused' });
        cb({ ok: false, kind: r.status === 400 ? 'bad' : 'unknown' });
      });
    };
    const line = this.line(addr);
    if (line) return go(line);
    this.waiting[cmds.length > 0 ? 0 : 1].push({
      addr,
      until,
      go,
      late: () => cb({ ok: false, kind: 'refused' }),
    });
    this.tick();
  }

  /** The connection to a worker, or null if there is none and no room for one more. */
  private line(addr: string): Line | null {
    const now = Date.now();
    let line = this.lines.get(addr);
    if (!line) {
      if (this.lines.size >= this.most && !this.closeOldest(now)) return null;
      line = { client: new Client(addr, 1), calls: 0, used: now };
    }
    line.used = now;
    this.lines.delete(addr);
    this.lines.set(addr, line);
    this.tick();
    return line;
  }

  private closeOldest(now: number, idleMs = 0): boolean {
    for (const [addr, line] of this.lines) {
      if (line.calls > 0) continue;
      if (now - line.used < idleMs) return false;
      line.client.close();
      this.lines.delete(addr);
      return true;
    }
    return false;
  }

  private next(): void {
    const now = Date.now();
    for (const queue of this.waiting)
      while (queue.length > 0) {
        const w = queue[0]!;
        const line = w.until > now ? this.line(w.addr) : null;
        if (!line && w.until > now) return;
        queue.shift();
        if (line) w.go(line);
        else w.late();
      }
  }

  private tick(): void {
    if (this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = null;
      const now = Date.now();
      this.next();
      while (this.closeOldest(now, IDLE_MS));
      if (this.lines.size > 0 || this.waiting.some((q) => q.length > 0)) this.tick();
    }, 500);
    this.timer.unref();
  }
}
