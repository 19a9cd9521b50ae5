/** The ports through which a controller of a simulated cluster calls the key-value store and the workers. */

import type { KeyValueStore, Transaction } from '../../src/model/key-value-store.js';
import type { Failure, Result, ResultCallback } from '../../src/model/result.js';
import type { WorkerCommandPort } from '../../src/model/worker-command-port.js';
import type { QuotaChecker } from './quota-checker.js';
import type { SimulatedCluster } from './simulated-cluster.js';
import type { CallResult } from './simulated-network.js';
import type { CommandRequest, CommandResponse } from './worker-environment.js';

/** Deadline of a call to the key-value store or to a worker. */
const CALL_DEADLINE_MS = 1500;
/** Added to the wait time of a watch to give the deadline of its call. */
const WATCH_GRACE_MS = 3000;
const ITEMS_PER_PAGE = 50;

/** Runs a handler in a controller process: at once, when its pause ends, or never if it has crashed. */
export type Deliver = (handle: () => void) => void;

interface StoreResponse<T> {
  status: number;
  value?: T;
  failedKeys?: string[];
}

/** Dependencies of the store port of one controller process. */
export interface StorePortOptions {
  cluster: SimulatedCluster;
  quotaChecker: QuotaChecker;
  nodeName: string;
  deliver: Deliver;
}

/** The key-value store as one controller reaches it, subject to the active faults. */
export function storePort(options: StorePortOptions): KeyValueStore {
  const { cluster, nodeName, deliver } = options;
  const { store, simulator, network } = cluster;
  const call = <T>(
    serve: (reply: (response: StoreResponse<T>) => void) => void,
    callback: ResultCallback<T>,
    deadlineMs = CALL_DEADLINE_MS,
  ) =>
    network.call<StoreResponse<T>>({
      from: nodeName,
      to: 'state',
      deadlineMs,
      serve,
      onResult: (result) => deliver(() => callback(toResult(result))),
    });
  return {
    get: (key, _urgency, callback) => call((reply) => reply(store.get(nodeName, key)), callback),
    list: ({ prefix, startAfter }, callback) =>
      call((reply) => {
        const serve = () => reply(store.list(nodeName, { prefix, startAfter, pageSize: ITEMS_PER_PAGE }));
        if (cluster.maxReadDelayMs > 0)
          simulator.scheduleAfter(simulator.between(0, cluster.maxReadDelayMs), serve);
        else serve();
      }, callback),
    compareAndSwap: (transaction, _urgency, callback) => {
      const execute = prepareTransaction(options, transaction);
      const failAfterDeadline = () =>
        simulator.scheduleAfter(CALL_DEADLINE_MS, () =>
          deliver(() => callback({ ok: false, kind: 'indeterminate' })),
        );
      if (simulator.chance(cluster.delayedWriteShare)) {
        // The write may be executed after newer ones.
        simulator.scheduleAfter(simulator.between(2000, 12000), execute);
        return failAfterDeadline();
      }
      if (cluster.lostResponseShare > 0 && simulator.chance(cluster.lostResponseShare)) {
        network.send({ from: nodeName, to: 'state', deliver: execute });
        return failAfterDeadline();
      }
      call((reply) => reply(execute()), callback);
    },
    grantLease: (ttlMs, callback) => call((reply) => reply(store.grantLease(nodeName, ttlMs)), callback),
    keepLeaseAlive: (leaseId, callback) =>
      call((reply) => reply(store.keepLeaseAlive(nodeName, leaseId)), callback),
    revokeLease: (leaseId, callback) =>
      call((reply) => reply(store.revokeLease(nodeName, leaseId)), callback),
    watch: ({ prefix, sinceRevision, waitMs }, callback) =>
      call(
        (reply) => store.watch(nodeName, { prefix, sinceRevision, waitMs }, reply),
        callback,
        waitMs + WATCH_GRACE_MS,
      ),
  };
}

/** Copies a transaction. Returns a function that executes the copy and checks it against the quotas. */
function prepareTransaction({ cluster, quotaChecker, nodeName }: StorePortOptions, transaction: Transaction) {
  const copy = JSON.parse(JSON.stringify(transaction)) as Transaction;
  return () =>
    quotaChecker.executeAndCheck(copy, () => cluster.store.compareAndSwap(nodeName, copy, cluster.config));
}

/** The workers as one controller reaches them with direct commands. */
export function workerPort(cluster: SimulatedCluster, nodeName: string, deliver: Deliver): WorkerCommandPort {
  const { simulator, network, config, workers } = cluster;
  return {
    sendCommands: (address, batch, callback) => {
      const request: CommandRequest = {
        ...batch,
        commands: JSON.parse(JSON.stringify(batch.commands)),
      };
      // A late duplicate of a command batch may arrive long after the batch was executed.
      if (cluster.duplicatesMessages && simulator.chance(0.3))
        simulator.scheduleAfter(simulator.between(500, config.leaseSeconds * 2500), () =>
          workers.get(address)?.handleCommands(request, () => {}),
        );
      network.call<CommandResponse>({
        from: nodeName,
        to: address,
        deadlineMs: CALL_DEADLINE_MS,
        serve: (reply) => workers.get(address)?.handleCommands(request, reply),
        onResult: (result) =>
          deliver(() => {
            if (!result.received)
              return callback({ ok: false, kind: result.mayHaveBeenSent ? 'indeterminate' : 'refused' });
            const { ok, heartbeat } = result.value;
            callback(ok ? { ok: true, value: heartbeat } : { ok: false, kind: 'conflict', heartbeat });
          }),
      });
    },
  };
}

function toResult<T>(callResult: CallResult<StoreResponse<T>>): Result<T> {
  if (!callResult.received)
    return { ok: false, kind: callResult.mayHaveBeenSent ? 'indeterminate' : 'refused' } satisfies Failure;
  const { status, value, failedKeys } = callResult.value;
  if (status === 200) return { ok: true, value: JSON.parse(JSON.stringify(value ?? null)) as T };
  if (status === 409) return { ok: false, kind: 'conflict', failedKeys: failedKeys ?? [] };
  if (status === 404 || status === 410) return { ok: false, kind: 'notFound' };
  if (status === 503) return { ok: false, kind: 'refused' };
  return { ok: false, kind: 'invalid' };
}
