/** Which work needs no machine, since running tasks will end soon enough. */

import type { ResourceRequest } from '../../model/placement.js';
import { EPSILON } from '../../model/resources.js';
import { type Allocation, usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { CapacityDemand } from '../placement/free-capacity.js';
import { OBJECTIVE_MARGIN_SHARE } from '../placement/wait-objectives.js';
import type { SchedulerOptions } from '../scheduler-options.js';
import { cheapestOffer, currentPricing, type PricingInput, startupSeconds } from './rental-pricing.js';

/** How far ahead places that come free are counted on. */
const MAX_WAIT_SECONDS = 120;
/** Others come for places that come free: share of a startup time within which one is counted on. */
const STARTUP_TIME_SHARE = 0.7;
/** A task that has outrun its estimate is likely to go on for this share of it. */
const MIN_REMAINING_SHARE = 0.3;
/** Multiples of the estimated run and of the startup time that must be left when waiting for a place has failed. */
const RUN_TIME_MARGIN = 1.2;
const STARTUP_TIME_MARGIN = 1.5;

const LOWEST_PRIORITY = 3;

/**
 * Demand without what will take the places of running tasks. Places come free as estimates say, each is taken by the first
 * request that can wait for it, and comes free again when that one's task has run.
 */
export function withoutWaitable(
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
      ? timeline.takeWithin(demand, patienceSeconds(demand, state, pricing))
      : demand.count;
    if (count > 0) remaining.push({ request: demand.request, count });
  }
  return remaining;
}

function canWait(request: ResourceRequest): boolean {
  return !request.isService && !request.isGang && request.cpus > 0 && request.spotAllowed;
}

/** CPUs that come free in each second from now on, by the priority of the work that frees them. */
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

  /** Takes places that come free within this time; returns how many tasks are left without. */
  takeWithin({ request, count }: CapacityDemand, seconds: number): number {
    const open = { request, count };
    for (let second = 0; second <= seconds && open.count > 0; second++)
      // Not what higher work frees: that is taken by its own next.
      for (let priority = LOWEST_PRIORITY; priority >= request.priority && open.count > 0; priority--)
        open.count -= this.takeAt(second, priority, open);
    return open.count;
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

/** So long work may wait for places to come free before machines are rented for it. */
function patienceSeconds(
  { request, count }: CapacityDemand,
  state: ClusterState,
  pricing: PricingInput,
): number {
  const offer = cheapestOffer(pricing, request, count);
  const startup = offer ? startupSeconds(offer.type, request) : 0;
  const margin = (request.objectiveSeconds ?? 0) * OBJECTIVE_MARGIN_SHARE;
  // An ordinary machine costs several times a spot instance: not before the objective itself is in danger. Either way
  // there must be time left to rent when waiting fails.
  const spareSeconds =
    offer && !offer.isSpot && request.slackSeconds !== null
      ? request.slackSeconds -
        margin / 2 -
        RUN_TIME_MARGIN * request.estimatedRunSeconds -
        STARTUP_TIME_MARGIN * startup
      : (request.maxWaitSeconds ?? 0) - startup;
  // A place that comes free before a machine rented now would be up is as good as that machine.
  const patience = Math.max(state.policy.minRentalWaitSeconds, startup * STARTUP_TIME_SHARE, spareSeconds);
  return Math.min(MAX_WAIT_SECONDS, patience);
}
