/**
 * State shared by all parts of a simulated cluster: time, network, store, machines, jobs and active faults.
 */

import type { JobState } from '../../src/model/api-response.js';
import type { JobSpec } from '../../src/model/job.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './cluster-config.js';
import { FakeStore } from './fake-store.js';
import type { FakeWorker } from './fake-worker.js';
import { OutputDigest } from './output-digest.js';
import { ServiceLevelChecker } from './service-level-checker.js';
import { SimulatedNetwork } from './simulated-network.js';
import { Simulator } from './simulated-time.js';

/** A job from the point of view of its user. */
export interface UserJob {
  spec: JobSpec;
  accepted: boolean;
  cancelRequested: boolean;
  /** When a controller first confirmed the cancellation, in simulated milliseconds. */
  cancelledAt: number | null;
  reportedState: JobState | null;
  /** When a request about the job was last answered. */
  lastAnsweredAt: number;
  /** When its user was first told that it is done or cancelled; infinite until then. */
  finalStateAt: number;
}

/** Shared state, kept apart so that users, machines, controllers and checkers need not import each other. */
export class SimulatedCluster {
  readonly simulator: Simulator;
  readonly network: SimulatedNetwork;
  readonly store: FakeStore;
  readonly nodeNames: string[];
  readonly serviceLevel: ServiceLevelChecker;
  readonly digest: OutputDigest;
  readonly workers = new Map<string, FakeWorker>();
  readonly jobs = new Map<string, UserJob>();
  /** Completed tasks as `job/index`. */
  readonly completedTasks = new Set<string>();
  /** Violations of invariants, each with its simulated time in seconds. */
  readonly violations: string[] = [];
  /** Whether some rented machines turn out to be faulty, see `faultyMachines`. */
  bootsFaultyMachines = true;
  /** Machines on which every task fails. */
  readonly faultyMachines = new Set<string>();
  /** Jobs that fail on every machine. */
  readonly failingJobs = new Set<string>();
  /** Whether some heartbeats and commands are delivered again, 0.5 s to 2.5 worker leases later. */
  duplicatesMessages = false;
  /** Share of transactions that get no response and are executed 2 to 12 s later. */
  delayedWriteShare = 0;
  /** Share of the transactions outside `delayedWriteShare` that are executed but whose response is lost. */
  lostResponseShare = 0;
  /** Maximum random delay added to each list request to the key-value store. */
  maxReadDelayMs = 0;
  /** Whether users cancel some jobs just when a task of them completes. */
  cancelsAtCompletion = false;
  /** Time from which no fault is injected, so that accepted work must make progress. */
  faultsEndAt = Number.POSITIVE_INFINITY;
  /** Number of times that a task began to occupy a machine. */
  taskStarts = 0;

  constructor(
    seed: number,
    readonly config: ClusterConfig = CLUSTER_CONFIG,
  ) {
    this.nodeNames = config.nodeNames;
    this.serviceLevel = new ServiceLevelChecker(config.teams);
    this.simulator = new Simulator(seed);
    this.digest = new OutputDigest(seed, () => this.simulator.now);
    this.network = new SimulatedNetwork(this.simulator);
    this.store = new FakeStore(this.simulator);
  }

  /** Run time of a task in milliseconds, infinite for services; tests may replace this function. */
  runDurationMs = (jobId: string, taskIndex: number): number => {
    const spec = this.jobs.get(jobId)?.spec;
    if (!spec || spec.kind === 'service') return Number.POSITIVE_INFINITY;
    return spec.kind === 'gang' ? 6000 : 2000 + ((taskIndex * 7919 + jobId.length * 104729) % 9000);
  };

  /** Picks a random node, to which a user request or a duplicated heartbeat goes. */
  pickNode(): string {
    return this.simulator.pick(this.nodeNames);
  }

  /** Records a violation of an invariant. */
  reportViolation(text: string): void {
    this.violations.push(`${(this.simulator.now / 1000).toFixed(3)} ${text}`);
  }
}
