/** Issues grants: slots on machines that shard owners assign to tasks. */

import type { Grant, PlacementSpec, ResourceRequest } from '../../model/placement.js';
import { createAllocation } from '../allocation.js';
import type { ClusterState, OwnerRequest } from '../cluster-state.js';
import type { Machine } from '../machine.js';
import type { SchedulerOptions } from '../scheduler-options.js';

/** Task index of a grant's allocation: the shard owner decides later which task uses the slot. */
const NO_TASK_INDEX = -1;

/** Issues grants, each with an allocation that holds its slot, and sends the grants of a pass together. */
export class GrantIssuer {
  private lastGrantId = 0;
  /** Grants issued since the last `sendAll`, by the instance that gets them. */
  private readonly unsent = new Map<string, Grant[]>();

  constructor(
    private readonly options: SchedulerOptions,
    private readonly state: ClusterState,
  ) {}

  /** Grants one slot to the shard owner of the request; the next `sendAll` sends the grant. */
  issue(machine: Machine, { request, instanceId }: OwnerRequest, now: number): void {
    const id = ++this.lastGrantId;
    this.allocate(machine, grantedPlacement(machine, request, id), now);
    const exitedTasks = machine.exitedTasks.get(request.jobId)?.tasks;
    const grant: Grant = {
      id,
      jobId: request.jobId,
      team: request.team,
      machine: machine.name,
      zone: machine.zone,
      workerEpoch: machine.workerEpoch,
      ...(exitedTasks && { exitedTasks: [...exitedTasks] }),
    };
    const grants = this.unsent.get(instanceId);
    if (grants) grants.push(grant);
    else this.unsent.set(instanceId, [grant]);
  }

  /** Sends the grants issued since the last call, in one message per shard owner. */
  sendAll(): void {
    for (const [instanceId, grants] of this.unsent)
      this.options.send(instanceId, { type: 'grants', fencingToken: this.state.fencingToken, grants });
    this.unsent.clear();
  }

  private allocate(machine: Machine, placement: PlacementSpec, now: number): void {
    const { grantId, jobId } = placement;
    const allocation = createAllocation(placement, now);
    allocation.key = `grant#${grantId}`;
    allocation.desiredState = 'granted';
    machine.allocations.set(allocation.key, allocation);
    this.state.invalidateTotals(machine);
    this.state.machinesByGrant.set(grantId, machine);
    const openGrants = this.state.openGrants.get(jobId);
    if (openGrants) openGrants.add(grantId);
    else this.state.openGrants.set(jobId, new Set([grantId]));
  }
}

function grantedPlacement(machine: Machine, request: ResourceRequest, grantId: number): PlacementSpec {
  return {
    jobId: request.jobId,
    taskIndex: NO_TASK_INDEX,
    attempt: 0,
    machine: machine.name,
    workerEpoch: machine.workerEpoch,
    desiredState: 'run',
    gracePeriodSeconds: 0,
    team: request.team,
    priority: request.priority,
    isGang: request.isGang,
    isService: request.isService,
    cpus: request.cpus,
    gpus: request.gpus,
    memoryGb: request.memoryGb,
    image: request.image,
    imageGb: request.imageGb,
    estimatedRunSeconds: request.estimatedRunSeconds,
    machineTypes: request.machineTypes,
    spreadOverZones: request.zoneAllowance !== null,
    grantId,
  };
}
