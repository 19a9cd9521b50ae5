/** Types of simulated workers: their tasks, options, environment and direct commands. */

import type { HeartbeatResult } from '../../src/model/heartbeat-result.js';
import type { ExitReason, JobSpec, TaskPhase } from '../../src/model/job.js';
import type { Heartbeat, WorkerCommand } from '../../src/model/worker-messages.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { Simulator } from './simulated-time.js';

/** A task that a worker lists. */
export interface FakeTask {
  jobId: string;
  taskIndex: number;
  attempt: number;
  phase: TaskPhase;
  exitReason: ExitReason | null;
  checkpointSaved: boolean;
  /** Number of the worker's process that runs the task; timers set by an earlier process have no effect. */
  incarnation: number;
}

/** The cluster from the point of view of a worker. */
export interface WorkerEnvironment {
  simulator: Simulator;
  network: SimulatedNetwork;
  jobSpec(jobId: string): JobSpec | undefined;
  /** Run time of a task in milliseconds; infinite for one that does not end by itself. */
  runDurationMs(jobId: string, taskIndex: number): number;
  /** Whether tasks of the job fail on the machine. */
  taskFails(jobId: string, machine: string): boolean;
  nodeNames(): string[];
  sendHeartbeat(nodeName: string, heartbeat: Heartbeat, reply: (result: HeartbeatResult) => void): void;
  /** May send a copy of a heartbeat later, while messages are duplicated. */
  duplicateHeartbeat(heartbeat: Heartbeat): void;
  /** Returns the tasks of an attempt of a gang on all machines that are not hung. */
  gangTasks(jobId: string, attempt: number): FakeTask[];
  /** Called when a running task of a gang is told to stop. */
  onGangStop(task: FakeTask): void;
  /** Called when an attempt is started. */
  onStart(jobId: string, taskIndex: number, attempt: number): void;
  /** Called when a start is refused. */
  onRefusal(reason: RefusalReason): void;
  isComplete(jobId: string, taskIndex: number): boolean;
  recordCompletion(jobId: string, taskIndex: number): void;
}

/** Why a worker refuses a start: it lists another attempt of the task, or lacks capacity. */
export type RefusalReason = 'attemptListed' | 'noCapacity';

/** Resources of a machine that its tasks share. */
export interface MachineResources {
  cpus: number;
  memoryGb: number;
  imageFetchGbPerSecond: number;
}

/** Constructor options of `FakeWorker`. */
export interface FakeWorkerOptions {
  name: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  resources: MachineResources;
  environment: WorkerEnvironment;
  heartbeatIntervalMs: number;
  leaseMs: number;
}

/** Commands sent directly to a worker. */
export interface CommandRequest {
  fencingToken: number;
  workerEpoch: number;
  commands: WorkerCommand[];
}

/** A worker's response to direct commands; `ok` is false if they were refused for their token or epoch. */
export interface CommandResponse {
  ok: boolean;
  heartbeat: Heartbeat;
}
