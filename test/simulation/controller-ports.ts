/** The ports through which a controller of a simulated cluster reaches the state service and the workers. */

import type { KeyValueStore, Transaction } from '../../src/model/key-value-store.js';
import type { Failure, Result, ResultCallback } from '../../src/model/result.js';
import type { WorkerCommandPort } from '../../src/model/worker-command-port.js';
import type { QuotaChecker } from './quota-checker.js';
import type { SimulatedCluster } from './simulated-cluster.js';
import type { CallResult } from './simulated-network.js';
import type { CommandReply, CommandRequest } from './worker-environment.js';

/** A call to the state service or to a worker waits so long for its answer. */
const DEADLINE_MS = 1500;
/** A watch may be answered so long after its own time. */
const WATCH_GRACE_MS = 3000;
const ITEMS_PER_PAGE = 50;

/** Hands what comes to a process over to it: at once, after its pause, or never. */
export type Deliver = (handle: () => void) => void;

interface StoreReply<T> {
  status: number;
  value?: T;
  failed?: string[];
}

/** What the store port of one process needs. */
export interface StorePortOptions {
  cluster: SimulatedCluster;
  quotaChecker: QuotaChecker;
  nodeName: string;
  deliver: Deliver;
}

/** The state service as a controller of the cluster reaches it, with the faults in force. */
export function storePort(options: StorePortOptions): KeyValueStore {
  const { cluster, nodeName, deliver } = options;
  const { store, simulator, network } = cluster;
  const ask = <T>(
    serve: (reply: (storeReply: StoreReply<T>) => void) => void,
    then: ResultCallback<T>,
    deadlineMs = DEADLINE_MS,
  ) =>
    network.call<StoreReply<T>>({
      from: nodeName,
      to: 'state',
      deadlineMs,
      serve,
      onResult: (answer) => deliver(() => then(resultOf(answer))),
    });
  return {
    get: (key, _urgency, then) => ask((reply) => reply(store.get(nodeName, key)), then),
    list: ({ prefix, startAfter }, then) =>
      ask((reply) => {
        const serve = () =>
          reply(store.list(nodeName, { prefix, since: startAfter, pageSize: ITEMS_PER_PAGE }));
        if (cluster.maxReadDelayMs > 0)
          simulator.scheduleAfter(simulator.between(0, cluster.maxReadDelayMs), serve);
        else serve();
      }, then),
    compareAndSwap: (transaction, _urgency, then) => {
      const carryOut = carryOutLater(options, transaction);
      const noAnswer = () =>
        simulator.scheduleAfter(DEADLINE_MS, () => deliver(() => then({ ok: false, kind: 'indeterminate' })));
      if (simulator.chance(cluster.lateWriteShare)) {
        // After newer ones.
        simulator.scheduleAfter(simulator.between(2000, 12000), carryOut);
        return noAnswer();
      }
      if (cluster.lostAnswerShare > 0 && simulator.chance(cluster.lostAnswerShare)) {
        network.send({ from: nodeName, to: 'state', deliver: carryOut });
        return noAnswer();
      }
      ask((reply) => reply(carryOut()), then);
    },
    grantLease: (ttlMs, then) => ask((reply) => reply(store.grantLease(nodeName, ttlMs)), then),
    keepLeaseAlive: (lease, then) => ask((reply) => reply(store.keepLeaseAlive(nodeName, lease)), then),
    revokeLease: (lease, then) => ask((reply) => reply(store.revokeLease(nodeName, lease)), then),
    watch: ({ prefix, sinceRevision, waitMs }, then) =>
      ask(
        (reply) => store.watch(nodeName, { prefix, since: sinceRevision, waitMs }, reply),
        then,
        waitMs + WATCH_GRACE_MS,
      ),
  };
}

/** A transaction as it is now, to be carried out once and checked against the quotas then. */
function carryOutLater({ cluster, quotaChecker, nodeName }: StorePortOptions, transaction: Transaction) {
  const copy = JSON.parse(JSON.stringify(transaction)) as Transaction;
  return () =>
    quotaChecker.checkTransaction(copy, () => cluster.store.compareAndSwap(nodeName, copy, cluster.config));
}

/** The workers as a controller of the cluster reaches them directly. */
export function workerPort(cluster: SimulatedCluster, nodeName: string, deliver: Deliver): WorkerCommandPort {
  const { simulator, network, config, workers } = cluster;
  return {
    sendCommands: (address, batch, then) => {
      const request: CommandRequest = {
        ...batch,
        commands: JSON.parse(JSON.stringify(batch.commands)),
      };
      // What was executed may be executed once more, long after.
      if (cluster.duplicatesMessages && simulator.chance(0.3))
        simulator.scheduleAfter(simulator.between(500, config.leaseSeconds * 2500), () =>
          workers.get(address)?.handleCommands(request, () => {}),
        );
      network.call<CommandReply>({
        from: nodeName,
        to: address,
        deadlineMs: DEADLINE_MS,
        serve: (reply) => workers.get(address)?.handleCommands(request, reply),
        onResult: (answer) =>
          deliver(() => {
            if (!answer.got) return then({ ok: false, kind: answer.sent ? 'indeterminate' : 'refused' });
            const { ok, heartbeat } = answer.value;
            then(ok ? { ok: true, value: heartbeat } : { ok: false, kind: 'conflict', heartbeat });
          }),
      });
    },
  };
}

function resultOf<T>(answer: CallResult<StoreReply<T>>): Result<T> {
  if (!answer.got) return { ok: false, kind: answer.sent ? 'indeterminate' : 'refused' } satisfies Failure;
  const { status, value, failed } = answer.value;
  if (status === 200) return { ok: true, value: JSON.parse(JSON.stringify(value ?? null)) as T };
  if (status === 409) return { ok: false, kind: 'conflict', failedKeys: failed ?? [] };
  if (status === 404 || status === 410) return { ok: false, kind: 'notFound' };
  if (status === 503) return { ok: false, kind: 'refused' };
  return { ok: false, kind: 'invalid' };
}
