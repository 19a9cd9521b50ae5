import type { JobSpec } from '../../src/model/job.js';

/** A job for odd requests as long as there is none. */
export const DEFAULT_JOB_SPEC: JobSpec = {
  id: '',
  jobClass: 'c',
  team: 'red',
  kind: 'array',
  priority: 2,
  taskCount: 1,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'i',
  imageGb: 1,
  machineTypes: null,
  zone: null,
  zoneAffinity: false,
  zoneAntiAffinity: false,
  spotAllowed: true,
  estimatedRunSeconds: 1,
  checkpointIntervalSeconds: 0,
  checkpointSaveSeconds: 0,
  deadlineSeconds: null,
  acceptedAtMs: 0,
};
