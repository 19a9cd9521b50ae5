import type { JobSpec } from '../../src/core/types.js';

/** A job for odd requests as long as there is none. */
export const ODD_JOB: JobSpec = {
  id: '',
  cls: 'c',
  team: 'red',
  shape: 'array',
  rank: 2,
  tasks: 1,
  cpus: 1,
  gpus: 0,
  mem: 1,
  image: 'i',
  imageGb: 1,
  types: null,
  zone: null,
  together: false,
  apart: false,
  spot: true,
  estimateS: 1,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  at: 0,
};
