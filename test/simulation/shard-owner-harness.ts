/** Runs a shard owner, which manages the jobs of its teams, without the rest of the cluster. */

import type { JobSpec } from '../../src/model/job.js';
import type { KeyValueStore, Transaction } from '../../src/model/key-value-store.js';
import type { LogFields, Logger } from '../../src/model/logger.js';
import type { Grant } from '../../src/model/placement.js';
import type { Result } from '../../src/model/result.js';
import type { ShardOwnerMessage } from '../../src/model/shard-messages.js';
import type { Team } from '../../src/model/team.js';
import { ShardOwner, type ShardOwnerOptions } from '../../src/shard/shard-owner.js';
import { jobRecord } from '../../src/store/record-codec.js';
import { FakeStore } from './fake-store.js';
import { Simulator } from './simulated-time.js';

const LIMITS = { maxTransactionOperations: 16, maxValueKb: 4 };
const NODE_NAME = 'o';
const CALL_DEADLINE_MS = 1500;

/** Options of an owner without a store, whose messages and log are dropped; each can be overridden. */
export function shardOwnerOptions(overrides: Partial<ShardOwnerOptions>): ShardOwnerOptions {
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
    ...overrides,
  };
}

/** When the store executes a transaction whose response is lost. */
export type LostResponse = 'carried out at once' | 'carried out late';

/**
 * The owner of one team's shard, which consists of the team's jobs, with a fake store. Tests can lose
 * responses to transactions and delay reads.
 */
export class ShardOwnerHarness {
  readonly simulator = new Simulator(1);
  readonly store = new FakeStore(this.simulator);
  readonly sentMessages: ShardOwnerMessage[] = [];
  readonly logLines: { fields: LogFields; message: string }[] = [];
  readonly owner: ShardOwner;
  /** For each of the next transactions, in order, how its response is lost; null: it is not. */
  readonly lostResponses: (LostResponse | null)[] = [];
  /** Transactions without a response that the store has not executed yet. */
  readonly delayedTransactions: Transaction[] = [];
  /** Lists of keys with this prefix wait until `releaseDelayedReads`; empty: none wait. */
  delayedReadPrefix = '';
  private readonly delayedReads: (() => void)[] = [];
  private nextGrantId = 1;

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
    this.runFor(100);
    this.owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 1 });
    this.runFor(100);
  }

  /** Advances simulated time by `durationMs`. */
  runFor(durationMs: number): void {
    this.simulator.run(this.simulator.now + durationMs);
  }

  /** Grants places for tasks of a job, each on a new machine, as the leader would. */
  grant(jobId: string, taskCount: number, zone = 'a'): void {
    const grants: Grant[] = Array.from({ length: taskCount }, () => {
      const id = this.nextGrantId++;
      return { id, jobId, team: this.team.name, machine: `m${id}`, zone, workerEpoch: 1 };
    });
    this.owner.onLeaderMessage({ type: 'syncAccepted', fencingToken: 1 });
    this.owner.onLeaderMessage({ type: 'grants', fencingToken: 1, grants });
  }

  /** Executes the delayed reads and stops delaying new ones. */
  releaseDelayedReads(): void {
    this.delayedReadPrefix = '';
    for (const serve of this.delayedReads.splice(0)) serve();
  }

  /** Executes the delayed transactions. Returns the number of those that succeeded. */
  executeDelayedTransactions(): number {
    const executed = this.delayedTransactions
      .splice(0)
      .filter((transaction) => this.store.compareAndSwap(NODE_NAME, transaction, LIMITS).status === 200);
    return executed.length;
  }

  /** Number of tasks by job that have a machine in the stored placements. */
  storedPlacementCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [key, { value }] of this.store.records) {
      const [kind, jobId] = key.split('/');
      if (kind !== 'place' || !jobId) continue;
      const tasks = Object.values((JSON.parse(value) as { t: Record<string, unknown[]> }).t).filter(
        (task) => task.length === 4,
      );
      counts[jobId] = (counts[jobId] ?? 0) + tasks.length;
    }
    return counts;
  }

  /** Total CPUs of the tasks that have a machine in the stored placements. */
  storedCpus(cpusOf: (jobId: string) => number): number {
    return Object.entries(this.storedPlacementCounts()).reduce(
      (sum, [job, count]) => sum + count * cpusOf(job),
      0,
    );
  }

  /** Log lines with the given message. */
  findLogLines(message: string): { fields: LogFields; message: string }[] {
    return this.logLines.filter((line) => line.message === message);
  }

  /** Stores a record directly, as another client of the store would. */
  writeRecord(key: string, value: unknown): void {
    this.store.compareAndSwap(
      NODE_NAME,
      { preconditions: [], operations: [{ type: 'put', key, value }] },
      LIMITS,
    );
  }

  private logger(): Logger {
    const record = (fields: LogFields, message: string) => this.logLines.push({ fields, message });
    return { debug: record, info: record, error: record };
  }

  private storePort(): KeyValueStore {
    const toResult = <T>(serve: () => { status: number; value?: T; failedKeys?: string[] }): Result<T> => {
      const { status, value, failedKeys } = serve();
      if (status === 200) return { ok: true, value: value as T };
      return status === 409
        ? { ok: false, kind: 'conflict', failedKeys: failedKeys ?? [] }
        : { ok: false, kind: 'refused' };
    };
    const port: Partial<KeyValueStore> = {
      get: (key, _urgency, callback) =>
        this.simulator.scheduleAfter(1, () => callback(toResult(() => this.store.get(NODE_NAME, key)))),
      list: ({ prefix, startAfter }, callback) => {
        const serve = () =>
          this.simulator.scheduleAfter(1, () =>
            callback(toResult(() => this.store.list(NODE_NAME, { prefix, startAfter, pageSize: 50 }))),
          );
        if (this.delayedReadPrefix !== '' && prefix.startsWith(this.delayedReadPrefix))
          this.delayedReads.push(serve);
        else serve();
      },
      compareAndSwap: (transaction, _urgency, callback) => {
        const lostResponse = this.lostResponses.shift() ?? null;
        const copy = structuredClone(transaction);
        if (lostResponse === null)
          return this.simulator.scheduleAfter(1, () =>
            callback(toResult(() => this.store.compareAndSwap(NODE_NAME, copy, LIMITS))),
          );
        if (lostResponse === 'carried out at once') this.store.compareAndSwap(NODE_NAME, copy, LIMITS);
        else this.delayedTransactions.push(copy);
        this.simulator.scheduleAfter(CALL_DEADLINE_MS, () => callback({ ok: false, kind: 'indeterminate' }));
      },
    };
    return port as KeyValueStore;
  }
}
