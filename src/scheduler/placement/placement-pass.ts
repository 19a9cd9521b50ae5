/** One pass over all requests, in order of priority, guarantee and queue. */

import type { BatchProfile } from './batch-profiles.js';
import type { CapacityDemand } from './free-capacity.js';
import type { PassRequest } from './pass-requests.js';
import type { RequestPlacer } from './request-placer.js';
import type { UngrantedTasks } from './ungranted-tasks.js';

/** What a pass works on. */
export interface PlacementPassInput {
  /** In the order in which they are served. */
  requests: readonly PassRequest[];
  /** Highest priority first; the pass takes them off the list. */
  batchProfiles: BatchProfile[];
  /** Mean jobs of each profile for which capacity is kept. */
  reservedJobsPerProfile: number;
  placer: RequestPlacer;
  ungrantedTasks: UngrantedTasks;
  now: number;
}

/** Decides which request is served when; `RequestPlacer` serves it. */
export class PlacementPass {
  /** Jobs that still have requests. */
  readonly waitingJobs = new Set<string>();
  private readonly servedEarly = new Set<string>();
  /** Requests of the present group that found too little where their image is. */
  private deferred: { entry: PassRequest; count: number }[] = [];

  constructor(private readonly input: PlacementPassInput) {}

  run(): void {
    let previous: PassRequest | null = null;
    for (const entry of this.input.requests) {
      if (previous && !isSameGroup(previous, entry)) this.placeDeferred();
      previous = entry;
      this.reserveForBatchProfiles(entry.request.priority);
      this.serve(entry);
    }
    this.placeDeferred();
  }

  /**
   * Work that can wait goes first where its image is, as long as nothing that can't wait is before it: a fetch keeps a
   * place about as long as a task does. What finds none takes its turn after the others of its group.
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

  /** Lower work leaves the capacity that the next job of a class with an objective on waiting will need. */
  private reserveForBatchProfiles(priority: number): void {
    const { batchProfiles, placer, reservedJobsPerProfile } = this.input;
    for (
      let profile = batchProfiles[0];
      profile && profile.request.priority < priority;
      profile = batchProfiles[0]
    ) {
      batchProfiles.shift();
      this.placeStarved(profile.request.priority);
      const request: CapacityDemand['request'] = {
        ...profile.request,
        avoidedMachines: [],
        preferredMachine: '',
        zoneAllowance: null,
      };
      placer.reserveCapacity({ request, count: Math.round(profile.meanTaskCount * reservedJobsPerProfile) });
    }
  }

  /** Not for ever, or lower work would wait beside free machines where the cloud has no more. */
  private placeStarved(profilePriority: number): void {
    const { requests, ungrantedTasks, placer, now } = this.input;
    for (const entry of requests) {
      const { request } = entry;
      if (!request.isStarved || request.priority <= profilePriority) continue;
      const count = ungrantedTasks.countOf(request, now);
      if (count <= 0) continue;
      placer.place(entry, count);
      this.servedEarly.add(request.jobId);
    }
  }
}

function isSameGroup(a: PassRequest, b: PassRequest): boolean {
  return a.request.priority === b.request.priority && a.isWithinGuarantee === b.isWithinGuarantee;
}
