/**
 * A job runs on three of seven or more cheap machines. The cloud takes these three back without notice; the others are
 * idle and are returned by the service. The job's tasks must be started again elsewhere.
 */

import { fileURLToPath } from 'node:url';
import { CannotRun, runCase, sleep, until } from '../lib/deployment.mjs';
import { job, TYPES, trivediSite } from '../lib/trivedi.mjs';

const JOB_ID = 'wk-000001';
/** Tasks of 4 CPUs: eight on each of seven machines. */
const TASKS = 56;
/** Tasks on the first three machines run long, those on the others end soon. */
const LONG_RUN_SECONDS = 60;
const SHORT_RUN_SECONDS = 0.5;
/** From the pages: once the troubles are over, no job is left waiting for 90 s. */
const LIMIT_SECONDS = 90;

/** The first three machines that got a task. */
const longMachines = [];
const machineOfTask = new Map();

const site = {
  ...trivediSite,
  types: [TYPES.gaddi],
  bootSeconds: () => 1,
  capacity: () => 24,
  runSeconds: (jobId, index) =>
    longMachines.includes(machineOfTask.get(index)) ? LONG_RUN_SECONDS : SHORT_RUN_SECONDS,
};

await runCase(fileURLToPath(new URL('.', import.meta.url)), site, async (deployment, trouble) => {
  const { record, events, cloud, world } = deployment;
  const onTask = world.onTask;
  world.onTask = (event) => {
    if (event.type === 'start') {
      machineOfTask.set(event.task.index, event.machine.name);
      if (longMachines.length < 3 && !longMachines.includes(event.machine.name))
        longMachines.push(event.machine.name);
    }
    onTask(event);
  };
  // The leader needs a moment to learn the machine types.
  if (!(await until(() => deployment.leader !== undefined, 10))) throw new CannotRun('no leader');
  await sleep(0.3);
  await deployment.submit(job({ name_id: JOB_ID, saplings: TASKS }));
  const firstRuns = () => new Set(events.filter(({ type }) => type === 'running').map(({ index }) => index)).size;
  if (!(await until(() => firstRuns() === TASKS, 20))) throw new CannotRun('the tasks did not all start');
  const startedAt = record.now();
  // The other machines are returned 20 s after their last task has ended, that is 2 to 4 s from then.
  await sleep(18.5);
  const lost = [...machineOfTask].filter(([, machine]) => longMachines.includes(machine)).map(([index]) => index);
  const up = cloud.upMachines();
  record.line('test', `${up.length} cheap machines are up; tasks run on ${longMachines.join(' ')}`);
  if (up.length < 7 || longMachines.length !== 3 || lost.length === 0)
    throw new CannotRun(`${up.length} machines up, tasks on ${longMachines.length}`);
  const takenAt = record.now();
  if (trouble) for (const name of longMachines) cloud.take(name);
  const runsAgain = (index) =>
    events.some((event) => event.type === 'running' && event.index === index && event.at > takenAt);
  const isSettled = () =>
    trouble ? lost.every(runsAgain) : world.results.size === TASKS && record.now() > startedAt + LONG_RUN_SECONDS + 5;
  let polledAt = 0;
  while (record.now() < takenAt + LIMIT_SECONDS && !isSettled()) {
    if (record.now() > polledAt + 5) {
      polledAt = record.now();
      await deployment.poll(JOB_ID);
    }
    await sleep(0.2);
  }
  const waiting = lost.filter((index) => (trouble ? !runsAgain(index) : !world.results.has(`${JOB_ID}/${index}`)));
  const seconds = (record.now() - takenAt).toFixed(1);
  record.line('test', `${lost.length} tasks were on the three machines; ${waiting.length} of them wait after ${seconds} s`);
  return waiting.length > 0
    ? [`${waiting.length} of ${lost.length} tasks of an accepted job have not been started again for ${seconds} s`]
    : [];
});
