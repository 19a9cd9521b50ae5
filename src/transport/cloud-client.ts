import type { CloudProvider, RentalRequest } from '../model/cloud-provider.js';
import type { ListedMachine, MachineType } from '../model/machine-type.js';
import type { ResultCallback } from '../model/result.js';
import { readList, readRented, readTypes, writeRemoval, writeRental } from '../wire/cloud-messages.js';
import { parse } from '../wire/json.js';
import { HttpClient, type HttpReply } from './http-client.js';

type Job = { urgency: number; method: string; path: string; body: unknown; cb: (r: HttpReply) => void };

/** The cloud's interface: one queue, deletions first, then rentals, then lists, under its limit of calls. */
export class CloudClient implements CloudProvider {
  private readonly client: HttpClient;
  private readonly queue: Job[] = [];
  private tokens: number;
  private at = Date.now();
  private timer: NodeJS.Timeout | null = null;

  constructor(
    addr: string,
    private readonly rps: number,
  ) {
    this.client = new HttpClient(addr, 6);
    this.tokens = rps;
  }

  private call(
    urgency: number,
    method: string,
    path: string,
    body: unknown,
    callback: (r: HttpReply) => void,
  ): void {
    this.queue.push({ urgency, method, path, body, cb: callback });
    this.queue.sort((a, b) => a.urgency - b.urgency);
    this.pump();
  }

  private pump(): void {
    const now = Date.now();
    // A little under the limit: another controller may have led a moment ago.
    this.tokens = Math.min(this.rps, this.tokens + (Math.max(0, now - this.at) / 1000) * this.rps * 0.85);
    this.at = now;
    while (this.queue.length > 0 && this.tokens >= 1) {
      const j = this.queue.shift() as Job;
      this.tokens -= 1;
      this.client.call({ method: j.method, path: j.path, body: j.body, deadlineMs: 5000 }, (r) => {
        if (r.status === 429) this.tokens = Math.min(this.tokens, 0);
        j.cb(r);
      });
    }
    if (this.queue.length > 0 && !this.timer)
      this.timer = setTimeout(() => {
        this.timer = null;
        this.pump();
      }, 50);
  }

  listMachineTypes(callback: ResultCallback<MachineType[]>): void {
    this.call(3, 'GET', '/machine_types', undefined, (r) => {
      if (r.status !== 200) return callback({ ok: false, kind: 'refused' });
      callback({ ok: true, value: readTypes(parse(r.text)) });
    });
  }

  rentMachines(request: RentalRequest, callback: ResultCallback<string[]>): void {
    this.call(1, 'POST', '/machines', writeRental(request), (r) => {
      if (r.status === 0) return callback({ ok: false, kind: 'indeterminate' });
      if (r.status === 400) return callback({ ok: false, kind: 'invalid' });
      if (r.status === 503 && r.text.includes('no capacity'))
        return callback({ ok: false, kind: 'notFound' });
      const names = r.status === 200 ? readRented(parse(r.text)) : null;
      callback(names ? { ok: true, value: names } : { ok: false, kind: 'refused' });
    });
  }

  deleteMachines(names: string[], callback: ResultCallback<null>): void {
    this.call(0, 'POST', '/machines/delete', writeRemoval(names), (r) =>
      callback(r.status === 200 ? { ok: true, value: null } : { ok: false, kind: 'indeterminate' }),
    );
  }

  listMachines(since: string, callback: ResultCallback<{ machines: ListedMachine[]; more: boolean }>): void {
    const q = since === '' ? '' : `since=${encodeURIComponent(since)}&`;
    this.call(2, 'GET', `/machines?${q}page=500`, undefined, (r) => {
      const v = r.status === 200 ? readList(parse(r.text)) : null;
      callback(v ? { ok: true, value: v } : { ok: false, kind: 'refused' });
    });
  }
}
