/** What the leader's scheduler is given: settings, ports and what it asks its controller for. */

import type { CancellationCoverage } from '../model/cancellation-coverage.js';
import type { Clock } from '../model/clock.js';
import type { CloudProvider } from '../model/cloud-provider.js';
import type { Logger } from '../model/logger.js';
import type { MachineType } from '../model/machine-type.js';
import type { Policy, PolicyInput } from '../model/policy.js';
import type { LeaderMessage } from '../model/shard-messages.js';
import type { ServiceLevelObjective, Team } from '../model/team.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import type { ImageLocations } from './image-locations.js';

/** Settings, ports and callbacks of a scheduler; one scheduler acts under one fencing token. */
export interface SchedulerOptions {
  instanceId: string;
  fencingToken: number;
  teams: Map<string, Team>;
  workerTiming: { heartbeatIntervalSeconds: number; leaseSeconds: number; cancellationSeconds: number };
  machineListLagSeconds: number;
  /** Calls a second that the cloud takes. */
  cloudCallsPerSecond: number;
  images: ImageLocations;
  objectives: ServiceLevelObjective[];
  /** The first leader ever finds no machines of an earlier one on their way. */
  isFirstLeader: boolean;
  clock: Clock;
  log: Logger;
  cloud: CloudProvider;
  workers: WorkerCommandPort;
  machineTypes(): MachineType[];
  policy(input: PolicyInput): Policy;
  /** Still known to be the leader: new starts, rentals and deletions are allowed. */
  holdsLeadership(): boolean;
  send(instanceId: string, message: LeaderMessage): void;
  wake(): void;
  /** A higher token was seen: another leader acts. */
  onHigherToken(token: number): void;
  /** Peers heard from a moment ago. */
  reachablePeers(): number;
  /** What the leader before this one had told of cancellations. */
  inheritedCoverage(): CancellationCoverage | null;
  /** Known here to be stored as cancelled, whatever its owner has read. */
  isCancelled(job: string): boolean;
  /** All that any user was told to be cancelled between the two times is known here. */
  cancellationsKnown(now: number): { since: number; until: number };
  /** Nothing but this controller's own network explains what is observed. */
  resign(reason: string): void;
  /** Held-back commands stand in the way of a stop: a higher token would end them. */
  raiseFencingToken(reason: string): void;
}
