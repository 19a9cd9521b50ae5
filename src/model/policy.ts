/** What operators may set by expressions; `src/config/policy.ts` reads them. */

/** The names that expressions may use, with the cluster's present values. Keys are operators' names, hence their spelling. */
export interface PolicyInput {
  services: number;
  service_cpus: number;
  queued: number;
  queued_cpus: number;
  batch_running: number;
  machines: number;
  report_s: number;
  lease_s: number;
  boot_s: number;
}

/** The results of the expressions. Keys are operators' names, hence their spelling. */
export interface Policy {
  /** Service replicas that find capacity at once, beyond those running. */
  reserve_replicas: number;
  /** Free capacity kept for classes with an objective on waiting, as a multiple of their mean job. */
  reserve_batch: number;
  /** Seconds a machine may stand empty before it is returned. */
  idle_s: number;
  /** Seconds over which boot and image fetch of a rented machine are paid off. */
  amortize_s: number;
  /** The same for machines rented for services, which stay longer. */
  amortize_service_s: number;
  /** Multiple of the type's boot time after which a machine that is not up is given up. */
  boot_patience: number;
  /** Seconds of silence after which a machine is deleted to settle its tasks. */
  silent_s: number;
  /** Share of the machines that may fall silent at once before the controller suspects itself. */
  silent_share: number;
  /** Tasks of one job asked for at a time. */
  batch_tasks: number;
  /** Seconds between moves of teams among controllers. */
  parting_s: number;
  /** Seconds that work which waits behind running tasks is left waiting before machines are rented for it. */
  patience_s: number;
}

/** Evaluates all expressions. */
export type PolicyFn = (input: PolicyInput) => Policy;
