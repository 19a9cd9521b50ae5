/** A running task as a request of its own. */

import type { PlacementSpec, ResourceRequest } from '../../model/placement.js';

/** What one more task like this would ask for, as far as its placement tells. */
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
