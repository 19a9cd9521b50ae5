/** Estimates the demand of the next job of each class that has a wait-time objective. */

import type { ResourceRequest } from '../../model/placement.js';
import type { WaitObjectives } from './wait-objectives.js';

/** Weights of the exponential moving average of the task counts of a class. */
const MEAN_WEIGHT = 0.9;
const NEWEST_WEIGHT = 0.1;

/** The newest request of a class, and the moving average of the task counts of the class's jobs. */
export interface BatchProfile {
  request: ResourceRequest;
  meanTaskCount: number;
}

/** Keeps a profile of each job class with a wait-time objective, updated from requests of array jobs. */
export class BatchProfiles {
  private readonly profiles = new Map<string, BatchProfile>();

  constructor(private readonly objectives: WaitObjectives) {}

  /** Updates the profiles with the requests of new jobs; jobs in `knownJobs` were counted before. */
  observe(requests: readonly ResourceRequest[], knownJobs: ReadonlySet<string>): void {
    for (const request of requests) {
      const { jobId, jobClass, taskCount } = request;
      if (request.isService || request.isGang) continue;
      if (knownJobs.has(jobId) || !this.objectives.hasObjective(jobClass)) continue;
      const previous = this.profiles.get(jobClass);
      const meanTaskCount = previous
        ? previous.meanTaskCount * MEAN_WEIGHT + taskCount * NEWEST_WEIGHT
        : taskCount;
      this.profiles.set(jobClass, { request, meanTaskCount });
    }
  }

  /** All profiles, highest priority first. */
  byPriority(): BatchProfile[] {
    return [...this.profiles.values()].sort((a, b) => a.request.priority - b.request.priority);
  }
}
