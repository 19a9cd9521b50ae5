/** Teams with their quotas, and the operators' service-level objectives. */

export interface Team {
  name: string;
  guaranteedCpus: number;
  maxCpus: number;
  guaranteedGpus: number;
  maxGpus: number;
}

/** An operator's aim, as the settings restate it. */
export interface ServiceLevelObjective {
  kind: string;
  jobClass: string;
  withinSeconds: number;
}
