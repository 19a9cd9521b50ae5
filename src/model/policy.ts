/**
 * The operators' policy, set by expressions. `src/config/policy.ts` reads them and maps the operators' names.
 */

/** The cluster values that policy expressions can refer to. */
export interface PolicyInput {
  /** Number of service replicas. */
  serviceReplicas: number;
  serviceCpus: number;
  queuedTasks: number;
  queuedCpus: number;
  runningBatchTasks: number;
  machines: number;
  heartbeatIntervalSeconds: number;
  leaseSeconds: number;
  bootSeconds: number;
}

/** The results of the policy expressions. */
export interface Policy {
  /** Number of service replicas, beyond the running ones, for which free capacity is kept. */
  reserveReplicas: number;
  /** Free capacity kept for job classes with an objective on waiting time, in multiples of their mean job. */
  reserveBatchJobs: number;
  /** Seconds that a machine may be idle before it is returned. */
  maxIdleSeconds: number;
  /** Seconds over which the boot and image fetch times of a rented machine are amortized. */
  amortizationSeconds: number;
  /** The same for machines rented for services, whose replicas stay longer. */
  serviceAmortizationSeconds: number;
  /** Multiple of the machine type's boot time after which a machine that is still not up is deleted. */
  maxBootTimeFactor: number;
  /** Seconds without a heartbeat after which a machine is deleted to finalize its tasks. */
  unresponsiveSeconds: number;
  /**
   * Share of the machines that may become unresponsive at once before the controller suspects a fault of its
   * own.
   */
  maxUnresponsiveShare: number;
  /** Maximum number of tasks of one job per resource request. */
  maxTasksPerRequest: number;
  /** Seconds between two rebalances of the teams' shards among the controllers. */
  rebalanceIntervalSeconds: number;
  /** Seconds that work may wait for capacity held by running tasks before machines are rented for it. */
  rentalWaitFloorSeconds: number;
}

/** Evaluates all policy expressions. */
export type PolicyFn = (input: PolicyInput) => Policy;
