/** The times that workers and controllers agree on. */

/** Times of workers that every controller keeps to. */
export interface WorkerTiming {
  heartbeatIntervalSeconds: number;
  /** A worker without an answer for so long has ended its tasks. */
  leaseSeconds: number;
  /** Most time from the confirmation of a cancellation to the end of the job's last task. */
  cancellationSeconds: number;
}
