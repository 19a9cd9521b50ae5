/**
 * A large job of small tasks runs on twenty cheap machines. The cloud takes one of them back without notice.
 * The tasks that ran on it must be started again: other machines have room.
 */

import { fileURLToPath } from 'node:url';
import { CannotRun, runCase, sleep, until } from '../lib/deployment.mjs';
import { job, TYPES, trivediSite } from '../lib/trivedi.mjs';

const MACHINES = 20;
/** Tasks of 0.25 CPUs on a machine of 32. */
const SLOTS = 128;
/** A job of short tasks takes all slots first; the large job follows as they become free. */
const SMALL_TASK = { rank: 'low', vcpus: 0.25, ram_gb: 0.45 };
const SHORT = job({
  ...SMALL_TASK, name_id: 'wk-000001', grove: 'cornice-probes', saplings: MACHINES * SLOTS, growth_s: 10,
});
const LARGE = job({ ...SMALL_TASK, name_id: 'wk-000002', grove: 'slope-sweep', saplings: 2432, growth_s: 600 });
/** Tasks per stored record. */
const RANGE = 128;
/** From the pages: once the troubles are over, no job is left waiting for 90 s beside a machine with room. */
const LIMIT_SECONDS = 90;

const site = {
  ...trivediSite,
  types: [TYPES.gaddi],
  capacity: () => 28,
  runSeconds: (jobId) => (jobId === LARGE.name_id ? 600 : 6 + 10 * Math.random()),
};

await runCase(fileURLToPath(new URL('.', import.meta.url)), site, async (deployment, trouble) => {
  const { record, events, cloud } = deployment;
  for (let index = 0; index < MACHINES; index++) await cloud.create(TYPES.gaddi, site.zones[0], true, 0);
  await sleep(1);
  const running = (jobId) => events.filter((event) => event.type === 'running' && event.jobId === jobId).length;
  await deployment.submit(SHORT);
  if (!(await until(() => running(SHORT.name_id) >= SHORT.saplings, 15)))
    throw new CannotRun('the short tasks did not all start');
  await deployment.submit(LARGE);
  if (!(await until(() => running(LARGE.name_id) >= LARGE.saplings, 30)))
    throw new CannotRun(`${running(LARGE.name_id)} of ${LARGE.saplings} tasks of the large job run`);
  record.line('test', `all ${LARGE.saplings} tasks of ${LARGE.name_id} run`);
  const machineOf = new Map();
  for (const event of events)
    if (event.type === 'running' && event.jobId === LARGE.name_id) machineOf.set(event.index, event.machine);
  // The machine whose tasks are spread over the most ranges.
  const rangesOf = (name) =>
    new Set([...machineOf].filter(([, machine]) => machine === name).map(([index]) => Math.floor(index / RANGE)));
  const names = [...new Set(machineOf.values())].sort((a, b) => rangesOf(b).size - rangesOf(a).size);
  const [taken] = names;
  const lost = [...machineOf].filter(([, machine]) => machine === taken).map(([index]) => index);
  record.line('test', `${lost.length} tasks on ${taken}, of ${names.map((name) => rangesOf(name).size)} ranges`);
  const takenAt = record.now();
  if (trouble) cloud.take(taken);
  const freeSlots = () =>
    cloud.upMachines().reduce((sum, { worker, type }) => {
      let used = 0;
      for (const task of worker.saplings.values()) if (task.phase !== 'ended') used += task.job.vcpus;
      return sum + Math.floor((type.vcpus - used) / 0.25 + 1e-9);
    }, 0);
  const startedAgain = () =>
    new Set(
      events
        .filter(({ type, jobId, at }) => type === 'start' && jobId === LARGE.name_id && at > takenAt)
        .map(({ index }) => index),
    );
  let leastRoom = Number.POSITIVE_INFINITY;
  let polledAt = 0;
  const seconds = trouble ? LIMIT_SECONDS : 30;
  while (record.now() < takenAt + seconds) {
    leastRoom = Math.min(leastRoom, freeSlots());
    if (trouble && lost.every((index) => startedAgain().has(index))) break;
    if (record.now() > polledAt + 5) {
      polledAt = record.now();
      await deployment.poll(LARGE.name_id);
      record.line('test', `${startedAgain().size} of ${lost.length} lost tasks started again; room for ${freeSlots()} tasks`);
    }
    await sleep(0.25);
  }
  const waited = (record.now() - takenAt).toFixed(1);
  for (const [refusal, count] of deployment.state.refusals) record.line('state', `${count} times ${refusal}`);
  if (!trouble) return running(LARGE.name_id) === LARGE.saplings ? [] : ['tasks of the large job ran again'];
  const again = lost.filter((index) => startedAgain().has(index)).length;
  record.line('test', `${again} of ${lost.length} lost tasks started again within ${waited} s; room for at least ${leastRoom}`);
  return again === 0 && leastRoom > 0
    ? [`none of ${lost.length} lost tasks was started again for ${waited} s, beside room for ${leastRoom} of them`]
    : [];
});
