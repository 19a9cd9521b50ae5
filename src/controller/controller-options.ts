/** Settings and external interfaces of a controller. */

import type { Clock } from '../model/clock.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import type { KeyValueStore } from '../model/key-value-store.js';
import type { Logger } from '../model/logger.js';
import type { PeerTransport } from '../model/peer-message.js';
import type { PolicyFn } from '../model/policy.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import type { WorkerTiming } from '../model/worker-timing.js';

/** Settings of a controller, and the interfaces through which it uses other services. */
export interface ControllerOptions {
  /** Name of the host that the controller runs on; unchanged by a restart of the process. */
  nodeName: string;
  /** Unique name of this process; never reused. */
  instanceId: string;
  /** Node names of the other controllers. */
  peerNames: string[];
  teams: Team[];
  workerTiming: WorkerTiming;
  storeLimits: { maxValueKb: number; maxTransactionOperations: number; writesPerSecond: number };
  /** Maximum lag of the cloud's machine list behind changes that the cloud has already confirmed. */
  machineListLagSeconds: number;
  cloudCallsPerSecond: number;
  objectives: ServiceLevelObjective[];
  /** Time to live of the controller's lease, in ms; its absence can go unnoticed for this long. */
  leaseTtlMs: number;
  policy: PolicyFn;
  clock: Clock;
  log: Logger;
  store: KeyValueStore;
  cloud: CloudProvider;
  workers: WorkerCommandPort;
  peerTransport: PeerTransport;
}
