import { Owner, type OwnerOptions } from '../../src/core/owner/owner.js';
import type {
  Fields,
  Grant,
  JobSpec,
  Logger,
  OwnerMsg,
  Result,
  StatePort,
  Team,
  Txn,
} from '../../src/core/types.js';
import { Sim } from './sim.js';
import { StateStandin } from './state.js';

const LIMITS = { ops: 16, valueKb: 4 };
const HOST = 'o';
const DEADLINE_MS = 1500;

/** Options of an owner that talks to nobody; each can be replaced. */
export function ownerOptions(over: Partial<OwnerOptions>): OwnerOptions {
  return {
    host: HOST,
    inst: HOST,
    teams: new Map(),
    valueKb: LIMITS.valueKb,
    txnOps: LIMITS.ops,
    writeRps: 100,
    batch: 64,
    noticeGraceS: 1,
    objectives: [],
    state: {} as StatePort,
    clock: { now: () => 1000, wall: () => 1000, after: () => () => {}, soon: () => {}, random: () => 0 },
    log: { debug: () => {}, info: () => {}, error: () => {} },
    openItems: () => [],
    openReadAsOf: () => 0,
    readOpen: () => {},
    send: () => {},
    wake: () => {},
    ...over,
  };
}

/** What becomes of a transaction whose answer is lost. */
export type Loss = 'carried out at once' | 'carried out late';

/** The owner of one team against the stand-in of the state service; answers can be lost and reads held back. */
export class OwnerStandin {
  readonly sim = new Sim(1);
  readonly state = new StateStandin(this.sim);
  readonly said: OwnerMsg[] = [];
  readonly logged: { fields: Fields; message: string }[] = [];
  readonly owner: Owner;
  /** How the next transactions are lost, in order; null: answered. */
  readonly losses: (Loss | null)[] = [];
  /** Transactions without an answer that are not carried out yet. */
  readonly late: Txn[] = [];
  /** Reads of keys that begin so wait until `release`. */
  heldReads = '';
  private readonly waiting: (() => void)[] = [];
  private nextGrant = 1;

  constructor(
    private readonly team: Team,
    specs: JobSpec[],
  ) {
    for (const spec of specs) this.put(`open/${spec.id}/a`, { j: spec });
    this.put(`sys/team/${team.name}`, { inst: HOST });
    this.owner = new Owner(
      ownerOptions({
        teams: new Map([[team.name, team]]),
        state: this.statePort(),
        clock: {
          now: () => this.sim.now,
          wall: () => this.sim.now,
          after: (ms, run) => {
            this.sim.after(ms, run);
            return () => {};
          },
          soon: (run) => this.sim.after(0, run),
          random: () => 0.5,
        },
        log: this.logger(),
        send: (message) => this.said.push(message),
        wake: () => this.sim.after(0, () => this.owner.flush()),
      }),
    );
    this.owner.setScheduler(1);
    this.owner.setTeams(new Map([[team.name, this.state.keys.get(`sys/team/${team.name}`)!.version]]));
    this.run(100);
    this.owner.fromScheduler({ type: 'synced', token: 1 });
    this.run(100);
  }

  /** Lets simulated time pass. */
  run(ms: number): void {
    this.sim.run(this.sim.now + ms);
  }

  /** Grants places for tasks of a job, as a leader would. */
  grant(job: string, tasks: number, zone = 'a'): void {
    const grants: Grant[] = Array.from({ length: tasks }, () => {
      const id = this.nextGrant++;
      return { id, job, team: this.team.name, machine: `m${id}`, zone, season: 1 };
    });
    this.owner.fromScheduler({ type: 'synced', token: 1 });
    this.owner.fromScheduler({ type: 'grants', token: 1, grants });
  }

  /** The reads held back are answered. */
  release(): void {
    this.heldReads = '';
    for (const serve of this.waiting.splice(0)) serve();
  }

  /** Carries out the transactions that are late; returns how many of them were. */
  carryOutLate(): number {
    const done = this.late.splice(0).filter((txn) => this.state.txn(HOST, txn, LIMITS).status === 200);
    return done.length;
  }

  /** Tasks by job that the stored records have on a machine. */
  storedPlacements(): Record<string, number> {
    const stored: Record<string, number> = {};
    for (const [key, { value }] of this.state.keys) {
      const [kind, job] = key.split('/');
      if (kind !== 'place' || !job) continue;
      const tasks = Object.values((JSON.parse(value) as { t: Record<string, unknown[]> }).t).filter(
        (task) => task.length === 4,
      );
      stored[job] = (stored[job] ?? 0) + tasks.length;
    }
    return stored;
  }

  /** CPUs of the team's stored placements. */
  storedCpus(cpusOf: (job: string) => number): number {
    return Object.entries(this.storedPlacements()).reduce((sum, [job, n]) => sum + n * cpusOf(job), 0);
  }

  /** What was logged with this message. */
  linesOf(message: string): { fields: Fields; message: string }[] {
    return this.logged.filter((line) => line.message === message);
  }

  /** Another's write, carried out at once. */
  put(key: string, value: unknown): void {
    this.state.txn(HOST, { when: [], then: [{ put: key, value }] }, LIMITS);
  }

  private logger(): Logger {
    const take = (fields: Fields, message: string) => this.logged.push({ fields, message });
    return { debug: take, info: take, error: take };
  }

  private statePort(): StatePort {
    const answer = <T>(serve: () => { status: number; value?: T; failed?: string[] }): Result<T> => {
      const { status, value, failed } = serve();
      if (status === 200) return { ok: true, value: value as T };
      return status === 409
        ? { ok: false, kind: 'conflict', failed: failed ?? [] }
        : { ok: false, kind: 'refused' };
    };
    const port: Partial<StatePort> = {
      get: (key, _urgency, then) => this.sim.after(1, () => then(answer(() => this.state.get(HOST, key)))),
      list: (prefix, since, _urgency, then) => {
        const serve = () =>
          this.sim.after(1, () => then(answer(() => this.state.list(HOST, prefix, since, 50))));
        if (this.heldReads !== '' && prefix.startsWith(this.heldReads)) this.waiting.push(serve);
        else serve();
      },
      txn: (txn, _urgency, then) => {
        const loss = this.losses.shift() ?? null;
        const copy = structuredClone(txn);
        if (loss === null)
          return this.sim.after(1, () => then(answer(() => this.state.txn(HOST, copy, LIMITS))));
        if (loss === 'carried out at once') this.state.txn(HOST, copy, LIMITS);
        else this.late.push(copy);
        this.sim.after(DEADLINE_MS, () => then({ ok: false, kind: 'unknown' }));
      },
    };
    return port as StatePort;
  }
}
