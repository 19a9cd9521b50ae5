import { counterRecord, finalRecord, jobRecord } from '../wire/record-codec.js';
import { Counter } from './graph.js';
import type { Mirror } from './mirror.js';
import { type CountRecord, decodeBits, type EndRecord, type OpenRecord } from './records.js';
import { slots } from './room.js';
import {
  type JobSpec,
  type Logger,
  type MachineType,
  type StatePort,
  type Team,
  URGENCY,
  type Urgency,
} from './types.js';

export type JobState = 'queued' | 'running' | 'done' | 'cancelled';
export type ApiAnswer =
  | { s: 'job'; created: boolean; state: JobState; done: number; running: number }
  | { s: 'unknown' }
  | { s: 'never'; reason: string }
  | { s: 'later'; reason: string };
export type Answer = (a: ApiAnswer) => void;

interface Found {
  open: { rec: OpenRecord; version: number } | null;
  count: { rec: CountRecord; version: number } | null;
  end: EndRecord | null;
}

/** Answers users from what the state service holds when they ask; only final answers are kept here. */
export class Api {
  private readonly finals = new Map<string, EndRecord>();

  constructor(
    private readonly state: StatePort,
    private readonly open: Mirror,
    private readonly teams: Map<string, Team>,
    private readonly types: () => MachineType[],
    private readonly log: Logger,
    private readonly now: () => number,
    /** A user is about to be told that a job is cancelled. */
    private readonly cancelled: (id: string) => void,
  ) {}

  /** Null: some allowed type holds a task. */
  private whyNever(s: JobSpec): string | null {
    const team = this.teams.get(s.team);
    if (!team) return `unknown team ${s.team}`;
    const n = s.shape === 'array' ? 1 : s.tasks;
    if (team.cpusMax > 0 && s.cpus * n > team.cpusMax + 1e-9) return 'needs more CPUs than its team may use';
    if (team.gpusMax > 0 && s.gpus * n > team.gpusMax + 1e-9) return 'needs more GPUs than its team may use';
    const fit = this.types().some(
      (t) =>
        (s.types === null || s.types.includes(t.name)) &&
        (s.zone === null || t.zones.includes(s.zone)) &&
        slots(t, s) >= 1,
    );
    return fit ? null : 'no allowed machine type has room for a task';
  }

  submit(spec: JobSpec, cb: Answer): void {
    const known = this.types().length > 0;
    const never = known || !this.teams.has(spec.team) ? this.whyNever(spec) : null;
    if (never !== null || !known) {
      // A job once accepted is never refused, whatever its repeat holds.
      return this.find(spec.id, URGENCY.read, (f) => {
        if (f === null) return cb({ s: 'later', reason: 'state service not reached' });
        const a = this.answer(spec.id, f, false);
        if (a.s !== 'unknown') return cb(a);
        cb(
          never !== null
            ? { s: 'never', reason: never }
            : { s: 'later', reason: 'machine types not known yet' },
        );
      });
    }
    if (this.open.failing) {
      this.open.probe();
      return cb({ s: 'later', reason: 'state service not reached' });
    }
    const rec: OpenRecord = { j: spec };
    const attempt = (left: number) => {
      this.state.txn(
        {
          when: [
            { key: `open/${spec.id}/a`, version: 0 },
            { key: `end/${spec.id}`, version: 0 },
          ],
          then: [{ put: `open/${spec.id}/a`, value: jobRecord.encode(rec) }],
        },
        URGENCY.user,
        (r) => {
          if (r.ok) {
            this.log.debug({ job: spec.id, team: spec.team, tasks: spec.tasks }, 'accepted');
            return cb({ s: 'job', created: true, state: 'queued', done: 0, running: 0 });
          }
          if (r.kind === 'unknown' && left > 0) return attempt(left - 1);
          if (r.kind !== 'conflict') return cb({ s: 'later', reason: 'state service not reached' });
          this.find(spec.id, URGENCY.read, (f) => {
            if (f === null) return cb({ s: 'later', reason: 'state service not reached' });
            const a = this.answer(spec.id, f, false);
            cb(a.s === 'unknown' ? { s: 'later', reason: 'state changed meanwhile' } : a);
          });
        },
      );
    };
    attempt(1);
  }

  /** For a submission that is malformed but names a job. */
  poll(id: string, cb: Answer): void {
    this.find(id, URGENCY.read, (f) =>
      cb(f === null ? { s: 'later', reason: 'state service not reached' } : this.answer(id, f, false)),
    );
  }

  abort(id: string, cb: Answer): void {
    const attempt = (left: number) => {
      this.find(id, URGENCY.user, (f) => {
        if (f === null) return cb({ s: 'later', reason: 'state service not reached' });
        const a = this.answer(id, f, false);
        if (a.s !== 'job' || a.state === 'done' || a.state === 'cancelled' || !f.open) return cb(a);
        const rec: OpenRecord = { j: f.open.rec.j, o: f.open.rec.o ?? f.open.version, x: true };
        this.state.txn(
          {
            when: [
              { key: `open/${id}/a`, version: f.open.version },
              { key: `open/${id}/n`, version: f.count?.version ?? 0 },
            ],
            then: [{ put: `open/${id}/a`, value: jobRecord.encode(rec) }],
          },
          URGENCY.lease,
          (r) => {
            if (r.ok) {
              this.log.debug({ job: id }, 'cancelled by its user');
              this.keep(id, { d: false, n: a.done });
              return cb({ s: 'job', created: false, state: 'cancelled', done: a.done, running: 0 });
            }
            if ((r.kind === 'conflict' || r.kind === 'unknown') && left > 0) return attempt(left - 1);
            cb({ s: 'later', reason: 'state service not reached' });
          },
        );
      });
    };
    attempt(6);
  }

  private find(id: string, u: Urgency, cb: (f: Found | null) => void): void {
    const final = this.finals.get(id);
    if (final) return cb({ open: null, count: null, end: final });
    // One read of what has changed answers all questions that came before it was sent.
    this.open.fresh((ok) => {
      if (!ok) return cb(null);
      const a = this.open.items.get(`open/${id}/a`);
      const n = this.open.items.get(`open/${id}/n`);
      const f: Found = { open: null, count: null, end: null };
      // Final here meanwhile: an abort may have been answered while the read was on its way.
      const over = this.finals.get(id);
      if (over) return cb({ ...f, end: over });
      if (a) f.open = { rec: jobRecord.decode(a.value), version: a.version };
      if (n) f.count = { rec: counterRecord.decode(n.value), version: n.version };
      if (f.open) return cb(f);
      // Moved to its final record in one transaction: not open (any more), then it is there or was never.
      this.state.get(`end/${id}`, u, (e) => {
        if (!e.ok) return cb(null);
        if (e.value) {
          f.end = finalRecord.decode(e.value.value);
          this.keep(id, f.end);
        }
        cb(f);
      });
    });
  }

  private keep(id: string, e: EndRecord): void {
    this.finals.set(id, e);
    if (!e.d) this.cancelled(id);
    if (this.finals.size > 20000)
      for (const k of [...this.finals.keys()].slice(0, 5000)) this.finals.delete(k);
  }

  private answer(id: string, f: Found, created: boolean): ApiAnswer {
    if (f.end) {
      return { s: 'job', created, state: f.end.d ? 'done' : 'cancelled', done: f.end.n, running: 0 };
    }
    if (!f.open) return { s: 'unknown' };
    const spec = f.open.rec.j;
    const n = f.count?.rec.n ?? 0;
    if (f.open.rec.x === true) {
      this.keep(id, { d: false, n });
      return { s: 'job', created, state: 'cancelled', done: n, running: 0 };
    }
    if (f.count && n >= spec.tasks && spec.shape !== 'service') {
      const c = new Counter(spec.tasks);
      decodeBits(c, f.count.rec.b);
      if (c.full) {
        this.keep(id, { d: true, n });
        return { s: 'job', created, state: 'done', done: n, running: 0 };
      }
    }
    const running = f.count?.rec.r ?? 0;
    return { s: 'job', created, state: n + running > 0 ? 'running' : 'queued', done: n, running };
  }

  nowMs(): number {
    return this.now();
  }
}
