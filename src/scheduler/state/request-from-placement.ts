/** Derives a resource request from a placement. */

import type { PlacementSpec, ResourceRequest } from '../../model/placement.js';

/**
 * The resource request of one more task like this placement; what a placement does not contain gets a neutral
 * value.
 */
export function requestFromPlacement(placement: Omit<PlacementSpec, 'desiredState'>): ResourceRequest {
  return {
    jobId: placement.jobId,
    team: placement.team,
    jobClass: '',
    priority: placement.priority,
    queuePosition: 0,
    missedObjectives: 0,
    taskCount: 1,
    isGang: false,
    isService: placement.isService,
    cpus: placement.cpus,
    gpus: placement.gpus,
    memoryGb: placement.memoryGb,
    image: placement.image,
    imageGb: placement.imageGb,
    estimatedRunSeconds: placement.estimatedRunSeconds,
    machineTypes: placement.machineTypes,
    spotAllowed: false,
    zone: null,
    zoneAffinity: false,
    zoneAllowance: null,
    defaultZoneAllowance: 1,
    avoidedMachines: [],
    preferredMachine: '',
    maxWaitSeconds: null,
    objectiveSeconds: null,
    slackSeconds: null,
    lastProcessedGrantId: 0,
  };
}
