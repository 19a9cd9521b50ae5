/** Forecasts the demand of the next batch job of each class that has a wait-time objective. */

import type { ResourceRequest } from '../../model/placement.js';
import type { WaitObjectives } from './wait-objectives.js';

/** Weights of the previous mean and of the newest task count in the exponential moving average of a class. */
const PREVIOUS_MEAN_WEIGHT = 0.9;
const NEWEST_WEIGHT = 0.1;

/**
 * The newest request of a job class, and the moving average of the class's task counts. These are counts of
 * requested tasks, which the team's quota and `maxTasksPerRequest` limit, so a job may be larger.
 */
export interface BatchForecast {
  request: ResourceRequest;
  meanTaskCount: number;
}

/** Keeps a forecast for each job class with a wait-time objective; services and gangs are not counted. */
export class BatchForecasts {
  private readonly forecasts = new Map<string, BatchForecast>();

  constructor(private readonly objectives: WaitObjectives) {}

  /**
   * Updates the forecasts with the requests of jobs that are not in `previousJobs`, the jobs of the owner's
   * previous list of requests. A job that leaves the list and returns is counted again.
   */
  observe(requests: readonly ResourceRequest[], previousJobs: ReadonlySet<string>): void {
    for (const request of requests) {
      const { jobId, jobClass, taskCount } = request;
      if (request.isService || request.isGang) continue;
      if (previousJobs.has(jobId) || !this.objectives.hasObjective(jobClass)) continue;
      const previous = this.forecasts.get(jobClass);
      const meanTaskCount = previous
        ? previous.meanTaskCount * PREVIOUS_MEAN_WEIGHT + taskCount * NEWEST_WEIGHT
        : taskCount;
      this.forecasts.set(jobClass, { request, meanTaskCount });
    }
  }

  /**
   * All forecasts of the next batch jobs, highest priority first (0 is the highest), by the priority of the
   * newest request of the class.
   */
  byPriority(): BatchForecast[] {
    return [...this.forecasts.values()].sort((a, b) => a.request.priority - b.request.priority);
  }
}
