/** HTTP client for the cloud provider's API. */

import type { CloudProvider, RentalRequest } from '../model/cloud-provider.js';
import type { MachineType } from '../model/machine-type.js';
import type { Result, ResultCallback } from '../model/result.js';
import {
  decodeMachinePage,
  decodeMachineTypes,
  decodeRentedMachines,
  encodeDeletionRequest,
  encodeRentalRequest,
  type MachinePage,
} from '../wire/cloud-messages.js';
import { parseJson } from '../wire/json.js';
import { type HttpCall, HttpClient, type HttpReply } from './http-client.js';

const MAX_CONNECTIONS = 6;
const CALL_TIMEOUT_MS = 5000;
const PAGE_SIZE = 500;
/**
 * Share of the cloud's rate limit that this controller uses. The rest covers recent calls of a former leader.
 */
const RATE_LIMIT_SHARE = 0.85;
/** Burst size in seconds of the rate limit. The cloud allows bursts of twice this size. */
const BURST_SECONDS = 1;
/** Interval at which the queue is drained while calls are waiting. */
const QUEUE_POLL_INTERVAL_MS = 50;

/**
 * Order of queued calls to the cloud, lowest value first. Deletions come first: unneeded machines are billed
 * by the second.
 */
const CALL_PRIORITY = { deletion: 0, rental: 1, machineList: 2, machineTypes: 3 } as const;

type CallPriority = (typeof CALL_PRIORITY)[keyof typeof CALL_PRIORITY];

interface QueuedCall extends Omit<HttpCall, 'timeoutMs'> {
  priority: CallPriority;
  onReply: (reply: HttpReply) => void;
}

/** Calls the cloud over HTTP through one priority queue, paced to stay under the cloud's rate limit. */
export class CloudClient implements CloudProvider {
  private readonly client: HttpClient;
  private readonly queue: QueuedCall[] = [];
  /** Tokens of the rate limit's bucket: the number of calls that may be sent now. */
  private tokens: number;
  /** When tokens were last added, in wall-clock ms. */
  private refilledAt = Date.now();
  private drainTimer: NodeJS.Timeout | null = null;

  /**
   * @param address - `HOST:PORT` of the cloud's API
   * @param callsPerSecond - the cloud's rate limit
   */
  constructor(
    address: string,
    private readonly callsPerSecond: number,
  ) {
    this.client = new HttpClient(address, MAX_CONNECTIONS);
    this.tokens = callsPerSecond * BURST_SECONDS;
  }

  /**
   * Lists the machine types with their current prices. Fails as `refused` unless the response has status 200.
   * A malformed response with status 200 gives an empty list.
   */
  listMachineTypes(callback: ResultCallback<MachineType[]>): void {
    const onReply = (reply: HttpReply) =>
      callback(
        reply.status === 200
          ? { ok: true, value: decodeMachineTypes(parseJson(reply.body)) }
          : { ok: false, kind: 'refused' },
      );
    this.enqueue({ priority: CALL_PRIORITY.machineTypes, method: 'GET', path: '/machine_types', onReply });
  }

  /**
   * Rents up to `count` machines and returns the names of those that were rented. Fails as
   * - `notFound` if the cloud has no capacity for the request;
   * - `invalid` if the cloud rejects the request;
   * - `indeterminate` if no response arrives;
   * - `refused` otherwise, also if a response with status 200 cannot be decoded.
   */
  rentMachines(request: RentalRequest, callback: ResultCallback<string[]>): void {
    this.enqueue({
      priority: CALL_PRIORITY.rental,
      method: 'POST',
      path: '/machines',
      body: encodeRentalRequest(request),
      onReply: (reply) => callback(toRentalResult(reply)),
    });
  }

  /**
   * Deletes machines; names that the cloud does not know are allowed. Fails as `indeterminate` unless the
   * response has status 200.
   */
  deleteMachines(machineNames: string[], callback: ResultCallback<null>): void {
    this.enqueue({
      priority: CALL_PRIORITY.deletion,
      method: 'POST',
      path: '/machines/delete',
      body: encodeDeletionRequest(machineNames),
      onReply: (reply) =>
        callback(reply.status === 200 ? { ok: true, value: null } : { ok: false, kind: 'indeterminate' }),
    });
  }

  /**
   * Lists one page of machines in name order, starting after `afterName`. Fails as `refused` unless the
   * response has status 200 and can be decoded.
   */
  listMachines(afterName: string, callback: ResultCallback<MachinePage>): void {
    const start = afterName === '' ? '' : `since=${encodeURIComponent(afterName)}&`;
    this.enqueue({
      priority: CALL_PRIORITY.machineList,
      method: 'GET',
      path: `/machines?${start}page=${PAGE_SIZE}`,
      onReply: (reply) => {
        const page = reply.status === 200 ? decodeMachinePage(parseJson(reply.body)) : null;
        callback(page ? { ok: true, value: page } : { ok: false, kind: 'refused' });
      },
    });
  }

  private enqueue(call: QueuedCall): void {
    this.queue.push(call);
    this.queue.sort((a, b) => a.priority - b.priority);
    this.drainQueue();
  }

  private drainQueue(): void {
    this.refillTokens();
    while (this.queue.length > 0 && this.tokens >= 1) {
      const { method, path, body, onReply } = this.queue.shift() as QueuedCall;
      this.tokens -= 1;
      this.client.call({ method, path, body, timeoutMs: CALL_TIMEOUT_MS }, (reply) => {
        // The cloud has throttled the call, so the tokens that are left are dropped.
        if (reply.status === 429) this.tokens = Math.min(this.tokens, 0);
        onReply(reply);
      });
    }
    if (this.queue.length > 0) this.scheduleDrain();
  }

  private refillTokens(): void {
    const now = Date.now();
    const seconds = Math.max(0, now - this.refilledAt) / 1000;
    this.refilledAt = now;
    this.tokens = Math.min(
      this.callsPerSecond * BURST_SECONDS,
      this.tokens + seconds * this.callsPerSecond * RATE_LIMIT_SHARE,
    );
  }

  private scheduleDrain(): void {
    this.drainTimer ??= setTimeout(() => {
      this.drainTimer = null;
      this.drainQueue();
    }, QUEUE_POLL_INTERVAL_MS);
  }
}

function toRentalResult(reply: HttpReply): Result<string[]> {
  if (reply.status === 0) return { ok: false, kind: 'indeterminate' };
  if (reply.status === 400) return { ok: false, kind: 'invalid' };
  if (reply.status === 503 && reply.body.includes('no capacity')) return { ok: false, kind: 'notFound' };
  const names = reply.status === 200 ? decodeRentedMachines(parseJson(reply.body)) : null;
  return names ? { ok: true, value: names } : { ok: false, kind: 'refused' };
}
