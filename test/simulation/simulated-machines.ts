/** The machines of a simulated cluster with their workers, and what the workers see of everything else. */

import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import { attemptKey } from '../../src/model/job.js';
import type { Heartbeat } from '../../src/model/worker-messages.js';
import type { FakeCloud, MachineDescription } from './fake-cloud.js';
import { FakeWorker } from './fake-worker.js';
import type { SimulatedCluster } from './simulated-cluster.js';
import type { SimulatedControllers } from './simulated-controllers.js';
import type { FakeTask, WorkerEnvironment } from './worker-environment.js';

/** `gang_peer_s` of the protocol: all tasks of a gang are told within this time of the first. */
const GANG_PEER_MS = 6000;
/** Share of heartbeats that are duplicated while messages are. */
const DUPLICATED_SHARE = 0.3;
/** Share of completed tasks whose job is cancelled at that moment, and how soon after it. */
const CANCELLED_AT_COMPLETION_SHARE = 0.3;
const CANCELLED_AT_COMPLETION_MS = 30;

/** The other parts of the cluster that machines talk to. */
export interface MachineSurroundings {
  cluster: SimulatedCluster;
  cloud: FakeCloud;
  controllers: SimulatedControllers;
  cancelJob(jobId: string): void;
}

/** Starts and destroys machines, and counts what their workers were asked that they should not have been. */
export class SimulatedMachines {
  /** Starts that workers refused: another attempt of the task is listed, or there is no room. */
  readonly refusals = { attemptListed: 0, noCapacity: 0 };
  /** Attempts that were started once more: one that ended must never be. */
  readonly restartedAttempts: string[] = [];
  /** Running tasks of gangs that were told to stop, and those that were not within the time for it. */
  readonly gangStops = { signalled: 0, late: 0 };
  private readonly stoppingGangs = new Set<string>();
  private readonly startedAttempts = new Set<string>();
  private readonly cluster: SimulatedCluster;

  constructor(private readonly surroundings: MachineSurroundings) {
    this.cluster = surroundings.cluster;
  }

  /** Starts the worker of a machine that has booted. */
  start(name: string, { machineType, zone, isSpot }: MachineDescription): FakeWorker {
    const { config, workers } = this.cluster;
    const size = config.machineTypes.find((known) => known.name === machineType)!;
    const worker = new FakeWorker({
      name,
      machineType,
      zone,
      isSpot,
      size: { ...size },
      environment: this.environment(),
      heartbeatIntervalMs: config.heartbeatIntervalSeconds * 1000,
      leaseMs: config.leaseSeconds * 1000,
    });
    workers.set(name, worker);
    return worker;
  }

  /** A machine that is up at once, without having been rented. */
  add(description: MachineDescription): FakeWorker {
    return this.start(this.surroundings.cloud.nextName(), description);
  }

  /** Deleted, or taken back by the cloud. */
  destroy(name: string): void {
    this.surroundings.cloud.forget(name);
    this.cluster.workers.get(name)?.die();
    this.cluster.workers.delete(name);
  }

  private environment(): WorkerEnvironment {
    const { cluster } = this;
    return {
      simulator: cluster.simulator,
      network: cluster.network,
      jobSpec: (jobId) => cluster.jobs.get(jobId)?.spec,
      runDurationMs: (jobId, taskIndex) => cluster.runDurationMs(jobId, taskIndex),
      fails: (jobId, machine) => cluster.failingJobs.has(jobId) || cluster.faultyMachines.has(machine),
      nodeNames: () => cluster.nodeNames,
      sendHeartbeat: (nodeName, heartbeat, reply) => this.sendHeartbeat(nodeName, heartbeat, reply),
      duplicateHeartbeat: (heartbeat) => this.duplicateHeartbeat(heartbeat),
      gangTasks: (jobId, attempt) => this.gangTasks(jobId, attempt),
      onGangStop: (task) => this.onGangStop(task),
      onStart: (jobId, taskIndex, attempt) => this.onStart(jobId, taskIndex, attempt),
      onRefusal: (reason) => void this.refusals[reason]++,
      isComplete: (jobId, taskIndex) => cluster.completedTasks.has(`${jobId}/${taskIndex}`),
      complete: (jobId, taskIndex) => this.complete(jobId, taskIndex),
    };
  }

  private sendHeartbeat(
    nodeName: string,
    heartbeat: Heartbeat,
    reply: (answer: HeartbeatResult) => void,
  ): void {
    const { controllers } = this.surroundings;
    const process = controllers.get(nodeName);
    const text = JSON.stringify(heartbeat);
    if (!process) return;
    controllers.deliver(process, () => {
      const answer = process.controller.handleHeartbeat(JSON.parse(text));
      this.cluster.digest.heartbeatAnswer(nodeName, answer);
      reply(JSON.parse(JSON.stringify(answer)));
    });
  }

  private duplicateHeartbeat(heartbeat: Heartbeat): void {
    const { simulator, config } = this.cluster;
    const { controllers } = this.surroundings;
    if (!this.cluster.duplicatesMessages || !simulator.chance(DUPLICATED_SHARE)) return;
    const text = JSON.stringify(heartbeat);
    simulator.scheduleAfter(simulator.between(500, config.leaseSeconds * 2500), () => {
      const process = controllers.get(this.cluster.pickNode());
      if (process) controllers.deliver(process, () => process.controller.handleHeartbeat(JSON.parse(text)));
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
    // What is done may be removed before a late repeat of its start comes: it then ends at once, which is allowed.
    if (this.startedAttempts.has(key) && !completedTasks.has(`${jobId}/${taskIndex}`))
      this.restartedAttempts.push(`${(simulator.now / 1000).toFixed(3)} ${key}`);
    this.startedAttempts.add(key);
  }

  private complete(jobId: string, taskIndex: number): void {
    const { cluster } = this;
    cluster.completedTasks.add(`${jobId}/${taskIndex}`);
    if (cluster.cancelsAtCompletion && cluster.simulator.chance(CANCELLED_AT_COMPLETION_SHARE))
      cluster.simulator.scheduleAfter(cluster.simulator.between(0, CANCELLED_AT_COMPLETION_MS), () =>
        this.surroundings.cancelJob(jobId),
      );
  }

  private onGangStop({ jobId, attempt }: FakeTask): void {
    this.gangStops.signalled++;
    const gang = `${jobId}#${attempt}`;
    if (this.stoppingGangs.has(gang)) return;
    this.stoppingGangs.add(gang);
    this.cluster.simulator.scheduleAfter(GANG_PEER_MS, () => {
      for (const worker of this.cluster.workers.values())
        for (const task of worker.tasks) {
          if (task.jobId !== jobId || task.attempt !== attempt || task.phase !== 'running') continue;
          this.gangStops.late++;
          worker.exitWithGang(task);
        }
    });
  }
}
