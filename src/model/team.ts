/** Teams with their quotas, and the operators' service-level objectives. */

/** A team with its guaranteed share and its quota, both for all its tasks at a time. */
export interface Team {
  name: string;
  guaranteedCpus: number;
  /** 0: no quota on CPUs; the same of `maxGpus`. */
  maxCpus: number;
  guaranteedGpus: number;
  maxGpus: number;
}

/** A service-level objective of the operators. */
export interface ServiceLevelObjective {
  /** What is to have happened in time: `finished`, or another word that the settings have. */
  kind: string;
  jobClass: string;
  withinSeconds: number;
}
