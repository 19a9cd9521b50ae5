import type { KeyValueStore, Transaction } from '../../src/model/key-value-store.js';
import type { Failure, Result, ResultCallback } from '../../src/model/result.js';
import type { WorkerCommandPort } from '../../src/model/worker-command-port.js';
import type { Heartbeat } from '../../src/model/worker-messages.js';
import type { ClusterSimulation } from './cluster-simulation.js';
import type { CallResult } from './simulated-network.js';

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

/** The state service as a controller of this world reaches it, with the troubles of the day. */
export function storePort(simulation: ClusterSimulation, nodeName: string, deliver: Deliver): KeyValueStore {
  const { store: state, simulator, network: net, config: kind } = simulation;
  const ask = <T>(
    serve: (reply: (r: StoreReply<T>) => void) => void,
    then: ResultCallback<T>,
    deadlineMs = DEADLINE_MS,
  ) =>
    net.call<StoreReply<T>>(nodeName, 'state', deadlineMs, serve, (answer) =>
      deliver(() => then(result(answer))),
    );
  return {
    get: (key, _urgency, then) => ask((reply) => reply(state.get(nodeName, key)), then),
    list: (prefix, since, _urgency, then) =>
      ask((reply) => {
        const serve = () => reply(state.list(nodeName, prefix, since, ITEMS_PER_PAGE));
        if (simulation.maxReadDelayMs > 0)
          simulator.scheduleAfter(simulator.between(0, simulation.maxReadDelayMs), serve);
        else serve();
      }, then),
    compareAndSwap: (transaction, _urgency, then) => {
      const copy = JSON.parse(JSON.stringify(transaction)) as Transaction;
      const carryOut = () =>
        simulation.quotaChecker.checkTransaction(copy, () => state.compareAndSwap(nodeName, copy, kind));
      const noAnswer = () =>
        simulator.scheduleAfter(DEADLINE_MS, () => deliver(() => then({ ok: false, kind: 'unknown' })));
      if (simulator.chance(simulation.lateWriteShare)) {
        // After newer ones.
        simulator.scheduleAfter(simulator.between(2000, 12000), carryOut);
        return noAnswer();
      }
      if (simulation.lostAnswerShare > 0 && simulator.chance(simulation.lostAnswerShare)) {
        net.send(nodeName, 'state', carryOut);
        return noAnswer();
      }
      ask((reply) => reply(carryOut()), then);
    },
    grantLease: (ttlMs, then) => ask((reply) => reply(state.grantLease(nodeName, ttlMs)), then),
    keepLeaseAlive: (lease, then) => ask((reply) => reply(state.keepLeaseAlive(nodeName, lease)), then),
    revokeLease: (lease, then) => ask((reply) => reply(state.revokeLease(nodeName, lease)), then),
    watch: (prefix, since, waitMs, then) =>
      ask((reply) => state.watch(nodeName, prefix, since, waitMs, reply), then, waitMs + WATCH_GRACE_MS),
  };
}

/** The workers as a controller of this world reaches them directly. */
export function workerPort(
  simulation: ClusterSimulation,
  nodeName: string,
  deliver: Deliver,
): WorkerCommandPort {
  const { simulator, network: net, config: kind, workers } = simulation;
  return {
    sendCommands: (addr, token, agentEpoch, commands, then) => {
      const copy = JSON.parse(JSON.stringify(commands)) as typeof commands;
      // What was executed may be executed once more, long after.
      if (simulation.duplicatesMessages && simulator.chance(0.3))
        simulator.scheduleAfter(simulator.between(500, kind.leaseSeconds * 2500), () =>
          workers.get(addr)?.handleCommands(token, agentEpoch, copy, () => {}),
        );
      net.call<{ ok: boolean; heartbeat: Heartbeat }>(
        nodeName,
        addr,
        DEADLINE_MS,
        (reply) => workers.get(addr)?.handleCommands(token, agentEpoch, copy, reply),
        (answer) =>
          deliver(() => {
            if (!answer.got) return then({ ok: false, kind: answer.sent ? 'unknown' : 'refused' });
            const { ok, heartbeat } = answer.value;
            then(ok ? { ok: true, value: heartbeat } : { ok: false, kind: 'conflict', heartbeat });
          }),
      );
    },
  };
}

function result<T>(answer: CallResult<StoreReply<T>>): Result<T> {
  if (!answer.got) return { ok: false, kind: answer.sent ? 'unknown' : 'refused' } satisfies Failure;
  const { status, value, failed } = answer.value;
  if (status === 200) return { ok: true, value: JSON.parse(JSON.stringify(value ?? null)) as T };
  if (status === 409) return { ok: false, kind: 'conflict', failedKeys: failed ?? [] };
  if (status === 404 || status === 410) return { ok: false, kind: 'gone' };
  if (status === 503) return { ok: false, kind: 'refused' };
  return { ok: false, kind: 'bad' };
}
