/** The state that all parts of a simulated cluster share: time, network, store, machines, jobs, and the faults in force. */

import type { JobState } from '../../src/model/api-response.js';
import type { JobSpec } from '../../src/model/job.js';
import { CLUSTER_CONFIG, type ClusterConfig } from './cluster-config.js';
import { FakeStore } from './fake-store.js';
import type { FakeWorker } from './fake-worker.js';
import { OutputDigest } from './output-digest.js';
import { ServiceLevelChecker } from './service-level-checker.js';
import { SimulatedNetwork } from './simulated-network.js';
import { Simulator } from './simulated-time.js';

/** A job as its user knows it. */
export interface UserJob {
  spec: JobSpec;
  accepted: boolean;
  cancelRequested: boolean;
  /** When a controller first confirmed the cancellation, in simulated milliseconds. */
  cancelledAt: number | null;
  reportedState: JobState | null;
  /** When a question about it was last answered. */
  answeredAt: number;
  /** When its user was first told that it is done or cancelled. */
  finalStateAt: number;
}

/** State without behaviour of its own, so that users, machines, controllers and checkers need not import each other. */
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
  /** Invariants that did not hold, each with its time. */
  readonly violations: string[] = [];
  /** Whether some rented machines fail every task. */
  bootsFaultyMachines = true;
  /** Machines on which every task fails. */
  readonly faultyMachines = new Set<string>();
  /** Jobs that fail on every machine. */
  readonly failingJobs = new Set<string>();
  /** Copies of heartbeats and commands come late, from moments to well over a lease. */
  duplicatesMessages = false;
  /** Share of transactions that get no answer and are carried out 2 to 12 s later. */
  lateWriteShare = 0;
  /** Share of transactions that are carried out at once and get no answer. */
  lostAnswerShare = 0;
  /** Reads of stored records take up to so much longer, each by another time. */
  maxReadDelayMs = 0;
  /** Jobs are cancelled at the moment at which a task of theirs ends. */
  cancelsAtCompletion = false;
  /** From here on no fault is injected: accepted work must progress. */
  faultsEndAt = Number.POSITIVE_INFINITY;
  /** Tasks that began to occupy a machine. */
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

  /** How long a task runs, in milliseconds; tests may replace it. */
  runDurationMs = (jobId: string, taskIndex: number): number => {
    const spec = this.jobs.get(jobId)?.spec;
    if (!spec || spec.kind === 'service') return Number.POSITIVE_INFINITY;
    return spec.kind === 'gang' ? 6000 : 2000 + ((taskIndex * 7919 + jobId.length * 104729) % 9000);
  };

  /** The node that a user or a duplicated message happens to reach. */
  pickNode(): string {
    return this.simulator.pick(this.nodeNames);
  }

  /** Notes that an invariant did not hold. */
  reportViolation(text: string): void {
    this.violations.push(`${(this.simulator.now / 1000).toFixed(3)} ${text}`);
  }
}
