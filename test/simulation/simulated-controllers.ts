/**
 * The controllers of a simulated cluster: the real `Controller`, in processes that crash, pause and restart.
 */

import { readFileSync } from 'node:fs';
import { compilePolicy } from '../../src/config/policy.js';
import { Controller } from '../../src/controller/controller.js';
import type { Clock } from '../../src/model/clock.js';
import type { LogFields, Logger } from '../../src/model/logger.js';
import type { PeerMessage } from '../../src/model/peer-message.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/wire/peer-codec.js';
import { storePort, workerPort } from './controller-ports.js';
import type { FakeCloud } from './fake-cloud.js';
import type { QuotaChecker } from './quota-checker.js';
import type { SimulatedCluster } from './simulated-cluster.js';

type ControllerOptions = ConstructorParameters<typeof Controller>[0];

const POLICY = compilePolicy(readFileSync(new URL('../../deploy/policy.toml', import.meta.url), 'utf8'));
/** Delay after which a callback passed to `Clock.defer` runs. */
const DEFERRED_CALLBACK_DELAY_MS = 0.2;

const noop = () => {};

/** One controller process. */
export interface ControllerProcess {
  controller: Controller;
  isAlive: boolean;
  /** A paused process does nothing while its clocks run on; messages and timers wait in the backlog. */
  isPaused: boolean;
  backlog: (() => void)[];
}

/** Starts, crashes and pauses the controller processes, one per node. */
export class SimulatedControllers {
  /** The latest process of each node, even if it has crashed. */
  readonly processes = new Map<string, ControllerProcess>();
  private startedProcessCount = 0;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly cloud: FakeCloud,
    private readonly quotaChecker: QuotaChecker,
  ) {}

  /** Returns the latest process of a node. */
  get(nodeName: string): ControllerProcess | undefined {
    return this.processes.get(nodeName);
  }

  /** Starts a new process on a node and connects it with all processes that are alive. */
  start(nodeName: string): void {
    const process: ControllerProcess = {
      controller: undefined as unknown as Controller,
      isAlive: true,
      isPaused: false,
      backlog: [],
    };
    const instanceId = `${nodeName}.${++this.startedProcessCount}`;
    process.controller = new Controller({
      nodeName,
      instanceId,
      ...this.settings(nodeName),
      ...this.ports(nodeName, process),
    });
    this.processes.set(nodeName, process);
    process.controller.start();
    for (const other of this.cluster.nodeNames) {
      const peer = this.processes.get(other);
      if (other === nodeName || !peer?.isAlive) continue;
      peer.controller.push({ type: 'peerConnection', nodeName, isUp: true });
      process.controller.push({ type: 'peerConnection', nodeName: other, isUp: true });
    }
  }

  /** Runs a callback in a process: immediately, when its pause ends, or never if the process has crashed. */
  deliver(process: ControllerProcess, callback: () => void): void {
    if (!process.isAlive) return;
    if (process.isPaused) process.backlog.push(callback);
    else callback();
  }

  /** Pauses the process of a node while its clocks run on. */
  pause(nodeName: string, durationMs: number): void {
    const process = this.processes.get(nodeName);
    if (!process?.isAlive || process.isPaused) return;
    process.isPaused = true;
    this.cluster.simulator.scheduleAfter(durationMs, () => {
      process.isPaused = false;
      for (const callback of process.backlog.splice(0)) this.deliver(process, callback);
    });
  }

  /** Ends the process of a node without notice, and starts a new one later. */
  crash(nodeName: string, restartAfterMs: number): void {
    const process = this.processes.get(nodeName);
    if (!process?.isAlive) return;
    process.isAlive = false;
    this.cluster.simulator.scheduleAfter(restartAfterMs, () => this.start(nodeName));
  }

  private settings(nodeName: string) {
    const { config, nodeNames } = this.cluster;
    return {
      peerNames: nodeNames.filter((other) => other !== nodeName),
      teams: config.teams,
      workerTiming: {
        heartbeatIntervalSeconds: config.heartbeatIntervalSeconds,
        leaseSeconds: config.leaseSeconds,
        cancellationSeconds: config.cancellationSeconds,
      },
      storeLimits: {
        maxValueKb: config.maxValueKb,
        maxTransactionOperations: config.maxTransactionOperations,
        writesPerSecond: config.writesPerSecond,
      },
      machineListLagSeconds: 3,
      cloudCallsPerSecond: 5,
      objectives: config.objectives,
      leaseTtlMs: config.leaseTtlMs,
      policy: POLICY,
    } satisfies Partial<ControllerOptions>;
  }

  private ports(nodeName: string, process: ControllerProcess) {
    const { cluster, quotaChecker } = this;
    const { digest } = cluster;
    const deliver = (callback: () => void) => this.deliver(process, callback);
    return {
      clock: this.clock(deliver),
      log: this.logger(nodeName),
      store: digest.store(nodeName, storePort({ cluster, quotaChecker, nodeName, deliver })),
      cloud: digest.cloud(nodeName, this.cloud.port(nodeName, deliver)),
      workers: digest.workers(nodeName, workerPort(cluster, nodeName, deliver)),
      peerTransport: { send: (to, message) => this.sendToPeer(nodeName, to, message) },
    } satisfies Partial<ControllerOptions>;
  }

  private clock(deliver: (callback: () => void) => void): Clock {
    const { simulator } = this.cluster;
    return {
      now: () => simulator.now,
      wallTime: () => simulator.now,
      after: (delayMs, callback) => {
        simulator.scheduleAfter(delayMs, () => deliver(callback));
        return noop;
      },
      defer: (callback) => simulator.scheduleAfter(DEFERRED_CALLBACK_DELAY_MS, () => deliver(callback)),
      random: () => simulator.random(),
    };
  }

  private sendToPeer(from: string, to: string, message: PeerMessage): void {
    this.cluster.digest.peerMessage(from, to, message);
    const encoded = JSON.stringify(encodePeerMessage(message));
    const deliver = () => {
      const peer = this.processes.get(to);
      const received = decodePeerMessage(JSON.parse(encoded));
      if (!received) throw new Error(`not a peer message: ${encoded}`);
      if (peer) this.deliver(peer, () => peer.controller.push({ type: 'peerMessage', message: received }));
    };
    this.cluster.network.send({ from, to, deliver });
  }

  /** With SIMLOG=1, prints the log of the controllers with simulated time. */
  private logger(nodeName: string): Logger {
    if (!process.env.SIMLOG) return { debug: noop, info: noop, error: noop };
    const print = (fields: LogFields, message: string) => {
      const seconds = (this.cluster.simulator.now / 1000).toFixed(3);
      console.log(`${seconds} ${nodeName} ${message} ${JSON.stringify(fields)}`);
    };
    return { debug: print, info: print, error: print };
  }
}
