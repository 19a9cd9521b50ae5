/** Job specifications for tests. */

import type { JobSpec } from '../../src/model/job.js';

/** A single-task job of team red. */
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

/**
 * Returns an array job of three tasks, numbered by the jobs submitted so far; each field can be overridden.
 */
export function makeJobSpec(
  { jobs }: { jobs: ReadonlyMap<string, unknown> },
  overrides: Partial<JobSpec>,
): JobSpec {
  return {
    ...DEFAULT_JOB_SPEC,
    id: `wk-${String(jobs.size + 1).padStart(6, '0')}`,
    taskCount: 3,
    image: 'img-1',
    estimatedRunSeconds: 5,
    ...overrides,
  };
}
