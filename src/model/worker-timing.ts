/** Time limits that workers and controllers share. */

/** Time limits of workers that every controller uses. */
export interface WorkerTiming {
  heartbeatIntervalSeconds: number;
  /** A worker that gets no response to its heartbeats for this long has ended its tasks. */
  leaseSeconds: number;
  /** Maximum time from the confirmation of a job's cancellation to the end of its last task. */
  cancellationSeconds: number;
}
