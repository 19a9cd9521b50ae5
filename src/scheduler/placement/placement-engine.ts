/** Places the tasks that shard owners request on free capacity. */

import type { ResourceRequest } from '../../model/placement.js';
import { RateLimitedLog } from '../../model/rate-limited-log.js';
import type { ClusterState } from '../cluster-state.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { AttemptConflicts } from './attempt-conflicts.js';
import { BatchForecasts } from './batch-profiles.js';
import type { CapacityDemand } from './free-capacity.js';
import { GangReservations } from './gang-reservations.js';
import { GrantIssuer } from './grant-issuer.js';
import { JobConditionTimes } from './job-condition-times.js';
import { orderedRequests } from './pass-requests.js';
import { PlacementPass } from './placement-pass.js';
import { Preemption } from './preemption.js';
import { type PlacementContext, RequestPlacer } from './request-placer.js';
import { findScarceZone } from './scarce-zone.js';
import { UngrantedTasks } from './ungranted-tasks.js';
import { maxWaitSeconds, WaitObjectives } from './wait-objectives.js';

/**
 * Minimum time between updates of the scarce zone (see `findScarceZone`): each update looks at every machine.
 */
const SCARCE_ZONE_INTERVAL_MS = 1000;

/** Runs placement passes and keeps the state that the passes share. */
export class PlacementEngine {
  /** Until when jobs whose shard owner has declined grants get no new ones, in monotonic ms. */
  readonly declinedUntil = new Map<string, number>();
  private readonly context: PlacementContext;
  private readonly batchForecasts: BatchForecasts;
  private readonly ungrantedTasks: UngrantedTasks;
  private readonly log: RateLimitedLog;

  constructor(
    options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {
    const objectives = new WaitObjectives(options.objectives);
    const unplacedSince = new JobConditionTimes();
    this.context = {
      options,
      state,
      objectives,
      unplacedSince,
      nothingPlacedSince: new JobConditionTimes(),
      grants: new GrantIssuer(options, state),
      preemption: new Preemption(options, state, (jobId) => unplacedSince.get(jobId)),
      gangReservations: new GangReservations(state),
      attemptConflicts: new AttemptConflicts(state, (reason) => options.raiseFencingToken(reason)),
    };
    this.batchForecasts = new BatchForecasts(objectives);
    this.ungrantedTasks = new UngrantedTasks(state, this.declinedUntil);
    this.log = new RateLimitedLog(options.log, options.clock);
  }

  /** Replaces all requests of a shard owner, and sets how long each of them can wait. */
  setRequests(instanceId: string, requests: ResourceRequest[]): void {
    const previousJobs = new Set(this.state.requests.get(instanceId)?.map((request) => request.jobId));
    for (const request of requests)
      request.maxWaitSeconds = maxWaitSeconds(request, this.state.imageFetchSeconds(request));
    this.batchForecasts.observe(requests, previousJobs);
    this.state.requests.set(instanceId, requests);
    for (const request of requests) if (request.isService) this.state.recordServiceProfile(request);
  }

  /** Serves all requests once. Returns the tasks for which machines should be rented. */
  runPass(now: number): CapacityDemand[] {
    this.beginPass(now);
    const usage = this.state.usage();
    const requests = orderedRequests(this.state, this.context, { usage, now });
    const placer = new RequestPlacer(this.context, { usage, now });
    const pass = new PlacementPass({
      requests,
      batchForecasts: this.batchForecasts.byPriority(),
      reservedJobsPerClass: this.state.policy.reserveBatchJobs,
      placer,
      ungrantedTasks: this.ungrantedTasks,
      now,
    });
    pass.run();
    this.context.grants.sendAll();
    this.endPass(pass.waitingJobs, now);
    return placer.unplaced;
  }

  private beginPass(now: number): void {
    this.state.refreshTotals();
    this.context.preemption.beginPass();
    this.context.gangReservations.beginPass();
    this.context.attemptConflicts.beginPass();
    if (now - this.state.scarceZoneUpdatedAt <= SCARCE_ZONE_INTERVAL_MS) return;
    this.state.scarceZoneUpdatedAt = now;
    this.state.scarceZone = findScarceZone(this.state);
  }

  private endPass(waitingJobs: ReadonlySet<string>, now: number): void {
    this.context.gangReservations.endPass(waitingJobs);
    this.context.attemptConflicts.endPass(waitingJobs);
    this.context.unplacedSince.retain(waitingJobs);
    this.context.nothingPlacedSince.retain(waitingJobs);
    this.context.preemption.endPass(waitingJobs);
    this.endReservations(waitingJobs, now);
  }

  /** Ends reservations of freed capacity that have expired or whose job no longer waits. */
  private endReservations(waitingJobs: ReadonlySet<string>, now: number): void {
    for (const machine of this.state.machinesWithReservation) {
      const { reservation } = machine;
      const isJobWaiting = reservation !== null && waitingJobs.has(reservation.jobId);
      if (isJobWaiting && reservation.until > now) continue;
      if (isJobWaiting)
        this.log.info({ machine: machine.name, jobId: reservation.jobId }, 'freed capacity not used');
      machine.reservation = null;
      this.state.machinesWithReservation.delete(machine);
    }
  }
}
