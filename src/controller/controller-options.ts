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
  /**
   * Limits of the store: the size of a value, the puts and deletes in one transaction, and those per second
   * from all controllers together.
   */
  storeLimits: { maxValueKb: number; maxTransactionOperations: number; writesPerSecond: number };
  /** Maximum lag of the cloud's machine list behind changes that the cloud has already confirmed. */
  machineListLagSeconds: number;
  /** Calls per second that the cloud accepts. */
  cloudCallsPerSecond: number;
  objectives: ServiceLevelObjective[];
  /**
   * Time to live of the controller's lease, in ms. A controller that has failed counts as live until its
   * lease ends.
   */
  leaseTtlMs: number;
  policy: PolicyFn;
  clock: Clock;
  log: Logger;
  store: KeyValueStore;
  cloud: CloudProvider;
  workers: WorkerCommandPort;
  peerTransport: PeerTransport;
}
