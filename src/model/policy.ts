/** What operators may set by expressions; `src/config/policy.ts` reads them and knows the operators' names. */

/** The names that expressions may use, with the cluster's present values. */
export interface PolicyInput {
  services: number;
  serviceCpus: number;
  queuedTasks: number;
  queuedCpus: number;
  runningBatchTasks: number;
  machines: number;
  heartbeatIntervalSeconds: number;
  leaseSeconds: number;
  bootSeconds: number;
}

/** The results of the expressions. */
export interface Policy {
  /** Service replicas that find capacity at once, beyond those running. */
  reserveReplicas: number;
  /** Free capacity kept for classes with an objective on waiting, as a multiple of their mean job. */
  reserveBatchJobs: number;
  /** Seconds a machine may stand empty before it is returned. */
  maxIdleSeconds: number;
  /** Seconds over which boot and image fetch of a rented machine are paid off. */
  amortizationSeconds: number;
  /** The same for machines rented for services, which stay longer. */
  serviceAmortizationSeconds: number;
  /** Multiple of the type's boot time after which a machine that is not up is given up. */
  maxBootTimeFactor: number;
  /** Seconds of silence after which a machine is deleted to settle its tasks. */
  unresponsiveSeconds: number;
  /** Share of the machines that may fall silent at once before the controller suspects itself. */
  maxUnresponsiveShare: number;
  /** Tasks of one job asked for at a time. */
  maxTasksPerRequest: number;
  /** Seconds between moves of teams among controllers. */
  rebalanceIntervalSeconds: number;
  /** Seconds that work which waits behind running tasks is left waiting before machines are rented for it. */
  minRentalWaitSeconds: number;
}

/** Evaluates all expressions. */
export type PolicyFn = (input: PolicyInput) => Policy;
