import type { Then, WorkerCommand, WorkerPort, WorkerReport } from '../core/types.js';
import { parse } from '../wire/json.js';
import { readReport, writeDirect } from '../wire/worker.js';
import { Client } from './client.js';

/** Direct commands to workers, a connection each. */
export class WorkerClients implements WorkerPort {
  private readonly clients = new Map<string, { c: Client; used: number }>();

  commands(addr: string, token: number, season: number, cmds: WorkerCommand[], cb: Then<WorkerReport>): void {
    const now = Date.now();
    let e = this.clients.get(addr);
    if (!e) {
      e = { c: new Client(addr, 1), used: now };
      this.clients.set(addr, e);
      this.sweep(now);
    }
    e.used = now;
    e.c.call('POST', '/commands', writeDirect(token, season, cmds), 2000, (r) => {
      if (r.status === 0) return cb({ ok: false, kind: r.sent ? 'unknown' : 'refused' });
      const report = readReport(parse(r.text));
      if (r.status === 200) return cb(report ? { ok: true, value: report } : { ok: false, kind: 'unknown' });
      if (r.status === 409)
        return cb(report ? { ok: false, kind: 'conflict', report } : { ok: false, kind: 'refused' });
      cb({ ok: false, kind: r.status === 400 ? 'bad' : 'unknown' });
    });
  }

  private sweep(now: number): void {
    for (const [addr, e] of this.clients) {
      if (now - e.used < 120000) continue;
      e.c.close();
      this.clients.delete(addr);
    }
  }
}
