/** Determines the capacity to keep available for new replicas of services. */

import type { ResourceRequest } from '../../model/placement.js';
import { slotsIn } from '../../model/resources.js';
import { usesCapacity } from '../allocation.js';
import type { ClusterState } from '../cluster-state.js';
import type { CapacityDemand, FreeCapacity } from '../placement/free-capacity.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** A service profile that was not recorded again for this long requires no machine with its image. */
const MAX_PROFILE_AGE_MS = 600_000;

/**
 * The service reserve, the capacity to keep available for new replicas, expressed as demand of hypothetical
 * requests.
 */
export class ServiceReserve {
  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {}

  /**
   * Capacity that new replicas should find without waiting, divided over all zones if some service must be
   * spread. The requests are modelled on the service profile recorded last, without its image and its limit
   * to machine types. They belong to no job, so their job id is empty.
   */
  demand(): CapacityDemand[] {
    const profiles = [...this.state.serviceProfiles.values()].sort(
      (one, other) => other.recordedAt - one.recordedAt,
    );
    const [newest] = profiles;
    if (!newest || this.state.policy.reserveReplicas <= 0) return [];
    const replicas = Math.ceil(this.state.policy.reserveReplicas);
    const request: ResourceRequest = {
      ...newest.request,
      jobId: '',
      zone: null,
      machineTypes: null,
      avoidedMachines: [],
      preferredMachine: '',
      image: '',
      imageGb: 0,
    };
    if (!profiles.some((profile) => profile.request.zoneAllowance))
      return [{ request: { ...request, zoneAllowance: null }, count: replicas }];
    const zones = new Set(this.options.machineTypes().flatMap((machineType) => machineType.zones));
    const perZone = Math.max(1, Math.ceil(replicas / Math.max(1, zones.size)));
    return [...zones].map((zone) => ({
      request: { ...request, zone, zoneAllowance: {}, defaultZoneAllowance: perZone },
      count: perZone,
    }));
  }

  /**
   * Demand for slots on machines that already hold a service's image, as the service's next replicas will
   * need them: its share of the reserve, by its number of running replicas, and at least one.
   */
  warmDemand(now: number): CapacityDemand[] {
    const running = this.runningReplicasByImage();
    const demands: CapacityDemand[] = [];
    for (const { request, recordedAt } of this.state.serviceProfiles.values()) {
      if (now - recordedAt > MAX_PROFILE_AGE_MS) continue;
      const share = (running.get(request.image) ?? 0) / Math.max(1, this.state.totals.replicas);
      const count = Math.max(1, Math.ceil(this.state.policy.reserveReplicas * share));
      demands.push({ request, count });
    }
    return demands;
  }

  private runningReplicasByImage(): Map<string, number> {
    const running = new Map<string, number>();
    for (const machine of this.state.machines.values()) {
      if (machine.totals.replicas === 0) continue;
      for (const allocation of machine.allocations.values())
        if (allocation.isService && usesCapacity(allocation))
          running.set(allocation.image, (running.get(allocation.image) ?? 0) + 1);
    }
    return running;
  }
}

/**
 * How many replicas of the warm demand find no slot on a machine with their image and would wait for a fetch.
 */
export function coldReplicaCount(
  capacities: readonly FreeCapacity[],
  warmDemand: readonly CapacityDemand[],
): number {
  let cold = 0;
  for (const { request, count } of warmDemand) {
    let warm = 0;
    for (const capacity of capacities) {
      if (!capacity.isSpot && capacity.images?.has(request.image)) warm += slotsIn(capacity, request);
      if (warm >= count) break;
    }
    cold += Math.max(0, count - warm);
  }
  return cold;
}
