/** The machines of a simulated cluster, and the environment of their workers. */

import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import { attemptKey } from '../../src/model/job.js';
import type { Heartbeat } from '../../src/model/worker-messages.js';
import type { FakeCloud, MachineDescription } from './fake-cloud.js';
import { FakeWorker } from './fake-worker.js';
import type { SimulatedCluster } from './simulated-cluster.js';
import type { SimulatedControllers } from './simulated-controllers.js';
import type { FakeTask, WorkerEnvironment } from './worker-environment.js';

/** `gang_peer_s` of the protocol: once a task of a gang is told to stop, all must be within this time. */
const GANG_STOP_WINDOW_MS = 6000;
/** Share of heartbeats that are duplicated while `SimulatedCluster.duplicatesMessages` is set. */
const DUPLICATED_HEARTBEAT_SHARE = 0.3;
/** With `SimulatedCluster.cancelsAtCompletion`: share of completed tasks whose job is then cancelled. */
const CANCELLED_AT_COMPLETION_SHARE = 0.3;
/** Maximum delay of such a cancellation. */
const MAX_CANCELLATION_DELAY_MS = 30;

/** The other parts of the cluster that the machines use. */
export interface MachineDependencies {
  cluster: SimulatedCluster;
  cloud: FakeCloud;
  controllers: SimulatedControllers;
  cancelJob(jobId: string): void;
}

/** Starts and destroys machines, and counts commands that their workers should not have received. */
export class SimulatedMachines {
  /** Number of `start` commands that workers refused, by reason. */
  readonly refusals = { attemptListed: 0, noCapacity: 0 };
  /** Attempts of incomplete tasks that were started a second time, which must never happen. */
  readonly restartedAttempts: string[] = [];
  /** Number of running gang tasks that were told to stop, and of those that were not told in time. */
  readonly gangStops = { signalled: 0, late: 0 };
  private readonly stoppingGangs = new Set<string>();
  private readonly startedAttempts = new Set<string>();
  private readonly cluster: SimulatedCluster;

  constructor(private readonly dependencies: MachineDependencies) {
    this.cluster = dependencies.cluster;
  }

  /** Starts the worker of a machine that has booted. */
  start(name: string, { machineType, zone, isSpot }: MachineDescription): FakeWorker {
    const { config, workers } = this.cluster;
    const type = config.machineTypes.find((known) => known.name === machineType)!;
    const worker = new FakeWorker({
      name,
      machineType,
      zone,
      isSpot,
      resources: { ...type },
      environment: this.environment(),
      heartbeatIntervalMs: config.heartbeatIntervalSeconds * 1000,
      leaseMs: config.leaseSeconds * 1000,
    });
    workers.set(name, worker);
    return worker;
  }

  /** Adds a machine that is up at once, without renting it. */
  add(description: MachineDescription): FakeWorker {
    return this.start(this.dependencies.cloud.nextMachineName(), description);
  }

  /** Removes a machine that was deleted or reclaimed by the cloud. */
  destroy(name: string): void {
    this.dependencies.cloud.removeMachine(name);
    this.cluster.workers.get(name)?.terminate();
    this.cluster.workers.delete(name);
  }

  private environment(): WorkerEnvironment {
    const { cluster } = this;
    return {
      simulator: cluster.simulator,
      network: cluster.network,
      jobSpec: (jobId) => cluster.jobs.get(jobId)?.spec,
      runDurationMs: (jobId, taskIndex) => cluster.runDurationMs(jobId, taskIndex),
      taskFails: (jobId, machine) => cluster.failingJobs.has(jobId) || cluster.faultyMachines.has(machine),
      nodeNames: () => cluster.nodeNames,
      sendHeartbeat: (nodeName, heartbeat, reply) => this.sendHeartbeat(nodeName, heartbeat, reply),
      duplicateHeartbeat: (heartbeat) => this.duplicateHeartbeat(heartbeat),
      gangTasks: (jobId, attempt) => this.gangTasks(jobId, attempt),
      onGangStop: (task) => this.onGangStop(task),
      onStart: (jobId, taskIndex, attempt) => this.onStart(jobId, taskIndex, attempt),
      onRefusal: (reason) => void this.refusals[reason]++,
      isComplete: (jobId, taskIndex) => cluster.completedTasks.has(`${jobId}/${taskIndex}`),
      recordCompletion: (jobId, taskIndex) => this.recordCompletion(jobId, taskIndex),
    };
  }

  private sendHeartbeat(
    nodeName: string,
    heartbeat: Heartbeat,
    reply: (result: HeartbeatResult) => void,
  ): void {
    const { controllers } = this.dependencies;
    const process = controllers.get(nodeName);
    const encoded = JSON.stringify(heartbeat);
    if (!process) return;
    controllers.deliver(process, () => {
      const result = process.controller.handleHeartbeat(JSON.parse(encoded));
      this.cluster.digest.heartbeatResponse(nodeName, result);
      reply(JSON.parse(JSON.stringify(result)));
    });
  }

  private duplicateHeartbeat(heartbeat: Heartbeat): void {
    const { simulator, config } = this.cluster;
    const { controllers } = this.dependencies;
    if (!this.cluster.duplicatesMessages || !simulator.chance(DUPLICATED_HEARTBEAT_SHARE)) return;
    const encoded = JSON.stringify(heartbeat);
    simulator.scheduleAfter(simulator.between(500, config.leaseSeconds * 2500), () => {
      const process = controllers.get(this.cluster.pickNode());
      if (process)
        controllers.deliver(process, () => process.controller.handleHeartbeat(JSON.parse(encoded)));
    });
  }

  private gangTasks(jobId: string, attempt: number): FakeTask[] {
    return [...this.cluster.workers.values()]
      .filter((worker) => worker.isAlive && !worker.isHung)
      .flatMap((worker) => worker.tasks.filter((task) => task.jobId === jobId && task.attempt === attempt));
  }

  private onStart(jobId: string, taskIndex: number, attempt: number): void {
    const { completedTasks, simulator } = this.cluster;
    const key = attemptKey(jobId, taskIndex, attempt);
    // A worker may forget a completed task before a late duplicate of its start arrives. The repeated start
    // is allowed, as the task exits as soon as its image is fetched.
    if (this.startedAttempts.has(key) && !completedTasks.has(`${jobId}/${taskIndex}`))
      this.restartedAttempts.push(`${(simulator.now / 1000).toFixed(3)} ${key}`);
    this.startedAttempts.add(key);
  }

  private recordCompletion(jobId: string, taskIndex: number): void {
    const { cluster } = this;
    cluster.completedTasks.add(`${jobId}/${taskIndex}`);
    if (cluster.cancelsAtCompletion && cluster.simulator.chance(CANCELLED_AT_COMPLETION_SHARE))
      cluster.simulator.scheduleAfter(cluster.simulator.between(0, MAX_CANCELLATION_DELAY_MS), () =>
        this.dependencies.cancelJob(jobId),
      );
  }

  private onGangStop({ jobId, attempt }: FakeTask): void {
    this.gangStops.signalled++;
    const gangKey = `${jobId}#${attempt}`;
    if (this.stoppingGangs.has(gangKey)) return;
    this.stoppingGangs.add(gangKey);
    this.cluster.simulator.scheduleAfter(GANG_STOP_WINDOW_MS, () => {
      for (const worker of this.cluster.workers.values())
        for (const task of worker.tasks) {
          if (task.jobId !== jobId || task.attempt !== attempt || task.phase !== 'running') continue;
          this.gangStops.late++;
          worker.exitOnGangStop(task);
        }
    });
  }
}
