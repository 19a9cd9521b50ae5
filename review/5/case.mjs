// Two of fifty jobs were submitted with a mistake. They fail on each machine and are cancelled. With TROUBLE=0 all
// fifty are sound.
import { sleep } from '../lib-2/http.mjs';
import { runCase, trivediMapsGrown, watchWaiting } from '../lib-2/world.mjs';

const hasMistakes = process.env.TROUBLE !== '0';
const MACHINES = 4;
const JOBS = 50;
const MISTAKEN = ['wk-000110', 'wk-000111'];

await runCase(trivediMapsGrown({ up: MACHINES }), async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job({ barks: ['gaddi'], vcpus: 4, ram_gb: 4.3, ...fields }));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  await world.waitReady();
  // One long task on each machine keeps all of them up, with 12 CPUs free.
  await submit({ name_id: 'wk-000001', saplings: MACHINES, vcpus: 20, growth_s: 120, runS: 120, seed: 'img-2' });
  await world.waitFor(() => world.countOn('wk-000001') === MACHINES, 15, 'the long tasks');
  // Jobs come, five a second; two of the fifty have a mistake.
  for (let number = 0; number < JOBS; number++) {
    const name_id = `wk-0001${String(number).padStart(2, '0')}`;
    await submit({ name_id, growth_s: 1, runS: 1, isMistaken: hasMistakes && MISTAKEN.includes(name_id) });
    await sleep(200);
  }
  if (hasMistakes) {
    const haveFailedEverywhere = () =>
      [...world.jobsSeenOn.values()].filter((seen) => MISTAKEN.every((jobId) => seen.has(jobId))).length === MACHINES;
    await world.waitFor(haveFailedEverywhere, 5, 'both have failed on each machine');
    await sleep(800);
    // Their users cancel them: from here on there is no trouble.
    for (const jobId of MISTAKEN) await world.abort(jobId);
  }
  const late = ['wk-000201', 'wk-000202'];
  await submit({ name_id: late[0], saplings: 2, growth_s: 5, runS: 5 });
  await submit({ name_id: late[1], grove: 'kiosk-mapserve', shape: 'standing', rank: 'prod', ram_gb: 4.2, growth_s: 0 });
  await watchWaiting(world, late);
  for (const jobId of late) await world.poll(jobId);
  return world.violations.length > 0;
});
