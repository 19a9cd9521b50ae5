// All machines fail every task that they start, for some seconds. Jobs of one task are submitted meanwhile, one after
// the other, each for a machine type of its own; those that are started four times are cancelled by their user.
// With TROUBLE=0 no machine fails anything.
import { sleep } from '../lib-2/http.mjs';
import { runCase, trivediMaps, watchWaiting } from '../lib-2/world.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const MACHINES_PER_TYPE = 6;
const JOBS = ['wk-000011', 'wk-000012', 'wk-000013'];
/** Starts after which the next pause of the service would take too long for this script. */
const MAX_STARTS = 4;
/** No further start for this long after the last one: longer than the pauses before it. */
const STILL_AFTER_MS = [3000, 2500, 3000, 4000];

// The machine types of the site, and the one of the protocol's example: a type for each job.
const options = trivediMaps({ upAtStart: 0 });
const [gaddi, chhota] = options.types;
options.types = [gaddi, chhota, { ...gaddi, label: 'g8', vcpus: 96, ram_gb: 768 }];

/** Whether the job stands still before it has been started `MAX_STARTS` times. */
async function standsStill(world, jobId) {
  let starts = 0;
  let lastAt = performance.now();
  for (;;) {
    const now = performance.now();
    if (world.completed.has(`${jobId}/0`)) return false;
    if ((world.runs.get(jobId) ?? 0) > starts) {
      starts = world.runs.get(jobId);
      lastAt = now;
    }
    if (world.countOn(jobId) > 0) lastAt = now;
    else if (starts >= MAX_STARTS) return false;
    if (now - lastAt > STILL_AFTER_MS[starts]) return true;
    await sleep(50);
  }
}

await runCase(options, async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job(fields));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  for (const machineType of options.types)
    for (let index = 0; index < MACHINES_PER_TYPE; index++) await world.cloud.create(machineType, 'sabarmati-rack', false, 0);
  await world.waitReady();
  // A long task on each machine keeps all of them up, with room for the jobs to come.
  const LONG = options.types.map((_, index) => `wk-00000${index + 1}`);
  for (const [index, { label, vcpus }] of options.types.entries())
    await submit({
      name_id: LONG[index], saplings: MACHINES_PER_TYPE, vcpus: vcpus * 0.6, ram_gb: 2, growth_s: 300, runS: 300, barks: [label], seed: 'img-2',
    });
  await world.waitFor(() => LONG.every((jobId) => world.countOn(jobId) === MACHINES_PER_TYPE), 15, 'the long tasks');
  await sleep(300);
  const setFaulty = (isFaulty) => {
    for (const { worker } of world.cloud.machines.values()) worker.isFaulty = isFaulty;
    world.record(isFaulty ? 'trouble: the machines fail every task that they start' : 'the trouble is over');
  };
  if (hasTrouble) setFaulty(true);
  for (const [index, { label }] of options.types.entries()) {
    const jobId = JOBS[index];
    // The wait of 90 s has to end within the 120 s of a script.
    if (world.now() > 19) return false;
    await submit({ name_id: jobId, vcpus: 1, ram_gb: 1.5, growth_s: 3, runS: 3, barks: [label] });
    if (await standsStill(world, jobId)) {
      setFaulty(false);
      world.record(`${jobId} was started ${world.runs.get(jobId) ?? 0} times so far`);
      // Only a start from here on counts.
      world.runs.delete(jobId);
      await watchWaiting(world, [jobId]);
      await world.poll(jobId);
      return world.violations.length > 0;
    }
    if (world.completed.has(`${jobId}/0`)) continue;
    if (hasTrouble) {
      await world.abort(jobId);
      await sleep(800);
    }
  }
  return false;
});
