import type { KeyValueStore, Transaction } from '../../src/model/key-value-store.js';
import type { Failure, Result, ResultCallback } from '../../src/model/result.js';
import type { WorkerCommandPort } from '../../src/model/worker-command-port.js';
import type { Heartbeat } from '../../src/model/worker-messages.js';
import type { Answer } from './sim.js';
import type { World } from './world.js';

/** A call to the state service or to a worker waits so long for its answer. */
const DEADLINE_MS = 1500;
/** A watch may be answered so long after its own time. */
const WATCH_GRACE_MS = 3000;
const ITEMS_A_PAGE = 50;

/** Hands what comes to a process over to it: at once, after its pause, or never. */
export type Enter = (handle: () => void) => void;

interface StateReply<T> {
  status: number;
  value?: T;
  failed?: string[];
}

/** The state service as a controller of this world reaches it, with the troubles of the day. */
export function statePort(world: World, host: string, enter: Enter): KeyValueStore {
  const { state, sim, net, shape: kind } = world;
  const ask = <T>(
    serve: (reply: (r: StateReply<T>) => void) => void,
    then: ResultCallback<T>,
    deadlineMs = DEADLINE_MS,
  ) =>
    net.call<StateReply<T>>(host, 'state', deadlineMs, serve, (answer) => enter(() => then(result(answer))));
  return {
    get: (key, _urgency, then) => ask((reply) => reply(state.get(host, key)), then),
    list: ({ prefix, startAfter }, then) =>
      ask((reply) => {
        const serve = () => reply(state.list(host, prefix, startAfter, ITEMS_A_PAGE));
        if (world.slowReadsMs > 0) sim.after(sim.between(0, world.slowReadsMs), serve);
        else serve();
      }, then),
    compareAndSwap: (transaction, _urgency, then) => {
      const copy = JSON.parse(JSON.stringify(transaction)) as Transaction;
      const carryOut = () => world.admission.watch(copy, () => state.txn(host, copy, kind));
      const noAnswer = () =>
        sim.after(DEADLINE_MS, () => enter(() => then({ ok: false, kind: 'indeterminate' })));
      if (sim.chance(world.lateWrites)) {
        // After newer ones.
        sim.after(sim.between(2000, 12000), carryOut);
        return noAnswer();
      }
      if (world.lostAnswers > 0 && sim.chance(world.lostAnswers)) {
        net.send(host, 'state', carryOut);
        return noAnswer();
      }
      ask((reply) => reply(carryOut()), then);
    },
    grantLease: (ttlMs, then) => ask((reply) => reply(state.grant(host, ttlMs)), then),
    keepLeaseAlive: (lease, then) => ask((reply) => reply(state.touch(host, lease)), then),
    revokeLease: (lease, then) => ask((reply) => reply(state.end(host, lease)), then),
    watch: ({ prefix, sinceRevision, waitMs }, then) =>
      ask((reply) => state.watch(host, prefix, sinceRevision, waitMs, reply), then, waitMs + WATCH_GRACE_MS),
  };
}

/** The workers as a controller of this world reaches them directly. */
export function workerPort(world: World, host: string, enter: Enter): WorkerCommandPort {
  const { sim, net, shape: kind, workers } = world;
  return {
    sendCommands: (addr, { fencingToken: token, agentEpoch, commands }, then) => {
      const copy = JSON.parse(JSON.stringify(commands)) as typeof commands;
      // What was executed may be executed once more, long after.
      if (world.copies && sim.chance(0.3))
        sim.after(sim.between(500, kind.leaseS * 2500), () =>
          workers.get(addr)?.direct(token, agentEpoch, copy, () => {}),
        );
      net.call<{ ok: boolean; report: Heartbeat }>(
        host,
        addr,
        DEADLINE_MS,
        (reply) => workers.get(addr)?.direct(token, agentEpoch, copy, reply),
        (answer) =>
          enter(() => {
            if (!answer.got) return then({ ok: false, kind: answer.sent ? 'indeterminate' : 'refused' });
            const { ok, report } = answer.value;
            then(ok ? { ok: true, value: report } : { ok: false, kind: 'conflict', heartbeat: report });
          }),
      );
    },
  };
}

function result<T>(answer: Answer<StateReply<T>>): Result<T> {
  if (!answer.got) return { ok: false, kind: answer.sent ? 'indeterminate' : 'refused' } satisfies Failure;
  const { status, value, failed } = answer.value;
  if (status === 200) return { ok: true, value: JSON.parse(JSON.stringify(value ?? null)) as T };
  if (status === 409) return { ok: false, kind: 'conflict', failedKeys: failed ?? [] };
  if (status === 404 || status === 410) return { ok: false, kind: 'notFound' };
  if (status === 503) return { ok: false, kind: 'refused' };
  return { ok: false, kind: 'invalid' };
}
