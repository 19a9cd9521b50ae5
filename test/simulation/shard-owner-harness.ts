/** A shard owner alone. */

import type { JobSpec } from '../../src/model/job.js';
import type { KeyValueStore, Transaction } from '../../src/model/key-value-store.js';
import type { LogFields, Logger } from '../../src/model/logger.js';
import type { Grant } from '../../src/model/placement.js';
import type { Result } from '../../src/model/result.js';
import type { ShardMessage } from '../../src/model/shard-messages.js';
import type { Team } from '../../src/model/team.js';
import { ShardOwner, type ShardOwnerOptions } from '../../src/shard/shard-owner.js';
import { jobRecord } from '../../src/store/record-codec.js';
import { FakeStore } from './fake-store.js';
import { Simulator } from './simulated-time.js';

const LIMITS = { maxTransactionOperations: 16, maxValueKb: 4 };
const NODE_NAME = 'o';
const DEADLINE_MS = 1500;

/** Options of an owner that talks to nobody; each can be replaced. */
export function shardOwnerOptions(over: Partial<ShardOwnerOptions>): ShardOwnerOptions {
  return {
    nodeName: NODE_NAME,
    instanceId: NODE_NAME,
    teams: new Map(),
    maxValueKb: LIMITS.maxValueKb,
    maxTransactionOperations: LIMITS.maxTransactionOperations,
    writesPerSecond: 100,
    maxTasksPerRequest: 64,
    evictionGraceMarginSeconds: 1,
    objectives: [],
    store: {} as KeyValueStore,
    clock: { now: () => 1000, wallTime: () => 1000, after: () => () => {}, defer: () => {}, random: () => 0 },
    log: { debug: () => {}, info: () => {}, error: () => {} },
    openJobItems: () => [],
    openJobsFreshAsOf: () => 0,
    refreshOpenJobs: () => {},
    send: () => {},
    wake: () => {},
    ...over,
  };
}

/** What becomes of a transaction whose answer is lost. */
export type LostAnswer = 'carried out at once' | 'carried out late';

/** The owner of one team against the fake state service; answers can be lost and reads held back. */
export class ShardOwnerHarness {
  readonly simulator = new Simulator(1);
  readonly store = new FakeStore(this.simulator);
  readonly sentMessages: ShardMessage[] = [];
  readonly logged: { fields: LogFields; message: string }[] = [];
  readonly owner: ShardOwner;
  /** How the next transactions are lost, in order; null: answered. */
  readonly lostAnswers: (LostAnswer | null)[] = [];
  /** Transactions without an answer that are not carried out yet. */
  readonly lateTransactions: Transaction[] = [];
  /** Reads of keys that begin so wait until `release`. */
  delayedReadPrefix = '';
  private readonly delayedReads: (() => void)[] = [];
  private nextGrant = 1;

  constructor(
    private readonly team: Team,
    specs: JobSpec[],
  ) {
    for (const spec of specs) this.writeRecord(`open/${spec.id}/a`, jobRecord.encode({ spec }));
    this.writeRecord(`sys/team/${team.name}`, { inst: NODE_NAME });
    this.owner = new ShardOwner(
      shardOwnerOptions({
        teams: new Map([[team.name, team]]),
        store: this.storePort(),
        clock: {
          now: () => this.simulator.now,
          wallTime: () => this.simulator.now,
          after: (ms, run) => {
            this.simulator.scheduleAfter(ms, run);
            return () => {};
          },
          defer: (run) => this.simulator.scheduleAfter(0, run),
          random: () => 0.5,
        },
        log: this.logger(),
        send: (message) => this.sentMessages.push(message),
        wake: () => this.simulator.scheduleAfter(0, () => this.owner.flush()),
      }),
    );
    this.owner.setLeader(1);
    this.owner.setShards(
      new Map([[team.name, this.store.records.get(`sys/team/${team.name}`)!.modRevision]]),
    );
    this.run(100);
    this.owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 1 });
    this.run(100);
  }

  /** Lets simulated time pass. */
  run(ms: number): void {
    this.simulator.run(this.simulator.now + ms);
  }

  /** Grants places for tasks of a job, as a leader would. */
  grant(job: string, tasks: number, zone = 'a'): void {
    const grants: Grant[] = Array.from({ length: tasks }, () => {
      const id = this.nextGrant++;
      return { id, jobId: job, team: this.team.name, machine: `m${id}`, zone, workerEpoch: 1 };
    });
    this.owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 1 });
    this.owner.onLeaderMessage({ type: 'grants', fencingToken: 1, grants });
  }

  /** The reads held back are answered. */
  releaseReads(): void {
    this.delayedReadPrefix = '';
    for (const serve of this.delayedReads.splice(0)) serve();
  }

  /** Carries out the transactions that are late; returns how many of them were. */
  carryOutLate(): number {
    const done = this.lateTransactions
      .splice(0)
      .filter((transaction) => this.store.compareAndSwap(NODE_NAME, transaction, LIMITS).status === 200);
    return done.length;
  }

  /** Tasks by job that the stored records have on a machine. */
  storedPlacementCounts(): Record<string, number> {
    const stored: Record<string, number> = {};
    for (const [key, { value }] of this.store.records) {
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
    return Object.entries(this.storedPlacementCounts()).reduce(
      (sum, [job, count]) => sum + count * cpusOf(job),
      0,
    );
  }

  /** What was logged with this message. */
  logLines(message: string): { fields: LogFields; message: string }[] {
    return this.logged.filter((line) => line.message === message);
  }

  /** Another's write, carried out at once. */
  writeRecord(key: string, value: unknown): void {
    this.store.compareAndSwap(
      NODE_NAME,
      { preconditions: [], operations: [{ type: 'put', key, value }] },
      LIMITS,
    );
  }

  private logger(): Logger {
    const take = (fields: LogFields, message: string) => this.logged.push({ fields, message });
    return { debug: take, info: take, error: take };
  }

  private storePort(): KeyValueStore {
    const answer = <T>(serve: () => { status: number; value?: T; failed?: string[] }): Result<T> => {
      const { status, value, failed } = serve();
      if (status === 200) return { ok: true, value: value as T };
      return status === 409
        ? { ok: false, kind: 'conflict', failedKeys: failed ?? [] }
        : { ok: false, kind: 'refused' };
    };
    const port: Partial<KeyValueStore> = {
      get: (key, _urgency, then) =>
        this.simulator.scheduleAfter(1, () => then(answer(() => this.store.get(NODE_NAME, key)))),
      list: ({ prefix, startAfter }, then) => {
        const serve = () =>
          this.simulator.scheduleAfter(1, () =>
            then(answer(() => this.store.list(NODE_NAME, { prefix, since: startAfter, pageSize: 50 }))),
          );
        if (this.delayedReadPrefix !== '' && prefix.startsWith(this.delayedReadPrefix))
          this.delayedReads.push(serve);
        else serve();
      },
      compareAndSwap: (transaction, _urgency, then) => {
        const loss = this.lostAnswers.shift() ?? null;
        const copy = structuredClone(transaction);
        if (loss === null)
          return this.simulator.scheduleAfter(1, () =>
            then(answer(() => this.store.compareAndSwap(NODE_NAME, copy, LIMITS))),
          );
        if (loss === 'carried out at once') this.store.compareAndSwap(NODE_NAME, copy, LIMITS);
        else this.lateTransactions.push(copy);
        this.simulator.scheduleAfter(DEADLINE_MS, () => then({ ok: false, kind: 'indeterminate' }));
      },
    };
    return port as KeyValueStore;
  }
}
