/** Options of the leader's scheduler: settings, ports, and callbacks to its controller. */

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
import type { WorkerContacts } from './worker-contacts.js';

/** The other live controllers to which the leader could hand over; none that did so just before it. */
export interface HandoverCandidates {
  total: number;
  /** Those that report the workers that reach them, and that they redirect to this leader. */
  reporting: number;
}

/** Settings, ports and callbacks of a scheduler, which acts under a single fencing token. */
export interface SchedulerOptions {
  instanceId: string;
  fencingToken: number;
  teams: Map<string, Team>;
  /** Time limits of workers; see `WorkerTiming` in model/worker-timing.ts. */
  workerTiming: { heartbeatIntervalSeconds: number; leaseSeconds: number; cancellationSeconds: number };
  /** How long changes may take to show up in the cloud's list of machines. */
  machineListLagSeconds: number;
  /** Calls per second that the cloud accepts. */
  cloudCallsPerSecond: number;
  imageLocations: ImageLocations;
  objectives: ServiceLevelObjective[];
  /** Contacts of the term before, if this controller led it and raised its fencing token; null otherwise. */
  previousContacts: WorkerContacts | null;
  /** Whether this is the cluster's first leader, so that no earlier one's machines can appear later. */
  isFirstLeader: boolean;
  clock: Clock;
  log: Logger;
  cloud: CloudProvider;
  workers: WorkerCommandPort;
  machineTypes(): MachineType[];
  policy(input: PolicyInput): Policy;
  /** Whether this controller certainly still leads, so that starts, rentals and deletions are allowed. */
  holdsLeadership(): boolean;
  /** Sends a message to a shard owner. */
  send(instanceId: string, message: LeaderMessage): void;
  /** Schedules a call of the scheduler's `flush`. */
  wake(): void;
  /** Called when a worker has reported a higher fencing token, so that there is a newer leader. */
  onHigherToken(token: number): void;
  /** The number of other controllers from which this one has recently received messages. */
  recentPeerCount(): number;
  /** The controllers that could lead instead of this one. */
  handoverCandidates(): HandoverCandidates;
  /** Called once it no longer matters which controllers handed over before this one's term. */
  forgetHandovers(): void;
  /**
   * The latest cancellation coverage (the time up to which all stored cancellations have become stops)
   * computed by any leader, in times of this controller's clock; null: none is known.
   */
  latestCoverage(): CancellationCoverage | null;
  /**
   * Whether a job is known to be stored as cancelled, even if its shard owner has not read that yet. A
   * cancellation is stored first, then announced to all controllers, and then confirmed to the user.
   */
  isCancelled(jobId: string): boolean;
  /**
   * A period on this controller's clock: every cancellation that any controller confirmed to a user within
   * this period is known here. It is empty if `until` is before `since`.
   */
  knownCancellationPeriod(now: number): { since: number; until: number };
  /** Hands over the leadership, because this controller's own network seems to be at fault. */
  resign(reason: string): void;
  /** Has this leader re-elected under a higher fencing token, which invalidates commands still in flight. */
  raiseFencingToken(reason: string): void;
}
