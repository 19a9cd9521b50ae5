/** Determines which work needs no new machine because running tasks will end soon enough. */

import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON } from '../../model/resources.js';
import { type Allocation, usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { CapacityDemand } from '../placement/free-capacity.js';
import { OBJECTIVE_MARGIN_SHARE } from '../placement/wait-objectives.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { cheapestOffer, currentPricing, type PricingInput, startupSeconds } from './rental-pricing.js';

/** Capacity that running tasks free later than this from now is not taken into account. */
const MAX_WAIT_SECONDS = 120;
/**
 * Share of a machine's startup time for which work always waits; less than 1, as other work competes for
 * freed capacity.
 */
const STARTUP_TIME_SHARE = 0.7;
/**
 * Minimum remaining run time assumed for a running task, as a share of its estimate: a task that has exceeded
 * its estimate is likely to go on.
 */
const MIN_REMAINING_SHARE = 0.3;
/**
 * Multiples of the estimated run time and of the startup time that must be left until the objective if
 * waiting for capacity fails.
 */
const RUN_TIME_MARGIN = 1.2;
const STARTUP_TIME_MARGIN = 1.5;

const LOWEST_PRIORITY = 3;

/**
 * Returns the demand that can't wait for capacity of running tasks. Tasks are assumed to end as estimated.
 * The capacity that they free is taken by the first request that can wait for it, and becomes free again when
 * that request's task has run.
 */
export function withoutWaitableDemand(
  options: SchedulerOptions,
  state: ClusterState,
  { unplaced, now }: { unplaced: readonly CapacityDemand[]; now: number },
): CapacityDemand[] {
  const timeline = new FreedCpuTimeline();
  addRunningTasks(timeline, state, now);
  const pricing = currentPricing(options, state, now);
  const remaining: CapacityDemand[] = [];
  for (const demand of unplaced) {
    const count = canWait(demand.request)
      ? timeline.takeWithin(demand, maxRentalWaitSeconds(demand, state, pricing))
      : demand.count;
    if (count > 0) remaining.push({ request: demand.request, count });
  }
  return remaining;
}

function canWait(request: ResourceRequest): boolean {
  return !request.isService && !request.isGang && request.cpus > 0 && request.spotAllowed;
}

/** CPUs that become free in each second from now on, by the priority of the work that frees them. */
class FreedCpuTimeline {
  private readonly freedByPriority = Array.from(
    { length: LOWEST_PRIORITY + 1 },
    () => new Float64Array(MAX_WAIT_SECONDS + 1),
  );

  add(priority: number, inSeconds: number, cpus: number): void {
    const second = Math.max(0, Math.ceil(inSeconds));
    const freed = this.freedByPriority[priority];
    if (freed && second <= MAX_WAIT_SECONDS) freed[second] = (freed[second] ?? 0) + cpus;
  }

  /** Assigns tasks of a demand to CPUs that become free within `seconds`; returns how many tasks are left. */
  takeWithin({ request, count }: CapacityDemand, seconds: number): number {
    const remainingDemand = { request, count };
    for (let second = 0; second <= seconds && remainingDemand.count > 0; second++)
      // CPUs freed by higher-priority work are not taken: other work of that priority takes them next.
      for (
        let priority = LOWEST_PRIORITY;
        priority >= request.priority && remainingDemand.count > 0;
        priority--
      )
        remainingDemand.count -= this.takeAt(second, priority, remainingDemand);
    return remainingDemand.count;
  }

  private takeAt(second: number, priority: number, { request, count }: CapacityDemand): number {
    const freed = this.freedByPriority[priority];
    const cpus = freed?.[second];
    if (!freed || cpus === undefined) return 0;
    const tasks = Math.min(count, Math.floor(cpus / request.cpus + EPSILON));
    if (tasks <= 0) return 0;
    freed[second] = cpus - tasks * request.cpus;
    this.add(request.priority, second + Math.max(1, request.estimatedRunSeconds), tasks * request.cpus);
    return tasks;
  }
}

function addRunningTasks(timeline: FreedCpuTimeline, state: ClusterState, now: number): void {
  for (const machine of state.machines.values()) {
    if (machine.totals.batchTasks === 0 || machine.isBeingDeleted || machine.evictionDeadline !== null)
      continue;
    for (const allocation of machine.allocations.values()) {
      if (allocation.isService || !usesCapacity(allocation) || allocation.estimatedRunSeconds <= 0) continue;
      timeline.add(allocation.priority, remainingSeconds(allocation, state, now), allocation.cpus);
    }
  }
}

function remainingSeconds(allocation: Allocation, state: ClusterState, now: number): number {
  const { estimatedRunSeconds } = allocation;
  const remaining =
    allocation.reportedStatus?.phase === 'running'
      ? estimatedRunSeconds - (now - allocation.phaseSince) / 1000
      : estimatedRunSeconds + state.imageFetchSeconds(allocation) / 2;
  return Math.max(remaining, estimatedRunSeconds * MIN_REMAINING_SHARE);
}

/** How long work may wait for capacity to become free before machines are rented for it. */
function maxRentalWaitSeconds(
  { request, count }: CapacityDemand,
  state: ClusterState,
  pricing: PricingInput,
): number {
  const offer = cheapestOffer(pricing, request, count);
  const offerStartupSeconds = offer ? startupSeconds(offer.type, request) : 0;
  const margin = (request.objectiveSeconds ?? 0) * OBJECTIVE_MARGIN_SHARE;
  // An on-demand machine costs several times as much as a spot machine: it is rented only when the objective
  // itself is at risk. In both cases there must be time left to rent if waiting fails.
  const spareSeconds =
    offer && !offer.isSpot && request.slackSeconds !== null
      ? request.slackSeconds -
        margin / 2 -
        RUN_TIME_MARGIN * request.estimatedRunSeconds -
        STARTUP_TIME_MARGIN * offerStartupSeconds
      : (request.maxWaitSeconds ?? 0) - offerStartupSeconds;
  // Capacity that becomes free before a machine rented now would be up is as good as that machine.
  const waitSeconds = Math.max(
    state.policy.rentalWaitFloorSeconds,
    offerStartupSeconds * STARTUP_TIME_SHARE,
    spareSeconds,
  );
  return Math.min(MAX_WAIT_SECONDS, waitSeconds);
}
