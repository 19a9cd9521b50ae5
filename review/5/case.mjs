// Some jobs that were submitted with a mistake fail on each machine and are cancelled. With TROUBLE=0 they run.
import { runCase, trivediMaps, watchWaiting } from '../lib-2/world.mjs';
import { sleep } from '../lib-2/http.mjs';

const isMistaken = process.env.TROUBLE !== '0';
const LONG = 'wk-000001';
const MISTAKEN = [2, 3, 4, 5, 6, 7].map((number) => `wk-00000${number}`);
const MACHINES = 3;

const options = trivediMaps({ upAtStart: MACHINES });
for (const type of options.types) type.capacity = { 'sabarmati-rack/ordinary': type.label === 'gaddi' ? MACHINES : 0 };

await runCase(options, async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job(fields));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  await world.waitReady();
  // One long task on each machine, which leaves 12 CPUs there.
  await submit({ name_id: LONG, saplings: MACHINES, vcpus: 20, ram_gb: 20, growth_s: 300, runS: 300 });
  await world.waitFor(() => world.countOn(LONG) === MACHINES, 20, 'the long tasks');
  for (const name_id of MISTAKEN) await submit({ name_id, vcpus: 2, ram_gb: 4.3, growth_s: 5, runS: 5, isMistaken });
  if (isMistaken) {
    const failedOn = (seen) => MISTAKEN.filter((jobId) => seen.has(jobId)).length;
    const haveFailedEverywhere = () => [...world.jobsSeenOn.values()].filter((seen) => failedOn(seen) >= 2).length === MACHINES;
    await world.waitFor(haveFailedEverywhere, 12, 'two of them have failed on each machine');
    await sleep(2000);
    // The users cancel them: from here on there is no trouble.
    for (const jobId of MISTAKEN) await world.abort(jobId);
  } else await sleep(6000);
  await submit({ name_id: 'wk-000008', saplings: 2, vcpus: 4, ram_gb: 4.3, growth_s: 5, runS: 5 });
  await submit({
    name_id: 'wk-000009', grove: 'kiosk-mapserve', shape: 'standing', rank: 'prod', vcpus: 4, ram_gb: 4.2, growth_s: 0,
  });
  await watchWaiting(world, ['wk-000008', 'wk-000009']);
  for (const jobId of world.jobs.keys()) await world.poll(jobId);
  return world.violations.length > 0;
});
