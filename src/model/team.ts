/** Teams with their quotas, and service-level objectives. */

/** A team with its guaranteed share and its quota, both for the sum over all its running tasks. */
export interface Team {
  name: string;
  guaranteedCpus: number;
  /** Quota of CPUs; 0: unlimited. The same applies to `maxGpus`. */
  maxCpus: number;
  guaranteedGpus: number;
  maxGpus: number;
}

/** A service-level objective set by the operators. */
export interface ServiceLevelObjective {
  /** The event that the objective is on: `finished`, or another name used in the settings. */
  kind: string;
  jobClass: string;
  withinSeconds: number;
}
