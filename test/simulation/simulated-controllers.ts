/** The controllers of a simulated cluster: the program as written, as processes that crash, pause and start again. */

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
/** Work that a controller defers to its next turn runs after so long. */
const NEXT_TURN_MS = 0.2;

const noop = () => {};

/** One controller process. */
export interface ControllerProcess {
  controller: Controller;
  isAlive: boolean;
  /** Stands still, with its clocks running on: what comes meanwhile waits in the backlog. */
  isPaused: boolean;
  backlog: (() => void)[];
}

/** Starts, crashes and pauses the controllers, one on each node. */
export class SimulatedControllers {
  /** The newest process of each node, also if it has crashed. */
  readonly processes = new Map<string, ControllerProcess>();
  private startedProcesses = 0;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly cloud: FakeCloud,
    private readonly quotaChecker: QuotaChecker,
  ) {}

  /** The newest process of a node. */
  get(nodeName: string): ControllerProcess | undefined {
    return this.processes.get(nodeName);
  }

  /** Starts a new process, connected with all that are alive. */
  start(nodeName: string): void {
    const process: ControllerProcess = {
      controller: undefined as unknown as Controller,
      isAlive: true,
      isPaused: false,
      backlog: [],
    };
    const instanceId = `${nodeName}.${++this.startedProcesses}`;
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

  /** Whatever comes to a process: handled at once, after its pause, or never. */
  deliver(process: ControllerProcess, callback: () => void): void {
    if (!process.isAlive) return;
    if (process.isPaused) process.backlog.push(callback);
    else callback();
  }

  /** A controller stands still while its clocks run on. */
  pause(nodeName: string, durationMs: number): void {
    const process = this.processes.get(nodeName);
    if (!process?.isAlive || process.isPaused) return;
    process.isPaused = true;
    this.cluster.simulator.scheduleAfter(durationMs, () => {
      process.isPaused = false;
      for (const callback of process.backlog.splice(0)) this.deliver(process, callback);
    });
  }

  /** A controller ends without a word, and another is started on its node later. */
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
      defer: (callback) => simulator.scheduleAfter(NEXT_TURN_MS, () => deliver(callback)),
      random: () => simulator.random(),
    };
  }

  private sendToPeer(from: string, to: string, message: PeerMessage): void {
    this.cluster.digest.peerMessage(from, to, message);
    const text = JSON.stringify(encodePeerMessage(message));
    const deliver = () => {
      const peer = this.processes.get(to);
      const received = decodePeerMessage(JSON.parse(text));
      if (!received) throw new Error(`not a peer message: ${text}`);
      if (peer) this.deliver(peer, () => peer.controller.push({ type: 'peerMessage', message: received }));
    };
    this.cluster.network.send({ from, to, deliver });
  }

  /** SIMLOG=1 prints what the controllers decide, with simulated time. */
  private logger(nodeName: string): Logger {
    if (!process.env.SIMLOG) return { debug: noop, info: noop, error: noop };
    const print = (fields: LogFields, message: string) => {
      const seconds = (this.cluster.simulator.now / 1000).toFixed(3);
      console.log(`${seconds} ${nodeName} ${message} ${JSON.stringify(fields)}`);
    };
    return { debug: print, info: print, error: print };
  }
}
