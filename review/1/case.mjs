/**
 * A job runs on three of eight cheap machines. The cloud takes these three back without notice; the others are idle,
 * and the service returns them. The job's tasks must be started again.
 */

import { fileURLToPath } from 'node:url';
import { CannotRun, runCase, sleep, until } from '../lib/deployment.mjs';
import { job, TYPES, trivediSite } from '../lib/trivedi.mjs';

const JOB_ID = 'wk-000001';
const MACHINES = 8;
/** Tasks of 4 CPUs: on three of the machines. */
const TASKS = 20;
const RUN_SECONDS = 60;
/** The largest share of cheap machines that a wave of the site takes, and the time over which it takes them here. */
const MAX_SHARE = 0.45;
const WAVE_SECONDS = 1.5;
/** The machines without a task are returned 20 s after they came up: the wave comes before that. */
const WAVE_AFTER_SECONDS = 16;
const LIMIT_SECONDS = 90;

const site = {
  ...trivediSite,
  types: [TYPES.gaddi],
  capacity: (type, zone, spot) => (spot ? 120 : 200),
  runSeconds: () => RUN_SECONDS,
};

await runCase(fileURLToPath(new URL('.', import.meta.url)), site, async (deployment, trouble) => {
  const { record, events, cloud, world } = deployment;
  if (!(await until(() => deployment.leader !== undefined, 10))) throw new CannotRun('no leader');
  const upAt = record.now();
  for (let index = 0; index < MACHINES; index++) await cloud.create(TYPES.gaddi, site.zones[0], true, 0);
  await sleep(4);
  await deployment.submit(job({ name_id: JOB_ID, saplings: TASKS, growth_s: RUN_SECONDS, pull_gb: 0.5 }));
  const running = () => events.filter(({ type }) => type === 'running');
  if (!(await until(() => running().length === TASKS, upAt + WAVE_AFTER_SECONDS - record.now())))
    throw new CannotRun(`${running().length} of ${TASKS} tasks run`);
  await sleep(upAt + WAVE_AFTER_SECONDS - record.now());
  const used = [...new Set(running().map(({ machine }) => machine))];
  const up = cloud.upMachines();
  record.line('test', `${up.length} cheap machines are up; all ${TASKS} tasks run on ${used.join(' ')}`);
  if (used.length < 3 || used.length > MAX_SHARE * up.length)
    throw new CannotRun(`the tasks are on ${used.length} of ${up.length} machines`);
  if (trouble)
    for (const name of used) {
      cloud.take(name);
      await sleep(WAVE_SECONDS / used.length);
    }
  const takenAt = record.now();
  const rentals = cloud.rentals;
  const startedAgain = () => events.filter(({ type, at }) => type === 'start' && at >= takenAt).length;
  let polledAt = 0;
  while (record.now() < takenAt + LIMIT_SECONDS) {
    if (trouble ? startedAgain() > 0 || cloud.rentals > rentals : world.results.size === TASKS) break;
    if (record.now() > polledAt + 5) {
      polledAt = record.now();
      await deployment.poll(JOB_ID);
    }
    await sleep(0.2);
  }
  const waited = (record.now() - takenAt).toFixed(1);
  if (!trouble) {
    record.line('test', `${world.results.size} of ${TASKS} tasks completed`);
    return world.results.size === TASKS ? [] : ['the job did not run'];
  }
  record.line('test', `${startedAgain()} tasks started, ${cloud.rentals - rentals} rental requests in ${waited} s`);
  return startedAgain() === 0 && cloud.rentals === rentals
    ? [`no task of the accepted job was started and no machine asked for in ${waited} s; all ${TASKS} tasks are lost`]
    : [];
});
