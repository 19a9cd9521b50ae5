/** What a simulated worker is given, lists and exchanges. */

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
  /** Of the worker's process that runs it: what an earlier process had planned for it no longer happens. */
  incarnation: number;
}

/** What a worker sees of the cluster. */
export interface WorkerEnvironment {
  simulator: Simulator;
  network: SimulatedNetwork;
  jobSpec(jobId: string): JobSpec | undefined;
  /** How long a task runs; infinite for one that does not end by itself. */
  runDurationMs(jobId: string, taskIndex: number): number;
  /** Every task of this job on this machine fails. */
  fails(jobId: string, machine: string): boolean;
  nodeNames(): string[];
  sendHeartbeat(nodeName: string, heartbeat: Heartbeat, reply: (answer: HeartbeatResult) => void): void;
  /** Sends a copy of a heartbeat later, while messages are duplicated. */
  duplicateHeartbeat(heartbeat: Heartbeat): void;
  /** The tasks of a gang's attempt on all machines that do not hang. */
  gangTasks(jobId: string, attempt: number): FakeTask[];
  /** A running task of a gang was told to stop. */
  onGangStop(task: FakeTask): void;
  /** An attempt was started. */
  onStart(jobId: string, taskIndex: number, attempt: number): void;
  /** A start was refused. */
  onRefusal(reason: RefusalReason): void;
  isComplete(jobId: string, taskIndex: number): boolean;
  complete(jobId: string, taskIndex: number): void;
}

/** Why a worker refuses a start: it lists another attempt of the task, or has no room. */
export type RefusalReason = 'attemptListed' | 'noCapacity';

/** What a machine has for tasks. */
export interface MachineSize {
  cpus: number;
  memoryGb: number;
  imageFetchGbPerSecond: number;
}

/** What a worker is made of. */
export interface FakeWorkerOptions {
  name: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  size: MachineSize;
  environment: WorkerEnvironment;
  heartbeatIntervalMs: number;
  leaseMs: number;
}

/** Commands sent to a worker directly. */
export interface CommandRequest {
  fencingToken: number;
  workerEpoch: number;
  commands: WorkerCommand[];
}

/** A worker's answer to direct commands; not `ok` if they were refused for their token or epoch. */
export interface CommandReply {
  ok: boolean;
  heartbeat: Heartbeat;
}
