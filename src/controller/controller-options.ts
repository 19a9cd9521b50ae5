/** What a controller is told by the settings, and what it reaches the world by. */

import type { Clock } from '../model/clock.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { PeerTransport } from '../model/peer-message.js';
import type { PolicyFn } from '../model/policy.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import type { WorkerTiming } from '../model/worker-timing.js';

/** What a controller is made of and what it is told by the settings. */
export interface ControllerOptions {
  /** Name of the host that the controller runs on; it stays the same when the process is started again. */
  nodeName: string;
  /** Name of this process, never used before. */
  instanceId: string;
  /** Node names of the other controllers. */
  peerNames: string[];
  teams: Team[];
  workerTiming: WorkerTiming;
  storeLimits: { maxValueKb: number; maxTransactionOperations: number; writesPerSecond: number };
  /** So long the cloud's list of machines may lag behind what it has answered. */
  machineListLagSeconds: number;
  cloudCallsPerSecond: number;
  objectives: ServiceLevelObjective[];
  /** Time to live of the controller's lease, in ms: its absence goes unnoticed for so long. */
  leaseTtlMs: number;
  policy: PolicyFn;
  clock: Clock;
  log: Logger;
  store: KeyValueStore;
  cloud: CloudProvider;
  workers: WorkerCommandPort;
  peers: PeerTransport;
}
