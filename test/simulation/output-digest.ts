/**
 * SIMDIGEST=1: a digest of all that leaves the controllers of a simulated cluster, in its encoded form and with its time. A step
 * that changes no behaviour leaves every digest as it was; see CONTRIBUTING.md.
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

const enabled = Boolean(process.env.SIMDIGEST);
const digests: OutputDigest[] = [];

/** Prints the digest of each simulated cluster that a test has made. */
export function printDigests(testName: string): void {
  for (const digest of digests.splice(0)) console.log(`digest ${digest.finish()} ${testName}`);
}

/** Takes down what the controllers of one simulated cluster send. */
export class OutputDigest {
  private readonly hash = createHash('sha256');
  private outputs = 0;

  constructor(
    private readonly seed: number,
    private readonly now: () => number,
  ) {
    if (enabled) digests.push(this);
  }

  finish(): string {
    return `${this.hash.digest('hex').slice(0, 16)} seed ${this.seed} outputs ${this.outputs}`;
  }

  private add(nodeName: string, channel: string, encoded: () => unknown): void {
    if (!enabled) return;
    this.outputs++;
    this.hash.update(`${this.now().toFixed(6)} ${nodeName} ${channel} ${JSON.stringify(encoded())}\n`);
  }

  peerMessage(nodeName: string, to: string, message: PeerMessage): void {
    this.add(nodeName, `peer ${to}`, () => encodePeerMessage(message));
  }

  heartbeatAnswer(nodeName: string, answer: HeartbeatResult): void {
    this.add(nodeName, 'heartbeat answer', () => {
      switch (answer.type) {
        case 'accepted':
          return [200, encodeHeartbeatResponse(answer.fencingToken, answer.commands)];
        case 'redirected':
          return [421, encodeRedirect(answer.leaderName)];
        case 'unavailable':
          return [503];
      }
    });
  }

  userAnswer(nodeName: string, answer: ApiResponse): void {
    this.add(nodeName, 'user answer', () => {
      switch (answer.type) {
        case 'job':
          return [answer.created ? 201 : 200, encodeJobStatus('', answer)];
        case 'notFound':
          return [404];
        case 'rejected':
          return [422, answer.reason];
        case 'unavailable':
          return [503, answer.reason];
      }
    });
  }

  store(nodeName: string, port: KeyValueStore): KeyValueStore {
    const add = (call: string, encoded: unknown) => this.add(nodeName, `store ${call}`, () => encoded);
    return {
      get: (key, urgency, then) => {
        add('get', [key, urgency]);
        port.get(key, urgency, then);
      },
      list: (request, then) => {
        add('list', [request.prefix, request.startAfter, request.urgency]);
        port.list(request, then);
      },
      compareAndSwap: (transaction, urgency, then) => {
        add('txn', [encodeTransaction(transaction), urgency]);
        port.compareAndSwap(transaction, urgency, then);
      },
      grantLease: (ttlMs, then) => {
        add('grant', ttlMs);
        port.grantLease(ttlMs, then);
      },
      keepLeaseAlive: (lease, then) => {
        add('touch', lease);
        port.keepLeaseAlive(lease, then);
      },
      revokeLease: (lease, then) => {
        add('end', lease);
        port.revokeLease(lease, then);
      },
      watch: (request, then) => {
        add('watch', [request.prefix, request.sinceRevision, request.waitMs]);
        port.watch(request, then);
      },
    };
  }

  cloud(nodeName: string, port: CloudProvider): CloudProvider {
    const add = (call: string, encoded: unknown) => this.add(nodeName, `cloud ${call}`, () => encoded);
    return {
      listMachineTypes: (then) => {
        add('types', null);
        port.listMachineTypes(then);
      },
      rentMachines: (request, then) => {
        add('rent', encodeRentalRequest(request));
        port.rentMachines(request, then);
      },
      deleteMachines: (names, then) => {
        add('remove', encodeDeletionRequest(names));
        port.deleteMachines(names, then);
      },
      listMachines: (since, then) => {
        add('list', since);
        port.listMachines(since, then);
      },
    };
  }

  workers(nodeName: string, port: WorkerCommandPort): WorkerCommandPort {
    return {
      sendCommands: (address, batch, then) => {
        this.add(nodeName, `worker ${address}`, () => encodeDirectCommands(batch));
        port.sendCommands(address, batch, then);
      },
    };
  }
}
