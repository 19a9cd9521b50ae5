/**
 * The operators' policy: parameters that are set by expressions over values of the cluster.
 * `src/config/policy.ts` reads and compiles the expressions, and maps the operators' names to the fields
 * here.
 */

/**
 * The values that policy expressions can refer to; all are numbers. Those that describe the cluster are what
 * the leader knows at the time of evaluation.
 */
export interface PolicyInput {
  /** Number of service replicas that hold capacity on a machine. */
  serviceReplicas: number;
  /** CPUs that service replicas hold on machines. */
  serviceCpus: number;
  /**
   * Number of tasks in the current resource requests of all shard owners. Except for gangs, a request covers
   * at most `maxTasksPerRequest` tasks of its job, and never more than the team's quota leaves room for, so a
   * long queue counts only in part.
   */
  queuedTasks: number;
  /** CPUs that the tasks in the current resource requests need. */
  queuedCpus: number;
  /** Number of tasks of array and gang jobs that hold capacity on a machine. */
  runningBatchTasks: number;
  /** Number of machines that the leader knows of, including those that boot or are being deleted. */
  machines: number;
  heartbeatIntervalSeconds: number;
  leaseSeconds: number;
  /**
   * Boot time of the machine type that boots fastest; in the evaluation of `maxIdleSeconds`, that of the
   * machine's own type.
   */
  bootSeconds: number;
}

/** The results of the policy expressions. */
export interface Policy {
  /** Number of service replicas, beyond those that hold capacity, for which free capacity is kept. */
  reserveReplicas: number;
  /**
   * Free capacity kept from lower-priority work for array job classes with an objective on waiting time, in
   * multiples of the mean number of tasks of a class's jobs.
   */
  reserveBatchJobs: number;
  /**
   * Seconds that a machine may be idle before it is deleted, unless queued work or the service reserve
   * (capacity kept free for new replicas) needs it. Half of that applies to a surplus machine: one that is
   * not a spot machine and not set aside for the reserve, while capacity has not been short recently.
   */
  maxIdleSeconds: number;
  /** Seconds over which the boot and image fetch times of a rented machine are amortized. */
  amortizationSeconds: number;
  /**
   * Seconds over which the boot and image fetch times of a machine rented for services are amortized; service
   * replicas stay longer than other tasks.
   */
  serviceAmortizationSeconds: number;
  /**
   * Multiple of the machine type's boot time after which a machine that is still not up is deleted, unless
   * tasks are placed on it or it was heard recently.
   */
  maxBootTimeFactor: number;
  /**
   * Seconds without a heartbeat after which a machine that does not answer direct commands either may be
   * deleted, which finalizes its tasks. A machine that seems not to receive the responses to its heartbeats
   * counts as unresponsive, too. The failure detector (src/scheduler/failure-detector.ts) keeps the machine
   * nevertheless while this controller or the network seems to be at fault, or while its replicas would find
   * no capacity elsewhere.
   */
  unresponsiveSeconds: number;
  /**
   * Share of the machines that may be unresponsive at once before the controller suspects a fault of its own.
   * It does so only if the unresponsive machines also outnumber the others and a small fixed number, and
   * peers cannot confirm that the machines are at fault. If no machine at all is heard, the controller also
   * suspects itself for fewer machines, as long as another controller may hear more.
   */
  maxUnresponsiveShare: number;
  /**
   * Maximum number of tasks of one job per resource request; a gang requests all its tasks at once. Evaluated
   * only once, at startup.
   */
  maxTasksPerRequest: number;
  /** Minimum time between two rebalances of the teams' shards among the controllers, in seconds. */
  rebalanceIntervalSeconds: number;
  /**
   * Lower bound of the seconds that a request may wait for capacity held by running tasks before machines are
   * rented for it. A request may wait longer if its objective allows it. A fixed maximum applies to both.
   * Only array jobs that may use spot machines wait; machines for other work are rented without this wait.
   */
  rentalWaitFloorSeconds: number;
}

/** Evaluates all policy expressions. */
export type PolicyFn = (input: PolicyInput) => Policy;

/**
 * Policy input with which `maxTasksPerRequest` is evaluated: an idle cluster, with times that are examples
 * and not those of the settings. It is evaluated only once, at startup, so an expression that depends on the
 * cluster's state always has its value for this input.
 */
const IDLE_CLUSTER: PolicyInput = {
  serviceReplicas: 0,
  serviceCpus: 0,
  queuedTasks: 0,
  queuedCpus: 0,
  runningBatchTasks: 0,
  machines: 0,
  heartbeatIntervalSeconds: 3,
  leaseSeconds: 30,
  bootSeconds: 30,
};

/** Returns the maximum number of tasks of one job per resource request. */
export function maxTasksPerRequest(policy: PolicyFn): number {
  return Math.max(1, Math.round(policy(IDLE_CLUSTER).maxTasksPerRequest));
}
