/** What the next job of a class with an objective on waiting is likely to need. */

import type { ResourceRequest } from '../../model/placement.js';
import type { WaitObjectives } from './wait-objectives.js';

/** How a class's mean number of tasks follows its newest job. */
const MEAN_WEIGHT = 0.9;
const NEWEST_WEIGHT = 0.1;

/** The newest job of a class, and the mean number of tasks of its jobs. */
export interface BatchProfile {
  request: ResourceRequest;
  meanTaskCount: number;
}

/** Learns profiles from the jobs that come. */
export class BatchProfiles {
  private readonly profiles = new Map<string, BatchProfile>();

  constructor(private readonly objectives: WaitObjectives) {}

  /** Jobs in `knownJobs` have been learnt from before. */
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

  /** Highest priority first. */
  byPriority(): BatchProfile[] {
    return [...this.profiles.values()].sort((a, b) => a.request.priority - b.request.priority);
  }
}
