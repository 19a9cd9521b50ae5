/** One pass over all requests, by priority, guaranteed share, missed objectives and queue position. */

import type { BatchForecast } from './batch-profiles.js';
import type { CapacityDemand } from './free-capacity.js';
import type { PassRequest } from './pass-requests.js';
import type { RequestPlacer } from './request-placer.js';
import type { UngrantedTasks } from './ungranted-tasks.js';

/** Input of a placement pass. */
export interface PlacementPassInput {
  /** Requests of all shard owners, in the order in which they are served. */
  requests: readonly PassRequest[];
  /**
   * Forecasts of batch jobs, highest priority first; the pass removes those for which it has set capacity
   * aside.
   */
  batchForecasts: BatchForecast[];
  /** Number of jobs with the forecast task count for which capacity is set aside, per job class. */
  reservedJobsPerClass: number;
  placer: RequestPlacer;
  ungrantedTasks: UngrantedTasks;
  now: number;
}

/** Decides in which order requests are served; `RequestPlacer` places their tasks. */
export class PlacementPass {
  /** Jobs that have requests in this pass. */
  readonly waitingJobs = new Set<string>();
  /**
   * Jobs placed before their turn because they were starved: none of their tasks had found capacity for long.
   */
  private readonly servedEarly = new Set<string>();
  /** Requests of the current group that were placed on warm machines only, with their remaining tasks. */
  private deferred: { entry: PassRequest; count: number }[] = [];

  constructor(private readonly input: PlacementPassInput) {}

  run(): void {
    let previous: PassRequest | null = null;
    for (const entry of this.input.requests) {
      if (previous && !isSameGroup(previous, entry)) this.placeDeferred();
      previous = entry;
      this.reserveForForecasts(entry.request.priority);
      this.serve(entry);
    }
    this.placeDeferred();
  }

  /**
   * Serves a request in its turn. If it is neither a service nor a gang and can wait, its turn is limited to
   * warm machines, which already hold its image: an image fetch occupies a slot for about as long as a task
   * does. The remaining tasks are placed after the other requests of the group, which share its priority and
   * are all within or all beyond guaranteed shares.
   */
  private serve(entry: PassRequest): void {
    const { request } = entry;
    this.waitingJobs.add(request.jobId);
    const { ungrantedTasks, placer, now } = this.input;
    const count = this.servedEarly.has(request.jobId) ? 0 : ungrantedTasks.countOf(request, now);
    if (count <= 0) return;
    if (request.isService || request.isGang || (request.maxWaitSeconds ?? 0) <= 0) placer.place(entry, count);
    else this.deferred.push({ entry, count: placer.placeOnWarmMachines(entry, count) });
  }

  private placeDeferred(): void {
    for (const { entry, count } of this.deferred) this.input.placer.place(entry, count);
    this.deferred = [];
  }

  /**
   * Sets capacity aside for the forecast jobs of higher priority than this one, before requests of this
   * priority are served. What concerns only the newest job of a class is left out: excluded and preferred
   * machines, and the zones that its tasks already use.
   */
  private reserveForForecasts(priority: number): void {
    const { batchForecasts, placer, reservedJobsPerClass } = this.input;
    for (
      let forecast = batchForecasts[0];
      forecast && forecast.request.priority < priority;
      forecast = batchForecasts[0]
    ) {
      batchForecasts.shift();
      this.placeStarved(forecast.request.priority);
      const request: CapacityDemand['request'] = {
        ...forecast.request,
        avoidedMachines: [],
        preferredMachine: '',
        zoneAllowance: null,
      };
      placer.reserveCapacity({ request, count: Math.round(forecast.meanTaskCount * reservedJobsPerClass) });
    }
  }

  /**
   * Places starved requests of lower priority than a forecast before capacity is set aside for the forecast:
   * otherwise they would wait forever beside free machines while the cloud has no more to rent.
   */
  private placeStarved(forecastPriority: number): void {
    const { requests, ungrantedTasks, placer, now } = this.input;
    for (const entry of requests) {
      const { request } = entry;
      if (!request.isStarved || request.priority <= forecastPriority) continue;
      const count = ungrantedTasks.countOf(request, now);
      if (count <= 0) continue;
      placer.place(entry, count);
      this.servedEarly.add(request.jobId);
    }
  }
}

/** Whether two requests have the same priority and are both within or both beyond guaranteed shares. */
function isSameGroup(one: PassRequest, other: PassRequest): boolean {
  return one.request.priority === other.request.priority && one.isWithinGuarantee === other.isWithinGuarantee;
}
