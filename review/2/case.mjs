/**
 * The large job `drift-sims` runs on some sixty cheap machines. The cloud takes one of them back without notice. The
 * tasks that ran on it must be started again: other machines have room.
 */

import { fileURLToPath } from 'node:url';
import { CannotRun, runCase, sleep, until } from '../lib/deployment.mjs';
import { job, TYPES, trivediSite } from '../lib/trivedi.mjs';

const MACHINES = 63;
/** Tasks of 1 CPU on a machine of 32. */
const SLOTS = 32;
const SMALL_TASK = { crew: 'snowline-lab', rank: 'low', vcpus: 1, ram_gb: 1.8, seed: 'snow-01', pull_gb: 0.5 };
/** Jobs of short tasks take all slots first; the large job follows as they become free. */
const SHORT = job({
  ...SMALL_TASK, name_id: 'wk-000001', grove: 'cornice-probes', saplings: MACHINES * SLOTS, growth_s: 10,
});
/** As in the site's file: 1,952 tasks of 1 CPU and 1.8 GB that run about 300 s and save every 30 s. */
const LARGE = job({
  ...SMALL_TASK, name_id: 'wk-000002', grove: 'drift-sims', saplings: 1952, growth_s: 300, ring_s: 30, resin_s: 3,
});
/** Tasks per stored record. */
const RANGE = 128;
/** From the pages: once the troubles are over, no job is left waiting for 90 s beside a machine with room. */
const LIMIT_SECONDS = 90;

const site = {
  ...trivediSite,
  teams: [...trivediSite.teams, { name: 'snowline-lab', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  types: [TYPES.gaddi],
  capacity: (type, zone, spot) => (spot ? 120 : 200),
  runSeconds: (jobId) => (jobId === LARGE.name_id ? 300 : 5 + 10 * Math.random()),
};

await runCase(fileURLToPath(new URL('.', import.meta.url)), site, async (deployment, trouble) => {
  const { record, events, cloud } = deployment;
  if (!(await until(() => deployment.leader !== undefined, 10))) throw new CannotRun('no leader');
  for (let index = 0; index < MACHINES; index++) await cloud.create(TYPES.gaddi, site.zones[0], true, 0);
  await sleep(1);
  const count = (type, jobId) => events.filter((event) => event.type === type && event.jobId === jobId).length;
  await deployment.submit(SHORT);
  if (!(await until(() => count('start', SHORT.name_id) >= SHORT.saplings, 15)))
    throw new CannotRun(`${count('start', SHORT.name_id)} of ${SHORT.saplings} short tasks started`);
  await deployment.submit(LARGE);
  if (!(await until(() => count('running', LARGE.name_id) >= LARGE.saplings, 25)))
    throw new CannotRun(`${count('running', LARGE.name_id)} of ${LARGE.saplings} tasks of the large job run`);
  record.line('test', `all ${LARGE.saplings} tasks of ${LARGE.name_id} run`);
  const machineOf = new Map();
  for (const event of events)
    if (event.type === 'running' && event.jobId === LARGE.name_id) machineOf.set(event.index, event.machine);
  // The machine whose tasks are spread over the most ranges.
  const ranges = new Map();
  for (const [index, machine] of machineOf)
    ranges.set(machine, (ranges.get(machine) ?? new Set()).add(Math.floor(index / RANGE)));
  const names = [...ranges.keys()].sort((a, b) => ranges.get(b).size - ranges.get(a).size);
  const [taken] = names;
  const lost = [...machineOf].filter(([, machine]) => machine === taken).map(([index]) => index);
  record.line('test', `${lost.length} tasks on ${taken}; ranges by machine: ${names.map((name) => ranges.get(name).size)}`);
  const takenAt = record.now();
  if (trouble) cloud.take(taken);
  /** How many of the lost tasks the other machines have room for. */
  const room = () =>
    cloud.upMachines().reduce((sum, { worker, type }) => {
      let { vcpus, ram_gb: ram } = type;
      for (const task of worker.saplings.values())
        if (task.phase !== 'ended') {
          vcpus -= task.job.vcpus;
          ram -= task.job.ram_gb;
        }
      return sum + Math.max(0, Math.floor(Math.min(vcpus / LARGE.vcpus, ram / LARGE.ram_gb) + 1e-9));
    }, 0);
  const startedAgain = () =>
    events.filter(({ type, jobId, at }) => type === 'start' && jobId === LARGE.name_id && at > takenAt).length;
  let leastRoom = Number.POSITIVE_INFINITY;
  let polledAt = 0;
  const seconds = trouble ? LIMIT_SECONDS : 30;
  while (record.now() < takenAt + seconds && startedAgain() === 0) {
    leastRoom = Math.min(leastRoom, room());
    if (record.now() > polledAt + 5) {
      polledAt = record.now();
      await deployment.poll(LARGE.name_id);
      record.line('test', `${startedAgain()} tasks started again; room for ${room()} tasks`);
    }
    await sleep(0.25);
  }
  const waited = (record.now() - takenAt).toFixed(1);
  for (const [refusal, times] of deployment.state.refusals) record.line('state', `${times} times ${refusal}`);
  record.line('test', `${startedAgain()} tasks started again in ${waited} s; room for at least ${leastRoom} at every moment`);
  if (!trouble) return startedAgain() === 0 ? [] : ['tasks of the large job were started twice'];
  return startedAgain() === 0 && leastRoom > 0
    ? [`none of ${lost.length} lost tasks was started again for ${waited} s, beside room for ${leastRoom} of them`]
    : [];
});
