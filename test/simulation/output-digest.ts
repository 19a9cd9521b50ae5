/**
 * With SIMDIGEST=1, computes a digest of everything that the controllers of a simulated cluster send, in its
 * encoded form and with its time. A change that preserves behaviour leaves every digest unchanged; see
 * CONTRIBUTING.md.
 */
import { createHash } from 'node:crypto';
import type { ApiResponse } from '../../src/model/api-response.js';
import type { CloudProvider } from '../../src/model/cloud-provider.js';
import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import type { KeyValueStore } from '../../src/model/key-value-store.js';
import type { PeerMessage } from '../../src/model/peer-message.js';
import type { WorkerCommandPort } from '../../src/model/worker-command-port.js';
import { encodeDeletionRequest, encodeRentalRequest } from '../../src/wire/cloud-messages.js';
import { encodePeerMessage } from '../../src/wire/peer-codec.js';
import { encodeTransaction } from '../../src/wire/store-messages.js';
import { encodeJobStatus } from '../../src/wire/user-messages.js';
import {
  encodeDirectCommands,
  encodeHeartbeatResponse,
  encodeRedirect,
} from '../../src/wire/worker-messages.js';

const isEnabled = Boolean(process.env.SIMDIGEST);
const digests: OutputDigest[] = [];

/** Prints the digest of each simulated cluster that a test has created. */
export function printDigests(testName: string): void {
  for (const digest of digests.splice(0)) console.log(`digest ${digest.finish()} ${testName}`);
}

/** Hashes everything that the controllers of one simulated cluster send. */
export class OutputDigest {
  private readonly hash = createHash('sha256');
  private outputCount = 0;

  constructor(
    private readonly seed: number,
    private readonly now: () => number,
  ) {
    if (isEnabled) digests.push(this);
  }

  /** Returns the digest with the seed and the number of outputs. */
  finish(): string {
    return `${this.hash.digest('hex').slice(0, 16)} seed ${this.seed} outputs ${this.outputCount}`;
  }

  private record(nodeName: string, channel: string, encoded: () => unknown): void {
    if (!isEnabled) return;
    this.outputCount++;
    this.hash.update(`${this.now().toFixed(6)} ${nodeName} ${channel} ${JSON.stringify(encoded())}\n`);
  }

  peerMessage(nodeName: string, to: string, message: PeerMessage): void {
    this.record(nodeName, `peer ${to}`, () => encodePeerMessage(message));
  }

  heartbeatResponse(nodeName: string, response: HeartbeatResult): void {
    this.record(nodeName, 'heartbeat answer', () => {
      switch (response.type) {
        case 'accepted':
          return [200, encodeHeartbeatResponse(response.fencingToken, response.commands)];
        case 'redirected':
          return [421, encodeRedirect(response.leaderName)];
        case 'unavailable':
          return [503];
      }
    });
  }

  userResponse(nodeName: string, response: ApiResponse): void {
    this.record(nodeName, 'user answer', () => {
      switch (response.type) {
        case 'job':
          return [response.created ? 201 : 200, encodeJobStatus('', response)];
        case 'notFound':
          return [404];
        case 'rejected':
          return [422, response.reason];
        case 'unavailable':
          return [503, response.reason];
      }
    });
  }

  /** Wraps the store port of a controller so that its calls are recorded. */
  store(nodeName: string, port: KeyValueStore): KeyValueStore {
    const recordCall = (call: string, encoded: unknown) =>
      this.record(nodeName, `store ${call}`, () => encoded);
    return {
      get: (key, urgency, callback) => {
        recordCall('get', [key, urgency]);
        port.get(key, urgency, callback);
      },
      list: (request, callback) => {
        recordCall('list', [request.prefix, request.startAfter, request.urgency]);
        port.list(request, callback);
      },
      compareAndSwap: (transaction, urgency, callback) => {
        recordCall('txn', [encodeTransaction(transaction), urgency]);
        port.compareAndSwap(transaction, urgency, callback);
      },
      grantLease: (ttlMs, callback) => {
        recordCall('grant', ttlMs);
        port.grantLease(ttlMs, callback);
      },
      keepLeaseAlive: (leaseId, callback) => {
        recordCall('touch', leaseId);
        port.keepLeaseAlive(leaseId, callback);
      },
      revokeLease: (leaseId, callback) => {
        recordCall('end', leaseId);
        port.revokeLease(leaseId, callback);
      },
      watch: (request, callback) => {
        recordCall('watch', [request.prefix, request.sinceRevision, request.waitMs]);
        port.watch(request, callback);
      },
    };
  }

  /** Wraps the cloud port of a controller so that its calls are recorded. */
  cloud(nodeName: string, port: CloudProvider): CloudProvider {
    const recordCall = (call: string, encoded: unknown) =>
      this.record(nodeName, `cloud ${call}`, () => encoded);
    return {
      listMachineTypes: (callback) => {
        recordCall('types', null);
        port.listMachineTypes(callback);
      },
      rentMachines: (request, callback) => {
        recordCall('rent', encodeRentalRequest(request));
        port.rentMachines(request, callback);
      },
      deleteMachines: (names, callback) => {
        recordCall('remove', encodeDeletionRequest(names));
        port.deleteMachines(names, callback);
      },
      listMachines: (afterName, callback) => {
        recordCall('list', afterName);
        port.listMachines(afterName, callback);
      },
    };
  }

  /** Wraps the worker port of a controller so that its commands are recorded. */
  workers(nodeName: string, port: WorkerCommandPort): WorkerCommandPort {
    return {
      sendCommands: (address, batch, callback) => {
        this.record(nodeName, `worker ${address}`, () => encodeDirectCommands(batch));
        port.sendCommands(address, batch, callback);
      },
    };
  }
}
